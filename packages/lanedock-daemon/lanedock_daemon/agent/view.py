# SPDX-License-Identifier: BSD-3-Clause
"""The local view of the mesh that the agent publishes to the request path."""

import random

from lanedock.canary import CanaryCounter, CanarySplit, Pool, assign_pools, classify
from lanedock.clock import monotonic
from lanedock.config import CallerLimits, MeshConfig, is_service_group
from lanedock.limits import RetryBudget, SavingBudget, SlotLimiter
from lanedock.membership import freshness
from lanedock.quarantine import Quarantine
from lanedock.rollout import HeldVersion, VersionHolder
from lanedock.routing import Balancer, BalancerPolicy, RouteTable
from lanedock.wire import messages

__all__ = ["MISSING_ENDPOINT_RETENTION", "Binding", "LocalView"]

# Seconds for which endpoints missing from a whole update stay in use if the update leaves their service
# without any. A control instance that was just started receives most endpoints within one second.
# Keeping an outdated endpoint is safe: its daemon refuses requests for an application that has left,
# and callers notice when it does not answer.
MISSING_ENDPOINT_RETENTION = 2.0


class Binding:
    """A version with its routes prepared for matching. Immutable.

    Parameters
    ----------
    held : HeldVersion
    former : Binding, optional
        Binding of the previous version; unchanged parts of its route table are shared.
    """

    __slots__ = ("config", "number", "table")

    def __init__(self, held: HeldVersion, former: "Binding | None" = None):
        self.config: MeshConfig = held.config
        self.number: int = held.version.number
        self.table = former.table.evolve(held.config) if former is not None else RouteTable(held.config)

    def __repr__(self) -> str:
        return f"<Binding version={self.number}>"


