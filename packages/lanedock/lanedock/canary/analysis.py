# SPDX-License-Identifier: BSD-3-Clause
"""Comparison of a canary with the stable version that serves requests at the same time.

Notes
-----
The sequence of answers is judged by cumulative sums (CUSUM) of log-likelihood ratios. They are
reset whenever they fall to 0, so that a version that turns bad late is detected as quickly as
one that is bad from its start.

References
----------
Wald, A., "Sequential Tests of Statistical Hypotheses", 1945.
Page, E. S., "Continuous Inspection Schemes", Biometrika 41, 1954.
"""

from abc import ABC, abstractmethod
from math import ceil, log, sqrt

from lanedock.canary.counts import BUCKETS, time_bucket
from lanedock.canary.evidence import Increment
from lanedock.canary.summaries import UpstreamSummary, find_slow_buckets, summarize
from lanedock.canary.windows import UpstreamWindows

__all__ = ["Analysis", "CusumAnalysis"]

# Log-likelihood ratios from which a version counts as bad. By chance a good version reaches the
# first one in one of a thousand cases. The second one is higher (less than one in ten thousand),
# because uneven upstreams cause slow answers, too.
FAILURE_ALARM = log(1000)
SLOW_ALARM = log(20_000)
# Fraction of the threshold that upstreams other than the worst one have to contribute, because
# one bad upstream does not make a bad version.
OTHER_UPSTREAMS_FRACTION = 0.3
# Share of failures (or of slow answers) above the stable version's that is still accepted, and
# the fraction of all other answers by which a bad version exceeds the accepted share.
TOLERANCE = 0.02
EXCESS = 0.15
# Time constant, in seconds, in which the stable version's counts decay to 1/e, and the number of answers of
# a route below which they don't decay: a comparison needs answers more than it needs new ones.
BASELINE_MEMORY = 1.0
KEPT_ANSWERS = 40.0
# Log-likelihood ratios up to which a version may get more requests: a bad one reaches the first in one
# of twenty cases. The second is enough once little time is left: the answers don't speak against it.
# Then the excess of a version that has to be ruled out, as for `EXCESS`.
PROOF = -log(20)
LATE_PROOF = 1.0
PROOF_EXCESS = 0.2
# Excess of a version that is bad in most of its answers; detected in fewer answers than `EXCESS`.
LARGE_EXCESS = 0.4
# Fraction of the stable upstreams, the slowest ones, whose times are left out of the baseline; the
# number of stable upstreams from which any are left out; and the decayed number of answers below
# which an upstream's counts are dropped.
SLOWEST_FRACTION = 0.1
MIN_SOURCES = 5
MIN_SOURCE_ANSWERS = 0.01
# Answers of the stable version that are required to compare times with it.
MIN_BASELINE = 20
# Fraction of the stable version's answers above the reference bucket, and the number of buckets
# (each 1.4 times the one before) by which a slow answer exceeds that bucket.
SLOW_FRACTION = 0.1
SLOW_BUCKETS = 1
# Lower bound of a slow answer's time, in seconds: shorter times vary with process scheduling.
SLOW_MIN = 0.05
# Age, in seconds, of the stable version's last answer above which its counts don't show the effect
# of the current load and are no baseline; `EXCESS` is then replaced by the fraction below.
BASELINE_MAX_AGE = 1.0
EXCESS_WITHOUT_BASELINE = 0.35
# Seconds after the canary's first answer in which its times don't count: its upstreams are cold.
WARM_UP = 3.0
# Answers of the stable version that are assumed in addition to the counted ones, and their share
# of failures or of slow answers (one in fifty).
PRIOR = 10.0
PRIOR_SHARE = 0.02


class Analysis(ABC):
    """Base class of analyses that judge one canary. Does no I/O; the time is passed in."""

    @abstractmethod
    def note(self, increments: list[Increment], now: float) -> None:
        """Add new counts to the analysis.

        Parameters
        ----------
        increments : list of Increment
        now : float
            Monotonic time, in seconds.
        """

    @abstractmethod
    def finding(self) -> str:
        """Return the evidence that the version is bad, for operators; empty if there is none."""

    @abstractmethod
    def missing_proof(self, is_late: bool) -> str:
        """Return what is not shown yet of a version that is no worse, for operators; empty if all is.

        Parameters
        ----------
        is_late : bool
            Whether little time is left for the decision.
        """

    def figures(self) -> dict[str, float]:
        """Return the figures of the comparison, for the log."""
        return {}

    def summaries(self) -> list[UpstreamSummary]:
        """Return summaries of the upstreams' answers, for the log."""
        return []


