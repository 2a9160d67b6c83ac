# SPDX-License-Identifier: BSD-3-Clause
"""Linearizable reads that wait for confirmation."""

__all__ = ["PendingRead", "ReadQueue"]


class PendingRead:
    """A read that waits at the leader for a quorum.

    Parameters
    ----------
    token : int
        Number of the read, chosen by the code that runs the requesting replica's core.
    origin : str
        Id of the replica that requested the read.
    index : int
        Log index that has to be applied before the read is answered.
    probe : int
        Number of the heartbeat round that confirms the read once a quorum has answered it.
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
    """Reads of one replica: pending ones as leader, and those forwarded to the leader."""

    def __init__(self):
        self._pending: list[PendingRead] = []
        self._forwarded: set[int] = set()

    def __repr__(self) -> str:
        return f"<ReadQueue pending={len(self._pending)} forwarded={len(self._forwarded)}>"

    def add(self, read: PendingRead) -> None:
        """Add a read that waits for its heartbeat round."""
        self._pending.append(read)

    def take_confirmed(self, probe: int) -> list[PendingRead]:
        """Remove and return the reads that round `probe` or an earlier one confirms."""
        confirmed = [read for read in self._pending if read.probe <= probe]
        self._pending = [read for read in self._pending if read.probe > probe]
        return confirmed

    def forward(self, token: int) -> None:
        """Record that a read was forwarded to the leader."""
        self._forwarded.add(token)

    def take_forwarded(self, token: int) -> bool:
        """Remove a forwarded read; return whether it was waiting for an answer."""
        if token not in self._forwarded:
            return False
        self._forwarded.discard(token)
        return True

    def clear(self, me: str) -> list[int]:
        """Remove all reads and return the tokens of the reads that this replica requested itself."""
        own = [read.token for read in self._pending if read.origin == me]
        own += sorted(self._forwarded)
        self._pending = []
        self._forwarded = set()
        return own
