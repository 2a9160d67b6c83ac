# SPDX-License-Identifier: BSD-3-Clause
"""Admission at a steady rate, with a told time to come back."""

__all__ = ["Admission"]


class Admission:
    """A token bucket that tells the refused when their turn is.

    Those refused are given consecutive turns, so that a storm of reconnects
    comes back spread out instead of all at once.

    Parameters
    ----------
    rate : float
        Admissions a second.
    burst : int
        Admissions at once after a quiet time.
    """

    __slots__ = ("_burst", "_rate", "_turn_at")

    def __init__(self, rate: float, burst: int):
        self._rate = rate
        self._burst = burst
        self._turn_at = float("-inf")

    def __repr__(self) -> str:
        return f"<Admission rate={self._rate} burst={self._burst}>"

    def ask(self, now: float) -> float:
        """Ask for admission.

        Returns
        -------
        float
            0 where admitted, else seconds until it is worth asking again.
        """
        earliest = now - self._burst / self._rate
        turn_at = max(self._turn_at, earliest) + 1 / self._rate
        self._turn_at = turn_at
        if turn_at <= now:
            return 0.0
        return turn_at - now
