# SPDX-License-Identifier: BSD-3-Clause
"""Tests that a caller who leaves takes its request along, wherever that is by then."""

import gevent
import pytest

from lanedock_daemon.path.tests.chain import Gate, make_value, read_all, wait_until


@pytest.fixture
def gate():
    """Make the work of an application."""
    return Gate()


def _get(path: str) -> bytes:
    return f"GET {path} HTTP/1.1\r\nhost: h\r\n\r\n".encode()


def _is_idle(chain) -> bool:
    """Tell whether no daemon has a request any more."""
    limiters = [upstream.limiter for upstream in chain.upstreams]
    return not chain.entry.in_progress and not any(limiter.in_use + limiter.waiting for limiter in limiters)


def test_before_its_request_was_read(make_chain, gate):
    chain = make_chain(gate)
    conn = chain.connect()
    conn.sendall(_get("/begun")[:-2])
    gevent.sleep(0)
    conn.close()
    wait_until(lambda: _is_idle(chain))
    gate.opened.set()
    assert chain.request("GET", "/next")[0] == 200
    assert gate.begun == ["/next"]


def test_while_it_runs(make_chain, gate):
    chain = make_chain(gate)
    conn = chain.connect()
    conn.sendall(_get("/runs"))
    wait_until(lambda: gate.begun == ["/runs"])
    conn.close()
    # The application is stopped, though it never answers by itself.
    wait_until(lambda: gate.cut == ["/runs"] and _is_idle(chain))


def test_while_it_waits_in_the_queue_of_the_upstreams_daemon(make_chain, gate):
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


def test_while_its_request_is_pipelined_behind_another(make_chain, gate):
    chain = make_chain(gate)
    conn = chain.connect()
    conn.sendall(_get("/one") + _get("/two"))
    wait_until(lambda: sorted(gate.begun) == ["/one", "/two"])
    conn.close()
    wait_until(lambda: sorted(gate.cut) == ["/one", "/two"] and _is_idle(chain))
    assert len(gate.begun) == 2


def test_while_it_is_pipelined_and_waits_in_the_queue(make_chain, gate):
    chain = make_chain(gate, value=make_value(slots=1, queue=4))
    conn = chain.connect()
    conn.sendall(_get("/one") + _get("/two"))
    # Either may have the slot, and has it before the application has begun on it.
    wait_until(lambda: len(gate.begun) == 1 and chain.upstreams[0].limiter.waiting == 1)
    conn.close()
    wait_until(lambda: _is_idle(chain))
    gate.opened.set()
    assert chain.request("GET", "/next")[0] == 200
    assert len(gate.begun) == 2 and gate.begun[-1] == "/next"


def test_while_a_second_upstream_works_on_it_too(make_chain, gate):
    # Its answer is late, so it is sent elsewhere as well; both stop.
    chain = make_chain(gate, gate)
    conn = chain.connect()
    conn.sendall(_get("/late"))
    wait_until(lambda: gate.begun == ["/late", "/late"])
    conn.close()
    wait_until(lambda: gate.cut == ["/late", "/late"] and _is_idle(chain))


def test_one_who_stays_is_answered(make_chain, gate):
    chain = make_chain(gate)
    conn = chain.connect()
    conn.sendall(b"GET /stays HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n")
    wait_until(lambda: gate.begun == ["/stays"])
    gate.opened.set()
    assert read_all(conn).startswith(b"HTTP/1.1 200")


def test_a_caller_that_goes_while_it_waits_gives_its_place_back(make_chain):
    # Found on the platform: slots given to callers that had gone stayed taken,
    # until the upstream refused everybody.
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


def test_an_answer_whose_turn_never_comes_gives_its_slot_back(make_chain):
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
