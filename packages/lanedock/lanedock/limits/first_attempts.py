# SPDX-License-Identifier: BSD-3-Clause
"""The time since callers' first attempts, estimated from the deadlines they have left.

A caller whose request was refused retries with what is left of its time. An
answer to it is worth less than one to a request that was just made, and where
there is not room for both, the new one goes first; otherwise each retried request
makes another one late.
"""

__all__ = ["FirstAttempts"]

# Deadlines that are kept for a kind of request; a bound on memory, not a tuning.
_MAX_VALUES = 64
# Requests of a kind after which counts are halved, so that old ones fade. No unit.
_HALVING = 512
# Part of a kind's requests that have to have the same deadline for it to be one that
# callers begin with. What is left of it after a refusal differs each time. No unit.
_FREQUENT = 1 / 16
# Requests that have to have it at the least, so that no first one counts by itself.
_FREQUENT_MIN = 3
# Kinds of requests that are kept; a bound on memory, not a tuning.
_MAX_KINDS = 1024


class _Times:
    """The deadlines that requests of one kind had, in milliseconds from their arrival."""

    __slots__ = ("counts", "total")

    def __init__(self):
        self.counts: dict[int, int] = {}
        self.total = 0

    def note(self, wait_ms: int) -> None:
        """Count one."""
        self.total += 1
        self.counts[wait_ms] = self.counts.get(wait_ms, 0) + 1
        if self.total >= _HALVING or len(self.counts) > _MAX_VALUES:
            self._fade()

    def _fade(self) -> None:
        self.counts = {wait: count // 2 for wait, count in self.counts.items() if count > 1}
        self.total //= 2

    def first_at_least(self, wait_ms: int) -> int | None:
        """Return the least deadline that callers begin with and that is no less than one received."""
        least = max(_FREQUENT_MIN, self.total * _FREQUENT)
        return min((wait for wait, count in self.counts.items() if wait >= wait_ms and count >= least), default=None)


class FirstAttempts:
    """Estimates the time since the first attempt, by kind of request. Pure."""

    def __init__(self):
        self._times: dict[str, _Times] = {}

    def __repr__(self) -> str:
        return f"<FirstAttempts kinds={len(self._times)}>"

    def note(self, kind: str, wait_ms: int | None) -> int:
        """Count a request, and return the time since its first attempt.

        Parameters
        ----------
        kind : str
            Of the request, such as its route's name.
        wait_ms : int or None
            Time for which its caller waits, in milliseconds.

        Returns
        -------
        int
            Milliseconds since its caller made it first; 0 where nothing shows
            that it did so before.
        """
        if wait_ms is None:
            return 0
        times = self._times.get(kind)
        if times is None:
            if len(self._times) >= _MAX_KINDS:
                self._times.clear()
            times = self._times[kind] = _Times()
        times.note(wait_ms)
        first = times.first_at_least(wait_ms)
        if first is None or first == wait_ms:
            return 0
        return first - wait_ms
