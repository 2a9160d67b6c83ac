# SPDX-License-Identifier: BSD-3-Clause
"""Logs of the decisions made for single requests.

Decisions are kept in memory until the request ends. All decisions of failed
requests are logged, and all decisions of requests that end while the process
stops. Other successful requests are sampled by a hash of their id, so that every
process chooses the same ones.
"""

import zlib
from time import time

from lanedock.clock import monotonic
from lanedock.telemetry.events import Event
from lanedock.telemetry.log import EventLogger
from lanedock.telemetry.totals import RequestTotals

__all__ = ["RequestLog", "RequestLogger"]

# One in this many successful requests is logged.
DEFAULT_SAMPLE = 128
# Maximum number of decisions kept for one request.
MAX_DECISIONS = 32


class RequestLog:
    """The decisions made for one request.

    Parameters
    ----------
    request_id : str
        Id of the request; empty if the caller gave none.
    now : float
        Monotonic time of the request's arrival, in seconds.

    Attributes
    ----------
    route : str
        Name of the matched route; empty until a route is matched.
    age : float
        Time since the caller's first try, in seconds.
    target : float
        Desired response time, in seconds.
    waited : float
        Time spent in an upstream's queue, in seconds.
    """

    __slots__ = ("_decisions", "_started", "age", "request_id", "route", "target", "waited")

    def __init__(self, request_id: str, now: float):
        self.request_id = request_id
        self.route = ""
        self.age = 0.0
        self.target = 0.0
        self.waited = 0.0
        self._started = now
        self._decisions: list[tuple[Event, float, float, dict]] = []

    def note(self, event: Event, **fields: object) -> None:
        """Record a decision and the values on which it was based."""
        if len(self._decisions) < MAX_DECISIONS:
            # The wall clock is common to all processes of an instance, so a refusal sorts before its
            # receiver's reaction, although both decisions may be less than 0.1 ms apart.
            self._decisions.append((event, time(), monotonic() - self._started, fields))

    def write(self, events: EventLogger, failed: bool, during_stop: bool = False) -> None:
        """Log all decisions, each with the time at which it was made."""
        for event, decided_at, elapsed, fields in self._decisions:
            line = {"request": self.request_id, "after_ms": round(1000 * elapsed, 1), **fields}
            events.emit_decision(event, decided_at, failed, line, during_stop)


class RequestLogger:
    """Selects the requests whose decisions are logged.

    Parameters
    ----------
    events : EventLogger
    sample : int
        One in this many successful requests is logged; 0 for none.

    Attributes
    ----------
    totals : RequestTotals
        Totals of all requests, whether they are logged or not.
    """

    def __init__(self, events: EventLogger, sample: int = DEFAULT_SAMPLE):
        self._events = events
        self._sample = sample
        self.totals = RequestTotals()

    def begin(self, request_id: str, now: float) -> RequestLog:
        """Return a new log for a request."""
        return RequestLog(request_id, now)

    def end(self, log: RequestLog, failed: bool, during_stop: bool = False) -> None:
        """Log a request's decisions if it failed, is sampled, or ended while the process stops."""
        if failed or during_stop or self._is_sampled(log.request_id):
            log.write(self._events, failed, during_stop)

    def emit_totals(self) -> None:
        """Log the totals since the last call."""
        self.totals.emit(self._events)

    def _is_sampled(self, request_id: str) -> bool:
        if not self._sample or not request_id:
            return False
        return zlib.crc32(request_id.encode("utf-8", "replace")) % self._sample == 0
