# SPDX-License-Identifier: BSD-3-Clause
"""Assignment of upstreams and requests to the stable and the canary pool of a service."""

import hashlib
from enum import Enum
from math import ceil
from random import Random

from lanedock.canary.state import FULL_SHARE
from lanedock.membership import UNKNOWN_VERSION
from lanedock.wire import messages

__all__ = ["CanarySplit", "Pool", "assign_pools", "classify"]

# Load of a stable upstream, as a multiple, up to which a single canary upstream serves the whole share. With less
# than a usual load each, two of them would not show a fault that occurs under load.
MAX_SINGLE_LOAD = 1.5


class Pool(Enum):
    """The part of its service's traffic that an upstream serves; `WITHHELD` upstreams get none."""

    STABLE = "stable"
    CANARY = "canary"
    WITHHELD = "withheld"


def classify(rule: messages.CanaryRule | None, version: str) -> Pool:
    """Return the pool of an upstream by its software version.

    Without a rule all versions are treated alike, as in a plain release. With a rule, an
    upstream whose version is not known yet gets no requests.
    """
    if rule is None:
        return Pool.STABLE
    if rule.canary and version == rule.canary:
        return Pool.CANARY
    if version in rule.withheld or version == UNKNOWN_VERSION:
        return Pool.WITHHELD
    return Pool.STABLE


def assign_pools(rule: messages.CanaryRule | None, endpoints: list[messages.Endpoint]) -> dict[str, Pool]:
    """Return the pool of each upstream of a service.

    Only so many canary upstreams get requests that each has the load of a stable upstream,
    because some faults appear only under load. Each step selects the next upstreams, from all
    availability zones in turn, the same ones on all daemons.

    Parameters
    ----------
    rule : CanaryRule or None
    endpoints : list of Endpoint
        Endpoints of the service.

    Returns
    -------
    dict of str to Pool
        Pool of each instance; an instance that is left out is in the stable pool.
    """
    if rule is None:
        return {}
    pools = {endpoint.instance: classify(rule, endpoint.version) for endpoint in endpoints}
    staying = [endpoint for endpoint in endpoints if not endpoint.leaving]
    stable = sum(pools[endpoint.instance] is Pool.STABLE for endpoint in staying)
    canaries = [endpoint for endpoint in staying if pools[endpoint.instance] is Pool.CANARY]
    used = _select_canaries(canaries, _count_needed(rule.share_permille * stable / FULL_SHARE), rule)
    for endpoint in canaries:
        if endpoint.instance not in used:
            pools[endpoint.instance] = Pool.WITHHELD
    return pools


def _count_needed(load: float) -> int:
    """Return how many canary upstreams a share needs that is the load of `load` stable upstreams."""
    return 1 if load <= MAX_SINGLE_LOAD else ceil(load)


def _select_canaries(canaries: list[messages.Endpoint], count: int, rule: messages.CanaryRule) -> set[str]:
    """Return the canary upstreams that get requests in the rule's step."""
    if count >= len(canaries) or rule.share_permille >= FULL_SHARE:
        return {endpoint.instance for endpoint in canaries}
    ring = _interleave_zones(canaries)
    first = rule.step * count
    return {ring[(first + offset) % len(ring)] for offset in range(count)}


def _interleave_zones(canaries: list[messages.Endpoint]) -> list[str]:
    """Return the instances in an order in which any part has each zone's upstreams in about their proportion."""
    by_zone: dict[str, list[str]] = {}
    for endpoint in canaries:
        by_zone.setdefault(endpoint.zone, []).append(endpoint.instance)
    places = []
    for zone, instances in by_zone.items():
        for number, instance in enumerate(sorted(instances, key=_hash_instance)):
            places.append(((number + 0.5) / len(instances), zone, instance))
    return [instance for _, _, instance in sorted(places)]


def _hash_instance(instance: str) -> bytes:
    return hashlib.sha256(instance.encode()).digest()


class CanarySplit:
    """Decides on one daemon which requests go to the canary.

    Requests are counted instead of drawn at random, which keeps the share exactly. Each daemon
    starts at a random phase, so that the rounding errors of many daemons with few requests each
    cancel out.

    Parameters
    ----------
    rng : random.Random
    """

    def __init__(self, rng: Random):
        self._rng = rng
        self._rules: dict[str, messages.CanaryRule] = {}
        self._credits: dict[str, float] = {}
        self.plan = messages.CanaryPlan()

    def __repr__(self) -> str:
        return f"<CanarySplit revision={self.plan.revision}>"

    def follow(self, plan: messages.CanaryPlan) -> set[str]:
        """Adopt a plan if it is newer than the current one.

        Returns
        -------
        set of str
            Services whose rule has changed.
        """
        if plan.revision <= self.plan.revision:
            return set()
        former, self._rules = self._rules, {rule.service: rule for rule in plan.rules}
        self.plan = plan
        return {service for service, rule in self._rules.items() if former.get(service) != rule}

    def rule(self, service: str) -> messages.CanaryRule | None:
        """Return the rule of a service, or None if it never had a canary."""
        return self._rules.get(service)

    def running(self, service: str) -> messages.CanaryRule | None:
        """Return the rule of a service if it has a running canary, else None."""
        rule = self._rules.get(service)
        return rule if rule is not None and rule.canary else None

    def has_full_share(self, service: str) -> bool:
        """Return whether all requests of a service go to its canary."""
        rule = self.running(service)
        return rule is not None and rule.share_permille >= FULL_SHARE

    def assign_request(self, service: str) -> bool:
        """Return whether the next request of a service goes to its canary, and count it."""
        rule = self._rules.get(service)
        if rule is None or not rule.share_permille:
            return False
        credit = self._credits.get(service)
        if credit is None:
            credit = self._rng.random()
        credit += rule.share_permille / FULL_SHARE
        is_taken = credit >= 1
        self._credits[service] = credit - is_taken
        return is_taken
