# SPDX-License-Identifier: BSD-3-Clause
"""The request path on gevent's WSGI server: the baseline of the benches.

It stays to be compared with; `lanedock_daemon.path.server` is what runs.
"""

import time

import gevent
from gevent import pywsgi, socket
from gevent.server import StreamServer

from lanedock.errors import ErrorCode, LanedockError
from lanedock.kernel import Kernel, Service
from lanedock.settings import Address
from lanedock.telemetry import Event, EventLogger
from lanedock_daemon.agent.attest import ALIVE_PATH
from lanedock_daemon.path.http import HOP_HEADERS, Body, Request

__all__ = ["WsgiPathServer"]

IDLE_TIMEOUT = 300.0
POLL = 0.02


class _WsgiBody(Body):
    """A body that gevent's WSGI server reads."""

    def __init__(self, environ: dict):
        length = environ.get("CONTENT_LENGTH")
        if environ.get("HTTP_TRANSFER_ENCODING", "").lower() == "chunked":
            self.length = None
        else:
            self.length = int(length) if length else 0
        self._input = environ["wsgi.input"]

    def read(self, size: int) -> bytes:
        return self._input.read(size)


class _Handler(pywsgi.WSGIHandler):
    """Counts requests in progress, and closes connections politely when stopping."""

    def handle(self) -> None:
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().handle()

    def get_environ(self) -> dict:
        environ = super().get_environ()
        # As sent: the unquoted path could name another resource upstream.
        environ["lanedock.target"] = self.path
        environ["lanedock.headers"] = [(name.lower(), value) for name, value in self.headers.items()]
        return environ

    def log_request(self) -> None:
        pass


class WsgiPathServer(Service):
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
    """

    def __init__(self, name: str, address: Address, side, stop_timeout: float, events: EventLogger):
        self.name = name
        self._address = address
        self._side = side
        self._stop_timeout = stop_timeout
        self._events = events
        self._in_progress = 0
        self._is_stopping = False
        self._server: pywsgi.WSGIServer | None = None

    def start(self, kernel: Kernel) -> None:
        listener = (self._address.host, self._address.port)
        self._server = pywsgi.WSGIServer(listener, self._serve, handler_class=_Handler, log=None, error_log=None)
        try:
            self._server.start()
        except OSError as exc:
            raise LanedockError(ErrorCode.ADDRESS_TAKEN, f"{self._address}: {exc}") from exc

    def stop(self) -> None:
        """Take no new connections, and let requests in progress end."""
        self._is_stopping = True
        StreamServer.close(self._server)
        deadline = time.monotonic() + self._stop_timeout
        while self._in_progress and time.monotonic() < deadline:
            gevent.sleep(POLL)
        if self._in_progress:
            self._events.emit(Event.CUT_SHORT, requests=self._in_progress)
        self._server.stop(timeout=0)

    def _serve(self, environ: dict, start_response):
        if environ["PATH_INFO"] == ALIVE_PATH:
            start_response("200 OK", [("Content-Length", "0")])
            return [b""]
        self._in_progress += 1
        try:
            answer = self._side.handle(_make_request(environ))
            headers = list(answer.headers)
            if self._is_stopping:
                headers.append(("Connection", "close"))
            start_response(f"{answer.status} {answer.reason}", headers)
        except BaseException:
            self._in_progress -= 1
            raise
        return self._stream(answer.pieces)

    def _stream(self, pieces):
        try:
            yield from pieces
        finally:
            self._in_progress -= 1


def _make_request(environ: dict) -> Request:
    headers = [pair for pair in environ["lanedock.headers"] if pair[0] not in HOP_HEADERS]
    host = environ.get("HTTP_HOST", "").partition(":")[0].lower()
    return Request(environ["REQUEST_METHOD"], environ["lanedock.target"], host, headers, _WsgiBody(environ))
