# SPDX-License-Identifier: BSD-3-Clause
"""Tests of the choice of an upstream by load probes."""

from collections import Counter
from itertools import count
from random import Random

import pytest

from lanedock.canary import Pool
from lanedock.routing import Balancer, BalancerPolicy
from lanedock.wire import messages

ROUND_TRIP = 0.0005
SLOTS = 7


class _Mesh:
    """A balancer and the replies that its upstreams would give."""

    def __init__(self, names: str, remote: str = "", seed: int = 1, **fields):
        self.endpoints = {
            name: messages.Endpoint(
                instance=name,
                zone="here" if name in names else "there",
                incarnation=1,
                host="h",
                port=1,
                slots=SLOTS,
                upstream=f"app-{name}",
                load_port=9,
                **fields,
            )
            for name in names + remote
        }
        self.balancer = Balancer("here", Random(seed), BalancerPolicy())
        self.publish()
        self.replies = {name: self.make_reply(name) for name in self.endpoints}
        self.silent: set[str] = set()
        self.sent: list[str] = []
        self._numbers = count(1)

    def publish(self, now: float = 0.0, pools=None) -> None:
        self.balancer.set_endpoints(list(self.endpoints.values()), now, pools)

    def make_reply(self, name: str, in_use: int = 0, **fields) -> messages.LoadReply:
        values = {"slots": SLOTS, "service_ms": 250, "upstream": f"app-{name}", **fields}
        return messages.LoadReply(in_use=in_use, **values)

    def probe(self, now: float, **options) -> list[str]:
        """Send the probes for one request and receive the replies; return the upstreams that were probed."""
        choice = self.balancer.probed_choice
        plan = self.balancer.plan_probes(now, **options)
        for stats in plan.targets:
            name, number = stats.endpoint.instance, next(self._numbers)
            choice.note_probe(stats, number, now)
            if name in self.silent:
                choice.note_missed(stats)
            else:
                reply = messages.LoadReply()
                reply.CopyFrom(self.replies[name])
                reply.number = number
                choice.note_reply(stats, reply, ROUND_TRIP, now + ROUND_TRIP)
        names = [stats.endpoint.instance for stats in plan.targets]
        self.sent += names
        return names

    def choose(self, now: float, **options) -> str:
        stats = self.balancer.choose(SLOTS, now, **options)
        return stats.endpoint.instance if stats is not None else ""

    def request(self, now: float) -> str:
        self.probe(now)
        return self.choose(now + ROUND_TRIP)

    def stats(self, name: str):
        return self.balancer._upstreams[name]


def test_without_a_load_port_upstreams_are_chosen_by_statistics():
    mesh = _Mesh("abc")
    for endpoint in mesh.endpoints.values():
        endpoint.load_port = 0
    mesh.publish()
    assert mesh.balancer.probed_choice is None


@pytest.mark.parametrize(
    ("worse", "better"),
    [
        ({"in_use": 4}, {"in_use": 3}),
        ({"in_use": 7, "waiting": 2}, {"in_use": 7}),
        ({"in_use": 2, "pace_percent": 250}, {"in_use": 5}),
        ({"in_use": 2, "service_ms": 600}, {"in_use": 5}),
        ({"in_use": 3, "slots": 3}, {"in_use": 5}),
        # Its queue is full, so it would refuse the request.
        ({"in_use": 7, "waiting": 14, "pace_percent": 50}, {"in_use": 7, "waiting": 8}),
    ],
)
def test_the_upstream_with_the_least_expected_time_is_chosen(worse, better):
    mesh = _Mesh("ab")
    mesh.replies = {"a": mesh.make_reply("a", **worse), "b": mesh.make_reply("b", **better)}
    assert {mesh.request(float(second)) for second in range(10)} == {"b"}


def test_upstreams_that_promise_the_same_time_get_equal_shares():
    mesh = _Mesh("abcd")
    chosen = Counter(mesh.request(float(second)) for second in range(400))
    assert min(chosen.values()) >= 70 and len(chosen) == 4


