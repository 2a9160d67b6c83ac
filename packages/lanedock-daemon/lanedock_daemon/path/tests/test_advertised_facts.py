# SPDX-License-Identifier: BSD-3-Clause
"""Tests of what an upstream states of itself in its answers: its rate limit, and that it leaves."""

import gevent
import pytest

from lanedock.clock import monotonic
from lanedock.membership import Heartbeat, UpstreamRegistration
from lanedock_daemon.path.tests.chain import Chain, Gate, make_value, parse_answer, wait_until

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


def test_a_limit_in_refusals_and_failures_holds_as_one_in_answers(make_chain):
    limited, free = _limited(RATE), LimitedApplication()
    limited.status = "500 Internal Server Error"
    chain = make_chain(limited, free)
    _offer(chain, OFFERED, 0.3)
    assert chain.upstreams[0].limiter.rate.rate == RATE


def test_an_upstream_that_takes_nothing_gets_nothing_and_its_siblings_all(make_chain):
    limited, free = _limited(0), LimitedApplication()
    chain = make_chain(limited, free)
    _offer(chain, OFFERED, 0.3)
    seen = len(limited.arrivals)
    assert set(_offer(chain, OFFERED, 1.0)) == {200}
    # One may have been admitted as the limit came.
    assert len(limited.arrivals) <= seen + 1


def test_a_limit_that_is_stated_no_more_ends_and_nothing_is_refused(make_chain):
    limited, free = _limited(2.0), LimitedApplication()
    chain = make_chain(limited, free)
    _offer(chain, OFFERED, 0.5)
    assert chain.upstreams[0].limiter.rate.is_limited
    limited.headers = []
    statuses = _offer(chain, OFFERED, 3.0)
    assert set(statuses) == {200}
    assert not chain.upstreams[0].limiter.rate.is_limited
    came = len(limited.arrivals)
    _offer(chain, OFFERED, 0.5)
    assert len(limited.arrivals) - came > 10


@pytest.mark.parametrize("value", ["", "nan", "-3", "1e400", "9" * 5000])
def test_an_answer_with_an_unreadable_limit_is_delivered_whole_and_changes_none(make_chain, value):
    limited, free = _limited(RATE), LimitedApplication()
    chain = make_chain(limited, free)
    _offer(chain, OFFERED, 0.3)
    limited.headers = [f"x-upstream-rate-limit: {value}"]
    status, _, body = parse_answer(chain.send(b"GET /y HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n"))
    assert (status, body) == (200, b"ok")
    _offer(chain, OFFERED, 0.3)
    assert chain.upstreams[0].limiter.rate.rate == RATE


def test_where_all_upstreams_are_at_their_limits_requests_are_refused_with_a_time_to_come_back(make_chain):
    value = make_value()
    value["routes"][0]["target_ms"] = 200
    limited = [_limited(2.0) for _ in range(2)]
    chain = make_chain(*limited, value=value)
    _offer(chain, OFFERED, 0.3)
    answers = []
    for _ in range(20):
        answers.append(chain.request("GET"))
    refused = [head.lower() for status, head, _ in answers if status == 503]
    assert refused
    assert all("retry-after:" in head and "not-run" in head for head in refused)


def test_a_limit_costs_neither_retries_nor_ejections(make_chain):
    limited, free = _limited(2.0), LimitedApplication()
    chain = make_chain(limited, free)
    budget = chain.view.budget("s")
    _offer(chain, OFFERED, 1.0)
    left = budget.left(monotonic())
    assert set(_offer(chain, OFFERED, 1.0)) == {200}
    assert budget.left(monotonic()) >= left
    stats = chain.view.balancer("s")._upstreams["u0"]
    assert not stats.ejections and not stats.failures


def test_a_drain_in_the_answer_of_a_former_start_does_not_bind_the_next(make_chain):
    gate = Gate()
    chain = make_chain(gate)
    upstream = chain.upstreams[0]
    registration = UpstreamRegistration("s", True, 1.0)
    registration.beat(Heartbeat("a1", "s", 1, False, 4, 0.0, started=1), monotonic())
    upstream.replace_registration(registration)
    task = gevent.spawn(chain.request, "GET")
    wait_until(lambda: gate.begun)
    registration.beat(Heartbeat("a1", "s", 1, False, 4, 0.0, started=2), monotonic())
    gate.headers = "x-upstream-draining: 1\r\n"
    gate.opened.set()
    assert task.get(timeout=10)[0] == 200
    assert not registration.is_leaving


def test_a_daemon_that_was_started_again_learns_the_limit_from_the_first_request(make_chain):
    limited, free = LimitedApplication(work=0.5), LimitedApplication()
    chain = make_chain(limited, free)
    upstream = chain.upstreams[0]
    registration = UpstreamRegistration("s", True, 1.0)
    registration.beat(Heartbeat("a1", "s", 1, False, 4, 0.0), monotonic())
    upstream.replace_registration(registration)
    chain.publish_endpoints(incarnation=2, upstream="a1", rate_limit=1.0)
    # No answer has come yet that could state it.
    _offer(chain, OFFERED, 0.4)
    assert registration.advertised.rate == 1.0
    assert len(limited.arrivals) <= 2


def test_a_request_that_waits_for_the_rate_is_not_passed_on_once_the_application_leaves(make_chain):
    app = LimitedApplication()
    chain = make_chain(app)
    upstream = chain.upstreams[0]
    registration = UpstreamRegistration("s", True, 1.0)
    registration.beat(Heartbeat("a1", "s", 1, False, 4, 0.0), monotonic())
    upstream.replace_registration(registration)
    registration.advertised.note(4.0, monotonic())
    upstream.side._gate.update_rate()
    rate = upstream.limiter.rate
    # Admitted ones whose bodies were late have used up what may arrive at once.
    while not rate.arrive(monotonic()):
        pass
    task = gevent.spawn(chain.request, "GET")
    wait_until(lambda: upstream.limiter.in_use)
    registration.leave("a1")
    assert task.get(timeout=10)[0] == 503
    assert not app.arrivals
