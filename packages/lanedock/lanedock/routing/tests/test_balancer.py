# SPDX-License-Identifier: BSD-3-Clause
"""Tests of route matching and of the choice of an upstream."""

from collections import Counter
from itertools import pairwise
from random import Random

import pytest

from lanedock.canary import Pool
from lanedock.config import MeshConfig, Route, Version
from lanedock.routing import Balancer, BalancerPolicy, RouteTable
from lanedock.wire import messages

ROUTES = [
    Route("any", "/", "s", "c"),
    Route("list", "/orders", "s", "c", methods=("GET",)),
    Route("make", "/orders", "s", "c", methods=("POST",)),
    Route("photos", "/orders/photos", "s", "c"),
    Route("shop", "/orders", "s", "c", host="shop.example"),
]


@pytest.mark.parametrize(
    ("host", "path", "method", "name"),
    [
        ("x", "/orders", "GET", "list"),
        ("x", "/orders/7", "POST", "make"),
        ("x", "/orders/photos/7/", "GET", "photos"),
        ("x", "/ordersx", "GET", "any"),
        ("x", "/orders", "DELETE", "any"),
        ("shop.example", "/orders/photos", "GET", "shop"),
        ("shop.example", "/", "GET", "any"),
    ],
)
def test_the_most_specific_route_matches(host, path, method, name):
    table = RouteTable(MeshConfig("m", Version(), (), {}, {}, {"": ROUTES}, 0))
    assert table.match(host, path, method).name == name


def _endpoint(name, zone="here", leaving=False, incarnation=1, slots=0):
    return messages.Endpoint(
        instance=name, zone=zone, leaving=leaving, incarnation=incarnation, host="h", port=1, slots=slots
    )


def _balancer(*endpoints, **policy):
    balancer = Balancer("here", Random(1), BalancerPolicy(**policy))
    balancer.set_endpoints(list(endpoints), 0.0)
    return balancer


def _fail(balancer, stats, now=0.0):
    balancer.begin(stats)
    return balancer.end(stats, True, now)


def test_the_upstream_with_fewer_requests_in_progress_is_chosen():
    balancer = _balancer(_endpoint("a"), _endpoint("b"))
    busy = balancer.choose(10, 0.0)
    balancer.begin(busy)
    assert all(balancer.choose(10, 0.0) is not busy for _ in range(10))


def test_a_reported_load_counts_and_decays():
    balancer = _balancer(_endpoint("a"), _endpoint("b"), load_age=1.0)
    busy = balancer.choose(100, 0.0)
    balancer.begin(busy)
    balancer.end(busy, False, 0.0, reported=50)
    assert all(balancer.choose(100, 0.1) is not busy for _ in range(10))
    other = balancer.choose(100, 0.1)
    balancer.begin(other)
    assert all(balancer.choose(100, 20.0) is busy for _ in range(10))


def test_other_zones_are_used_when_the_local_zone_is_full():
    balancer = _balancer(_endpoint("a"), _endpoint("far", zone="there"))
    chosen = Counter()
    for _ in range(16):
        stats = balancer.choose(10, 0.0)
        balancer.begin(stats)
        chosen[stats.endpoint.instance] += 1
    assert chosen["a"] >= 8
    assert chosen["far"] >= 4


def test_a_leaving_upstream_gets_no_requests():
    balancer = _balancer(_endpoint("a", leaving=True), _endpoint("b"))
    assert balancer.choose(10, 0.0).endpoint.instance == "b"
    balancer.note_leaving(balancer._upstreams["b"])
    assert balancer.choose(10, 0.0) is None


def test_a_failing_upstream_is_ejected_and_then_tried_with_one_request_at_a_time():
    balancer = _balancer(*map(_endpoint, "abcd"))
    bad = balancer.choose(10, 0.0)
    assert [_fail(balancer, bad) for _ in range(3)] == [False, False, True]
    assert all(balancer.choose(10, 0.1) is not bad for _ in range(20))
    # After the ejection it gets one request at a time until one succeeds.
    assert any(balancer.choose(10, 2.0) is bad for _ in range(40))
    balancer.begin(bad)
    assert all(balancer.choose(10, 2.0) is not bad for _ in range(40))
    balancer.end(bad, False, 2.0)
    assert any(balancer.choose(10, 2.0) is bad for _ in range(40))


