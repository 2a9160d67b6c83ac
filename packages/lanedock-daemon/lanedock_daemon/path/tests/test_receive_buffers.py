# SPDX-License-Identifier: BSD-3-Clause
"""Tests that little can wait unread at a connection of the request path.

They guard against receive buffers that grow to megabytes: bytes that have arrived count as a process's memory.
"""

import gevent
from gevent import socket
from gevent.event import Event as Signal
from gevent.server import StreamServer

from lanedock.kernel import StopPlan
from lanedock.settings import Address
from lanedock.telemetry import EventLogger
from lanedock_daemon.path.http.messages import Answer
from lanedock_daemon.path.http.server import PathServer
from lanedock_daemon.path.shared.pool import ConnectionPool
from lanedock_daemon.path.tests.chain import HOST, wait_until

# The kernel doubles the size that is set, and counts its own overhead in it.
MAX_UNREAD_BYTES = 256 * 1024
PART = bytes(64 * 1024)
# Read at first, which makes the kernel enlarge a buffer that may grow.
READ_BYTES = 200 * len(PART)


def _fill(conn: socket.socket) -> None:
    """Send until nothing more is taken for a while."""
    try:
        with gevent.Timeout(0.5, False):
            while True:
                conn.sendall(PART)
    except OSError:
        pass  # the other side has closed the connection


def test_little_of_an_answer_waits_unread_at_the_connection_to_an_upstream():
    sent = []
    server = StreamServer((HOST, 0), lambda conn, address: sent.append(_fill(conn)) or gevent.sleep(5))
    server.start()
    reader = ConnectionPool().connect((HOST, server.server_port))
    size = 0
    while size < READ_BYTES:
        size += len(reader.conn.recv(len(PART)))
    wait_until(lambda: sent)
    assert 0 < reader.conn.count_unread_bytes() <= MAX_UNREAD_BYTES
    reader.conn.close()
    server.stop()


class _Side:
    """Reads the beginning of a body, and then nothing until `release` is set."""

    def __init__(self):
        self.release = Signal()

    def handle(self, request) -> Answer:
        size = 0
        while size < READ_BYTES:
            size += len(request.body.read(len(PART)))
        self.release.wait()
        return Answer(200, "OK", [("content-length", "0")], [])


def test_little_of_a_request_waits_unread_at_the_connection_of_a_caller():
    side = _Side()
    server = PathServer("s", Address(HOST, 0), side, StopPlan(0.0, 0.1), EventLogger("s"))
    server.start(None)
    conn = socket.create_connection((HOST, server.port))
    conn.sendall(b"POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 1000000000\r\n\r\n")
    _fill(conn)
    (connection,) = server._connections
    assert 0 < connection._conn.count_unread_bytes() <= MAX_UNREAD_BYTES
    side.release.set()
    conn.close()
    server.stop()
