# SPDX-License-Identifier: BSD-3-Clause
"""A backend that some requests crash: it resets all its connections, and starts again under another id."""

import json
import socket
import struct
import threading
import time

from platform_processes import APP_PORT, CONTROL_PORT, OUT_PORT, call

from lanedock_platform.tests.beats import make_beat

__all__ = ["CALLS", "POISON", "CrashingApplication"]

# For SO_LINGER: on, for no time.
_RESET = struct.pack("ii", 1, 0)
# Seconds for which it is away after a crash.
AWAY = 1.0
# Part of a path that ends the application once it begins to run such a request.
POISON = "poison"
# Beginning of a path whose run calls the rest of it, through the daemon beside it.
CALLS = "/c/calls"
BEAT_INTERVAL = 0.3
HEALTH_PATH = "/health"


class CrashingApplication:
    """Answers requests, and crashes of those whose path or body says so.

    Parameters
    ----------
    ip : str
    upstream : str
        Id of its first start; later ones have a number behind it.
    work, crash_after : float
        Seconds that a harmless request runs, and one that crashes it before it does.

    Attributes
    ----------
    arrivals : list of tuple of (float, str, str)
        Monotonic seconds, path and start of the application of all that it has begun to run.
    crashes : list of tuple of (float, str)
        Monotonic seconds and start of the application.
    stated_limits : list of tuple of (float, str, float or None)
        Monotonic seconds, start, and the rate limit that its answers state from then on.
    left_at : dict of str to float
        Monotonic seconds of the first answer of a start which stated that it leaves.
    """

    def __init__(self, ip: str, upstream: str, work: float = 0.02, crash_after: float = 0.0):
        self.arrivals: list[tuple[float, str, str]] = []
        self.crashes: list[tuple[float, str]] = []
        self.stated_limits: list[tuple[float, str, float | None]] = []
        self.left_at: dict[str, float] = {}
        self.crash_after = crash_after
        self._rate_limit: float | None = None
        self._states_drain = False
        self.work = work
        self._ip = ip
        self._name = upstream
        self._starts = 0
        self._sequence = 0
        self._is_draining = False
        self._conns: set[socket.socket] = set()
        self._lock = threading.Lock()
        self._is_stopped = threading.Event()
        self._listener: socket.socket | None = None
        self._start()
        threading.Thread(target=self._beat, daemon=True).start()

    @property
    def upstream(self) -> str:
        """Id of the present start."""
        return f"{self._name}.{self._starts}"

    def _start(self) -> None:
        with self._lock:
            self._starts += 1
            self._sequence = 0
            self._is_draining = self._states_drain = False
            self._listener = socket.socket()
            self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            self._listener.bind((self._ip, APP_PORT))
            self._listener.listen(128)
        threading.Thread(target=self._accept, args=(self._listener,), daemon=True).start()

    def crash(self, start: str) -> None:
        """End one start of the application: reset all connections, and come back after a while."""
        if self._end(start):
            self.crashes.append((time.monotonic(), start))

    def limit(self, rate: float | None) -> None:
        """Have all answers state a rate limit from now on; None for none."""
        self._rate_limit = rate
        self.stated_limits.append((time.monotonic(), self.upstream, rate))

    def _stated(self, start: str) -> str:
        """Return the lines by which an answer states what holds of the application."""
        lines = f"Server-Limit: {self._rate_limit:g}\r\n" if self._rate_limit is not None else ""
        if self._states_drain and start == self.upstream:
            lines += "Server-Leaving: 1\r\n"
            self.left_at.setdefault(start, time.monotonic())
        return lines

    def replace(self, drain: float, by_answers: bool = False) -> None:
        """Announce that the application leaves, end it after so many seconds, and start the next one.

        By its heartbeats, or by its answers alone.
        """
        start = self.upstream
        self._is_draining, self._states_drain = not by_answers, by_answers
        if not self._is_stopped.wait(drain):
            self._end(start)

    def _end(self, start: str) -> bool:
        """End one start of the application; returns whether it had not ended before."""
        with self._lock:
            if self._listener is None or start != self.upstream:
                return False
            listener, self._listener = self._listener, None
            conns, self._conns = self._conns, set()
        # Wakes whoever waits for connections, which `close` alone does not.
        listener.shutdown(socket.SHUT_RDWR)
        listener.close()
        for conn in conns:
            _reset(conn)
        threading.Timer(AWAY, self._come_back).start()
        return True

    def _come_back(self) -> None:
        if not self._is_stopped.is_set():
            self._start()

    def stop(self) -> None:
        """Stop for good."""
        self._is_stopped.set()
        with self._lock:
            listener, self._listener = self._listener, None
        if listener is not None:
            listener.shutdown(socket.SHUT_RDWR)
            listener.close()

    def _beat(self) -> None:
        while not self._is_stopped.wait(BEAT_INTERVAL):
            with self._lock:
                if self._listener is None:
                    continue
                self._sequence += 1
                path, state = f"/Instances.Heartbeat/{self.upstream}", "draining" if self._is_draining else "ready"
                body = make_beat(state, self._sequence)
            try:
                call(self._ip, CONTROL_PORT, "POST", path, json.dumps(body).encode())
            except OSError:
                pass  # its daemon is not up yet, or is down

    def _accept(self, listener: socket.socket) -> None:
        start = self.upstream
        while True:
            try:
                conn, _ = listener.accept()
            except OSError:
                return
            with self._lock:
                is_up = listener is self._listener
                if is_up:
                    self._conns.add(conn)
            if is_up:
                threading.Thread(target=self._serve, args=(conn, start), daemon=True).start()
            else:
                _reset(conn)

    def _serve(self, conn: socket.socket, start: str) -> None:
        try:
            reader = conn.makefile("rb")
            while self._serve_one(conn, reader, start):
                pass
        except (OSError, ValueError):
            pass  # the connection was reset
        finally:
            with self._lock:
                self._conns.discard(conn)
            conn.close()

    def _serve_one(self, conn: socket.socket, reader, start: str) -> bool:
        first = reader.readline().decode("latin-1")
        if not first:
            return False
        path, headers = first.split(" ")[1], _read_headers(reader)
        body = _read_body(reader, headers)
        if path == HEALTH_PATH:
            fields = f"X-Instance-Id: {start}\r\n{self._stated(start)}Content-Length: 0"
            conn.sendall(f"HTTP/1.1 200 OK\r\n{fields}\r\n\r\n".encode())
            return True
        if headers.get("x-expect-instance", start) != start:
            conn.sendall(b"HTTP/1.1 421 Misdirected\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
            return True
        self.arrivals.append((time.monotonic(), path, start))
        calls = path.startswith(CALLS)
        if (POISON in path and not calls) or body.endswith(POISON.encode()):
            time.sleep(self.crash_after)
            self.crash(start)
            return False
        time.sleep(self.work)
        request_id = headers["x-request-id"]
        status = "200 OK"
        if calls and self._call(path.removeprefix(CALLS), f"{request_id}-1") != 200:
            status = "500 A call has failed"
        fields = f"X-Request-Id: {request_id}\r\nX-Server-Stamp: {start}\r\n{self._stated(start)}Content-Length: 2"
        conn.sendall(f"HTTP/1.1 {status}\r\n{fields}\r\n\r\nok".encode())
        return True

    def _call(self, path: str, request_id: str) -> int:
        """Send a request of its own through the daemon beside it; returns its status, 0 where there is none."""
        headers = {"Host": "shop.example", "X-Request-Id": request_id, "X-Deadline-Ms": "1000"}
        try:
            return call(self._ip, OUT_PORT, "GET", path, headers=headers)[0]
        except OSError:
            return 0


def _read_headers(reader) -> dict[str, str]:
    headers = {}
    while line := reader.readline().decode("latin-1").strip():
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    return headers


def _read_body(reader, headers: dict[str, str]) -> bytes:
    if "chunked" not in headers.get("transfer-encoding", ""):
        return reader.read(int(headers.get("content-length", 0)))
    body = b""
    while size := int(reader.readline(), 16):
        body += reader.read(size)
        reader.readline()
    reader.readline()
    return body


def _reset(conn: socket.socket) -> None:
    """Close a connection so that its other end is reset."""
    try:
        conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
        # A thread that reads holds the descriptor: it is woken first.
        conn.shutdown(socket.SHUT_RD)
        conn.close()
    except OSError:
        pass  # it has gone already