@pytest.mark.parametrize("concurrent", [4, 10, 40])
def test_one_burst_of_failures_ejects_an_upstream_once_for_the_shortest_time(concurrent):
    # Guards against failures of requests that were sent before an ejection and count as failed trials after it.
    balancer = _balancer(*map(_endpoint, "abcd"))
    bad = balancer._upstreams["a"]
    for _ in range(concurrent):
        balancer.begin(bad, 1.0)
    ejections = [balancer.end(bad, True, 1.2 + 0.001 * number, sent_at=1.0) for number in range(concurrent)]
    assert sum(ejections) == 1
    assert bad.ejected_until < 1.2 + 0.001 * concurrent + 1.25
    assert bad.ejections == 1


def test_a_request_sent_before_an_ejection_does_not_end_the_trial_after_it():
    balancer = _balancer(*map(_endpoint, "abcd"))
    bad = balancer._upstreams["a"]
    balancer.begin(bad, 0.9)
    for _ in range(3):
        balancer.begin(bad, 1.0)
        balancer.end(bad, True, 1.1, sent_at=1.0)
    balancer.end(bad, False, 1.2, sent_at=0.9)
    assert bad.is_on_trial
    assert bad.ejections == 1


def test_a_trial_that_fails_ejects_an_upstream_for_longer():
    balancer = _balancer(*map(_endpoint, "abcd"))
    bad = balancer._upstreams["a"]
    for sent_at in (1.0, 1.0, 1.0, 3.0):
        balancer.begin(bad, sent_at)
        balancer.end(bad, True, sent_at + 0.1, sent_at=sent_at)
    assert 1.5 <= bad.ejected_until - 3.1 <= 2.5


def test_a_request_sent_before_a_successful_probe_does_not_make_the_upstream_unreachable():
    # Guards against an upstream that is reachable again and gets no requests because of the connections from before.
    balancer = _balancer(*map(_endpoint, "ab"))
    lost = balancer._upstreams["a"]
    for _ in range(2):
        balancer.begin(lost, 1.0)
    assert balancer.end(lost, True, 1.7, unreachable=True, sent_at=1.0)
    balancer.note_probe(lost, True, 1.8)
    assert not balancer.end(lost, True, 1.9, unreachable=True, sent_at=1.0)
    assert not lost.is_unreachable


def test_a_cancelled_request_neither_ends_a_trial_nor_hides_failures():
    # Guards against an upstream that hangs and counts as sound because its requests are cancelled.
    balancer = _balancer(*map(_endpoint, "abcd"))
    bad = balancer._upstreams["a"]
    for number in range(3):
        balancer.begin(bad, 1.0)
        balancer.begin(bad, 1.0)
        balancer.cancel(bad, 1.1)
        assert balancer.end(bad, True, 1.1, sent_at=1.0) == (number == 2)
    balancer.begin(bad, 4.0)
    balancer.cancel(bad, 4.1)
    assert bad.is_on_trial
    assert bad.ejections == 1
    assert bad.in_progress == 0


def test_ejections_never_remove_all_upstreams_of_a_service():
    balancer = _balancer(*map(_endpoint, "abcd"))
    for _ in range(200):
        stats = balancer.choose(10, 0.0)
        _fail(balancer, stats)
    assert len({balancer.choose(10, 0.0).endpoint.instance for _ in range(50)}) >= 2


