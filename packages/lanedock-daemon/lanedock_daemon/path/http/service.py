# SPDX-License-Identifier: BSD-3-Clause
"""Base class of the servers of the request path: start and graceful stop."""

from abc import abstractmethod

import gevent
from gevent.server import StreamServer

from lanedock.clock import monotonic
from lanedock.errors import ErrorCode, LanedockError
from lanedock.kernel import Kernel, Service, StopPlan
from lanedock.settings import Address
from lanedock.telemetry import Event, EventLogger

__all__ = ["ACCEPT_BATCH", "HttpService", "StopTimeout"]

# Interval, in seconds, between checks whether a stopping server is idle.
POLL = 0.02
# Connections that are accepted before their handlers run, which close those without room.
ACCEPT_BATCH = 8
# Delay of the final answers, in seconds, from which on the process is taken to have got no time at the deadline.
LATE = 0.02
# Number of pauses before late final answers, and their length in seconds. What has arrived meanwhile is read in
# the first one, and passed on in the others.
LATE_PAUSES = 3
LATE_PAUSE = 0.01


class StopTimeout(gevent.GreenletExit):
    """Raised in greenlets that handle requests when the process stops and they have to answer at once."""


class HttpService(Service):
    """Accepts requests at an address and passes them to one side of the request path.

    Parameters
    ----------
    name : str
        Name as a service of the kernel.
    address : Address
    side : object
        Has a method ``handle(request) -> Answer``.
    plan : StopPlan
        Stop plan of the process. All requests still in progress are answered at its deadline.
    events : EventLogger
    closes_last : bool
        Whether the server accepts connections until `stop` rather than until `begin_stop`.

    Attributes
    ----------
    in_progress : int
        Number of requests in progress.
    is_stopping : bool
        Whether connections are to be closed after their next answer.
    """

    def __init__(
        self, name: str, address: Address, side, plan: StopPlan, events: EventLogger, closes_last: bool = False
    ):
        self.name = name
        self.side = side
        self.in_progress = 0
        self.is_stopping = False
        self._address = address
        self._plan = plan
        self._events = events
        self._closes_last = closes_last
        self._final_answers: gevent.Greenlet | None = None
        self._must_force_answers = True
        # When the wait for the requests in progress ends; not known until their final answers are made.
        self._cut_at = float("inf")
        self._server: StreamServer | None = None

    @abstractmethod
    def _make_server(self, listener: tuple[str, int]) -> StreamServer:
        """Make the server without starting it."""

    @property
    def port(self) -> int:
        """Port on which the server listens."""
        return self._server.server_port

    def start(self, kernel: Kernel) -> None:
        self._server = self._make_server((self._address.host, self._address.port))
        try:
            self._server.start()
        except OSError as exc:
            raise LanedockError(ErrorCode.ADDRESS_TAKEN, f"{self._address}: {exc}") from exc

    def _is_idle(self) -> bool:
        """Return whether the server has nothing left to do and may stop."""
        return not self.in_progress

    def begin_stop(self) -> None:
        """Schedule the final answers, and close the listener unless `closes_last` is set."""
        if self._final_answers is None:
            now = monotonic()
            self._plan.begin(now)
            self._final_answers = gevent.spawn_later(max(0.0, self._plan.deadline - now), self._give_final_answers)
        if not self._closes_last:
            self._close()

    def _close(self) -> None:
        """Accept no new connections; open ones are closed after their next answer."""
        self.is_stopping = True
        if self._server.started:
            self._accept_queued()
            self._server.close()

    def _accept_queued(self) -> int:
        """Accept the connections in the listen queue, which closing the listener would reset; return their number."""
        count = 0
        self._server.stop_accepting()
        try:
            while (accepted := self._server.do_read()) is not None:
                self._server.do_handle(*accepted)
                count += 1
                if count % ACCEPT_BATCH == 0:
                    gevent.sleep(0)
        except OSError as exc:
            self._events.emit(Event.UNEXPECTED, error=repr(exc))
        # Lets the handlers start, so that the server doesn't find itself idle before.
        gevent.sleep(0)
        return count

    def _give_final_answers(self) -> None:
        """Answer all requests in progress, once; if it is late, after passing on the answers that have arrived."""
        if not self._must_force_answers:
            return
        self._must_force_answers = False
        if monotonic() > self._plan.deadline + LATE:
            for _ in range(LATE_PAUSES):
                gevent.sleep(LATE_PAUSE)
        try:
            self._force_final_answers()
        finally:
            self._cut_at = self._plan.cut_after(monotonic())

    def _force_final_answers(self) -> None:
        """Answer all requests still in progress; does nothing unless a subclass can do so."""

    def stop(self) -> None:
        """Accept no new connections, and wait until the requests in progress have ended."""
        self.begin_stop()
        self._close()
        while not self._is_idle() and monotonic() < self._cut_at:
            # The timer of the final answers doesn't count time in which the instance is suspended.
            if monotonic() >= self._plan.deadline:
                self._give_final_answers()
            gevent.sleep(POLL)
        self._final_answers.kill()
        if self.in_progress:
            self._events.emit(Event.CUT_SHORT, requests=self.in_progress)
        self._server.stop(timeout=0)
