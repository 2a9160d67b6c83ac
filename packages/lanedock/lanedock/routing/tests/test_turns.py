# SPDX-License-Identifier: BSD-3-Clause
"""Tests of the turns that callers get at upstreams that limit their rate, and of those that leave."""

from random import Random

from lanedock.routing import Balancer, BalancerPolicy
from lanedock.routing.turns import Turns
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


def test_each_turn_is_for_one_request():
    turns = Turns()
    turns.note(0.5, 0.0)
    turns.note(1.0, 0.0)
    assert not turns.is_open(0.4)
    assert turns.is_open(0.5)
    turns.take(0.5)
    assert not turns.is_open(0.9)
    assert turns.is_open(1.0)


def test_an_answer_without_a_turn_opens_it_and_so_does_time_where_answers_are_lost():
    turns = Turns()
    turns.note(5.0, 0.0)
    turns.note(0.0, 0.1)
    assert turns.is_open(0.1)
    turns.note(0.5, 1.0)
    turns.take(1.6)
    assert not turns.is_open(1.6)
    assert turns.is_open(2.6)


def test_a_caller_goes_to_the_siblings_until_its_turn():
    balancer = _make("u0", "u1")
    limited = _find(balancer, "u0")
    balancer.note_turn(limited, 1.0, 0.0)
    assert _chosen(balancer, 0.5) == {"u1"}
    assert _chosen(balancer, 1.0) == {"u0", "u1"}


def test_where_no_upstream_is_due_the_first_in_turn_is_asked():
    balancer = _make("u0", "u1")
    balancer.note_turn(_find(balancer, "u0"), 1.0, 0.0)
    balancer.note_turn(_find(balancer, "u1", 0.0), 0.5, 0.0)
    assert _chosen(balancer, 0.1) == {"u1"}
    assert _chosen(balancer, 0.1, may_wait=False) == set()


def test_an_application_that_has_said_it_leaves_gets_nothing_whatever_is_heard_later():
    balancer = _make("u0", "u1")
    balancer.note_leaving(_find(balancer, "u0"), True)
    # Its daemon was started again, and knows nothing of it.
    balancer.set_endpoints([_endpoint("u0", incarnation=2), _endpoint("u1")], 1.0)
    assert _chosen(balancer, 1.0) == {"u1"}
    balancer.set_endpoints([_endpoint("u0", incarnation=2, upstream="a-next"), _endpoint("u1")], 2.0)
    assert "u0" in _chosen(balancer, 30.0)


def test_a_daemon_that_was_about_to_stop_gets_requests_once_it_is_back():
    balancer = _make("u0", "u1")
    balancer.note_leaving(_find(balancer, "u0"))
    balancer.set_endpoints([_endpoint("u0", incarnation=2), _endpoint("u1")], 1.0)
    assert "u0" in _chosen(balancer, 30.0)


def test_a_late_answer_of_a_former_application_does_not_keep_the_next_from_work():
    balancer = _make("u0", "u1")
    former = _find(balancer, "u0")
    balancer.set_endpoints([_endpoint("u0", upstream="a-next"), _endpoint("u1")], 1.0)
    balancer.note_leaving(former, True)
    assert "u0" in _chosen(balancer, 30.0)
