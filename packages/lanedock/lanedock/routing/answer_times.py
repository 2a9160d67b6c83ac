# SPDX-License-Identifier: BSD-3-Clause
"""Times to the answers of one service, by kind of request."""

from lanedock.averages import MovingTime

__all__ = ["SMOOTHING", "AnswerTimes"]

# Weight of the newest answer in the averages; no unit.
SMOOTHING = 0.05
# Least time, in seconds, after which an answer may count as late, and that before any
# answer came.
_HEDGE_DELAY_MIN = 0.05
_HEDGE_DELAY_FIRST = 0.5
# Least time to answer that is averaged, so that ratios of it have a meaning.
_TIME_MIN = 0.001
# Kinds of requests whose times are kept; bounds memory.
_MAX_KINDS = 1024
# Seconds for which the longest silence that a request explains is kept: it is looked for
# among all kinds of requests.
_LIMIT_KEPT = 0.1


class AnswerTimes:
    """Moving averages of the time to an answer's head, and from there to its last byte. Pure."""

    def __init__(self):
        self._heads: dict[str, MovingTime] = {}
        self._bodies: dict[str, MovingTime] = {}
        self._limit = _HEDGE_DELAY_FIRST
        self._limit_until = float("-inf")

    def __repr__(self) -> str:
        return f"<AnswerTimes kinds={len(self._heads)}>"

    def hedge_delay(self, kind: str) -> float:
        """Return the time after which an answer is later than nearly all of its kind, in seconds."""
        times = self._heads.get(kind)
        return max(_HEDGE_DELAY_MIN, times.tail) if times is not None else _HEDGE_DELAY_FIRST

    def body_late_after(self, kind: str) -> float:
        """Return the time from an answer's head to its last byte that hardly one of its kind exceeds, in seconds."""
        times = self._bodies.get(kind)
        return times.tail if times is not None else 0.0

    def note(self, kind: str, taken: float) -> float:
        """Note the time to an answer's head, in seconds; returns it as a part of the mean of its kind before."""
        times = self._heads.get(kind)
        if times is None:
            if len(self._heads) >= _MAX_KINDS:
                self._heads.clear()
            times = self._heads[kind] = MovingTime(taken, SMOOTHING, _TIME_MIN)
        ratio = taken / times.mean
        times.note(taken)
        return ratio

    def note_body(self, kind: str, taken: float) -> None:
        """Note the time from an answer's head to its last byte, in seconds."""
        times = self._bodies.get(kind)
        if times is not None:
            times.note(taken)
        elif taken:
            if len(self._bodies) >= _MAX_KINDS:
                self._bodies.clear()
            self._bodies[kind] = MovingTime(taken, SMOOTHING)

    def silence_limit(self, now: float) -> float:
        """Return the silence, in seconds, that no kind of request explains."""
        if now >= self._limit_until:
            self._limit_until = now + _LIMIT_KEPT
            tails = [times.tail for times in self._heads.values()]
            self._limit = max(_HEDGE_DELAY_MIN, *tails) if tails else _HEDGE_DELAY_FIRST
        return self._limit
