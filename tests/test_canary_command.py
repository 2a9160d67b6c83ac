# SPDX-License-Identifier: BSD-3-Clause
"""Tests of canary commands, with real processes and versions reported by the platform list."""

import itertools
import threading

import pytest
from conftest import Operator

from lanedock.testing.mesh import LocalMesh

PATHS = ("/checklists/reed", "/checklists/shore")
STABLE = [f"checklists-{number}" for number in range(3)]
CANARY = [f"checklists-{number}" for number in range(3, 6)]
DURATION = 8


@pytest.fixture
def mesh(tmp_path):
    with LocalMesh(tmp_path / "mesh", ["nbo-a", "nbo-b", "nbo-c"], {"checklists": 6}, work=0.005) as local_mesh:
        for name in STABLE:
            local_mesh.set_version(name, "v1")
        for name in CANARY:
            local_mesh.set_version(name, "v2")
        yield local_mesh


class Callers:
    """Context manager whose threads send requests from all zones until it exits."""

    def __init__(self, mesh: LocalMesh):
        self._mesh = mesh
        self._stop_event = threading.Event()
        self._threads = [threading.Thread(target=self._run, args=(number,)) for number in range(6)]

    def __enter__(self) -> "Callers":
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *exc) -> None:
        self._stop_event.set()
        for thread in self._threads:
            thread.join()

    def _run(self, number: int) -> None:
        paths = itertools.cycle(PATHS)
        while not self._stop_event.wait(0.005):
            self._mesh.request("GET", next(paths), entry=number)


def _start_mesh(mesh: LocalMesh, tmp_path) -> Operator:
    mesh.start()
    operator = Operator(mesh, tmp_path)
    assert operator.apply(1)[0] == 0
    mesh.wait_for(lambda: mesh.request("GET", PATHS[0])[0] == 200, "requests are served")
    return operator


def _start_canary(
    operator: Operator, version: str = "v2", duration: int = DURATION, *options: str
) -> tuple[int, object]:
    return operator.run("canary", "start", "checklists", version, "--duration", str(duration), *options)


def test_good_version_completes_and_follow_reports_it(mesh, tmp_path):
    operator = _start_mesh(mesh, tmp_path)
    with Callers(mesh):
        code, listed = _start_canary(operator, "v2", DURATION, "--follow")
    assert code == 0, listed
    assert (listed[0]["phase"], listed[0]["version"], listed[0]["share"]) == ("completed", "v2", 1)
    served = {mesh.request("GET", PATHS[0], entry=number)[1] for number in range(30)}
    assert all(any(name.encode() in body for name in CANARY) for body in served)
    assert operator.run("canary", "status", "checklists")[1][0]["phase"] == "completed"
    # v2 is the stable version now.
    assert _start_canary(operator, "v2", 60)[0] == 3


@pytest.mark.parametrize("bad", [{"share": 0.6}, {"share": 0.9, "path": PATHS[1]}, {"share": 0.9, "factor": 30.0}])
def test_bad_version_is_rolled_back_with_its_reason(mesh, tmp_path, bad):
    for name in CANARY:
        mesh.set_version(name, "v2", **bad)
    operator = _start_mesh(mesh, tmp_path)
    with Callers(mesh):
        code, listed = _start_canary(operator, "v2", 20, "--follow")
    assert code == 6, listed
    assert listed[0]["phase"] == "rolled back"
    assert "answers of checklist-lookup" in listed[0]["reason"]
    for number in range(20):
        assert not any(name.encode() in mesh.request("GET", PATHS[0], entry=number)[1] for name in CANARY)


def test_manual_abort_and_promote_take_effect(mesh, tmp_path):
    operator = _start_mesh(mesh, tmp_path)
    assert operator.run("canary", "abort", "checklists")[0] == 3
    assert _start_canary(operator, "v2", 600)[0] == 0
    assert _start_canary(operator, "v3", 600)[0] == 3
    code, listed = operator.run("canary", "abort", "checklists")
    assert (code, listed[0]["phase"]) == (0, "rolled back")
    assert "aborted by" in listed[0]["reason"]
    assert operator.run("canary", "promote", "checklists")[0] == 3
    assert [item["phase"] for item in operator.run("canary", "history")[1]] == ["rolled back"]
    # The duration differs: an identical order counts as a resend of the previous one.
    assert _start_canary(operator, "v2", 601)[0] == 0
    code, listed = operator.run("canary", "promote", "checklists")
    assert (code, listed[0]["share"]) == (0, 1)
    # The promotion completes seconds later, possibly before the abort.
    code, _ = operator.run("canary", "abort", "checklists")
    phase = operator.run("canary", "history")[1][0]["phase"]
    assert (code, phase) in [(0, "rolled back"), (3, "completed")]
    assert operator.run("canary", "start", "nothing", "v2")[0] == 3
