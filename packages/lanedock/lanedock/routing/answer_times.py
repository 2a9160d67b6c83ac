# SPDX-License-Identifier: BSD-3-Clause
"""Answer times of one service, by kind of request."""

from lanedock.averages import MovingTime

__all__ = ["SMOOTHING", "AnswerTimes"]

# Weight of the newest answer in the moving averages, 0 to 1.
SMOOTHING = 0.05
# Lower bound of the time after which an answer counts as late, and that time before the first
# answer, in seconds.
_HEDGE_DELAY_MIN = 0.05
_HEDGE_DELAY_DEFAULT = 0.5
# Lower bound of the mean answer time, in seconds, so that ratios to the mean stay meaningful.
_MEAN_MIN = 0.001
# Kinds of requests whose times are stored; bounds memory.
_MAX_KINDS = 1024
# Seconds for which the computed silence limit is cached: computing it goes over all kinds of
# requests.
_SILENCE_LIMIT_EXPIRY = 0.1


class AnswerTimes:
    """Moving averages of the time to an answer's head and from there to its last byte.

    Does no I/O and reads no clock.
    """

    def __init__(self):
        self._heads: dict[str, MovingTime] = {}
        self._bodies: dict[str, MovingTime] = {}
        self._silence_limit = _HEDGE_DELAY_DEFAULT
        self._silence_limit_until = float("-inf")

    def __repr__(self) -> str:
        return f"<AnswerTimes kinds={len(self._heads)}>"

    def hedge_delay(self, kind: str) -> float:
        """Return the time after which an answer to this kind of request counts as late, in seconds."""
        times = self._heads.get(kind)
        return max(_HEDGE_DELAY_MIN, times.tail) if times is not None else _HEDGE_DELAY_DEFAULT

    def body_late_delay(self, kind: str) -> float:
        """Return the time after an answer's head from which its body counts as late, in seconds."""
        times = self._bodies.get(kind)
        return times.tail if times is not None else 0.0

    def note(self, kind: str, taken: float) -> float:
        """Add a time to an answer's head, in seconds; return its ratio to the previous mean of its kind."""
        times = self._heads.get(kind)
        if times is None:
            if len(self._heads) >= _MAX_KINDS:
                self._heads.clear()
            times = self._heads[kind] = MovingTime(taken, SMOOTHING, _MEAN_MIN)
        ratio = taken / times.mean
        times.note(taken)
        return ratio

    def note_body(self, kind: str, taken: float) -> None:
        """Add a time from an answer's head to its last byte, in seconds."""
        times = self._bodies.get(kind)
        if times is not None:
            times.note(taken)
        elif taken:
            if len(self._bodies) >= _MAX_KINDS:
                self._bodies.clear()
            self._bodies[kind] = MovingTime(taken, SMOOTHING)

    def silence_limit(self, now: float) -> float:
        """Return the silence, in seconds, that exceeds the usual answer time of every kind of request."""
        if now >= self._silence_limit_until:
            self._silence_limit_until = now + _SILENCE_LIMIT_EXPIRY
            tails = [times.tail for times in self._heads.values()]
            self._silence_limit = max(_HEDGE_DELAY_MIN, *tails) if tails else _HEDGE_DELAY_DEFAULT
        return self._silence_limit
