# SPDX-License-Identifier: BSD-3-Clause
"""Tests of daemons and relays whose instance is suspended, in virtual time.

The tests guard against serving a version that was replaced during a suspension. A monotonic
clock that stands still while the instance is suspended makes the daemon regard its version
as fresh afterwards.
"""

import ast
from pathlib import Path
from random import Random

import pytest

from lanedock_daemon.agent.tests.relays import RelayMesh
from lanedock_daemon.agent.tests.sources import VirtualMesh
from lanedock_daemon.agent.tests.test_source_loss import IN_FORCE_LIMIT, MARGIN

# Pause in seconds after which a daemon serves nothing until its version is confirmed; equals
# stall_limit_ms in the settings of the virtual mesh.
STALL_LIMIT = 3.0
SEEDS = range(10)
PACKAGES = Path(__file__).parents[4]


@pytest.fixture(params=SEEDS)
def mesh(monkeypatch, tmp_path, request):
    made = VirtualMesh(monkeypatch, tmp_path, request.param)
    made.accept(1)
    made.run(5.0, lambda: made.in_force() == 1 and made.view.bind() is not None)
    return made


def test_the_first_request_after_a_suspension_is_not_served_by_an_unconfirmed_version(mesh):
    mesh.accept(2)
    mesh.run(1.0)
    mesh.suspend(STALL_LIMIT + 0.5)
    # No task has run yet: a request that waited in a socket buffer is handled first.
    assert mesh.view.bind() is None


def test_a_resumed_daemon_serves_again_once_the_newest_version_is_confirmed(mesh):
    mesh.at(mesh.clock.now + 1.0, mesh.accept, 2)
    mesh.suspend(STALL_LIMIT + 0.5)
    mesh.run(2.0, lambda: mesh.view.bind() is not None)
    assert mesh.view.bind().number == 2


def test_a_source_lost_during_a_suspension_is_replaced(mesh):
    former = mesh.source()
    mesh.at(mesh.clock.now + 0.5, setattr, former, "is_blackholed", True)
    mesh.suspend(2.0)
    mesh.accept(2)
    mesh.run(2.0, lambda: mesh.in_force() == 2)
    assert mesh.in_force() == 2 and mesh.source() is not former


def _reads_monotonic_clock(path: Path) -> bool:
    tree = ast.parse(path.read_text(encoding="utf-8"))
    return any(isinstance(node, ast.Attribute) and node.attr == "monotonic" for node in ast.walk(tree))


def test_only_the_clock_module_reads_the_monotonic_clock():
    """Test stand-ins and the command line may use any clock, since they are not suspended with a mesh."""
    parts = [PACKAGES / "lanedock" / "lanedock", PACKAGES / "lanedock-daemon" / "lanedock_daemon"]
    paths = [path for part in parts for path in part.rglob("*.py") if not {"tests", "testing"} & set(path.parts)]
    assert [path.name for path in paths if _reads_monotonic_clock(path)] == ["clock.py"]


@pytest.mark.parametrize("suspended", [0.4, 0.9, 1.4, 2.0, 3.2, 5.0])
@pytest.mark.parametrize("seed", range(20))
def test_an_accepted_version_is_in_force_in_time_behind_a_suspended_relay(monkeypatch, tmp_path, seed, suspended):
    """The version is accepted at a random time of the suspension; messages wait in the relay's socket buffers."""
    mesh = RelayMesh(monkeypatch, tmp_path, seed)
    mesh.accept(1)
    mesh.run(5.0, lambda: mesh.view.bind() is not None)
    mesh.run(1.0)
    assert mesh.in_force() == 1 and mesh.agent._stream.address == mesh.relay
    mesh.suspend_relay(suspended)
    mesh.run(suspended * Random(seed).random())
    mesh.accept(2)
    taken = mesh.run(10.0, lambda: mesh.in_force() == 2)
    assert taken <= IN_FORCE_LIMIT - MARGIN


@pytest.mark.parametrize("suspended", [0.4, 0.9, 1.4, 2.0, 3.2, 5.0])
@pytest.mark.parametrize("seed", range(20))
def test_a_daemon_that_starts_behind_a_suspended_relay_serves_no_replaced_version(
    monkeypatch, tmp_path, seed, suspended
):
    """The daemon's floor request, or the answer to it, waits in the relay's socket buffers meanwhile."""
    rng = Random(seed)
    mesh = RelayMesh(monkeypatch, tmp_path, seed)
    mesh.accept(1)
    mesh.run(rng.uniform(0.0, 0.5))
    mesh.suspend_relay(suspended)
    mesh.run(suspended * rng.random())
    mesh.accept(2)
    mesh.run(IN_FORCE_LIMIT)
    for _ in range(100):
        binding = mesh.view.bind()
        assert binding is None or binding.number == 2
        mesh.run(0.1)
    assert mesh.view.bind().number == 2
