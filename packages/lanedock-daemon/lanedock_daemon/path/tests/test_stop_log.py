# SPDX-License-Identifier: BSD-3-Clause
"""Tests of the log lines that state what a stop does to each request, at its caller."""

import json
import struct

import pytest
from gevent import socket
from gevent.event import Event as Signal

from lanedock.clock import monotonic
from lanedock.errors import ErrorCode
from lanedock.kernel import StopPlan
from lanedock.settings import Address
from lanedock.telemetry import EventLogger, configure_logging, log
from lanedock_daemon.path.http.messages import Answer, Outcome, make_refusal
from lanedock_daemon.path.http.server import PathServer
from lanedock_daemon.path.tests.chain import HOST, read_all, wait_until

# Longer than what a caller with the smallest receive buffer takes, shorter than a send buffer.
BODY = b"." * 60_000
RECEIVE_BUFFER = 4096
# Longer than any test, in seconds.
LONG = 60.0
# Time limit of a stop that the end of the process cuts, in seconds.
SHORT = 0.1
STOP_EVENTS = ("REQUEST_END", "CONNECTION_ENDED", "LISTENER_CLOSED", "STOP_SUMMARY", "NOTICE_BEGUN")
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class _Side:
    """Answers at once, /wait once `opened` is set; the other paths name the kind of the answer."""

    def __init__(self):
        self.begun: list[str] = []
        self.opened = Signal()

    def handle(self, request) -> Answer:
        self.begun.append(request.path)
        request.trace.note_sent("u")
        match request.path:
            case "/wait":
                self.opened.wait()
            case "/refused":
                return make_refusal(ErrorCode.OVERLOADED, Outcome.NOT_RUN)
            case "/unknown":
                return make_refusal(ErrorCode.ANSWER_LOST, Outcome.UNKNOWN)
            case "/broken":
                return Answer(200, "OK", [("content-length", "100")], self._break_off())
            case "/endless":
                return Answer(200, "OK", [], self._break_off())
            case "/failed":
                raise ValueError("failed")
            case "/spoilt":
                return Answer(200, "OK", [("content-length", "100")], self._fail())
        body = BODY if request.path == "/long" else b"ok"
        return Answer(200, "OK", [("content-length", str(len(body)))], [body])

    def _fail(self):
        yield b"part"
        raise ValueError("failed")

    def _break_off(self):
        yield b"part"
        self.opened.wait()
        raise ConnectionError("the answer broke off")


class _Log:
    """The log lines of a server."""

    def __init__(self, path, writer):
        self._path = path
        self._writer = writer

    def read(self, *messages: str) -> list[dict]:
        """Return the lines with one of these messages."""
        self._writer.flush()
        lines = [json.loads(line) for line in self._path.read_text(encoding="utf-8").splitlines()]
        return [line for line in lines if line["message"] in messages]

    def wait_for_ends(self, count: int = 1) -> list[dict]:
        """Wait for lines about the ends of requests, and return them."""
        wait_until(lambda: len(self.read("REQUEST_END")) >= count)
        return self.read("REQUEST_END")


@pytest.fixture
def lines(tmp_path):
    path = tmp_path / "log"
    with path.open("wb") as file:
        yield _Log(path, configure_logging("info", file.fileno()))


@pytest.fixture
def make_server(lines):
    servers = []

    def make(linger: float = 0.0, limit: float = LONG, **options) -> PathServer:
        plan = StopPlan(linger, limit)
        server = PathServer("s", Address(HOST, 0), _Side(), plan, EventLogger("s"), **options)
        server.start(None)
        servers.append(server)
        return server

    yield make
    for server in servers:
        server.side.opened.set()
        server._plan.deadline = min(server._plan.deadline, monotonic())
        server.stop()


def _request(path: str, number: int = 0, version: str = "1.1") -> bytes:
    return f"GET {path} HTTP/{version}\r\nhost: h\r\nx-request-id: id-{number}\r\n\r\n".encode()


def _connect(server: PathServer, data: bytes = b"", receive_buffer: int | None = None):
    conn = socket.socket()
    if receive_buffer is not None:
        conn.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
    conn.settimeout(LONG)
    conn.connect((HOST, server.port))
    conn.sendall(data)
    return conn


def _begin(server: PathServer, data: bytes, receive_buffer: int | None = None):
    """Send requests, and begin a stop once the first one is in progress."""
    conn = _connect(server, data, receive_buffer)
    wait_until(lambda: server.side.begun)
    server.begin_stop()
    return conn


