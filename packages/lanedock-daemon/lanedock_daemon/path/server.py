# SPDX-License-Identifier: BSD-3-Clause
"""HTTP servers of the request path: gevent's sockets and httptools' parser.

gevent's WSGI server stands in `lanedock_daemon.path.wsgi` as the baseline; a hop
over it costs several times as much, and it can't notice that a caller has gone.
"""

import socket as plain_socket
import time

import gevent
from gevent import socket
from gevent.server import StreamServer

from lanedock.kernel import Kernel
from lanedock.settings import Address
from lanedock.telemetry import EventLogger
from lanedock_daemon.agent.attest import ALIVE_PATH
from lanedock_daemon.path.http import HOP_HEADERS, Answer, Body, Outcome, Request, make_refusal
from lanedock_daemon.path.parser import MalformedMessage, Message, RequestReader
from lanedock_daemon.path.service import HttpService

__all__ = ["CallerGone", "PathServer"]

IDLE_TIMEOUT = 300.0
HEAD_TIMEOUT = 10.0
BODY_TIMEOUT = 30.0
BACKLOG = 1024
_READ = 1
_NEVER = float("inf")
SWEEP_INTERVAL = 1.0
_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
_REASONS = {
    400: "Bad Request",
    408: "Request Timeout",
    414: "URI Too Long",
    431: "Request Header Fields Too Large",
    501: "Not Implemented",
}


class CallerGone(gevent.GreenletExit):
    """The caller closed its connection; whatever it asked for is cancelled."""


class _Expired(gevent.GreenletExit):
    """The connection's time is over."""


class _SocketBody(Body):
    """A request's body, read from the caller's connection as it is passed on."""

    def __init__(self, reader: RequestReader, message: Message):
        self._reader = reader
        self._message = message
        self._rest = b""
        self._wants_continue = message.header("expect").lower() == "100-continue"
        length = message.header("content-length")
        if message.header("transfer-encoding"):
            self.length = None
        else:
            self.length = int(length) if length else 0

    def read(self, size: int) -> bytes:
        if not self._rest:
            if self._wants_continue:
                self._wants_continue = False
                self._reader.conn.sendall(_CONTINUE)
            self._rest = self._reader.next_piece(self._message)
        piece, self._rest = self._rest[:size], self._rest[size:]
        return piece


