# SPDX-License-Identifier: BSD-3-Clause
"""Backend that fails in the ways of a busy one: full, in bursts, slow, with late second answers, or leaving."""

import socket
import threading
import time
from collections import deque
from random import Random
from weakref import WeakKeyDictionary

from crashing_application import CrashingApplication, reset_connection

__all__ = ["Faults", "FaultyApplication"]

# Seconds in which an application fails in a burst, or is slow, before it does the other.
_BURST_TIME = 0.7
# Maximum seconds between the arrival of a request and a late second answer to the one before.
_LATE_TIME = 0.03


class Faults:
    """What an application does wrong.

    Parameters
    ----------
    room : int
        Number of requests that it runs at once, beyond which it resets connections; 0 for no limit.
    failing_share : float
        Share of the requests that it fails in each second burst.
    slow_factor : tuple of (float, float)
        Range of the factor by which its work takes longer in the other bursts.
    late_share : float
        Share of the answers that it sends once more when the next request has arrived.
    idle_timeout : float
        Seconds after which it closes an idle connection; 0 for never.
    restart_gap : float
        Seconds between its ends; it starts again under the same id. 0 for never.
    """

    __slots__ = ("failing_share", "idle_timeout", "late_share", "restart_gap", "room", "slow_factor")

    def __init__(
        self, room=0, failing_share=0.0, slow_factor=(1.0, 1.0), late_share=0.0, idle_timeout=0.0, restart_gap=0.0
    ):
        self.room = room
        self.failing_share = failing_share
        self.slow_factor = slow_factor
        self.late_share = late_share
        self.idle_timeout = idle_timeout
        self.restart_gap = restart_gap

    def __repr__(self) -> str:
        return f"<Faults {' '.join(f'{name}={getattr(self, name)}' for name in self.__slots__)}>"


class FaultyApplication(CrashingApplication):
    """Backend with faults while `is_faulty` is set.

    The end of a request that a reset of the application broke off counts from the reset.

    Parameters
    ----------
    ip, upstream : str
    faults : Faults
    seed : int
    """

    def __init__(self, ip: str, upstream: str, faults: Faults, seed: int):
        self._faults = faults
        self._rng = Random(seed)
        self._running: set[socket.socket] = set()
        self._last_answers: WeakKeyDictionary[socket.socket, bytes] = WeakKeyDictionary()
        self._terminations: dict[str, deque[float]] = {}
        self.is_faulty = False
        super().__init__(ip, upstream)
        if faults.restart_gap:
            threading.Thread(target=self._restart_often, daemon=True).start()

    @property
    def upstream(self) -> str:
        """Upstream id, which stays the same."""
        return f"{self._name}.1"

    def _start(self) -> None:
        self._beat_fields = {"born": time.time_ns() // 1_000_000}
        super()._start()

    def _restart_often(self) -> None:
        while not self._is_stopped.wait(self._rng.uniform(0.5, 1.5) * self._faults.restart_gap):
            if self.is_faulty:
                self._terminate(self.upstream)

    def _terminate(self, incarnation: str) -> bool:
        self._terminations.setdefault(incarnation, deque()).append(time.monotonic())
        return super()._terminate(incarnation)

    def _serve_one(self, conn: socket.socket, reader, incarnation: str) -> bool:
        conn.settimeout(self._faults.idle_timeout or None)
        reader.peek(1)
        conn.settimeout(None)
        if self.is_faulty and self._faults.room and len(self._running) >= self._faults.room:
            reset_connection(conn)
            return False
        self._running.add(conn)
        try:
            return super()._serve_one(conn, reader, incarnation)
        finally:
            self._running.discard(conn)

    def _work(self, conn: socket.socket) -> bool:
        if not self.is_faulty:
            time.sleep(self.work)
            return True
        late = self._last_answers.pop(conn, None)
        if late is not None and self._rng.random() < self._faults.late_share:
            time.sleep(self._rng.uniform(0, _LATE_TIME))
            conn.sendall(late)
        if int(time.monotonic() / _BURST_TIME) % 2:
            time.sleep(self.work)
            return self._rng.random() >= self._faults.failing_share
        time.sleep(self.work * self._rng.uniform(*self._faults.slow_factor))
        return True

    def _note_end(self, path: str, incarnation: str, begun_at: float) -> None:
        resets = [at for at in self._terminations.get(incarnation, ()) if at >= begun_at]
        self.ended.append((min([time.monotonic(), *resets]), path))

    def _send_answer(self, conn: socket.socket, answer: bytes) -> None:
        super()._send_answer(conn, answer)
        self._last_answers[conn] = answer
