# SPDX-License-Identifier: BSD-3-Clause
"""A moving average with its mean deviation: what is known of times that vary."""

__all__ = ["TAIL_DEVIATIONS", "MovingTime"]

# Mean deviations above the mean that a few in a hundred of times with a long tail
# exceed; what takes longer counts as late. Has no unit.
TAIL_DEVIATIONS = 4.0


class MovingTime:
    """Moving averages of a time, in seconds.

    Parameters
    ----------
    first : float
        The first time seen.
    smoothing : float
        Weight of the newest one, 0 to 1.
    least : float
        Least mean, so that ratios of it have a meaning.
    """

    __slots__ = ("_least", "_smoothing", "deviation", "mean")

    def __init__(self, first: float, smoothing: float, least: float = 0.0):
        self._smoothing = smoothing
        self._least = least
        self.mean = max(first, least)
        self.deviation = self.mean / 2

    def __repr__(self) -> str:
        return f"<MovingTime mean={self.mean:.4f} deviation={self.deviation:.4f}>"

    @property
    def upper(self) -> float:
        """A time that most do not exceed."""
        return self.mean + self.deviation

    @property
    def tail(self) -> float:
        """The time that a few in a hundred exceed."""
        return self.mean + TAIL_DEVIATIONS * self.deviation

    def note(self, taken: float) -> None:
        """Note another time."""
        deviation = abs(taken - self.mean)
        self.mean = max(self._least, self.mean + self._smoothing * (taken - self.mean))
        self.deviation += self._smoothing * (deviation - self.deviation)
