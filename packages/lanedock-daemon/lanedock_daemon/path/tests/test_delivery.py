# SPDX-License-Identifier: BSD-3-Clause
"""Tests that callers receive written answers whole, however their connection ends.

They guard against answers that the kernel has taken but the caller has not received when the
connection is closed: input that is unread then, or arrives later, resets the connection, and what
was not sent yet is lost.
"""

import json

import gevent
import pytest
from gevent import socket

from lanedock.kernel import StopPlan
from lanedock.settings import Address
from lanedock.telemetry import EventLogger, configure_logging
from lanedock_daemon.path.http import connection
from lanedock_daemon.path.http.messages import Answer
from lanedock_daemon.path.http.server import PathServer
from lanedock_daemon.path.tests.chain import HOST, wait_until

# Longer than what a caller with the smallest receive buffer takes, shorter than a send buffer.
BODY = b"." * 60_000
RECEIVE_BUFFER = 4096
# Seconds.
STOP_LIMIT = 4.0
TIMEOUT = 3.0
READING_PAUSE = 0.3


class _Side:
    """Answers with `BODY`, briefly if the path is /short, with a part of a body if it is /broken, never if /waiting."""

    def __init__(self):
        self.begun: list[str] = []

    def handle(self, request) -> Answer:
        self.begun.append(request.path)
        if request.path == "/waiting":
            gevent.sleep(TIMEOUT)
        if request.path == "/broken":
            return Answer(200, "OK", [("content-length", "100")], _break_off())
        body = b"ok" if request.path == "/short" else BODY
        return Answer(200, "OK", [("content-length", str(len(body)))], [body])


def _break_off():
    yield b"part"
    raise ConnectionError("the answer broke off")


class _Limits:
    """Limits for callers: the timeouts of heads and of idle connections, in milliseconds."""

    def __init__(self, header_timeout_ms: int = 60_000, idle_timeout_ms: int = 60_000):
        self.header_timeout_ms = header_timeout_ms
        self.idle_timeout_ms = idle_timeout_ms
        self.body_bytes = 1_000_000


@pytest.fixture
def make_server():
    servers = []

    def make(limit: float = STOP_LIMIT, **options) -> PathServer:
        server = PathServer("s", Address(HOST, 0), _Side(), StopPlan(0.0, limit), EventLogger("s"), **options)
        server.start(None)
        servers.append(server)
        return server

    yield make
    for server in servers:
        server.stop()


@pytest.fixture
def make_caller():
    callers = []

    def make(server: PathServer) -> socket.socket:
        conn = socket.socket()
        conn.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
        conn.settimeout(TIMEOUT)
        conn.connect((HOST, server.port))
        callers.append(conn)
        return conn

    yield make
    for conn in callers:
        conn.close()


def _request(path: str, headers: str = "") -> bytes:
    return f"GET {path} HTTP/1.1\r\nhost: h\r\n{headers}\r\n".encode()


def _send_unread_request(server: PathServer, conn, *following: bytes, headers: str = "") -> None:
    """Send a request with a long answer, and wait until the answer has been written but not received."""
    before = len(server.side.begun)
    conn.sendall(_request("/long", headers) + b"".join(following))
    wait_until(lambda: len(server.side.begun) > before and not server.in_progress)


def _read_to_end(conn) -> bytes:
    """Return what is received until the connection ends in any way, or nothing more comes."""
    got = b""
    try:
        while more := conn.recv(RECEIVE_BUFFER):
            got += more
    except OSError:
        pass
    return got


def _read_line(writer, capfd, message: str) -> dict:
    """Return the only log line of a kind."""
    writer.flush()
    lines = [json.loads(line) for line in capfd.readouterr().out.splitlines()]
    (line,) = [line for line in lines if line["message"] == message]
    return line


def _keep_sending(conn) -> None:
    """Send more requests until the connection is closed."""
    try:
        for _ in range(4):
            conn.sendall(_request("/short"))
            gevent.sleep(READING_PAUSE / 4)
    except OSError:
        pass


def _end_by_stop(server: PathServer, conn) -> None:
    _send_unread_request(server, conn)
    gevent.spawn(server.stop)


def _end_by_request(server: PathServer, conn) -> None:
    _send_unread_request(server, conn, headers="connection: close\r\n")


def _end_by_malformed_request(server: PathServer, conn) -> None:
    _send_unread_request(server, conn, b"no HTTP\r\n\r\n")


