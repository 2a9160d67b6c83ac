# SPDX-License-Identifier: BSD-3-Clause
"""Choice of an upstream by load probes that are sent before a request.

The method follows Prequal (Wydrowski et al., "Load is not what you should balance", NSDI 2024)
and join-shortest-expected-delay: of a few random upstreams, the one that promises the earliest
answer is chosen. Unlike Prequal, a request waits for the replies, as requests are few for each
caller and long compared with a round trip.
"""

from random import Random

from lanedock.routing.load_sample import LoadSample, ProbePlan
from lanedock.routing.policy import BalancerPolicy
from lanedock.routing.power_of_two import PowerOfTwoChoice
from lanedock.routing.upstream_choice import UpstreamChoice
from lanedock.routing.upstream_stats import UpstreamStats
from lanedock.wire import messages

__all__ = ["ProbedChoice"]

# Upstreams that are probed for a request.
PROBES = 3
# Shortest and longest time limit of the wait for replies, in seconds. The limit is twice the observed
# round trip between these.
MIN_WAIT, MAX_WAIT = 0.005, 0.03
# Bounds of a stated pace, as multiples of the usual service time, so that a wrong one neither draws all
# requests to an upstream nor keeps all away.
PACE_BOUNDS = (0.2, 5.0)
# Service time assumed where no reply states one, in seconds. It only matters compared with round trips.
_DEFAULT_SERVICE_TIME = 0.05
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
    probes : int
        Upstreams that are probed for a request.

    Attributes
    ----------
    compared : list of tuple of (str, float)
        Instances that were compared by their replies for the last choice, with the expected
        times to an answer, in seconds.
    """

    def __init__(self, rng: Random, policy: BalancerPolicy, statistics: PowerOfTwoChoice, probes: int = PROBES):
        self._rng = rng
        self._policy = policy
        self._statistics = statistics
        self._probes = probes
        self._round_trips: dict[str, float] = {}
        self.compared: list[tuple[str, float]] = []

    def __repr__(self) -> str:
        return f"<ProbedChoice probes={self._probes}>"

    # ------------------------------------------------------------------ probes

    def plan_probes(self, local: list[UpstreamStats], remote: list[UpstreamStats], now: float) -> ProbePlan:
        """Select the upstreams to probe for a request; parameters as in `choose`."""
        if len(local) + len(remote) < 2:
            return ProbePlan([], [])
        return self._plan_among(local or remote, now)

    def _plan_among(self, upstreams: list[UpstreamStats], now: float) -> ProbePlan:
        plan = ProbePlan([], [])
        others, shared = [], 0
        for stats in upstreams:
            sample = stats.sample
            if not stats.endpoint.load_port:
                continue
            if sample is None or not sample.can_serve(now):
                others.append(stats)
            elif shared < self._probes:
                shared += 1
                sample.uses += 1
                if sample.number is not None:
                    plan.awaited.append(sample.number)
        wanted = [stats for stats in others if _is_worth_probing(stats.sample, now)]
        plan.targets = self._rng.sample(wanted, min(self._probes - shared, len(wanted)))
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
        best = self._choose_replied(local or remote, slots, now, is_long)
        if best is None:
            return self._statistics.choose(local, remote, slots, now, is_long)
        other = self._statistics.pick(remote, slots, now) if local else None
        if other is not None:
            best = self._statistics.compare_zones(best, other, slots, now, is_long)
        if best.sample is not None:
            best.sample.note_request()
        return best

    def _choose_replied(
        self, upstreams: list[UpstreamStats], slots: int, now: float, is_long: bool
    ) -> UpstreamStats | None:
        """Return the best of the upstreams that have replied; None if none has.

        It is one of the others with the probability of a random choice, if the statistics show no
        higher load for it.
        """
        replied = [stats for stats in upstreams if stats.sample is not None and stats.sample.is_usable(now)]
        if not replied:
            return None
        best = self._find_earliest(replied, now, is_long)
        silent = [stats for stats in upstreams if not stats.endpoint.load_port or _is_silent(stats)]
        if silent and self._rng.random() * len(upstreams) < len(silent):
            other = self._statistics.pick(silent, slots, now)
            if self._statistics.score(other, slots, now) <= self._statistics.score(best, slots, now):
                return other
        return best

    def _find_earliest(self, replied: list[UpstreamStats], now: float, is_long: bool) -> UpstreamStats:
        """Return the upstream with the least expected time to an answer."""
        known = [stats.sample.reply.service_ms for stats in replied if stats.sample.reply.service_ms]
        usual = sum(known) / len(known) / 1000 if known else _DEFAULT_SERVICE_TIME
        times = [self._expect(stats, usual, now, is_long) for stats in replied]
        self.compared += [(stats.endpoint.instance, time) for stats, time in zip(replied, times, strict=True)]
        return replied[times.index(min(times))]

    def _expect(self, stats: UpstreamStats, usual: float, now: float, is_long: bool) -> float:
        """Return the expected time to an answer of an upstream that has replied, in seconds.

        `usual` is the service time assumed where the reply states none.
        """
        if stats.is_on_trial and stats.in_progress:
            return float("inf")
        reply = stats.sample.reply
        ahead = reply.in_use + reply.waiting + stats.sample.sent
        pace = min(max(reply.pace_percent / 100, PACE_BOUNDS[0]), PACE_BOUNDS[1]) if reply.pace_percent else 1.0
        service_time = reply.service_ms / 1000 or usual
        expected = (ahead / max(1, reply.slots) + 1) * service_time * pace
        if stats.cold_since is not None:
            warmth = (now - stats.cold_since) / stats.cold_duration
            expected /= min(1.0, max(self._policy.cold_weight, warmth))
        if is_long:
            expected += reply.link_wait_ms / 1000
        return expected + self._round_trips.get(stats.endpoint.zone, 0.0)


def _is_worth_probing(sample: LoadSample | None, now: float) -> bool:
    """Return whether to probe an upstream now: one that does not answer is probed seldom."""
    if sample is None or sample.misses < _MAX_AWAITED_MISSES:
        return True
    return now - sample.probed_at >= _SILENT_PROBE_INTERVAL


def _is_silent(stats: UpstreamStats) -> bool:
    """Return whether an upstream has not answered its last probe in time."""
    return stats.sample is not None and stats.sample.misses > 0
