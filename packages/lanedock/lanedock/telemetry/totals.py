# SPDX-License-Identifier: BSD-3-Clause
"""Totals of all requests by route and outcome; the logs of single requests are only samples."""

from lanedock.telemetry.events import Event
from lanedock.telemetry.log import EventLogger

__all__ = ["RequestTotals"]

# Number of (side, route, outcome) entries between two reports from which further routes are
# counted together.
_MAX_ENTRIES = 256
_OTHER_ROUTES = "other"


class _OutcomeTotals:
    """Number and total times, in seconds, of the requests of one route and outcome."""

    __slots__ = ("count", "duration", "waited")

    def __init__(self):
        self.count = 0
        self.duration = 0.0
        self.waited = 0.0


class RequestTotals:
    """Counts requests between two reports.

    Both sides of the request path count: the caller's side counts the outcomes for
    callers, the upstream's side those at the upstream.
    """

    def __init__(self):
        self._entries: dict[tuple[str, str], dict[str, _OutcomeTotals]] = {}
        self._size = 0

    def __repr__(self) -> str:
        return f"<RequestTotals entries={self._size}>"

    def note(self, side: str, route: str, outcome: str, duration: float, waited: float = 0.0) -> None:
        """Count a request.

        Parameters
        ----------
        side : str
            ``caller`` or ``upstream``.
        route : str
            Name of the route; empty if none matched.
        outcome : str
        duration, waited : float
            Time from the request's arrival to its end, and the part spent in a queue, in seconds.
        """
        outcomes = self._entries.get((side, route))
        if outcomes is None:
            if self._size >= _MAX_ENTRIES:
                route = _OTHER_ROUTES
            outcomes = self._entries.setdefault((side, route), {})
        entry = outcomes.get(outcome)
        if entry is None:
            entry = outcomes[outcome] = _OutcomeTotals()
            self._size += 1
        entry.count += 1
        entry.duration += duration
        entry.waited += waited

    def emit(self, events: EventLogger) -> None:
        """Log one line for each side and route that had requests, and reset the totals."""
        entries, self._entries, self._size = self._entries, {}, 0
        for (side, route), outcomes in entries.items():
            fields: dict[str, object] = {}
            for outcome, entry in outcomes.items():
                fields[outcome] = entry.count
                fields[f"{outcome}_ms"] = round(1000 * entry.duration)
                if entry.waited:
                    fields[f"{outcome}_waited_ms"] = round(1000 * entry.waited)
            events.emit(Event.REQUEST_TOTALS, side=side, route=route, **fields)
