# SPDX-License-Identifier: BSD-3-Clause
"""What the agent publishes to the request path."""

import random

from lanedock.canary import CanaryCounter, CanarySplit, Pool, assign_pools, classify
from lanedock.clock import monotonic
from lanedock.config import CallerLimits, MeshConfig, is_service_group
from lanedock.limits import RetryBudget, SavingBudget, SlotLimiter
from lanedock.membership import freshness
from lanedock.quarantine import Quarantine
from lanedock.rollout import Held, VersionHolder
from lanedock.routing import Balancer, BalancerPolicy, RouteTable
from lanedock.wire import messages

__all__ = ["LACKING_KEPT", "Binding", "LocalView"]

# Seconds for which upstreams stay in use that a source lacks which names all of them, where it
# leaves a service without any: a control instance that was just started hears of most within
# one. Daemons refuse for applications that have left, and callers see whether they answer.
LACKING_KEPT = 2.0


class Binding:
    """A version with its routes ready for matching. Never changed once made.

    Parameters
    ----------
    held : Held
    former : Binding, optional
        Of the version before: what both have in common is shared.
    """

    __slots__ = ("config", "number", "table")

    def __init__(self, held: Held, former: "Binding | None" = None):
        self.config: MeshConfig = held.config
        self.number: int = held.version.number
        self.table = former.table.evolve(held.config) if former is not None else RouteTable(held.config)

    def __repr__(self) -> str:
        return f"<Binding version={self.number}>"


