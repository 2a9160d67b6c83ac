# SPDX-License-Identifier: BSD-3-Clause
"""Tests of `lanedock explain`, which finds the cause of a failed request by its id (see docs/OPERATIONS.md)."""

import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor

import pytest
from conftest import Operator

from lanedock.testing.mesh import LocalMesh

SERVICES = {"checklists": 1, "sightings": 1, "media": 1}


@pytest.fixture
def slow_operator(tmp_path):
    """Make an operator of a mesh whose upstreams take 0.5 s per request."""
    with LocalMesh(tmp_path / "mesh", ["nbo-a"], SERVICES, work=0.5) as local_mesh:
        local_mesh.start()
        yield Operator(local_mesh, tmp_path)


def _explain(mesh: LocalMesh, request: str, *expected: str) -> str:
    """Run ``lanedock explain`` until its output holds the expected texts; returns the output.

    Each process writes its lines about requests at intervals of its own, so one of them may already be readable while
    those of the others aren't.
    """
    logs = [str(process.log_path) for process in mesh.processes]
    line = [sys.executable, "-m", "lanedock_cli.app", "explain", request, *logs]
    texts = []

    def has_expected_text() -> bool:
        completed = subprocess.run(line, capture_output=True, text=True, check=False, timeout=60)
        assert "Traceback" not in completed.stderr, completed.stderr
        texts.append(completed.stdout)
        return all(text in completed.stdout for text in expected)

    mesh.wait_for(has_expected_text, f"{', '.join(expected)} for {request}")
    print(texts[-1])
    return texts[-1]


def _send(mesh: LocalMesh, method: str, path: str, request: str) -> int:
    return mesh.request(method, path, b"x" if method == "POST" else b"", headers={"x-request-id": request})[0]


def test_request_refused_under_overload_is_explained(slow_operator):
    def reduce_capacity(value: dict) -> None:
        for service in value["services"]:
            service["slots"], service["queue"] = 1, 0

    assert slow_operator.apply(1, reduce_capacity)[0] == 0
    with ThreadPoolExecutor(8) as pool:
        sent = [f"busy-{number}" for number in range(8)]
        codes = list(pool.map(lambda name: _send(slow_operator.mesh, "POST", "/sightings", name), sent))
    refused = sent[codes.index(503)]
    text = _explain(slow_operator.mesh, refused, "REQUEST_REFUSED", "REQUEST_ANSWERED")
    assert "LD3005" in text and "in_use=1 slots=1 waiting=0 queue=0" in text
    assert "outcome=not-run status=503" in text
    # The events of both processes are listed in the order in which they happened.
    order = [text.index(name) for name in ("REQUEST_ROUTED", "REQUEST_SENT", "REQUEST_REFUSED", "REQUEST_ANSWERED")]
    assert order == sorted(order)


def test_unknown_outcome_after_an_upstream_failed_is_explained(slow_operator):
    assert slow_operator.apply(1)[0] == 0
    with ThreadPoolExecutor(1) as pool:
        job = pool.submit(_send, slow_operator.mesh, "POST", "/sightings", "lost-1")
        _wait_until_admitted(slow_operator.mesh)
        slow_operator.mesh._stand_ins.kill()
        assert job.result() in (502, 504)
    text = _explain(slow_operator.mesh, "lost-1", "REQUEST_DONE", "REQUEST_ANSWERED")
    assert "LD3008" in text and "outcome=unknown" in text
    assert "sightings-0" in text


def _wait_until_admitted(mesh: LocalMesh) -> None:
    """Wait until the daemon has an established connection to the application."""
    _, port = mesh.applications["sightings-0"]
    port_hex = f"{port:04X}"

    def is_connected() -> bool:
        with open("/proc/net/tcp", encoding="utf-8") as file:
            lines = file.read().splitlines()[1:]
        return any(line.split()[2].endswith(f":{port_hex}") and line.split()[3] == "01" for line in lines)

    mesh.wait_for(is_connected, "a connection to the application")


def test_request_without_a_route_after_a_change_is_explained(slow_operator):
    assert slow_operator.apply(1)[0] == 0

    def remove_media_routes(value: dict) -> None:
        value["routes"] = [route for route in value["routes"] if not route["path"].startswith("/media")]

    assert slow_operator.apply(2, remove_media_routes)[0] == 0
    assert _send(slow_operator.mesh, "GET", "/media/1", "gone-1") == 404
    text = _explain(slow_operator.mesh, "gone-1", "REQUEST_ROUTED")
    assert "reason=no route version=2" in text and "LD3001" in text
    # The change of the configuration is listed with the request.
    assert "IN_FORCE  version=2" in text


def test_request_that_is_in_no_log_is_reported(slow_operator):
    line = [sys.executable, "-m", "lanedock_cli.app", "explain", "never", str(slow_operator.mesh.processes[0].log_path)]
    completed = subprocess.run(line, capture_output=True, text=True, check=False, timeout=60)
    assert completed.returncode == 1 and "no line names never" in completed.stdout