def test_upstream_that_has_not_been_measured_of_late_gets_requests():
    # Guards against an upstream that was slow once, and then gets no request as long as the others differ.
    mesh = _Mesh("abcd")
    for name, service_ms in zip("abcd", (22, 23, 24, 0), strict=True):
        mesh.replies[name] = mesh.make_reply(name, service_ms=service_ms)
    assert "d" in {mesh.request(float(second)) for second in range(20)}


def test_upstream_that_states_a_slow_pace_is_avoided_though_it_has_not_been_measured_of_late():
    mesh = _Mesh("abcd")
    for name, service_ms in zip("abcd", (22, 23, 24, 0), strict=True):
        mesh.replies[name] = mesh.make_reply(name, service_ms=service_ms, pace_percent=250 if name == "d" else 100)
    assert "d" not in {mesh.request(float(second)) for second in range(20)}


def test_pace_that_is_out_of_bounds_neither_attracts_nor_repels_without_limit():
    # Guards against an application that states a wrong pace and gets all requests, or none at any load.
    mesh = _Mesh("ab")
    mesh.replies = {"a": mesh.make_reply("a", 7, waiting=35, pace_percent=1), "b": mesh.make_reply("b")}
    assert mesh.request(1.0) == "b"
    mesh.replies = {"a": mesh.make_reply("a", 0, pace_percent=9000), "b": mesh.make_reply("b", 7, waiting=35)}
    assert mesh.request(2.0) == "a"


def test_link_wait_counts_for_long_answers_alone():
    mesh = _Mesh("ab")
    mesh.replies = {"a": mesh.make_reply("a", link_wait_ms=900), "b": mesh.make_reply("b", 3)}
    mesh.probe(1.0)
    assert mesh.choose(1.001) == "a"
    mesh.probe(2.0)
    assert mesh.choose(2.001, is_long=True) == "b"


def test_requests_of_one_moment_share_replies_and_are_spread():
    # Guards against a wave of requests that is sent to the one upstream that replied that it was free.
    mesh = _Mesh("abcdefgh")
    mesh.replies = {name: mesh.make_reply(name, 0 if name == "a" else 3) for name in mesh.endpoints}
    for _ in range(8):
        mesh.probe(1.0)
    chosen = Counter(mesh.choose(1.001) for _ in range(8))
    assert len(mesh.sent) <= 8 * 3 / 2
    # With three requests it is as loaded as the others.
    assert 1 <= chosen["a"] <= 4


def test_requests_that_a_reply_cannot_include_count():
    mesh = _Mesh("ab")
    choice = mesh.balancer.probed_choice
    mesh.replies["a"].number = 1
    choice.note_probe(mesh.stats("a"), 1, 1.0)
    mesh.stats("a").sample.note_request()
    choice.note_reply(mesh.stats("a"), mesh.replies["a"], 0.001, 1.001)
    assert mesh.stats("a").sample.sent == 1
    choice.note_probe(mesh.stats("a"), 2, 1.002)
    mesh.replies["a"].number = 2
    choice.note_reply(mesh.stats("a"), mesh.replies["a"], 0.001, 1.003)
    assert mesh.stats("a").sample.sent == 0


def test_reply_serves_two_requests_and_no_longer_than_twenty_milliseconds():
    mesh = _Mesh("abc")
    assert len(mesh.probe(1.0)) == 3
    assert mesh.probe(1.002) == []
    assert len(mesh.probe(1.003)) == 3
    assert mesh.balancer.probed_choice.compared == []
    mesh.choose(1.004)
    assert mesh.balancer.probed_choice.compared
    mesh.choose(1.03)
    assert mesh.balancer.probed_choice.compared == []
    assert len(mesh.probe(1.03)) == 3


def test_request_waits_for_the_probes_that_another_one_has_just_sent():
    mesh = _Mesh("abc")
    choice = mesh.balancer.probed_choice
    plan = mesh.balancer.plan_probes(1.0)
    for number, stats in enumerate(plan.targets):
        choice.note_probe(stats, number, 1.0)
    second = mesh.balancer.plan_probes(1.0001)
    assert (second.targets, sorted(second.awaited)) == ([], [0, 1, 2])


def test_without_replies_the_statistics_decide():
    mesh = _Mesh("ab")
    mesh.silent = {"a", "b"}
    for _ in range(4):
        mesh.balancer.begin(mesh.stats("a"), 0.9)
    assert [mesh.request(1.0 + second) for second in range(5)] == ["b"] * 5


