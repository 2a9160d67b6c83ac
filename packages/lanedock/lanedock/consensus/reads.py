# SPDX-License-Identifier: BSD-3-Clause
"""Reads that wait to be confirmed."""

__all__ = ["PendingRead", "ReadQueue"]


class PendingRead:
    """A read at the leader.

    Parameters
    ----------
    token : int
        The asking driver's.
    origin : str
        The replica that asked.
    index : int
        What has to be applied before the read is answered.
    probe : int
        The round of heartbeats that confirms it.
    """

    __slots__ = ("index", "origin", "probe", "token")

    def __init__(self, token: int, origin: str, index: int, probe: int):
        self.token = token
        self.origin = origin
        self.index = index
        self.probe = probe

    def __repr__(self) -> str:
        return f"<PendingRead {self.token} of {self.origin} index={self.index} probe={self.probe}>"


class ReadQueue:
    """The reads of one replica: those it confirms as leader, those it has sent to the leader."""

    def __init__(self):
        self._pending: list[PendingRead] = []
        self._forwarded: set[int] = set()

    def __repr__(self) -> str:
        return f"<ReadQueue pending={len(self._pending)} forwarded={len(self._forwarded)}>"

    def add(self, read: PendingRead) -> None:
        """Wait for a round of heartbeats."""
        self._pending.append(read)

    def take_confirmed(self, probe: int) -> list[PendingRead]:
        """Return the reads that a quorum's answers up to a round confirm."""
        confirmed = [read for read in self._pending if read.probe <= probe]
        self._pending = [read for read in self._pending if read.probe > probe]
        return confirmed

    def forward(self, token: int) -> None:
        """Wait for the leader's answer."""
        self._forwarded.add(token)

    def take_forwarded(self, token: int) -> bool:
        """Tell whether an answer was waited for, once."""
        if token not in self._forwarded:
            return False
        self._forwarded.discard(token)
        return True

    def drop(self, me: str) -> list[int]:
        """Drop everything, as the leader has changed; return the own driver's tokens."""
        own = [read.token for read in self._pending if read.origin == me]
        own += sorted(self._forwarded)
        self._pending = []
        self._forwarded = set()
        return own
