# SPDX-License-Identifier: BSD-3-Clause
"""Machines that are suspended for seconds, which the steady clock does not count.

The processes are stopped by a signal, with clocks as a suspended machine has them (see
`suspendable/sitecustomize.py`).
"""

import json
import os
import signal
import socket
import sys
import time
from pathlib import Path

import pytest
from platform_processes import CONTROL_PORT, OUT_PORT, PlatformProcesses, call, wait_for

from lanedock_platform.tests.test_translation import make_configuration

CLOCKS = Path(__file__).parent / "suspendable"
# Longer than a daemon may be out of touch and serve on (3 s).
SUSPENDED = 4.0
REQUEST = (
    b"POST /a/b/x HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: id-1\r\n"
    b"X-Deadline-Ms: 3000\r\nContent-Length: 1\r\nConnection: close\r\n\r\nx"
)


@pytest.fixture
def platform(tmp_path, monkeypatch):
    monkeypatch.setattr(sys, "path", [str(CLOCKS), *sys.path])
    made = PlatformProcesses(tmp_path)
    try:
        made.start()
        assert made.put(make_configuration(4, 0)) == 200
        for ip in made.daemons:
            made.wait_ready(ip)
        yield made
    finally:
        made.stop()


def _suspend(process, seconds: float) -> None:
    process.send_signal(signal.SIGSTOP)
    time.sleep(seconds)
    process.send_signal(signal.SIGCONT)


def _ask_while_suspended(platform, ip: str) -> bytes:
    """Send a request to a daemon that is suspended; it finds the request as it resumes."""
    process = platform.processes[ip]
    process.send_signal(signal.SIGSTOP)
    os.waitid(os.P_PID, process.pid, os.WSTOPPED | os.WNOWAIT)
    time.sleep(SUSPENDED)
    with socket.create_connection((ip, OUT_PORT), timeout=10) as conn:
        conn.sendall(REQUEST)
        process.send_signal(signal.SIGCONT)
        return conn.recv(65536)


def test_a_daemon_that_was_suspended_serves_by_no_version_that_may_be_old(platform):
    """What it holds may have been replaced meanwhile, and nobody is there who would say so."""
    for ip in platform.controls:
        platform.processes[ip].kill()
        platform.processes[ip].wait()
    answer = _ask_while_suspended(platform, platform.daemons[0])
    assert answer.startswith(b"HTTP/1.1 503"), answer


def test_a_daemon_that_was_suspended_serves_again_once_its_version_is_confirmed(platform):
    ip = platform.daemons[0]
    _suspend(platform.processes[ip], SUSPENDED)
    platform.wait_ready(ip)
    assert platform.request(ip, "id-2")[0] == 200


def test_a_control_instance_that_was_suspended_answers_no_read_with_an_older_version(platform):
    """Each of them in turn, so that the leader is among them; the others go on without it."""
    for number, ip in enumerate(platform.controls):
        process = platform.processes[ip]
        process.send_signal(signal.SIGSTOP)
        os.waitid(os.P_PID, process.pid, os.WSTOPPED | os.WNOWAIT)
        version = make_configuration(5 + number, 4 + number)
        others = [other for other in platform.controls if other != ip]
        assert _put_at(platform, others, version) == 200
        time.sleep(SUSPENDED)
        with socket.create_connection((ip, CONTROL_PORT), timeout=10) as conn:
            conn.sendall(b"GET /Config.Get HTTP/1.1\r\nHost: c\r\nConnection: close\r\n\r\n")
            process.send_signal(signal.SIGCONT)
            answer = _read_all(conn)
        assert b"HTTP/1.1 503" in answer or version["version"].encode() in answer, answer


def _put_at(platform, controls: list[str], value: dict) -> int:
    """Send a configuration to some control instances until one takes it."""

    def put() -> int:
        for ip in controls:
            status = call(ip, CONTROL_PORT, "POST", "/Config.Put", json.dumps(value).encode())[0]
            if status not in (307, 503):
                return status
        return 0

    return wait_for(put)


def _read_all(conn) -> bytes:
    answer = b""
    while more := conn.recv(65536):
        answer += more
    return answer
