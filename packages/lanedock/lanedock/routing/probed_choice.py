# SPDX-License-Identifier: BSD-3-Clause
"""Choice of an upstream by load probes that are sent before a request.

The method follows Prequal (Wydrowski et al., "Load is not what you should balance", NSDI 2024)
and join-shortest-expected-delay: of a few random upstreams, the one that promises the earliest
answer is chosen. Unlike Prequal, a request waits for the replies, as requests are few for each
caller and long compared with a round trip.
"""

import math
from random import Random

from lanedock.routing.load_sample import LoadSample, ProbePlan
from lanedock.routing.policy import BalancerPolicy
from lanedock.routing.power_of_two import PowerOfTwoChoice
from lanedock.routing.upstream_choice import UpstreamChoice
from lanedock.routing.upstream_stats import UpstreamStats
from lanedock.wire import messages

__all__ = ["ProbedChoice"]

# Shortest and longest time limit of the wait for replies, in seconds. The limit is twice the observed
# round trip between these.
MIN_WAIT, MAX_WAIT = 0.005, 0.03
# Bounds of the pace in a reply, as multiples of the usual service time, so that a wrong one neither draws all
# requests to an upstream nor keeps all away. Those that the replying daemon itself applies; see `StatedPace`.
PACE_BOUNDS = (0.2, 5.0)
# Service time assumed where no reply states one, in seconds. It only matters compared with round trips.
_DEFAULT_SERVICE_TIME = 0.05
# Expected time, in seconds, at an upstream that already has a trial request in progress after its ejection.
_TRIAL_TIME = 1000.0
# Waiting requests for each slot from which on an upstream's queue counts as full, and the factor on its
# expected time: most likely it refuses the request, and the next attempt starts with another choice.
_FULL_QUEUE = 2
_FULL_QUEUE_FACTOR = 2.0
# Consecutive unanswered probes from which on a request does not wait for an upstream's reply, and the
# shortest interval between two probes of it, in seconds.
_MAX_AWAITED_MISSES = 2
_SILENT_PROBE_INTERVAL = 0.25
# Weight of the newest round trip in the moving average of its zone, 0 to 1.
_SMOOTHING = 0.1


