# SPDX-License-Identifier: BSD-3-Clause
"""Operators' reads of the newest accepted version, each confirmed by a quorum."""

from lanedock.rollout import MeshState
from lanedock_daemon.control.requests import Call, ConfirmedRead

__all__ = ["ReadQueue"]

# Floors of daemons take the numbers below.
FIRST_TOKEN = 1 << 40
# A read's question or its answer may be lost between replicas: it is asked
# again after this many seconds, a few round trips and a sync.
PATIENCE = 0.25
# An operator moves on to another instance after a second.
DEADLINE = 0.8


class _Read:
    """Calls that one question to the quorum is to confirm."""

    __slots__ = ("asked_at", "calls")

    def __init__(self, asked_at: float, calls: list[tuple[Call, float]]):
        self.asked_at = asked_at
        self.calls = calls


class ReadQueue:
    """Reads that wait for their confirmation."""

    def __init__(self):
        self._waiting: list[tuple[Call, float]] = []
        self._asked: dict[int, _Read] = {}
        self._token = FIRST_TOKEN

    def __repr__(self) -> str:
        return f"<ReadQueue waiting={len(self._waiting)} asked={len(self._asked)}>"

    def ask(self, call: Call, now: float) -> None:
        """Accept a read."""
        self._waiting.append((call, now + DEADLINE))

    def next_read(self, now: float) -> int | None:
        """Return the token of a question that confirms all reads that wait, if any."""
        for token, read in list(self._asked.items()):
            if now - read.asked_at > PATIENCE:
                self.fail(token)
        waiting = []
        for call, until in self._waiting:
            if now < until:
                waiting.append((call, until))
            else:
                call.finish(ConfirmedRead(None, False))
        if not waiting or any(now - read.asked_at < PATIENCE / 10 for read in self._asked.values()):
            self._waiting = waiting
            return None
        self._token += 1
        self._asked[self._token] = _Read(now, waiting)
        self._waiting = []
        return self._token

    def confirm(self, token: int, state: MeshState) -> None:
        """Answer the reads that a question has confirmed."""
        read = self._asked.pop(token, None)
        if read is None:
            return
        accepted = state.accepted_version.number
        tree = state.tree(accepted) if accepted else None
        for call, _ in read.calls:
            call.finish(ConfirmedRead(tree, True))

    def fail(self, token: int) -> None:
        """Ask again for the reads of a question that failed."""
        read = self._asked.pop(token, None)
        if read is not None:
            self._waiting += read.calls

    def abandon_all(self) -> None:
        """Answer all reads as not confirmed."""
        calls = [*self._waiting, *(call for read in self._asked.values() for call in read.calls)]
        for call, _ in calls:
            call.finish(ConfirmedRead(None, False))
        self._waiting = []
        self._asked = {}
