# SPDX-License-Identifier: BSD-3-Clause
"""Callers that leave while their requests are in every state, and what reaches applications after that."""

import socket
import struct
import threading
import time
from random import Random

from platform_processes import OUTBOUND_PORT

__all__ = ["LeavingCallers", "find_late_arrivals"]

# Seconds after a caller has left from which on its requests may not reach an application.
MAX_DELAY = 0.5
# Number of late requests in a run from which on the rule is broken: two daemons may be suspended at once.
MAX_LATE = 3
# Seconds within which callers leave; some before they are read, some while they wait, some after their answers.
LEAVING_TIMES = (0.0, 0.02, 0.3, 1.0)
# More requests than a daemon reads ahead, and more bytes of a body.
PIPELINED = 40
LONG_BODY = 350_000
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class LeavingCallers:
    """Threads that send requests of several kinds to random daemons, and leave.

    Parameters
    ----------
    addresses : list of str
        IP addresses of the daemons.
    seed : int
    threads : int

    Attributes
    ----------
    left_at : dict of str to float
        Monotonic time in seconds at which the caller of each path had closed its connection.
    """

    def __init__(self, addresses: list[str], seed: int, threads: int = 4):
        self.left_at: dict[str, float] = {}
        self._addresses = addresses
        self._is_stopped = threading.Event()
        args = [(number, Random(seed + number)) for number in range(threads)]
        self._threads = [threading.Thread(target=self._run, args=arg, daemon=True) for arg in args]
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        self._is_stopped.set()
        for thread in self._threads:
            thread.join()

    def _run(self, number: int, rng: Random) -> None:
        sent = 0
        while not self._is_stopped.wait(rng.uniform(0.05, 0.3)):
            sent += 1
            name = f"left-{number}-{sent}"
            paths, data = rng.choice([self._get, self._get, self._pipeline, self._post, self._malform])(name)
            try:
                self._send_and_leave(data, rng)
            except OSError:
                pass  # the daemon doesn't run, or has closed the connection
            left_at = time.monotonic()
            self.left_at.update(dict.fromkeys(paths, left_at))

    def _send_and_leave(self, data: bytes, rng: Random) -> None:
        with socket.create_connection((rng.choice(self._addresses), OUTBOUND_PORT), timeout=1.0) as conn:
            if rng.random() < 0.3:
                conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
            conn.sendall(data)
            time.sleep(rng.choice(LEAVING_TIMES))

    def _get(self, name: str) -> tuple[list[str], bytes]:
        path = f"/c/{name}"
        return [path], _make_head("GET", path)

    def _pipeline(self, name: str) -> tuple[list[str], bytes]:
        paths = [f"/c/{name}-{number}" for number in range(PIPELINED)]
        return paths, b"".join(_make_head("GET", path) for path in paths)

    def _malform(self, name: str) -> tuple[list[str], bytes]:
        paths, data = self._pipeline(name)
        return paths, data + b"\0\r\n\r\n"

    def _post(self, name: str) -> tuple[list[str], bytes]:
        path = f"/a/b/{name}"
        return [path], _make_head("POST", path, LONG_BODY) + b"." * LONG_BODY


def find_late_arrivals(left_at: dict[str, float], applications, is_excused=lambda left_at, at: False) -> list[str]:
    """Describe the requests that reached applications long after their callers had left, if they are more than a few.

    Parameters
    ----------
    left_at : dict of str to float
        Monotonic time in seconds at which the caller of each path had closed its connection.
    applications : iterable of CrashingApplication
    is_excused : callable
        Returns whether an arrival at a monotonic time in seconds, after the caller left at another, is allowed.
    """
    late = []
    for app in applications:
        for at, path, _ in list(app.arrivals):
            closed_at = left_at.get(path)
            if closed_at is not None and at > closed_at + MAX_DELAY and not is_excused(closed_at, at):
                late.append(f"{path} {at - closed_at:.3f} s")
    if len(late) <= MAX_LATE:
        return []
    return [f"{len(late)} requests of {len(left_at)} reached applications after their callers had left: {late}"]


def _make_head(method: str, path: str, length: int = 0) -> bytes:
    lines = [f"{method} {path} HTTP/1.1", "Host: shop.example", f"X-Request-Id: {path[-16:]}", "X-Deadline-Ms: 3000"]
    if length:
        lines.append(f"Content-Length: {length}")
    return "\r\n".join([*lines, "", ""]).encode()
