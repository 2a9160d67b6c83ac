# SPDX-License-Identifier: BSD-3-Clause
"""Tests of a connection's descriptor that another connection gets at once when the first one is closed.

They guard against bytes of the first connection's answers that reach the other one, and against waits of its requests
that belong to the other one from then on. The new connection takes the descriptor within the close itself, before any
other greenlet runs.
"""

import gevent
import pytest
from gevent import socket
from gevent.event import Event

from lanedock.kernel import StopPlan
from lanedock.settings import Address
from lanedock.telemetry import EventLogger
from lanedock_daemon.path.http.channel import Channel
from lanedock_daemon.path.http.messages import Answer
from lanedock_daemon.path.http.server import PathServer
from lanedock_daemon.path.tests.chain import HOST, wait_until

RECEIVE_BUFFER = 4096
# Much more than the socket buffers hold.
BODY = b"." * 10_000_000
OTHER_BODY = b"other" * 400_000
# Seconds.
TIMEOUT = 5.0
SETTLE_TIME = 0.2


class _Side:
    """Answers with `BODY`, and waits for the body of an upload; counts the requests that have ended."""

    def __init__(self):
        self.begun: list[str] = []
        self.ended: list[str] = []

    def handle(self, request) -> Answer:
        self.begun.append(request.path)
        try:
            while request.body.read(100):
                pass
            if request.path == "/wait":
                Event().wait()
        except BaseException:
            self.ended.append(request.path)
            raise
        return Answer(200, "OK", [("content-length", str(len(BODY)))], self._body(request.path))

    def _body(self, path: str):
        try:
            yield BODY
        finally:
            self.ended.append(path)


class _Reuse:
    """Opens a pair of connected sockets when a channel is closed, one of them with the channel's descriptor."""

    def __init__(self):
        self.close = Channel.close
        self.fd: int | None = None
        self.channel: Channel | None = None
        self.peer: socket.socket | None = None

    def close_and_reuse(self, channel: Channel) -> None:
        fd = channel._sock.fileno()
        self.close(channel)
        if fd != self.fd or self.channel is not None:
            return
        spare = []
        while self.channel is None:
            pair = socket.socketpair()
            if fd not in (pair[0].fileno(), pair[1].fileno()):
                spare += pair
                continue
            same, self.peer = pair if pair[0].fileno() == fd else reversed(pair)
            self.channel = Channel(same)
        for sock in spare:
            sock.close()


@pytest.fixture
def reuse(monkeypatch):
    reuse = _Reuse()
    monkeypatch.setattr(Channel, "close", lambda channel: reuse.close_and_reuse(channel))
    yield reuse
    monkeypatch.undo()
    if reuse.channel is not None:
        reuse.channel.close()
        reuse.peer.close()


@pytest.fixture
def server():
    server = PathServer("s", Address(HOST, 0), _Side(), StopPlan(0.0, TIMEOUT), EventLogger("s"))
    server.start(None)
    yield server
    server.stop()


REQUESTS = {
    "an answer is written": b"GET /long HTTP/1.1\r\nhost: h\r\n\r\n",
    "a handler works": b"GET /wait HTTP/1.1\r\nhost: h\r\n\r\n",
    "a body is read": b"POST /body HTTP/1.1\r\nhost: h\r\ncontent-length: 10\r\n\r\n.",
}


@pytest.mark.parametrize("stage", REQUESTS)
def test_descriptor_that_is_used_again_gets_nothing_of_the_connection_that_had_it(server, reuse, stage):
    with socket.socket() as conn:
        conn.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
        conn.connect((HOST, server.port))
        conn.sendall(REQUESTS[stage])
        wait_until(lambda: server.side.begun)
        gevent.sleep(SETTLE_TIME)
        (open_connection,) = server._connections
        reuse.fd = open_connection._conn._sock.fileno()
    wait_until(lambda: reuse.channel is not None and server.side.ended)
    wait_until(lambda: not (server._connections or server.in_progress))
    assert reuse.channel._sock.fileno() == reuse.fd
    _check_exchange(reuse)


def _check_exchange(reuse: _Reuse) -> None:
    """Check that the new connection carries its own bytes, and only these, both ways, and waits for them."""
    writer = gevent.spawn(reuse.channel.sendall, OTHER_BODY)
    gevent.sleep(SETTLE_TIME)
    received = b""
    with gevent.Timeout(TIMEOUT):
        while len(received) < len(OTHER_BODY):
            received += reuse.peer.recv(65536)
        writer.get()
        reader = gevent.spawn(reuse.channel.recv, 65536)
        gevent.sleep(SETTLE_TIME)
        assert not reader.ready()
        reuse.peer.sendall(b"for the new one")
        assert reader.get() == b"for the new one"
    assert received == OTHER_BODY
