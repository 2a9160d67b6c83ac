# SPDX-License-Identifier: BSD-3-Clause
"""Tests that new callers are accepted regardless of how many connections others keep open."""

import subprocess
import sys

import gevent
import pytest
from gevent import socket

from lanedock.kernel import StopPlan
from lanedock.settings import Address
from lanedock.telemetry import EventLogger
from lanedock_daemon.path.http.messages import Answer
from lanedock_daemon.path.http.server import PathServer
from lanedock_daemon.path.tests.chain import HOST, read_all, wait_until

MAX_KEPT = 8
REQUEST = b"GET /x HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n"


class _Side:
    """Answers every request with an empty 200."""

    def handle(self, request) -> Answer:
        return Answer(200, "OK", [("content-length", "0")], [])


@pytest.fixture
def server():
    """Start a server that keeps at most `MAX_KEPT` connections."""
    path_server = PathServer(
        "s", Address(HOST, 0), _Side(), StopPlan(0.0, 1.0), EventLogger("s"), max_connections=MAX_KEPT
    )
    path_server.start(None)
    yield path_server
    path_server.stop()


def _connect(server):
    return socket.create_connection((HOST, server.port), timeout=10)


def test_the_oldest_idle_connections_are_closed_for_new_ones(server):
    idle = [_connect(server) for _ in range(5 * MAX_KEPT)]
    wait_until(lambda: MAX_KEPT <= len(server._connections) <= MAX_KEPT + 1)
    # The newest connections are still open; the oldest have been closed.
    assert idle[0].recv(1) == b""
    idle[-1].sendall(REQUEST)
    assert read_all(idle[-1]).startswith(b"HTTP/1.1 200")


def test_a_connection_whose_request_is_being_read_is_not_closed(server):
    first = _connect(server)
    first.sendall(REQUEST[:20])
    wait_until(lambda: server._connections)
    idle = [_connect(server) for _ in range(3 * MAX_KEPT)]
    wait_until(lambda: MAX_KEPT <= len(server._connections) <= MAX_KEPT + 1)
    first.sendall(REQUEST[20:])
    assert read_all(first).startswith(b"HTTP/1.1 200")
    del idle


_LIMITED = """
import resource, sys
resource.setrlimit(resource.RLIMIT_NOFILE, (64, 64))
import gevent
from lanedock.kernel import StopPlan
from lanedock.settings import Address
from lanedock.telemetry import EventLogger
from lanedock_daemon.path.http.server import PathServer
from lanedock_daemon.path.tests.test_crowds import _Side
server = PathServer("s", Address("127.0.0.1", 0), _Side(), StopPlan(0.0, 1.0), EventLogger("s"), max_connections=16)
server.start(None)
print(server.port, flush=True)
gevent.sleep(60)
"""


def test_more_connections_than_file_descriptors_do_not_block_new_callers():
    process = subprocess.Popen([sys.executable, "-c", _LIMITED], stdout=subprocess.PIPE, text=True)
    try:
        port = int(process.stdout.readline())
        connecting = [gevent.spawn(socket.create_connection, (HOST, port), timeout=10) for _ in range(200)]
        gevent.joinall(connecting)
        kept = [task.value for task in connecting if task.successful()]
        for _ in range(7):
            with socket.create_connection((HOST, port), timeout=10) as conn:
                conn.sendall(REQUEST)
                assert read_all(conn).startswith(b"HTTP/1.1 200")
        assert kept
    finally:
        process.kill()
        process.wait()
