# SPDX-License-Identifier: BSD-3-Clause
"""Moving averages of durations and of their mean deviation."""

__all__ = ["TAIL_DEVIATIONS", "MovingTime"]

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