class _Counts:
    """Decaying counts of one stable upstream on one route."""

    __slots__ = ("answered", "failed", "times")

    def __init__(self):
        self.answered = 0.0
        self.failed = 0.0
        self.times = [0.0] * BUCKETS

    def decay(self, factor: float) -> None:
        self.answered *= factor
        self.failed *= factor
        self.times = [count * factor for count in self.times]

    def add(self, increment: Increment) -> None:
        self.answered += increment.answered
        self.failed += increment.failed
        for bucket, count in enumerate(increment.times):
            self.times[bucket] += count

    def slowness(self) -> float:
        """Return the mean bucket number of the upstream's answer times."""
        total = sum(self.times)
        return sum(bucket * count for bucket, count in enumerate(self.times)) / total if total else 0.0


class _Baseline:
    """Counts of the stable version on one route, by upstream.

    The slowest upstreams are left out of the times. Otherwise a bad version that is as slow as
    one faulty stable upstream would not be detected.
    """

    __slots__ = ("_sources", "added_at")

    def __init__(self):
        self.added_at = 0.0
        self._sources: dict[str, _Counts] = {}

    def decay(self, factor: float) -> None:
        if answered := self.answered():
            factor = max(factor, min(1.0, KEPT_ANSWERS / answered))
        for name, counts in list(self._sources.items()):
            counts.decay(factor)
            if counts.answered < MIN_SOURCE_ANSWERS:
                del self._sources[name]

    def answered(self) -> float:
        return sum(counts.answered for counts in self._sources.values())

    def add(self, increment: Increment) -> None:
        self._sources.setdefault(increment.source, _Counts()).add(increment)

    def _sum_times(self) -> list[float]:
        """Return the number of answers in each time bucket, without the slowest upstreams."""
        sources = sorted(self._sources.values(), key=_Counts.slowness)
        if len(sources) >= MIN_SOURCES:
            del sources[-ceil(SLOWEST_FRACTION * len(sources)) :]
        return [sum(counts) for counts in zip(*(source.times for source in sources), strict=True)]

    def allowed_failures(self) -> float:
        """Return the accepted share of failures."""
        failed = sum(counts.failed for counts in self._sources.values())
        return _accepted_share(failed + PRIOR * PRIOR_SHARE, self.answered() + PRIOR)

    def slow_limit(self) -> tuple[int, float] | None:
        """Return the first bucket of slow answers and their accepted share; None with too few answers."""
        times = self._sum_times()
        total = sum(times)
        if total < MIN_BASELINE:
            return None
        above, bucket = 0.0, BUCKETS - 1
        while bucket > 0 and above + times[bucket] <= SLOW_FRACTION * total:
            above += times[bucket]
            bucket -= 1
        first = max(time_bucket(SLOW_MIN), min(BUCKETS - 1, bucket + 1 + SLOW_BUCKETS))
        return first, _accepted_share(sum(times[first:]) + PRIOR * PRIOR_SHARE, total + PRIOR)


def _accepted_share(count: float, total: float) -> float:
    share = count / total
    return min(0.9, share + TOLERANCE + sqrt(share * (1 - share) / total))


def _log_likelihood_ratio(good: int, bad: int, allowed: float, excess: float) -> float:
    """Return the evidence of a bad version in numbers of answers; positive if it speaks against the version."""
    bad_share = allowed + (1 - allowed) * excess
    return bad * log(bad_share / allowed) + good * log((1 - bad_share) / (1 - allowed))


class _Chart:
    """A cumulative sum over the answers of all canary upstreams, and each upstream's contribution."""

    __slots__ = ("_contributions", "bad", "seen")

    def __init__(self):
        self._contributions: dict[str, float] = {}
        self.seen = 0
        self.bad = 0

    def add(self, upstream: str, good: int, bad: int, allowed: float, excess: float) -> None:
        gain = _log_likelihood_ratio(good, bad, allowed, excess)
        self._contributions[upstream] = self._contributions.get(upstream, 0.0) + gain
        self.seen += good + bad
        self.bad += bad
        if sum(self._contributions.values()) <= 0:
            self._contributions = {}
            self.seen = self.bad = 0

    def exceeds(self, alarm: float, has_one_upstream: bool) -> bool:
        total = sum(self._contributions.values())
        if total < alarm:
            return False
        return has_one_upstream or total - max(self._contributions.values()) >= OTHER_UPSTREAMS_FRACTION * alarm


