# SPDX-License-Identifier: BSD-3-Clause
"""The request path on gevent's WSGI server: the baseline for benchmarks.

Kept for comparison; deployments use `lanedock_daemon.path.http.server`.
"""

from gevent import pywsgi, socket

from lanedock_daemon.agent.reachability import ALIVE_PATH
from lanedock_daemon.path.http.headers import HOP_HEADERS
from lanedock_daemon.path.http.messages import NEVER, Body, Request
from lanedock_daemon.path.http.service import HttpService

__all__ = ["WsgiPathServer"]


class _WsgiBody(Body):
    """A request body from gevent's WSGI server."""

    def __init__(self, environ: dict):
        length = environ.get("CONTENT_LENGTH")
        if environ.get("HTTP_TRANSFER_ENCODING", "").lower() == "chunked":
            self.length = None
        else:
            self.length = int(length) if length else 0
        self._input = environ["wsgi.input"]

    def read(self, size: int, deadline: float = NEVER) -> bytes:
        return self._input.read(size)


class _Handler(pywsgi.WSGIHandler):
    """Connection handler that disables Nagle's algorithm, and keeps the raw target and headers."""

    def handle(self) -> None:
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().handle()

    def get_environ(self) -> dict:
        environ = super().get_environ()
        # The target as sent: the unquoted path could name another resource at the upstream.
        environ["lanedock.target"] = self.path
        environ["lanedock.headers"] = [(name.lower(), value) for name, value in self.headers.items()]
        return environ

    def log_request(self) -> None:
        pass


class WsgiPathServer(HttpService):
    """HTTP server on gevent's WSGI server; its parameters are those of `HttpService`."""

    def _make_server(self, listener: tuple[str, int]) -> pywsgi.WSGIServer:
        return pywsgi.WSGIServer(listener, self._serve, handler_class=_Handler, log=None, error_log=None)

    def _serve(self, environ: dict, start_response):
        if environ["PATH_INFO"] == ALIVE_PATH:
            start_response("200 OK", [("Content-Length", "0")])
            return [b""]
        self.in_progress += 1
        try:
            answer = self.side.handle(_make_request(environ))
            headers = list(answer.headers)
            if self.is_stopping:
                headers.append(("Connection", "close"))
            start_response(f"{answer.status} {answer.reason}", headers)
        except BaseException:
            self.in_progress -= 1
            raise
        return self._stream(answer.pieces)

    def _stream(self, pieces):
        try:
            yield from pieces
        finally:
            self.in_progress -= 1


def _make_request(environ: dict) -> Request:
    headers = [pair for pair in environ["lanedock.headers"] if pair[0] not in HOP_HEADERS]
    host = environ.get("HTTP_HOST", "").partition(":")[0].lower()
    return Request(environ["REQUEST_METHOD"], environ["lanedock.target"], host, headers, _WsgiBody(environ))
