# SPDX-License-Identifier: BSD-3-Clause
"""The choice of an upstream instance for a request.

The better of two random candidates, by requests in progress (Mitzenmacher,
"The Power of Two Choices in Randomized Load Balancing", 2001). What counts is
what this caller sees itself: its own requests in progress and their outcomes,
and the count that an upstream's daemon puts on each answer, which fades with
age: one that was not heard of for long is worth a try. An upstream's own load
report, which may lag or mislead, is not used.
"""

import math
from random import Random

from lanedock.canary import Pool
from lanedock.routing.answer_times import SMOOTHING, AnswerTimes
from lanedock.routing.policy import BalancerPolicy
from lanedock.routing.takers import Takers
from lanedock.routing.upstream_stats import UpstreamStats, is_same_application, is_started_anew
from lanedock.wire import messages

__all__ = ["Balancer"]

# Score of an upstream that has a trial request in progress already.
_ON_TRIAL_SCORE = 1e6
# Requests by which an upstream that keeps silent is taken to be more loaded.
_SILENCE_LOAD = 4
# Power of the slowness by which an upstream's load is scaled: by more than 1 the quick get
# work while they have slots.
_SLOWNESS_POWER = 2
# Seconds without a request after which a known slowness is forgotten, and the upstream is due
# for a request: else nobody would learn that it is as quick as the others again.
_SLOWNESS_KEPT = 10.0
# Requests by which an upstream is preferred of which nothing is known: enough to be the first
# choice among idle ones, and no reason to add to others' load.
_UNKNOWN_BONUS = 1.0
# Part of the slots in use from which more load counts steeply, and how steeply:
# beyond it an upstream queues, or slows down.
_NEARLY_FULL = 0.85
_FULL_SLOPE = 8.0
# A local upstream this much slower than the remote one is no reason to stay.
_MUCH_SLOWER = 1.6
# How much emptier, in requests, a much quicker remote upstream has to be.
_QUICK_MARGIN = 1.0


