# SPDX-License-Identifier: BSD-3-Clause
"""The rate limit on an upstream's requests, and the times at which callers may send more."""

import math

__all__ = ["RateLimiter"]

# Burst that may be admitted after an idle time: the tokens of this time, in seconds, and one request.
_BURST_TIME = 0.25
_BURST_TOKENS = 1.0
# The same for arrivals; larger, as admitted requests may be delayed by their bodies and then arrive together.
_ARRIVAL_BURST_TIME = 0.5
_ARRIVAL_BURST_TOKENS = 2.0
# Longest delay until a caller's send time, in seconds, so that callers notice soon when a limit ends.
_MAX_SEND_DELAY = 5.0


class _TokenBucket:
    """Tokens that are added at a rate, in tokens per second, up to a burst."""

    __slots__ = ("_refilled_at", "_tokens", "burst", "rate")

    def __init__(self, rate: float, burst: float, now: float):
        self.rate = rate
        self.burst = burst
        self._tokens = min(1.0, burst)
        self._refilled_at = now

    def configure(self, rate: float, burst: float, now: float) -> None:
        self._refill(now)
        self.rate, self.burst = rate, burst
        self._tokens = min(self._tokens, burst)

    def _refill(self, now: float) -> None:
        self._tokens = min(self.burst, self._tokens + self.rate * max(0.0, now - self._refilled_at))
        self._refilled_at = max(now, self._refilled_at)

    def wait(self, now: float, ahead: int = 0) -> float:
        """Return the seconds until a token is free, after `ahead` other requests took theirs; 0 if one is."""
        self._refill(now)
        lacking = 1 + ahead - self._tokens
        # A sum of many small refills may be short of a token by a rounding error.
        if lacking <= 1e-9:
            return 0.0
        return lacking / self.rate if self.rate else math.inf

    def add(self, tokens: float) -> None:
        self._tokens = min(self.burst, self._tokens + tokens)


class RateLimiter:
    """Admits requests at a rate that may change, or without a limit.

    Does no I/O and reads no clock.

    A request takes a token when it is admitted. Once its body is available it may have to
    wait again, briefly, if several requests were delayed and would arrive together.

    Answers tell callers when their next send time is. Send times are consecutive, at the rate at
    which tokens are added. Until its send time a caller sends requests to other instances, so
    that all callers together, however many, hardly exceed the limit.

    Attributes
    ----------
    rate : float or None
        Requests per second; None for no limit.
    """

    def __init__(self):
        self.rate: float | None = None
        self._admission_bucket: _TokenBucket | None = None
        self._arrival_bucket: _TokenBucket | None = None
        self._send_at = float("-inf")

    def __repr__(self) -> str:
        return f"<RateLimiter {self.rate}>"

    @property
    def is_limited(self) -> bool:
        """Whether there is a limit."""
        return self.rate is not None

    def configure(self, rate: float | None, now: float) -> None:
        """Apply another rate, in requests per second; None for no limit."""
        if rate == self.rate:
            return
        self.rate = rate
        if rate is None:
            self._admission_bucket = self._arrival_bucket = None
            self._send_at = float("-inf")
            return
        admission = (rate, _BURST_TOKENS + _BURST_TIME * rate, now)
        arrival = (rate, _ARRIVAL_BURST_TOKENS + _ARRIVAL_BURST_TIME * rate, now)
        if self._admission_bucket is None:
            self._admission_bucket, self._arrival_bucket = _TokenBucket(*admission), _TokenBucket(*arrival)
        else:
            self._admission_bucket.configure(*admission)
            self._arrival_bucket.configure(*arrival)
        # Send times assigned at the former rate don't delay those at this rate.
        self._send_at = now

    def wait(self, now: float, ahead: int = 0) -> float:
        """Return the seconds until a request may be admitted after `ahead` others; 0 if it may be now."""
        return 0.0 if self._admission_bucket is None else self._admission_bucket.wait(now, ahead)

    def admit(self) -> None:
        """Take a token for a request that is admitted."""
        if self._admission_bucket is not None:
            self._admission_bucket.add(-1.0)

    def refund(self) -> None:
        """Return the token of an admitted request that won't arrive."""
        if self._admission_bucket is not None:
            self._admission_bucket.add(1.0)

    def arrive(self, now: float) -> float:
        """Let an admitted request arrive, if it may; else return the seconds for which it has to wait.

        Returns
        -------
        float
            0 if the request arrives now.
        """
        if self._arrival_bucket is None:
            return 0.0
        wait = self._arrival_bucket.wait(now)
        if not wait:
            self._arrival_bucket.add(-1.0)
        return wait

    def next_send_delay(self, now: float, queued: int) -> float:
        """Reserve the time of a caller's next request under the rate limit, and return the wait until then.

        Parameters
        ----------
        now : float
            Monotonic, seconds.
        queued : int
            Requests that wait already.

        Returns
        -------
        float
            Seconds until the caller may send its next request; 0 if it may do so at once.
        """
        if self._admission_bucket is None:
            return 0.0
        free_at = now + min(self._admission_bucket.wait(now, queued), _MAX_SEND_DELAY)
        send_at = max(free_at, self._send_at)
        if send_at <= now:
            return 0.0
        self._send_at = min(send_at + 1 / self.rate, now + _MAX_SEND_DELAY) if self.rate else send_at
        return send_at - now
