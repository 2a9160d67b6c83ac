# SPDX-License-Identifier: BSD-3-Clause
"""A stand-in for an upstream's application: a small WSGI server with faults.

It counts how often each request id ran, so a test can tell whether a request
ran more than once.
"""

import json
import random
import socket as plain_socket
import time

import gevent
from gevent import pywsgi, socket
from gevent.lock import BoundedSemaphore

__all__ = ["BadVersion", "StandInUpstream", "UpstreamBehaviour"]

# How often a request's work looks whether its caller is still there, in seconds.
CANCEL_INTERVAL = 0.01
ID_HEADER = "HTTP_X_REQUEST_ID"
DEADLINE_HEADER = "HTTP_X_REQUEST_DEADLINE_MS"


class BadVersion:
    """What is wrong with a version of an application.

    Parameters
    ----------
    share : float
        Of the requests that it is bad on, 0 to 1.
    factor : float
        How many times as long these take; failures where it is 0.
    path : str
        Beginning of the paths on which it is bad.
    after : float
        Seconds after its first request from which it is bad.
    above : int
        Requests in progress above which it is bad.
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

    def hits(self, path: str, age: float, in_progress: int) -> bool:
        """Return whether a request meets it: `age` seconds after the first, beside others in progress."""
        if not path.startswith(self.path) or age < self.after or in_progress <= self.above:
            return False
        return random.random() < self.share


class UpstreamBehaviour:
    """How a stand-in behaves; may be changed while it runs.

    Attributes
    ----------
    bad : BadVersion or None
    work : float
        Seconds that a request takes.
    slots : int
        Requests worked on at once; more of them wait.
    connections : int
        Connections accepted at once; more of them wait.
    cold_until : float
        Monotonic; until then a request takes `cold_factor` times as long.
    shed : bool
        Answer 503 to everything.
    draining : bool
        Say on every answer that the upstream drains.
    cut_after : int or None
        Cut the connection after this many bytes of an answer's body.
    told_load : float
        What the load endpoint reports, whatever is true.
    """

    __slots__ = (
        "bad",
        "cold_factor",
        "cold_until",
        "connections",
        "cut_after",
        "draining",
        "shed",
        "slots",
        "told_load",
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
        self.told_load = 0.0


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
    """An application that answers every request with what it received.

    Parameters
    ----------
    name : str
    address : tuple of (str, int)
        Port 0 for any.
    behaviour : UpstreamBehaviour, optional

    Attributes
    ----------
    runs : dict of str to int
        How often each request id ran.
    in_progress, cancelled : int
        Requests worked on now, and given up since their callers had gone.
    """

    def __init__(self, name: str, address=("127.0.0.1", 0), behaviour: UpstreamBehaviour | None = None):
        self.name = name
        self.behaviour = behaviour or UpstreamBehaviour()
        self.runs: dict[str, int] = {}
        self.in_progress = 0
        self.cancelled = 0
        self._first_at: float | None = None
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
        """Where it listens."""
        return self._server.address

    def start(self) -> None:
        """Start to serve."""
        self._server.start()

    def stop(self) -> None:
        """Stop at once."""
        self._server.stop(timeout=0)

    def _serve(self, environ: dict, start_response):
        path = environ["PATH_INFO"]
        if path == "/.health":
            start_response("200 OK", [("Content-Length", "0")])
            return [b""]
        if path == "/.load":
            return self._answer(start_response, {"load": self.behaviour.told_load})
        if path == "/.runs":
            return self._answer(start_response, self.runs)
        if self.behaviour.shed or self._is_hopeless(environ):
            start_response("503 Service Unavailable", [("Content-Length", "0"), ("Retry-After", "1")])
            return [b""]
        with self._slots:
            return self._work(environ, start_response)

    def _is_hopeless(self, environ: dict) -> bool:
        """Return whether a request's deadline passes before its work is done."""
        left_ms = environ.get(DEADLINE_HEADER, "")
        return left_ms.isdigit() and int(left_ms) / 1000 < self._work_time()

    def _work(self, environ: dict, start_response):
        self.in_progress += 1
        is_bad = self._is_bad(environ["PATH_INFO"])
        try:
            request_id = environ.get(ID_HEADER, "")
            self.runs[request_id] = self.runs.get(request_id, 0) + 1
            size = 0
            while piece := environ["wsgi.input"].read(65536):
                size += len(piece)
            factor = self.behaviour.bad.factor if is_bad else 1.0
            self._spend((factor or 1.0) * self._work_time(), environ["lanedock.socket"])
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
        wanted = environ["QUERY_STRING"].partition("size=")[2]
        padding = int(wanted) if wanted.isdigit() else 0
        return self._answer(start_response, content, padding)

    def _is_bad(self, path: str) -> bool:
        now = time.monotonic()
        if self._first_at is None:
            self._first_at = now
        bad = self.behaviour.bad
        return bad is not None and bad.hits(path, now - self._first_at, self.in_progress)

    def _spend(self, seconds: float, conn) -> None:
        """Take time, unless the caller goes away meanwhile."""
        until = time.monotonic() + seconds
        while (left := until - time.monotonic()) > 0:
            gevent.sleep(min(left, CANCEL_INTERVAL))
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
            raise ConnectionError("cut by the script")
        yield body
        while padding > 0:
            piece = min(padding, 65536)
            yield b"." * piece
            padding -= piece


def _is_closed(conn) -> bool:
    """Return whether the other side has closed a connection."""
    try:
        return not conn._sock.recv(1, plain_socket.MSG_PEEK | plain_socket.MSG_DONTWAIT)
    except BlockingIOError:
        return False
    except OSError:
        return True
