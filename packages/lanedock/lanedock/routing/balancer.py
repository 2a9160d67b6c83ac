# SPDX-License-Identifier: BSD-3-Clause
"""Load balancing: the choice of an upstream instance for a request.

Of two random candidates the one with the lower load score is chosen (Mitzenmacher,
"The Power of Two Choices in Randomized Load Balancing", 2001). The score uses only what
this caller observes: its own requests in progress, their outcomes, and the count of
requests in progress that an upstream's daemon puts on each answer. That count decays with
age, so an upstream that has not answered for long becomes worth a try. An upstream's own
load report is not used, because it may lag or mislead.
"""

import math
from random import Random

from lanedock.averages import MeansByKind
from lanedock.canary import Pool
from lanedock.routing.answer_times import SMOOTHING, AnswerTimes
from lanedock.routing.available_upstreams import AvailableUpstreams
from lanedock.routing.policy import BalancerPolicy
from lanedock.routing.upstream_stats import UpstreamStats, is_same_application, was_restarted
from lanedock.wire import messages

__all__ = ["Balancer"]

# Score of an upstream that already has a trial request in progress after its ejection.
_TRIAL_IN_PROGRESS_SCORE = 1e6
# Load, in requests, that is added to an upstream that does not answer.
_SILENCE_LOAD = 4
# Exponent of the slowness factor that scales an upstream's load. Above 1, fast upstreams are
# preferred while they have free slots.
_SLOWNESS_POWER = 2
# Seconds without a request after which a measured slowness expires and the upstream is
# preferred. Otherwise a recovered upstream would get no request and never be measured again.
_SLOWNESS_EXPIRY = 10.0
# Requests subtracted from the load of an upstream without recent measurements: enough to be
# preferred among idle upstreams, too little to be preferred while other callers load it.
_UNMEASURED_BONUS = 1.0
# Utilization (load per slot) above which the score rises steeply, and the slope of that rise:
# beyond it an upstream queues requests or slows down.
_HIGH_UTILIZATION = 0.85
_FULL_SLOPE = 8.0
# Ratio of the local upstream's slowness to the remote one's above which the remote one is
# considered regardless of the local load.
_MUCH_SLOWER = 1.6
# Requests by which the load of a much faster remote upstream has to be lower to be chosen.
_FASTER_REMOTE_MARGIN = 1.0
# Mean length of a kind's answers, in bytes, above which they count as long.
_LONG_ANSWER_BYTES = 16 * 1024
# Weight of the newest length in its mean.
_LENGTH_SMOOTHING = 0.05
# Wait for an upstream's link, in seconds, that counts as one request in progress, and that a request
# for a long answer is assumed to add until the upstream states its wait again: an answer of 64 kB
# on a link of 5 Mbit/s.
_LINK_TIME_PER_ANSWER = 0.1
# Fraction of the time left to a request's target that its answer may wait for the link; the rest is
# for the work and for sending the answer itself.
_LINK_WAIT_FRACTION = 0.5


