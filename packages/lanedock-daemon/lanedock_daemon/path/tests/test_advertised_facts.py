# SPDX-License-Identifier: BSD-3-Clause
"""Tests of what an upstream states of itself in its answers: its rate limit, and that it leaves."""

import gevent
import pytest

from lanedock.clock import monotonic
from lanedock.membership import Heartbeat, UpstreamRegistration
from lanedock_daemon.path.tests.chain import Chain

RATE = 16.0
# Requests a second that are sent, and for how long, in seconds.
OFFERED, PLAYED = 80, 2.0
# What the rate allows beyond itself: half a second's worth, and five requests.
ALLOWED_BURST = 5 + RATE / 2


class LimitedApplication:
    """A script whose answers carry some headers; notes when requests come."""

    def __init__(self, *headers: str, status: str = "200 OK", work: float = 0.02):
        self.headers = list(headers)
        self.status = status
        self.work = work
        self.arrivals: list[float] = []

    def __call__(self, conn, head: str, body: bytes) -> bytes:
        self.arrivals.append(monotonic())
        gevent.sleep(self.work)
        lines = "".join(f"{line}\r\n" for line in self.headers)
        return f"HTTP/1.1 {self.status}\r\n{lines}content-length: 2\r\n\r\nok".encode()


def _limited(rate: object) -> LimitedApplication:
    return LimitedApplication(f"x-upstream-rate-limit: {rate}")


def _offer(chain: Chain, rate: float, seconds: float, path: str = "/x") -> list[int]:
    """Send requests at a steady rate; returns their statuses."""
    tasks = []
    for _ in range(int(rate * seconds)):
        tasks.append(gevent.spawn(chain.request, "GET", path))
        gevent.sleep(1 / rate)
    gevent.joinall(tasks, timeout=30)
    return [task.value[0] for task in tasks]


def _worst_excess(arrivals: list[float], rate: float) -> float:
    """Return by how many requests any span holds more than a rate allows in it."""
    return max(
        later - first + 1 - rate * (arrivals[later] - arrivals[first])
        for first in range(len(arrivals))
        for later in range(first, len(arrivals))
    )


@pytest.fixture
def make_chain():
    chains = []

    def make(*scripts, **more) -> Chain:
        chains.append(Chain(*scripts, **more))
        return chains[-1]

    yield make
    for chain in chains:
        chain.stop()


def test_an_upstream_gets_no_more_than_the_rate_that_it_advertises(make_chain):
    limited, free = _limited(RATE), LimitedApplication()
    chain = make_chain(limited, free)
    _offer(chain, OFFERED, 0.5)
    seen = len(limited.arrivals)
    statuses = _offer(chain, OFFERED, PLAYED)
    assert set(statuses) == {200}
    assert _worst_excess(limited.arrivals[seen:], RATE) <= ALLOWED_BURST


def test_a_drain_stated_in_an_answer_ends_with_the_incarnation_that_stated_it(make_chain):
    draining, free = LimitedApplication("x-upstream-draining: 1"), LimitedApplication()
    chain = make_chain(draining, free)
    upstream = chain.upstreams[0]
    registration = UpstreamRegistration("s", True, 1.0)
    registration.beat(Heartbeat("a1", "s", 1, False, 4, 0.0), monotonic())
    upstream.replace_registration(registration)
    _offer(chain, OFFERED, 0.2)
    assert draining.arrivals
    came = len(draining.arrivals)
    assert registration.is_leaving
    registration.beat(Heartbeat("a1", "s", 2, False, 4, 0.0), monotonic())
    assert set(_offer(chain, OFFERED, 0.2)) == {200}
    assert len(draining.arrivals) == came
    draining.headers = []
    registration.beat(Heartbeat("a2", "s", 1, False, 4, 0.0), monotonic())
    chain.publish_endpoints(incarnation=2)
    assert set(_offer(chain, OFFERED, 0.5)) == {200}
    assert len(draining.arrivals) > came
