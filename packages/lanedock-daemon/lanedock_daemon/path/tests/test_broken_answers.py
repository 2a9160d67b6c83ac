# SPDX-License-Identifier: BSD-3-Clause
"""Tests of what stands before and behind an answer that breaks off."""

import gevent
import pytest
from gevent import socket

from lanedock.kernel import StopPlan
from lanedock.settings import Address
from lanedock.telemetry import EventLogger
from lanedock_daemon.path.http.messages import Answer
from lanedock_daemon.path.http.server import PathServer
from lanedock_daemon.path.tests.chain import HOST

LONG = b"." * 3_000_000
# Bytes that the caller reads before it pauses.
READ_FIRST = 2_000_000


class _Side:
    """Answers /long whole, and breaks off the answer to other paths."""

    def handle(self, request):
        if request.path == "/long":
            return Answer(200, "OK", [("content-length", str(len(LONG)))], [LONG])
        return Answer(200, "OK", [("content-length", "100")], self._break_off())

    def _break_off(self):
        yield b"part"
        gevent.sleep(0.2)
        raise ConnectionError("the answer broke off")


def _receive_slowly(conn) -> bytes:
    """Read a part, send more bytes for a second, and read the rest."""
    data = b""
    while len(data) < READ_FIRST and (more := conn.recv(65536)):
        data += more
    for _ in range(10):
        gevent.sleep(0.1)
        try:
            conn.sendall(b"more")
        except OSError:
            break
    try:
        while more := conn.recv(65536):
            data += more
    except OSError:
        pass  # reset: what came before counts
    return data


@pytest.mark.parametrize("tail", [b"", b"no HTTP\r\n\r\n"], ids=["nothing", "malformed input"])
def test_answer_before_one_that_breaks_off_arrives_whole(tail):
    server = PathServer("s", Address(HOST, 0), _Side(), StopPlan(0.0, 1.0), EventLogger("s"))
    server.start(None)
    try:
        with socket.socket() as conn:
            conn.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            conn.settimeout(10)
            conn.connect((HOST, server.port))
            heads = [b"GET %b HTTP/1.1\r\nhost: h\r\n\r\n" % path for path in (b"/long", b"/break")]
            conn.sendall(b"".join(heads) + tail)
            assert LONG in _receive_slowly(conn)
    finally:
        server.stop()