class Balancer:
    """The upstreams of one service, as one caller sees them.

    Parameters
    ----------
    zone : str
        The caller's own.
    rng : random.Random
    policy : BalancerPolicy
    """

    def __init__(self, zone: str, rng: Random, policy: BalancerPolicy):
        self._zone = zone
        self._rng = rng
        self._policy = policy
        self._upstreams: dict[str, UpstreamStats] = {}
        self._takers = {pool: Takers([], zone) for pool in (Pool.STABLE, Pool.CANARY)}
        self._times = AnswerTimes()
        self._turns_until = float("-inf")

    def __repr__(self) -> str:
        stable = self._takers[Pool.STABLE]
        return f"<Balancer {self._zone} local={len(stable.local)} remote={len(stable.remote)}>"

    def __len__(self) -> int:
        return len(self._upstreams)

    def set_endpoints(
        self, endpoints: list[messages.Endpoint], now: float, pools: dict[str, Pool] | None = None
    ) -> None:
        """Replace the list of upstreams; what is known of those that stay is kept.

        Parameters
        ----------
        endpoints : list of Endpoint
        now : float
            Monotonic, seconds.
        pools : dict of str to Pool, optional
            By instance; those that are left out are stable.
        """
        pools = pools or {}
        is_first = not self._upstreams
        kept = {}
        for endpoint in endpoints:
            known = self._upstreams.get(endpoint.instance)
            if known is None or is_started_anew(known.endpoint, endpoint):
                known = self._make_stats(endpoint, known, is_first, now)
            known.endpoint = endpoint
            known.pool = pools.get(endpoint.instance, Pool.STABLE)
            kept[endpoint.instance] = known
        self._upstreams = kept
        takes = [stats for stats in kept.values() if not (stats.endpoint.leaving or stats.has_left)]
        for pool in self._takers:
            self._takers[pool] = Takers([stats for stats in takes if stats.pool is pool], self._zone)

    def _make_stats(
        self, endpoint: messages.Endpoint, former: UpstreamStats | None, is_first: bool, now: float
    ) -> UpstreamStats:
        """Begin to keep what is known of an upstream that is new, or whose daemon is."""
        if is_first or (former is not None and is_same_application(former.endpoint, endpoint)):
            # Who was there before this caller is taken to be warm, and so is an
            # application that runs on while its daemon is restarted.
            cold_for = 0.0
        elif endpoint.upstream:
            # Its application reports for how long it is still slow.
            cold_for = endpoint.cold_ms / 1000
        else:
            cold_for = self._policy.slow_start
        stats = UpstreamStats(endpoint, now if cold_for else None, cold_for)
        if former is not None:
            stats.slowness = former.slowness
            stats.ended_at = former.ended_at
            stats.has_left = former.has_left and is_same_application(former.endpoint, endpoint)
        return stats

    def hedge_delay(self, kind: str) -> float:
        """Return the time after which an answer is later than nearly all of its kind, in seconds."""
        return self._times.hedge_delay(kind)

    def body_late_after(self, kind: str) -> float:
        """Return the time from an answer's head to its last byte that hardly one of its kind exceeds, in seconds."""
        return self._times.body_late_after(kind)

    def note_leaving(self, stats: UpstreamStats, is_application: bool = False) -> None:
        """Give an upstream no new work; its daemon has reported that it leaves.

        Parameters
        ----------
        stats : UpstreamStats
            As it was when the request was sent that was answered so.
        is_application : bool
            Whether it is the application that leaves: its start gets nothing any more,
            whatever is heard of it later.
        """
        current = self._upstreams.get(stats.endpoint.instance)
        if current is None:
            return
        is_same = current is stats or is_same_application(stats.endpoint, current.endpoint)
        if is_application and not is_same:
            return
        current.has_left = current.has_left or is_application
        for takers in self._takers.values():
            takers.remove(current)

    # ------------------------------------------------------------------ choice

    def choose(
        self,
        slots: int,
        now: float,
        excluded: frozenset = frozenset(),
        is_long: bool = False,
        pool: Pool = Pool.STABLE,
        may_wait: bool = True,
    ) -> UpstreamStats | None:
        """Choose an upstream; the caller then calls `begin`.

        Parameters
        ----------
        slots : int
            Requests that an upstream works on at once that reports no number itself.
        now : float
            Monotonic, seconds.
        excluded : frozenset of str
            Instances that were tried already.
        is_long : bool
            Whether the request has a long body.
        pool : Pool
            Whose upstreams may get it.
        may_wait : bool
            Whether one may be chosen that isn't due a request by the rate that it advertises,
            where all others aren't, either: its daemon knows whether it can wait there.

        Returns
        -------
        UpstreamStats or None
            None where no upstream takes work.
        """
        takers = self._takers[pool]
        usable = self._usable(takers.local, excluded, now), self._usable(takers.remote, excluded, now)
        local, remote = (self._pick(self._due(part, now), slots, now) for part in usable)
        if remote is None or local is None:
            return local or remote or (_next_in_turn([*usable[0], *usable[1]]) if may_wait else None)
        local_score = self._score(local, slots, now)
        policy = self._policy
        spill, penalty = policy.spill, policy.zone_penalty
        if is_long:
            spill, penalty = policy.long_spill, policy.long_zone_penalty
        slots = local.endpoint.slots or slots
        margin = penalty * slots
        if not is_long and local.slowness > _MUCH_SLOWER * remote.slowness:
            margin = min(margin, _QUICK_MARGIN)
        elif local_score < spill * slots:
            return local
        if self._score(remote, slots, now) + margin < local_score:
            return remote
        return local

    def _usable(self, pool: list[UpstreamStats], excluded: frozenset, now: float) -> list[UpstreamStats]:
        usable = [
            stats
            for stats in pool
            if stats.ejected_until <= now and not stats.is_unreachable and stats.endpoint.instance not in excluded
        ]
        if usable or excluded:
            return usable
        # All are ejected: a wrong guess is better than an empty service. Only
        # what a probe has confirmed to be unreachable is no guess any more.
        return [stats for stats in pool if not stats.failed_probes]

    def _due(self, usable: list[UpstreamStats], now: float) -> list[UpstreamStats]:
        """Return those that are due a request by the rates that they advertise, if any does."""
        if now >= self._turns_until:
            return usable
        return [stats for stats in usable if stats.turns.is_open(now)]

    def _pick(self, usable: list[UpstreamStats], slots: int, now: float) -> UpstreamStats | None:
        if not usable:
            return None
        if len(usable) == 1:
            return usable[0]
        first, second = self._rng.sample(usable, 2)
        return first if self._score(first, slots, now) <= self._score(second, slots, now) else second

    def _score(self, stats: UpstreamStats, slots: int, now: float) -> float:
        """Estimate the requests in progress, scaled up while it is cold and where it is slow."""
        if stats.is_on_trial and stats.in_progress:
            return _ON_TRIAL_SCORE
        load = stats.in_progress + self._others(stats, now)
        if stats.is_unknown(now, _SLOWNESS_KEPT):
            stats.slowness = 1.0
            if stats.cold_since is None:
                return load - _UNKNOWN_BONUS
        if stats.in_progress and stats.silence(now) > self._times.silence_limit(now):
            load += _SILENCE_LOAD + stats.in_progress
        over = load / (stats.endpoint.slots or slots) - _NEARLY_FULL
        if over > 0:
            load *= 1 + _FULL_SLOPE * over
        if stats.slowness != 1.0:
            load = (load + 1) * stats.slowness**_SLOWNESS_POWER - 1
        if stats.cold_since is None:
            return load
        warm = (now - stats.cold_since) / stats.cold_for
        if warm >= 1:
            stats.cold_since = None
            return load
        return (load + 1) / max(self._policy.cold_weight, warm) - 1

    def _others(self, stats: UpstreamStats, now: float) -> float:
        """Estimate the requests that other callers have in progress there."""
        if stats.reported_at is None:
            return 0.0
        return stats.others * math.exp((stats.reported_at - now) / self._policy.load_age)

    # ---------------------------------------------------------------- outcomes

    def begin(self, stats: UpstreamStats, now: float | None = None) -> None:
        """Note that a request is sent to an upstream."""
        if now is not None and not stats.in_progress:
            stats.busy_since = now
        stats.in_progress += 1
        if now is not None:
            stats.turns.take(now)

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
        """Note a request's end.

        Parameters
        ----------
        stats : UpstreamStats
        failed : bool
            Whether the upstream was at fault.
        now : float
        reported : int, optional
            Requests in progress that its daemon put on the answer, this one included.
        taken : float, optional
            Seconds until the answer; left out where the upstream has not answered.
        unreachable : bool
            Whether no connection could be made: it gets no work until a probe
            has reached it. However many are unreachable, none of them is a choice.
        kind : str
            Of the request, such as its route's name: times are compared within one.
        body_taken : float, optional
            Seconds from the answer's head until its last byte was passed on; left out
            where it has not come to its end. Kept apart: an upstream isn't slow, nor an
            answer late, because its body is long or its caller reads slowly.

        Returns
        -------
        bool
            Whether the upstream was ejected for it.
        """
        if reported is not None:
            stats.others = max(0, reported - stats.in_progress)
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

    def note_turn(self, stats: UpstreamStats, wait: float, now: float) -> None:
        """Note when an upstream is due a request by the rate that it advertises; see `Turns.note`."""
        stats.turns.note(wait, now)
        self._turns_until = max(self._turns_until, stats.turns.limited_until)

    def note_probe(self, stats: UpstreamStats, is_reached: bool) -> None:
        """Note whether a connection to an unreachable upstream could be made."""
        if is_reached:
            stats.is_unreachable = False
            stats.failed_probes = stats.failures = 0
        else:
            stats.failed_probes += 1

    def is_probing(self, stats: UpstreamStats) -> bool:
        """Tell whether an upstream is still listed, and unreachable as far as is known."""
        return stats.is_unreachable and self._upstreams.get(stats.endpoint.instance) is stats

    def _eject(self, stats: UpstreamStats, now: float) -> bool:
        out = [other for other in self._upstreams.values() if other.ejected_until > now and other is not stats]
        if len(out) + 1 > self._policy.max_ejected * len(self._upstreams):
            return False
        duration = min(self._policy.eject_min * 2**stats.ejections, self._policy.eject_max)
        stats.ejected_until = now + duration * self._rng.uniform(0.75, 1.25)
        stats.ejections += 1
        stats.failures = 0
        # It is readmitted with one request at a time until one succeeds.
        stats.is_on_trial = True
        return True


def _next_in_turn(usable: list[UpstreamStats]) -> UpstreamStats | None:
    """Return the one that is due a request first, by the rates that they advertise."""
    return min(usable, key=lambda stats: stats.turns.next_at(), default=None)
