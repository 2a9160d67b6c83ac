# SPDX-License-Identifier: BSD-3-Clause
"""Tests of machines that are suspended for seconds, which the monotonic clock does not count.

The processes are stopped by a signal, and their clocks are patched to behave as on a suspended machine
(see `hooks/suspendable_clocks.py`).
"""

import os
import signal
import socket
import sys
import time
from contextlib import contextmanager

import pytest
from platform_processes import CONTROL_PORT, HOOKS, OUTBOUND_PORT, PlatformProcesses

from lanedock_platform.tests.test_translation import make_configuration

# Seconds; longer than a daemon may serve without contact to a control instance (3 s).
SUSPENDED = 4.0
REQUEST = (
    b"POST /a/b/x HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: id-1\r\n"
    b"X-Deadline-Ms: 3000\r\nContent-Length: 1\r\nConnection: close\r\n\r\nx"
)
READ = b"GET /Config.Get HTTP/1.1\r\nHost: c\r\nConnection: close\r\n\r\n"


@pytest.fixture
def platform(tmp_path, monkeypatch):
    monkeypatch.setattr(sys, "path", [str(HOOKS), *sys.path])
    processes = PlatformProcesses(tmp_path)
    try:
        processes.start_ready(make_configuration(4, 0))
        yield processes
    finally:
        processes.stop()


@contextmanager
def _suspended(process):
    """Suspend a process within the context."""
    process.send_signal(signal.SIGSTOP)
    os.waitid(os.P_PID, process.pid, os.WSTOPPED | os.WNOWAIT)
    try:
        yield
    finally:
        process.send_signal(signal.SIGCONT)


def _send_while_suspended(process, address: tuple[str, int], request: bytes, meanwhile=lambda: None) -> bytes:
    """Send a request to a suspended process, which reads it when it resumes; returns the response."""
    with _suspended(process):
        meanwhile()
        time.sleep(SUSPENDED)
        conn = socket.create_connection(address, timeout=10)
        conn.sendall(request)
    with conn:
        return _read_all(conn)


def test_resumed_daemon_serves_no_version_that_may_be_outdated(platform):
    """Its version may have been replaced during the suspension, and no control instance can confirm it."""
    for ip in platform.controls:
        platform.processes[ip].kill()
        platform.processes[ip].wait()
    ip = platform.daemons[0]
    answer = _send_while_suspended(platform.processes[ip], (ip, OUTBOUND_PORT), REQUEST)
    assert answer.startswith(b"HTTP/1.1 503"), answer


def test_resumed_daemon_serves_again_once_its_version_is_confirmed(platform):
    ip = platform.daemons[0]
    with _suspended(platform.processes[ip]):
        time.sleep(SUSPENDED)
    platform.wait_ready(ip)
    assert platform.request(ip, "id-2")[0] == 200


def test_resumed_control_instance_returns_no_outdated_version(platform):
    """Suspends each control instance in turn, so that the leader is included; the others continue."""
    for number, ip in enumerate(platform.controls):
        version = make_configuration(5 + number, 4 + number)
        others = [other for other in platform.controls if other != ip]

        def put(others=others, version=version) -> None:
            assert platform.put_at(others, version) == 200

        answer = _send_while_suspended(platform.processes[ip], (ip, CONTROL_PORT), READ, put)
        assert b"HTTP/1.1 503" in answer or version["version"].encode() in answer, answer


def _read_all(conn) -> bytes:
    answer = b""
    while more := conn.recv(65536):
        answer += more
    return answer
