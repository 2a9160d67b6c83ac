# SPDX-License-Identifier: BSD-3-Clause
"""Tests of message framing: malformed requests are refused and not passed on."""

import gevent
import gevent.event
import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from lanedock_daemon.path.http import server
from lanedock_daemon.path.tests.chain import parse_answer, wait_until

HOST_LINE = b"Host: h\r\n"


@pytest.mark.parametrize(
    ("request_bytes", "status"),
    [
        (b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400),
        (b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", 400),
        (b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: +3\r\n\r\nabc", 400),
        (b"POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", 501),
        (b"POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: xchunked\r\n\r\n0\r\n\r\n", 501),
        (b"POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding : chunked\r\n\r\n0\r\n\r\n", 400),
        (b"GET /x HTTP/1.1\r\nHost: h\r\nA: b\nC: d\r\n\r\n", 400),
        (b"GET /x HTTP/1.1\r\nHost: h\r\nA: b\r\n folded: c\r\n\r\n", 400),
        (b"GET /x HTTP/1.1\r\nHost: h\r\nA\0: b\r\n\r\n", 400),
        (b"GET /x HTTP/1.1\r\n\r\n", 400),
        (b"GET /x HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n", 400),
        (b"GET http://other/x HTTP/1.1\r\nHost: h\r\n\r\n", 400),
        (b"CONNECT h:1 HTTP/1.1\r\nHost: h\r\n\r\n", 400),
        (b"GET /../x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n", 400),
        (b"GET /x HTTP/1.1\r\nHost: h\r\nA: " + b"a" * 40_000 + b"\r\n\r\n", 431),
        (b"GET /" + b"a" * 70_000 + b" HTTP/1.1\r\nHost: h\r\n\r\n", 414),
        (b"\x16\x03\x01\x02\x00", 400),
    ],
)
def test_a_malformed_request_is_refused_and_not_passed_on(make_chain, request_bytes, status):
    chain = make_chain(None)
    got = parse_answer(chain.send(request_bytes))
    assert got[0] == status, got
    assert "x-request-outcome: not-run" in got[1]
    assert chain.applications[0].runs.total() == 0


def test_request_with_an_incomplete_body_does_not_run(make_chain):
    chain = make_chain(None)
    with chain.connect() as conn:
        conn.sendall(b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nabc")
    gevent.sleep(0.1)
    assert chain.runs() == 0


def test_invalid_chunk_is_not_passed_on(make_chain):
    chain = make_chain(None)
    chain.send(b"POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\nZZ\r\n")
    assert b"ZZ" not in b"".join(head.encode() for head in chain.applications[0].heads)


def test_pipelined_requests_are_answered_in_order(make_chain):
    def echo(conn, head, body):
        path = head.split(" ")[1].encode()
        return b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%b" % (len(path), path)

    chain = make_chain(echo)
    sent = b"".join(b"GET /%d HTTP/1.1\r\nHost: h\r\n\r\n" % number for number in range(3))
    got = chain.send(sent + b"GET /3 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
    assert [part[-2:] for part in got.split(b"HTTP/1.1 ")[1:]] == [b"/0", b"/1", b"/2", b"/3"]


def test_slow_request_head_is_refused_with_408(make_chain, monkeypatch):
    monkeypatch.setattr(server, "HEAD_TIMEOUT", 0.1)
    monkeypatch.setattr(server, "SWEEP_INTERVAL", 0.05)
    chain = make_chain(None)
    assert parse_answer(chain.send(b"GET /x HTTP/1.1\r\nHos"))[0] == 408


def test_head_that_trickles_is_refused_at_its_time_limit(make_chain, monkeypatch):
    monkeypatch.setattr(server, "HEAD_TIMEOUT", 0.2)
    monkeypatch.setattr(server, "SWEEP_INTERVAL", 0.05)
    chain = make_chain(None)
    with chain.connect() as conn:
        conn.sendall(b"GET /x HTTP/1.1\r\nX: ")

        def trickle() -> None:
            for _ in range(100):
                conn.sendall(b".")
                gevent.sleep(0.05)

        trickling = gevent.spawn(trickle)
        got = conn.recv(65536)
        assert not trickling.ready()
        trickling.kill()
    assert parse_answer(got)[0] == 408


def test_a_long_stream_is_passed_on_in_bounded_memory(make_chain):
    size = 32 * 1024 * 1024

    def stream(conn, head, body):
        conn.sendall(b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % size)
        for _ in range(size // 65536):
            conn.sendall(b"." * 65536)
        return b""

    import tracemalloc

    chain = make_chain(stream)
    with chain.connect() as conn:
        conn.sendall(b"GET /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
        tracemalloc.start()
        received = 0
        while piece := conn.recv(262_144):
            received += len(piece)
        _, peak = tracemalloc.get_traced_memory()
        tracemalloc.stop()
    assert received > size
    assert peak < size / 8


@settings(
    max_examples=150, deadline=None, derandomize=True, suppress_health_check=[HealthCheck.function_scoped_fixture]
)
@given(
    data=st.lists(st.sampled_from([b"GET /x HTTP/1.1\r\n", HOST_LINE, b"\r\n", b"a: b\r\n", b"\n", b"\0", b"0\r\n"]))
)
def test_any_bytes_get_an_answer_or_a_closed_connection(make_chain, data):
    chain = _shared(make_chain)
    with chain.connect() as conn:
        conn.sendall(b"".join(data))
        conn.shutdown(1)
        got = conn.recv(65536)
    assert got == b"" or got.startswith(b"HTTP/1.1 ")


_chains: dict = {}


def _shared(make_chain):
    """Return one chain for all examples of a test."""
    if make_chain not in _chains:
        _chains.clear()
        _chains[make_chain] = make_chain(None)
    return _chains[make_chain]


def test_continue_is_sent_after_earlier_answers(make_chain):
    """Sent at once, the interim answer would be part of the answer that is still being written."""
    half = b"." * 200_000
    rest = gevent.event.Event()

    def script(conn, head, body):
        if not head.startswith("GET"):
            return b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"
        conn.sendall(b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % (2 * len(half)) + half)
        rest.wait()
        return half

    chain = make_chain(script)
    with chain.connect() as conn:
        conn.sendall(b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
        received = b""
        while len(received) < len(half):
            received += conn.recv(65536)
        conn.sendall(b"POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\nExpect: 100-continue\r\n\r\n")
        wait_until(lambda: chain.entry.in_progress == 2)
        gevent.sleep(0.05)
        rest.set()
        while b"100 Continue\r\n\r\n" not in received:
            received += conn.recv(65536)
        _, _, after_head = received.partition(b"\r\n\r\n")
        assert after_head == 2 * half + b"HTTP/1.1 100 Continue\r\n\r\n"
        conn.sendall(b"hi")
        assert b"200 OK" in conn.recv(65536)