def test_a_received_answer_is_reported_with_its_times(make_server, lines):
    server = make_server()
    with _begin(server, _request("/wait")) as conn:
        server.side.opened.set()
        assert read_all(conn).startswith(b"HTTP/1.1 200")
        (line,) = lines.wait_for_ends()
    found = {name: line[name] for name in ("request", "server", "end", "stage", "status", "outcome", "upstream")}
    assert found == {
        "request": "id-0",
        "server": "s",
        "end": "received",
        "stage": "answered",
        "status": 200,
        "outcome": "",
        "upstream": "u",
    }
    assert line["read_ms"] <= 0 <= line["answered_ms"] <= line["written_ms"] <= line["ended_ms"]


@pytest.mark.parametrize(("path", "is_written"), [("/long", True), ("/broken", False)])
def test_an_answer_that_the_end_of_the_stop_cuts_is_reported_once(make_server, lines, path, is_written):
    """The answer to /long is not received, and the body of that to /broken is still to come."""
    server = make_server(limit=SHORT)
    conn = _begin(server, _request(path), RECEIVE_BUFFER)
    server.stop()
    (line,) = lines.read("REQUEST_END")
    assert (line["end"], line["how"], line["stage"], line["status"]) == ("cut", "stop", "answered", 200)
    assert (line["written_ms"] is not None) == is_written
    conn.close()
    wait_until(lambda: not server._connections)
    assert len(lines.read("REQUEST_END")) == 1
    assert len(lines.read("CONNECTION_ENDED")) == 1
    (summary,) = lines.read("STOP_SUMMARY")
    assert (summary["read"], summary["cut"], summary["open_connections"]) == (1, 1, 1)


def test_a_half_closed_connection_is_reported_with_the_ids_of_its_requests(make_server, lines):
    # Its caller may still wait for the answers: the lines let an operator find how often that happens.
    server = make_server()
    conn = _begin(server, _request("/wait"))
    conn.shutdown(socket.SHUT_WR)
    assert read_all(conn) == b""
    (end,) = lines.wait_for_ends()
    (disconnect,) = lines.read("CALLER_DISCONNECTED")
    assert (disconnect["how"], disconnect["requests"], disconnect["answered"]) == ("end of stream", 1, 0)
    assert disconnect["ids"] == end["request"] == "id-0"
    assert (end["end"], end["how"]) == ("caller left", "end of stream")
    assert end["ended_ms"] >= 0 and disconnect["stop_ms"] >= 0


@pytest.mark.parametrize("is_reset", [False, True])
def test_a_caller_that_leaves_is_told_apart_from_a_cut(make_server, lines, is_reset):
    server = make_server()
    conn = _begin(server, _request("/wait"))
    if is_reset:
        conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    conn.close()
    (line,) = lines.wait_for_ends()
    how = "reset" if is_reset else "end of stream"
    assert (line["end"], line["how"], line["stage"], line["upstream"]) == ("caller left", how, "sent", "u")
    wait_until(lambda: lines.read("CONNECTION_ENDED"))
    (ended,) = lines.read("CONNECTION_ENDED")
    assert ended["how"] == how and ended["peer"].startswith(f"{HOST}:")


def test_a_caller_that_resets_a_written_answer_has_not_received_it(make_server, lines):
    server = make_server()
    conn = _begin(server, _request("/long"), RECEIVE_BUFFER)
    wait_until(lambda: not server.in_progress)
    conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    conn.close()
    (line,) = lines.wait_for_ends()
    assert (line["end"], line["how"], line["stage"]) == ("caller left", "reset", "answered")
    assert line["written_ms"] is not None


def _begin_linger(server: PathServer) -> None:
    """Begin the stop of a process that still serves its callers."""
    server._plan.begin(monotonic())


@pytest.mark.parametrize(
    ("path", "version", "how"),
    [("/broken", "1.1", "broken answer"), ("/endless", "1.0", "broken answer"), ("/spoilt", "1.1", "error")],
)
def test_an_answer_that_the_process_breaks_off_is_reported_as_cut(make_server, lines, path, version, how):
    server = make_server(linger=LONG)
    _begin_linger(server)
    server.side.opened.set()
    with _connect(server, _request(path, version=version)) as conn:
        try:
            read_all(conn)
        except ConnectionResetError:
            pass  # how the end of an answer without a length is told from its break
    (line,) = lines.wait_for_ends()
    assert (line["end"], line["how"]) == ("cut", how)


