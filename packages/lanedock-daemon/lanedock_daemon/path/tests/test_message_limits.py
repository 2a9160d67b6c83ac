# SPDX-License-Identifier: BSD-3-Clause
"""Tests that the limits in force bound callers' heads and bodies, and nothing below them is refused."""

import pytest
from gevent import socket

from lanedock.config import CallerLimits
from lanedock.kernel import StopPlan
from lanedock.settings import Address
from lanedock.telemetry import EventLogger
from lanedock_daemon.path.http.messages import Answer
from lanedock_daemon.path.http.parser import MAX_HEAD_BYTES
from lanedock_daemon.path.http.server import PathServer
from lanedock_daemon.path.tests.chain import HOST, read_all

LIMITS = CallerLimits(header_bytes=1_000, body_bytes=10_000)
FIXED = b"host: h\r\nconnection: close\r\n"


class _Side:
    """Reads bodies to their ends, and counts the requests whose bodies were whole."""

    def __init__(self):
        self.whole = 0

    def handle(self, request) -> Answer:
        while request.body.read(1_000):
            pass
        self.whole += 1
        return Answer(200, "OK", [("content-length", "0")], [])


@pytest.fixture
def make_server():
    servers = []

    def make(serves_callers: bool) -> PathServer:
        options = {"get_limits": lambda: LIMITS, "serves_callers": serves_callers}
        server = PathServer("s", Address(HOST, 0), _Side(), StopPlan(0.0, 0.1), EventLogger("s"), **options)
        server.start(None)
        server.limits = LIMITS
        servers.append(server)
        return server

    yield make
    for server in servers:
        server.stop()


def _send(server: PathServer, head: bytes, body: bytes = b"") -> bytes:
    conn = socket.create_connection((HOST, server.port), timeout=10)
    conn.sendall(head + b"\r\n" + body)
    return read_all(conn)


def _make_line(size: int) -> bytes:
    """Make a header line of a size, with its end."""
    return b"x-line: " + b"." * (size - len(b"x-line: \r\n")) + b"\r\n"


def test_head_at_the_limit_is_accepted_and_one_above_it_is_refused_as_not_run(make_server):
    server = make_server(serves_callers=True)
    at_limit = _make_line(LIMITS.header_bytes - len(FIXED))
    assert _send(server, b"GET / HTTP/1.1\r\n" + FIXED + at_limit).startswith(b"HTTP/1.1 200 ")
    answer = _send(server, b"GET / HTTP/1.1\r\n" + FIXED + at_limit + b"a:\r\n")
    assert answer.startswith(b"HTTP/1.1 431 ")
    assert b"x-request-outcome: not-run" in answer


def test_start_line_does_not_count_as_a_header_line(make_server):
    server = make_server(serves_callers=True)
    target = b"/" + b"x" * (2 * LIMITS.header_bytes)
    assert _send(server, b"GET " + target + b" HTTP/1.1\r\n" + FIXED).startswith(b"HTTP/1.1 200 ")


def test_longest_head_of_a_caller_fits_between_daemons_with_what_is_added(make_server):
    server = make_server(serves_callers=False)
    line = _make_line(MAX_HEAD_BYTES - len(FIXED) - 100)
    added = _make_line(2_000)
    assert _send(server, b"GET / HTTP/1.1\r\n" + FIXED + line + added).startswith(b"HTTP/1.1 200 ")


def test_body_in_chunks_above_the_limit_is_not_passed_on_whole(make_server):
    server = make_server(serves_callers=True)
    head = b"POST / HTTP/1.1\r\n" + FIXED + b"transfer-encoding: chunked\r\n"
    chunk = b"3e8\r\n" + b"." * 1_000 + b"\r\n"
    assert _send(server, head, 10 * chunk + b"0\r\n\r\n").startswith(b"HTTP/1.1 200 ")
    assert b"200" not in _send(server, head, 11 * chunk + b"0\r\n\r\n")
    assert server.side.whole == 1
