# SPDX-License-Identifier: BSD-3-Clause
"""Whether a canary is worse than the stable version, by what both do at the same time.

Notes
-----
A sequence of answers is judged by cumulative sums of log-likelihood ratios, which are reset
whenever they fall to 0, so that a version that turns bad late is found as quickly as one that
is bad from its start.

References
----------
Wald, A., "Sequential Tests of Statistical Hypotheses", 1945.
Page, E. S., "Continuous Inspection Schemes", Biometrika 41, 1954.
"""

from abc import ABC, abstractmethod
from math import ceil, log, sqrt

from lanedock.canary.counts import BUCKETS, time_bucket
from lanedock.canary.evidence import Increment

__all__ = ["Analysis", "CusumAnalysis"]

# Log-likelihood ratio from which a version counts as bad: one in a thousand by chance; and
# for slow answers, which uneven upstreams explain, too, less than one in ten thousand.
ALARM = log(1000)
SLOW_ALARM = log(20_000)
# Part of it that upstreams other than the worst one have to bring: one bad upstream is no
# bad version.
OTHERS_PART = 0.3
# Share of failures (or of slow answers) above the stable version's that is still good, and
# the further part of all answers from which a version is bad.
TOLERANCE = 0.02
EXCESS = 0.15
# Time in which what is known of the stable version fades to 1/e, in seconds.
BASELINE_MEMORY = 1.0
# Part of the stable upstreams, the slowest ones, that say nothing of their version's times, and how
# many there have to be for that; and answers below which one is forgotten.
SLOWEST_PART = 0.1
MIN_SOURCES = 5
FADED = 0.01
# Answers of the stable version that give its times a meaning.
MIN_BASELINE = 20
# Part of the stable version's answers that take longer than what counts as slow; and how many
# buckets (each 1.4 times the one before) a slow answer lies above that.
SLOW_PART = 0.1
SLOW_BUCKETS = 1
# Least time that counts as slow, in seconds: shorter ones differ by when processes are run.
SLOW_MIN = 0.05
# Seconds without an answer of the stable version after which nothing shows what the load of
# the moment does to it, and the further part of answers that makes a version bad then.
BASELINE_LIFE = 1.0
EXCESS_ALONE = 0.35
# Seconds after the canary's first answer in which times don't count: its upstreams are cold.
WARM_UP = 3.0
# Answers that are assumed before any has come, at a failure in fifty.
PRIOR = 10.0
PRIOR_SHARE = 0.02


class Analysis(ABC):
    """Judges one canary. Pure: the clock is passed in."""

    @abstractmethod
    def note(self, increments: list[Increment], now: float) -> None:
        """Accept new counts.

        Parameters
        ----------
        increments : list of Increment
        now : float
            Monotonic, seconds.
        """

    @abstractmethod
    def finding(self) -> str:
        """Return what shows that the version is bad, for operators; empty where nothing does."""


class _Counts:
    """What one stable upstream does on one route."""

    __slots__ = ("answered", "failed", "times")

    def __init__(self):
        self.answered = 0.0
        self.failed = 0.0
        self.times = [0.0] * BUCKETS

    def fade(self, factor: float) -> None:
        self.answered *= factor
        self.failed *= factor
        self.times = [count * factor for count in self.times]

    def add(self, increment: Increment) -> None:
        self.answered += increment.answered
        self.failed += increment.failed
        for bucket, count in enumerate(increment.times):
            self.times[bucket] += count

    def slowness(self) -> float:
        """Return the mean bucket of its times."""
        total = sum(self.times)
        return sum(bucket * count for bucket, count in enumerate(self.times)) / total if total else 0.0


