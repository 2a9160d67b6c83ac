# SPDX-License-Identifier: BSD-3-Clause
"""Log events about quotas that are reached, bounded in number. Reads no clock."""

from lanedock.telemetry import Event, EventLogger

__all__ = ["QuotaPressure"]

# Minimum number of seconds between two events of one customer.
EVENT_INTERVAL = 1.0


class _Reached:
    """A quota that is reached, or was within the last `EVENT_INTERVAL`."""

    __slots__ = ("began_at", "calm_at", "is_reached")

    def __init__(self, now: float):
        self.began_at = now
        self.calm_at = now
        self.is_reached = True


class QuotaPressure:
    """Logs when a customer's quota is reached, and when it no longer is.

    Parameters
    ----------
    events : EventLogger
    """

    def __init__(self, events: EventLogger):
        self._events = events
        self._customers: dict[str, _Reached] = {}

    def __repr__(self) -> str:
        return f"<QuotaPressure customers={len(self._customers)}>"

    def note_refused(self, customer: str, retry_after: float, now: float, **limit: float) -> None:
        """Record that fewer credits were granted than needed.

        Daemons don't ask again for `retry_after` seconds, so that a quota counts as reached
        for as long, and for `EVENT_INTERVAL` more.
        """
        reached = self._customers.get(customer)
        if reached is None:
            reached = self._customers[customer] = _Reached(now)
            self._events.emit(Event.QUOTA_REACHED, customer=customer, **limit)
        elif not reached.is_reached:
            return
        reached.calm_at = max(reached.calm_at, now + retry_after + EVENT_INTERVAL)

    def expire(self, now: float) -> None:
        """Log the quotas that are no longer reached."""
        for customer, reached in list(self._customers.items()):
            if now < reached.calm_at:
                continue
            if reached.is_reached:
                # Kept for a further interval, in which the customer has no event.
                reached.is_reached = False
                reached.calm_at = now + EVENT_INTERVAL
                self._events.emit(Event.QUOTA_FREE, customer=customer, for_s=round(now - reached.began_at, 1))
            else:
                del self._customers[customer]

    def clear(self) -> None:
        """Forget all customers without events: this instance no longer grants credits."""
        self._customers = {}
