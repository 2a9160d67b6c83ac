# SPDX-License-Identifier: BSD-3-Clause
"""The rate at which an upstream's requests are let through, and when callers may ask for more."""

import math

__all__ = ["RateLimiter"]

# What may come at once after a quiet time: so many seconds' worth of the rate, and a request.
_BURST_TIME = 0.25
_BURST = 1.0
# The same where requests arrive: admitted ones may be held up, each by its body, and come together.
_ARRIVAL_BURST_TIME = 0.5
_ARRIVAL_BURST = 2.0
# Longest time to its turn that a caller is given, in seconds: it has to notice the limit's end, too.
_LONGEST_TURN = 5.0


class _TokenBucket:
    """Tokens that come at a rate, and are kept up to a burst."""

    __slots__ = ("_filled_at", "_tokens", "burst", "rate")

    def __init__(self, rate: float, burst: float, now: float):
        self.rate = rate
        self.burst = burst
        self._tokens = min(1.0, burst)
        self._filled_at = now

    def configure(self, rate: float, burst: float, now: float) -> None:
        self._fill(now)
        self.rate, self.burst = rate, burst
        self._tokens = min(self._tokens, burst)

    def _fill(self, now: float) -> None:
        self._tokens = min(self.burst, self._tokens + self.rate * max(0.0, now - self._filled_at))
        self._filled_at = max(now, self._filled_at)

    def wait(self, now: float, ahead: int = 0) -> float:
        """Return the seconds until there is a token behind so many others; 0 where there is."""
        self._fill(now)
        lacking = 1 + ahead - self._tokens
        # A sum of many small parts may lack a token by a rounding error.
        if lacking <= 1e-9:
            return 0.0
        return lacking / self.rate if self.rate else math.inf

    def add(self, tokens: float) -> None:
        self._tokens = min(self.burst, self._tokens + tokens)


class RateLimiter:
    """Lets requests through at a rate that may change, or be unlimited. Pure.

    A request takes a token as it is admitted. Once its body is at hand it may have to wait
    again, briefly, where several were held up and would arrive together.

    Callers learn with their answers when it is their turn: consecutive ones, at the rate at
    which tokens come. So they go elsewhere meanwhile, and together ask for hardly more than
    there is, however many they are.

    Attributes
    ----------
    rate : float or None
        Requests a second; None for any number.
    """

    def __init__(self):
        self.rate: float | None = None
        self._admitted: _TokenBucket | None = None
        self._arrived: _TokenBucket | None = None
        self._turn_at = float("-inf")

    def __repr__(self) -> str:
        return f"<RateLimiter {self.rate}>"

    @property
    def is_limited(self) -> bool:
        """Whether there is a limit."""
        return self.rate is not None

    def configure(self, rate: float | None, now: float) -> None:
        """Take over another rate, requests a second; None for no limit."""
        if rate == self.rate:
            return
        self.rate = rate
        if rate is None:
            self._admitted = self._arrived = None
            self._turn_at = float("-inf")
            return
        admitted = (rate, _BURST + _BURST_TIME * rate, now)
        arrived = (rate, _ARRIVAL_BURST + _ARRIVAL_BURST_TIME * rate, now)
        if self._admitted is None:
            self._admitted, self._arrived = _TokenBucket(*admitted), _TokenBucket(*arrived)
        else:
            self._admitted.configure(*admitted)
            self._arrived.configure(*arrived)
        # Turns that were given at a former rate are no measure of this one.
        self._turn_at = now

    def wait(self, now: float, ahead: int = 0) -> float:
        """Return the seconds until a request may be admitted behind so many others; 0 where it may."""
        return 0.0 if self._admitted is None else self._admitted.wait(now, ahead)

    def admit(self) -> None:
        """Note that a request is admitted."""
        if self._admitted is not None:
            self._admitted.add(-1.0)

    def give_back(self) -> None:
        """Note that an admitted request won't arrive."""
        if self._admitted is not None:
            self._admitted.add(1.0)

    def arrive(self, now: float) -> float:
        """Note that a request arrives, where it may; returns the seconds for which it has to wait, else 0."""
        if self._arrived is None:
            return 0.0
        wait = self._arrived.wait(now)
        if not wait:
            self._arrived.add(-1.0)
        return wait

    def next_turn(self, now: float, queued: int) -> float:
        """Give a caller its turn.

        Parameters
        ----------
        now : float
            Monotonic, seconds.
        queued : int
            Requests that wait already.

        Returns
        -------
        float
            Seconds until its next request is worth sending; 0 where any is.
        """
        if self._admitted is None:
            return 0.0
        free_at = now + min(self._admitted.wait(now, queued), _LONGEST_TURN)
        turn_at = max(free_at, self._turn_at)
        if turn_at <= now:
            return 0.0
        self._turn_at = min(turn_at + 1 / self.rate, now + _LONGEST_TURN) if self.rate else turn_at
        return turn_at - now
