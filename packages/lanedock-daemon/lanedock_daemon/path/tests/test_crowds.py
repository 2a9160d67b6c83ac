# SPDX-License-Identifier: BSD-3-Clause
"""Tests that new callers are accepted however many connections others keep open."""

import subprocess
import sys

import gevent
import pytest
from gevent import socket

from lanedock.kernel import StopPlan
from lanedock.settings import Address
from lanedock.telemetry import EventLogger
from lanedock_daemon.path.http import Answer
from lanedock_daemon.path.server import PathServer
from lanedock_daemon.path.tests.chain import HOST, read_all, wait_until

KEPT = 8
REQUEST = b"GET /x HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n"


class _Side:
    """Answers everything."""

    def handle(self, request) -> Answer:
        return Answer(200, "OK", [("content-length", "0")], [])


@pytest.fixture
def server():
    """Start a server that keeps a few connections only."""
    made = PathServer("s", Address(HOST, 0), _Side(), StopPlan(0.0, 1.0), EventLogger("s"), max_kept=KEPT)
    made.start(None)
    yield made
    made.stop()


def _connect(server):
    return socket.create_connection((HOST, server.port), timeout=10)


def test_the_oldest_idle_connections_make_room(server):
    idle = [_connect(server) for _ in range(5 * KEPT)]
    wait_until(lambda: KEPT <= len(server._connections) <= KEPT + 1)
    # The newest are still open, the oldest were closed.
    assert idle[0].recv(1) == b""
    idle[-1].sendall(REQUEST)
    assert read_all(idle[-1]).startswith(b"HTTP/1.1 200")


def test_a_connection_whose_request_is_being_read_is_not_ended(server):
    first = _connect(server)
    first.sendall(REQUEST[:20])
    wait_until(lambda: server._connections)
    idle = [_connect(server) for _ in range(3 * KEPT)]
    wait_until(lambda: KEPT <= len(server._connections) <= KEPT + 1)
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
from lanedock_daemon.path.server import PathServer
from lanedock_daemon.path.tests.test_crowds import _Side
server = PathServer("s", Address("127.0.0.1", 0), _Side(), StopPlan(0.0, 1.0), EventLogger("s"), max_kept=16)
server.start(None)
print(server.port, flush=True)
gevent.sleep(60)
"""


def test_a_storm_beyond_the_descriptors_of_a_process_does_not_keep_others_out():
    process = subprocess.Popen([sys.executable, "-c", _LIMITED], stdout=subprocess.PIPE, text=True)
    try:
        port = int(process.stdout.readline())
        storm = [gevent.spawn(socket.create_connection, (HOST, port), timeout=10) for _ in range(200)]
        gevent.joinall(storm)
        kept = [task.value for task in storm if task.successful()]
        for _ in range(7):
            with socket.create_connection((HOST, port), timeout=10) as conn:
                conn.sendall(REQUEST)
                assert read_all(conn).startswith(b"HTTP/1.1 200")
        assert kept
    finally:
        process.kill()
        process.wait()
