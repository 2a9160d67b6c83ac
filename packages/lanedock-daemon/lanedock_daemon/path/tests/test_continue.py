# SPDX-License-Identifier: BSD-3-Clause
"""Tests of the order of interim answers (`100 Continue`) and final ones while a caller receives nothing.

They guard against a final answer that is written into the middle of the interim answer of the same request, or before
it: the worker of the request before sent the interim answer, and waited for room in the send buffer meanwhile.
"""

import gevent
import pytest
from gevent import socket
from gevent.event import Event

from lanedock.clock import monotonic
from lanedock.kernel import StopPlan
from lanedock.settings import Address
from lanedock.telemetry import EventLogger
from lanedock_daemon.path.http.channel import Channel
from lanedock_daemon.path.http.messages import NEVER, Answer, BodyTimeout
from lanedock_daemon.path.http.server import PathServer
from lanedock_daemon.path.http.service import StopTimeout
from lanedock_daemon.path.tests.chain import HOST, read_all, wait_until

CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
UPLOAD = b"POST /x HTTP/1.1\r\nhost: h\r\ncontent-length: 4\r\nexpect: 100-continue\r\n\r\n"
BEFORE = b"GET /wait HTTP/1.1\r\nhost: h\r\n\r\n"
# Bytes of the interim answer that a full send buffer still takes.
FITTING_BYTES = 9
# Seconds.
BODY_LIMIT = 0.2
TIMEOUT = 5.0
PAUSE = 0.01


class _Side:
    """Answers /wait once `opened` is set; reads the bodies of others, and answers also if they don't come.

    Parameters
    ----------
    body_limit : float
        Seconds for which a body is waited for.
    """

    def __init__(self, body_limit: float):
        self.opened = Event()
        self._body_limit = body_limit

    def handle(self, request) -> Answer:
        if request.path == "/wait":
            self.opened.wait()
            return Answer(200, "OK", [("content-length", "0")], [])
        deadline = NEVER if self._body_limit == NEVER else monotonic() + self._body_limit
        try:
            while request.body.read(100, deadline):
                pass
        except BodyTimeout:
            return Answer(504, "Gateway Timeout", [("content-length", "4")], [b"late"])
        except StopTimeout:
            return Answer(502, "Bad Gateway", [("content-length", "4")], [b"stop"])
        return Answer(200, "OK", [("content-length", "5")], [b"whole"])


class _FullBuffer:
    """Stands for a send buffer that takes a part of an interim answer, and the rest once `has_room` is set."""

    def __init__(self, fitting_bytes: int):
        self.has_room = Event()
        self.is_reached = Event()
        self._fitting_bytes = fitting_bytes
        self._write = Channel._write

    def write(self, channel: Channel, data) -> int:
        if self.has_room.is_set() or not CONTINUE.endswith(bytes(data)):
            return self._write(channel, data)
        if not self.is_reached.is_set():
            self.is_reached.set()
            return self._write(channel, data[: self._fitting_bytes]) if self._fitting_bytes else 0
        gevent.sleep(PAUSE)
        # Fails if the channel was closed, as a write does.
        return self._write(channel, b"")


@pytest.fixture
def make_full_buffer(monkeypatch):
    def make(fitting_bytes: int) -> _FullBuffer:
        buffer = _FullBuffer(fitting_bytes)
        monkeypatch.setattr(Channel, "_write", lambda channel, data: buffer.write(channel, data))
        return buffer

    return make


@pytest.fixture
def make_server():
    servers = []

    def make(body_limit: float) -> PathServer:
        server = PathServer("s", Address(HOST, 0), _Side(body_limit), StopPlan(0.0, TIMEOUT), EventLogger("s"))
        server.start(None)
        servers.append(server)
        return server

    yield make
    for server in servers:
        server.stop()


def _parts(received: bytes) -> list[bytes]:
    """Return the status of each answer, and what precedes the first."""
    first, *answers = received.split(b"HTTP/1.1 ")
    return [first, *(answer[:3] for answer in answers)]


@pytest.mark.parametrize("before", [b"", BEFORE], ids=["alone", "behind another request"])
@pytest.mark.parametrize("fitting_bytes,interim", [(0, []), (FITTING_BYTES, [b"100"])])
@pytest.mark.parametrize("is_forced", [False, True], ids=["its time passes", "the stop forces its answer"])
def test_final_answer_follows_the_interim_one_of_a_caller_that_receives_nothing(
    make_server, make_full_buffer, before, fitting_bytes, interim, is_forced
):
    buffer = make_full_buffer(fitting_bytes)
    server = make_server(NEVER if is_forced else BODY_LIMIT)
    with socket.create_connection((HOST, server.port), timeout=TIMEOUT) as conn:
        conn.sendall(before + UPLOAD)
        # The body is waited for before its turn has come.
        wait_until(lambda: server.in_progress == (2 if before else 1))
        server.side.opened.set()
        assert buffer.is_reached.wait(TIMEOUT)
        if is_forced:
            gevent.sleep(PAUSE)
            server._force_final_answers()
        gevent.sleep(2 * BODY_LIMIT)
        buffer.has_room.set()
        received = read_all(conn)
    assert _parts(received) == [b"", *([b"200"] if before else []), *interim, b"502" if is_forced else b"504"]
    if interim:
        assert CONTINUE in received
    assert received.endswith(b"\r\n\r\n" + (b"stop" if is_forced else b"late"))


def test_body_is_asked_for_once_its_turn_has_come_and_is_read(make_server):
    server = make_server(NEVER)
    with socket.create_connection((HOST, server.port), timeout=TIMEOUT) as conn:
        conn.sendall(BEFORE + UPLOAD)
        wait_until(lambda: server.in_progress == 2)
        server.side.opened.set()
        received = b""
        while not received.endswith(CONTINUE):
            received += conn.recv(65536)
        conn.sendall(b"body")
        assert conn.recv(65536).endswith(b"\r\n\r\nwhole")


def test_body_is_not_asked_for_once_its_request_is_answered(make_server):
    # The answer waited for its turn; the caller was asked for a body that nobody read.
    server = make_server(BODY_LIMIT)
    with socket.create_connection((HOST, server.port), timeout=TIMEOUT) as conn:
        conn.sendall(BEFORE + UPLOAD)
        gevent.sleep(2 * BODY_LIMIT)
        server.side.opened.set()
        assert _parts(read_all(conn)) == [b"", b"200", b"504"]
