# SPDX-License-Identifier: BSD-3-Clause
"""Choice of an upstream by the caller's own statistics.

Of two random candidates the one with the lower load score is chosen (Mitzenmacher,
"The Power of Two Choices in Randomized Load Balancing", 2001). The score uses only what
this caller observes: its own requests in progress, their outcomes, and the count of
requests in progress that an upstream's daemon puts on each answer. That count decays with
age, so an upstream that has not answered for long becomes worth a try.
"""

import math
from random import Random

from lanedock.routing.answer_times import AnswerTimes
from lanedock.routing.policy import BalancerPolicy
from lanedock.routing.upstream_choice import UpstreamChoice
from lanedock.routing.upstream_stats import UpstreamStats

__all__ = ["PowerOfTwoChoice"]

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


class PowerOfTwoChoice(UpstreamChoice):
    """The less loaded one of two random upstreams of the caller's zone, or of other zones if the local one is full.

    Parameters
    ----------
    rng : random.Random
    policy : BalancerPolicy
    times : AnswerTimes
        Answer times of the service; tell when an upstream counts as silent.
    """

    def __init__(self, rng: Random, policy: BalancerPolicy, times: AnswerTimes):
        self._rng = rng
        self._policy = policy
        self._times = times

    def __repr__(self) -> str:
        return f"<PowerOfTwoChoice {self._policy!r}>"

    def choose(
        self,
        local: list[UpstreamStats],
        remote: list[UpstreamStats],
        slots: int,
        now: float,
        is_long: bool = False,
        target_time: float | None = None,
    ) -> UpstreamStats | None:
        best_local = self.pick(local, slots, now)
        best_remote = self.pick(remote, slots, now)
        if best_local is None or best_remote is None:
            return best_local or best_remote
        return self.compare_zones(best_local, best_remote, slots, now, is_long)

    def compare_zones(
        self, local: UpstreamStats, remote: UpstreamStats, slots: int, now: float, is_long: bool
    ) -> UpstreamStats:
        """Return the better one of a local and a remote upstream; the local one unless it is much worse."""
        local_score = self.score(local, slots, now)
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
        if self.score(remote, slots, now) + margin < local_score:
            return remote
        return local

    def pick(self, usable: list[UpstreamStats], slots: int, now: float) -> UpstreamStats | None:
        """Return the less loaded one of two random upstreams; None if there are none."""
        if not usable:
            return None
        if len(usable) == 1:
            return usable[0]
        first, second = self._rng.sample(usable, 2)
        return first if self.score(first, slots, now) <= self.score(second, slots, now) else second

    def score(self, stats: UpstreamStats, slots: int, now: float) -> float:
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
