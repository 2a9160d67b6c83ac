# SPDX-License-Identifier: BSD-3-Clause
"""Tests of the assignment of upstreams and requests to pools."""

import random

import pytest

from lanedock.canary import CanarySplit, Pool, assign_pools, classify
from lanedock.membership import UNKNOWN_VERSION
from lanedock.wire import messages


def _rule(share=80, step=1, canary="v2", withheld=(), number=1) -> messages.CanaryRule:
    return messages.CanaryRule(
        service="s", canary=canary, share_permille=share, step=step, withheld=withheld, number=number
    )


def _endpoints(stable: int, canaries: int, zones: int = 3) -> list[messages.Endpoint]:
    endpoints = []
    for kind, version, count in (("old", "v1", stable), ("new", "v2", canaries)):
        for number in range(count):
            zone = f"z{number % zones}"
            endpoints.append(messages.Endpoint(instance=f"{kind}{number}", service="s", zone=zone, version=version))
    return endpoints


@pytest.mark.parametrize(
    ("rule", "version", "pool"),
    [
        (None, "v1", Pool.STABLE),
        (None, UNKNOWN_VERSION, Pool.STABLE),
        (_rule(), "v1", Pool.STABLE),
        (_rule(), "v2", Pool.CANARY),
        (_rule(), "", Pool.STABLE),
        (_rule(), UNKNOWN_VERSION, Pool.WITHHELD),
        (_rule(canary="", withheld=("v2",)), "v2", Pool.WITHHELD),
        (_rule(canary="", withheld=("v1",)), "v3", Pool.STABLE),
    ],
)
def test_an_upstream_is_classified_by_its_version(rule, version, pool):
    assert classify(rule, version) is pool


def test_a_canary_upstream_gets_about_the_load_of_a_stable_one():
    pools = assign_pools(_rule(share=100), _endpoints(30, 30))
    assert sum(pool is Pool.CANARY for pool in pools.values()) == 3
    assert sum(pool is Pool.STABLE for pool in pools.values()) == 30


def test_each_zone_has_a_canary_upstream_and_successive_steps_use_all_upstreams():
    endpoints = _endpoints(30, 30)
    seen = set()
    for step in range(1, 11):
        pools = assign_pools(_rule(step=step), endpoints)
        used = [endpoint for endpoint in endpoints if pools[endpoint.instance] is Pool.CANARY]
        assert {endpoint.zone for endpoint in used} == {"z0", "z1", "z2"}
        seen |= {endpoint.instance for endpoint in used}
    assert len(seen) == 30


@pytest.mark.parametrize(("share", "count"), [(80, 1), (250, 1), (330, 1), (500, 2)])
def test_canary_upstreams_of_a_small_service_get_the_load_of_stable_ones(share, count):
    # One upstream in each of three zones would get a third of that load, and hide a fault that occurs under load.
    endpoints = _endpoints(4, 4)
    seen = set()
    for step in range(1, 5):
        pools = assign_pools(_rule(share=share, step=step), endpoints)
        used = {instance for instance, pool in pools.items() if pool is Pool.CANARY}
        assert len(used) == count
        seen |= used
    assert len(seen) == 4


def test_the_full_share_uses_all_canary_upstreams():
    pools = assign_pools(_rule(share=1000), _endpoints(6, 20))
    assert sum(pool is Pool.CANARY for pool in pools.values()) == 20


def test_pools_do_not_depend_on_the_order_of_endpoints():
    endpoints = _endpoints(20, 20)
    shuffled = endpoints[:]
    random.Random(1).shuffle(shuffled)
    assert assign_pools(_rule(step=4), endpoints) == assign_pools(_rule(step=4), shuffled)


def test_many_daemons_with_few_requests_each_keep_the_share_in_total():
    plan = messages.CanaryPlan(revision=1, rules=[_rule(share=50)])
    rng = random.Random(7)
    daemons = [CanarySplit(rng) for _ in range(92)]
    for daemon in daemons:
        daemon.follow(plan)
    taken = sum(daemon.assign_request("s") for daemon in daemons for _ in range(5))
    # The exact share is 23 of 460; if each daemon rounded up, it would be 92.
    assert 13 <= taken <= 33


def test_an_older_plan_is_ignored():
    split = CanarySplit(random.Random(1))
    split.follow(messages.CanaryPlan(revision=5, rules=[_rule(canary="", withheld=("v2",), share=0)]))
    assert split.follow(messages.CanaryPlan(revision=4, rules=[_rule(share=1000)])) == set()
    assert not split.assign_request("s")
    assert split.rule("s").canary == ""


def test_without_a_canary_no_request_goes_to_one():
    split = CanarySplit(random.Random(1))
    assert not any(split.assign_request("s") for _ in range(100))
