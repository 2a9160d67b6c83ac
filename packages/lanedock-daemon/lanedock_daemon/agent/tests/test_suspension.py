# SPDX-License-Identifier: BSD-3-Clause
"""A daemon whose instance is suspended, in virtual time.

Its steady clock does not count the time. By that clock it took what it held for as fresh
after the suspension as before, and served by a version that had been replaced meanwhile.
"""

import ast
from pathlib import Path

import pytest

from lanedock_daemon.agent.tests.sources import VirtualMesh

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
    mesh.at(mesh.clock.now + 0.5, setattr, former, "is_dark", True)
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
