# SPDX-License-Identifier: BSD-3-Clause
"""Tests of the send times at upstreams that limit their rate, and of upstreams that leave."""

from random import Random

from lanedock.routing import Balancer, BalancerPolicy
from lanedock.routing.send_times import SendTimes
from lanedock.wire import messages


def _endpoint(name: str, **more) -> messages.Endpoint:
    values = {"instance": name, "service": "s", "zone": "z", "slots": 4, "incarnation": 1, "upstream": f"a-{name}"}
    return messages.Endpoint(**{**values, **more})


def _make(*names: str) -> Balancer:
    balancer = Balancer("z", Random(1), BalancerPolicy())
    balancer.set_endpoints([_endpoint(name) for name in names], 0.0)
    return balancer


def _chosen(balancer: Balancer, now: float, **more) -> set[str]:
    chosen = [balancer.choose(4, now, **more) for _ in range(50)]
    return {stats.endpoint.instance for stats in chosen if stats is not None}


def _find(balancer: Balancer, name: str, now: float = 0.0):
    return next(stats for stats in iter(lambda: balancer.choose(4, now), None) if stats.endpoint.instance == name)


def test_each_send_time_permits_one_request():
    send_times = SendTimes()
    send_times.note(0.5, 0.0)
    send_times.note(1.0, 0.0)
    assert not send_times.is_open(0.4)
    assert send_times.is_open(0.5)
    send_times.take(0.5)
    assert not send_times.is_open(0.9)
    assert send_times.is_open(1.0)


def test_the_limit_ends_with_an_answer_without_a_send_time_or_after_its_expiry():
    send_times = SendTimes()
    send_times.note(5.0, 0.0)
    send_times.note(0.0, 0.1)
    assert send_times.is_open(0.1)
    send_times.note(0.5, 1.0)
    send_times.take(1.6)
    assert not send_times.is_open(1.6)
    assert send_times.is_open(2.6)


def test_a_caller_uses_other_upstreams_until_its_turn():
    balancer = _make("u0", "u1")
    limited = _find(balancer, "u0")
    balancer.add_send_time(limited, 1.0, 0.0)
    assert _chosen(balancer, 0.5) == {"u1"}
    assert _chosen(balancer, 1.0) == {"u0", "u1"}


def test_if_no_upstream_permits_a_request_the_one_with_the_earliest_send_time_is_chosen():
    balancer = _make("u0", "u1")
    balancer.add_send_time(_find(balancer, "u0"), 1.0, 0.0)
    balancer.add_send_time(_find(balancer, "u1", 0.0), 0.5, 0.0)
    assert _chosen(balancer, 0.1) == {"u1"}
    assert _chosen(balancer, 0.1, may_wait=False) == set()


def test_a_leaving_application_gets_no_requests_even_after_its_daemon_restarts():
    balancer = _make("u0", "u1")
    balancer.note_leaving(_find(balancer, "u0"), True)
    # The restarted daemon does not know that its application leaves.
    balancer.set_endpoints([_endpoint("u0", incarnation=2), _endpoint("u1")], 1.0)
    assert _chosen(balancer, 1.0) == {"u1"}
    balancer.set_endpoints([_endpoint("u0", incarnation=2, upstream="a-next"), _endpoint("u1")], 2.0)
    assert "u0" in _chosen(balancer, 30.0)


def test_a_leaving_daemon_gets_requests_after_its_restart():
    balancer = _make("u0", "u1")
    balancer.note_leaving(_find(balancer, "u0"))
    balancer.set_endpoints([_endpoint("u0", incarnation=2), _endpoint("u1")], 1.0)
    assert "u0" in _chosen(balancer, 30.0)


def test_a_late_leaving_report_of_a_former_application_does_not_affect_the_next():
    balancer = _make("u0", "u1")
    former = _find(balancer, "u0")
    balancer.set_endpoints([_endpoint("u0", upstream="a-next"), _endpoint("u1")], 1.0)
    balancer.note_leaving(former, True)
    assert "u0" in _chosen(balancer, 30.0)