def test_the_share_of_a_cold_upstream_rises_slowly():
    balancer = _balancer(_endpoint("a"))
    balancer.set_endpoints([_endpoint("a"), _endpoint("new")], 10.0)
    shares = []
    for now in (10.1, 60.0):
        chosen = Counter()
        for _ in range(200):
            stats = balancer.choose(1000, now)
            balancer.begin(stats)
            chosen[stats.endpoint.instance] += 1
        shares.append(chosen["new"])
        balancer.set_endpoints([_endpoint("a", incarnation=2)], now)
        balancer.set_endpoints([_endpoint("a", incarnation=2), _endpoint("new", incarnation=2)], now - 100)
    assert shares[0] < 40
    assert 80 < shares[1] < 120


def test_a_fast_upstream_gets_more_requests_than_a_slow_one_until_it_is_nearly_full():
    balancer = _balancer(_endpoint("quick"), _endpoint("slow"))
    rng = Random(3)
    chosen = Counter()
    running = []
    for step in range(4000):
        now = step * 0.02
        for ends_at, stats, taken in [item for item in running if item[0] <= now]:
            running.remove((ends_at, stats, taken))
            balancer.end(stats, False, now, taken=taken, kind="read")
        stats = balancer.choose(12, now)
        taken = rng.uniform(0.05, 0.15) * (1 if stats.endpoint.instance == "quick" else 3)
        balancer.begin(stats, now)
        running.append((now + taken, stats, taken))
        chosen[stats.endpoint.instance] += step > 1000
    assert chosen["quick"] > 4 * chosen["slow"] > 0


@pytest.mark.parametrize("seed", range(5))
def test_an_upstream_with_one_late_first_answer_still_gets_sequential_requests(seed):
    # Guards against upstreams that get no request for half a minute while another one gets all.
    # With nothing in progress the measured slowness alone decides. If the first answer over a
    # new connection is late, the upstream gets no request and is never measured again: 1 of
    # 2,000 requests with four of these five seeds.
    rng = Random(seed)
    balancer = Balancer("here", Random(seed), BalancerPolicy())
    balancer.set_endpoints([_endpoint("quick", slots=10), _endpoint("late", slots=10)], 0.0)
    now, sent_at = 0.0, {"quick": [0.0], "late": [0.0]}
    while now < 100.0:
        stats = balancer.choose(10, now)
        balancer.begin(stats, now)
        name = stats.endpoint.instance
        taken = 0.002 * rng.lognormvariate(0, 0.3)
        if name == "late" and len(sent_at[name]) == 1:
            taken += 0.03
        sent_at[name].append(now)
        now += taken
        balancer.end(stats, False, now, reported=1, taken=taken, kind="read")
        now += 0.05
    for times in sent_at.values():
        # The expiry of a measured slowness, and the time of one request to the other upstream.
        assert max(later - former for former, later in pairwise([*times, now])) < 10.2


def test_an_upstream_that_stays_slow_gets_few_sequential_requests():
    balancer = _balancer(_endpoint("quick", slots=10), _endpoint("slow", slots=10))
    chosen = Counter()
    for step in range(5000):
        now = 0.05 * step
        stats = balancer.choose(10, now)
        balancer.begin(stats, now)
        name = stats.endpoint.instance
        taken = 0.002 if name == "quick" else 0.02
        balancer.end(stats, False, now + taken, reported=1, taken=taken, kind="read")
        chosen[name] += 1
    assert 0 < chosen["slow"] < chosen["quick"] / 100


def test_a_measured_slowness_is_kept_when_the_daemon_restarts():
    balancer = _balancer(_endpoint("a"), _endpoint("b"))
    for _ in range(50):
        for name, taken in (("a", 0.1), ("b", 0.5)):
            stats = balancer._upstreams[name]
            balancer.begin(stats, 19.0)
            balancer.end(stats, False, 20.0, taken=taken, kind="read")
    balancer.set_endpoints([_endpoint("a"), _endpoint("b", incarnation=2)], 20.1)
    balancer._upstreams["b"].cold_since = None
    assert {balancer.choose(10, 20.2).endpoint.instance for _ in range(50)} == {"a"}