class LocalView:
    """The current binding, balancers and readiness of one process.

    The agent's task writes; the request path reads. A request takes the
    binding once and keeps it to its end, so a swap is one assignment.

    Parameters
    ----------
    zone : str
    stall_limit : float
        Standstill, in seconds, after which nothing is served until the
        version is confirmed again.
    upstream : UpstreamRegistration, optional
        Of the application beside the daemon.
    instance : str, optional
        Name of the daemon's instance.

    Attributes
    ----------
    quarantine : Quarantine
        The requests that are suspected of ending upstreams.
    canaries : CanarySplit
        Which requests go to upstreams of a version under trial.
    canary_counter : CanaryCounter
    is_stopping : bool
        Whether callers are to go elsewhere; they are served while they come.
    is_draining : bool
        Whether the upstream takes no new work.
    """

    def __init__(self, zone: str, stall_limit: float, upstream=None, instance: str = ""):
        self.upstream = upstream
        self.instance = instance
        self._make_budget = SavingBudget
        self.holder = VersionHolder()
        self.quarantine = Quarantine()
        self.is_draining = False
        self.is_stopping = False
        self._binding: Binding | None = None
        self._newer = 0
        self._newer_since = 0.0
        self._zone = zone
        self._stall_limit = stall_limit
        self._alive_at = monotonic()
        self._rng = random.Random()
        self.canaries = CanarySplit(self._rng)
        self.canary_counter = CanaryCounter()
        self._work: SlotLimiter | None = None
        self._endpoints: dict[str, messages.Endpoint] = {}
        self._lacking: dict[str, messages.Endpoint] = {}
        self._lacking_until = 0.0
        self._balancers: dict[str, Balancer] = {}
        self._budgets: dict[str, RetryBudget] = {}

    def __repr__(self) -> str:
        return f"<LocalView {self.holder!r}>"

    # ------------------------------------------------------ for the request path

    def bind(self) -> Binding | None:
        """Return the binding for a request, or None where nothing may be served."""
        if self._has_stalled() or not self.holder.is_ready:
            return None
        return self._binding

    def balancer(self, service: str) -> Balancer:
        """Return the balancer of a service."""
        balancer = self._balancers.get(service)
        if balancer is None:
            balancer = self._balancers[service] = Balancer(self._zone, self._rng, BalancerPolicy())
            self._fill(service, balancer)
        return balancer

    def budget(self, service: str) -> RetryBudget:
        """Return the retry budget towards a service."""
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = self._make_budget()
        return budget

    def health_path(self, service: str) -> str:
        """Return where a service's applications say whether they are well; empty where that is not known."""
        if self._binding is None:
            return ""
        known = self._binding.config.services.get(service)
        return known.health_path if known is not None else ""

    def may_have_service(self, name: str) -> bool:
        """Tell whether the version in force has a service, held here or not; any, before there is one."""
        held = self.holder.in_force
        return held is None or (is_service_group(name) and name in held.tree.digests)

    def caller_limits(self) -> CallerLimits | None:
        """Return what callers may send by the version in force; None before there is one."""
        return self._binding.config.limits if self._binding is not None else None

    def note_version(self, number: int) -> None:
        """Note the version by which another daemon has sent a request."""
        if number <= self.holder.in_force_version.number:
            return
        if self._newer <= self.holder.in_force_version.number:
            self._newer_since = monotonic()
        self._newer = max(self._newer, number)

    def set_work(self, limiter: SlotLimiter) -> None:
        """Set what knows the requests that the application beside the daemon works on."""
        self._work = limiter

    def parent_class(self, binding: Binding) -> str:
        """Return the most urgent class of those requests; empty where there are none.

        A call that the application makes is made for one of them.
        """
        if self._work is None:
            return ""
        classes = binding.config.traffic_classes
        known = [classes[name] for name in self._work.classes_in_use() if name in classes]
        return min(known, key=lambda item: item.priority).name if known else ""

    def set_budgets(self, make_budget) -> None:
        """Set what makes the retry budget towards a service."""
        self._make_budget = make_budget

    # -------------------------------------------------------------- for the agent

    def publish(self) -> None:
        """Bind requests from now on to the version in force."""
        held = self.holder.in_force
        if held is not None:
            self._binding = Binding(held, self._binding)

    def newer_version(self, now: float) -> tuple[int, float]:
        """Return the newest version that other daemons use and this one lacks, and for how long, in seconds.

        Both are 0 where there is none.
        """
        if self._newer <= self.holder.in_force_version.number:
            return 0, 0.0
        return self._newer, now - self._newer_since

    def note_alive(self) -> bool:
        """Note that the process runs.

        Returns
        -------
        bool
            False where it was paused for too long: the holder is suspended.
        """
        stalled = self._has_stalled()
        if stalled:
            self.holder.suspend()
        self._alive_at = monotonic()
        return not stalled

    def _has_stalled(self) -> bool:
        return monotonic() - self._alive_at > self._stall_limit

    def take_endpoints(self, update: messages.EndpointUpdate) -> None:
        """Accept a change of endpoints."""
        touched = set()
        former = self._endpoints
        if update.whole:
            touched = {endpoint.service for endpoint in former.values()}
            self._endpoints = {}
            if former:
                self._lacking, self._lacking_until = former, monotonic() + LACKING_KEPT
        for name in update.gone:
            for gone in (self._lacking.pop(name, None), self._endpoints.pop(name, None)):
                if gone is not None:
                    touched.add(gone.service)
        for endpoint in update.changed:
            known = former.get(endpoint.instance)
            if known is not None:
                touched.add(known.service)
            if known is not None and freshness(known) > freshness(endpoint):
                # Another source, which has not heard of the newer one yet: with the
                # older, requests would name an incarnation that has ended.
                endpoint = known
            self._endpoints[endpoint.instance] = endpoint
            touched.add(endpoint.service)
        if update.whole:
            self._lacking = {name: kept for name, kept in self._lacking.items() if name not in self._endpoints}
        self._refill(touched)

    def expire_endpoints(self, now: float) -> None:
        """Let go of upstreams that the source has lacked for too long."""
        if self._lacking and now >= self._lacking_until:
            lacking, self._lacking = self._lacking, {}
            self._refill({endpoint.service for endpoint in lacking.values()})

    def follow_canaries(self, plan: messages.CanaryPlan) -> bool:
        """Follow a plan; False where it is no newer than the one that is followed."""
        if plan.revision <= self.canaries.plan.revision:
            return False
        changed = self.canaries.follow(plan)
        self.canary_counter.follow(plan)
        self._refill(changed)
        return True

    def is_displaced_busy(self) -> bool:
        """Tell whether the upstream works on requests although all new ones go to a canary."""
        if self.upstream is None or self._work is None:
            return False
        rule = self.canaries.running(self.upstream.service)
        if rule is None or not self.canaries.is_whole(self.upstream.service):
            return False
        return classify(rule, self.upstream.version) is Pool.STABLE and self._work.in_use > 0

    def age(self) -> dict[str, object]:
        """Return what explains that nothing may be served, for a log line."""
        return {
            "in_force": self.holder.in_force_version.number,
            "floor_confirmed": self.holder.is_floor_confirmed,
            "stalled": self._has_stalled(),
        }

    def is_ready(self) -> bool:
        """Tell whether callers' requests can be served."""
        return not (self.is_draining or self.is_stopping) and bool(self._endpoints) and self.bind() is not None

    def daemon_count(self) -> int:
        """Return how many daemons are known, this one included."""
        return max(1, len(self._endpoints))

    def count_endpoints(self) -> dict[str, int]:
        """Return how many upstreams that take work are known in each zone."""
        counts: dict[str, int] = {}
        for endpoint in self._endpoints.values():
            counts[endpoint.zone] = counts.get(endpoint.zone, 0) + (not endpoint.leaving)
        return counts

    def whole_update(self) -> messages.EndpointUpdate:
        """Return all endpoints, for a daemon that has just connected."""
        return messages.EndpointUpdate(whole=True, changed=self._endpoints.values())

    def _refill(self, services: set[str]) -> None:
        for service in services:
            balancer = self._balancers.get(service)
            if balancer is not None:
                self._fill(service, balancer)

    def _fill(self, service: str, balancer: Balancer) -> None:
        rule = self.canaries.rule(service)
        mine = [endpoint for endpoint in self._endpoints.values() if endpoint.service == service]
        if not any(classify(rule, endpoint.version) is Pool.STABLE and not endpoint.leaving for endpoint in mine):
            mine += [
                endpoint
                for name, endpoint in self._lacking.items()
                if endpoint.service == service and name not in self._endpoints
            ]
        balancer.set_endpoints(mine, monotonic(), assign_pools(rule, mine))
