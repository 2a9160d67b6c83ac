# SPDX-License-Identifier: BSD-3-Clause
"""Tests of the command that lists quarantined requests and clears one."""

import threading
import time

import pytest
from conftest import Operator

from lanedock.testing.mesh import LocalMesh

UPSTREAMS = 3
PATH = "/checklists/reed"


@pytest.fixture
def mesh(tmp_path):
    with LocalMesh(tmp_path / "mesh", ["nbo-a", "nbo-b", "nbo-c"], {"checklists": UPSTREAMS}, work=1.0) as local_mesh:
        local_mesh.start()
        yield local_mesh


def _crash_all_applications_during_requests(mesh: LocalMesh) -> None:
    """Crash all applications while the same request runs on each of them."""
    callers = [threading.Thread(target=mesh.request, args=("GET", PATH, b"", number)) for number in range(12)]
    for caller in callers:
        caller.start()
    # Each request takes 1 s, so that all run at this time.
    time.sleep(0.5)
    mesh.stop_stand_ins()
    for caller in callers:
        caller.join()


def test_quarantined_request_is_listed_with_its_crashes_and_can_be_cleared(mesh, tmp_path):
    operator = Operator(mesh, tmp_path)
    assert operator.apply(1)[0] == 0
    assert operator.run("quarantine") == (0, {"requests": [], "cleared": False})
    _crash_all_applications_during_requests(mesh)
    listed = []

    def is_listed() -> bool:
        listed[:] = operator.run("quarantine")[1]["requests"]
        return bool(listed)

    mesh.wait_for(is_listed, "the request is quarantined")
    assert len(listed) == 1 and len(listed[0]["crashes"]) == UPSTREAMS
    mesh.start_stand_ins()
    status, body = mesh.request("GET", PATH)
    assert status == 503 and b"LD3014" in body
    assert operator.run("quarantine", "--clear", "00")[0] == 1
    code, value = operator.run("quarantine", "--clear", listed[0]["request"])
    assert (code, value) == (0, {"requests": [], "cleared": True})
    mesh.wait_for(lambda: mesh.request("GET", PATH)[0] == 200, "the request is served")
