# SPDX-License-Identifier: BSD-3-Clause
"""Moving averages: of durations and of their mean deviation, and of any value by kind."""

__all__ = ["TAIL_DEVIATIONS", "MeansByKind", "MovingTime"]

# Number of mean deviations above the mean beyond which a duration counts as late. In a
# long-tailed distribution a few percent of the durations exceed it.
TAIL_DEVIATIONS = 4.0


class MovingTime:
    """Exponential moving averages of a duration and of its deviation from the mean.

    Parameters
    ----------
    first : float
        First duration observed, in seconds.
    smoothing : float
        Weight of the newest duration, 0 to 1.
    least : float
        Lower bound of the mean, in seconds, so that ratios to the mean stay meaningful.

    Attributes
    ----------
    mean, deviation : float
        Moving averages of the duration and of its absolute deviation, in seconds.
    """

    __slots__ = ("_min_mean", "_smoothing", "deviation", "mean")

    def __init__(self, first: float, smoothing: float, least: float = 0.0):
        self._smoothing = smoothing
        self._min_mean = least
        self.mean = max(first, least)
        self.deviation = self.mean / 2

    def __repr__(self) -> str:
        return f"<MovingTime mean={self.mean:.4f} deviation={self.deviation:.4f}>"

    @property
    def upper(self) -> float:
        """Duration that most observations do not exceed, in seconds."""
        return self.mean + self.deviation

    @property
    def tail(self) -> float:
        """Duration that only a few percent of the observations exceed, in seconds."""
        return self.mean + TAIL_DEVIATIONS * self.deviation

    def note(self, duration: float) -> None:
        """Add an observed duration, in seconds, to the averages."""
        deviation = abs(duration - self.mean)
        self.mean = max(self._min_mean, self.mean + self._smoothing * (duration - self.mean))
        self.deviation += self._smoothing * (deviation - self.deviation)


class MeansByKind:
    """Exponential moving averages of a value, one for each kind of request.

    Parameters
    ----------
    smoothing : float
        Weight of the newest value, 0 to 1.
    max_kinds : int
        Kinds that are kept; bounds memory.
    """

    __slots__ = ("_max_kinds", "_means", "_smoothing")

    def __init__(self, smoothing: float, max_kinds: int = 1024):
        self._smoothing = smoothing
        self._max_kinds = max_kinds
        self._means: dict[str, float] = {}

    def __repr__(self) -> str:
        return f"<MeansByKind kinds={len(self._means)}>"

    def get(self, kind: str) -> float | None:
        """Return the mean of a kind; None if none of its values is known."""
        return self._means.get(kind)

    def note(self, kind: str, value: float, first_mean: float | None = None) -> None:
        """Add a value; the mean before the first one is `first_mean`, or that value if left out."""
        mean = self._means.get(kind)
        if mean is None:
            if len(self._means) >= self._max_kinds:
                self._means.clear()
            mean = value if first_mean is None else first_mean
        self._means[kind] = mean + self._smoothing * (value - mean)
