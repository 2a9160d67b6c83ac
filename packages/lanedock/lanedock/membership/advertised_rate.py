# SPDX-License-Identifier: BSD-3-Clause
"""The rate limit that an application advertises in its answers, as its own daemon holds it."""

__all__ = ["AdvertisedRate"]

# Seconds without an answer that states the limit, and answers that lack it meanwhile, after
# which it is over: answers that crossed a newer one, and odd ones, don't end it.
_ENDS_AFTER = 1.0
_ENDS_AFTER_ANSWERS = 2
# Change of the rate, as a part of it, that the mesh learns; the daemon itself keeps the exact one.
_NEWS = 0.1


class AdvertisedRate:
    """The rate limit of one incarnation of an application. Pure.

    It holds as long as the application states it. Kept too long it costs little, for callers
    go elsewhere; dropped too early it lets the application be flooded.

    Attributes
    ----------
    rate : float or None
        Requests a second that the application takes from all callers together; None for any number.
    """

    __slots__ = ("_is_heard", "_lacking", "_published", "_stated_at", "rate")

    def __init__(self):
        self.rate: float | None = None
        self._published: float | None = None
        self._stated_at = float("-inf")
        self._lacking = 0
        self._is_heard = False

    def __repr__(self) -> str:
        return f"<AdvertisedRate {self.rate}>"

    def note(self, rate: float | None, now: float) -> bool:
        """Note what an answer states; returns whether the limit has changed.

        Parameters
        ----------
        rate : float or None
            None where the answer states none.
        now : float
            Seconds, of any steady clock.
        """
        if rate is not None:
            self._stated_at = now
            self._lacking = 0
        else:
            self._lacking += 1
            # A health check alone, right after the daemon's start, may lack what answers state.
            if self._lacking < _ENDS_AFTER_ANSWERS or now - self._stated_at < _ENDS_AFTER:
                return False
        self._is_heard = True
        is_changed, self.rate = rate != self.rate, rate
        return is_changed

    def note_unreadable(self, now: float) -> None:
        """Note an answer that states a limit which can't be read: the one that is held stays."""
        self._is_heard = True
        self._stated_at = now
        self._lacking = 0

    def adopt(self, rate: float | None, now: float) -> bool:
        """Take over what the mesh knows, until an answer states it; returns whether the limit has changed."""
        if self._is_heard or rate == self.rate:
            return False
        self.rate = self._published = rate
        self._stated_at = now
        return True

    def take_news(self) -> bool:
        """Tell whether the mesh is to learn of a change since this was last true."""
        if not self._is_news():
            return False
        self._published = self.rate
        return True

    def _is_news(self) -> bool:
        if self.rate is None or self._published is None:
            return self.rate is not self._published
        return abs(self.rate - self._published) > _NEWS * self._published

    @property
    def published(self) -> float | None:
        """The limit as the mesh learns it."""
        return self._published
