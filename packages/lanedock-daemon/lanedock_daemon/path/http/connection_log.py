# SPDX-License-Identifier: BSD-3-Clause
"""Log lines about connections that end before their callers have received all answers."""

from lanedock.clock import monotonic
from lanedock.kernel import StopPlan
from lanedock.telemetry import Event, EventLogger
from lanedock_daemon.path.http.request_trace import RequestTrace

__all__ = ["ConnectionLog"]

# Targets in a log line, and characters of each.
MAX_LOGGED_TARGETS = 4
MAX_LOGGED_TARGET = 80
# Request ids in a log line, and characters of each.
MAX_LOGGED_IDS = 8
MAX_LOGGED_ID = 64


class ConnectionLog:
    """Logs the ends of a server's connections.

    Parameters
    ----------
    server : str
        Name of the server.
    plan : StopPlan
        Stop plan of the process; the lines state the time since the stop began.
    events : EventLogger
    """

    __slots__ = ("_events", "_plan", "_server")

    def __init__(self, server: str, plan: StopPlan, events: EventLogger):
        self._server = server
        self._plan = plan
        self._events = events

    def __repr__(self) -> str:
        return f"<ConnectionLog {self._server}>"

    def describe(self, caller: tuple, ids: list[str]) -> dict:
        """Return fields of a log line for a connection; `ids` are those of its requests in progress."""
        shown = _join(ids, MAX_LOGGED_IDS, MAX_LOGGED_ID)
        return {"server": self._server, "caller": caller[0], "requests": len(ids), "ids": shown}

    def log_cut(self, reason: str, unsent: int, unread: int, targets: list[str], ids: list[str]) -> None:
        """Log that a connection is closed before its caller has received all answers.

        Parameters
        ----------
        reason : str
        unsent, unread : int
            Sizes in bytes.
        targets : list of str
            Targets of the requests in progress.
        ids : list of str
            Ids of the requests whose answers the caller has not received.
        """
        self._events.emit(
            Event.CONNECTION_CUT,
            server=self._server,
            reason=reason,
            unsent=unsent,
            unread=unread,
            requests=len(targets),
            targets=_join(targets, MAX_LOGGED_TARGETS, MAX_LOGGED_TARGET),
            ids=_join(ids, MAX_LOGGED_IDS, MAX_LOGGED_ID),
            stop_ms=self._stop_ms(),
        )

    def log_disconnect(self, how: str, answered: int, ids: list[str]) -> None:
        """Log that a caller has ended its connection before all of its requests were answered.

        Parameters
        ----------
        how : str
            What this process saw: the end of the stream or an error.
        answered : int
            Number of the requests whose answers were made and not written.
        ids : list of str
            Ids of the requests.
        """
        self._events.emit(
            Event.CALLER_DISCONNECTED,
            server=self._server,
            how=how,
            requests=len(ids),
            answered=answered,
            ids=_join(ids, MAX_LOGGED_IDS, MAX_LOGGED_ID),
            stop_ms=self._stop_ms(),
        )

    def log_caller_left(self, trace: RequestTrace, stage: str, how: str, silent_time: float | None) -> None:
        """Log that the caller of one request has left, once the work for it has ended here.

        Parameters
        ----------
        trace : RequestTrace
        stage : str
            How far the request had come when that was noticed; one of `Stage`.
        how : str
            What this process saw.
        silent_time : float or None
            Seconds between the caller's last segment and the notice; None if unknown.
        """
        left_at = trace.caller_left_at
        self._events.emit_each(
            Event.REQUEST_CALLER_LEFT,
            request=trace.request_id[:MAX_LOGGED_ID],
            server=self._server,
            how=how,
            stage=stage,
            upstream=trace.upstream,
            attempts=trace.attempts,
            silent_ms=None if silent_time is None else round(1000 * silent_time),
            age_ms=round(1000 * (left_at - trace.read_at)),
            ended_ms=round(1000 * (monotonic() - left_at)),
        )

    def _stop_ms(self) -> int:
        return round(1000 * self._plan.elapsed(monotonic()))


def _join(texts: list[str], max_count: int, max_length: int) -> str:
    """Return the first texts, shortened, for a log line."""
    return " ".join(text[:max_length] for text in texts[:max_count])
