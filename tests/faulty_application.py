# SPDX-License-Identifier: BSD-3-Clause
"""Backend that fails in the ways of a busy one: full, in bursts, slow, with late second answers, or leaving."""

import socket
import threading
import time
from collections import deque
from random import Random
from weakref import WeakKeyDictionary, WeakSet

from crashing_application import CrashingApplication, reset_connection

__all__ = ["Faults", "FaultyApplication"]

# Seconds in which an application fails in a burst, or is slow, before it does the other.
_BURST_TIME = 0.7
# Sent behind a whole answer; neither an answer nor the beginning of one.
_INVALID_BYTES = b"\x00no answer\r\n\r\n"
# Of so many applications with consecutive numbers, `Faults.afflicted` have faults.
_GROUP = 5
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
    refused_share : float
        Share of the requests that it refuses without running them.
    lost_share : float
        Share of the answers that it never sends, while their connections stay open.
    invalid_share : float
        Share of the answers behind which it sends bytes that are no answer.
    afflicted : int
        Number of applications that have these faults of each `_GROUP`; the others have none.
    """

    __slots__ = (
        "afflicted",
        "failing_share",
        "idle_timeout",
        "invalid_share",
        "late_share",
        "lost_share",
        "refused_share",
        "restart_gap",
        "room",
        "slow_factor",
    )

    def __init__(
        self,
        room=0,
        failing_share=0.0,
        slow_factor=(1.0, 1.0),
        late_share=0.0,
        idle_timeout=0.0,
        restart_gap=0.0,
        refused_share=0.0,
        lost_share=0.0,
        invalid_share=0.0,
        afflicted=_GROUP,
    ):
        self.refused_share = refused_share
        self.lost_share = lost_share
        self.invalid_share = invalid_share
        self.afflicted = afflicted
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

    The end of a request that a reset of the application broke off counts from the reset. The work on one whose
    answer it never sends has no end.

    Parameters
    ----------
    ip, upstream : str
    faults : Faults
    number : int
        Seed of its random decisions.
    """

    def __init__(self, ip: str, upstream: str, faults: Faults, number: int):
        self._faults = faults if number % _GROUP < faults.afflicted else Faults()
        self._rng = Random(number)
        self._running: set[socket.socket] = set()
        self._last_answers: WeakKeyDictionary[socket.socket, bytes] = WeakKeyDictionary()
        self._losing: WeakSet[socket.socket] = WeakSet()
        self._terminations: dict[str, deque[float]] = {}
        self.is_faulty = False
        super().__init__(ip, upstream)
        if self._faults.restart_gap:
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

    def _refuses(self) -> bool:
        return self.is_faulty and self._rng.random() < self._faults.refused_share

    def _work(self, conn: socket.socket) -> bool:
        if not self.is_faulty:
            time.sleep(self.work)
            return True
        late = self._last_answers.pop(conn, None)
        if late is not None and self._rng.random() < self._faults.late_share:
            time.sleep(self._rng.uniform(0, _LATE_TIME))
            conn.sendall(late)
        if self._rng.random() < self._faults.lost_share:
            self._losing.add(conn)
            while conn.recv(4096):
                pass
            raise ConnectionAbortedError("the answer is lost")
        if int(time.monotonic() / _BURST_TIME) % 2:
            time.sleep(self.work)
            return self._rng.random() >= self._faults.failing_share
        time.sleep(self.work * self._rng.uniform(*self._faults.slow_factor))
        return True

    def _note_end(self, conn: socket.socket, path: str, incarnation: str, begun_at: float) -> None:
        resets = [at for at in self._terminations.get(incarnation, ()) if at >= begun_at]
        if conn not in self._losing:
            resets.append(time.monotonic())
        if resets:
            self.ended.append((min(resets), path))

    def _send_answer(self, conn: socket.socket, answer: bytes) -> None:
        has_invalid = self.is_faulty and self._rng.random() < self._faults.invalid_share
        super()._send_answer(conn, answer + _INVALID_BYTES * has_invalid)
        self._last_answers[conn] = answer
