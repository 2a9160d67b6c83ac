# SPDX-License-Identifier: BSD-3-Clause
"""Tests that a request is cancelled when its caller disconnects, at any stage of the request."""

import gevent
import pytest

from lanedock_daemon.path.tests.chain import Gate, make_value, read_all, wait_until


@pytest.fixture
def gate():
    """Make an application script that answers when it is opened."""
    return Gate()


def _get(path: str) -> bytes:
    return f"GET {path} HTTP/1.1\r\nhost: h\r\n\r\n".encode()


def _is_idle(chain) -> bool:
    """Tell whether no daemon has a request in progress or waiting."""
    limiters = [upstream.limiter for upstream in chain.upstreams]
    return not chain.entry.in_progress and not any(limiter.in_use + limiter.waiting for limiter in limiters)


def test_disconnecting_before_the_request_is_read_cancels_it(make_chain, gate):
    chain = make_chain(gate)
    conn = chain.connect()
    conn.sendall(_get("/begun")[:-2])
    gevent.sleep(0)
    conn.close()
    wait_until(lambda: _is_idle(chain))
    gate.opened.set()
    assert chain.request("GET", "/next")[0] == 200
    assert gate.begun == ["/next"]


def test_disconnecting_while_the_request_runs_cancels_it(make_chain, gate):
    chain = make_chain(gate)
    conn = chain.connect()
    conn.sendall(_get("/runs"))
    wait_until(lambda: gate.begun == ["/runs"])
    conn.close()
    # The application never answers by itself, so its work ends only by the cancellation.
    wait_until(lambda: gate.cut == ["/runs"] and _is_idle(chain))


def test_disconnecting_while_the_request_waits_in_the_upstreams_queue_cancels_it(make_chain, gate):
    chain = make_chain(gate, value=make_value(slots=1, queue=4))
    first, second = chain.connect(), chain.connect()
    first.sendall(_get("/first"))
    wait_until(lambda: gate.begun == ["/first"])
    second.sendall(_get("/waits"))
    wait_until(lambda: chain.upstreams[0].limiter.waiting == 1)
    second.close()
    wait_until(lambda: chain.upstreams[0].limiter.waiting == 0)
    gate.opened.set()
    assert chain.request("GET", "/next")[0] == 200
    assert gate.begun == ["/first", "/next"]


def test_disconnecting_cancels_pipelined_requests_that_run(make_chain, gate):
    chain = make_chain(gate)
    conn = chain.connect()
    conn.sendall(_get("/one") + _get("/two"))
    wait_until(lambda: sorted(gate.begun) == ["/one", "/two"])
    conn.close()
    wait_until(lambda: sorted(gate.cut) == ["/one", "/two"] and _is_idle(chain))
    assert len(gate.begun) == 2


def test_disconnecting_cancels_a_pipelined_request_that_waits_in_the_queue(make_chain, gate):
    chain = make_chain(gate, value=make_value(slots=1, queue=4))
    conn = chain.connect()
    conn.sendall(_get("/one") + _get("/two"))
    # Either request may hold the slot, and holds it before the application has started the request.
    wait_until(lambda: len(gate.begun) == 1 and chain.upstreams[0].limiter.waiting == 1)
    conn.close()
    wait_until(lambda: _is_idle(chain))
    gate.opened.set()
    assert chain.request("GET", "/next")[0] == 200
    assert len(gate.begun) == 2 and gate.begun[-1] == "/next"


def test_disconnecting_cancels_a_hedged_request_at_both_upstreams(make_chain, gate):
    # The answer is late, so the request is also sent to the second upstream.
    chain = make_chain(gate, gate)
    conn = chain.connect()
    conn.sendall(_get("/late"))
    wait_until(lambda: gate.begun == ["/late", "/late"])
    conn.close()
    wait_until(lambda: gate.cut == ["/late", "/late"] and _is_idle(chain))


def test_a_caller_that_stays_connected_is_answered(make_chain, gate):
    chain = make_chain(gate)
    conn = chain.connect()
    conn.sendall(b"GET /stays HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n")
    wait_until(lambda: gate.begun == ["/stays"])
    gate.opened.set()
    assert read_all(conn).startswith(b"HTTP/1.1 200")


def test_callers_that_disconnect_while_they_wait_release_their_places_in_the_queue(make_chain):
    # Guards against slots that are given to disconnected callers and never released, until the
    # upstream refuses all requests.
    gate = Gate()
    chain = make_chain(gate, value=make_value(slots=1, queue=8))
    limiter = chain.upstreams[0].limiter
    first = chain.connect()
    first.sendall(b"GET /first HTTP/1.1\r\nhost: h\r\n\r\n")
    wait_until(lambda: limiter.in_use == 1)
    others = [chain.connect() for _ in range(4)]
    for conn in others:
        conn.sendall(b"GET /waits HTTP/1.1\r\nhost: h\r\n\r\n")
    wait_until(lambda: limiter.waiting == 4)
    for conn in others:
        conn.close()
    wait_until(lambda: limiter.waiting == 0)
    gate.opened.set()
    wait_until(lambda: limiter.in_use == 0)
    assert chain.request("GET", "/next")[0] == 200


def test_a_pipelined_answer_that_is_never_sent_releases_its_slot(make_chain):
    def work(conn, head, body):
        if "/slow" in head:
            gevent.sleep(30)
        conn.sendall(b"HTTP/1.1 200 OK\r\ncontent-length: 1000000\r\n\r\n")
        return b"." * 1_000_000

    chain = make_chain(work)
    limiter = chain.upstreams[0].limiter
    conn = chain.connect()
    conn.sendall(b"GET /slow HTTP/1.1\r\nhost: h\r\n\r\nGET /long HTTP/1.1\r\nhost: h\r\n\r\n")
    wait_until(lambda: chain.runs("/long") == 1)
    conn.close()
    wait_until(lambda: limiter.in_use == 0)
