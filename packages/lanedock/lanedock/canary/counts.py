# SPDX-License-Identifier: BSD-3-Clause
"""Counts of one daemon's requests to services that have a running canary."""

from math import log2

from lanedock.wire import messages

__all__ = ["BUCKETS", "BUCKET_RATIO", "CanaryCounter", "bucket_time", "time_bucket"]

# Lower bound of the second time bucket, in seconds; the ratio of the bounds of successive
# buckets; and the number of buckets.
_FIRST_BOUND = 0.002
BUCKET_RATIO = 2**0.5
BUCKETS = 26
# Routes of a service that are counted separately; further routes are counted together.
MAX_ROUTES = 24
OTHER_ROUTES = "*"


def time_bucket(seconds: float) -> int:
    """Return the number of the bucket that contains a time."""
    if seconds < _FIRST_BOUND:
        return 0
    return min(BUCKETS - 1, 1 + int(2 * log2(seconds / _FIRST_BOUND)))


def bucket_time(bucket: float) -> float:
    """Return the time in the middle of a bucket, in seconds; buckets may be averaged before."""
    return _FIRST_BOUND * BUCKET_RATIO ** (bucket - 0.5)


class _Row:
    __slots__ = ("answered", "failed", "sent", "times")

    def __init__(self):
        self.sent = 0
        self.answered = 0
        self.failed = 0
        self.times = [0] * BUCKETS


class CanaryCounter:
    """Counts of requests since the start of each service's canary.

    The counts are cumulative, so that no report can be counted twice.
    """

    def __init__(self):
        self._numbers: dict[str, int] = {}
        self._rows: dict[str, dict[tuple[str, str], _Row]] = {}
        self._is_changed = False

    def __repr__(self) -> str:
        return f"<CanaryCounter services={sorted(self._numbers)}>"

    def follow(self, plan: messages.CanaryPlan) -> None:
        """Count for the canaries of a plan, and drop the counts of canaries that have ended."""
        numbers = {rule.service: rule.number for rule in plan.rules if rule.canary}
        for service in list(self._rows):
            if numbers.get(service) != self._numbers.get(service):
                del self._rows[service]
                self._is_changed = True
        self._numbers = numbers

    def is_counting(self, service: str) -> bool:
        """Return whether a canary of a service is running."""
        return service in self._numbers

    def number(self, service: str) -> int | None:
        """Return the number of a service's running canary; None if none is running."""
        return self._numbers.get(service)

    def note_sent(self, service: str, route: str, canary: str) -> None:
        """Count a request that is sent to a canary upstream, or to a stable one if `canary` is empty."""
        row = self._find(service, route, canary)
        if row is not None:
            row.sent += 1

    def note_answer(self, service: str, route: str, canary: str, failed: bool, taken: float) -> None:
        """Count an answer after `taken` seconds, or a request that got none within that time."""
        row = self._find(service, route, canary)
        if row is None:
            return
        row.answered += 1
        row.failed += failed
        if not failed:
            row.times[time_bucket(taken)] += 1

    def _find(self, service: str, route: str, canary: str) -> _Row | None:
        if service not in self._numbers:
            return None
        rows = self._rows.setdefault(service, {})
        key = (route, canary)
        if key not in rows and len({known for known, _ in rows} - {route}) >= MAX_ROUTES:
            key = (OTHER_ROUTES, canary)
        row = rows.get(key)
        if row is None:
            row = rows[key] = _Row()
        self._is_changed = True
        return row

    def take_changed(self) -> list[messages.CanaryCounts] | None:
        """Return all counts if any has changed since the last call, else None."""
        if not self._is_changed:
            return None
        self._is_changed = False
        counts = []
        for service, rows in sorted(self._rows.items()):
            for (route, canary), row in sorted(rows.items()):
                counts.append(
                    messages.CanaryCounts(
                        service=service,
                        route=route,
                        upstream=canary,
                        sent=row.sent,
                        answered=row.answered,
                        failed=row.failed,
                        times=row.times,
                        number=self._numbers[service],
                    )
                )
        return counts
