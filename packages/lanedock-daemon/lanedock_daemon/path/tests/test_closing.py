# SPDX-License-Identifier: BSD-3-Clause
"""Tests of connections that close after their last answer.

They guard against these failures:

- A request sent while a long answer with `connection: close` streams, during a stop or with
  more connections than the server keeps, runs without an answer. This happens if the
  connection marks itself as closing only at the end of the last answer.
- A caller that still sends its body gets a broken pipe instead of the refusal. Data sent to a
  closed socket resets the connection and discards answers that the caller hasn't read. During
  a stop, the server closed such a connection as idle within 0.02 s.
- Data sent after a refusal stays in memory (16 of 20 MB), because the end of the exchange extends
  the connection's time limit, and nothing reads the body any more.
- The caller gets only a 400 for a well-formed request and a malformed one in the same packet,
  because the parser's error ends the reader before the first request starts.
- Of two requests before a malformed one, the second ends just after the first, before the reader waits for its end. The
  reader then waits forever: the caller gets no 400, and the connection stays open.
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
from lanedock_daemon.path.http import connection
from lanedock_daemon.path.http.delivery import Delivery
from lanedock_daemon.path.http.messages import Answer, BodyBroken, BodyTimeout, Outcome, make_refusal
from lanedock_daemon.path.http.server import PathServer
from lanedock_daemon.path.http.service import POLL
from lanedock_daemon.path.tests.chain import HOST, read_all, wait_until

HALF = b"." * 10_000
UPLOAD_LENGTH = 20_000_000
UPLOAD = b"POST /x HTTP/1.1\r\nhost: h\r\ncontent-length: %d\r\n\r\n" % UPLOAD_LENGTH
UPLOAD_OF_4_BYTES = b"POST /x HTTP/1.1\r\nhost: h\r\ncontent-length: 4\r\n\r\n"
# Seconds that a stopping server waits for its requests; also the timeout of the tests' waits.
TIMEOUT = 5.0


class _StreamingSide:
    """Streams half of the answer to /long, and the rest once `opened` is set; answers others at once.

    Attributes
    ----------
    begun : list of str
        Paths of the received requests.
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
    servers = []

    def make(side, **options) -> PathServer:
        server = PathServer("s", Address(HOST, 0), side, StopPlan(0.0, TIMEOUT), EventLogger("s"), **options)
        server.start(None)
        servers.append(server)
        return server

    yield make
    for server in servers:
        server.stop()


class _WaitingSide:
    """Answers /wait once `opened` is set, and others at once.

    Attributes
    ----------
    begun : list of str
        Paths of the received requests.
    """

    def __init__(self):
        self.begun: list[str] = []
        self.opened = Event()

    def handle(self, request) -> Answer:
        self.begun.append(request.path)
        if request.path == "/wait":
            self.opened.wait()
        return Answer(200, "OK", [("content-length", "0")], [])


class _RefusingSide:
    """Refuses all requests."""

    def handle(self, request) -> Answer:
        return make_refusal(ErrorCode.OVERLOADED, Outcome.NOT_RUN)


class _ReadingSide:
    """Reads each body to its end, and then answers."""

    def __init__(self):
        self.received = b""

    def handle(self, request) -> Answer:
        while piece := request.body.read(100):
            self.received += piece
        return Answer(200, "OK", [("content-length", "0")], [])


def _request(path: str) -> bytes:
    return f"GET {path} HTTP/1.1\r\nhost: h\r\n\r\n".encode()


def _begin_stop_during_head(server: PathServer, conn, data: bytes) -> None:
    """Begin a stop while a request head is being read, so that its connection isn't idle."""
    conn.sendall(data[:10])
    wait_until(lambda: any(open_connection._reader.is_in_head for open_connection in server._connections))
    server.begin_stop()
    conn.sendall(data[10:])


def _read_until(conn, size: int) -> bytes:
    data = b""
    while len(data) < size:
        data += conn.recv(65536)
    return data


def _send_second_request(server: PathServer, conn) -> None:
    """Send another request, and wait until the server has read its head."""
    conn.sendall(_request("/behind"))
    (open_connection,) = server._connections
    wait_until(lambda: open_connection._reader._current.target == "/behind")


@pytest.mark.parametrize("is_over_connection_limit", [False, True])
def test_no_request_starts_after_an_answer_that_closes_the_connection(make_server, is_over_connection_limit):
    side = _StreamingSide()
    server = make_server(side, max_connections=0 if is_over_connection_limit else None)
    with socket.create_connection((HOST, server.port), timeout=TIMEOUT) as conn:
        if is_over_connection_limit:
            conn.sendall(_request("/long"))
        else:
            _begin_stop_during_head(server, conn, _request("/long"))
        got = _read_until(conn, len(HALF))
        assert b"\r\nconnection: close\r\n" in got
        _send_second_request(server, conn)
        side.opened.set()
        got += read_all(conn)
    assert got.endswith(b"\r\n\r\n" + 2 * HALF)
    assert side.begun == ["/long"]


