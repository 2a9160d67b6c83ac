# SPDX-License-Identifier: BSD-3-Clause
"""Summaries of upstreams' answers for the log."""

from math import sqrt

from lanedock.canary.counts import BUCKET_RATIO, BUCKETS, bucket_time
from lanedock.canary.windows import AnswerCounts, UpstreamWindows

__all__ = ["UpstreamSummary", "count_slow", "find_slow_buckets", "summarize"]

# Fraction of the stable version's answers that take longer than the reference bucket, and the number of buckets by
# which a slow answer exceeds that bucket.
SLOW_FRACTION = 0.1
SLOW_BUCKETS = 1


class UpstreamSummary:
    """An upstream's answers.

    Attributes
    ----------
    upstream : str
        Instance.
    is_canary : bool
    answered, failed : int
        Answers, and the failures among them.
    compared, slow : int
        Answers whose times are compared, and those that took longer than nine in ten of the stable version's.
    location : float
        Geometric mean of the compared times, in seconds; 0 without any.
    spread : float
        Geometric standard deviation of the compared times (a factor); 1 without any.
    """

    __slots__ = ("answered", "compared", "failed", "is_canary", "location", "slow", "spread", "upstream")

    def __init__(self, upstream: str, is_canary: bool, counts: dict[str, AnswerCounts], slow_buckets: dict[str, int]):
        self.upstream = upstream
        self.is_canary = is_canary
        self.answered = sum(route.answered for route in counts.values())
        self.failed = sum(route.failed for route in counts.values())
        self.compared, self.slow = count_slow(counts, slow_buckets)
        self.location, self.spread = _describe_times(counts)

    def __repr__(self) -> str:
        kind = "canary" if self.is_canary else "stable"
        return f"<UpstreamSummary {self.upstream} {kind} answered={self.answered} failed={self.failed}>"

    def fields(self) -> dict[str, object]:
        """Return the fields of the summary's line in the log."""
        return {
            "upstream": self.upstream,
            "pool": "canary" if self.is_canary else "stable",
            "answered": self.answered,
            "failed": self.failed,
            "compared_times": self.compared,
            "slow_answers": self.slow,
            "location_ms": round(1000 * self.location, 1),
            "spread": round(self.spread, 2),
        }


def summarize(windows: UpstreamWindows, is_canary: bool, slow_buckets: dict[str, int]) -> list[UpstreamSummary]:
    """Return the summaries of a version's upstreams, in the order of their names."""
    return [
        UpstreamSummary(upstream, is_canary, windows.sum_routes(upstream), slow_buckets)
        for upstream in sorted(windows.upstreams)
    ]


def find_slow_buckets(stable: dict[str, AnswerCounts]) -> dict[str, int]:
    """Return for each route the first bucket of slow answers.

    Parameters
    ----------
    stable : dict of str to AnswerCounts
        Counts of the stable version by route.
    """
    return {route: _find_slow_bucket(counts.times) for route, counts in stable.items() if sum(counts.times)}


def _find_slow_bucket(times: list[int]) -> int:
    allowed = SLOW_FRACTION * sum(times)
    above, bucket = 0, BUCKETS - 1
    while bucket > 0 and above + times[bucket] <= allowed:
        above += times[bucket]
        bucket -= 1
    return min(BUCKETS - 1, bucket + 1 + SLOW_BUCKETS)


def count_slow(counts: dict[str, AnswerCounts], slow_buckets: dict[str, int]) -> tuple[int, int]:
    """Return the numbers of compared and of slow answers."""
    compared = slow = 0
    for route, answers in counts.items():
        if route in slow_buckets:
            compared += sum(answers.times)
            slow += sum(answers.times[slow_buckets[route] :])
    return compared, slow


def _describe_times(counts: dict[str, AnswerCounts]) -> tuple[float, float]:
    """Return the geometric mean in seconds, and the geometric standard deviation."""
    times = [sum(column) for column in zip(*(answers.times for answers in counts.values()), strict=True)]
    total = sum(times)
    if not total:
        return 0.0, 1.0
    mean = sum(bucket * count for bucket, count in enumerate(times)) / total
    variance = sum(count * (bucket - mean) ** 2 for bucket, count in enumerate(times)) / total
    return bucket_time(mean), BUCKET_RATIO ** sqrt(variance)
