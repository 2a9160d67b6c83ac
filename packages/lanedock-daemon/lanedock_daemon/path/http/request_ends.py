# SPDX-License-Identifier: BSD-3-Clause
"""How the requests of one caller's connection end, and the log lines about it."""

from collections import deque
from collections.abc import Iterable
from functools import partial

from lanedock.clock import monotonic
from lanedock_daemon.path.http.channel import Channel
from lanedock_daemon.path.http.connection_log import ConnectionLog
from lanedock_daemon.path.http.delivery import Delivery
from lanedock_daemon.path.http.headers import REQUEST_ID_HEADER
from lanedock_daemon.path.http.incoming import Exchange
from lanedock_daemon.path.http.parsed_message import Message
from lanedock_daemon.path.http.request_trace import RequestTrace, Stage
from lanedock_daemon.path.http.stop_log import RequestEnd, StopLog

__all__ = ["RequestEnds"]


class RequestEnds:
    """Logs how the requests of a connection end: at any time those that end too early, in a stop each of them.

    Parameters
    ----------
    log : ConnectionLog
    stop_log : StopLog
    address : tuple
        Host and port of the caller.
    conn : Channel
    delivery : Delivery
        Has the requests whose answers were written.
    exchanges : deque of Exchange
        The connection's requests in progress, as they are at each call.

    Attributes
    ----------
    caller : tuple
        Host and port of the caller.
    """

    __slots__ = ("_conn", "_delivery", "_exchanges", "_is_logged", "_log", "_stop_log", "_unwritten", "caller")

    def __init__(
        self,
        log: ConnectionLog,
        stop_log: StopLog,
        address: tuple,
        conn: Channel,
        delivery: Delivery,
        exchanges: deque[Exchange],
    ):
        self._log = log
        self._stop_log = stop_log
        self.caller = address
        self._conn = conn
        self._delivery = delivery
        self._exchanges = exchanges
        # Requests whose answers were made and can't be written any more.
        self._unwritten: list[RequestTrace] = []
        # Whether the end of the connection has been logged, in a stop.
        self._is_logged = False

    def __repr__(self) -> str:
        return f"<RequestEnds {self.caller}>"

    def describe(self) -> dict:
        """Return fields of a log line that name the connection and its requests in progress."""
        return self._log.describe(self.caller, self._list_unanswered())

    def note_unwritten(self, trace: RequestTrace) -> None:
        """Record that the answer to a request was made and can't be written whole any more."""
        self._unwritten.append(trace)

    def log_received(self) -> None:
        """Log the requests whose answers the caller has received since the last call; used while the process stops."""
        if not self._delivery.has_answers():
            return
        for trace in self._delivery.take_received(self._delivery.count_unsent_bytes()):
            self._stop_log.log_request(trace, RequestEnd.RECEIVED)

    def forget_received(self) -> None:
        """Leave out the requests whose answers the caller received before the stop; called when it begins."""
        if self._delivery.has_answers():
            self._delivery.take_received(self._delivery.count_unsent_bytes())

    def log_not_begun(self, messages: Iterable[Message]) -> None:
        """Log requests that were read behind the last answer, in a stop; each once."""
        if not self._stop_log.is_active:
            return
        for message in messages:
            if not message.is_reported:
                message.is_reported = True
                trace = RequestTrace(message.find_header(REQUEST_ID_HEADER), message.read_at)
                self._stop_log.log_request(trace, RequestEnd.NOT_BEGUN)

    def log_cut(self, reason: str, not_begun: Iterable[Message]) -> None:
        """Log that this process closes the connection, if the caller has not received all answers; in a stop, always.

        Parameters
        ----------
        reason : str
        not_begun : iterable of Message
            Requests that were read and not begun.
        """
        unsent = self._delivery.count_unsent_bytes()
        if unsent or self._exchanges or self._unwritten:
            unreceived = [trace.request_id for trace in self._delivery.list_unreceived(unsent)]
            targets = [exchange.message.target for exchange in self._exchanges]
            ids = unreceived + self._list_unanswered()
            self._log.log_cut(reason, unsent, self._conn.count_unread_bytes(), targets, ids)
        self._log_ends(RequestEnd.CUT, reason, not_begun)

    def log_disconnect(self, how: str, not_begun: list[Message]) -> None:
        """Log that the caller has ended the connection, if requests have no answer; in a stop, always.

        Parameters
        ----------
        how : str
            What this process saw.
        not_begun : list of Message
            Requests that were read and not begun.
        """
        if self._exchanges or self._unwritten:
            answered = len(self._unwritten) + sum(exchange.is_answered for exchange in self._exchanges)
            self._log.log_disconnect(how, answered, self._list_unanswered())
        if self._exchanges or self._unwritten or not_begun:
            self._note_caller_left(how, not_begun)
        self._log_ends(RequestEnd.CALLER_LEFT, how, not_begun)

    def _note_caller_left(self, how: str, not_begun: list[Message]) -> None:
        """Log the requests that were not begun, and have those in progress logged once their workers have ended."""
        left_at, silent_time = monotonic(), self._conn.silent_time()
        ended = [(trace, trace.stage) for trace in self._unwritten]
        for message in not_begun:
            ended.append((RequestTrace(message.find_header(REQUEST_ID_HEADER), message.read_at), Stage.NOT_BEGUN))
        for trace, stage in ended:
            trace.caller_left_at = left_at
            self._log.log_caller_left(trace, stage, how, silent_time)
        for exchange in self._exchanges:
            trace = exchange.trace
            trace.caller_left_at = left_at
            log = partial(self._log.log_caller_left, trace, trace.stage, how, silent_time)
            if exchange.worker is None:
                log()
            else:
                exchange.on_end = log

    def _log_ends(self, end: str, how: str, not_begun: Iterable[Message]) -> None:
        """Log how the requests without a received answer end with the connection, if the process is stopping."""
        if not self._stop_log.is_active:
            return
        self.log_received()
        unreceived = self._delivery.list_unreceived(self._delivery.count_unsent_bytes())
        for trace in [*unreceived, *self._unwritten, *(exchange.trace for exchange in self._exchanges)]:
            self._stop_log.log_request(trace, end, how)
        self.log_not_begun(not_begun)
        if not self._is_logged:
            self._is_logged = True
            self._stop_log.log_connection(self.caller, how)

    def _list_unanswered(self) -> list[str]:
        """Return the ids of the requests whose answers were not written."""
        return [trace.request_id for trace in self._unwritten] + [
            exchange.trace.request_id for exchange in self._exchanges
        ]
