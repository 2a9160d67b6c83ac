# SPDX-License-Identifier: BSD-3-Clause
"""When a caller may send requests to an upstream that limits their rate."""

__all__ = ["Turns"]

# Seconds after its last turn after which an upstream counts as free again: where answers
# were lost nothing else would tell.
_KEPT = 1.0
# Turns that are kept; more requests than these aren't in progress at one upstream.
_MAX_TURNS = 64


class Turns:
    """The turns that an upstream's daemon has given one caller. Pure.

    Each answer brings one, for one request, or the word that any request may come.
    """

    __slots__ = ("_limited_until", "_times")

    def __init__(self):
        self._times: list[float] = []
        self._limited_until = float("-inf")

    def __repr__(self) -> str:
        return f"<Turns {len(self._times)}>"

    def is_open(self, now: float) -> bool:
        """Tell whether a request may be sent."""
        return now >= self._limited_until or bool(self._times and self._times[0] <= now)

    def next_at(self) -> float:
        """Return when the next request may be sent, monotonic seconds."""
        return self._times[0] if self._times else self._limited_until

    def take(self, now: float) -> None:
        """Note that a request is sent."""
        if self._times and now < self._limited_until:
            del self._times[0]

    def note(self, wait: float, now: float) -> None:
        """Note the turn that an answer brings, in seconds from now; 0 where any request may come."""
        if not wait:
            self._times = []
            self._limited_until = float("-inf")
            return
        self._limited_until = max(self._limited_until, now + wait + _KEPT)
        if len(self._times) < _MAX_TURNS:
            self._times.append(now + wait)
            self._times.sort()
