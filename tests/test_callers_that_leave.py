# SPDX-License-Identifier: BSD-3-Clause
"""Tests that real daemons, suspended for a while, pass on nothing for callers that have left meanwhile."""

import os
import signal
import socket
import time

import pytest

CALLERS = 20
# Seconds between a request and the leaving of its caller.
LEAVING_TIME = 0.05
# Seconds; longer than the half second after which a request may no longer reach an application.
SUSPENDED = 0.6


def _send(mesh, request_id: str) -> socket.socket:
    """Send a request to the first entry daemon, and return the connection."""
    process = next(iter(mesh.entries.values()))
    host, _, port = process.settings["entry"]["listen"].rpartition(":")
    conn = socket.create_connection((host, int(port)), timeout=10)
    conn.sendall(f"GET /checklists/x HTTP/1.1\r\nhost: h\r\nx-request-id: {request_id}\r\n\r\n".encode())
    return conn


def _suspend(processes: list) -> None:
    for process in processes:
        process.popen.send_signal(signal.SIGSTOP)
        os.waitid(os.P_PID, process.popen.pid, os.WSTOPPED | os.WNOWAIT)


@pytest.mark.parametrize("suspended", ["entry", "upstreams"])
def test_requests_of_callers_that_left_a_suspended_daemon_reach_no_application(operator, mesh, suspended):
    assert operator.apply(1)[0] == 0
    upstreams = [process for name, process in mesh.upstreams.items() if name.startswith("checklists")]
    processes = [next(iter(mesh.entries.values()))] if suspended == "entry" else upstreams
    for number in range(CALLERS):
        mesh.request("GET", "/checklists/x", headers={"X-Request-Id": f"before-{number}"})
    _suspend(processes)
    conns = [_send(mesh, f"left-{number}") for number in range(CALLERS)]
    stays = _send(mesh, "stays")
    time.sleep(LEAVING_TIME)
    for conn in conns:
        conn.close()
    time.sleep(SUSPENDED)
    for process in processes:
        process.popen.send_signal(signal.SIGCONT)
    # The caller that stayed is answered, from whatever upstream; what was sent before it has been read by then.
    assert stays.recv(65536).startswith(b"HTTP/1.1 ")
    mesh.wait_for(lambda: mesh.request("GET", "/checklists/x")[0] == 200, "requests are answered again")
    assert sorted(run for run in mesh.count_runs("checklists") if run.startswith("left")) == []
