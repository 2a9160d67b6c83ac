# SPDX-License-Identifier: BSD-3-Clause
"""Times at which a caller may send requests to an upstream that limits their rate."""

__all__ = ["SendTimes"]

# Seconds after the last send time at which the limit expires. The answer that announces its end may
# have been lost, and nothing else would end it.
_LIMIT_EXPIRY = 1.0
# Upper bound of stored send times; a caller never has more requests in progress at one upstream.
_MAX_SEND_TIMES = 64


class SendTimes:
    """Send times that an upstream's daemon has assigned to one caller.

    A send time is a time from which the caller may send one request. Each answer carries either
    a send time or the information that the upstream does not limit the rate. Does no I/O and reads
    no clock.

    Attributes
    ----------
    limited_until : float
        Monotonic time, in seconds, from which any request may be sent if no further answer
        arrives.
    """

    __slots__ = ("_times", "limited_until")

    def __init__(self):
        self._times: list[float] = []
        self.limited_until = float("-inf")

    def __repr__(self) -> str:
        return f"<SendTimes {len(self._times)}>"

    def is_open(self, now: float) -> bool:
        """Return whether a request may be sent now."""
        return now >= self.limited_until or bool(self._times and self._times[0] <= now)

    def next_at(self) -> float:
        """Return the monotonic time, in seconds, from which the next request may be sent."""
        return self._times[0] if self._times else self.limited_until

    def take(self, now: float) -> None:
        """Use up the first send time for a request that is sent."""
        if self._times and now < self.limited_until:
            del self._times[0]

    def note(self, wait: float, now: float) -> None:
        """Add the send time that an answer carries.

        Parameters
        ----------
        wait : float
            Seconds from `now` until the send time; 0 if the upstream does not limit the rate.
        now : float
            Monotonic time, in seconds.
        """
        if not wait:
            self._times = []
            self.limited_until = float("-inf")
            return
        self.limited_until = max(self.limited_until, now + wait + _LIMIT_EXPIRY)
        if len(self._times) < _MAX_SEND_TIMES:
            self._times.append(now + wait)
            self._times.sort()
