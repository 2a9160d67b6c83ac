# SPDX-License-Identifier: BSD-3-Clause
"""What one daemon has seen of the requests of services that have a canary."""

from math import log2

from lanedock.wire import messages

__all__ = ["BUCKETS", "BUCKET_RATIO", "CanaryCounter", "time_bucket"]

# Lower end of the second bucket of times, in seconds, and the ratio of each to the next.
_LEAST_TIME = 0.002
BUCKET_RATIO = 2**0.5
BUCKETS = 26
# Routes of a service that are counted apart; those seen later are counted together.
MAX_ROUTES = 24
OTHER_ROUTES = "*"


def time_bucket(seconds: float) -> int:
    """Return the number of the bucket that a time falls into."""
    if seconds < _LEAST_TIME:
        return 0
    return min(BUCKETS - 1, 1 + int(2 * log2(seconds / _LEAST_TIME)))


class _Row:
    __slots__ = ("answered", "failed", "sent", "times")

    def __init__(self):
        self.sent = 0
        self.answered = 0
        self.failed = 0
        self.times = [0] * BUCKETS


class CanaryCounter:
    """Counts since the start of each service's canary; cumulative, so that no report can be counted twice."""

    def __init__(self):
        self._numbers: dict[str, int] = {}
        self._rows: dict[str, dict[tuple[str, str], _Row]] = {}
        self._is_changed = False

    def __repr__(self) -> str:
        return f"<CanaryCounter services={sorted(self._numbers)}>"

    def follow(self, plan: messages.CanaryPlan) -> None:
        """Count for the canaries that run; those of canaries that have ended are let go."""
        numbers = {rule.service: rule.number for rule in plan.rules if rule.canary}
        for service in list(self._rows):
            if numbers.get(service) != self._numbers.get(service):
                del self._rows[service]
                self._is_changed = True
        self._numbers = numbers

    def is_counting(self, service: str) -> bool:
        """Tell whether a canary of a service runs."""
        return service in self._numbers

    def note_sent(self, service: str, route: str, canary: str) -> None:
        """Note that a request is sent: to a canary upstream by its id, or, with an empty one, to a stable one."""
        row = self._find(service, route, canary)
        if row is not None:
            row.sent += 1

    def note_answer(self, service: str, route: str, canary: str, failed: bool, taken: float) -> None:
        """Note an answer, or that none had come after `taken` seconds."""
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
        """Return all counts where they have changed since the last call, else None."""
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