def test_upstream_that_misses_replies_keeps_about_its_share():
    # Guards against an upstream whose datagrams are blocked and that gets no more requests.
    mesh = _Mesh("abcde")
    mesh.silent = {"a"}
    chosen = Counter(mesh.request(float(second)) for second in range(1000))
    assert 0.1 <= chosen["a"] / 1000 <= 0.3


def test_upstream_that_hangs_gets_few_requests():
    # A request that hangs at an upstream shows in the statistics, which count beside the replies of others.
    mesh = _Mesh("abcde")
    mesh.silent = {"a"}
    stats = mesh.stats("a")
    for _ in range(3):
        mesh.balancer.begin(stats, 0.5)
    chosen = Counter(mesh.request(1.0 + 0.01 * number) for number in range(500))
    assert chosen["a"] == 0


def test_silent_upstreams_are_probed_seldom_and_not_waited_for():
    mesh = _Mesh("ab")
    mesh.silent = {"a", "b"}
    for number in range(100):
        mesh.probe(1.0 + 0.01 * number)
    assert len(mesh.sent) <= 2 * (2 + 4 + 1)
    choice = mesh.balancer.probed_choice
    assert not choice.note_probe(mesh.stats("a"), 1, 3.0)
    choice.note_reply(mesh.stats("a"), mesh.replies["a"], ROUND_TRIP, 3.1)
    assert choice.note_probe(mesh.stats("a"), 2, 3.2)


def test_reply_of_another_application_is_ignored():
    mesh = _Mesh("ab")
    mesh.replies["a"].upstream = "app-other"
    mesh.replies["b"].in_use = 6
    assert {mesh.request(float(second)) for second in range(10)} == {"b"}


@pytest.mark.parametrize("state", ["ejected", "unreachable", "leaving", "rate-limited", "tried", "canary"])
def test_upstreams_that_may_get_no_request_are_neither_probed_nor_chosen(state):
    mesh = _Mesh("abc")
    mesh.replies |= {name: mesh.make_reply(name, 5) for name in "bc"}
    options = {}
    stats = mesh.stats("a")
    if state == "ejected":
        stats.ejected_until = 10.0
    elif state == "unreachable":
        stats.is_unreachable = True
    elif state == "leaving":
        mesh.balancer.note_leaving(stats)
    elif state == "rate-limited":
        mesh.balancer.add_send_time(stats, 5.0, 0.9)
    elif state == "tried":
        options["excluded"] = frozenset("a")
    else:
        mesh.publish(pools={"a": Pool.CANARY})
    for number in range(20):
        now = 1.0 + 0.05 * number
        assert "a" not in mesh.probe(now, **options)
        assert mesh.choose(now + 0.001, **options) in ("b", "c")


def test_cold_upstream_gets_few_requests():
    mesh = _Mesh("ab")
    mesh.stats("a").cold_since, mesh.stats("a").cold_duration = 1.0, 10.0
    mesh.replies["b"] = mesh.make_reply("b", 3)
    assert mesh.request(1.0) == "b"
    assert mesh.request(10.5) == "a"


def test_trial_after_an_ejection_has_one_request_at_a_time():
    mesh = _Mesh("ab")
    stats = mesh.stats("a")
    stats.is_on_trial = True
    mesh.replies["b"] = mesh.make_reply("b", 6)
    assert mesh.request(1.0) == "a"
    mesh.balancer.begin(stats, 1.0)
    assert mesh.request(2.0) == "b"


def test_wait_for_replies_follows_the_round_trip_within_bounds():
    mesh = _Mesh("ab")
    choice = mesh.balancer.probed_choice
    assert choice.wait_limit({"here"}) == 0.005
    for round_trip, limit in ((0.01, 0.02), (0.5, 0.03)):
        for _ in range(100):
            choice.note_reply(mesh.stats("a"), mesh.replies["a"], round_trip, 1.0)
        assert choice.wait_limit({"here"}) == pytest.approx(limit, rel=0.01)