def test_pipelined_request_waits_for_an_answer_that_the_stop_may_cut(make_server):
    side = _StreamingSide()
    # The server keeps its connections open and accepts requests until it is stopped.
    server = make_server(side, closes_last=True)
    with socket.create_connection((HOST, server.port), timeout=TIMEOUT) as conn:
        _begin_stop_during_head(server, conn, _request("/long"))
        got = _read_until(conn, len(HALF))
        _send_second_request(server, conn)
        assert side.begun == ["/long"]
        side.opened.set()
        while b"content-length: 0\r\n\r\n" not in got:
            got += conn.recv(65536)
    assert got.count(b"HTTP/1.1 200 OK") == 2


@pytest.mark.parametrize("max_connections", [None, 0])
@pytest.mark.parametrize(
    "head,more", [(UPLOAD, b"." * 10_000), (_request("/x"), 100 * _request("/y")), (_request("/x"), b"no HTTP\r\n\r\n")]
)
def test_a_refusal_reaches_a_caller_that_still_sends_while_the_server_stops(
    make_server, monkeypatch, head, more, max_connections
):
    monkeypatch.setattr(connection, "LINGER_TIMEOUT", TIMEOUT)
    server = make_server(_RefusingSide(), max_connections=max_connections)
    with socket.create_connection((HOST, server.port), timeout=TIMEOUT) as conn:
        _begin_stop_during_head(server, conn, head)
        stopping = gevent.spawn(server.stop)
        wait_until(lambda: any(open_connection._is_closing for open_connection in server._connections))
        for _ in range(4):
            conn.sendall(more)
            # Let the stop poll for remaining work.
            gevent.sleep(2 * POLL)
        assert not stopping.ready()
        got = read_all(conn)
    assert got.startswith(b"HTTP/1.1 503")
    assert got.count(b"HTTP/1.1 ") == 1
    stopping.get(timeout=TIMEOUT)


def test_stop_does_not_wait_for_callers_that_leave_a_closed_connection_open(make_server):
    server = make_server(_StreamingSide())
    with socket.create_connection((HOST, server.port), timeout=TIMEOUT) as conn:
        _begin_stop_during_head(server, conn, _request("/short"))
        stopping = gevent.spawn(server.stop)
        assert b"\r\nconnection: close\r\n" in read_all(conn)
        stopping.get(timeout=TIMEOUT)
        assert not server._connections


def test_input_after_a_refusal_is_discarded(make_server, monkeypatch):
    monkeypatch.setattr(connection, "LINGER_TIMEOUT", TIMEOUT / 5)
    server = make_server(_RefusingSide())
    with socket.create_connection((HOST, server.port), timeout=TIMEOUT) as conn:
        conn.sendall(UPLOAD)
        wait_until(lambda: any(open_connection._is_closing for open_connection in server._connections))
        (refused,) = server._connections
        # More than the socket buffers hold.
        conn.sendall(b"." * UPLOAD_LENGTH)
        assert refused._open_exchange.message.count_unread_bytes() <= connection.MAX_READ_AHEAD_BYTES
        sent_at = monotonic()
        # Input doesn't extend the time limit.
        wait_until(lambda: refused not in server._connections)
        assert monotonic() - sent_at <= TIMEOUT + POLL


@pytest.mark.parametrize(
    "malformed",
    [
        b"GET /b HTTP/1.1\r\nhost: h\r\nhost: i\r\n\r\n",
        b"no HTTP\r\n\r\n",
        b"POST /b HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\nno length\r\n",
    ],
)
def test_request_before_a_malformed_one_gets_its_own_answer(make_server, malformed):
    side = _StreamingSide()
    server = make_server(side)
    with socket.create_connection((HOST, server.port), timeout=TIMEOUT) as conn:
        conn.sendall(_request("/a") + malformed)
        answers = read_all(conn).split(b"HTTP/1.1 ")[1:]
    assert [answer[:3] for answer in answers] == [b"200", b"400"]
    assert side.begun == ["/a"]


def test_two_requests_that_end_together_before_a_malformed_one_do_not_leave_the_connection_open(make_server):
    side = _WaitingSide()
    server = make_server(side)
    with socket.create_connection((HOST, server.port), timeout=TIMEOUT) as conn:
        conn.sendall(_request("/wait") + _request("/b") + b"no HTTP\r\n\r\n")
        # The second answer waits for its turn behind the first one.
        wait_until(lambda: side.begun == ["/wait", "/b"])
        side.opened.set()
        answers = read_all(conn).split(b"HTTP/1.1 ")[1:]
    assert [answer[:3] for answer in answers] == [b"200", b"200", b"400"]