def test_an_upstream_that_has_just_failed_is_not_preferred_as_unmeasured():
    balancer = _balancer(_endpoint("a"), _endpoint("b"))
    failing, other = balancer._upstreams["a"], balancer._upstreams["b"]
    balancer.begin(other, 20.0)
    balancer.end(other, False, 20.1, taken=0.1, kind="read")
    _fail(balancer, failing, 20.1)
    assert {balancer.choose(10, 20.2) for _ in range(50)} == {failing, other}


def test_a_cold_unmeasured_upstream_is_not_preferred():
    balancer = _balancer(_endpoint("warm"), slow_start=60.0)
    balancer.set_endpoints([_endpoint("warm"), _endpoint("cold")], 20.0)
    warm = balancer._upstreams["warm"]
    balancer.begin(warm, 20.0)
    balancer.end(warm, False, 20.1, taken=0.1, kind="read")
    assert all(balancer.choose(10, 20.2) is warm for _ in range(20))


def test_body_times_do_not_count_as_answer_times():
    balancer = _balancer(_endpoint("a"))
    stats = balancer.choose(12, 0.0)
    before = balancer.body_late_delay("read")
    for _ in range(50):
        balancer.begin(stats, 0.0)
        balancer.end(stats, False, 1.1, taken=0.1, kind="read", body_taken=1.0)
    assert before == balancer.body_late_delay("write") == 0.0
    assert balancer.body_late_delay("read") >= 1.0
    assert balancer.hedge_delay("read") < 1.0
    assert stats.slowness == pytest.approx(1.0)


def test_a_silent_upstream_gets_fewer_requests():
    balancer = _balancer(_endpoint("a"), _endpoint("b"))
    for _ in range(50):
        for stats in list(balancer._upstreams.values()):
            balancer.begin(stats, 0.0)
            balancer.end(stats, False, 0.1, taken=0.1, kind="read")
    silent = balancer.choose(12, 1.0)
    balancer.begin(silent, 1.0)
    other = next(stats for stats in balancer._upstreams.values() if stats is not silent)
    for _ in range(3):
        balancer.begin(other, 5.0)
    assert balancer.choose(12, 5.0) is other


def test_an_unreachable_upstream_is_chosen_only_after_a_successful_probe():
    balancer = _balancer(*map(_endpoint, "ab"))
    lost = balancer.choose(10, 0.0)
    balancer.begin(lost)
    assert balancer.end(lost, True, 0.0, unreachable=True)
    # Unlike an ejection, this does not end with time.
    assert all(balancer.choose(10, 1000.0) is not lost for _ in range(20))
    balancer.note_probe(lost, True, 0.5)
    assert any(balancer.choose(10, 1000.0) is lost for _ in range(20))


def test_if_all_upstreams_are_unreachable_only_those_not_probed_yet_are_chosen():
    balancer = _balancer(*map(_endpoint, "ab"))
    for stats in list(balancer._upstreams.values()):
        balancer.begin(stats)
        balancer.end(stats, True, 0.0, unreachable=True)
    assert balancer.choose(10, 0.0) is not None
    for stats in list(balancer._upstreams.values()):
        balancer.note_probe(stats, False, 0.5)
    assert balancer.choose(10, 0.0) is None


@pytest.mark.parametrize("slots", [6, 18])
def test_the_local_zone_is_used_up_to_the_slots_that_its_upstream_reports(slots):
    balancer = _balancer(_endpoint("a", slots=slots), _endpoint("far", zone="there", slots=slots))
    chosen = Counter()
    for _ in range(2 * slots):
        # The number of slots in the configuration only counts for upstreams that report none.
        stats = balancer.choose(12, 0.0)
        balancer.begin(stats)
        chosen[stats.endpoint.instance] += 1
    assert slots <= chosen["a"] <= 1.5 * slots


def test_a_request_with_a_long_body_leaves_the_zone_at_a_higher_load():
    balancer = _balancer(_endpoint("a"), _endpoint("far", zone="there"))
    for _ in range(12):
        balancer.begin(balancer._upstreams["a"])
    assert balancer.choose(12, 0.0).endpoint.instance == "far"
    assert balancer.choose(12, 0.0, is_long=True).endpoint.instance == "a"


