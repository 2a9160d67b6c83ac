# SPDX-License-Identifier: BSD-3-Clause
"""Log lines about connections that end before their callers have received all answers."""

from lanedock.clock import monotonic
from lanedock.kernel import StopPlan
from lanedock.telemetry import Event, EventLogger

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

    def _stop_ms(self) -> int:
        return round(1000 * self._plan.elapsed(monotonic()))


def _join(texts: list[str], max_count: int, max_length: int) -> str:
    """Return the first texts, shortened, for a log line."""
    return " ".join(text[:max_length] for text in texts[:max_count])
