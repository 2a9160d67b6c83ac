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

Callers also saw a broken pipe in place of a refusal, when they were still sending the
body of the request that was refused. The server had answered, shut down its side, and
then closed the connection as one on which nothing is in progress: in a stop within
0.02 s. What the caller sends to a closed socket resets it, and with it whatever the
caller has not read yet, also the rest of an answer on a slow link. At any other time
what such a caller sent was kept in memory, 16 of 20 MB, for the end of the exchange put
off the connection's end and nobody took the pieces any more.

And they saw one answer, a 400, where they had sent a well-formed request and a malformed
one in one packet: the parser's error left the reader before the first one was begun.
"""

import gevent
import pytest
from gevent import socket
from gevent.event import Event

from lanedock.clock import monotonic
from lanedock.errors import ErrorCode
from lanedock.kernel import StopPlan
from lanedock.settings import Address
from lanedock.telemetry import EventLogger
from lanedock_daemon.path import connection
from lanedock_daemon.path.http import Answer, Outcome, make_refusal
from lanedock_daemon.path.server import PathServer
from lanedock_daemon.path.service import POLL
from lanedock_daemon.path.tests.chain import HOST, read_all, wait_until

HALF = b"." * 10_000
UPLOAD_LENGTH = 20_000_000
UPLOAD = b"POST /x HTTP/1.1\r\nhost: h\r\ncontent-length: %d\r\n\r\n" % UPLOAD_LENGTH
UPLOAD_OF_4 = b"POST /x HTTP/1.1\r\nhost: h\r\ncontent-length: 4\r\n\r\n"
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


class _Refusing:
    """Refuses everything."""

    def handle(self, request) -> Answer:
        return make_refusal(ErrorCode.OVERLOADED, Outcome.NOT_RUN)


class _Reading:
    """Reads bodies, and answers when they have come to their end."""

    def __init__(self):
        self.received = b""

    def handle(self, request) -> Answer:
        while piece := request.body.read(100):
            self.received += piece
        return Answer(200, "OK", [("content-length", "0")], [])


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
    (one,) = server._connections
    wait_until(lambda: one._reader._current.target == "/behind")


@pytest.mark.parametrize("is_over_connection_limit", [False, True])
def test_nothing_is_begun_behind_an_answer_that_closes_its_connection(make_server, is_over_connection_limit):
    side = _Side()
    server = make_server(side, max_kept=0 if is_over_connection_limit else None)
    with socket.create_connection((HOST, server.port), timeout=LIMIT) as conn:
        if is_over_connection_limit:
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


@pytest.mark.parametrize("max_kept", [None, 0])
@pytest.mark.parametrize(
    "head,more", [(UPLOAD, b"." * 10_000), (_request("/x"), 100 * _request("/y")), (_request("/x"), b"no HTTP\r\n\r\n")]
)
def test_a_refusal_reaches_a_caller_that_still_sends_while_the_server_stops(
    make_server, monkeypatch, head, more, max_kept
):
    monkeypatch.setattr(connection, "LINGER_TIMEOUT", LIMIT)
    server = make_server(_Refusing(), max_kept=max_kept)
    with socket.create_connection((HOST, server.port), timeout=LIMIT) as conn:
        _begin_stop_within(server, conn, head)
        stopping = gevent.spawn(server.stop)
        wait_until(lambda: any(one._is_closing for one in server._connections))
        for _ in range(4):
            conn.sendall(more)
            # The stop looks whether anything is left to do.
            gevent.sleep(2 * POLL)
        assert not stopping.ready()
        got = read_all(conn)
    assert got.startswith(b"HTTP/1.1 503")
    assert got.count(b"HTTP/1.1 ") == 1
    stopping.get(timeout=LIMIT)


def test_a_stop_does_not_wait_for_callers_that_keep_a_closed_connection(make_server):
    server = make_server(_Side())
    with socket.create_connection((HOST, server.port), timeout=LIMIT) as conn:
        _begin_stop_within(server, conn, _request("/short"))
        stopping = gevent.spawn(server.stop)
        assert b"\r\nconnection: close\r\n" in read_all(conn)
        stopping.get(timeout=LIMIT)
        assert not server._connections


def test_what_a_refused_caller_still_sends_is_not_kept(make_server, monkeypatch):
    monkeypatch.setattr(connection, "LINGER_TIMEOUT", LIMIT)
    server = make_server(_Refusing())
    with socket.create_connection((HOST, server.port), timeout=LIMIT) as conn:
        conn.sendall(UPLOAD)
        wait_until(lambda: any(one._is_closing for one in server._connections))
        (refused,) = server._connections
        # More than the sockets hold.
        conn.sendall(b"." * UPLOAD_LENGTH)
        assert refused._open_exchange.message.count_unread_bytes() <= connection.MAX_READ_AHEAD_BYTES
        assert refused.expires_at - monotonic() <= LIMIT


@pytest.mark.parametrize(
    "malformed",
    [
        b"GET /b HTTP/1.1\r\nhost: h\r\nhost: i\r\n\r\n",
        b"no HTTP\r\n\r\n",
        b"POST /b HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\nno length\r\n",
    ],
)
def test_a_request_before_a_malformed_one_has_its_own_answer(make_server, malformed):
    side = _Side()
    server = make_server(side)
    with socket.create_connection((HOST, server.port), timeout=LIMIT) as conn:
        conn.sendall(_request("/a") + malformed)
        answers = read_all(conn).split(b"HTTP/1.1 ")[1:]
    assert [answer[:3] for answer in answers] == [b"200", b"400"]
    assert side.begun == ["/a"]


# What stands in the packet that brings a body's end, what follows, and the answers.
_BEHIND = {
    "a malformed request": (b"no HTTP\r\n\r\n", b"", [b"200", b"400"]),
    "a request whose body is to come": (UPLOAD_OF_4, b"body", [b"200", b"200"]),
}


@pytest.mark.parametrize("behind", _BEHIND)
def test_a_body_that_ends_in_the_packet_of_another_request_is_received(make_server, behind):
    head, rest, statuses = _BEHIND[behind]
    side = _Reading()
    server = make_server(side)
    with socket.create_connection((HOST, server.port), timeout=LIMIT) as conn:
        conn.sendall(UPLOAD_OF_4 + b"bo")
        wait_until(lambda: side.received == b"bo")
        conn.sendall(b"dy" + head)
        wait_until(lambda: side.received == b"body")
        conn.sendall(rest)
        got = b""
        while got.count(b"HTTP/1.1 ") < 2:
            more = conn.recv(65536)
            assert more, got
            got += more
    assert [answer[:3] for answer in got.split(b"HTTP/1.1 ")[1:]] == statuses
    assert side.received == b"body" + rest


def test_a_body_that_turns_out_malformed_leaves_it_unknown_whether_its_request_has_run(make_server):
    side = _Reading()
    server = make_server(side)
    with socket.create_connection((HOST, server.port), timeout=LIMIT) as conn:
        conn.sendall(b"POST /x HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n4\r\nbody\r\n")
        wait_until(lambda: side.received == b"body")
        conn.sendall(b"no length\r\n")
        answer = read_all(conn)
    assert answer.startswith(b"HTTP/1.1 400")
    assert b"\r\nx-request-outcome: unknown\r\n" in answer
