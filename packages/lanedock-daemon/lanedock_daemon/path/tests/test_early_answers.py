# SPDX-License-Identifier: BSD-3-Clause
"""Tests of applications that answer before they have read a request, or that read it late."""

import struct

import gevent
import pytest
from gevent import socket

from lanedock_daemon.path.tests.chain import Chain, make_value, parse_answer, read_all

ABORTIVE = struct.pack("ii", 1, 0)
# More than the buffers of all connections on the way hold.
LONG_BODY = bytes(40_000_000)
ANSWER = b"HTTP/1.1 413 Too Large\r\ncontent-length: 2\r\n\r\nno"


def _make_value() -> dict:
    value = make_value()
    for route in value["routes"]:
        route["deadline_ms"] = 8000
    return value


def _read_head(conn) -> bytes:
    data = b""
    while b"\r\n\r\n" not in data:
        piece = conn.recv(1024)
        if not piece:
            raise ConnectionError("no request")
        data += piece
    return data


def _upload(chain: Chain, body: bytes) -> tuple[int, str, bytes]:
    """Upload a body as a caller that reads the answer while it sends; return status, head and body of the answer."""

    def send(conn) -> None:
        try:
            conn.sendall(body)
        except OSError:
            pass  # the answer came first

    with chain.connect() as conn:
        conn.sendall(b"POST /x HTTP/1.1\r\nhost: h\r\nconnection: close\r\ncontent-length: %d\r\n\r\n" % len(body))
        sending = gevent.spawn(send, conn)
        try:
            return parse_answer(read_all(conn))
        finally:
            sending.kill()


def _stay_open(conn) -> None:
    gevent.sleep(4)


def _close(conn) -> None:
    """Close with a part of the request unread, which resets the connection behind the answer."""


def _reset(conn) -> None:
    conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, ABORTIVE)


@pytest.mark.parametrize("end", [_stay_open, _close])
@pytest.mark.parametrize("wait", [0.0, 0.3], ids=["at once", "while the body waits to be read"])
def test_early_answer_to_a_long_body_reaches_the_caller(make_chain, wait, end):
    def serve(conn) -> bool:
        _read_head(conn)
        gevent.sleep(wait)
        conn.sendall(ANSWER)
        end(conn)
        return False

    chain = make_chain(None, value=_make_value())
    chain.applications[0]._serve_one = serve
    with gevent.Timeout(3):
        status, _, body = _upload(chain, LONG_BODY)
    assert (status, body) == (413, b"no")


def test_reset_without_an_answer_to_a_long_body_is_an_unknown_outcome(make_chain):
    def serve(conn) -> bool:
        _read_head(conn)
        gevent.sleep(0.3)
        _reset(conn)
        return False

    chain = make_chain(None, value=_make_value())
    chain.applications[0]._serve_one = serve
    status, head, _ = _upload(chain, LONG_BODY)
    assert status == 502
    assert "x-request-outcome: unknown" in head.lower()


def test_body_that_the_application_reads_late_is_not_broken_off(make_chain):
    def serve(conn) -> bool:
        data = _read_head(conn)
        gevent.sleep(2.5)
        left = len(LONG_BODY) - len(data.partition(b"\r\n\r\n")[2])
        while left:
            piece = conn.recv(1_000_000)
            if not piece:
                return False
            left -= len(piece)
        conn.sendall(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok")
        return True

    chain = make_chain(None, value=_make_value())
    chain.applications[0]._serve_one = serve
    status, _, body = _upload(chain, LONG_BODY)
    assert (status, body) == (200, b"ok")


@pytest.mark.parametrize("is_chunked", [False, True])
def test_interim_answer_does_not_end_the_body(make_chain, is_chunked):
    def serve(conn) -> bool:
        _read_head(conn)
        conn.sendall(b"HTTP/1.1 102 Processing\r\n\r\n")
        data = b""
        while b"end" not in data:
            piece = conn.recv(1024)
            if not piece:
                return False
            data += piece
        conn.sendall(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok")
        return True

    chain = make_chain(None, value=_make_value())
    chain.applications[0]._serve_one = serve
    framing = b"transfer-encoding: chunked" if is_chunked else b"content-length: 6"
    pieces = (b"3\r\nabc\r\n", b"3\r\nend\r\n0\r\n\r\n") if is_chunked else (b"abc", b"end")
    with chain.connect() as conn:
        conn.sendall(b"POST /x HTTP/1.1\r\nhost: h\r\nconnection: close\r\n" + framing + b"\r\n\r\n" + pieces[0])
        gevent.sleep(0.2)
        conn.sendall(pieces[1])
        status, _, body = parse_answer(read_all(conn))
    assert (status, body) == (200, b"ok")


@pytest.mark.parametrize("is_chunked", [False, True])
@pytest.mark.parametrize("end", [_stay_open, _close])
def test_early_answer_reaches_a_caller_that_is_slow_with_its_body(make_chain, is_chunked, end):
    def serve(conn) -> bool:
        data = _read_head(conn)
        while b"abc" not in data:
            data += conn.recv(1024)
        gevent.sleep(0.1)
        conn.sendall(ANSWER)
        end(conn)
        return False

    chain = make_chain(None, value=_make_value())
    chain.applications[0]._serve_one = serve
    framing = b"transfer-encoding: chunked" if is_chunked else b"content-length: 60000"
    with chain.connect() as conn, gevent.Timeout(3):
        conn.sendall(b"POST /x HTTP/1.1\r\nhost: h\r\n" + framing + b"\r\n\r\n")
        conn.sendall(b"3\r\nabc\r\n" if is_chunked else b"abc")
        status, _, body = parse_answer(read_all(conn))
    assert (status, body) == (413, b"no")