def test_a_request_whose_handler_fails_is_reported_with_its_unknown_outcome(make_server, lines):
    server = make_server(linger=LONG)
    _begin_linger(server)
    with _connect(server, _request("/failed")) as conn:
        wait_until(lambda: lines.read("REQUEST_END"))
        assert conn.recv(65536).startswith(b"HTTP/1.1 502 ")
    (line,) = lines.wait_for_ends()
    assert (line["end"], line["status"], line["outcome"]) == ("received", 502, "unknown")


def test_a_request_behind_the_last_answer_is_reported_as_not_begun(make_server, lines):
    server = make_server()
    with _begin(server, _request("/wait")) as conn:
        conn.sendall(_request("/behind", 1))
        (connection,) = server._connections
        wait_until(connection._reader.has_head)
        server.side.opened.set()
        read_all(conn)
        ends = lines.wait_for_ends(2)
    assert {line["request"]: (line["end"], line["stage"]) for line in ends} == {
        "id-0": ("received", "answered"),
        "id-1": ("not begun", "waiting"),
    }
    assert server.side.begun == ["/wait"]


def test_the_summary_counts_each_request_by_its_answer_and_its_end(make_server, lines):
    server = make_server(linger=LONG)
    _begin_linger(server)
    paths = ("/ok", "/refused", "/unknown", "/refused")
    for number, path in enumerate(paths):
        with _connect(server, _request(path, number)) as conn:
            lines.wait_for_ends(number + 1)
            conn.close()
    assert [line["outcome"] for line in lines.read("REQUEST_END")] == ["", "not-run", "unknown", "not-run"]
    with _connect(server, _request("/wait", 4)):
        wait_until(lambda: "/wait" in server.side.begun)
    lines.wait_for_ends(5)
    server.stop()
    (summary,) = lines.read("STOP_SUMMARY")
    names = ("read", "answered", "refused", "unknown", "received", "cut", "caller_left", "not_begun", "connections")
    assert [summary[name] for name in names] == [5, 1, 2, 1, 4, 0, 1, 0, 5]


def test_a_request_that_is_refused_past_the_deadline_has_its_line(make_server, lines):
    server = make_server()
    server._plan.begin(monotonic() - LONG)
    with _connect(server, _request("/ok")):
        (line,) = lines.wait_for_ends()
    assert (line["end"], line["outcome"], line["stage"]) == ("received", "not-run", "answered")
    assert not server.side.begun


def test_each_of_many_requests_in_one_second_of_a_stop_has_its_line(make_server, lines, monkeypatch):
    # Guards against lines that share the limit of all others, or are forgotten between two looks at the deliveries.
    monkeypatch.setattr(log, "monotonic", lambda: 7.0)
    count = 1200
    server = make_server(linger=LONG)
    _begin_linger(server)
    with _connect(server) as conn:
        for number in range(count):
            conn.sendall(_request("/ok", number))
            answer = b""
            while not answer.endswith(b"ok"):
                answer += conn.recv(4096)
        ends = lines.wait_for_ends(count)
    assert [line["request"] for line in ends] == [f"id-{number}" for number in range(count)]
    assert {line["end"] for line in ends} == {"received"}
    assert not lines.read("LOG_LIMITED")


def test_requests_outside_of_a_stop_and_received_before_it_have_no_lines(make_server, lines):
    server = make_server()
    with _connect(server, _request("/ok")) as conn:
        wait_until(lambda: server.side.begun and not server.in_progress)
        (connection,) = server._connections
        wait_until(connection._delivery.is_complete)
        with _connect(server, _request("/wait", 1)) as other:
            wait_until(lambda: "/wait" in server.side.begun)
            other.close()
            wait_until(lambda: len(server._connections) == 1)
        assert not lines.read(*STOP_EVENTS)
        server.begin_stop()
        conn.close()
        wait_until(lambda: lines.read("CONNECTION_ENDED"))
    server.stop()
    assert not lines.read("REQUEST_END", "STOP_SUMMARY")


def test_the_notice_and_the_close_of_the_listener_are_reported(make_server, lines):
    server = make_server(gives_notice=True)
    with _connect(server):
        server.begin_stop()
        wait_until(lambda: lines.read("NOTICE_BEGUN"))
        wait_until(lambda: lines.read("LISTENER_CLOSED"))
    assert lines.read("NOTICE_BEGUN")[0]["stop_ms"] >= 0
    assert lines.read("LISTENER_CLOSED")[0]["server"] == "s"
