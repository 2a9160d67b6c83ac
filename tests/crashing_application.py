# SPDX-License-Identifier: BSD-3-Clause
"""Backend that crashes on some requests: it resets all its connections and restarts under another id."""

import json
import socket
import struct
import threading
import time
from random import random

from keepalive_callers import make_body
from platform_processes import APP_PORT, CONTROL_PORT, OUTBOUND_PORT, call

from lanedock_platform.tests.beats import make_beat

__all__ = ["CALL_PATH_PART", "POISON", "CrashingApplication", "reset_connection"]

# Value of SO_LINGER that is enabled with a timeout of 0: `close` resets the connection.
_LINGER_RESET = struct.pack("ii", 1, 0)
# Seconds between a crash and the start of the next incarnation.
RESTART_DELAY = 1.0
# Requests with this text in the path, or at the end of the body, crash the application.
POISON = "poison"
# Requests with this part in the path call the path behind it through the local daemon.
CALL_PATH_PART = "/calls/"
HEARTBEAT_INTERVAL = 0.3  # seconds
_REFUSAL = b"HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
HEALTH_PATH = "/health"


class CrashingApplication:
    """HTTP backend that crashes on requests that contain `POISON`.

    Parameters
    ----------
    ip : str
    upstream : str
        Base of the upstream id; each incarnation appends its number.
    work : float
        Processing time of a harmless request in seconds.
    crash_after : float
        Seconds between the arrival of a crashing request and the crash.

    Attributes
    ----------
    arrivals : list of tuple of (float, str, str)
        Monotonic time in seconds, path and incarnation of each request that began to run.
    crashes : list of tuple of (float, str)
        Monotonic time in seconds and incarnation of each crash.
    advertised_limits : list of tuple of (float, str, float or None)
        Monotonic time in seconds, incarnation, and the rate limit in requests per second that
        responses advertise from then on.
    ended : list of tuple of (float, str)
        Monotonic time in seconds and path of each request whose processing has ended.
    slow_share : float
        Share of the harmless requests that take `slow_work` seconds instead of `work`.
    drain_advertised_at : dict of str to float
        Monotonic time in seconds of the first response of an incarnation that advertised draining.
    """

    def __init__(self, ip: str, upstream: str, work: float = 0.02, crash_after: float = 0.0):
        self.arrivals: list[tuple[float, str, str]] = []
        self.crashes: list[tuple[float, str]] = []
        self.advertised_limits: list[tuple[float, str, float | None]] = []
        self.drain_advertised_at: dict[str, float] = {}
        self.crash_after = crash_after
        self._rate_limit: float | None = None
        self._advertises_drain = False
        self.work = work
        self.slow_share = 0.0
        self.slow_work = work
        self.ended: list[tuple[float, str]] = []
        self._ip = ip
        self._name = upstream
        self._incarnation_number = 0
        self._sequence = 0
        self._is_draining = False
        self._conns: set[socket.socket] = set()
        self._lock = threading.Lock()
        self._is_stopped = threading.Event()
        self._listener: socket.socket | None = None
        self._start()
        threading.Thread(target=self._send_heartbeats, daemon=True).start()

    @property
    def upstream(self) -> str:
        """Upstream id of the current incarnation."""
        return f"{self._name}.{self._incarnation_number}"

    # Further fields of heartbeats.
    _beat_fields: dict = {}

    def _start(self) -> None:
        with self._lock:
            self._incarnation_number += 1
            self._sequence = 0
            self._is_draining = self._advertises_drain = False
            self._listener = socket.socket()
            self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            self._listener.bind((self._ip, APP_PORT))
            self._listener.listen(128)
        threading.Thread(target=self._accept, args=(self._listener,), daemon=True).start()

    def crash(self, incarnation: str) -> None:
        """Crash an incarnation: reset all connections, and start the next one after `RESTART_DELAY`."""
        if self._terminate(incarnation):
            self.crashes.append((time.monotonic(), incarnation))

    def limit(self, rate: float | None) -> None:
        """Advertise a rate limit in requests per second in all responses from now on; None for no limit."""
        self._rate_limit = rate
        self.advertised_limits.append((time.monotonic(), self.upstream, rate))

    def _advertise(self, incarnation: str) -> str:
        """Return the header lines that advertise the rate limit and draining."""
        lines = f"Server-Limit: {self._rate_limit:g}\r\n" if self._rate_limit is not None else ""
        if self._advertises_drain and incarnation == self.upstream:
            lines += "Server-Leaving: 1\r\n"
            self.drain_advertised_at.setdefault(incarnation, time.monotonic())
        return lines

    def replace(self, drain: float, by_responses: bool = False) -> None:
        """Announce draining, terminate the incarnation, and start the next one.

        Parameters
        ----------
        drain : float
            Seconds between the announcement and the termination.
        by_responses : bool
            Whether only responses announce the draining, instead of heartbeats.
        """
        incarnation = self.upstream
        self._is_draining, self._advertises_drain = not by_responses, by_responses
        if not self._is_stopped.wait(drain):
            self._terminate(incarnation)

    def _terminate(self, incarnation: str) -> bool:
        """Terminate an incarnation; returns False if it has already been terminated."""
        with self._lock:
            if self._listener is None or incarnation != self.upstream:
                return False
            listener, self._listener = self._listener, None
            conns, self._conns = self._conns, set()
        # `shutdown` wakes the thread blocked in `accept`; `close` alone does not.
        listener.shutdown(socket.SHUT_RDWR)
        listener.close()
        for conn in conns:
            reset_connection(conn)
        threading.Timer(RESTART_DELAY, self._start_unless_stopped).start()
        return True

    def _start_unless_stopped(self) -> None:
        if not self._is_stopped.is_set():
            self._start()

    def stop(self) -> None:
        """Stop without starting another incarnation."""
        self._is_stopped.set()
        with self._lock:
            listener, self._listener = self._listener, None
        if listener is not None:
            listener.shutdown(socket.SHUT_RDWR)
            listener.close()

    def _send_heartbeats(self) -> None:
        while not self._is_stopped.wait(HEARTBEAT_INTERVAL):
            with self._lock:
                if self._listener is None:
                    continue
                self._sequence += 1
                path, state = f"/Instances.Heartbeat/{self.upstream}", "draining" if self._is_draining else "ready"
                body = make_beat(state, self._sequence, **self._beat_fields)
            try:
                call(self._ip, CONTROL_PORT, "POST", path, json.dumps(body).encode())
            except OSError:
                pass  # the daemon is not listening

    def _accept(self, listener: socket.socket) -> None:
        incarnation = self.upstream
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
                threading.Thread(target=self._serve, args=(conn, incarnation), daemon=True).start()
            else:
                reset_connection(conn)

    def _serve(self, conn: socket.socket, incarnation: str) -> None:
        try:
            reader = conn.makefile("rb")
            while self._serve_one(conn, reader, incarnation):
                pass
        except (OSError, ValueError):
            pass  # the connection was reset
        finally:
            with self._lock:
                self._conns.discard(conn)
            conn.close()

    def _serve_one(self, conn: socket.socket, reader, incarnation: str) -> bool:
        first = reader.readline().decode("latin-1")
        # After a crash, the rest of a long body may still arrive.
        if not first or conn not in self._conns:
            return False
        path, headers = first.split(" ")[1], _read_headers(reader)
        body = _read_body(reader, headers)
        if path == HEALTH_PATH:
            fields = f"X-Instance-Id: {incarnation}\r\n{self._advertise(incarnation)}Content-Length: 0"
            conn.sendall(f"HTTP/1.1 200 OK\r\n{fields}\r\n\r\n".encode())
            return True
        if headers.get("x-expect-instance", incarnation) != incarnation:
            conn.sendall(b"HTTP/1.1 421 Misdirected\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
            return True
        if self._refuses():
            conn.sendall(_REFUSAL)
            return True
        begun_at = time.monotonic()
        self.arrivals.append((begun_at, path, incarnation))
        _, makes_call, called_path = path.partition(CALL_PATH_PART)
        if (POISON in path and not makes_call) or body.endswith(POISON.encode()):
            time.sleep(self.crash_after)
            self.crash(incarnation)
            return False
        request_id = headers["x-request-id"]
        status, answer = "200 OK", make_body(path)
        try:
            if not self._work(conn):
                status = "500 Failed"
            elif makes_call and self._call(f"/{called_path}", f"{request_id}-1") != 200:
                status = "500 A call has failed"
        finally:
            self._note_end(conn, path, incarnation, begun_at)
        fields = (
            f"X-Request-Id: {request_id}\r\nX-Server-Stamp: {incarnation}\r\n"
            f"{self._advertise(incarnation)}Content-Length: {len(answer)}"
        )
        self._send_answer(conn, f"HTTP/1.1 {status}\r\n{fields}\r\n\r\n".encode() + answer)
        return True

    def _refuses(self) -> bool:
        """Return whether the next request is refused without being run."""
        return False

    def _work(self, conn: socket.socket) -> bool:
        """Work on a request; returns whether it succeeds."""
        time.sleep(self.slow_work if random() < self.slow_share else self.work)
        return True

    def _note_end(self, conn: socket.socket, path: str, incarnation: str, begun_at: float) -> None:
        """Record that the work on a request has ended, which began at a monotonic time in seconds."""
        self.ended.append((time.monotonic(), path))

    def _send_answer(self, conn: socket.socket, answer: bytes) -> None:
        conn.sendall(answer)

    def _call(self, path: str, request_id: str) -> int:
        """Send a nested request through the local daemon; returns its status, or 0 without a response."""
        headers = {"Host": "shop.example", "X-Request-Id": request_id, "X-Deadline-Ms": "1000"}
        try:
            return call(self._ip, OUTBOUND_PORT, "GET", path, headers=headers)[0]
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


def reset_connection(conn: socket.socket) -> None:
    """Close a connection with a TCP reset."""
    try:
        conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET)
        # A thread blocked in a read keeps the descriptor open; `shutdown` wakes it first.
        conn.shutdown(socket.SHUT_RD)
        conn.close()
    except OSError:
        pass  # the connection is already closed