def _end_by_broken_answer(server: PathServer, conn) -> None:
    _send_unread_request(server, conn, _request("/broken"))


def _end_by_connection_limit(server: PathServer, conn) -> None:
    server._max_connections = 0
    _send_unread_request(server, conn)


def _end_oldest_idle(server: PathServer, conn) -> None:
    _send_unread_request(server, conn)
    server._max_connections = 0
    socket.create_connection((HOST, server.port), timeout=TIMEOUT).close()


def _end_by_idle_timeout(server: PathServer, conn) -> None:
    _set_limits(server, idle_timeout_ms=1)
    _send_unread_request(server, conn)


def _end_by_head_timeout(server: PathServer, conn) -> None:
    _set_limits(server, header_timeout_ms=1)
    _send_unread_request(server, conn, b"GET /unfinished")


def _set_limits(server: PathServer, **limits: int) -> None:
    server._get_limits = lambda: _Limits(**limits)
    wait_until(lambda: server.limits is not None)


# The ways in which the server ends a connection.
_ENDS = {
    "stop": _end_by_stop,
    "announced close": _end_by_request,
    "broken answer": _end_by_broken_answer,
    "malformed request": _end_by_malformed_request,
    "connection limit": _end_by_connection_limit,
    "room for another caller": _end_oldest_idle,
    "idle timeout": _end_by_idle_timeout,
    "head timeout": _end_by_head_timeout,
}


@pytest.mark.parametrize("end", _ENDS)
def test_answer_is_not_cut_at_a_caller_that_reads_slowly_and_sends_on(make_server, make_caller, monkeypatch, end):
    monkeypatch.setattr(connection, "LINGER_TIMEOUT", READING_PAUSE / 10)
    server = make_server()
    conn = make_caller(server)
    _ENDS[end](server, conn)
    # Longer than the sweep's interval.
    gevent.sleep(1.2)
    sending = gevent.spawn(_keep_sending, conn)
    gevent.sleep(READING_PAUSE)
    head, _, body = _read_to_end(conn).partition(b"\r\n\r\n")
    sending.kill()
    assert head.startswith(b"HTTP/1.1 200")
    assert body[: len(BODY)] == BODY


def test_request_that_arrives_when_an_idle_connection_is_closed_is_answered(make_server, make_caller):
    server = make_server()
    conn = make_caller(server)
    conn.sendall(_request("/short"))
    assert b"ok" in conn.recv(RECEIVE_BUFFER)
    # Nothing else runs in between: the request is in the kernel's buffer when the server stops.
    conn.sendall(_request("/short"))
    stopping = gevent.spawn(server.stop)
    got = _read_to_end(conn)
    assert b"\r\nconnection: close\r\n" in got
    assert got.endswith(b"ok")
    stopping.get(timeout=2 * TIMEOUT)


def test_stop_announces_the_close_to_a_caller_that_sends_at_short_intervals(make_server, make_caller):
    server = make_server()
    conn = make_caller(server)
    conn.sendall(_request("/short"))
    assert b"ok" in conn.recv(RECEIVE_BUFFER)
    stopping = gevent.spawn(server.stop)
    gevent.sleep(0.05)
    conn.sendall(_request("/short"))
    assert b"\r\nconnection: close\r\n" in _read_to_end(conn)
    stopping.get(timeout=2 * TIMEOUT)


def test_stop_waits_until_the_last_answer_has_arrived(make_server, make_caller):
    server = make_server()
    conn = make_caller(server)
    _send_unread_request(server, conn, headers="connection: close\r\n")
    stopping = gevent.spawn(server.stop)
    gevent.sleep(2 * connection.LINGER_TIMEOUT)
    assert not stopping.ready()
    assert _read_to_end(conn).endswith(BODY)
    stopping.get(timeout=2 * TIMEOUT)


def test_stop_starts_no_pipelined_request_before_its_caller_has_received_earlier_answers(make_server, make_caller):
    server = make_server(closes_last=True)
    conn = make_caller(server)
    _send_unread_request(server, conn)
    server.begin_stop()
    conn.sendall(_request("/short"))
    gevent.sleep(READING_PAUSE)
    assert server.side.begun == ["/long"]
    got = b""
    while not got.endswith(b"ok"):
        got += conn.recv(RECEIVE_BUFFER)
    assert server.side.begun == ["/long", "/short"]


