# SPDX-License-Identifier: BSD-3-Clause
"""Tests of applications' registration over HTTP.

Heartbeats of an application whose HTTP client sends a body apart from its head, in
pieces or in chunks, were refused as malformed: it was never registered, and got no work.

Cause: a body's read returns what has come, and only the first piece was read.
"""

import json

import pytest
from gevent import sleep, socket

from lanedock.kernel import StopPlan
from lanedock.membership import UpstreamRegistration
from lanedock.settings import Address
from lanedock.telemetry import EventLogger
from lanedock_daemon.agent.registration import Registrar, RegistrationSide
from lanedock_daemon.path.http import Body, Request
from lanedock_daemon.path.server import PathServer

HOST = "127.0.0.1"
BODY = json.dumps({"service": "s", "sequence": 4}).encode()
# Seconds between two pieces; the server has read the one by then.
PAUSE = 0.05


def _make_side() -> RegistrationSide:
    registration = UpstreamRegistration("s", True, 1.0)
    return RegistrationSide(Registrar(registration, lambda: None, lambda: None, EventLogger("d")))


@pytest.fixture
def answer():
    """Return what sends a heartbeat in pieces, and returns its answer's first line."""
    server = PathServer("registration", Address(HOST, 0), _make_side(), StopPlan(), EventLogger("d"))
    server.start(None)

    def send(framing: str, *pieces: bytes) -> bytes:
        with socket.create_connection((HOST, server.port)) as conn:
            conn.sendall(f"PUT /upstreams/i-1 HTTP/1.1\r\nHost: h\r\n{framing}\r\n\r\n".encode())
            for piece in pieces:
                sleep(PAUSE)
                conn.sendall(piece)
            return conn.recv(65536).partition(b"\r\n")[0]

    yield send
    server.stop()


def _make_chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


def test_a_heartbeat_is_acknowledged(answer):
    assert answer(f"Content-Length: {len(BODY)}", BODY) == b"HTTP/1.1 204 No Content"


@pytest.mark.parametrize(
    ("framing", "pieces"),
    [
        (f"Content-Length: {len(BODY)}", (BODY[:7], BODY[7:])),
        ("Transfer-Encoding: chunked", (_make_chunk(BODY[:7]) + _make_chunk(BODY[7:]) + _make_chunk(b""),)),
        ("Transfer-Encoding: chunked", (_make_chunk(BODY[:7]), _make_chunk(BODY[7:]), _make_chunk(b""))),
    ],
)
def test_a_heartbeat_in_pieces_is_acknowledged(answer, framing, pieces):
    assert answer(framing, *pieces) == b"HTTP/1.1 204 No Content"


class _Endless(Body):
    length = None

    def read(self, size: int) -> bytes:
        return b" " * size


def test_a_heartbeat_without_end_is_refused():
    assert _make_side().handle(Request("PUT", "/upstreams/i-1", "h", [], _Endless())).status == 413
