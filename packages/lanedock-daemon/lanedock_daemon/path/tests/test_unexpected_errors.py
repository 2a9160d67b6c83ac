# SPDX-License-Identifier: BSD-3-Clause
"""Tests of unexpected errors of a request, or of a connection's reader: what they do to the other requests."""

import gevent
import pytest
from gevent import socket
from gevent.event import Event

from lanedock.kernel import StopPlan
from lanedock.settings import Address
from lanedock.telemetry import EventLogger
from lanedock_daemon.path.http.messages import Answer
from lanedock_daemon.path.http.parser import RequestReader
from lanedock_daemon.path.http.server import PathServer
from lanedock_daemon.path.tests.chain import HOST, read_all, wait_until

# Seconds.
TIMEOUT = 5.0
SETTLE_TIME = 0.1


class _Side:
    """Answers /wait-N once `opened` is set, /timeout with a timeout of gevent, and others as their paths say.

    Attributes
    ----------
    begun, cancelled : list of str
        Paths of the requests.
    """

    def __init__(self):
        self.opened = Event()
        self.begun: list[str] = []
        self.cancelled: list[str] = []

    def handle(self, request) -> Answer:
        self.begun.append(request.path)
        match request.path:
            case "/timeout":
                raise gevent.Timeout(1)
            case "/head":
                return Answer(200, "OK", [("x-name", "\N{SNOWMAN}"), ("content-length", "2")], [b"ok"])
            case "/body":
                return Answer(200, "OK", [("content-length", "100")], self._fail())
            case "/end":
                return Answer(200, "OK", [("content-length", "100")], self._end())
        if request.path.startswith("/wait"):
            self._wait(request.path)
        return Answer(200, "OK", [("content-length", "2")], [b"ok"])

    def _wait(self, path: str) -> None:
        try:
            self.opened.wait()
        except gevent.GreenletExit:
            self.cancelled.append(path)
            raise

    def _fail(self):
        yield b"part"
        raise ValueError("no OSError")

    def _end(self):
        yield b"part"
        raise gevent.Timeout(1)


@pytest.fixture
def server(monkeypatch):
    server = PathServer("s", Address(HOST, 0), _Side(), StopPlan(0.0, TIMEOUT), EventLogger("s"))
    server.errors = []
    monkeypatch.setattr(server, "log_unexpected_error", server.errors.append)
    server.start(None)
    yield server
    server.side.opened.set()
    server.stop()


@pytest.fixture
def conn(server):
    with socket.create_connection((HOST, server.port), timeout=TIMEOUT) as conn:
        yield conn


def _request(path: str) -> bytes:
    return f"GET {path} HTTP/1.1\r\nhost: h\r\n\r\n".encode()


def _read_answers(conn, count: int) -> list[bytes]:
    """Return the answers received until there are as many or the connection ends."""
    got = b""
    while got.count(b"\r\n\r\n") < count and (more := conn.recv(65536)):
        got += more
    return got.split(b"HTTP/1.1 ")[1:]


@pytest.mark.parametrize("path", ["/timeout", "/head"])
def test_error_before_the_first_byte_of_an_answer_ends_no_other_request_of_its_connection(server, conn, path):
    # Without an answer to it, the next one was taken for its answer, or the connection ended.
    conn.sendall(_request("/a") + _request(path) + _request("/wait-0"))
    wait_until(lambda: "/wait-0" in server.side.begun)
    server.side.opened.set()
    answers = _read_answers(conn, 3)
    assert [answer[:3] for answer in answers] == [b"200", b"502", b"200"]
    assert b"\r\nx-request-outcome: unknown\r\n" in answers[1]
    assert len(server.errors) == 1


@pytest.mark.parametrize("path", ["/body", "/end"])
def test_error_within_an_answer_ends_its_connection_and_no_answer_is_written_behind_it(server, conn, path):
    # A timeout of gevent is no Exception: the next answer was written into the body.
    conn.sendall(_request("/a") + _request(path) + _request("/wait-0"))
    wait_until(lambda: "/wait-0" in server.side.begun)
    server.side.opened.set()
    received = read_all(conn)
    assert received.count(b"HTTP/1.1 200") == 2
    assert received.endswith(b"\r\n\r\npart")
    assert len(server.errors) == 1


def test_requests_that_have_begun_are_answered_when_the_reader_fails(server, conn, monkeypatch):
    # The connection was closed, and they were cancelled.
    conn.sendall(_request("/wait-0") + _request("/wait-1"))
    wait_until(lambda: len(server.side.begun) == 2)
    monkeypatch.setattr(RequestReader, "receive", _fail_to_receive)
    conn.sendall(_request("/behind"))
    # The wait that is under way ends with the request.
    wait_until(lambda: "/behind" in server.side.begun)
    conn.sendall(_request("/unread"))
    wait_until(lambda: server.errors)
    gevent.sleep(SETTLE_TIME)
    server.side.opened.set()
    answers = read_all(conn).split(b"HTTP/1.1 ")[1:]
    assert [answer[:3] for answer in answers] == [b"200", b"200", b"200"]
    assert [b"\r\nconnection: close\r\n" in answer for answer in answers] == [False, False, True]
    assert not server.side.cancelled


def _fail_to_receive(reader) -> bool:
    raise MemoryError
