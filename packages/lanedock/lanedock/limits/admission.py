# SPDX-License-Identifier: BSD-3-Clause
"""Admission at a limited rate, with retry delays for what is refused."""

__all__ = ["AdmissionRateLimiter"]


class AdmissionRateLimiter:
    """A token bucket that returns a retry delay with each refusal.

    Retry delays end one after another, at the rate at which tokens are added, so that a
    storm of reconnects is spread out instead of being retried all at once. A retry delay
    reserves no token: a retry may be refused again, with another delay.

    Parameters
    ----------
    rate : float
        Admissions per second.
    burst : int
        Admissions at once after an idle time.
    """

    __slots__ = ("_burst", "_last_retry_at", "_rate", "_refilled_at", "_tokens")

    def __init__(self, rate: float, burst: int):
        self._rate = rate
        self._burst = burst
        self._tokens = float(burst)
        self._refilled_at = float("-inf")
        self._last_retry_at = float("-inf")

    def __repr__(self) -> str:
        return f"<AdmissionRateLimiter rate={self._rate} tokens={self._tokens:.1f}/{self._burst}>"

    def acquire(self, now: float) -> float:
        """Ask for admission.

        Parameters
        ----------
        now : float
            Monotonic, seconds.

        Returns
        -------
        float
            0 if admitted, else the delay in seconds before the next attempt.
        """
        self._tokens = min(self._burst, self._tokens + (now - self._refilled_at) * self._rate)
        self._refilled_at = now
        if self._tokens >= 1:
            self._tokens -= 1
            return 0.0
        self._last_retry_at = max(self._last_retry_at, now) + 1 / self._rate
        return self._last_retry_at - now
