# SPDX-License-Identifier: BSD-3-Clause
"""The decisions on one request, kept until it is known whether they are worth a line.

A request that is answered well costs a list; its lines are written for a share
of them only, chosen by its id, so that every process chooses the same ones.
One that fails has all its lines written.
"""

import zlib
from time import time

from lanedock.clock import monotonic
from lanedock.telemetry.events import Event
from lanedock.telemetry.log import EventLogger
from lanedock.telemetry.totals import RequestTotals

__all__ = ["RequestLog", "RequestLogger"]

# One request in so many is logged where all went well.
DEFAULT_SAMPLE = 128
# Decisions kept of one request.
MAX_STEPS = 32


class RequestLog:
    """The decisions on one request.

    Parameters
    ----------
    request_id : str
        Empty where the caller gave none.
    now : float
        Monotonic, seconds.

    Attributes
    ----------
    route : str
        That it matched; empty before.
    age, target : float
        Seconds since its caller's first try, and the time within which an answer
        is wanted.
    waited : float
        Seconds in an upstream's queue.
    """

    __slots__ = ("_started", "_steps", "age", "request_id", "route", "target", "waited")

    def __init__(self, request_id: str, now: float):
        self.request_id = request_id
        self.route = ""
        self.age = 0.0
        self.target = 0.0
        self.waited = 0.0
        self._started = now
        self._steps: list[tuple[Event, float, float, dict]] = []

    def note(self, event: Event, **particulars: object) -> None:
        """Keep a decision with the inputs that decided it."""
        if len(self._steps) < MAX_STEPS:
            # By the clock that the processes of an instance share: a refusal is told before
            # what its receiver made of it, though both may be decided within 0.1 ms.
            self._steps.append((event, time(), monotonic() - self._started, particulars))

    def write(self, events: EventLogger, failed: bool) -> None:
        """Write all decisions, each with the time at which it was made."""
        for event, decided_at, after, particulars in self._steps:
            fields = {"request": self.request_id, "after_ms": round(1000 * after, 1), **particulars}
            events.emit_decision(event, decided_at, failed, fields)


class RequestLogger:
    """Decides which requests' decisions are written.

    Parameters
    ----------
    events : EventLogger
    sample : int
        One in so many is written where all went well; 0 for none.

    Attributes
    ----------
    totals : RequestTotals
        Of all requests, whether their lines are written or not.
    """

    def __init__(self, events: EventLogger, sample: int = DEFAULT_SAMPLE):
        self._events = events
        self._sample = sample
        self.totals = RequestTotals()

    def begin(self, request_id: str, now: float) -> RequestLog:
        """Begin a request's log."""
        return RequestLog(request_id, now)

    def end(self, log: RequestLog, failed: bool) -> None:
        """Write a request's decisions, or let them go."""
        if failed or self._is_sampled(log.request_id):
            log.write(self._events, failed)

    def emit_totals(self) -> None:
        """Write the totals since the last call."""
        self.totals.emit(self._events)

    def _is_sampled(self, request_id: str) -> bool:
        if not self._sample or not request_id:
            return False
        return zlib.crc32(request_id.encode("utf-8", "replace")) % self._sample == 0