class _Baseline:
    """What the stable version does on one route.

    The slowest upstreams say nothing of its times: beside one that is slow for a reason of its
    own a version that is as slow would not stand out.
    """

    __slots__ = ("_sources", "added_at")

    def __init__(self):
        self.added_at = 0.0
        self._sources: dict[str, _Counts] = {}

    def fade(self, factor: float) -> None:
        for name, counts in list(self._sources.items()):
            counts.fade(factor)
            if counts.answered < FADED:
                del self._sources[name]

    def add(self, increment: Increment) -> None:
        self._sources.setdefault(increment.source, _Counts()).add(increment)

    def _times(self) -> list[float]:
        """Return the times of all upstreams but the slowest, by bucket."""
        sources = sorted(self._sources.values(), key=_Counts.slowness)
        if len(sources) >= MIN_SOURCES:
            del sources[-ceil(SLOWEST_PART * len(sources)) :]
        return [sum(counts) for counts in zip(*(source.times for source in sources), strict=True)]

    def failing(self) -> float:
        """Return the share of failures that is still good."""
        failed = sum(counts.failed for counts in self._sources.values())
        answered = sum(counts.answered for counts in self._sources.values())
        return _bound(failed + PRIOR * PRIOR_SHARE, answered + PRIOR)

    def slow(self) -> tuple[int, float] | None:
        """Return the bucket from which an answer is slow, and the share of slow ones that is still good."""
        times = self._times()
        total = sum(times)
        if total < MIN_BASELINE:
            return None
        above, bucket = 0.0, BUCKETS - 1
        while bucket > 0 and above + times[bucket] <= SLOW_PART * total:
            above += times[bucket]
            bucket -= 1
        first = max(time_bucket(SLOW_MIN), min(BUCKETS - 1, bucket + 1 + SLOW_BUCKETS))
        return first, _bound(sum(times[first:]) + PRIOR * PRIOR_SHARE, total + PRIOR)


def _bound(count: float, total: float) -> float:
    share = count / total
    return min(0.9, share + TOLERANCE + sqrt(share * (1 - share) / total))


class _Chart:
    """A cumulative sum over the answers of all canary upstreams, with the part of each."""

    __slots__ = ("_parts", "bad", "seen")

    def __init__(self):
        self._parts: dict[str, float] = {}
        self.seen = 0
        self.bad = 0

    def add(self, upstream: str, good: int, bad: int, allowed: float, excess: float) -> None:
        excessive = allowed + (1 - allowed) * excess
        gain = bad * log(excessive / allowed) + good * log((1 - excessive) / (1 - allowed))
        self._parts[upstream] = self._parts.get(upstream, 0.0) + gain
        self.seen += good + bad
        self.bad += bad
        if sum(self._parts.values()) <= 0:
            self._parts = {}
            self.seen = self.bad = 0

    def is_alarmed(self, alarm: float, is_alone: bool) -> bool:
        total = sum(self._parts.values())
        if total < alarm:
            return False
        return is_alone or total - max(self._parts.values()) >= OTHERS_PART * alarm


class CusumAnalysis(Analysis):
    """Compares failures, and answers that are slow, with the stable version's, route by route."""

    def __init__(self):
        self._baselines: dict[str, _Baseline] = {}
        self._failing: dict[str, _Chart] = {}
        self._slow: dict[str, _Chart] = {}
        self._upstreams: set[str] = set()
        self._first_at: float | None = None
        self._noted_at: float | None = None

    def __repr__(self) -> str:
        return f"<CusumAnalysis routes={len(self._baselines)} upstreams={len(self._upstreams)}>"

    def note(self, increments: list[Increment], now: float) -> None:
        elapsed = now - self._noted_at if self._noted_at is not None else 0.0
        self._noted_at = now
        factor = max(0.0, 1 - elapsed / BASELINE_MEMORY)
        stable = [increment for increment in increments if not increment.upstream and increment.answered]
        # Without new answers what is known stays as it is: all traffic may be the canary's.
        for route in {increment.route for increment in stable}:
            baseline = self._baselines.setdefault(route, _Baseline())
            baseline.fade(factor)
            baseline.added_at = now
        for increment in stable:
            self._baselines[increment.route].add(increment)
        for increment in increments:
            if increment.upstream and increment.answered:
                self._judge(increment, now)

    def _judge(self, increment: Increment, now: float) -> None:
        baseline = self._baselines.setdefault(increment.route, _Baseline())
        upstream, route = increment.upstream, increment.route
        good = increment.answered - increment.failed
        chart = self._failing.setdefault(route, _Chart())
        excess = EXCESS if now - baseline.added_at <= BASELINE_LIFE else EXCESS_ALONE
        chart.add(upstream, good, increment.failed, baseline.failing(), excess)
        self._upstreams.add(upstream)
        if self._first_at is None:
            self._first_at = now
        if now - self._first_at < WARM_UP:
            return
        slow = baseline.slow()
        if slow is not None:
            first, allowed = slow
            late = sum(increment.times[first:])
            self._slow.setdefault(route, _Chart()).add(upstream, sum(increment.times) - late, late, allowed, excess)

    def finding(self) -> str:
        is_alone = len(self._upstreams) == 1
        for what, charts, alarm in (("failed", self._failing, ALARM), ("were slow", self._slow, SLOW_ALARM)):
            for route, chart in charts.items():
                if chart.is_alarmed(alarm, is_alone):
                    return f"{chart.bad} of {chart.seen} answers of {route} {what}"
        return ""