class _Proof:
    """Wald's sequential test, over all answers of a canary, of whether its share of bad ones exceeds the accepted."""

    __slots__ = ("bad", "ratio", "seen")

    def __init__(self):
        self.ratio = 0.0
        self.seen = 0
        self.bad = 0

    def add(self, good: int, bad: int, allowed: float) -> None:
        self.ratio += _log_likelihood_ratio(good, bad, allowed, PROOF_EXCESS)
        self.seen += good + bad
        self.bad += bad


class CusumAnalysis(Analysis):
    """Compares the shares of failures and of slow answers with the stable version's, by route and over all routes."""

    def __init__(self):
        self._stable = UpstreamWindows()
        self._canary = UpstreamWindows()
        self._begun_at: float | None = None
        self._failure_proof = _Proof()
        self._slow_proof = _Proof()
        self._slow_answers = _Chart()
        self._very_slow_answers = _Chart()
        self._baselines: dict[str, _Baseline] = {}
        self._failure_charts: dict[str, _Chart] = {}
        self._slow_charts: dict[str, _Chart] = {}
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
        # A route without new stable answers does not decay, because the canary may get all requests.
        for route in {increment.route for increment in stable}:
            baseline = self._baselines.setdefault(route, _Baseline())
            baseline.decay(factor)
            baseline.added_at = now
        for increment in stable:
            self._baselines[increment.route].add(increment)
        for increment in increments:
            if increment.upstream and increment.answered:
                self._judge(increment, now)
            if increment.answered:
                self._add_to_windows(increment, now)

    def _add_to_windows(self, increment: Increment, now: float) -> None:
        if self._begun_at is None:
            self._begun_at = now
        windows = self._canary if increment.upstream else self._stable
        is_compared = not increment.upstream or now - self._first_at >= WARM_UP
        times = increment.times if is_compared else None
        windows.add(increment.upstream or increment.source, increment, times, now - self._begun_at)

    def summaries(self) -> list[UpstreamSummary]:
        slow_buckets = find_slow_buckets(self._stable.sum_all())
        return summarize(self._canary, True, slow_buckets) + summarize(self._stable, False, slow_buckets)

    def _judge(self, increment: Increment, now: float) -> None:
        baseline = self._baselines.setdefault(increment.route, _Baseline())
        upstream, route = increment.upstream, increment.route
        good = increment.answered - increment.failed
        chart = self._failure_charts.setdefault(route, _Chart())
        excess = EXCESS if now - baseline.added_at <= BASELINE_MAX_AGE else EXCESS_WITHOUT_BASELINE
        chart.add(upstream, good, increment.failed, baseline.allowed_failures(), excess)
        self._failure_proof.add(good, increment.failed, baseline.allowed_failures())
        self._upstreams.add(upstream)
        if self._first_at is None:
            self._first_at = now
        if now - self._first_at < WARM_UP:
            return
        slow_limit = baseline.slow_limit()
        if slow_limit is not None:
            first, allowed = slow_limit
            slow = sum(increment.times[first:])
            quick = sum(increment.times) - slow
            self._slow_charts.setdefault(route, _Chart()).add(upstream, quick, slow, allowed, excess)
            self._slow_answers.add(upstream, quick, slow, allowed, excess)
            self._very_slow_answers.add(upstream, quick, slow, allowed, max(excess, LARGE_EXCESS))
            self._slow_proof.add(quick, slow, allowed)

    def finding(self) -> str:
        has_one_upstream = len(self._upstreams) == 1
        for verb, charts, alarm in (
            ("failed", self._failure_charts, FAILURE_ALARM),
            ("were slow", self._slow_charts, SLOW_ALARM),
        ):
            for route, chart in charts.items():
                if chart.exceeds(alarm, has_one_upstream):
                    return f"{chart.bad} of {chart.seen} answers of {route} {verb}"
        routes = next(iter(self._slow_charts)) if len(self._slow_charts) == 1 else "all routes"
        for chart in (self._slow_answers, self._very_slow_answers):
            if chart.exceeds(SLOW_ALARM, has_one_upstream):
                return f"{chart.bad} of {chart.seen} answers of {routes} were slow"
        return ""

    def missing_proof(self, is_late: bool) -> str:
        for proof, verb in ((self._failure_proof, "failed"), (self._slow_proof, "were slow")):
            if proof.ratio > (LATE_PROOF if is_late else PROOF):
                return f"{proof.bad} of {proof.seen} answers {verb}, too few to rule out that more do than before"
        return ""

    def figures(self) -> dict[str, float]:
        return {
            "failure_ratio": round(self._failure_proof.ratio, 1),
            "slow_answers": self._slow_proof.bad,
            "compared_times": self._slow_proof.seen,
            "slow_ratio": round(self._slow_proof.ratio, 1),
        }