# Data in the same packet as the end of a body, data sent after it, and the expected statuses.
_FOLLOWING = {
    "a malformed request": (b"no HTTP\r\n\r\n", b"", [b"200", b"400"]),
    "a request whose body is to come": (UPLOAD_OF_4_BYTES, b"body", [b"200", b"200"]),
}


@pytest.mark.parametrize("behind", _FOLLOWING)
def test_body_is_complete_when_its_last_packet_contains_the_next_request(make_server, behind):
    head, rest, statuses = _FOLLOWING[behind]
    side = _ReadingSide()
    server = make_server(side)
    with socket.create_connection((HOST, server.port), timeout=TIMEOUT) as conn:
        conn.sendall(UPLOAD_OF_4_BYTES + b"bo")
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


def test_malformed_body_is_refused_with_outcome_unknown(make_server):
    side = _ReadingSide()
    server = make_server(side)
    with socket.create_connection((HOST, server.port), timeout=TIMEOUT) as conn:
        conn.sendall(b"POST /x HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n4\r\nbody\r\n")
        wait_until(lambda: side.received == b"body")
        conn.sendall(b"no length\r\n")
        answer = read_all(conn)
    assert answer.startswith(b"HTTP/1.1 400")
    assert b"\r\nx-request-outcome: unknown\r\n" in answer


class _BreakingSide:
    """Breaks off the answer to /break once `opened` is set; answers others at once.

    Attributes
    ----------
    begun : list of str
        Paths of the received requests.
    """

    def __init__(self):
        self.begun: list[str] = []
        self.opened = Event()

    def handle(self, request) -> Answer:
        self.begun.append(request.path)
        if request.path != "/break":
            return Answer(200, "OK", [("content-length", "0")], [])
        return Answer(200, "OK", [("content-length", "100")], self._break_off())

    def _break_off(self):
        yield b"part"
        self.opened.wait()
        raise ConnectionError("the answer broke off")


def test_no_waiting_request_starts_behind_an_answer_that_breaks_off_in_a_stop(make_server, monkeypatch):
    # A request that waited ran without an answer if the caller acknowledged the end of the stream at once.
    monkeypatch.setattr(Delivery, "is_complete", lambda delivery: True)
    side = _BreakingSide()
    server = make_server(side, closes_last=True)
    with socket.create_connection((HOST, server.port), timeout=TIMEOUT) as conn:
        _begin_stop_during_head(server, conn, _request("/break"))
        wait_until(lambda: side.begun == ["/break"])
        conn.sendall(UPLOAD_OF_4_BYTES + b"bo")
        (open_connection,) = server._connections
        wait_until(lambda: open_connection._reader.has_incomplete_message())
        side.opened.set()
        read_all(conn)
    wait_until(lambda: open_connection not in server._connections)
    assert side.begun == ["/break"]


class _FailingSide(_WaitingSide):
    """Raises an exception for /fail; answers others as its base class."""

    def __init__(self, exc: BaseException):
        super().__init__()
        self._exc = exc

    def handle(self, request) -> Answer:
        if request.path == "/fail":
            raise self._exc
        return super().handle(request)


_ERRORS = [ValueError("unexpected"), ConnectionResetError("a connection of its own"), BodyTimeout("its deadline")]


@pytest.mark.parametrize("exc", _ERRORS, ids=repr)
def test_unexpected_error_of_a_request_ends_no_other_request_of_its_connection(make_server, exc):
    # The connection ended without an answer to the failed request, and those in progress behind it were cancelled.
    side = _FailingSide(exc)
    server = make_server(side)
    with socket.create_connection((HOST, server.port), timeout=TIMEOUT) as conn:
        conn.sendall(_request("/fail") + _request("/wait"))
        gevent.sleep(2 * POLL)
        side.opened.set()
        answers = _read_until_answers(conn, 2)
    assert [answer[:3] for answer in answers] == [b"502", b"200"]
    assert b"\r\nx-request-outcome: unknown\r\n" in answers[0]


def test_request_whose_callers_connection_broke_ends_the_connection_without_an_answer(make_server):
    server = make_server(_FailingSide(BodyBroken("the caller has gone")))
    with socket.create_connection((HOST, server.port), timeout=TIMEOUT) as conn:
        conn.sendall(_request("/fail"))
        assert read_all(conn) == b""
    wait_until(lambda: not server._connections)


