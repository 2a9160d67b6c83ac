# SPDX-License-Identifier: BSD-3-Clause
"""Requests that come in on a connection: their bodies, their turns, and who works on them."""

import gevent
from gevent import get_hub, getcurrent
from gevent.event import Event as Signal

from lanedock.clock import monotonic
from lanedock_daemon.path.http import NEVER, Body, BodyBroken, BodyTimeout
from lanedock_daemon.path.parser import Message
from lanedock_daemon.path.service import StopTimeout

__all__ = ["CallerGone", "Exchange", "Worker"]

# Workers kept without a request: for the requests that end while others begin.
MAX_IDLE_WORKERS = 32


class CallerGone(gevent.GreenletExit):
    """The caller closed its connection; whatever it asked for is cancelled."""


class _StreamedBody(Body):
    """A request's body, put in by the connection's reader as it comes.

    Parameters
    ----------
    message : Message
    on_taken, on_wanted : callable
        Called without arguments when a piece was taken, and once when the sender
        waits to be asked for the body.
    """

    def __init__(self, message: Message, on_taken, on_wanted):
        self._on_taken = on_taken
        self._on_wanted = on_wanted
        self._message = message
        self._rest = b""
        self._arrived = None if message.is_complete else Signal()
        self._broke_off = False
        self._wants_continue = not message.is_complete and message.header("expect").lower() == "100-continue"
        length = message.header("content-length")
        if message.header("transfer-encoding"):
            self.length = None
        else:
            self.length = int(length) if length else 0

    def wake(self) -> None:
        """Note that more of it has come."""
        if self._arrived is not None:
            self._arrived.set()

    def break_off(self) -> None:
        """Note that nothing more will come."""
        self._broke_off = True
        self.wake()

    def read(self, size: int, deadline: float = NEVER) -> bytes:
        if not self._rest:
            self._rest = self._next_piece(deadline)
        piece, self._rest = self._rest[:size], self._rest[size:]
        return piece

    def _next_piece(self, deadline: float) -> bytes:
        pieces = self._message.pieces
        while not pieces:
            if self._message.is_complete:
                return b""
            if self._broke_off:
                raise BodyBroken("the connection ended within a body")
            if self._wants_continue:
                self._wants_continue = False
                self._on_wanted()
            self._wait(deadline)
        self._on_taken()
        return pieces.popleft()

    def _wait(self, deadline: float) -> None:
        """Wait until more has come, or nothing more will."""
        self._arrived.clear()
        if deadline == NEVER:
            self._arrived.wait()
            return
        left = deadline - monotonic()
        if left <= 0:
            raise BodyTimeout("the body has not come in time")
        # A bare timer: the time-out of `wait` takes 5 us, this one 1.
        timer = get_hub().loop.timer(left)
        timer.start(self._arrived.set)
        try:
            self._arrived.wait()
        finally:
            timer.close()


class Exchange:
    """One request of a connection, and its turn to be answered.

    Parameters
    ----------
    connection : Connection
    message : Message
    """

    __slots__ = ("body", "connection", "done", "is_answered", "message", "turn", "wants_body", "worker")

    def __init__(self, connection, message: Message):
        self.connection = connection
        self.message = message
        self.body = _StreamedBody(message, connection.note_taken, self._ask_for_body)
        self.wants_body = False
        self.worker: Worker | None = None
        self.turn: Signal | None = None
        self.done: Signal | None = None
        self.is_answered = False

    def _ask_for_body(self) -> None:
        self.wants_body = True
        self.connection.ask_for_body()

    def cancel(self) -> None:
        """End the work on it soon, unless it is over by then."""
        if self.worker is not getcurrent():
            get_hub().loop.run_callback(self._throw, CallerGone)

    def end_wait(self) -> None:
        """Have its final answer made now, unless there is one."""
        if not self.is_answered:
            get_hub().loop.run_callback(self._throw, StopTimeout)

    def _throw(self, kind: type[BaseException]) -> None:
        # The worker may have gone on to another request meanwhile, or found an answer.
        if self.worker is not None and not (kind is StopTimeout and self.is_answered):
            self.worker.throw(kind)


class Worker(gevent.Greenlet):
    """Works on requests, one after the other.

    A new greenlet for each would cost two system calls and the pages of its stack.

    Parameters
    ----------
    idle : list of Worker
        Where it waits for the next request.
    """

    def __init__(self, idle: list):
        super().__init__()
        self._idle = idle
        self._exchange: Exchange | None = None

    def assign(self, exchange: Exchange) -> None:
        """Have it work on a request."""
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
            # Woken by `assign` only; a wake-up from an earlier wait has no word.
            while self._exchange is None:
                hub.switch()
