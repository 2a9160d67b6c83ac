# SPDX-License-Identifier: BSD-3-Clause
"""Totals of requests by route and outcome: what lines of single requests, which are samples, can't say."""

from lanedock.telemetry.events import Event
from lanedock.telemetry.log import EventLogger

__all__ = ["RequestTotals"]

# Routes and outcomes that are counted between two lines; more are counted together.
_MAX_ENTRIES = 256
_OTHER = "other"


class _Entry:
    """Requests of one route that ended the same way, and their times in seconds."""

    __slots__ = ("count", "taken", "waited")

    def __init__(self):
        self.count = 0
        self.taken = 0.0
        self.waited = 0.0


class RequestTotals:
    """Counts requests until the next line.

    Each side of the path counts what it decided: the caller's side how requests
    ended for their callers, the upstream's side what became of them there.
    """

    def __init__(self):
        self._entries: dict[tuple[str, str], dict[str, _Entry]] = {}
        self._size = 0

    def __repr__(self) -> str:
        return f"<RequestTotals entries={self._size}>"

    def note(self, side: str, route: str, outcome: str, taken: float, waited: float = 0.0) -> None:
        """Count a request.

        Parameters
        ----------
        side : str
            ``caller`` or ``upstream``.
        route : str
            Empty where none matched.
        outcome : str
        taken, waited : float
            From its arrival to its end, and the part of it in a queue, in seconds.
        """
        outcomes = self._entries.get((side, route))
        if outcomes is None:
            if self._size >= _MAX_ENTRIES:
                route = _OTHER
            outcomes = self._entries.setdefault((side, route), {})
        entry = outcomes.get(outcome)
        if entry is None:
            entry = outcomes[outcome] = _Entry()
            self._size += 1
        entry.count += 1
        entry.taken += taken
        entry.waited += waited

    def emit(self, events: EventLogger) -> None:
        """Write a line for each side and route that had requests, and begin anew."""
        entries, self._entries, self._size = self._entries, {}, 0
        for (side, route), outcomes in entries.items():
            fields: dict[str, object] = {}
            for outcome, entry in outcomes.items():
                fields[outcome] = entry.count
                fields[f"{outcome}_ms"] = round(1000 * entry.taken)
                if entry.waited:
                    fields[f"{outcome}_waited_ms"] = round(1000 * entry.waited)
            events.emit(Event.REQUEST_TOTALS, side=side, route=route, **fields)
