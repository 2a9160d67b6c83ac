# SPDX-License-Identifier: BSD-3-Clause
"""Tests of connections that stop delivering without a reset while new connections work."""

import gevent
import pytest

from lanedock.wire import messages
from lanedock_daemon.path.caller.attempts import ANSWER_BUFFER_LIMIT
from lanedock_daemon.path.tests.chain import HOST, wait_until
from lanedock_daemon.tests.proxies import SilencingProxy


@pytest.fixture
def make_proxied_chain(make_chain):
    """Make a chain with a proxy on one of its links, and several pooled connections through the proxy."""
    proxies = []

    def make(link: str):
        chain = make_chain(None)
        upstream = chain.upstreams[0]
        if link == "daemons":
            proxy = SilencingProxy((HOST, upstream.server.port))
            update = messages.EndpointUpdate(whole=True)
            update.changed.add(
                instance=upstream.name, service="s", zone="z", host=HOST, port=proxy.address[1], incarnation=2
            )
            chain.view.apply_endpoints(update)
        else:
            proxy = SilencingProxy(upstream.application.address)
            upstream.side._application = proxy.address
        proxies.append(proxy)
        warm_up = [gevent.spawn(chain.request, "GET", f"/warm{number}") for number in range(3)]
        assert [task.get()[0] for task in warm_up] == [200] * 3
        assert proxy.accepted > 1
        return chain, proxy

    yield make
    for proxy in proxies:
        proxy.server.stop(timeout=0)


@pytest.mark.parametrize("link", ["daemons", "application"])
def test_request_after_a_silent_connection_uses_a_new_connection(make_proxied_chain, link):
    chain, proxy = make_proxied_chain(link)
    proxy.silence()
    # The request may have run, so its outcome is unknown. The idle connections are replaced, too.
    status, head, _ = chain.request("GET", "/first")
    assert status == 504 and "x-request-outcome: unknown" in head.lower()
    assert chain.request("GET", "/second")[0] == 200
    assert chain.runs("/second") == 1


@pytest.mark.parametrize("link", ["daemons", "application"])
def test_non_repeatable_request_is_unknown_on_a_silent_connection_and_later_ones_run_once(make_proxied_chain, link):
    chain, proxy = make_proxied_chain(link)
    proxy.silence()
    headers = "x-request-deadline-ms: 900\r\n"
    status, head, _ = chain.request("POST", "/first", b"x", headers)
    assert status == 504 and "x-request-outcome: unknown" in head.lower()
    assert chain.runs("/first") == 0
    for number in range(4):
        assert chain.request("POST", f"/{number}", b"x", headers)[0] == 200
        assert chain.runs(f"/{number}") == 1


@pytest.mark.parametrize("link", ["daemons", "application"])
@pytest.mark.parametrize("size", [2_000, 200_000])
def test_answer_that_stops_in_its_body_is_not_delivered_as_complete(make_proxied_chain, link, size):
    """A short answer is buffered until complete, so its outcome is unknown; a long answer is cut."""
    chain, proxy = make_proxied_chain(link)

    def script(conn, head: str, body: bytes) -> bytes:
        before = proxy.passed
        conn.sendall(b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % size + bytes(size // 2))
        wait_until(lambda: proxy.passed >= before + size // 2)
        proxy.silence()
        return bytes(size - size // 2)

    chain.applications[0].script = script
    status, head, body = chain.request("GET", "/first")
    if size < ANSWER_BUFFER_LIMIT:
        assert status == 504 and "x-request-outcome: unknown" in head.lower()
    else:
        assert status == 200 and len(body) < size
    chain.applications[0].script = None
    statuses = [chain.request("GET", f"/{number}")[0] for number in range(2)]
    # The first request may fail, because it detects that the idle connections are silent, too.
    assert statuses[-1] == 200


def test_only_the_first_upload_times_out_on_silent_connections(make_proxied_chain):
    """Guards against idle silent connections that each use up the deadline of a later upload.

    Bodies over 8 kB are sent once the other daemon asks for them. If the wait for that is limited by
    the request's deadline only, the pool isn't told that the address has become silent.
    """
    chain, proxy = make_proxied_chain("daemons")
    proxy.silence()
    headers = "x-request-deadline-ms: 900\r\n"
    body = bytes(20_000)
    status, head, _ = chain.request("POST", "/first", body, headers)
    # No part of the body was passed on, and the outcome says so.
    assert status == 504 and "x-request-outcome: not-run" in head.lower()
    for number in range(4):
        assert chain.request("POST", f"/{number}", body, headers)[0] == 200
        assert chain.runs(f"/{number}") == 1
    assert chain.runs("/first") == 0


def test_pool_keeps_connections_of_an_address_that_still_answers(make_chain):
    chain = make_chain(None)
    pool = chain.pool
    address = (HOST, chain.upstreams[0].server.port)
    warm_up = [gevent.spawn(chain.request, "GET", f"/warm{number}") for number in range(3)]
    gevent.joinall(warm_up)
    wait_until(lambda: len(pool._idle[address]) > 1)
    sent_at = pool._heard_at[address] - 0.001
    assert not pool.handle_late_answer(address, sent_at)
    assert len(pool._idle[address]) > 1
    assert pool.handle_late_answer(address, pool._heard_at[address] + 0.001)
    assert not pool._idle.get(address)
