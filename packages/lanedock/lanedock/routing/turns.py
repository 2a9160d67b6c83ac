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

    Attributes
    ----------
    limited_until : float
        Monotonic, seconds: when any request may be sent, where nothing more is heard.
    """

    __slots__ = ("_times", "limited_until")

    def __init__(self):
        self._times: list[float] = []
        self.limited_until = float("-inf")

    def __repr__(self) -> str:
        return f"<Turns {len(self._times)}>"

    def is_open(self, now: float) -> bool:
        """Tell whether a request may be sent."""
        return now >= self.limited_until or bool(self._times and self._times[0] <= now)

    def next_at(self) -> float:
        """Return when the next request may be sent, monotonic seconds."""
        return self._times[0] if self._times else self.limited_until

    def take(self, now: float) -> None:
        """Note that a request is sent."""
        if self._times and now < self.limited_until:
            del self._times[0]

    def note(self, wait: float, now: float) -> None:
        """Note the turn that an answer brings, in seconds from now; 0 where any request may come."""
        if not wait:
            self._times = []
            self.limited_until = float("-inf")
            return
        self.limited_until = max(self.limited_until, now + wait + _KEPT)
        if len(self._times) < _MAX_TURNS:
            self._times.append(now + wait)
            self._times.sort()
