# SPDX-License-Identifier: BSD-3-Clause
"""One deadline from the first byte of a request to the first byte of its answer.

What users saw: requests were held past their route's time-out, by any length: with a
time-out of 1 s, ten answers of 90 kB over a link of 2.3 Mbit/s all came late, the last
after 3.3 s; an answer of 30 kB that trickles began after 2.9 s where 0.3 s were allowed;
a caller that stalled within its upload got no answer, and the slot of the application
that was to have the upload stayed taken.

Order of events: the caller's side sends a request and waits for the answer's head by the
deadline. Answers up to 64 KB are read whole before their head is passed on; each piece
that comes within the time left renews the wait for the next one. Bodies of requests were
waited for without any limit but the server's sweep after 30 s.

Cause: a time-out for each read and none for the request.

Evidence: the tests here. Their time-outs are short, and they wait for an end that never
came by itself, or came many times later.
"""

import gevent
import pytest
from gevent import socket
from gevent.event import Event
from gevent.server import StreamServer

from lanedock.clock import monotonic
from lanedock.errors import ErrorCode
from lanedock.wire import messages
from lanedock_daemon.path.channel import Channel
from lanedock_daemon.path.headers import (
    CLASS_HEADER,
    CODE_HEADER,
    DEADLINE_HEADER,
    OUTCOME_HEADER,
    ROUTE_HEADER,
    SERVICE_HEADER,
)
from lanedock_daemon.path.http import Outcome
from lanedock_daemon.path.tests.chain import HOST, make_value, parse_answer, read_all, wait_until

TIMEOUT_MS = 300
# Seconds after which what is awaited won't come: over ten times the time-out.
PATIENCE = 5.0
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


def _make_value(**service) -> dict:
    value = make_value(**service)
    for route in value["routes"]:
        route["deadline_ms"] = TIMEOUT_MS
    return value


def _trickle(conn) -> None:
    """Send a few bytes at a time until the other side closes the connection."""
    try:
        while True:
            conn.sendall(b".")
            gevent.sleep(0.02)
    except OSError:
        pass


def _says(head: str, outcome: str, code: ErrorCode) -> bool:
    return f"{OUTCOME_HEADER}: {outcome}" in head and f"{CODE_HEADER}: {code.code}" in head


def _wait_until_idle(upstream) -> None:
    """Wait until no slot is taken, and no body counts as on its way."""
    wait_until(lambda: not upstream.limiter.in_use, PATIENCE)
    wait_until(lambda: not upstream.side._gate.bodies.load()["body_bytes"], PATIENCE)


@pytest.mark.parametrize("method", ["GET", "POST"])
@pytest.mark.parametrize("first", [0, 20_000])
def test_an_answer_that_trickles_is_unknown_by_the_timeout(make_chain, method, first):
    def script(conn, head, body):
        conn.sendall(b"HTTP/1.1 200 OK\r\ncontent-length: 60000\r\n\r\n" + b"." * first)
        _trickle(conn)

    chain = make_chain(script, value=_make_value())
    with gevent.Timeout(PATIENCE):
        status, head, _ = chain.request(method)
    assert status == 504
    assert _says(head, Outcome.UNKNOWN, ErrorCode.ANSWER_TIMEOUT)
    _wait_until_idle(chain.upstreams[0])


