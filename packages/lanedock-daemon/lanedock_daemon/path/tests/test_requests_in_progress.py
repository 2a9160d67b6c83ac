# SPDX-License-Identifier: BSD-3-Clause
"""Tests of events during a request, or behind its answer, that must not end it: its caller would get 502 for it."""

import gevent
import pytest
from gevent import socket

from lanedock.clock import monotonic
from lanedock.config import CallerLimits
from lanedock.telemetry import EventLogger
from lanedock_daemon.path.caller.prober import UpstreamProber
from lanedock_daemon.path.http.messages import NEVER, Body, EmptyBody, Request
from lanedock_daemon.path.shared.exchange import exchange
from lanedock_daemon.path.shared.pool import ConnectionPool
from lanedock_daemon.path.tests.chain import Application, Gate, wait_until

OK = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"


def _eject(chain) -> None:
    balancer = chain.view.balancer("s")
    for stats in balancer._upstreams.values():
        balancer._eject(stats, monotonic())
        chain.pool.close_idle(stats.address)


def _stop_upstream(chain) -> None:
    gevent.spawn(chain.upstreams[0].server.stop)


def _stop_entry(chain) -> None:
    gevent.spawn(chain.entry.stop)


def _stop_both(chain) -> None:
    _stop_upstream(chain)
    _stop_entry(chain)


def _report_late(chain) -> None:
    for pool, address in (
        (chain.pool, ("127.0.0.1", chain.upstreams[0].server.port)),
        (chain.upstreams[0].pool, chain.applications[0].address),
    ):
        pool.handle_late_answer(address, monotonic())


def _drain(chain) -> None:
    chain.upstreams[0].view.is_draining = True


@pytest.mark.parametrize("method", ["GET", "POST"])
@pytest.mark.parametrize("event", [_eject, _stop_upstream, _stop_entry, _stop_both, _report_late, _drain])
def test_request_in_progress_gets_the_answer_of_its_application(make_chain, event, method):
    gate = Gate()
    chain = make_chain(gate)
    caller = gevent.spawn(chain.request, method, "/x", b"x" if method == "POST" else b"")
    wait_until(lambda: gate.begun)
    event(chain)
    gevent.sleep(0.1)
    gate.opened.set()
    status, _, body = caller.get(timeout=5)
    assert (status, body) == (200, b"ok")
    assert (gate.begun, gate.cut) == (["/x"], [])


@pytest.mark.parametrize("delay", [0.0, 0.05], ids=["with the answer", "later"])
@pytest.mark.parametrize("extra", [b"\0\1garbage", OK, OK[:20]], ids=["garbage", "answer", "part of an answer"])
def test_bytes_behind_an_answer_end_neither_it_nor_the_next_request(make_chain, extra, delay):
    def script(conn, head: str, body: bytes) -> bytes:
        if not delay:
            return OK + extra
        gevent.spawn_later(delay, conn.sendall, extra)
        return OK

    chain = make_chain(script)
    for number in range(3):
        assert chain.request("POST", f"/{number}", b"x")[::2] == (200, b"ok")
        gevent.sleep(2 * delay)
    assert [chain.runs(f"/{number}") for number in range(3)] == [1, 1, 1]


def test_connection_that_the_application_is_about_to_close_is_not_reused(make_chain):
    """The application closes idle connections after two seconds; a request that meets the close would be unknown."""
    last_at: dict = {}

    def script(conn, head: str, body: bytes) -> bytes | None:
        is_closing = monotonic() - last_at.get(conn, monotonic()) > 1.8
        last_at[conn] = monotonic()
        return None if is_closing else OK.replace(b"\r\n\r\n", b"\r\nkeep-alive: timeout=2, max=100\r\n\r\n")

    chain = make_chain(script)
    for number, wait in enumerate((0.0, 0.0, 1.85)):
        gevent.sleep(wait)
        assert chain.request("POST", f"/{number}", b"x")[::2] == (200, b"ok")
    assert len(chain.applications[0].connections) == 2


@pytest.mark.parametrize("end", [b"garbage", OK, b""], ids=["garbage", "answer", "close"])
@pytest.mark.parametrize("is_chunked", [False, True], ids=["length", "chunked"])
def test_event_on_an_idle_connection_ends_no_request_whose_body_is_awaited(end, is_chunked):
    application = Application(lambda conn, head, body: OK)
    pool = ConnectionPool()
    try:
        for _ in range(2):
            exchange(pool, application.address, Request("POST", "/", "h", [], EmptyBody()), [], 5.0).read_all()

        class Late(Body):
            length = None if is_chunked else 1
            pieces = [b"x"]

            def read(self, size: int, deadline: float = NEVER) -> bytes:
                if not self.pieces:
                    return b""
                conn = application.connections[0]
                conn.sendall(end) if end else conn.shutdown(socket.SHUT_WR)
                gevent.sleep(0.05)
                return self.pieces.pop()

        answer = exchange(pool, application.address, Request("POST", "/", "h", [], Late()), [], 5.0)
        assert (answer.message.status, answer.read_all()) == (200, b"ok")
        assert len(application.connections) == 2
    finally:
        pool.close()
        application.server.stop(timeout=0)


@pytest.mark.parametrize("method", ["GET", "POST"])
def test_connection_that_another_daemon_is_about_to_close_as_idle_is_not_reused(make_chain, method, monkeypatch):
    """A request that meets the close of a daemon's server would be unknown, though nobody has read it."""
    chain = make_chain(None)
    limits = CallerLimits(idle_timeout_ms=1000)
    monkeypatch.setattr(chain.view, "caller_limits", lambda: limits)
    connected = []
    connect = chain.pool.connect
    monkeypatch.setattr(chain.pool, "connect", lambda *args: connected.append(args) or connect(*args))
    for wait in (0.0, 0.1, 0.85):
        gevent.sleep(wait)
        assert chain.request(method)[::2] == (200, b"ok")
    assert len(connected) == 2


def test_connection_of_a_probe_that_another_daemon_is_about_to_close_is_not_used():
    application = Application()
    pool = ConnectionPool()
    try:
        assert UpstreamProber(pool, EventLogger("test"), lambda: 0.1)._try_connect(application.address)
        gevent.sleep(0.09)
        pool.get(application.address, 1.0).conn.close()
        wait_until(lambda: len(application.connections) == 2)
    finally:
        pool.close()
        application.server.stop(timeout=0)
