# SPDX-License-Identifier: BSD-3-Clause
"""How long requests hold a slot, by traffic class and by kind."""

from lanedock.averages import MovingTime

__all__ = ["ServiceTimes"]

# Weight of the newest time in the moving averages: a change of pace, such as that
# of an application that has just started, is followed within ten requests.
_SMOOTHING = 0.1
# Time assumed, before any has been seen, that hardly a request exceeds, in seconds.
_TAIL_FIRST = 0.5
# Kinds of requests whose times are kept; a bound on memory, not a tuning.
_MAX_KINDS = 1024


class ServiceTimes:
    """Moving averages of the time in a slot. Pure.

    Attributes
    ----------
    mean : float or None
        Of all requests, in seconds; None before any has ended.
    """

    def __init__(self):
        self.mean: float | None = None
        self._classes: dict[str, float] = {}
        self._kinds: dict[str, MovingTime] = {}

    def __repr__(self) -> str:
        return f"<ServiceTimes mean={self.mean} kinds={len(self._kinds)}>"

    def note(self, traffic_class: str, kind: str, duration: float) -> None:
        """Note the time that a request held its slot, in seconds."""
        if self.mean is None:
            self.mean = duration
        self.mean += _SMOOTHING * (duration - self.mean)
        known = self._classes.get(traffic_class, duration)
        self._classes[traffic_class] = known + _SMOOTHING * (duration - known)
        if kind:
            self._note_kind(kind, duration)

    def _note_kind(self, kind: str, duration: float) -> None:
        known = self._kinds.get(kind)
        if known is not None:
            known.note(duration)
            return
        if len(self._kinds) >= _MAX_KINDS:
            self._kinds.clear()
        self._kinds[kind] = MovingTime(duration, _SMOOTHING)

    def class_mean(self, traffic_class: str) -> float:
        """Return the mean time of a class's requests, in seconds; 0 where none has ended."""
        return self._classes.get(traffic_class, 0.0)

    def tail(self, kind: str) -> float:
        """Return the time that a few in a hundred requests of a kind exceed, in seconds."""
        known = self._kinds.get(kind)
        return _TAIL_FIRST if known is None else known.tail

    def typical(self, kind: str) -> float | None:
        """Return the mean time of a kind, in seconds; None where nothing is known."""
        known = self._kinds.get(kind)
        return self.mean if known is None else known.mean

    def upper(self, kind: str) -> float | None:
        """Return a time that most requests of a kind don't exceed, in seconds; None where nothing is known."""
        known = self._kinds.get(kind)
        return self.mean if known is None else known.upper
