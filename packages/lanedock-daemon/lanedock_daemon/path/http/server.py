# SPDX-License-Identifier: BSD-3-Clause
"""The HTTP server of the request path, based on gevent's sockets and httptools' parser.

gevent's WSGI server is kept in `lanedock_daemon.path.http.wsgi` as the baseline. It costs
several times as much per hop, and it can't detect that a caller has disconnected.
"""

import gevent
from gevent import socket
from gevent.server import StreamServer

from lanedock.clock import monotonic
from lanedock.errors import ErrorCode
from lanedock.kernel import Kernel, StopPlan
from lanedock.limits import ResourceBudget
from lanedock.settings import Address
from lanedock.telemetry import Event, EventLogger
from lanedock_daemon.agent.reachability import ALIVE_PATH
from lanedock_daemon.path.http.caller_messages import make_request
from lanedock_daemon.path.http.channel import Channel
from lanedock_daemon.path.http.connection import Connection
from lanedock_daemon.path.http.connection_log import ConnectionLog
from lanedock_daemon.path.http.incoming import Exchange, Worker
from lanedock_daemon.path.http.messages import DEFAULT_RETRY_AFTER, NEVER, Answer, BodyBroken, Outcome, make_refusal
from lanedock_daemon.path.http.parser import MAX_HEAD_BYTES
from lanedock_daemon.path.http.resource_guard import ResourceGuard
from lanedock_daemon.path.http.service import ACCEPT_BATCH, HttpService, StopTimeout
from lanedock_daemon.path.http.stop_log import StopLog
from lanedock_daemon.path.http.time_limit import IDLE_TIMEOUT
from lanedock_daemon.sockets import limit_receive_buffer

__all__ = ["PathServer"]

# Seconds after its beginning at which an unfinished head is refused, unless the limits in force say otherwise.
HEAD_TIMEOUT = 10.0
BACKLOG = 1024
# Bytes by which the head of a request between daemons may be longer than one of a caller.
ADDED_HEAD_BYTES = 4 * 1024
# Seconds between checks for expired connections and new limits.
SWEEP_INTERVAL = 1.0
# Seconds between two looks at which answers callers have received, in a stop.
RECEIPT_INTERVAL = 0.025


class _Listener(StreamServer):
    """Accepts connections whose unread input is bounded, a few at a time."""

    max_accept = ACCEPT_BATCH

    @classmethod
    def get_listener(cls, address, backlog=None, family=None):
        listener = super().get_listener(address, backlog, family)
        limit_receive_buffer(listener)
        return listener