class ProbedChoice(UpstreamChoice):
    """The upstream with the least expected time to an answer, by the replies to load probes.

    Upstreams from which no reply has come are chosen by the statistics, as often as if upstreams
    were chosen at random.

    Parameters
    ----------
    rng : random.Random
    policy : BalancerPolicy
    statistics : PowerOfTwoChoice
        Used where there are no replies.

    Attributes
    ----------
    compared : list of tuple of (str, float)
        Instances that were compared by their replies for the last choice, with the expected
        times to an answer, in seconds.
    """

    def __init__(self, rng: Random, policy: BalancerPolicy, statistics: PowerOfTwoChoice):
        self._rng = rng
        self._policy = policy
        self._statistics = statistics
        self._round_trips: dict[str, float] = {}
        self.compared: list[tuple[str, float]] = []

    def __repr__(self) -> str:
        return f"<ProbedChoice probes={self._policy.probes}>"

    # ------------------------------------------------------------------ probes

    def plan_probes(self, local: list[UpstreamStats], remote: list[UpstreamStats], now: float) -> ProbePlan:
        """Select the upstreams to probe for a request; parameters as in `choose`."""
        if len(local) + len(remote) < 2:
            return ProbePlan([], [])
        return self._plan_among(local or remote, self._policy.probes, now)

    def plan_zone_probes(
        self,
        local: list[UpstreamStats],
        remote: list[UpstreamStats],
        now: float,
        is_long: bool = False,
        target_time: float | None = None,
    ) -> ProbePlan:
        """Select the upstreams of other zones to probe once the local ones have replied; parameters as in `choose`.

        There are none unless the best local upstream promises an answer too late.
        """
        replied = _list_replied(local, now)
        if not replied or not remote:
            return ProbePlan([], [])
        usual = _mean_service_time(replied)
        best, expected = self._find_earliest(replied, usual, now, is_long)
        if not self._is_late(best, expected, usual, now, is_long, target_time):
            return ProbePlan([], [])
        return self._plan_among(remote, self._policy.remote_probes, now)

    def _is_late(
        self,
        stats: UpstreamStats,
        expected: float,
        usual: float,
        now: float,
        is_long: bool,
        target_time: float | None,
    ) -> bool:
        """Return whether the answer that a local upstream promises is late enough to consider other zones."""
        # A request that is late already is late in any zone.
        if target_time is not None and now < target_time < now + expected:
            return True
        free = usual + self._round_trip(stats)
        return expected > free * (1 + self._policy.long_spill if is_long else self._policy.late_answer)

    def _round_trip(self, stats: UpstreamStats) -> float:
        """Return the observed round trip to the zone of an upstream, in seconds; 0 if none was observed."""
        return self._round_trips.get(stats.endpoint.zone, 0.0)

    def _plan_among(self, upstreams: list[UpstreamStats], probes: int, now: float) -> ProbePlan:
        plan = ProbePlan([], [])
        others, shared = [], 0
        for stats in upstreams:
            sample = stats.sample
            if not stats.endpoint.load_port:
                continue
            if sample is None or not sample.can_serve(now):
                others.append(stats)
            elif shared < probes:
                shared += 1
                sample.uses += 1
                if sample.number is not None:
                    plan.awaited.append(sample.number)
        wanted = [stats for stats in others if _is_worth_probing(stats.sample, now)]
        plan.targets = self._rng.sample(wanted, min(probes - shared, len(wanted)))
        return plan

    def note_probe(self, stats: UpstreamStats, number: int, now: float) -> bool:
        """Record that a probe is sent; return whether its reply is worth waiting for."""
        if stats.sample is None:
            stats.sample = LoadSample()
        stats.sample.note_probe(number, now)
        return stats.sample.misses < _MAX_AWAITED_MISSES

    def note_reply(self, stats: UpstreamStats, reply: messages.LoadReply, round_trip: float, now: float) -> None:
        """Record a reply.

        A reply of another application than the known one at the address is ignored.

        Parameters
        ----------
        stats : UpstreamStats
        reply : LoadReply
        round_trip : float
            Seconds between the probe and its reply.
        now : float
            Monotonic time, in seconds.
        """
        zone = stats.endpoint.zone
        known = self._round_trips.get(zone, round_trip)
        self._round_trips[zone] = known + _SMOOTHING * (round_trip - known)
        if stats.sample is not None and (not stats.endpoint.upstream or reply.upstream == stats.endpoint.upstream):
            stats.sample.note_reply(reply, now)

    def note_missed(self, stats: UpstreamStats) -> None:
        """Record that a probe was not answered in time."""
        if stats.sample is not None:
            stats.sample.misses += 1

    def wait_limit(self, zones: set[str]) -> float:
        """Return the longest time to wait for replies from upstreams of some zones, in seconds."""
        round_trip = max((self._round_trips.get(zone, 0.0) for zone in zones), default=0.0)
        return min(max(MIN_WAIT, 2 * round_trip), MAX_WAIT)

    # ------------------------------------------------------------------ choice

    def choose(
        self,
        local: list[UpstreamStats],
        remote: list[UpstreamStats],
        slots: int,
        now: float,
        is_long: bool = False,
        target_time: float | None = None,
    ) -> UpstreamStats | None:
        self.compared = []
        upstreams, others = (local, remote) if local else (remote, local)
        replied = _list_replied(upstreams, now)
        if not replied:
            chosen = self._statistics.choose(local, remote, slots, now, is_long)
        else:
            usual = _mean_service_time(replied)
            best, expected = self._find_earliest(replied, usual, now, is_long)
            chosen = self._draw_silent(upstreams, best, slots, now)
            if chosen is best and others and self._is_late(best, expected, usual, now, is_long, target_time):
                chosen = self._compare_zones(best, expected, usual, others, slots, now, is_long)
        if chosen is not None and chosen.sample is not None:
            chosen.sample.note_request()
        return chosen

    def _compare_zones(
        self,
        local: UpstreamStats,
        expected: float,
        usual: float,
        remote: list[UpstreamStats],
        slots: int,
        now: float,
        is_long: bool,
    ) -> UpstreamStats:
        """Return the better one of the best local upstream and the best one of other zones."""
        replied = _list_replied(remote, now)
        if not replied:
            other = self._statistics.pick(remote, slots, now)
            return self._statistics.compare_zones(local, other, slots, now, is_long)
        other, time = self._find_earliest(replied, usual, now, is_long)
        policy = self._policy
        margin = (policy.long_zone_penalty if is_long else policy.zone_penalty) * usual
        return other if time + margin < expected else local

    def _draw_silent(
        self, upstreams: list[UpstreamStats], best: UpstreamStats, slots: int, now: float
    ) -> UpstreamStats:
        """Return one of the upstreams that answer no probes with the probability of a random choice, else `best`.

        It is returned only if the statistics show no higher load for it.
        """
        silent = [stats for stats in upstreams if not stats.endpoint.load_port or _is_silent(stats)]
        if silent and self._rng.random() * len(upstreams) < len(silent):
            other = self._statistics.pick(silent, slots, now)
            if self._statistics.score(other, slots, now) <= self._statistics.score(best, slots, now):
                return other
        return best

    def _find_earliest(
        self, replied: list[UpstreamStats], usual: float, now: float, is_long: bool
    ) -> tuple[UpstreamStats, float]:
        """Return the upstream with the least expected time to an answer, and this time in seconds."""
        # An upstream that states no service time hasn't been measured of late. With a longer one than the least that
        # others state, it would get no request that could measure it.
        unmeasured = min(_list_service_times(replied), default=usual)
        times = [self._expect(stats, unmeasured, now, is_long) for stats in replied]
        self.compared += [(stats.endpoint.instance, time) for stats, time in zip(replied, times, strict=True)]
        least = min(times)
        # Idle upstreams often promise the same time; the first one listed must not get all requests.
        earliest = [stats for stats, time in zip(replied, times, strict=True) if time == least]
        return (earliest[0] if len(earliest) == 1 else self._rng.choice(earliest)), least

    def _expect(self, stats: UpstreamStats, unmeasured: float, now: float, is_long: bool) -> float:
        """Return the expected time to an answer of an upstream that has replied, in seconds.

        `unmeasured` is the service time assumed where the reply states none, in seconds.
        """
        if stats.is_on_trial and stats.in_progress:
            return _TRIAL_TIME
        reply = stats.sample.reply
        queue = _estimate_queue(reply.in_use + reply.waiting + stats.sample.sent, max(1, reply.slots))
        pace = min(max(reply.pace_percent / 100, PACE_BOUNDS[0]), PACE_BOUNDS[1]) if reply.pace_percent else 1.0
        service_time = reply.service_ms / 1000 or unmeasured
        expected = (queue + 1) * service_time * pace
        if reply.waiting + stats.sample.sent >= _FULL_QUEUE * reply.slots:
            expected *= _FULL_QUEUE_FACTOR
        if stats.cold_since is not None:
            warmth = (now - stats.cold_since) / stats.cold_duration
            expected /= min(1.0, max(self._policy.cold_weight, warmth))
        if is_long:
            expected += reply.link_wait_ms / 1000
        return expected + self._round_trip(stats)