@pytest.mark.parametrize("length", [8_000, 20_000, 200_000])
@pytest.mark.parametrize(
    "has_begun,trickles,outcome,code",
    [
        (False, False, Outcome.NOT_RUN, ErrorCode.DEADLINE),
        (True, False, Outcome.UNKNOWN, ErrorCode.ANSWER_TIMEOUT),
        (True, True, Outcome.UNKNOWN, ErrorCode.ANSWER_TIMEOUT),
    ],
)
def test_a_request_whose_body_does_not_come_is_answered_by_the_timeout(
    make_chain, length, has_begun, trickles, outcome, code
):
    chain = make_chain(None, value=_make_value())
    with chain.connect() as conn, gevent.Timeout(PATIENCE):
        conn.sendall(b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n" % length)
        if has_begun:
            conn.sendall(b"." * (length // 2))
        sending = gevent.spawn(_trickle, conn) if trickles else None
        try:
            status, head, _ = parse_answer(conn.recv(65536))
        finally:
            gevent.killall([sending] if sending else [])
    assert status == 504
    assert _says(head, outcome, code)
    assert not chain.runs()
    _wait_until_idle(chain.upstreams[0])


@pytest.mark.parametrize(
    "sent,outcome,code",
    [(0, Outcome.NOT_RUN, ErrorCode.DEADLINE), (10_000, Outcome.UNKNOWN, ErrorCode.ANSWER_TIMEOUT)],
)
def test_a_sender_that_falls_silent_holds_no_slot_past_the_deadline(make_chain, sent, outcome, code):
    upstream = make_chain(None, value=make_value(slots=1)).upstreams[0]
    with socket.create_connection((HOST, upstream.server.port)) as conn, gevent.Timeout(PATIENCE):
        conn.sendall(_make_head(60_000))
        assert conn.recv(len(CONTINUE), socket.MSG_WAITALL) == CONTINUE
        conn.sendall(b"." * sent)
        _wait_until_idle(upstream)
        assert _says(read_all(conn).decode(), outcome, code)


def _make_head(length: int) -> bytes:
    """Make the head of a request as another daemon sends it."""
    lines = [
        "POST /x HTTP/1.1",
        "host: h",
        f"content-length: {length}",
        "expect: 100-continue",
        f"{SERVICE_HEADER}: s",
        f"{CLASS_HEADER}: write",
        f"{ROUTE_HEADER}: post",
        f"{DEADLINE_HEADER}: {TIMEOUT_MS}",
    ]
    return "\r\n".join([*lines, "", ""]).encode()


def test_an_application_that_begins_no_body_holds_no_slot_past_the_deadline(make_chain):
    def script(conn, head, body):
        conn.sendall(b"HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\n")
        conn.recv(1)

    upstream = make_chain(script).upstreams[0]
    with socket.create_connection((HOST, upstream.server.port)) as conn, gevent.Timeout(PATIENCE):
        conn.sendall(_make_head(0))
        _wait_until_idle(upstream)
        assert _says(conn.recv(65536).decode(), Outcome.UNKNOWN, ErrorCode.ANSWER_TIMEOUT)


def test_an_answer_whose_head_was_passed_on_goes_on_past_the_timeout(make_chain):
    rest = Event()
    half = b"." * 100_000

    def script(conn, head, body):
        conn.sendall(b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % (2 * len(half)) + half)
        rest.wait()
        return half

    chain = make_chain(script, value=_make_value())
    with chain.connect() as conn:
        conn.sendall(b"GET /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
        data = conn.recv(65536)
        gevent.sleep(2 * TIMEOUT_MS / 1000)
        rest.set()
        status, _, body = parse_answer(data + read_all(conn))
    assert status == 200
    assert body == 2 * half


def test_a_body_that_its_receiver_takes_slowly_ends_with_the_timeout(make_chain):
    def serve(conn, address) -> None:
        while b"\r\n\r\n" not in conn.recv(65536):
            pass
        conn.sendall(CONTINUE)
        while conn.recv(20_000):
            gevent.sleep(0.01)

    # Takes 2 MB a second, and hence ten seconds for all.
    length = 20_000_000
    receiver = StreamServer((HOST, 0), serve)
    receiver.start()
    chain = make_chain(None, value=_make_value())
    update = messages.EndpointUpdate(whole=True)
    update.changed.add(instance="u0", service="s", zone="z", host=HOST, port=receiver.server_port, incarnation=2)
    chain.view.take_endpoints(update)
    with chain.connect() as conn, gevent.Timeout(PATIENCE):
        head = b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n" % length
        sending = gevent.spawn(conn.sendall, head + b"." * length)
        status, text, _ = parse_answer(conn.recv(65536))
        sending.kill()
    receiver.stop(timeout=0)
    assert status == 504
    assert _says(text, Outcome.UNKNOWN, ErrorCode.ANSWER_TIMEOUT)


def test_a_caller_that_stalls_is_not_its_upstreams_fault(make_chain):
    chain = make_chain(None, value=_make_value())
    with chain.connect() as conn, gevent.Timeout(PATIENCE):
        conn.sendall(b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 8000\r\n\r\n....")
        assert parse_answer(conn.recv(65536))[0] == 504
    assert not chain.view.balancer("s")._upstreams["u0"].failures


def test_what_has_come_by_the_deadline_is_read_after_it():
    near, far = socket.socketpair()
    channel = Channel(near)
    channel.set_deadline(monotonic() - 1.0)
    far.sendall(b"whole")
    assert channel.recv(100) == b"whole"
    with pytest.raises(TimeoutError):
        channel.recv(100)
    # As a connection is that is used again.
    channel.set_deadline(monotonic() + PATIENCE)
    gevent.spawn(far.sendall, b"next")
    assert channel.recv(100) == b"next"
    channel.close()
    far.close()