def _count_chosen(balancer, now):
    """Return how many of 200 concurrent requests each upstream gets."""
    chosen = Counter()
    for _ in range(200):
        stats = balancer.choose(1000, now)
        balancer.begin(stats)
        chosen[stats.endpoint.instance] += 1
    return chosen


def test_an_application_that_keeps_running_is_warm_after_its_daemon_restarts():
    first = [_endpoint("a"), _endpoint("b")]
    for number, endpoint in enumerate(first):
        endpoint.upstream = f"i-{number}"
    balancer = _balancer(*first)
    restarted = _endpoint("b", incarnation=2)
    restarted.upstream = "i-1"
    balancer.set_endpoints([first[0], restarted], 10.0)
    assert 80 < _count_chosen(balancer, 10.1)["b"] < 120


def test_a_new_application_is_cold_for_the_time_that_it_reports():
    old = _endpoint("a")
    old.upstream = "i-0"
    balancer = _balancer(old)
    new = _endpoint("b")
    new.upstream, new.cold_ms = "i-1", 3000
    balancer.set_endpoints([old, new], 10.0)
    assert _count_chosen(balancer, 10.1)["b"] < 60
    for stats in balancer._upstreams.values():
        stats.in_progress = 0
    assert 80 < _count_chosen(balancer, 13.1)["b"] < 120


def test_an_ejection_ends_when_the_application_is_restarted():
    # Guards against an ejection that outlasts a restart: 0 of 200 requests went to the new run
    # of the application for the 0.75 to 1.25 s and more of the ejection.
    first = [_endpoint("a"), _endpoint("b")]
    for endpoint in first:
        endpoint.upstream, endpoint.upstream_started = f"i-{endpoint.instance}", 100
    balancer = _balancer(*first, eject_failures=1, max_ejected=1.0)
    crashed = balancer._upstreams["b"]
    assert _fail(balancer, crashed)
    assert _count_chosen(balancer, 0.1)["b"] == 0
    restarted = messages.Endpoint()
    restarted.CopyFrom(first[1])
    restarted.upstream_started = 200
    balancer.set_endpoints([first[0], restarted], 0.2)
    for stats in balancer._upstreams.values():
        stats.in_progress = 0
    assert 80 < _count_chosen(balancer, 0.3)["b"] < 120


def test_statistics_are_kept_when_the_start_of_an_application_becomes_known():
    endpoint = _endpoint("a")
    endpoint.upstream = "i-a"
    balancer = _balancer(endpoint)
    balancer.begin(balancer.choose(12, 0.0))
    known = messages.Endpoint()
    known.CopyFrom(endpoint)
    known.upstream_started = 100
    balancer.set_endpoints([known], 0.1)
    assert balancer.choose(12, 0.1).in_progress == 1


def test_each_pool_chooses_among_its_own_upstreams():
    endpoints = [_endpoint("old"), _endpoint("new"), _endpoint("bad")]
    balancer = _balancer()
    balancer.set_endpoints(endpoints, 0.0, {"new": Pool.CANARY, "bad": Pool.WITHHELD})
    assert {balancer.choose(10, 0.0).endpoint.instance for _ in range(20)} == {"old"}
    assert {balancer.choose(10, 0.0, pool=Pool.CANARY).endpoint.instance for _ in range(20)} == {"new"}
    assert balancer.choose(10, 0.0, frozenset(["new"]), pool=Pool.CANARY) is None


def test_statistics_are_kept_when_the_pool_of_an_upstream_changes():
    balancer = _balancer()
    balancer.set_endpoints([_endpoint("a")], 0.0, {"a": Pool.CANARY})
    stats = balancer.choose(10, 0.0, pool=Pool.CANARY)
    balancer.begin(stats)
    balancer.set_endpoints([_endpoint("a")], 1.0)
    assert balancer.choose(10, 1.0) is stats
    assert (stats.pool, stats.in_progress) == (Pool.STABLE, 1)
