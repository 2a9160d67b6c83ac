# SPDX-License-Identifier: BSD-3-Clause
"""What the servers of the request path have in common: start, and a polite stop."""

from abc import abstractmethod

import gevent
from gevent.server import StreamServer

from lanedock.clock import monotonic
from lanedock.errors import ErrorCode, LanedockError
from lanedock.kernel import Kernel, Service, StopPlan
from lanedock.settings import Address
from lanedock.telemetry import Event, EventLogger

__all__ = ["HttpService", "StopTimeout"]

# Seconds between two looks whether a server that stops has nothing left to do.
POLL = 0.02


class StopTimeout(gevent.GreenletExit):
    """The process ends: what works on a request has to give its final answer now."""


class HttpService(Service):
    """Takes requests on an address and hands them to one side of the path.

    Parameters
    ----------
    name : str
        As a service.
    address : Address
    side : object
        With ``handle(request) -> Answer``.
    plan : StopPlan
        The process's. At its deadline all that is in progress is answered.
    events : EventLogger
    closes_last : bool
        Whether it accepts requests until it is stopped, rather than until all
        services begin to stop.

    Attributes
    ----------
    in_progress : int
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
        self._final: gevent.Greenlet | None = None
        self._server: StreamServer | None = None

    @abstractmethod
    def _make_server(self, listener: tuple[str, int]) -> StreamServer:
        """Make the server, not yet started."""

    @property
    def port(self) -> int:
        """The port that it listens on."""
        return self._server.server_port

    def start(self, kernel: Kernel) -> None:
        self._server = self._make_server((self._address.host, self._address.port))
        try:
            self._server.start()
        except OSError as exc:
            raise LanedockError(ErrorCode.ADDRESS_TAKEN, f"{self._address}: {exc}") from exc

    def _is_idle(self) -> bool:
        """Tell whether the server may be ended."""
        return not self.in_progress

    def begin_stop(self) -> None:
        """Set when the final answers are given, and take no new connections."""
        if self._final is None:
            now = monotonic()
            self._plan.begin(now)
            self._final = gevent.spawn_later(max(0.0, self._plan.deadline - now), self._answer_rest)
        if not self._closes_last:
            self._close()

    def _close(self) -> None:
        """Take no new connections; those there are close after their next answer."""
        self.is_stopping = True
        self._server.close()

    def _answer_rest(self) -> None:
        """Have everything answered that has no answer yet, where the server can do so."""

    def stop(self) -> None:
        """Take no new connections, and let requests in progress end."""
        self.begin_stop()
        self._close()
        while not self._is_idle() and monotonic() < self._plan.cut_at:
            gevent.sleep(POLL)
        self._final.kill()
        if self.in_progress:
            self._events.emit(Event.CUT_SHORT, requests=self.in_progress)
        self._server.stop(timeout=0)
