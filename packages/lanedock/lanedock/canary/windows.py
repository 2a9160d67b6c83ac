# SPDX-License-Identifier: BSD-3-Clause
"""Answers of a service's upstreams by upstream, window of time and route."""

from lanedock.canary.counts import BUCKETS, time_bucket
from lanedock.canary.evidence import Increment

__all__ = ["FIRST_BUCKET", "AnswerCounts", "UpstreamWindows"]

# Time, in seconds, below which differences don't count, as they vary with process scheduling; and its bucket, in which
# all shorter times are kept.
MIN_COMPARED_TIME = 0.05
FIRST_BUCKET = time_bucket(MIN_COMPARED_TIME)

# Initial length of a window, in seconds.
WINDOW_LENGTH = 2.0
# Number of windows above which pairs of them are merged, so that a long canary takes no more memory than a short one.
MAX_WINDOWS = 16


class AnswerCounts:
    """Counts of one upstream's answers on one route.

    Attributes
    ----------
    answered, failed : int
        Answers, and the failures among them.
    times : list of int
        Number of answers in each time bucket, of those whose times are compared; none before `FIRST_BUCKET`.
    """

    __slots__ = ("answered", "failed", "times")

    def __init__(self):
        self.answered = 0
        self.failed = 0
        self.times = [0] * BUCKETS

    def __repr__(self) -> str:
        return f"<AnswerCounts answered={self.answered} failed={self.failed}>"

    def add(self, answered: int, failed: int, times: list[int] | None) -> None:
        """Add answers; without times if these are not compared."""
        self.answered += answered
        self.failed += failed
        if times is not None:
            clamped = [0] * FIRST_BUCKET + [sum(times[: FIRST_BUCKET + 1])] + times[FIRST_BUCKET + 1 :]
            self.times = [former + new for former, new in zip(self.times, clamped, strict=True)]


class UpstreamWindows:
    """Answers of all upstreams of one version.

    Attributes
    ----------
    upstreams : dict of str to dict of int to dict of str to AnswerCounts
        For each instance its windows by their numbers, and in each window the counts by route.
    """

    __slots__ = ("_length", "upstreams")

    def __init__(self):
        self.upstreams: dict[str, dict[int, dict[str, AnswerCounts]]] = {}
        self._length = WINDOW_LENGTH

    def __repr__(self) -> str:
        return f"<UpstreamWindows upstreams={len(self.upstreams)} length={self._length}>"

    def add(self, upstream: str, increment: Increment, times: list[int] | None, age: float) -> None:
        """Add an increment to the current window.

        Parameters
        ----------
        upstream : str
            Instance whose answers the increment counts.
        increment : Increment
        times : list of int or None
            Number of its answers by time bucket; None if they are not compared.
        age : float
            Seconds since the comparison began.
        """
        number = self._find_window(age)
        routes = self.upstreams.setdefault(upstream, {}).setdefault(number, {})
        counts = routes.setdefault(increment.route, AnswerCounts())
        counts.add(increment.answered, increment.failed, times)

    def _find_window(self, age: float) -> int:
        while age >= self._length * MAX_WINDOWS:
            self._length *= 2
            self.upstreams = {upstream: _merge_pairs(windows) for upstream, windows in self.upstreams.items()}
        return int(age / self._length)

    def count_times(self, upstream: str) -> int:
        """Return the number of an upstream's answers whose times are compared."""
        return sum(sum(counts.times) for counts in self.sum_routes(upstream).values())

    def sum_routes(self, upstream: str) -> dict[str, AnswerCounts]:
        """Return an upstream's counts by route, over all windows."""
        sums: dict[str, AnswerCounts] = {}
        for routes in self.upstreams[upstream].values():
            _add_routes(sums, routes)
        return sums

    def sum_all(self) -> dict[str, AnswerCounts]:
        """Return the counts by route, over all upstreams and windows."""
        sums: dict[str, AnswerCounts] = {}
        for upstream in self.upstreams:
            _add_routes(sums, self.sum_routes(upstream))
        return sums


def _add_routes(sums: dict[str, AnswerCounts], routes: dict[str, AnswerCounts]) -> None:
    for route, counts in routes.items():
        sums.setdefault(route, AnswerCounts()).add(counts.answered, counts.failed, counts.times)


def _merge_pairs(windows: dict[int, dict[str, AnswerCounts]]) -> dict[int, dict[str, AnswerCounts]]:
    merged: dict[int, dict[str, AnswerCounts]] = {}
    for number, routes in windows.items():
        _add_routes(merged.setdefault(number // 2, {}), routes)
    return merged