def test_refusal_above_the_connection_limit_reaches_a_caller_that_still_uploads(make_server, make_caller):
    server = make_server(max_connections=0)
    conn = make_caller(server)
    conn.sendall(b"POST /short HTTP/1.1\r\nhost: h\r\ncontent-length: 1000000\r\n\r\n")
    for _ in range(5):
        conn.sendall(b"." * 10_000)
        gevent.sleep(READING_PAUSE / 5)
    assert _read_to_end(conn).endswith(b"ok")


def test_connections_cut_at_the_end_of_a_stop_are_logged_with_their_unsent_bytes(make_server, make_caller, capfd):
    writer = configure_logging("info")
    server = make_server(limit=READING_PAUSE)
    conn = make_caller(server)
    _send_unread_request(server, conn, headers="x-request-id: r1\r\n")
    gevent.spawn(server.stop).get(timeout=TIMEOUT)
    cut = _read_line(writer, capfd, "CONNECTION_CUT")
    assert (cut["reason"], cut["requests"], cut["ids"]) == ("stop", 0, "r1")
    assert len(BODY) // 2 < cut["unsent"] < len(BODY)


def test_answers_that_a_caller_has_received_are_not_named_as_cut(make_server, make_caller, capfd):
    writer = configure_logging("info")
    server = make_server(limit=READING_PAUSE)
    conn = make_caller(server)
    conn.sendall(_request("/short", "x-request-id: r0\r\n"))
    assert conn.recv(RECEIVE_BUFFER).endswith(b"ok")
    _send_unread_request(server, conn, headers="x-request-id: r1\r\n")
    gevent.spawn(server.stop).get(timeout=TIMEOUT)
    assert _read_line(writer, capfd, "CONNECTION_CUT")["ids"] == "r1"


def test_requests_that_are_cancelled_because_their_caller_disconnects_are_logged(make_server, make_caller, capfd):
    writer = configure_logging("info")
    server = make_server()
    begun = server.side.begun
    conn = make_caller(server)
    conn.sendall(_request("/waiting", "x-request-id: r1\r\n") + _request("/short", "x-request-id: r2\r\n"))
    wait_until(lambda: len(begun) == 2)
    conn.close()
    wait_until(lambda: not server.in_progress)
    line = _read_line(writer, capfd, "CALLER_DISCONNECTED")
    assert (line["requests"], line["answered"], line["ids"]) == (2, 1, "r1 r2")


def test_connection_in_the_listen_queue_is_served_when_the_server_stops(make_server, make_caller):
    server = make_server()
    # Nothing else runs in between: the kernel has made the connection, and the server has not accepted it.
    conn = make_caller(server)
    conn.sendall(_request("/short"))
    server.begin_stop()
    got = _read_to_end(conn)
    assert b"\r\nconnection: close\r\n" in got
    assert got.endswith(b"ok")


def test_request_on_a_connection_that_a_stopping_server_has_just_accepted_is_answered(
    make_server, make_caller, monkeypatch
):
    # A connection without a request was closed as an idle one, when its first request was on its way.
    monkeypatch.setattr(connection, "UNUSED_CLOSE_DELAY", TIMEOUT)
    server = make_server()
    conn = make_caller(server)
    stopping = gevent.spawn(server.stop)
    gevent.sleep(4 * connection.IDLE_CLOSE_DELAY)
    conn.sendall(_request("/short"))
    got = _read_to_end(conn)
    assert b"\r\nconnection: close\r\n" in got
    assert got.endswith(b"ok")
    stopping.get(timeout=2 * TIMEOUT)


def test_stop_does_not_wait_for_connections_that_stay_unused(make_server, make_caller):
    server = make_server()
    conn = make_caller(server)
    gevent.spawn(server.stop).get(timeout=TIMEOUT)
    assert _read_to_end(conn) == b""


def test_request_before_malformed_input_waits_in_a_stop_until_its_caller_has_received_earlier_answers(
    make_server, make_caller
):
    # Malformed input started the requests that waited, and the end of the process could cut their answers.
    server = make_server(closes_last=True)
    conn = make_caller(server)
    _send_unread_request(server, conn)
    server.begin_stop()
    conn.sendall(_request("/short") + b"no HTTP\r\n\r\n")
    gevent.sleep(READING_PAUSE)
    assert server.side.begun == ["/long"]
    got = _read_to_end(conn)
    assert [answer[:3] for answer in got.split(b"HTTP/1.1 ")[1:]] == [b"200", b"200", b"400"]
