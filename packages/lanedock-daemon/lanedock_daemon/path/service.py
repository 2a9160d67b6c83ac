# SPDX-License-Identifier: BSD-3-Clause
"""What the servers of the request path have in common: start, and a polite stop."""

import time
from abc import abstractmethod

import gevent
from gevent.server import StreamServer

from lanedock.errors import ErrorCode, LanedockError
from lanedock.kernel import Kernel, Service
from lanedock.settings import Address
from lanedock.telemetry import Event, EventLogger

__all__ = ["HttpService"]

POLL = 0.02


class HttpService(Service):
    """Takes requests on an address and hands them to one side of the path.

    Parameters
    ----------
    name : str
        As a service.
    address : Address
    side : object
        With ``handle(request) -> Answer``.
    stop_timeout : float
        Longest wait for requests in progress, seconds.
    events : EventLogger

    Attributes
    ----------
    in_progress : int
    is_stopping : bool
        Whether connections are to be closed after their next answer.
    """

    def __init__(self, name: str, address: Address, side, stop_timeout: float, events: EventLogger):
        self.name = name
        self.side = side
        self.in_progress = 0
        self.is_stopping = False
        self._address = address
        self._stop_timeout = stop_timeout
        self._events = events
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

    def stop(self) -> None:
        """Take no new connections, and let requests in progress end."""
        self.is_stopping = True
        self._server.close()
        deadline = time.monotonic() + self._stop_timeout
        while not self._is_idle() and time.monotonic() < deadline:
            gevent.sleep(POLL)
        if self.in_progress:
            self._events.emit(Event.CUT_SHORT, requests=self.in_progress)
        self._server.stop(timeout=0)
