# SPDX-License-Identifier: BSD-3-Clause
"""Log lines about what a stop of the process did to the requests and connections of a server."""

from collections import Counter

from lanedock.clock import monotonic
from lanedock.kernel import StopPlan
from lanedock.telemetry import Event, EventLogger
from lanedock_daemon.path.http.messages import Outcome
from lanedock_daemon.path.http.request_trace import RequestTrace, Stage

__all__ = ["RequestEnd", "StopLog"]


class RequestEnd:
    """What became of a request at its caller."""

    # The caller's system has acknowledged the whole answer.
    RECEIVED = "received"
    # This process closed the connection before.
    CUT = "cut"
    # The caller ended the connection, or its sending side, before.
    CALLER_LEFT = "caller left"
    # It was read behind the last answer of its connection and not begun.
    NOT_BEGUN = "not begun"


_ENDS = (RequestEnd.RECEIVED, RequestEnd.CUT, RequestEnd.CALLER_LEFT, RequestEnd.NOT_BEGUN)
# Outcomes that answers of daemons state, and their names in the summary; an application's answer states none.
_KINDS = {Outcome.NOT_RUN: "refused", Outcome.UNKNOWN: "unknown"}


class StopLog:
    """Logs how each request that a stop touches ends, each connection's close, and the sums at the end.

    Does nothing before the stop begins. Requests without an id are counted only.

    Parameters
    ----------
    server : str
        Name of the server.
    plan : StopPlan
        Stop plan of the process.
    events : EventLogger

    Attributes
    ----------
    is_active : bool
        Whether the process is stopping.
    """

    __slots__ = ("_ends", "_events", "_plan", "_server", "is_active")

    def __init__(self, server: str, plan: StopPlan, events: EventLogger):
        self._server = server
        self._plan = plan
        self._events = events
        self._ends: Counter[str] = Counter()
        self.is_active = False
        plan.call_at_begin(self._activate)

    def __repr__(self) -> str:
        return f"<StopLog {self._server} {dict(self._ends)}>"

    def _activate(self) -> None:
        self.is_active = True

    def log_request(self, trace: RequestTrace, end: str, how: str = "") -> None:
        """Log how a request has ended, once.

        Parameters
        ----------
        trace : RequestTrace
        end : str
            One of `RequestEnd`.
        how : str
            What ended its connection; empty while it is open.
        """
        if not self.is_active or trace.is_reported:
            return
        trace.is_reported = True
        self._ends[end] += 1
        if trace.stage == Stage.ANSWERED:
            self._ends[_KINDS.get(trace.outcome, "answered")] += 1
        if not trace.request_id:
            return
        self._events.emit_each(
            Event.REQUEST_END,
            request=trace.request_id,
            server=self._server,
            end=end,
            how=how,
            stage=trace.stage,
            status=trace.status,
            outcome=trace.outcome,
            upstream=trace.upstream,
            read_ms=self._stop_ms(trace.read_at),
            begun_ms=self._stop_ms(trace.begun_at),
            answered_ms=self._stop_ms(trace.answered_at),
            written_ms=self._stop_ms(trace.written_at),
            ended_ms=self._stop_ms(monotonic()),
        )

    def log_notice(self) -> None:
        """Log that answers announce the close of their connections from now on."""
        self._events.emit_each(Event.NOTICE_BEGUN, server=self._server, stop_ms=self._stop_ms(monotonic()))

    def log_connection(self, address: tuple, how: str) -> None:
        """Log that a connection has ended; `address` is the host and port of its other end."""
        if self.is_active:
            self._ends["connections"] += 1
            self._events.emit_each(
                Event.CONNECTION_ENDED,
                server=self._server,
                peer=f"{address[0]}:{address[1]}",
                how=how,
                stop_ms=self._stop_ms(monotonic()),
            )

    def log_listener_closed(self, accepted: int) -> None:
        """Log that the listener was closed; `accepted` connections of its queue were accepted before."""
        if self.is_active:
            self._events.emit_each(
                Event.LISTENER_CLOSED, server=self._server, accepted=accepted, stop_ms=self._stop_ms(monotonic())
            )

    def log_summary(self, open_connections: int) -> None:
        """Log the sums of the stop if it touched requests; `open_connections` are those that end with the process."""
        ends = self._ends
        read = sum(ends[end] for end in _ENDS)
        if not (self.is_active and read):
            return
        self._events.emit_each(
            Event.STOP_SUMMARY,
            server=self._server,
            read=read,
            answered=ends["answered"],
            refused=ends["refused"],
            unknown=ends["unknown"],
            received=ends[RequestEnd.RECEIVED],
            cut=ends[RequestEnd.CUT],
            caller_left=ends[RequestEnd.CALLER_LEFT],
            not_begun=ends[RequestEnd.NOT_BEGUN],
            connections=ends["connections"],
            open_connections=open_connections,
            stop_ms=self._stop_ms(monotonic()),
        )

    def _stop_ms(self, at: float | None) -> int | None:
        """Return a monotonic time in milliseconds since the stop began; None for None."""
        return None if at is None else round(1000 * self._plan.elapsed(at))
