# SPDX-License-Identifier: BSD-3-Clause
"""Rate limit that an application advertises in its answers, as tracked by its own daemon."""

__all__ = ["AdvertisedRate"]

# The limit ends after this many seconds without an answer that states it, if at least this many
# answers have lacked it since. Single answers without it, or answers that arrive out of order, do not end it.
_EXPIRY_SECONDS = 1.0
_EXPIRY_ANSWERS = 2
# Relative change of the rate above which it is published to the mesh; the daemon itself uses the exact rate.
_PUBLISH_THRESHOLD = 0.1


class AdvertisedRate:
    """Rate limit of one incarnation of an application.

    Performs no I/O and reads no clock. The limit applies as long as the application keeps
    stating it. A limit that is kept too long costs little, because callers use other instances;
    a limit that is dropped too early lets callers overload the application.

    Attributes
    ----------
    rate : float or None
        Requests per second that the application accepts from all callers together; None for no limit.
    """

    __slots__ = ("_answers_without_rate", "_has_answered", "_published", "_stated_at", "rate")

    def __init__(self):
        self.rate: float | None = None
        self._published: float | None = None
        self._stated_at = float("-inf")
        self._answers_without_rate = 0
        self._has_answered = False

    def __repr__(self) -> str:
        return f"<AdvertisedRate {self.rate}>"

    def note(self, rate: float | None, now: float) -> bool:
        """Record the rate limit in an answer.

        Parameters
        ----------
        rate : float or None
            Requests per second; None if the answer states no limit.
        now : float
            Seconds of a monotonic clock.

        Returns
        -------
        bool
            Whether the limit has changed.
        """
        if rate is not None:
            self._stated_at = now
            self._answers_without_rate = 0
        else:
            self._answers_without_rate += 1
            # The answer to a health check right after the daemon's start may lack the limit that
            # answers to requests state.
            if self._answers_without_rate < _EXPIRY_ANSWERS or now - self._stated_at < _EXPIRY_SECONDS:
                return False
        self._has_answered = True
        is_changed, self.rate = rate != self.rate, rate
        return is_changed

    def note_unreadable(self, now: float) -> None:
        """Record an answer whose rate limit cannot be parsed, and keep the current limit."""
        self._has_answered = True
        self._stated_at = now
        self._answers_without_rate = 0

    def adopt(self, rate: float | None, now: float) -> bool:
        """Use the limit published in the mesh unless an answer has set or ended it; return whether it has changed."""
        if self._has_answered or rate == self.rate:
            return False
        self.rate = self._published = rate
        self._stated_at = now
        return True

    def mark_published_if_changed(self) -> bool:
        """Mark the limit as published if a change has to be published; return whether it has."""
        if not self._differs_from_published():
            return False
        self._published = self.rate
        return True

    def _differs_from_published(self) -> bool:
        if self.rate is None or self._published is None:
            return self.rate is not self._published
        return abs(self.rate - self._published) > _PUBLISH_THRESHOLD * self._published

    @property
    def published(self) -> float | None:
        """The limit that was last published to the mesh, in requests per second."""
        return self._published
