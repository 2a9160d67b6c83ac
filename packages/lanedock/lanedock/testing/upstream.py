# SPDX-License-Identifier: BSD-3-Clause
"""A stand-in for an upstream's application: a small WSGI server with configurable faults.

It counts the runs of each request id, so that a test can detect repeated requests.
"""

import json
import random
import socket as plain_socket
import time

import gevent
from gevent import pywsgi, socket
from gevent.lock import BoundedSemaphore

__all__ = ["BadVersion", "StandInUpstream", "UpstreamBehaviour"]

# Seconds between two checks whether a request's caller has closed its connection.
CANCEL_CHECK_INTERVAL = 0.01
ID_HEADER = "HTTP_X_REQUEST_ID"
DEADLINE_HEADER = "HTTP_X_REQUEST_DEADLINE_MS"


class BadVersion:
    """Faults of a bad version of an application.

    Parameters
    ----------
    share : float
        Share of affected requests, 0 to 1, among those that meet the other conditions.
    factor : float
        Multiplies the work time of affected requests; 0 makes them fail with status 500.
    path : str
        Prefix of the affected paths.
    after : float
        Seconds between the first request and the beginning of the fault.
    above : int
        Number of requests in progress above which requests are affected.
    """

    __slots__ = ("above", "after", "factor", "path", "share")

    def __init__(self, share: float, factor: float = 0.0, path: str = "/", after: float = 0.0, above: int = 0):
        self.share = share
        self.factor = factor
        self.path = path
        self.after = after
        self.above = above

    def __repr__(self) -> str:
        return f"<BadVersion share={self.share} factor={self.factor} path={self.path}>"

    def affects(self, path: str, age: float, in_progress: int) -> bool:
        """Decide at random whether a request that comes `age` seconds after the first one is affected."""
        if not path.startswith(self.path) or age < self.after or in_progress <= self.above:
            return False
        return random.random() < self.share


class UpstreamBehaviour:
    """Settings of a stand-in application; may be changed while it runs.

    Attributes
    ----------
    bad : BadVersion or None
        Faults of the version, if it is a bad one.
    work : float
        Seconds that a request takes.
    slots : int
        Maximum number of concurrent requests; others wait. Read at construction only.
    connections : int
        Maximum number of open connections; others wait. Read at construction only.
    cold_until : float
        Monotonic time, in seconds, until which a request takes `cold_factor` times as long.
    cold_factor : float
    shed : bool
        Whether every request is answered with status 503.
    draining : bool
        Whether every answer states that the upstream is draining.
    cut_after : int or None
        Number of bytes of an answer's body after which the connection is closed.
    reported_load : float
        Load that the load endpoint reports, independent of the actual load.
    """

    __slots__ = (
        "bad",
        "cold_factor",
        "cold_until",
        "connections",
        "cut_after",
        "draining",
        "reported_load",
        "shed",
        "slots",
        "work",
    )

    def __init__(self, work: float = 0.0, slots: int = 12, connections: int = 130):
        self.bad: BadVersion | None = None
        self.work = work
        self.connections = connections
        self.slots = slots
        self.cold_until = 0.0
        self.cold_factor = 5.0
        self.shed = False
        self.draining = False
        self.cut_after: int | None = None
        self.reported_load = 0.0


class _Handler(pywsgi.WSGIHandler):
    def handle(self) -> None:
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().handle()

    def get_environ(self) -> dict:
        environ = super().get_environ()
        environ["lanedock.socket"] = self.socket
        return environ


class _Cancelled(Exception):
    """The caller has closed its connection."""


