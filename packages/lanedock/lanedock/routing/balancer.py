# SPDX-License-Identifier: BSD-3-Clause
"""Load balancing: which upstream instances may get a request, and the statistics by which one is chosen.

An `UpstreamChoice` orders those that may get it: by the caller's statistics, or by load probes
where upstreams answer them.
"""

from random import Random

from lanedock.canary import Pool
from lanedock.routing.answer_times import SMOOTHING, AnswerTimes
from lanedock.routing.available_upstreams import AvailableUpstreams
from lanedock.routing.load_sample import ProbePlan
from lanedock.routing.policy import BalancerPolicy
from lanedock.routing.power_of_two import PowerOfTwoChoice
from lanedock.routing.probed_choice import ProbedChoice
from lanedock.routing.upstream_choice import UpstreamChoice
from lanedock.routing.upstream_stats import UpstreamStats, is_same_application, was_restarted
from lanedock.wire import messages

__all__ = ["Balancer"]


class Balancer:
    """Load balancer of one caller among the upstreams of one service.

    Parameters
    ----------
    zone : str
        Availability zone of the caller.
    rng : random.Random
    policy : BalancerPolicy

    Attributes
    ----------
    probed_choice : ProbedChoice or None
        Choice by load probes; None while no upstream answers them.
    """

    def __init__(self, zone: str, rng: Random, policy: BalancerPolicy):
        self._zone = zone
        self._rng = rng
        self._policy = policy
        self._upstreams: dict[str, UpstreamStats] = {}
        self._available = {pool: AvailableUpstreams([], zone) for pool in (Pool.STABLE, Pool.CANARY)}
        self._times = AnswerTimes()
        self._statistics = PowerOfTwoChoice(rng, policy, self._times)
        self._choice: UpstreamChoice = self._statistics
        self.probed_choice: ProbedChoice | None = None
        self._rate_limited_until = float("-inf")

    def __repr__(self) -> str:
        stable = self._available[Pool.STABLE]
        return f"<Balancer {self._zone} local={len(stable.local)} remote={len(stable.remote)}>"

    def __len__(self) -> int:
        return len(self._upstreams)

    def set_endpoints(
        self, endpoints: list[messages.Endpoint], now: float, pools: dict[str, Pool] | None = None
    ) -> None:
        """Replace the list of upstreams, keeping the statistics of upstreams that remain listed.

        Parameters
        ----------
        endpoints : list of Endpoint
        now : float
            Monotonic time, in seconds.
        pools : dict of str to Pool, optional
            Pool of each instance; an instance that is left out is in the stable pool.
        """
        pools = pools or {}
        is_first = not self._upstreams
        upstreams = {}
        for endpoint in endpoints:
            upstream = self._upstreams.get(endpoint.instance)
            if upstream is None or was_restarted(upstream.endpoint, endpoint):
                upstream = self._make_stats(endpoint, upstream, is_first, now)
            upstream.endpoint = endpoint
            upstream.pool = pools.get(endpoint.instance, Pool.STABLE)
            upstreams[endpoint.instance] = upstream
        self._upstreams = upstreams
        self._set_choice(any(endpoint.load_port for endpoint in endpoints))
        accepting = [
            stats for stats in upstreams.values() if not (stats.endpoint.leaving or stats.is_application_leaving)
        ]
        for pool in self._available:
            self._available[pool] = AvailableUpstreams([stats for stats in accepting if stats.pool is pool], self._zone)

    def _set_choice(self, are_probed: bool) -> None:
        """Choose by load probes if any upstream answers them, else by statistics."""
        if not are_probed:
            self._choice, self.probed_choice = self._statistics, None
        elif self.probed_choice is None:
            self._choice = self.probed_choice = ProbedChoice(self._rng, self._policy, self._statistics)

    def _make_stats(
        self, endpoint: messages.Endpoint, former: UpstreamStats | None, is_first: bool, now: float
    ) -> UpstreamStats:
        """Return the initial statistics of an upstream that is new or was restarted."""
        if is_first or (former is not None and is_same_application(former.endpoint, endpoint)):
            # An upstream that was there before this caller is taken to be warm, and so is
            # an application that keeps running while its daemon is restarted.
            cold_duration = 0.0
        elif endpoint.upstream:
            # Its application reports for how long it will still be slow after its start.
            cold_duration = endpoint.cold_ms / 1000
        else:
            cold_duration = self._policy.slow_start
        stats = UpstreamStats(endpoint, now if cold_duration else None, cold_duration)
        if former is not None:
            stats.slowness = former.slowness
            stats.ended_at = former.ended_at
            stats.is_application_leaving = former.is_application_leaving and is_same_application(
                former.endpoint, endpoint
            )
        return stats

    def hedge_delay(self, kind: str) -> float:
        """Return the time after which an answer to this kind of request counts as late, in seconds."""
        return self._times.hedge_delay(kind)

    def body_late_delay(self, kind: str) -> float:
        """Return the time after an answer's head from which its body counts as late, in seconds."""
        return self._times.body_late_delay(kind)

    def note_leaving(self, stats: UpstreamStats, is_application: bool = False) -> None:
        """Send no new requests to an upstream whose daemon has reported that it leaves.

        Parameters
        ----------
        stats : UpstreamStats
            Statistics of the upstream when the request was sent whose answer carried the
            report. They are outdated if the upstream was restarted since.
        is_application : bool
            Whether the application itself leaves. If so, this run of the application gets
            no more requests, even if its daemon is restarted and reports it as available.
        """
        current = self._upstreams.get(stats.endpoint.instance)
        if current is None:
            return
        is_same = current is stats or is_same_application(stats.endpoint, current.endpoint)
        if is_application and not is_same:
            return
        current.is_application_leaving = current.is_application_leaving or is_application
        for available in self._available.values():
            available.remove(current)

    # ------------------------------------------------------------------ choice

    def choose(
        self,
        slots: int,
        now: float,
        excluded: frozenset = frozenset(),
        is_long: bool = False,
        pool: Pool = Pool.STABLE,
        may_wait: bool = True,
        target_time: float | None = None,
    ) -> UpstreamStats | None:
        """Choose an upstream for a request; the caller of this method then calls `begin`.

        Parameters
        ----------
        slots : int
            Concurrent requests of an upstream that does not report its own number.
        now : float
            Monotonic time, in seconds.
        excluded : frozenset of str
            Instances that were already tried for this request.
        is_long : bool
            Whether the request has a long body.
        pool : Pool
            Pool to choose from.
        may_wait : bool
            Whether to choose an upstream whose advertised rate limit permits no request yet
            if no upstream's limit permits one. Its daemon decides whether the request can
            wait there.
        target_time : float, optional
            Monotonic time, in seconds, until which the answer is wanted.

        Returns
        -------
        UpstreamStats or None
            None if no upstream is available.
        """
        usable = self._list_usable(pool, excluded, now)
        permitted = [self._select_permitted(upstreams, now) for upstreams in usable]
        chosen = self._choice.choose(*permitted, slots, now, is_long, target_time)
        if chosen is None and may_wait:
            return _select_first_permitted([*usable[0], *usable[1]])
        return chosen

    def plan_probes(self, now: float, excluded: frozenset = frozenset(), pool: Pool = Pool.STABLE) -> ProbePlan:
        """Select the upstreams to probe before the choice for a request; parameters as in `choose`.

        Must not be called while `probed_choice` is None.
        """
        permitted = [self._select_permitted(upstreams, now) for upstreams in self._list_usable(pool, excluded, now)]
        return self.probed_choice.plan_probes(*permitted, now)

    def plan_zone_probes(
        self,
        now: float,
        excluded: frozenset = frozenset(),
        is_long: bool = False,
        pool: Pool = Pool.STABLE,
        target_time: float | None = None,
    ) -> ProbePlan:
        """Select the upstreams of other zones to probe once the local ones have replied; see `plan_probes`."""
        permitted = [self._select_permitted(upstreams, now) for upstreams in self._list_usable(pool, excluded, now)]
        return self.probed_choice.plan_zone_probes(*permitted, now, is_long, target_time)

    def _list_usable(self, pool: Pool, excluded: frozenset, now: float) -> tuple[list, list]:
        """Return the upstreams of the own zone and of other zones that may get a request."""
        available = self._available[pool]
        return (
            self._select_usable(available.local, excluded, now),
            self._select_usable(available.remote, excluded, now),
        )

    def _select_usable(self, upstreams: list[UpstreamStats], excluded: frozenset, now: float) -> list[UpstreamStats]:
        usable = [
            stats
            for stats in upstreams
            if stats.ejected_until <= now and not stats.is_unreachable and stats.endpoint.instance not in excluded
        ]
        if usable or excluded:
            return usable
        # All are ejected or unreachable. A request to one that may have recovered is better
        # than none, so only those that a probe has confirmed to be unreachable are left out.
        return [stats for stats in upstreams if not stats.failed_probes]

    def _select_permitted(self, usable: list[UpstreamStats], now: float) -> list[UpstreamStats]:
        """Return the upstreams whose advertised rate limit, if any, permits a request now."""
        if now >= self._rate_limited_until:
            return usable
        return [stats for stats in usable if stats.send_times.is_open(now)]

    # ---------------------------------------------------------------- outcomes

    def begin(self, stats: UpstreamStats, now: float | None = None) -> None:
        """Record that a request is sent to an upstream."""
        if now is not None and not stats.in_progress:
            stats.busy_since = now
        stats.in_progress += 1
        if now is not None:
            stats.send_times.take(now)

    def end(
        self,
        stats: UpstreamStats,
        failed: bool,
        now: float,
        reported: int | None = None,
        taken: float | None = None,
        unreachable: bool = False,
        kind: str = "",
        body_taken: float | None = None,
        sent_at: float | None = None,
    ) -> bool:
        """Record the end of a request.

        Parameters
        ----------
        stats : UpstreamStats
        failed : bool
            Whether the request failed through the upstream's fault.
        now : float
            Monotonic time, in seconds.
        reported : int, optional
            Requests in progress that the upstream's daemon put on the answer, including
            this one.
        taken : float, optional
            Seconds until the answer's head; left out if the upstream has not answered.
        unreachable : bool
            Whether no connection could be made. The upstream then gets no requests until a
            probe has reached it; unlike for ejections, there is no limit to the number of
            upstreams to which this applies.
        kind : str
            Kind of the request, such as its route's name; times are compared within a kind.
        body_taken : float, optional
            Seconds from the answer's head until its last byte was passed on; left out if
            the body was not complete. Kept apart from `taken`: a long body or a caller that
            reads slowly makes neither the upstream slow nor the answer late.
        sent_at : float, optional
            Monotonic time, in seconds, at which the request was sent; left out if its result counts in any case.

        Returns
        -------
        bool
            Whether this request made the upstream ejected or unreachable.
        """
        if reported is not None:
            stats.other_requests = max(0, reported - stats.in_progress)
            stats.reported_at = now
        stats.in_progress -= 1
        stats.ended_at = now
        if taken is not None:
            stats.answered_at = now
            stats.slowness += SMOOTHING * (self._times.note(kind, taken) - stats.slowness)
        if body_taken is not None:
            self._times.note_body(kind, body_taken)
        if sent_at is not None and sent_at < stats.counted_since:
            return False
        if not failed:
            stats.failures = 0
            stats.is_on_trial = False
            stats.ejections = max(0, stats.ejections - 1)
            return False
        stats.failures += 1
        if unreachable:
            was_reachable, stats.is_unreachable = not stats.is_unreachable, True
            return was_reachable
        if stats.failures < self._policy.eject_failures and not stats.is_on_trial:
            return False
        return self._eject(stats, now)

    def cancel(self, stats: UpstreamStats, now: float) -> None:
        """Record that a request is no longer awaited; it tells nothing about the upstream.

        Parameters
        ----------
        stats : UpstreamStats
        now : float
            Monotonic time, in seconds.
        """
        stats.in_progress -= 1
        stats.ended_at = now

    def add_send_time(self, stats: UpstreamStats, wait: float, now: float) -> None:
        """Record when an upstream's advertised rate limit permits the next request; see `SendTimes.note`."""
        stats.send_times.note(wait, now)
        self._rate_limited_until = max(self._rate_limited_until, stats.send_times.limited_until)

    def note_probe(self, stats: UpstreamStats, is_reached: bool, now: float) -> None:
        """Record whether a probe could connect to an unreachable upstream; `now` is a monotonic time, in seconds."""
        if is_reached:
            stats.is_unreachable = False
            stats.counted_since = now
            stats.failed_probes = stats.failures = 0
        else:
            stats.failed_probes += 1

    def is_probing(self, stats: UpstreamStats) -> bool:
        """Return whether an upstream is still listed and has to be probed because it is unreachable."""
        return stats.is_unreachable and self._upstreams.get(stats.endpoint.instance) is stats

    def _eject(self, stats: UpstreamStats, now: float) -> bool:
        ejected = [other for other in self._upstreams.values() if other.ejected_until > now and other is not stats]
        if len(ejected) + 1 > self._policy.max_ejected * len(self._upstreams):
            return False
        duration = min(self._policy.eject_min * 2**stats.ejections, self._policy.eject_max)
        stats.ejected_until = now + duration * self._rng.uniform(0.75, 1.25)
        stats.ejections += 1
        stats.failures = 0
        stats.counted_since = now
        # After its ejection it gets one request at a time until one succeeds.
        stats.is_on_trial = True
        return True


def _select_first_permitted(usable: list[UpstreamStats]) -> UpstreamStats | None:
    """Return the upstream whose advertised rate limit permits a request first."""
    return min(usable, key=lambda stats: stats.send_times.next_at(), default=None)
