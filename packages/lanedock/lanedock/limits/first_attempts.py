# SPDX-License-Identifier: BSD-3-Clause
"""Estimates of the time since a caller's first attempt, from the timeouts of its requests.

A caller whose request was refused retries with the rest of its timeout. An answer to the
retry is worth less than an answer to a new request, so the new request goes first if there
isn't room for both; otherwise each retry would make another request late.
"""

__all__ = ["FirstAttempts"]

# Distinct timeouts that are kept for a kind of request, to bound the memory used.
_MAX_TIMEOUTS = 64
# Requests of a kind after which all its counts are halved, so that former requests lose weight.
_HALVING_COUNT = 512
# Fraction of a kind's requests that need the same timeout for it to count as an initial one.
# The rest of a timeout after a refusal differs each time, so it isn't that frequent.
_FREQUENT_FRACTION = 1 / 16
# Requests that need the same timeout in any case, so that a single early request doesn't
# make its timeout an initial one.
_MIN_FREQUENT_COUNT = 3
# Kinds of requests that are kept, to bound the memory used.
_MAX_KINDS = 1024


class _TimeoutCounts:
    """Counts of the timeouts of one kind's requests, in milliseconds from their arrival."""

    __slots__ = ("counts", "total")

    def __init__(self):
        self.counts: dict[int, int] = {}
        self.total = 0

    def note(self, timeout_ms: int) -> None:
        """Count a request's timeout."""
        self.total += 1
        self.counts[timeout_ms] = self.counts.get(timeout_ms, 0) + 1
        if self.total >= _HALVING_COUNT or len(self.counts) > _MAX_TIMEOUTS:
            self._halve()

    def _halve(self) -> None:
        self.counts = {timeout: count // 2 for timeout, count in self.counts.items() if count > 1}
        self.total //= 2

    def find_initial(self, timeout_ms: int) -> int | None:
        """Return the least initial timeout that is no less than a given one; None if there is none."""
        least = max(_MIN_FREQUENT_COUNT, self.total * _FREQUENT_FRACTION)
        return min(
            (timeout for timeout, count in self.counts.items() if timeout >= timeout_ms and count >= least),
            default=None,
        )


class FirstAttempts:
    """Estimates the time since the first attempt, by kind of request.

    Does no I/O and reads no clock.
    """

    def __init__(self):
        self._by_kind: dict[str, _TimeoutCounts] = {}

    def __repr__(self) -> str:
        return f"<FirstAttempts kinds={len(self._by_kind)}>"

    def note(self, kind: str, timeout_ms: int | None) -> int:
        """Count a request, and estimate the time since its first attempt.

        Parameters
        ----------
        kind : str
            Kind of the request, such as its route's name.
        timeout_ms : int or None
            Time for which the caller waits for the answer, in milliseconds; None if unknown.

        Returns
        -------
        int
            Milliseconds since the caller's first attempt; 0 if nothing indicates an
            earlier one.
        """
        if timeout_ms is None:
            return 0
        timeouts = self._by_kind.get(kind)
        if timeouts is None:
            if len(self._by_kind) >= _MAX_KINDS:
                self._by_kind.clear()
            timeouts = self._by_kind[kind] = _TimeoutCounts()
        timeouts.note(timeout_ms)
        initial = timeouts.find_initial(timeout_ms)
        if initial is None or initial == timeout_ms:
            return 0
        return initial - timeout_ms
