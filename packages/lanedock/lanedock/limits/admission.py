# SPDX-License-Identifier: BSD-3-Clause
"""Admission at a steady rate, which gives a retry delay."""

__all__ = ["Admission"]


class Admission:
    """A token bucket that returns a retry delay to those it refuses.

    Those refused are given consecutive turns, at the rate at which tokens come,
    so that a storm of reconnects is spread out instead of retried all at once.
    A turn is no token: whoever comes finds one, or is given another turn.

    Parameters
    ----------
    rate : float
        Admissions a second.
    burst : int
        Admissions at once after a quiet time.
    """

    __slots__ = ("_asked_at", "_burst", "_rate", "_tokens", "_turn_at")

    def __init__(self, rate: float, burst: int):
        self._rate = rate
        self._burst = burst
        self._tokens = float(burst)
        self._asked_at = float("-inf")
        self._turn_at = float("-inf")

    def __repr__(self) -> str:
        return f"<Admission rate={self._rate} tokens={self._tokens:.1f}/{self._burst}>"

    def ask(self, now: float) -> float:
        """Ask for admission.

        Returns
        -------
        float
            0 where admitted, else seconds until it is worth asking again.
        """
        self._tokens = min(self._burst, self._tokens + (now - self._asked_at) * self._rate)
        self._asked_at = now
        if self._tokens >= 1:
            self._tokens -= 1
            return 0.0
        self._turn_at = max(self._turn_at, now) + 1 / self._rate
        return self._turn_at - now
