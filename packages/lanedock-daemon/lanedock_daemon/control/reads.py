# SPDX-License-Identifier: BSD-3-Clause
"""Quorum reads of the newest accepted version for operators."""

from lanedock.rollout import MeshState
from lanedock_daemon.control.requests import Call, ConfirmedRead

__all__ = ["ReadQueue"]

# First read token of operators; the reads for daemons' version floors use the tokens below it.
FIRST_OPERATOR_TOKEN = 1 << 40
# Seconds after which an unanswered quorum read is repeated, as its messages may be lost between
# replicas: a few round trips and a disk sync.
READ_TIMEOUT = 0.25
# Seconds after which a call is answered as not confirmed: an operator tries another instance after 1 s.
CALL_TIMEOUT = 0.8


class _Read:
    """Calls that wait for the same quorum read."""

    __slots__ = ("calls", "started_at")

    def __init__(self, started_at: float, calls: list[tuple[Call, float]]):
        self.started_at = started_at
        self.calls = calls


class ReadQueue:
    """Operators' reads that wait for the confirmation of a quorum."""

    def __init__(self):
        self._waiting: list[tuple[Call, float]] = []
        self._reads: dict[int, _Read] = {}
        self._token = FIRST_OPERATOR_TOKEN

    def __repr__(self) -> str:
        return f"<ReadQueue waiting={len(self._waiting)} reads={len(self._reads)}>"

    def enqueue(self, call: Call, now: float) -> None:
        """Queue an operator's read."""
        self._waiting.append((call, now + CALL_TIMEOUT))

    def next_read(self, now: float) -> int | None:
        """Start a quorum read for all waiting calls, and end the calls that timed out.

        Returns
        -------
        int or None
            Token of the read; None where no call waits or another read was
            started less than a tenth of `READ_TIMEOUT` ago.
        """
        for token, read in list(self._reads.items()):
            if now - read.started_at > READ_TIMEOUT:
                self.fail(token)
        waiting = []
        for call, deadline in self._waiting:
            if now < deadline:
                waiting.append((call, deadline))
            else:
                call.finish(ConfirmedRead(None, False))
        if not waiting or any(now - read.started_at < READ_TIMEOUT / 10 for read in self._reads.values()):
            self._waiting = waiting
            return None
        self._token += 1
        self._reads[self._token] = _Read(now, waiting)
        self._waiting = []
        return self._token

    def confirm(self, token: int, state: MeshState) -> None:
        """Answer the calls of a confirmed quorum read with the accepted version."""
        read = self._reads.pop(token, None)
        if read is None:
            return
        accepted = state.accepted_version.number
        tree = state.tree(accepted) if accepted else None
        for call, _ in read.calls:
            call.finish(ConfirmedRead(tree, True))

    def fail(self, token: int) -> None:
        """Queue the calls of a failed quorum read again."""
        read = self._reads.pop(token, None)
        if read is not None:
            self._waiting += read.calls

    def abandon_all(self) -> None:
        """Answer all calls as not confirmed."""
        calls = [*self._waiting, *(call for read in self._reads.values() for call in read.calls)]
        for call, _ in calls:
            call.finish(ConfirmedRead(None, False))
        self._waiting = []
        self._reads = {}
