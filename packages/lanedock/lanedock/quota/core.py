# SPDX-License-Identifier: BSD-3-Clause
"""A customer's limit, and the token bucket from which its credits are granted."""

import math

__all__ = ["Quota", "TokenBucket"]

# Smallest capacity of a bucket: one credit and those of this time, in seconds. Without it a customer with a
# small burst could not use its rate, as the bucket would overflow between the messages of its daemons.
_MIN_CAPACITY_CREDITS = 1.0
_MIN_CAPACITY_TIME = 0.05
# A sum of many small refills may be short of a token by a rounding error.
_ROUNDING = 1e-9


class Quota:
    """A customer's limit.

    Parameters
    ----------
    rate : float
        Requests per second, above 0.
    burst : float
        Requests above the rate.
    """

    __slots__ = ("burst", "rate")

    def __init__(self, rate: float, burst: float):
        self.rate = rate
        self.burst = burst

    def __repr__(self) -> str:
        return f"<Quota rate={self.rate:g} burst={self.burst:g}>"

    def __eq__(self, other) -> bool:
        return isinstance(other, Quota) and (self.rate, self.burst) == (other.rate, other.burst)

    __hash__ = None

    def capacity(self, part: float = 1.0) -> float:
        """Return the capacity, in credits, of the bucket of an instance that grants this part of the quota."""
        whole = max(self.burst, _MIN_CAPACITY_CREDITS + _MIN_CAPACITY_TIME * self.rate)
        return max(_MIN_CAPACITY_CREDITS, whole * part)

    def admitted(self, seconds: float) -> float:
        """Return the number of requests that the limit allows in this time."""
        return self.rate * seconds + self.burst


class TokenBucket:
    """Tokens that are added at a rate, up to a capacity. Empty at first.

    Parameters
    ----------
    rate : float
        Tokens per second.
    capacity : float
        Most tokens that it holds.
    now : float
        Monotonic, seconds.
    """

    __slots__ = ("_refilled_at", "_tokens", "capacity", "rate")

    def __init__(self, rate: float, capacity: float, now: float):
        self.rate = rate
        self.capacity = capacity
        self._tokens = 0.0
        self._refilled_at = now

    def __repr__(self) -> str:
        return f"<TokenBucket rate={self.rate:g} capacity={self.capacity:g} tokens={self._tokens:.2f}>"

    def configure(self, rate: float, capacity: float, now: float) -> None:
        """Apply another rate and capacity.

        The time since the last refill counts at the lower of both rates, because the change may
        have been due at any moment of that time.
        """
        self.rate = min(rate, self.rate)
        self._refill(now)
        self.rate, self.capacity = rate, capacity
        self._tokens = min(self._tokens, capacity)

    def clear(self, now: float) -> None:
        """Remove all tokens."""
        self._tokens = 0.0
        self._refilled_at = now

    def _refill(self, now: float) -> None:
        self._tokens = min(self.capacity, self._tokens + self.rate * max(0.0, now - self._refilled_at))
        self._refilled_at = max(now, self._refilled_at)

    def available(self, now: float) -> int:
        """Return the number of whole tokens."""
        self._refill(now)
        return int(self._tokens + _ROUNDING)

    def take(self, tokens: int) -> None:
        """Take tokens that are available."""
        self._tokens = max(0.0, self._tokens - tokens)

    def put_back(self, tokens: int, now: float) -> None:
        """Return tokens that were taken and not used."""
        self._refill(now)
        self._tokens = min(self.capacity, self._tokens + tokens)

    def wait(self, now: float) -> float:
        """Return the seconds until a whole token is available; 0 if one is."""
        self._refill(now)
        lacking = 1 - self._tokens
        if lacking <= _ROUNDING:
            return 0.0
        return lacking / self.rate if self.rate > 0 else math.inf