def _estimate_queue(ahead: int, slots: int) -> float:
    """Return the time until a request gets a slot, as a multiple of the service time.

    With all slots in use it is the requests ahead for each slot. Below, it follows the approximation
    of waiting times in a queue with several servers by Sakasegawa (1977): requests on the way there
    and those of other callers may take the free slots first, but with several slots this is rare.
    Without this, a slow upstream with few requests would be taken before a fast one with some more.
    """
    usage = ahead / slots
    return usage ** (math.sqrt(2 * (slots + 1)) - 1) if usage < 1 else usage


def _list_replied(upstreams: list[UpstreamStats], now: float) -> list[UpstreamStats]:
    """Return the upstreams whose replies may be used."""
    return [stats for stats in upstreams if stats.sample is not None and stats.sample.is_usable(now)]


def _mean_service_time(replied: list[UpstreamStats]) -> float:
    """Return the mean of the service times in replies, in seconds, at the usual pace."""
    known = _list_service_times(replied)
    return sum(known) / len(known) if known else _DEFAULT_SERVICE_TIME


def _list_service_times(replied: list[UpstreamStats]) -> list[float]:
    """Return the service times that replies state, in seconds, at the usual pace."""
    return [stats.sample.reply.service_ms / 1000 for stats in replied if stats.sample.reply.service_ms]


def _is_worth_probing(sample: LoadSample | None, now: float) -> bool:
    """Return whether to probe an upstream now: one that does not answer is probed seldom."""
    if sample is None or sample.misses < _MAX_AWAITED_MISSES:
        return True
    return now - sample.probed_at >= _SILENT_PROBE_INTERVAL


def _is_silent(stats: UpstreamStats) -> bool:
    """Return whether an upstream has not answered its last probe in time."""
    return stats.sample is not None and stats.sample.misses > 0