def test_replies_are_forgotten_when_the_upstream_is_restarted():
    mesh = _Mesh("ab")
    mesh.probe(1.0)
    restarted = messages.Endpoint()
    restarted.CopyFrom(mesh.endpoints["a"])
    restarted.incarnation = 2
    mesh.endpoints["a"] = restarted
    mesh.publish(1.001)
    assert mesh.stats("a").sample is None


# ---------------------------------------------------------------------- zones


def _probe_zones(mesh: _Mesh, now: float, **options) -> list[str]:
    """Send the probes of a request to its zone and then to other zones; return those of other zones."""
    mesh.probe(now)
    choice = mesh.balancer.probed_choice
    plan = mesh.balancer.plan_zone_probes(now + ROUND_TRIP, **options)
    for number, stats in enumerate(plan.targets, 10_000):
        choice.note_probe(stats, number, now)
        choice.note_reply(stats, mesh.replies[stats.endpoint.instance], 0.01, now + 0.01)
    return [stats.endpoint.instance for stats in plan.targets]


@pytest.mark.parametrize(
    ("load", "options", "is_probed"),
    [
        ({"in_use": 6}, {}, False),
        ({"in_use": 7}, {}, False),
        ({"in_use": 7, "waiting": 1}, {}, True),
        ({"in_use": 1, "pace_percent": 250}, {}, True),
        ({"in_use": 1}, {"target_time": 1.2}, True),
        ({"in_use": 1}, {"target_time": 1.3}, False),
        ({"in_use": 1}, {"target_time": 0.9}, False),
        # Long answers between zones are expensive, so they wait longer.
        ({"in_use": 7, "waiting": 1}, {"is_long": True}, False),
        ({"in_use": 1, "link_wait_ms": 900}, {"is_long": True}, True),
    ],
)
def test_other_zones_are_probed_only_if_the_local_answer_would_be_late(load, options, is_probed):
    mesh = _Mesh("ab", "xyzw")
    mesh.replies |= {name: mesh.make_reply(name, **load) for name in "ab"}
    assert (len(_probe_zones(mesh, 1.0, **options)) > 0) is is_probed


@pytest.mark.parametrize(
    ("local", "remote", "is_remote"),
    [
        # 0.25 s x (1 + 8 / 7) here, against 0.25 s and the round trip of 0.01 s.
        ({"in_use": 8}, {"in_use": 0}, True),
        ({"in_use": 8}, {"in_use": 8}, False),
        ({"in_use": 8}, {"in_use": 7}, False),
    ],
)
def test_upstream_of_another_zone_is_chosen_if_it_answers_earlier_by_the_penalty(local, remote, is_remote):
    mesh = _Mesh("ab", "xy")
    mesh.replies |= {name: mesh.make_reply(name, **local) for name in "ab"}
    mesh.replies |= {name: mesh.make_reply(name, **remote) for name in "xy"}
    _probe_zones(mesh, 1.0)
    assert (mesh.choose(1.011) in "xy") is is_remote


def test_way_to_another_zone_counts():
    mesh = _Mesh("ab", "x")
    mesh.replies |= {name: mesh.make_reply(name, 8, service_ms=10) for name in "ab"}
    mesh.replies["x"] = mesh.make_reply("x", service_ms=10)
    _probe_zones(mesh, 1.0)
    # 10 ms x (1 + 8 / 7) here, against 10 ms and a round trip of 10 ms.
    assert mesh.choose(1.011) in "ab"


def test_without_replies_of_other_zones_the_statistics_compare_the_zones():
    # Guards against a full zone that keeps its requests while datagrams to other zones are lost.
    mesh = _Mesh("ab", "x")
    mesh.replies |= {name: mesh.make_reply(name, 20) for name in "ab"}
    for name in "ab":
        for _ in range(20):
            mesh.balancer.begin(mesh.stats(name), 0.9)
    mesh.probe(1.0)
    assert mesh.choose(1.001) == "x"


def test_upstreams_of_other_zones_are_probed_at_once_where_the_zone_has_none():
    mesh = _Mesh("", "xy")
    mesh.replies["x"].in_use = 5
    assert sorted(mesh.probe(1.0)) == ["x", "y"]
    assert mesh.choose(1.001) == "y"
