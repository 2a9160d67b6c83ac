# SPDX-License-Identifier: BSD-3-Clause
"""Times for which requests hold a slot, by traffic class and by kind."""

from lanedock.averages import MovingTime
from lanedock.limits.pace import StatedPace

__all__ = ["ServiceTimes"]

# Weight of the newest time in the moving averages: they follow a change, such as when an
# application that has just started becomes faster, within ten requests.
_SMOOTHING = 0.1
# Weight of the newest time in the usual mean. Callers compare upstreams by it, and with the weight above
# it would vary by a tenth from chance alone.
_USUAL_SMOOTHING = 0.02
# Tail assumed for a kind of which no request has ended, in seconds.
_DEFAULT_TAIL = 0.5
# Kinds of requests whose times are kept, to bound the memory used.
_MAX_KINDS = 1024


class ServiceTimes:
    """Moving averages of the service time: the time for which a request holds a slot.

    Where the application states its pace, the averages are those at its usual pace, and the times
    returned are those at the present one. Does no I/O and reads no clock.

    Attributes
    ----------
    pace : StatedPace
    usual_mean : float
        Mean over many requests at the application's usual pace, in seconds; 0 before any has ended.
    """

    def __init__(self):
        self.pace = StatedPace()
        self.usual_mean = 0.0
        self._count = 0
        self._mean: float | None = None
        self._classes: dict[str, float] = {}
        self._kinds: dict[str, MovingTime] = {}

    def __repr__(self) -> str:
        return f"<ServiceTimes mean={self.mean} kinds={len(self._kinds)}>"

    def note(self, traffic_class: str, kind: str, duration: float) -> None:
        """Record the time for which a request held its slot, in seconds."""
        self.pace.note(kind, duration)
        duration /= self.pace.factor
        self._count += 1
        self.usual_mean += max(_USUAL_SMOOTHING, 1 / self._count) * (duration - self.usual_mean)
        if self._mean is None:
            self._mean = duration
        self._mean += _SMOOTHING * (duration - self._mean)
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

    @property
    def mean(self) -> float | None:
        """Mean over all requests, in seconds; None before any has ended."""
        return None if self._mean is None else self._mean * self.pace.factor

    def class_mean(self, traffic_class: str) -> float:
        """Return the mean service time of a class, in seconds; 0 if none of its requests has ended."""
        return self._classes.get(traffic_class, 0.0) * self.pace.factor

    def tail(self, kind: str) -> float:
        """Return the service time that a few percent of a kind's requests exceed, in seconds."""
        known = self._kinds.get(kind)
        return _DEFAULT_TAIL if known is None else known.tail * self.pace.factor

    def kind_mean(self, kind: str) -> float | None:
        """Return the mean service time of a kind, in seconds.

        For an unknown kind it is the mean over all requests, and None before any has ended.
        """
        known = self._kinds.get(kind)
        return self.mean if known is None else known.mean * self.pace.factor

    def upper(self, kind: str) -> float | None:
        """Return a service time that most requests of a kind don't exceed, in seconds.

        For an unknown kind it is the mean over all requests, and None before any has ended.
        """
        known = self._kinds.get(kind)
        return self.mean if known is None else known.upper * self.pace.factor