class _Connection:
    """One caller's connection.

    Attributes
    ----------
    expires_at : float
        Monotonic; when the server's sweep ends it. Cheaper than a timer for
        each wait.
    """

    def __init__(self, server: "PathServer", conn):
        self.expires_at = time.monotonic() + IDLE_TIMEOUT
        self._server = server
        self._conn = conn
        self._reader = RequestReader(conn)
        self._greenlet = gevent.getcurrent()
        self._watcher = gevent.get_hub().loop.io(conn.fileno(), _READ)
        self._is_reading_head = False

    def run(self) -> None:
        """Answer requests until the connection ends."""
        try:
            while self._serve_one():
                pass
        except MalformedMessage as exc:
            self._refuse(exc)
        except _Expired:
            if self._is_reading_head:
                self._refuse(MalformedMessage("the request came too slowly", 408))
        except (OSError, gevent.GreenletExit):
            # The caller is gone, or must not take a part for the whole.
            pass
        finally:
            self._watcher.stop()
            self._watcher.close()
            self._conn.close()

    def expire(self) -> None:
        """End the connection: its caller has taken too long."""
        self._greenlet.kill(_Expired, block=False)

    def _serve_one(self) -> bool:
        """Answer one request; tells whether another may follow."""
        message = self._next_head()
        if message is None:
            return False
        if message.target == ALIVE_PATH:
            self._conn.sendall(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n")
            return message.keep_alive
        self._server.in_progress += 1
        try:
            return self._answer(message)
        finally:
            self._server.in_progress -= 1

    def _next_head(self) -> Message | None:
        """Read a head: it may be long in coming, but not slow once it has begun."""
        reader = self._reader
        if not reader.has_head():
            if not reader.is_in_head:
                self.expires_at = time.monotonic() + IDLE_TIMEOUT
                if not reader.receive_first():
                    return None
            self.expires_at = time.monotonic() + HEAD_TIMEOUT
            self._is_reading_head = True
        message = reader.next_head()
        self._is_reading_head = False
        self.expires_at = _NEVER
        return message

    def _answer(self, message: Message) -> bool:
        # The socket's own timeout bounds each wait for a piece of a body.
        self._conn.settimeout(None if message.is_complete else BODY_TIMEOUT)
        request = _make_request(message, _SocketBody(self._reader, message))
        if message.is_complete:
            self._watcher.start(self._on_readable)
        try:
            answer = self._server.side.handle(request)
        finally:
            self._watcher.stop()
        keep_alive = message.keep_alive and not self._server.is_stopping
        # A body that has not come to its end stands in the next request's way.
        keep_alive = keep_alive and message.is_complete
        self._conn.settimeout(BODY_TIMEOUT)
        self._write(answer, message, keep_alive)
        self._conn.settimeout(None)
        return keep_alive

    def _on_readable(self) -> None:
        """Have the request cancelled when the caller has closed its connection."""
        try:
            gone = not self._conn._sock.recv(1, plain_socket.MSG_PEEK | plain_socket.MSG_DONTWAIT)
        except BlockingIOError:
            return
        except OSError:
            gone = True
        self._watcher.stop()
        if gone:
            self._greenlet.kill(CallerGone, block=False)

    def _write(self, answer: Answer, message: Message, keep_alive: bool) -> None:
        """Write an answer; its head goes with the first piece of its body."""
        lines = [f"HTTP/1.1 {answer.status} {answer.reason}"]
        has_length = False
        for name, value in answer.headers:
            has_length = has_length or name == "content-length"
            lines.append(f"{name}: {value}")
        has_body = message.method != "HEAD" and answer.status not in (204, 304)
        is_chunked = has_body and not has_length and message.version == "1.1"
        if is_chunked:
            lines.append("transfer-encoding: chunked")
        elif not has_length and has_body:
            keep_alive = False
        if not keep_alive:
            lines.append("connection: close")
        head = ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")
        pieces = iter(answer.pieces)
        if not has_body:
            self._conn.sendall(head)
            _close(pieces)
            return
        try:
            self._write_body(head, pieces, is_chunked)
        finally:
            _close(pieces)

    def _write_body(self, head: bytes, pieces, is_chunked: bool) -> None:
        pending = head
        for piece in pieces:
            if not piece:
                continue
            if is_chunked:
                piece = b"%x\r\n%b\r\n" % (len(piece), piece)
            self._conn.sendall(pending + piece if pending else piece)
            pending = b""
        if is_chunked:
            pending += b"0\r\n\r\n"
        if pending:
            self._conn.sendall(pending)

    def _refuse(self, exc: MalformedMessage) -> None:
        """Answer what is malformed, and take nothing more from this connection."""
        answer = make_refusal(exc.code, Outcome.NOT_RUN, 0.0, str(exc))
        answer.status, answer.reason = exc.status, _REASONS[exc.status]
        message = Message()
        message.version = "1.1"
        try:
            self._conn.settimeout(1.0)
            self._write(answer, message, keep_alive=False)
            # What is still on its way must not turn the answer into a reset.
            self._conn.shutdown(plain_socket.SHUT_WR)
            while self._conn.recv(65536):
                pass
        except (OSError, gevent.GreenletExit):
            pass


def _close(pieces) -> None:
    close = getattr(pieces, "close", None)
    if close is not None:
        close()


def _make_request(message: Message, body: Body) -> Request:
    listed = message.header("connection").lower()
    dropped = {name.strip() for name in listed.split(",")} if listed else ()
    headers = [pair for pair in message.headers if pair[0] not in HOP_HEADERS and pair[0] not in dropped]
    host = message.header("host").rpartition(":")[0] or message.header("host")
    return Request(message.method, message.target, host.lower(), headers, body)


class PathServer(HttpService):
    """The server that runs; its parameters are those of `HttpService`."""

    def __init__(self, name: str, address: Address, side, stop_timeout: float, events: EventLogger):
        super().__init__(name, address, side, stop_timeout, events)
        self._connections: dict[_Connection, None] = {}
        self._sweeper = None

    def _make_server(self, listener: tuple[str, int]) -> StreamServer:
        return StreamServer(listener, self._accept, backlog=BACKLOG)

    def start(self, kernel: Kernel) -> None:
        super().start(kernel)
        self._sweeper = gevent.spawn(self._sweep)

    def stop(self) -> None:
        self._sweeper.kill()
        super().stop()

    def _sweep(self) -> None:
        while True:
            gevent.sleep(SWEEP_INTERVAL)
            now = time.monotonic()
            for connection in list(self._connections):
                if connection.expires_at < now:
                    connection.expire()

    def _accept(self, conn, address) -> None:
        conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection = _Connection(self, conn)
        self._connections[connection] = None
        try:
            connection.run()
        finally:
            del self._connections[connection]
