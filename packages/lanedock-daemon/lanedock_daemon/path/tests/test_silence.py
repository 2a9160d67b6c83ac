# SPDX-License-Identifier: BSD-3-Clause
"""Tests of connections that fall silent without a reset while new ones work."""

import gevent
import pytest

from lanedock.wire import messages
from lanedock_daemon.path.tests.chain import HOST, wait_until
from lanedock_daemon.path.tries import BUFFER_LIMIT
from lanedock_daemon.tests.proxies import SilencingProxy


@pytest.fixture
def through_proxy(make_chain):
    """Make a chain with a proxy on one of its links, over which several connections are kept."""
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
            chain.view.take_endpoints(update)
        else:
            proxy = SilencingProxy(upstream.application.address)
            upstream.side._application = proxy.address
        proxies.append(proxy)
        asked = [gevent.spawn(chain.request, "GET", f"/warm{number}") for number in range(3)]
        assert [task.get()[0] for task in asked] == [200] * 3
        assert proxy.accepted > 1
        return chain, proxy

    yield make
    for proxy in proxies:
        proxy.server.stop(timeout=0)


@pytest.mark.parametrize("link", ["daemons", "application"])
def test_one_request_notices_and_the_next_goes_over_a_new_connection(through_proxy, link):
    chain, proxy = through_proxy(link)
    proxy.silence()
    # It may have run: its outcome isn't known, and the connection isn't blamed on it alone.
    status, head, _ = chain.request("GET", "/first")
    assert status == 504 and "x-request-outcome: unknown" in head.lower()
    assert chain.request("GET", "/second")[0] == 200
    assert chain.runs("/second") == 1


@pytest.mark.parametrize("link", ["daemons", "application"])
def test_what_may_not_be_repeated_is_neither_lost_in_silence_nor_doubled(through_proxy, link):
    chain, proxy = through_proxy(link)
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
def test_an_answer_that_falls_silent_in_its_body_is_not_passed_off_as_whole(through_proxy, link, size):
    """A short one is kept back until it is whole, and is unknown then; a long one is cut."""
    chain, proxy = through_proxy(link)

    def script(conn, head: str, body: bytes) -> bytes:
        before = proxy.passed
        conn.sendall(b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % size + bytes(size // 2))
        wait_until(lambda: proxy.passed >= before + size // 2)
        proxy.silence()
        return bytes(size - size // 2)

    chain.applications[0].script = script
    status, head, body = chain.request("GET", "/first")
    if size < BUFFER_LIMIT:
        assert status == 504 and "x-request-outcome: unknown" in head.lower()
    else:
        assert status == 200 and len(body) < size
    chain.applications[0].script = None
    statuses = [chain.request("GET", f"/{number}")[0] for number in range(2)]
    # One request may notice that the idle connections are silent, too.
    assert statuses[-1] == 200


def test_an_upload_that_waits_in_silence_to_be_asked_for_is_the_only_one(through_proxy):
    """Found by reading: the wait for consent to a body had no limit but the request's own deadline.

    Bodies over 8 kB are sent once the other daemon asks for them. Over a connection that had fallen
    silent nothing came; the idle ones beside it were kept, and took a deadline of each upload after it.
    """
    chain, proxy = through_proxy("daemons")
    proxy.silence()
    headers = "x-request-deadline-ms: 900\r\n"
    body = bytes(20_000)
    status, head, _ = chain.request("POST", "/first", body, headers)
    # Nothing of it was passed on, and that is said.
    assert status == 504 and "x-request-outcome: not-run" in head.lower()
    for number in range(4):
        assert chain.request("POST", f"/{number}", body, headers)[0] == 200
        assert chain.runs(f"/{number}") == 1
    assert chain.runs("/first") == 0


def test_an_address_that_answers_others_keeps_its_connections(make_chain):
    chain = make_chain(None)
    pool = chain.pool
    address = (HOST, chain.upstreams[0].server.port)
    asked = [gevent.spawn(chain.request, "GET", f"/warm{number}") for number in range(3)]
    gevent.joinall(asked)
    wait_until(lambda: len(pool._idle[address]) > 1)
    sent_at = pool._heard_at[address] - 0.001
    assert not pool.note_late(address, sent_at)
    assert len(pool._idle[address]) > 1
    assert pool.note_late(address, pool._heard_at[address] + 0.001)
    assert not pool._idle.get(address)
