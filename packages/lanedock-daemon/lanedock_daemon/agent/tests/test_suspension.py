# SPDX-License-Identifier: BSD-3-Clause
"""A daemon whose instance is suspended, in virtual time.

Its steady clock does not count the time. By that clock it took what it held for as fresh
after the suspension as before, and served by a version that had been replaced meanwhile.
"""

import ast
from pathlib import Path
from random import Random

import pytest

from lanedock_daemon.agent.tests.relays import RelayMesh
from lanedock_daemon.agent.tests.sources import VirtualMesh
from lanedock_daemon.agent.tests.test_source_loss import IN_FORCE_LIMIT, MARGIN

# Seconds after which a daemon that was out of touch serves nothing until its version is
# confirmed, as the settings of the virtual mesh have it.
STALL_LIMIT = 3.0
SEEDS = range(10)
PACKAGES = Path(__file__).parents[4]


@pytest.fixture(params=SEEDS)
def mesh(monkeypatch, tmp_path, request):
    made = VirtualMesh(monkeypatch, tmp_path, request.param)
    made.accept(1)
    made.run(5.0, lambda: made.in_force() == 1 and made.view.bind() is not None)
    return made


def test_the_first_request_after_it_is_not_served_by_what_may_be_old(mesh):
    mesh.accept(2)
    mesh.run(1.0)
    mesh.suspend(STALL_LIMIT + 0.5)
    # Before anything else has run: a request that lay in a socket is looked at now.
    assert mesh.view.bind() is None


def test_it_serves_again_once_the_newest_version_is_confirmed(mesh):
    mesh.at(mesh.clock.now + 1.0, mesh.accept, 2)
    mesh.suspend(STALL_LIMIT + 0.5)
    mesh.run(2.0, lambda: mesh.view.bind() is not None)
    assert mesh.view.bind().number == 2


def test_a_source_that_was_lost_meanwhile_is_left(mesh):
    former = mesh.source()
    mesh.at(mesh.clock.now + 0.5, setattr, former, "is_blackholed", True)
    mesh.suspend(2.0)
    mesh.accept(2)
    mesh.run(2.0, lambda: mesh.in_force() == 2)
    assert mesh.in_force() == 2 and mesh.source() is not former


def _reads_steady_clock(path: Path) -> bool:
    tree = ast.parse(path.read_text(encoding="utf-8"))
    return any(isinstance(node, ast.Attribute) and node.attr == "monotonic" for node in ast.walk(tree))


def test_the_daemons_code_takes_its_time_from_one_place():
    """The stand-ins and the command line may use any clock: they are not suspended with a mesh."""
    parts = [PACKAGES / "lanedock" / "lanedock", PACKAGES / "lanedock-daemon" / "lanedock_daemon"]
    paths = [path for part in parts for path in part.rglob("*.py") if not {"tests", "testing"} & set(path.parts)]
    assert [path.name for path in paths if _reads_steady_clock(path)] == ["clock.py"]


@pytest.mark.parametrize("suspended", [0.4, 0.9, 1.4, 2.0, 3.2, 5.0])
@pytest.mark.parametrize("seed", range(20))
def test_an_accepted_version_is_in_force_in_time_behind_a_suspended_relay(monkeypatch, tmp_path, seed, suspended):
    """Accepted at any moment of the suspension; what came before it lies in the relay's sockets."""
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
def test_a_daemon_that_starts_behind_a_suspended_relay_serves_by_no_replaced_version(
    monkeypatch, tmp_path, seed, suspended
):
    """Its question for the newest version, or the answer to it, lies in the relay's sockets meanwhile."""
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