class StandInUpstream:
    """An application that answers every request with a JSON description of it.

    Parameters
    ----------
    name : str
    address : tuple of (str, int)
        Host and port; port 0 selects a free one.
    behaviour : UpstreamBehaviour, optional

    Attributes
    ----------
    runs : dict of str to int
        Number of runs of each request id.
    in_progress : int
        Requests that are being worked on.
    cancelled : int
        Requests that were abandoned because their callers closed the connection.
    """

    def __init__(self, name: str, address=("127.0.0.1", 0), behaviour: UpstreamBehaviour | None = None):
        self.name = name
        self.behaviour = behaviour or UpstreamBehaviour()
        self.runs: dict[str, int] = {}
        self.in_progress = 0
        self.cancelled = 0
        self._first_request_at: float | None = None
        self._slots = BoundedSemaphore(self.behaviour.slots)
        self._server = pywsgi.WSGIServer(
            address,
            self._serve,
            spawn=self.behaviour.connections,
            handler_class=_Handler,
            log=None,
            error_log=None,
        )

    def __repr__(self) -> str:
        return f"<StandInUpstream {self.name} {self.address} runs={sum(self.runs.values())}>"

    @property
    def address(self) -> tuple[str, int]:
        """Host and port on which the application listens."""
        return self._server.address

    def start(self) -> None:
        """Start serving."""
        self._server.start()

    def stop(self) -> None:
        """Stop without waiting for requests in progress."""
        self._server.stop(timeout=0)

    def _serve(self, environ: dict, start_response):
        path = environ["PATH_INFO"]
        if path == "/.health":
            start_response("200 OK", [("Content-Length", "0")])
            return [b""]
        if path == "/.load":
            return self._answer(start_response, {"load": self.behaviour.reported_load})
        if path == "/.runs":
            return self._answer(start_response, self.runs)
        if self.behaviour.shed or self._would_miss_deadline(environ):
            start_response("503 Service Unavailable", [("Content-Length", "0"), ("Retry-After", "1")])
            return [b""]
        with self._slots:
            return self._run_request(environ, start_response)

    def _would_miss_deadline(self, environ: dict) -> bool:
        """Return whether the time until a request's deadline is shorter than its work."""
        left_ms = environ.get(DEADLINE_HEADER, "")
        return left_ms.isdigit() and int(left_ms) / 1000 < self._work_time()

    def _run_request(self, environ: dict, start_response):
        self.in_progress += 1
        is_bad = self._is_bad(environ["PATH_INFO"])
        try:
            request_id = environ.get(ID_HEADER, "")
            self.runs[request_id] = self.runs.get(request_id, 0) + 1
            size = 0
            while chunk := environ["wsgi.input"].read(65536):
                size += len(chunk)
            factor = self.behaviour.bad.factor if is_bad else 1.0
            self._simulate_work((factor or 1.0) * self._work_time(), environ["lanedock.socket"])
        except _Cancelled:
            self.cancelled += 1
            raise ConnectionError("cancelled") from None
        finally:
            self.in_progress -= 1
        if is_bad and not self.behaviour.bad.factor:
            start_response("500 Internal Server Error", [("Content-Length", "0")])
            return [b""]
        content = {
            "upstream": self.name,
            "method": environ["REQUEST_METHOD"],
            "path": environ["PATH_INFO"],
            "id": request_id,
            "received": size,
            "traceparent": environ.get("HTTP_TRACEPARENT", ""),
        }
        size_text = environ["QUERY_STRING"].partition("size=")[2]
        padding = int(size_text) if size_text.isdigit() else 0
        return self._answer(start_response, content, padding)

    def _is_bad(self, path: str) -> bool:
        now = time.monotonic()
        if self._first_request_at is None:
            self._first_request_at = now
        bad = self.behaviour.bad
        return bad is not None and bad.affects(path, now - self._first_request_at, self.in_progress)

    def _simulate_work(self, seconds: float, conn) -> None:
        """Sleep for the time of the work; raises `_Cancelled` if the caller closes the connection meanwhile."""
        done_at = time.monotonic() + seconds
        while (left := done_at - time.monotonic()) > 0:
            gevent.sleep(min(left, CANCEL_CHECK_INTERVAL))
            if _is_closed(conn):
                raise _Cancelled

    def _work_time(self) -> float:
        behaviour = self.behaviour
        if time.monotonic() < behaviour.cold_until:
            return behaviour.work * behaviour.cold_factor
        return behaviour.work

    def _answer(self, start_response, value: dict, padding: int = 0):
        body = json.dumps(value).encode()
        headers = [("Content-Type", "application/json"), ("Content-Length", str(len(body) + padding))]
        if self.behaviour.draining:
            headers.append(("X-Upstream-Draining", "1"))
        start_response("200 OK", headers)
        return self._stream(body, padding)

    def _stream(self, body: bytes, padding: int):
        cut_after = self.behaviour.cut_after
        if cut_after is not None:
            yield body[:cut_after]
            raise ConnectionError(f"connection closed after {cut_after} bytes of the body, as configured")
        yield body
        while padding > 0:
            length = min(padding, 65536)
            yield b"." * length
            padding -= length


def _is_closed(conn) -> bool:
    """Return whether the peer has closed a connection."""
    try:
        return not conn._sock.recv(1, plain_socket.MSG_PEEK | plain_socket.MSG_DONTWAIT)
    except BlockingIOError:
        return False
    except OSError:
        return True
