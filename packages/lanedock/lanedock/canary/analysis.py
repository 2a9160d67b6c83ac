# SPDX-License-Identifier: BSD-3-Clause
"""Comparison of a canary with the stable version that serves requests at the same time.

Notes
-----
Whether a version is worse is judged by upstream: a bad upstream is no bad version. Control charts detect failures
that begin at any moment; Bayes factors over all answers tell a version that is worse from upstreams that are.
"""

from abc import ABC, abstractmethod

from lanedock.canary.answer_times import TimeComparison
from lanedock.canary.charts import FailureBaseline, FailureChart
from lanedock.canary.comparison import Comparison
from lanedock.canary.evidence import Increment
from lanedock.canary.failures import FailureComparison
from lanedock.canary.summaries import UpstreamSummary, count_slow, find_slow_buckets, summarize
from lanedock.canary.windows import UpstreamWindows

__all__ = ["Analysis", "CusumAnalysis"]

# Seconds after the canary's first requests in which its upstreams are cold, and until the answers of those requests
# have been counted. Their times show nothing.
WARM_UP = 3.0
WARM_UP_COUNTED = 3.6
# Seconds between two comparisons for each upstream, and at least. The leader has other work.
COMPARISON_INTERVAL_PER_UPSTREAM = 0.015
MIN_COMPARISON_INTERVAL = 0.2
# Upstreams of either version that are compared; more of them add little evidence.
MAX_UPSTREAMS = 24


class Analysis(ABC):
    """Base class of analyses that judge one canary. Does no I/O; the time is passed in."""

    def begin_trial(self, now: float) -> None:
        """Take note that the canary gets requests from now on."""

    def is_warming_up(self, now: float) -> bool:
        """Return whether the canary's upstreams are cold, so that their times show nothing yet."""
        return False

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
    def missing_proof(self, margin: float) -> str:
        """Return what is not shown yet of a version that is no worse, for operators; empty if all is.

        Parameters
        ----------
        margin : float
            Log Bayes factor by which the evidence against the version may exceed the usual limits.
        """

    def figures(self) -> dict[str, float]:
        """Return the figures of the comparison, for the log."""
        return {}

    def summaries(self) -> list[UpstreamSummary]:
        """Return summaries of the upstreams' answers, for the log."""
        return []


class CusumAnalysis(Analysis):
    """Compares failures and times of a canary's upstreams with those of the stable ones."""

    def __init__(self):
        self._stable = UpstreamWindows()
        self._canary = UpstreamWindows()
        self._failures = FailureComparison()
        self._times = TimeComparison()
        self._baselines: dict[str, FailureBaseline] = {}
        self._charts: dict[str, FailureChart] = {}
        self._begun_at: float | None = None
        self._trial_at: float | None = None
        self._noted_at: float | None = None
        self._compared_at = 0.0
        self._is_changed = False

    def __repr__(self) -> str:
        return f"<CusumAnalysis stable={self._stable!r} canary={self._canary!r}>"

    def begin_trial(self, now: float) -> None:
        if self._trial_at is None:
            self._trial_at = now

    def is_warming_up(self, now: float) -> bool:
        return self._trial_at is None or now - self._trial_at < WARM_UP

    def note(self, increments: list[Increment], now: float) -> None:
        if self._begun_at is None:
            self._begun_at = now
        answered = [increment for increment in increments if increment.answered]
        self._update_baselines([increment for increment in answered if not increment.upstream], now)
        for increment in answered:
            if increment.upstream:
                self.begin_trial(now)
                self._update_chart(increment, now)
            self._add_to_windows(increment, now)
        upstreams = len(self._stable.upstreams) + len(self._canary.upstreams)
        interval = max(MIN_COMPARISON_INTERVAL, COMPARISON_INTERVAL_PER_UPSTREAM * upstreams)
        if self._is_changed and now - self._compared_at >= interval:
            self._compared_at = now
            self._is_changed = False
            self._failures.update(self._stable, self._canary)
            self._times.update(self._stable, self._canary)

    def _update_baselines(self, stable: list[Increment], now: float) -> None:
        elapsed = now - self._noted_at if self._noted_at is not None else 0.0
        self._noted_at = now
        # A route without new stable answers does not decay, because the canary may get all requests.
        for route in {increment.route for increment in stable}:
            self._baselines.setdefault(route, FailureBaseline()).decay(elapsed, now)
        for increment in stable:
            self._baselines[increment.route].add(increment.answered, increment.failed)

    def _update_chart(self, increment: Increment, now: float) -> None:
        baseline = self._baselines.setdefault(increment.route, FailureBaseline())
        chart = self._charts.setdefault(increment.route, FailureChart())
        good = increment.answered - increment.failed
        chart.add(increment.upstream, good, increment.failed, baseline, now)

    def _add_to_windows(self, increment: Increment, now: float) -> None:
        windows = self._canary if increment.upstream else self._stable
        upstream = increment.upstream or increment.source
        if upstream not in windows.upstreams and len(windows.upstreams) >= MAX_UPSTREAMS:
            return
        is_compared = not increment.upstream or now - self._trial_at >= WARM_UP_COUNTED
        times = increment.times if is_compared else None
        windows.add(upstream, increment, times, now - self._begun_at)
        self._is_changed = True

    def finding(self) -> str:
        has_one_upstream = len(self._canary.upstreams) == 1
        for route, chart in self._charts.items():
            if chart.is_alarming(has_one_upstream):
                return f"{chart.failed} of {chart.seen} answers of {route} failed"
        if self._failures.is_alarming():
            return self._describe_failures()
        if self._times.is_alarming():
            return self._describe_times()
        return ""

    def missing_proof(self, margin: float) -> str:
        if self._failures.excess() > margin:
            return f"{self._describe_failures()}, too few to rule out that more do than before"
        if self._times.excess() > margin:
            return f"{self._describe_times()}, too few to rule out that more are than before"
        return ""

    def _describe_failures(self) -> str:
        counts = self._canary.sum_all()
        answered = sum(route.answered for route in counts.values())
        failed = sum(route.failed for route in counts.values())
        return f"{failed} of {answered} answers of {_name_routes(list(counts))} failed"

    def _describe_times(self) -> str:
        compared, slow = self._count_slow()
        routes = [route for route, answers in self._canary.sum_all().items() if sum(answers.times)]
        return f"{slow} of {compared} answers of {_name_routes(routes)} were slow"

    def _count_slow(self) -> tuple[int, int]:
        """Return the numbers of the canary's compared and slow answers."""
        return count_slow(self._canary.sum_all(), find_slow_buckets(self._stable.sum_all()))

    def figures(self) -> dict[str, float]:
        comparisons: tuple[Comparison, ...] = (self._failures, self._times)
        figures: dict[str, float] = {}
        for comparison in comparisons:
            for group, ratio in comparison.ratios.items():
                figures[group.name] = round(ratio, 1)
                figures[f"{group.name}_limit"] = group.limit
        compared, slow = self._count_slow()
        return {"compared_times": compared, "slow_answers": slow, **figures}

    def summaries(self) -> list[UpstreamSummary]:
        slow_buckets = find_slow_buckets(self._stable.sum_all())
        return summarize(self._canary, True, slow_buckets) + summarize(self._stable, False, slow_buckets)


def _name_routes(routes: list[str]) -> str:
    return routes[0] if len(routes) == 1 else "all routes"
