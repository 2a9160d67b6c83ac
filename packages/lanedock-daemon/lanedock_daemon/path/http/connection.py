# SPDX-License-Identifier: BSD-3-Clause
"""HTTP/1.1 connections from callers: pipelining, response order and closing."""

import errno
import socket as plain_socket
from collections import deque

import gevent
from gevent import get_hub, getcurrent
from gevent.event import Event as Signal

from lanedock.clock import monotonic
from lanedock.errors import ErrorCode
from lanedock_daemon.path.http.answer_writer import AnswerHead, AnswerWriter, close_pieces, make_head
from lanedock_daemon.path.http.caller_messages import name_eviction, refuse_malformed
from lanedock_daemon.path.http.delivery import DELIVERY_TIMEOUT, POLL, Delivery
from lanedock_daemon.path.http.headers import REQUEST_ID_HEADER
from lanedock_daemon.path.http.holding import ConnectionHolding, count_request_bytes
from lanedock_daemon.path.http.incoming import Exchange
from lanedock_daemon.path.http.messages import (
    DEFAULT_RETRY_AFTER,
    NEVER,
    Answer,
    CallerDisconnected,
    Outcome,
    make_refusal,
)
from lanedock_daemon.path.http.parsed_message import Message
from lanedock_daemon.path.http.parser import MalformedMessage, RequestReader
from lanedock_daemon.path.http.request_ends import RequestEnds
from lanedock_daemon.path.http.time_limit import TimeLimit

__all__ = ["Connection"]

# Requests of one connection that are processed or wait for their start; reading pauses at this number.
MAX_PIPELINED = 32
# Unread bytes of bodies above which reading from the connection pauses.
MAX_READ_AHEAD_BYTES = 256 * 1024
# Seconds for which input is still discarded after the caller has received the last answer. Data that
# arrives at a closed socket resets the connection, and some systems discard what the caller has not read.
LINGER_TIMEOUT = 1.0
# Seconds between two looks for the end of a caller whose input isn't read; nothing notifies of it.
END_POLL = 0.1
# Seconds for which a stopping server keeps a connection that was just used: the caller's next request
# gets an answer that announces the close, instead of meeting it.
IDLE_CLOSE_DELAY = 0.1
# Seconds for which it keeps a new connection without a request: covers the first request's way on a slow link, or the
# retransmission of its packet.
UNUSED_CLOSE_DELAY = 0.5


# Seconds in which a connection that makes room for others may still deliver the answers to its requests.
EVICTION_TIMEOUT = 1.0


class _Evicted(gevent.GreenletExit):
    """Ends the reader of a connection that holds too much of the process's memory or descriptors."""


class _RequestRefused(Exception):
    """There is no room for the next request, which is refused; the connection ends."""


class _Expired(gevent.GreenletExit):
    """Ends the reader of a connection that has exceeded its time limit, or that nobody needs any more."""