class Balancer:
    """Load balancer of one caller among the upstreams of one service.

    Parameters
    ----------
    zone : str
        Availability zone of the caller.
    rng : random.Random
    policy : BalancerPolicy
    """

    def __init__(self, zone: str, rng: Random, policy: BalancerPolicy):
        self._zone = zone
        self._rng = rng
        self._policy = policy
        self._upstreams: dict[str, UpstreamStats] = {}
        self._available = {pool: AvailableUpstreams([], zone) for pool in (Pool.STABLE, Pool.CANARY)}
        self._times = AnswerTimes()
        self._answer_lengths = MeansByKind(_LENGTH_SMOOTHING)
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
        accepting = [
            stats for stats in upstreams.values() if not (stats.endpoint.leaving or stats.is_application_leaving)
        ]
        for pool in self._available:
            self._available[pool] = AvailableUpstreams([stats for stats in accepting if stats.pool is pool], self._zone)

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
        time_left: float | None = None,
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
        time_left : float, optional
            For a request with a long answer: seconds until its target time. Upstreams on narrow
            links are then compared by the waits for their links, too.

        Returns
        -------
        UpstreamStats or None
            None if no upstream is available.
        """
        available = self._available[pool]
        usable = (
            self._select_usable(available.local, excluded, now),
            self._select_usable(available.remote, excluded, now),
        )
        local, remote = (
            self._pick_less_loaded(self._select_permitted(upstreams, now), slots, now, time_left is not None)
            for upstreams in usable
        )
        if remote is None or local is None:
            return local or remote or (_select_first_permitted([*usable[0], *usable[1]]) if may_wait else None)
        if time_left is not None:
            other = self._find_link_with_room(local, remote, usable[0], now, time_left)
            if other is not None:
                return other
        local_score = self._score(local, slots, now)
        policy = self._policy
        spill, penalty = policy.spill, policy.zone_penalty
        if is_long:
            spill, penalty = policy.long_spill, policy.long_zone_penalty
        slots = local.endpoint.slots or slots
        margin = penalty * slots
        if not is_long and local.slowness > _MUCH_SLOWER * remote.slowness:
            margin = min(margin, _FASTER_REMOTE_MARGIN)
        elif local_score < spill * slots:
            return local
        if self._score(remote, slots, now) + margin < local_score:
            return remote
        return local

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

    def _find_link_with_room(
        self, local: UpstreamStats, remote: UpstreamStats, local_ones: list[UpstreamStats], now: float, time_left: float
    ) -> UpstreamStats | None:
        """Return the upstream for a long answer that has no room in time on the link of the local upstream.

        Returns None if the local upstream's link has room, or if no other link is occupied for less time.
        """
        longest_wait = _LINK_WAIT_FRACTION * max(0.0, time_left)
        if local.link_wait(now) <= longest_wait:
            return None
        permitted = self._select_permitted(local_ones, now)
        best = min(permitted, key=lambda stats: stats.link_wait(now))
        if best.link_wait(now) <= longest_wait or best.link_wait(now) <= remote.link_wait(now):
            return best
        return remote

    def _pick_less_loaded(
        self, usable: list[UpstreamStats], slots: int, now: float, has_long_answer: bool = False
    ) -> UpstreamStats | None:
        if not usable:
            return None
        if len(usable) == 1:
            return usable[0]
        first, second = self._rng.sample(usable, 2)
        first_score, second_score = self._score(first, slots, now), self._score(second, slots, now)
        if has_long_answer:
            first_score += first.link_wait(now) / _LINK_TIME_PER_ANSWER
            second_score += second.link_wait(now) / _LINK_TIME_PER_ANSWER
        return first if first_score <= second_score else second

    def _score(self, stats: UpstreamStats, slots: int, now: float) -> float:
        """Return an upstream's load score: its estimated requests in progress, scaled up if it is cold or slow."""
        if stats.is_on_trial and stats.in_progress:
            return _TRIAL_IN_PROGRESS_SCORE
        load = stats.in_progress + self._estimate_others(stats, now)
        if stats.is_unmeasured(now, _SLOWNESS_EXPIRY):
            stats.slowness = 1.0
            if stats.cold_since is None:
                return load - _UNMEASURED_BONUS
        if stats.in_progress and stats.silence(now) > self._times.silence_limit(now):
            load += _SILENCE_LOAD + stats.in_progress
        excess = load / (stats.endpoint.slots or slots) - _HIGH_UTILIZATION
        if excess > 0:
            load *= 1 + _FULL_SLOPE * excess
        if stats.slowness != 1.0:
            load = (load + 1) * stats.slowness**_SLOWNESS_POWER - 1
        if stats.cold_since is None:
            return load
        warmth = (now - stats.cold_since) / stats.cold_duration
        if warmth >= 1:
            stats.cold_since = None
            return load
        return (load + 1) / max(self._policy.cold_weight, warmth) - 1

    def _estimate_others(self, stats: UpstreamStats, now: float) -> float:
        """Estimate the requests of other callers that an upstream has in progress."""
        if stats.reported_at is None:
            return 0.0
        return stats.other_requests * math.exp((stats.reported_at - now) / self._policy.load_age)

    # ---------------------------------------------------------------- outcomes

    def begin(self, stats: UpstreamStats, now: float | None = None, has_long_answer: bool = False) -> None:
        """Record that a request is sent to an upstream."""
        if has_long_answer and now is not None and stats.link_free_at is not None:
            stats.link_free_at = max(now, stats.link_free_at) + _LINK_TIME_PER_ANSWER
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

    def note_link_wait(self, stats: UpstreamStats, wait: float, now: float) -> None:
        """Record for how many seconds long answers occupy an upstream's link, as its daemon states."""
        stats.link_free_at = now + wait

    def note_answer_length(self, kind: str, length: int, stats: UpstreamStats) -> None:
        """Record the length of an answer, in bytes; only answers over narrow links count."""
        if stats.has_narrow_link:
            self._answer_lengths.note(kind, length)

    def has_long_answers(self, kind: str) -> bool:
        """Return whether the answers observed of a kind of request are long."""
        return (self._answer_lengths.get(kind) or 0.0) > _LONG_ANSWER_BYTES

    def add_send_time(self, stats: UpstreamStats, wait: float, now: float) -> None:
        """Record when an upstream's advertised rate limit permits the next request; see `SendTimes.note`."""
        stats.send_times.note(wait, now)
        self._rate_limited_until = max(self._rate_limited_until, stats.send_times.limited_until)

    def note_probe(self, stats: UpstreamStats, is_reached: bool) -> None:
        """Record whether a probe could connect to an unreachable upstream."""
        if is_reached:
            stats.is_unreachable = False
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
        # After its ejection it gets one request at a time until one succeeds.
        stats.is_on_trial = True
        return True


def _select_first_permitted(usable: list[UpstreamStats]) -> UpstreamStats | None:
    """Return the upstream whose advertised rate limit permits a request first."""
    return min(usable, key=lambda stats: stats.send_times.next_at(), default=None)
