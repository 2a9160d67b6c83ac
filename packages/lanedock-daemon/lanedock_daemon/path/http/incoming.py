# SPDX-License-Identifier: BSD-3-Clause
"""Incoming requests: streamed bodies, the order of answers, and the workers that process requests."""

from collections.abc import Callable

import gevent
from gevent import get_hub, getcurrent
from gevent.event import Event as Signal

from lanedock.clock import monotonic
from lanedock_daemon.path.http.headers import OUTCOME_HEADER, REQUEST_ID_HEADER
from lanedock_daemon.path.http.messages import NEVER, Answer, Body, BodyBroken, BodyTimeout, CallerDisconnected
from lanedock_daemon.path.http.parsed_message import Message
from lanedock_daemon.path.http.request_trace import RequestTrace
from lanedock_daemon.path.http.service import StopTimeout

__all__ = ["Exchange", "Worker"]

# Idle workers kept for reuse, since requests end while others start. Further ones end after their request.
MAX_IDLE_WORKERS = 32
# Lowest status of answers that state an outcome.
MIN_ERROR_STATUS = 400


class _StreamedBody(Body):
    """A request's body that the connection's reader fills as data arrives.

    Parameters
    ----------
    message : Message
    on_read : callable
        Called without arguments after each piece is read.
    send_continue : callable
        Called with the deadline of the read when the body is waited for while the sender waits for
        `100 Continue`, until it returns True: that has been sent.
    max_bytes : float
        Length above which the body breaks off; infinite for no limit.
    """

    def __init__(self, message: Message, on_read, send_continue, max_bytes: float = NEVER):
        self._bytes_left = max_bytes
        self._on_read = on_read
        self._send_continue = send_continue
        self._message = message
        self._unread = b""
        self._arrival = None if message.is_complete else Signal()
        self._is_broken = False
        self._wants_continue = not message.is_complete and message.header("expect").lower() == "100-continue"
        length = message.header("content-length")
        if message.header("transfer-encoding"):
            self.length = None
        else:
            self.length = int(length) if length else 0

    def notify_arrival(self) -> None:
        """Wake the reader of the body after more data has arrived."""
        if self._arrival is not None:
            self._arrival.set()

    def mark_broken(self) -> None:
        """Record that the rest of the body will not arrive."""
        self._is_broken = True
        self.notify_arrival()

    def read(self, size: int, deadline: float = NEVER) -> bytes:
        if not self._unread:
            self._unread = self._next_piece(deadline)
        piece, self._unread = self._unread[:size], self._unread[size:]
        return piece

    def _next_piece(self, deadline: float) -> bytes:
        while not self._message.pieces:
            if self._message.is_complete:
                return b""
            if self._is_broken:
                raise BodyBroken("the connection ended before the end of the request body")
            if self._wants_continue and self._send_continue(deadline):
                # Data may have arrived meanwhile.
                self._wants_continue = False
                continue
            self._wait(deadline)
        piece = self._message.take_piece()
        self._on_read()
        self._bytes_left -= len(piece)
        if self._bytes_left < 0:
            raise BodyBroken("the request body is longer than the version in force allows")
        return piece

    def keep(self, size: int) -> None:
        self._message.kept_bytes += size

    def _wait(self, deadline: float) -> None:
        """Wait until more data arrives or the body breaks off."""
        self._arrival.clear()
        if deadline == NEVER:
            self._arrival.wait()
            return
        remaining = deadline - monotonic()
        if remaining <= 0:
            raise BodyTimeout("the request body was not received before its deadline")
        # A timer of the loop costs 1 us; the timeout of `Event.wait` costs 5 us.
        timer = get_hub().loop.timer(remaining)
        timer.start(self._arrival.set)
        try:
            self._arrival.wait()
        finally:
            timer.close()


class Exchange:
    """A request on a connection, and the state of its answer.

    Parameters
    ----------
    connection : Connection
    message : Message
    max_body_bytes : float
        Length of the body above which it breaks off.

    Attributes
    ----------
    held_bytes : int
        Memory, in bytes, that the request is taken to hold, without its body.
    on_end : callable or None
        Called without arguments once the request's worker has ended its work.
    """

    __slots__ = (
        "body",
        "connection",
        "done",
        "held_bytes",
        "is_answered",
        "message",
        "on_end",
        "trace",
        "turn",
        "worker",
    )

    def __init__(self, connection, message: Message, max_body_bytes: float = NEVER):
        self.connection = connection
        self.message = message
        self.trace = RequestTrace(message.header(REQUEST_ID_HEADER), message.read_at)
        self.trace.begun_at = monotonic()
        self.trace.is_reported = message.is_reported
        self.body = _StreamedBody(message, connection.notify_body_read, self._send_continue, max_body_bytes)
        self.held_bytes = 0
        self.worker: Worker | None = None
        self.turn: Signal | None = None
        self.done: Signal | None = None
        self.on_end: Callable[[], None] | None = None
        self.is_answered = False

    def note_answer(self, answer: Answer) -> None:
        """Record that the answer was made."""
        self.is_answered = True
        outcome = ""
        if answer.status >= MIN_ERROR_STATUS:
            outcome = next((value for name, value in answer.headers if name == OUTCOME_HEADER), "")
        self.trace.note_answer(answer.status, outcome, monotonic())

    def _send_continue(self, deadline: float) -> bool:
        """Send `100 Continue` if it is this request's turn, and return whether it is."""
        try:
            return self.connection.send_continue(self, deadline)
        except BodyTimeout:
            raise
        except OSError as exc:
            raise BodyBroken("the connection broke before its body was asked for") from exc

    def take_turn(self) -> None:
        """Let the worker write the answer, or ask for the body, once all earlier answers are written."""
        if self.turn is not None:
            self.turn.set()
        else:
            self.body.notify_arrival()

    def cancel(self) -> None:
        """Schedule the cancellation of the request; no effect if it ends before."""
        if self.worker is not getcurrent():
            get_hub().loop.run_callback(self._throw, CallerDisconnected)

    def force_answer(self) -> None:
        """Interrupt the processing so that a final answer is made now, unless there is one already."""
        if not self.is_answered:
            get_hub().loop.run_callback(self._throw, StopTimeout)

    def _throw(self, exc_type: type[BaseException]) -> None:
        # The worker may have finished this request or got its answer since the call was scheduled.
        if self.worker is not None and not (exc_type is StopTimeout and self.is_answered):
            self.worker.throw(exc_type)


class Worker(gevent.Greenlet):
    """A greenlet that processes requests one after the other.

    A new greenlet for each request would cost two system calls and the memory pages of its stack.

    Parameters
    ----------
    idle : list of Worker
        List of idle workers, to which the worker returns after each request.
    """

    def __init__(self, idle: list):
        super().__init__()
        self._idle = idle
        self._exchange: Exchange | None = None

    def assign(self, exchange: Exchange) -> None:
        """Start processing a request."""
        exchange.worker = self
        self._exchange = exchange
        if self.started:
            get_hub().loop.run_callback(self.switch)
        else:
            self.start()

    def _run(self) -> None:
        hub = get_hub()
        while True:
            exchange, self._exchange = self._exchange, None
            exchange.connection.work(exchange)
            exchange.worker = None
            if len(self._idle) >= MAX_IDLE_WORKERS:
                return
            self._idle.append(self)
            exchange = None
            # Only `assign` sets an exchange; other wake-ups stem from earlier waits and are ignored.
            while self._exchange is None:
                hub.switch()