def test_body_whose_caller_can_not_be_asked_for_it_is_broken(make_server, monkeypatch):
    # Taken for a failure of the request itself, it would be answered on a connection that can't be written to.
    side = _ReadingSide()
    server = make_server(side)
    errors = []
    monkeypatch.setattr(server, "log_unexpected_error", errors.append)
    monkeypatch.setattr(connection.Connection, "send_continue", _raise_broken_pipe)
    with socket.create_connection((HOST, server.port), timeout=TIMEOUT) as conn:
        conn.sendall(UPLOAD_OF_4_BYTES[:-2] + b"expect: 100-continue\r\n\r\n")
        assert read_all(conn) == b""
    assert not errors


def _raise_broken_pipe(*_args) -> None:
    raise BrokenPipeError


def _read_until_answers(conn, count: int) -> list[bytes]:
    """Return the answers received until the last of them has begun or the connection ends."""
    got = b""
    while got.count(b"HTTP/1.1 ") < count and (more := conn.recv(65536)):
        got += more
    return got.split(b"HTTP/1.1 ")[1:]


class _UnboundedSide(_WaitingSide):
    """Answers as its base class, without a length."""

    def handle(self, request) -> Answer:
        super().handle(request)
        return Answer(200, "OK", [], [b"ok"])


def test_no_request_starts_behind_one_whose_answer_may_end_the_connection(make_server):
    # A caller of HTTP/1.0 gets an answer without a length up to the end of the connection: what ran behind it was lost.
    side = _UnboundedSide()
    server = make_server(side)
    with socket.create_connection((HOST, server.port), timeout=TIMEOUT) as conn:
        for path in ("/wait", "/b"):
            conn.sendall(f"GET {path} HTTP/1.0\r\nhost: h\r\nconnection: keep-alive\r\n\r\n".encode())
        wait_until(lambda: side.begun)
        gevent.sleep(2 * POLL)
        side.opened.set()
        got = read_all(conn)
    assert got.endswith(b"\r\n\r\nok")
    assert side.begun == ["/wait"]


def _expire_in_use(open_connection) -> None:
    """Schedule the ends that a connection that was idle gets from the stop and from the sweep."""
    open_connection.expire("stop")
    open_connection.expire("stop")


def test_request_that_is_read_while_its_idle_connection_is_ended_twice_is_answered(make_server):
    # The second end interrupted the wait for the answer.
    side = _WaitingSide()
    server = make_server(side)
    with socket.create_connection((HOST, server.port), timeout=TIMEOUT) as conn:
        conn.sendall(_request("/wait"))
        wait_until(lambda: side.begun)
        (open_connection,) = server._connections
        _expire_in_use(open_connection)
        gevent.sleep(2 * POLL)
        side.opened.set()
        assert conn.recv(65536).startswith(b"HTTP/1.1 200")


@pytest.mark.parametrize("size", [0, 2])
def test_request_whose_body_arrives_while_its_idle_connection_is_ended_is_answered(make_server, size):
    # The request was cancelled if its head had been read and its body had not.
    side = _ReadingSide()
    server = make_server(side)
    with socket.create_connection((HOST, server.port), timeout=TIMEOUT) as conn:
        conn.sendall(UPLOAD_OF_4_BYTES + b"body"[:size])
        wait_until(lambda: any(open_connection._open_exchange for open_connection in server._connections))
        (open_connection,) = server._connections
        open_connection.expire("stop")
        gevent.sleep(2 * POLL)
        conn.sendall(b"body"[size:])
        assert conn.recv(65536).startswith(b"HTTP/1.1 200")
    assert side.received == b"body"


def test_request_that_arrives_when_its_idle_connection_is_ended_is_answered(make_server):
    # A request in the kernel's buffer was not read, and its connection was reset.
    server = make_server(_WaitingSide())
    with socket.create_connection((HOST, server.port), timeout=TIMEOUT) as conn:
        conn.sendall(_request("/a"))
        assert conn.recv(65536).startswith(b"HTTP/1.1 200")
        (open_connection,) = server._connections
        open_connection.expire("stop")
        # Nothing else runs in between.
        conn.sendall(_request("/b"))
        assert conn.recv(65536).startswith(b"HTTP/1.1 200")


def test_request_before_malformed_input_is_answered_when_its_idle_connection_is_ended(make_server):
    # The end of the connection, scheduled while it was idle, interrupted the wait for the answer.
    side = _WaitingSide()
    server = make_server(side)
    with socket.create_connection((HOST, server.port), timeout=TIMEOUT) as conn:
        conn.sendall(_request("/wait") + b"no HTTP\r\n\r\n")
        wait_until(lambda: side.begun)
        (open_connection,) = server._connections
        open_connection.expire("stop")
        gevent.sleep(2 * POLL)
        side.opened.set()
        answers = _read_until_answers(conn, 2)
    assert [answer[:3] for answer in answers] == [b"200", b"400"]
