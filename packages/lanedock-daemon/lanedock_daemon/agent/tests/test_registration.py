# SPDX-License-Identifier: BSD-3-Clause
"""Tests of the registration of applications over HTTP.

The tests guard against refusing a valid heartbeat whose body arrives after its head, in
several pieces or chunks. `Body.read` returns only the data that has arrived, so a single
read yields a truncated body; the application is then never registered and gets no requests.
"""

import json

import pytest
from gevent import sleep, socket

from lanedock.kernel import StopPlan
from lanedock.membership import UpstreamRegistration
from lanedock.settings import Address
from lanedock.telemetry import EventLogger
from lanedock_daemon.agent.registration import Registrar, RegistrationHandler
from lanedock_daemon.path.http.messages import NEVER, Body, Request
from lanedock_daemon.path.http.server import PathServer

HOST = "127.0.0.1"
BODY = json.dumps({"service": "s", "sequence": 4}).encode()
# Seconds between two pieces, long enough for the server to read each on its own.
PAUSE = 0.05


def _make_side() -> RegistrationHandler:
    registration = UpstreamRegistration("s", True, 1.0)
    return RegistrationHandler(Registrar(registration, lambda: None, lambda: None, EventLogger("d")))


@pytest.fixture
def answer():
    """Return a function that sends a heartbeat in pieces and returns the status line of the answer."""
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
def test_a_heartbeat_with_its_body_in_pieces_is_acknowledged(answer, framing, pieces):
    assert answer(framing, *pieces) == b"HTTP/1.1 204 No Content"


class _Endless(Body):
    length = None

    def read(self, size: int, deadline: float = NEVER) -> bytes:
        return b" " * size


def test_a_heartbeat_with_an_endless_body_is_refused():
    assert _make_side().handle(Request("PUT", "/upstreams/i-1", "h", [], _Endless())).status == 413
