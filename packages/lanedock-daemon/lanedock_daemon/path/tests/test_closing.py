# SPDX-License-Identifier: BSD-3-Clause
"""Tests of connections that close with their last answer.

What callers saw: while an entry instance stopped, or had more connections than it
keeps, they sent a request on a connection on which a long answer was still coming, with
`connection: close` in its head. The answer came to its end, the connection was closed,
and nothing said what had become of the other request, which had been run.

The order of events: the server decides that an answer is the last, writes its head,
and streams its body. A request that comes meanwhile is begun and passed on. The long
answer ends, the connection closes, and the other answer is dropped.

The cause: the connection noted that it closes when the last answer had ended, and read
and began requests until then.
"""

import pytest
from gevent import socket
from gevent.event import Event

from lanedock.kernel import StopPlan
from lanedock.settings import Address
from lanedock.telemetry import EventLogger
from lanedock_daemon.path.http import Answer
from lanedock_daemon.path.server import PathServer
from lanedock_daemon.path.tests.chain import HOST, read_all, wait_until

HALF = b"." * 10_000
# Seconds that a server waits for its requests when it stops.
LIMIT = 5.0


class _Side:
    """Streams half of the answer to /long, and the rest when the gate opens; answers others at once.

    Attributes
    ----------
    begun : list of str
        Paths of the requests that came.
    """

    def __init__(self):
        self.begun: list[str] = []
        self.opened = Event()

    def handle(self, request) -> Answer:
        self.begun.append(request.path)
        if request.path != "/long":
            return Answer(200, "OK", [("content-length", "0")], [])
        return Answer(200, "OK", [("content-length", str(2 * len(HALF)))], self._stream())

    def _stream(self):
        yield HALF
        self.opened.wait()
        yield HALF


@pytest.fixture
def make_server():
    made = []

    def make(side, **options) -> PathServer:
        server = PathServer("s", Address(HOST, 0), side, StopPlan(0.0, LIMIT), EventLogger("s"), **options)
        server.start(None)
        made.append(server)
        return server

    yield make
    for server in made:
        server.stop()


def _request(path: str) -> bytes:
    return f"GET {path} HTTP/1.1\r\nhost: h\r\n\r\n".encode()


def _begin_stop_within(server: PathServer, conn, data: bytes) -> None:
    """Begin a stop while a request's head is read: its connection isn't idle then."""
    conn.sendall(data[:10])
    wait_until(lambda: any(one._reader.is_in_head for one in server._connections))
    server.begin_stop()
    conn.sendall(data[10:])


def _read_until(conn, size: int) -> bytes:
    data = b""
    while len(data) < size:
        data += conn.recv(65536)
    return data


def _send_behind(server: PathServer, conn) -> None:
    """Send another request, and wait until it was read."""
    conn.sendall(_request("/behind"))
    (connection,) = server._connections
    wait_until(lambda: connection._reader._current.target == "/behind")


@pytest.mark.parametrize("is_crowded", [False, True])
def test_nothing_is_begun_behind_an_answer_that_closes_its_connection(make_server, is_crowded):
    side = _Side()
    server = make_server(side, max_kept=0 if is_crowded else None)
    with socket.create_connection((HOST, server.port), timeout=LIMIT) as conn:
        if is_crowded:
            conn.sendall(_request("/long"))
        else:
            _begin_stop_within(server, conn, _request("/long"))
        got = _read_until(conn, len(HALF))
        assert b"\r\nconnection: close\r\n" in got
        _send_behind(server, conn)
        side.opened.set()
        got += read_all(conn)
    assert got.endswith(b"\r\n\r\n" + 2 * HALF)
    assert side.begun == ["/long"]


def test_nothing_is_begun_behind_an_answer_that_the_process_may_cut(make_server):
    side = _Side()
    # Its connections are kept while the process lingers for its callers.
    server = make_server(side, closes_last=True)
    with socket.create_connection((HOST, server.port), timeout=LIMIT) as conn:
        _begin_stop_within(server, conn, _request("/long"))
        got = _read_until(conn, len(HALF))
        _send_behind(server, conn)
        assert side.begun == ["/long"]
        side.opened.set()
        while b"content-length: 0\r\n\r\n" not in got:
            got += conn.recv(65536)
    assert got.count(b"HTTP/1.1 200 OK") == 2