class PathServer(HttpService):
    """The default HTTP server. Parameters not listed here are those of `HttpService`.

    Parameters
    ----------
    get_limits : callable, optional
        Returns the `CallerLimits` in force, or None.
    max_connections : int, optional
        Number of open connections above which connections are closed after their answers.
    gives_notice : bool
        Whether answers announce the close of their connections in the notice time of a stop. Callers that pause
        between requests would otherwise meet the close of an idle connection with a request on its way, and could
        not tell it from a lost one.
    serves_callers : bool
        Whether callers are served, whose heads the limits in force bound.
    guard : ResourceGuard, optional
        Bounds what the connections of all servers of the process hold; by default nothing does.

    Attributes
    ----------
    guard : ResourceGuard
    limits : CallerLimits or None
        Limits in force at the last sweep.
    log : ConnectionLog
    stop_log : StopLog
    """

    def __init__(
        self,
        name: str,
        address: Address,
        side,
        plan: StopPlan,
        events: EventLogger,
        get_limits=lambda: None,
        max_connections=None,
        closes_last: bool = False,
        gives_notice: bool = False,
        serves_callers: bool = False,
        guard: ResourceGuard | None = None,
    ):
        self.guard = guard or ResourceGuard(ResourceBudget(), plan, events)
        self._max_connections = max_connections
        self._gives_notice = gives_notice
        self._serves_callers = serves_callers
        super().__init__(name, address, side, plan, events, closes_last)
        self.limits = None
        self.log = ConnectionLog(name, plan, events)
        self.stop_log = StopLog(name, plan, events)
        self._get_limits = get_limits
        self._connections: dict[Connection, None] = {}
        self._sweeper = None
        self._idle_workers: list[Worker] = []
        self._has_ended = False

    def _make_server(self, listener: tuple[str, int]) -> StreamServer:
        return _Listener(listener, self._accept, backlog=BACKLOG)

    def start(self, kernel: Kernel) -> None:
        super().start(kernel)
        self._sweeper = gevent.spawn(self._sweep)
        self._plan.call_at_begin(self._begin_receipt_watch)

    def _accept_queued(self) -> int:
        accepted = super()._accept_queued()
        self.stop_log.log_listener_closed(accepted)
        return accepted

    def stop(self) -> None:
        super().stop()
        self._sweeper.kill()
        for connection in list(self._connections):
            connection.report_cut("stop")
            connection.discard_input()
        self.stop_log.log_summary(len(self._connections))
        self._has_ended = True

    def _force_final_answers(self) -> None:
        """Force answers to all unanswered requests.

        Otherwise the end of the process would cut their connections, and their callers
        would not learn whether the requests ran.
        """
        count = sum(connection.force_answers() for connection in list(self._connections))
        if count:
            self._events.emit(Event.CUT_SHORT, requests=count)

    def _is_idle(self) -> bool:
        """End idle connections; tell whether no connection or request is left.

        If all connections ended together with the server, a request that is being read
        would get no answer, although it may have been passed on.
        """
        for connection in list(self._connections):
            connection.end_if_idle()
        return not (self.in_progress or self._connections)

    def read_timeouts(self) -> tuple[float, float]:
        """Return the timeouts of unfinished heads and of idle connections, in seconds."""
        if self.limits is None:
            return HEAD_TIMEOUT, IDLE_TIMEOUT
        return self.limits.header_timeout_ms / 1000, self.limits.idle_timeout_ms / 1000

    def max_head_bytes(self) -> int:
        """Return how many bytes a request's head may have; other daemons add headers to those that callers sent."""
        if not self._serves_callers:
            return MAX_HEAD_BYTES + ADDED_HEAD_BYTES
        return MAX_HEAD_BYTES if self.limits is None else min(MAX_HEAD_BYTES, self.limits.header_bytes)

    def max_body_bytes(self) -> float:
        """Return how many bytes a request's body may have; infinite without a limit."""
        return NEVER if self.limits is None else self.limits.body_bytes

    def is_over_connection_limit(self) -> bool:
        """Return whether more than `max_connections` connections are open."""
        return self._max_connections is not None and len(self._connections) > self._max_connections

    def _end_oldest_idle(self) -> None:
        """End the oldest idle connection to make room for a new one.

        Otherwise unused connections of callers could occupy all file descriptors of the
        process until they time out, and no new caller would be served.
        """
        for connection in self._connections:
            if connection.is_idle():
                connection.expire("connection limit")
                return

    @property
    def is_process_stopping(self) -> bool:
        """Whether the process is stopping, so that answers in progress may be cut."""
        return self._plan.is_begun

    def may_pipeline(self) -> bool:
        """Return whether requests may start behind unanswered ones of their connections: not late in a stop."""
        return not self._plan.is_leaving(monotonic())

    def is_leaving(self) -> bool:
        """Return whether answers announce the close of their connections because the process stops soon."""
        return self._gives_notice and self._plan.is_leaving(monotonic())

    def _is_past_deadline(self) -> bool:
        """Return whether the process is stopping and the deadline for final answers has passed."""
        return self._plan.is_begun and monotonic() >= self._plan.deadline

    def answer(self, exchange: Exchange) -> Answer:
        """Process a caller's request and return its answer, whose body may still have to come.

        Raises
        ------
        BodyBroken
            The caller's connection broke; any other error is answered.
        """
        if exchange.message.target == ALIVE_PATH:
            return Answer(200, "OK", [("content-length", "0")], [])
        body = exchange.body
        if body.length is not None and body.length > self.max_body_bytes():
            return make_refusal(ErrorCode.BODY_TOO_LONG, Outcome.NOT_RUN)
        if self._is_past_deadline():
            # This process is stopping and has sent its last answers; a request read now would not be answered.
            return make_refusal(ErrorCode.DRAINING, Outcome.NOT_RUN, DEFAULT_RETRY_AFTER)
        try:
            return self.side.handle(make_request(exchange))
        except StopTimeout:
            # The side was interrupted: the request may have run.
            return make_refusal(ErrorCode.ANSWER_LOST, Outcome.UNKNOWN)
        except BodyBroken:
            # The caller's connection has ended.
            raise
        except (Exception, gevent.Timeout) as exc:
            # Without an answer, the connection would end, and with it the other requests on it.
            self.log_unexpected_error(exc)
            return make_refusal(ErrorCode.ANSWER_LOST, Outcome.UNKNOWN)

    def acquire_worker(self) -> Worker:
        """Return an idle worker, or a new one."""
        return self._idle_workers.pop() if self._idle_workers else Worker(self._idle_workers)

    def log_unexpected_error(self, exc: BaseException) -> None:
        """Log an unexpected exception of a request handler or a connection."""
        self._events.emit(Event.UNEXPECTED, error=repr(exc))

    def note_refused(self, caller: tuple, request_id: str, size: int) -> None:
        """Log that a request was refused since there is no room for the bytes that it would hold."""
        self.guard.note_refused(self.name, caller, request_id, size)

    def _sweep(self) -> None:
        while True:
            gevent.sleep(SWEEP_INTERVAL)
            self.limits = self._get_limits()
            now = monotonic()
            for connection in list(self._connections):
                connection.update_unread_input()
                connection.end_if_expired(now)
                if self.is_stopping:
                    connection.end_if_idle()

    def _begin_receipt_watch(self) -> None:
        for connection in self._connections:
            connection.ends.forget_received()
        gevent.spawn(self._watch_receipts)

    def _watch_receipts(self) -> None:
        """Log which answers callers have received while the process stops, also after `stop` if connections are left.

        Logs, too, when the notice begins.
        """
        is_noticed = not self._gives_notice
        while self._connections or not self._has_ended:
            if not is_noticed and self.is_leaving():
                is_noticed = True
                self.stop_log.log_notice()
            for connection in list(self._connections):
                connection.ends.log_received()
            gevent.sleep(RECEIPT_INTERVAL)

    def _accept(self, conn, address) -> None:
        if not self.guard.admit_connection(self.name, address):
            # Nothing was read from it, so that its caller may send whatever it sent once more.
            conn.close()
            return
        conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if self.is_over_connection_limit():
            self._end_oldest_idle()
        connection = Connection(self, Channel(conn), address)
        self._connections[connection] = None
        try:
            connection.run()
        finally:
            del self._connections[connection]