class Connection:
    """A caller's connection: processes its requests concurrently and answers them in order.

    Parameters
    ----------
    server : PathServer
    conn : Channel
    address : tuple
        Host and port of the caller.

    Attributes
    ----------
    ends : RequestEnds
        Logs how the requests end.
    """

    def __init__(self, server, conn, address=("", 0)):
        # The server's sweep looks at it; cheaper than a timer for each wait.
        self._time_limit = TimeLimit()
        self._server = server
        self._conn = conn
        self._delivery = Delivery(conn)
        self._writer = AnswerWriter(conn)
        self._reader = RequestReader(conn, server.max_head_bytes)
        self._greenlet = getcurrent()
        # Whether the greenlet reads requests, so that it can be interrupted.
        self._is_reading = False
        self._exchanges: deque[Exchange] = deque()
        self.ends = RequestEnds(server.log, server.stop_log, address, conn, self._delivery, self._exchanges)
        self._open_exchange: Exchange | None = None
        self._holding = ConnectionHolding(server.guard, self, self._reader, self._exchanges)
        # Whether the connection has to end to make room for others.
        self._is_evicted = False
        self._has_room = Signal()
        # Whether the head of an answer announced `connection: close`.
        self._has_announced_close = False
        self._is_closing = False
        self._linger_timeout = LINGER_TIMEOUT
        # Why this process ends the connection; empty if the caller does.
        self._end_reason = ""
        # Whether nothing more can be read because of an unexpected error.
        self._has_failed = False
        # Whether a worker found that the caller has reset the connection.
        self._is_reset = False

    # ------------------------------------------------------------------ reading

    def run(self) -> None:
        """Read requests and start processing them until the connection ends."""
        how = "end of stream"
        try:
            self._serve()
            self._await_delivery()
        except CallerDisconnected:
            how = "end of stream" if self._conn.is_connected() else "reset"
            self._end_reason = ""
            # A close with unread input resets the connection, and cuts answers that are still on their way.
            self._conn.discard_input()
        except (OSError, gevent.GreenletExit) as exc:
            # The caller has disconnected, or an incomplete answer is cut so that it doesn't look complete.
            how = _describe(exc)
        finally:
            try:
                if self._end_reason:
                    self.report_cut(self._end_reason)
                else:
                    self.ends.log_disconnect("reset" if self._is_reset else how, self._reader.list_heads())
            finally:
                self._cancel_exchanges()
                self._holding.close()
                self._conn.close()

    def _serve(self) -> None:
        """Read requests until the last answer is written, the connection ends, or it has to make room for others."""
        try:
            self._serve_requests()
        except (_RequestRefused, _Evicted):
            self._make_room()

    def _serve_requests(self) -> None:
        try:
            self._is_reading = True
            try:
                self._read()
            finally:
                self._is_reading = False
        except MalformedMessage as exc:
            # Requests before the malformed one, possibly in the same packet, still get their answers.
            self._answer_complete_requests()
            self._refuse_malformed(exc)
        except _Expired:
            self._answer_complete_requests()
            if self._reader.is_in_head and not (self._exchanges or self._is_closing):
                self._refuse_malformed(MalformedMessage("the request head was not received within the time limit", 408))
        except (OSError, _RequestRefused):
            raise
        except Exception as exc:
            # Nothing more can be read; what has begun still gets its answers.
            self._server.log_unexpected_error(exc)
            self._has_failed = True
            self._end_reason = "error"
            self._time_limit.lift()
            self._await_answers()

    def _make_room(self) -> None:
        """Answer the requests in progress at once, if their caller receives answers, and refuse what has not begun.

        A caller that does not receive the answer that is being written is cut off.
        """
        has_unbegun = self._reader.has_head() or self._reader.is_in_head
        self._is_evicted = True
        self._time_limit.lift()
        self._discard_read_ahead()
        if self._writer.is_writing:
            self._end_reason = "resources"
            return
        self.force_answers()
        until = monotonic() + EVICTION_TIMEOUT
        while self._exchanges and not self._is_closing:
            self.check_caller()
            if monotonic() >= until:
                self._end_reason = "resources"
                return
            self._has_room.clear()
            self._has_room.wait(END_POLL)
        if has_unbegun and not self._has_last_answer():
            self._refuse(make_refusal(ErrorCode.RESOURCES_EXHAUSTED, Outcome.NOT_RUN, DEFAULT_RETRY_AFTER))

    def evict(self) -> dict:
        """Schedule the end of the connection, to make room for others.

        Returns
        -------
        dict
            Fields for the log line.
        """
        get_hub().loop.run_callback(self._end_evicted)
        return self.ends.describe()

    def _end_evicted(self) -> None:
        if self._is_reading:
            self._greenlet.throw(_Evicted)
        elif not self._greenlet.dead:
            self._end_reason = self._end_reason or "resources"
            self._greenlet.kill(block=False)

    def _await_delivery(self) -> None:
        """End the sending side, and discard input until the caller has received all answers."""
        if not self._is_closing:
            if self._exchanges or self._delivery.is_complete():
                return
            self._end_sending()
        if not self._delivery.linger(self._linger_timeout, EVICTION_TIMEOUT if self._is_evicted else NEVER):
            self._end_reason = "not received"

    def report_cut(self, reason: str) -> None:
        """Log that this process closes the connection; see `RequestEnds.log_cut`."""
        self.ends.log_cut(reason, self._reader.list_heads())

    def expire(self, reason: str) -> None:
        """Schedule the end of the connection, unless data arrives before; `reason` is logged if answers are cut."""
        get_hub().loop.run_callback(self._end_reading, reason)

    def _end_reading(self, reason: str) -> None:
        """End the connection if it still is read and the reason still holds: data may have arrived since `expire`."""
        must_end = monotonic() > self._time_limit.expires_at if self._is_busy() else self._conn.is_clean()
        if self._is_reading and must_end:
            self._end_reason = reason
            self._greenlet.throw(_Expired)

    def is_idle(self) -> bool:
        """Return whether no request is in progress or has arrived, and the caller has received all answers."""
        return not self._is_busy() and self._conn.is_clean() and self._delivery.is_complete()

    def _is_busy(self) -> bool:
        """Return whether a request is in progress or being read, or the connection is closing."""
        return bool(self._exchanges or self._reader.is_in_head or self._reader.has_head() or self._is_closing)

    def end_if_idle(self) -> None:
        """End the connection unless it is in use; called while the server stops."""
        delay = IDLE_CLOSE_DELAY if self._conn.written else UNUSED_CLOSE_DELAY
        if self.is_idle() and monotonic() >= self._time_limit.idle_since + delay:
            self.expire("stop")

    def end_if_expired(self, now: float) -> None:
        """End the connection if its time limit has passed; an idle one, if its caller receives nothing more."""
        if now <= self._time_limit.expires_at or self._is_closing:
            return
        if self._is_busy() or not self._delivery.is_in_progress(now):
            self.expire("time limit")

    def force_answers(self) -> int:
        """Force an answer to each request that has none yet, and return their number."""
        unanswered = [exchange for exchange in self._exchanges if not exchange.is_answered]
        for exchange in unanswered:
            exchange.force_answer()
        return len(unanswered)

    def _read(self) -> None:
        reader = self._reader
        self._update_expiry()
        while self._receive():
            # Before new requests start, since one of them may replace the open exchange.
            if self._open_exchange is not None:
                self._update_open_body()
            self._start_read_requests()
            self._holding.note_input_read()
            self._update_expiry()
            while not self._is_closing and self._must_pause_reading():
                self.check_caller()
                self.update_unread_input()
                self._has_room.clear()
                # Nothing notifies of a delivery, which requests wait for during a stop.
                self._has_room.wait(POLL if self._server.is_process_stopping else END_POLL)
                self._start_read_requests()
                self._update_expiry()
        if reader.is_in_head and not self._is_closing:
            raise ConnectionError("the connection ended before the end of a request head")

    def check_caller(self) -> None:
        """Look whether the caller has left, which doesn't depend on reading what it has sent before.

        Raises
        ------
        CallerDisconnected
            The caller has ended the connection, or its sending side.
        """
        if self._conn.has_peer_ended():
            raise CallerDisconnected

    def update_unread_input(self) -> None:
        """Count what has arrived and was not read: it takes the process's memory, too."""
        self._holding.note_unread_input(self._conn.count_unread_bytes())

    def discard_input(self) -> None:
        """Discard all input from now on, so that the end of the process cuts no answer on its way.

        A connection without an answer or a request in progress still reads: its first request is refused.
        """
        if self._conn.written or self._exchanges:
            self._conn.discard_input()
            self._has_room.set()

    def _receive(self) -> bool:
        """Wait for data; return False at the end of the stream, and once the last answer is written.

        While requests wait for their start, the wait ends after `POLL`: nothing notifies of a delivery.
        """
        if self._reader.has_head() and not self._conn.wait(POLL):
            return not self._is_closing
        try:
            return not self._is_closing and self._reader.receive() and not self._is_closing
        except TimeoutError:
            if not self._is_closing:
                raise
            return False

    def _start_read_requests(self) -> None:
        """Start the requests whose heads were read, as far as the connection's state permits."""
        reader = self._reader
        while reader.has_head() and self._may_start_request() and self._has_resources():
            self._start_request(reader.next_head())
        if self._has_announced_close:
            self._discard_read_ahead()

    def _has_resources(self) -> bool:
        """Return whether there is room for the next request; behind others of its connection it may wait for some.

        Raises
        ------
        _RequestRefused
        """
        message = self._reader.first_head()
        if self._holding.may_begin(message):
            return True
        if self._exchanges:
            return False
        self._server.note_refused(
            self.ends.caller, message.find_header(REQUEST_ID_HEADER), count_request_bytes(message)
        )
        raise _RequestRefused

    def _discard_read_ahead(self) -> None:
        """Discard buffered requests that follow the request with the last answer.

        If they were started, they would run and never be answered. The body of the open
        exchange is still received until the answer has ended.
        """
        self.ends.log_not_begun(self._reader.list_heads())
        self._reader.discard_read_ahead(self._open_exchange.message if self._open_exchange is not None else None)

    def _has_last_answer(self) -> bool:
        """Return whether no request that begins now could be answered."""
        return self._has_announced_close or self._is_closing

    def _may_start_request(self) -> bool:
        if self._has_last_answer():
            return False
        if self._exchanges and self._exchanges[-1].message.version != "1.1":
            return False  # an answer without a length would be delimited by the end of the connection
        if not self._server.is_process_stopping:
            return True
        # The end of the process may cut what the caller has not received, and the answers queued after it.
        is_slow = self._delivery.is_slow(monotonic())
        # An answer that is being written may break off, and then ends the connection for those behind it.
        may_pipeline = self._server.may_pipeline() and not (is_slow or self._writer.is_writing)
        if self._exchanges and not may_pipeline:
            return False
        return self._delivery.is_complete()

    def _update_open_body(self) -> None:
        """Notify the reader of the open body that more data may have arrived."""
        self._open_exchange.body.notify_arrival()
        if self._open_exchange.message.is_complete:
            self._open_exchange = None

    def _answer_complete_requests(self) -> None:
        """Answer the requests that were read completely, once nothing more is read."""
        self._time_limit.lift()
        if self._open_exchange is not None:
            self._update_open_body()
        while self._reader.has_head() and not self._has_last_answer():
            self.check_caller()
            if not (self._may_start_request() and self._has_resources()):
                # Nothing notifies of a delivery.
                gevent.sleep(POLL)
                continue
            message = self._reader.next_head()
            if message.is_complete:
                self._start_request(message)
            else:
                self.ends.log_not_begun([message])
        self._await_answers()

    def _await_answers(self) -> None:
        """Wait until the requests that have begun and were read completely are answered.

        Raises
        ------
        CallerDisconnected
        """
        pending = [exchange for exchange in self._exchanges if exchange.worker and exchange is not self._open_exchange]
        for exchange in pending:
            exchange.done = Signal()
        for exchange in pending:
            while not exchange.done.wait(END_POLL):
                self.check_caller()
        if pending:
            # A request that ended because its caller has left has no answer, and none may follow it.
            self.check_caller()

    def _must_pause_reading(self) -> bool:
        if self._conn.discards_input:
            return False
        if len(self._exchanges) + self._reader.count_heads() >= MAX_PIPELINED or self._reader.has_incomplete_message():
            return True
        unread = self._holding.count_unread_body_bytes()
        if self._server.guard.is_pressed() and self._is_busy_with_request():
            # The rest of a body that is waited for must get on: its end is what releases memory.
            return self._open_exchange is None or unread > 0
        # Reading resumes once the consumers have read the buffered pieces.
        return unread > MAX_READ_AHEAD_BYTES

    def _is_busy_with_request(self) -> bool:
        """Return whether a request is in progress or waits for its start."""
        return bool(self._exchanges) or self._reader.has_head()

    def _update_expiry(self) -> None:
        if self._is_closing:
            return
        header_timeout, idle_timeout = self._server.read_timeouts()
        if self._open_exchange is not None:
            self._time_limit.await_body()
        elif self._reader.is_in_head:
            self._time_limit.await_head(self._reader.unfinished_head, header_timeout)
        elif self._exchanges:
            self._time_limit.lift()
        else:
            self._time_limit.await_request(idle_timeout)

    def _start_request(self, message: Message) -> None:
        """Assign a request to a worker."""
        if self._server.stop_log.is_active:
            self.ends.log_received()
        worker = self._server.acquire_worker()
        exchange = Exchange(self, message, self._server.max_body_bytes())
        if not message.is_complete:
            self._open_exchange = exchange
        self._exchanges.append(exchange)
        self._holding.note_begun(exchange)
        self._time_limit.end_idle_time()
        worker.assign(exchange)

    def notify_body_read(self) -> None:
        """Resume reading after the consumer has read a piece of a body."""
        self._holding.update()
        self._has_room.set()

    def send_continue(self, exchange: Exchange, deadline: float) -> bool:
        """Send `100 Continue` for a request if it is the next one to be answered; return whether it is.

        Sent before its turn, the line would be part of the answer to an earlier request. The request's own worker
        sends it, so that its final answer can only follow.

        Raises
        ------
        BodyTimeout
            The line was not sent whole by the deadline; an answer is written behind its rest.
        OSError
        """
        if not self._exchanges or self._exchanges[0] is not exchange:
            return False
        self._writer.send_continue(exchange.body.pace, deadline)
        return True

    # ---------------------------------------------------------------- answering

    def work(self, exchange: Exchange) -> None:
        """Process a request, and write its answer once all earlier ones are written."""
        self._server.in_progress += 1
        answer, has_caller = None, True
        try:
            answer = self._server.answer(exchange)
            if self._is_evicted and not self._server.is_process_stopping:
                answer = name_eviction(answer)
            exchange.note_answer(answer)
            if self._exchanges and self._exchanges[0] is not exchange:
                exchange.turn = Signal()
                exchange.turn.wait()
            # The connection may have ended while waiting.
            if self._exchanges and not self._is_closing:
                self._write_in_turn(exchange, answer)
                self._delivery.note_answer(exchange.trace)
            elif self._exchanges:
                self.ends.note_unwritten(exchange.trace)
        except CallerDisconnected:
            # The reader meets the caller's end, too: it logs it and ends the connection with all of its requests.
            has_caller = False
            self._has_room.set()
        except (OSError, gevent.GreenletExit):
            # The answer's body broke off.
            self._break_off(exchange, "broken answer")
        except BaseException as exc:
            # Otherwise the next answer on the connection would be taken for this one.
            self._break_off(exchange, "error")
            self._server.log_unexpected_error(exc)
            if not isinstance(exc, Exception):
                raise
        finally:
            if answer is not None:
                # Also if the answer was never written: releases what its body holds.
                close_pieces(answer.pieces)
            self._server.in_progress -= 1
            if has_caller:
                self._finish_exchange(exchange)
            if exchange.done is not None:
                exchange.done.set()
            if exchange.on_end is not None:
                exchange.on_end()

    def _may_keep_open(self, exchange: Exchange, answer: Answer) -> bool:
        """Return whether the connection stays open after a request's answer."""
        if not exchange.message.keep_alive:
            return False
        # The rest of an unfinished body would precede the next request.
        if not exchange.message.is_complete:
            return False
        # Requests already in progress are still answered; the last answer closes the connection.
        must_close = answer.ends_connection or self._server.is_stopping or self._server.is_over_connection_limit()
        # Requests that have arrived behind this one are still served.
        must_close = must_close or self._has_failed or self._is_evicted
        must_close = must_close or (self._server.is_leaving() and not self._reader.has_head())
        return not must_close or len(self._exchanges) > 1

    def _finish_exchange(self, exchange: Exchange) -> None:
        """Remove an exchange, and let the next one write its answer."""
        try:
            self._exchanges.remove(exchange)
        except ValueError:
            return  # the connection has ended
        self._holding.note_ended(exchange)
        self._has_room.set()
        if self._exchanges:
            self._exchanges[0].take_turn()
        else:
            self._update_expiry()

    def _cancel_exchanges(self) -> None:
        """Cancel all requests in progress."""
        exchanges = list(self._exchanges)
        self._exchanges.clear()
        if self._open_exchange is not None:
            self._open_exchange.body.mark_broken()
        for exchange in exchanges:
            exchange.cancel()

    def _write_in_turn(self, exchange: Exchange, answer: Answer) -> None:
        """Write the answer to a request whose turn has come; refuse the request if no head can be made of it."""
        message = exchange.message
        try:
            head = make_head(answer, message, self._may_keep_open(exchange, answer))
        except Exception as exc:
            # Nothing of it was written, so that the requests behind it need not end.
            self._server.log_unexpected_error(exc)
            answer = make_refusal(ErrorCode.ANSWER_LOST, Outcome.UNKNOWN)
            exchange.note_answer(answer)
            head = make_head(answer, message, self._may_keep_open(exchange, answer))
        self._write_answer(head, answer)

    def _write_answer(self, head: AnswerHead, answer: Answer) -> None:
        """Write an answer; its head is sent together with the first piece of its body."""
        self._has_announced_close = self._has_announced_close or head.announces_close
        self._writer.write(head, answer)
        if head.announces_close:
            self._end_sending()

    def _end_sending(self) -> None:
        """End the sending side after the last answer; the reader discards what the caller still sends."""
        self._is_closing = self._delivery.is_stream_ended = True
        self._time_limit.lift()
        if self._open_exchange is None and self._server.is_over_connection_limit() and not self._server.is_stopping:
            # Another caller needs the connection slot, and hardly any input can be in transit.
            self._linger_timeout = 0.0
        self._conn.shutdown(plain_socket.SHUT_WR)
        self._has_room.set()
        self._conn.expire_wait()

    def _break_off(self, exchange: Exchange, reason: str) -> None:
        """End the connection after an incomplete answer, which the caller must not take for a complete one."""
        if exchange in self._exchanges:
            self.ends.note_unwritten(exchange.trace)
        if not self._writer.is_close_delimited:
            try:
                # Answers before the incomplete one still reach the caller.
                self._end_sending()
                self._end_reason = reason
                return
            except OSError:
                self._is_reset = True
        elif self._conn.is_connected():
            self._end_reason = reason
        else:
            self._is_reset = True
        self._is_closing = self._delivery.is_stream_ended = True
        self._greenlet.kill(block=False)

    def _refuse_malformed(self, exc: MalformedMessage) -> None:
        """Refuse a malformed request."""
        if self._has_last_answer():
            return
        # Part of an open body may already have been passed on.
        outcome = Outcome.NOT_RUN if self._open_exchange is None else Outcome.UNKNOWN
        self._refuse(refuse_malformed(exc, outcome))

    def _refuse(self, answer: Answer) -> None:
        """Write the refusal of a request that was not begun, as the last answer."""
        message = Message()
        message.version = "1.1"
        self._conn.settimeout(DELIVERY_TIMEOUT)
        self._write_answer(make_head(answer, message, keep_alive=False), answer)


def _describe(exc: BaseException) -> str:
    """Describe the error by which a connection ended; one whose caller has reset it may report ENOTCONN."""
    if isinstance(exc, ConnectionResetError | BrokenPipeError) or getattr(exc, "errno", None) == errno.ENOTCONN:
        return "reset"
    return repr(exc)
