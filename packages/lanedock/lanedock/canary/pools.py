# SPDX-License-Identifier: BSD-3-Clause
"""Which upstreams a request of a service may go to, by their software versions."""

import hashlib
from enum import Enum
from math import ceil
from random import Random

from lanedock.canary.state import FULL_SHARE
from lanedock.membership import UNKNOWN_VERSION
from lanedock.wire import messages

__all__ = ["CanarySplit", "Pool", "assign_pools", "classify"]


class Pool(Enum):
    """The part that an upstream has in its service's traffic."""

    STABLE = "stable"
    CANARY = "canary"
    WITHHELD = "withheld"


def classify(rule: messages.CanaryRule | None, version: str) -> Pool:
    """Return the pool of an upstream of a version.

    Without a rule all versions are equal: releases replace one by another. With one, an
    upstream of which the version isn't known yet gets nothing.
    """
    if rule is None:
        return Pool.STABLE
    if rule.canary and version == rule.canary:
        return Pool.CANARY
    if version in rule.withheld or version == UNKNOWN_VERSION:
        return Pool.WITHHELD
    return Pool.STABLE


def assign_pools(rule: messages.CanaryRule | None, endpoints: list[messages.Endpoint]) -> dict[str, Pool]:
    """Return the pool of each upstream of a service; what is left out of it is stable.

    Of the canary's upstreams only as many get requests as then carry what a stable one
    carries: some faults show under load only. Each step chooses the next ones, the same on
    all daemons, in each availability zone.

    Parameters
    ----------
    rule : CanaryRule or None
    endpoints : list of Endpoint
        Of the service.

    Returns
    -------
    dict of str to Pool
        By instance.
    """
    if rule is None:
        return {}
    pools = {endpoint.instance: classify(rule, endpoint.version) for endpoint in endpoints}
    takes = [endpoint for endpoint in endpoints if not endpoint.leaving]
    for zone in {endpoint.zone for endpoint in takes}:
        local = [endpoint for endpoint in takes if endpoint.zone == zone]
        canaries = sorted(
            (endpoint.instance for endpoint in local if pools[endpoint.instance] is Pool.CANARY), key=_rank
        )
        stable = sum(pools[endpoint.instance] is Pool.STABLE for endpoint in local)
        used = _choose(canaries, max(1, ceil(rule.share_permille * stable / FULL_SHARE)), rule)
        for instance in canaries:
            if instance not in used:
                pools[instance] = Pool.WITHHELD
    return pools


def _choose(canaries: list[str], count: int, rule: messages.CanaryRule) -> set[str]:
    """Return the canary's upstreams of a zone that get requests in a step."""
    if count >= len(canaries) or rule.share_permille >= FULL_SHARE:
        return set(canaries)
    first = rule.step * count
    return {canaries[(first + offset) % len(canaries)] for offset in range(count)}


def _rank(instance: str) -> bytes:
    return hashlib.sha256(instance.encode()).digest()


class CanarySplit:
    """Decides on one daemon which requests go to the canary.

    Shares are kept by counting. Each daemon begins at a random phase, so that many daemons
    which see few requests each keep the share together: their rounding cancels out.

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
        """Follow a newer plan; an older one changes nothing.

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
        """Return the rule of a service, or None where it never had a canary."""
        return self._rules.get(service)

    def running(self, service: str) -> messages.CanaryRule | None:
        """Return the rule of a service while a canary of it runs."""
        rule = self._rules.get(service)
        return rule if rule is not None and rule.canary else None

    def is_whole(self, service: str) -> bool:
        """Tell whether all requests of a service go to its canary."""
        rule = self.running(service)
        return rule is not None and rule.share_permille >= FULL_SHARE

    def take(self, service: str) -> bool:
        """Tell whether the next request of a service goes to its canary."""
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