class LocalView:
    """The current binding, balancers and readiness of one process.

    The agent's task writes the view and the request path reads it. A request reads the
    binding once and uses it until it ends, so that replacing it is a single assignment.

    Parameters
    ----------
    zone : str
        Availability zone of the daemon.
    stall_limit : float
        Pause of the process, in seconds, after which nothing is served until the version is
        confirmed again.
    upstream : UpstreamRegistration, optional
        Registration of the daemon's application.
    instance : str, optional
        Name of the daemon's instance.

    Attributes
    ----------
    quarantine : Quarantine
        Requests that are suspected of crashing upstreams.
    canaries : CanarySplit
        Decides which requests are sent to canary upstreams.
    canary_counter : CanaryCounter
    is_stopping : bool
        Whether the daemon reports itself as not ready; requests that still arrive are served.
    is_draining : bool
        Whether the upstream accepts no new requests.
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
        self._slot_limiter: SlotLimiter | None = None
        self._endpoints: dict[str, messages.Endpoint] = {}
        self._missing: dict[str, messages.Endpoint] = {}
        self._missing_until = 0.0
        self._balancers: dict[str, Balancer] = {}
        self._budgets: dict[str, RetryBudget] = {}

    def __repr__(self) -> str:
        return f"<LocalView {self.holder!r}>"

    # ------------------------------------------------------ for the request path

    def bind(self) -> Binding | None:
        """Return the binding for a request, or None if no request may be served."""
        if self._has_stalled() or not self.holder.is_ready:
            return None
        return self._binding

    def balancer(self, service: str) -> Balancer:
        """Return the balancer of a service, created on first use."""
        balancer = self._balancers.get(service)
        if balancer is None:
            balancer = self._balancers[service] = Balancer(self._zone, self._rng, BalancerPolicy())
            self._update_balancer(service, balancer)
        return balancer

    def budget(self, service: str) -> RetryBudget:
        """Return the retry budget for requests to a service, created on first use."""
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = self._make_budget()
        return budget

    def health_path(self, service: str) -> str:
        """Return the path of a service's health check; empty if it is not known."""
        if self._binding is None:
            return ""
        known = self._binding.config.services.get(service)
        return known.health_path if known is not None else ""

    def has_service(self, name: str) -> bool:
        """Return whether the version in force contains a service, in this daemon's slice or not.

        False for any name before a version is in force.
        """
        held = self.holder.in_force
        return held is not None and is_service_group(name) and name in held.tree.digests

    def caller_limits(self) -> CallerLimits | None:
        """Return the limits of callers in the version in force; None before a version is in force."""
        return self._binding.config.limits if self._binding is not None else None

    def note_version(self, number: int) -> None:
        """Record the number of the version that another daemon used for a request."""
        if number <= self.holder.in_force_version.number:
            return
        if self._newer <= self.holder.in_force_version.number:
            self._newer_since = monotonic()
        self._newer = max(self._newer, number)

    def set_slot_limiter(self, limiter: SlotLimiter) -> None:
        """Set the limiter that holds the requests in progress at the daemon's application."""
        self._slot_limiter = limiter

    def inherited_traffic_class(self, binding: Binding) -> str:
        """Return the most urgent traffic class among the application's requests in progress; empty if there are none.

        The application's own calls inherit it, as each is made on behalf of one of these requests.
        """
        if self._slot_limiter is None:
            return ""
        classes = binding.config.traffic_classes
        known = [classes[name] for name in self._slot_limiter.classes_in_use() if name in classes]
        return min(known, key=lambda item: item.priority).name if known else ""

    def inherited_customer_priority(self) -> int | None:
        """Return the most urgent customers' priority among the application's requests in progress; None without any.

        The application's own calls inherit it, as they inherit the traffic class.
        """
        priority = None if self._slot_limiter is None else self._slot_limiter.most_urgent_customer_priority()
        return None if priority is None else max(0, priority)

    def set_budget_factory(self, make_budget) -> None:
        """Set the factory of retry budgets, called without arguments."""
        self._make_budget = make_budget

    # -------------------------------------------------------------- for the agent

    def publish(self) -> None:
        """Replace the binding of new requests by one of the version in force."""
        held = self.holder.in_force
        if held is not None:
            self._binding = Binding(held, self._binding)

    def newer_version(self, now: float) -> tuple[int, float]:
        """Return the newest version that other daemons use and this one lacks, and the seconds since it became known.

        Both are 0 if there is none.
        """
        if self._newer <= self.holder.in_force_version.number:
            return 0, 0.0
        return self._newer, now - self._newer_since

    def note_alive(self) -> bool:
        """Record that the process is running.

        Returns
        -------
        bool
            False if the process was paused for longer than the stall limit; the holder is then suspended.
        """
        stalled = self._has_stalled()
        if stalled:
            self.holder.suspend()
        self._alive_at = monotonic()
        return not stalled

    def _has_stalled(self) -> bool:
        return monotonic() - self._alive_at > self._stall_limit

    def apply_endpoints(self, update: messages.EndpointUpdate) -> None:
        """Apply an update of endpoints."""
        affected = set()
        former = self._endpoints
        if update.whole:
            affected = {endpoint.service for endpoint in former.values()}
            self._endpoints = {}
            if former:
                self._missing, self._missing_until = former, monotonic() + MISSING_ENDPOINT_RETENTION
        for name in update.gone:
            for gone in (self._missing.pop(name, None), self._endpoints.pop(name, None)):
                if gone is not None:
                    affected.add(gone.service)
        for endpoint in update.changed:
            known = former.get(endpoint.instance)
            if known is not None:
                affected.add(known.service)
            if known is not None and freshness(known) > freshness(endpoint):
                # The update is from another source that does not know the newer endpoint yet.
                # With the older one, requests would name an incarnation that has ended.
                endpoint = known
            self._endpoints[endpoint.instance] = endpoint
            affected.add(endpoint.service)
        if update.whole:
            self._missing = {name: missing for name, missing in self._missing.items() if name not in self._endpoints}
        self._update_balancers(affected)

    def expire_endpoints(self, now: float) -> None:
        """Remove endpoints that have been missing from the source for `MISSING_ENDPOINT_RETENTION` seconds."""
        if self._missing and now >= self._missing_until:
            lacking, self._missing = self._missing, {}
            self._update_balancers({endpoint.service for endpoint in lacking.values()})

    def follow_canaries(self, plan: messages.CanaryPlan) -> bool:
        """Apply a canary plan; returns False if it is no newer than the present one."""
        if plan.revision <= self.canaries.plan.revision:
            return False
        changed = self.canaries.follow(plan)
        self.canary_counter.follow(plan)
        self._update_balancers(changed)
        return True

    def is_displaced_busy(self) -> bool:
        """Return whether the upstream still works on requests although all new ones are sent to a canary."""
        if self.upstream is None or self._slot_limiter is None:
            return False
        rule = self.canaries.running(self.upstream.service)
        if rule is None or not self.canaries.has_full_share(self.upstream.service):
            return False
        return classify(rule, self.upstream.version) is Pool.STABLE and self._slot_limiter.in_use > 0

    def unready_details(self) -> dict[str, object]:
        """Return the fields of a log line that explain why nothing may be served."""
        return {
            "in_force": self.holder.in_force_version.number,
            "floor_confirmed": self.holder.is_floor_confirmed,
            "stalled": self._has_stalled(),
        }

    def is_ready(self) -> bool:
        """Return whether the daemon reports itself as ready for requests of callers."""
        return not (self.is_draining or self.is_stopping) and bool(self._endpoints) and self.bind() is not None

    def daemon_count(self) -> int:
        """Return the number of known daemons, this one included; at least 1."""
        return max(1, len(self._endpoints))

    def count_endpoints(self) -> dict[str, int]:
        """Return the number of known upstreams that accept requests, by availability zone."""
        counts: dict[str, int] = {}
        for endpoint in self._endpoints.values():
            counts[endpoint.zone] = counts.get(endpoint.zone, 0) + (not endpoint.leaving)
        return counts

    def whole_update(self) -> messages.EndpointUpdate:
        """Return all endpoints, for a daemon that has just connected."""
        return messages.EndpointUpdate(whole=True, changed=self._endpoints.values())

    def _update_balancers(self, services: set[str]) -> None:
        for service in services:
            balancer = self._balancers.get(service)
            if balancer is not None:
                self._update_balancer(service, balancer)

    def _update_balancer(self, service: str, balancer: Balancer) -> None:
        rule = self.canaries.rule(service)
        endpoints = [endpoint for endpoint in self._endpoints.values() if endpoint.service == service]
        if not any(classify(rule, endpoint.version) is Pool.STABLE and not endpoint.leaving for endpoint in endpoints):
            endpoints += [
                endpoint
                for name, endpoint in self._missing.items()
                if endpoint.service == service and name not in self._endpoints
            ]
        balancer.set_endpoints(endpoints, monotonic(), assign_pools(rule, endpoints))
