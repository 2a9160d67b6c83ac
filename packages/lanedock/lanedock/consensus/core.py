# SPDX-License-Identifier: BSD-3-Clause
"""Data that the consensus core and its driver exchange."""

from enum import Enum

from lanedock.consensus.log import LogSnapshot
from lanedock.wire import messages

__all__ = ["Progress", "Ready", "ReplicaRole", "Timing", "replica_name"]


def replica_name(replica: str) -> str:
    """Return the name within a replica's id, ``name@incarnation``."""
    return replica.partition("@")[0]


class ReplicaRole(Enum):
    """What a replica is at the moment."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


class Timing:
    """Durations of the protocol, in seconds.

    Parameters
    ----------
    heartbeat : float
        Between a leader's heartbeats.
    election_min, election_max : float
        Silence after which a follower stands for election. `election_min` is
        also the time within which a follower supports no other leader, so a
        leader's lease is a part of it.
    lease_fraction : float
        Part of `election_min` that a lease lasts; below 1 to allow for clocks
        that run at different rates.
    """

    __slots__ = ("election_max", "election_min", "heartbeat", "lease_fraction")

    def __init__(self, heartbeat=0.15, election_min=1.0, election_max=2.0, lease_fraction=0.9):
        self.heartbeat = heartbeat
        self.election_min = election_min
        self.election_max = election_max
        self.lease_fraction = lease_fraction

    @classmethod
    def for_election(cls, least: float) -> "Timing":
        """Make the timing for a least silence before elections, in seconds, in the usual proportions."""
        usual = cls()
        scale = least / usual.election_min
        return cls(usual.heartbeat * scale, least, usual.election_max * scale, usual.lease_fraction)

    def __repr__(self) -> str:
        return f"<Timing heartbeat={self.heartbeat} election={self.election_min}..{self.election_max}>"


class Progress:
    """What a leader knows of one other replica.

    Parameters
    ----------
    next_index : int
        Index of the next entry to send.
    """

    __slots__ = ("acked_at", "match_index", "next_index", "probe")

    def __init__(self, next_index: int):
        self.next_index = next_index
        self.match_index = 0
        self.probe = 0
        self.acked_at = float("-inf")

    def __repr__(self) -> str:
        return f"<Progress match={self.match_index} next={self.next_index}>"


class Ready:
    """What the driver has to do after it fed the core.

    The order is part of the protocol: `early` messages may go at once;
    `entries` and the hard state are synced to disk; `RaftReplica.persisted` is
    called; only then `late` messages go and `committed` entries are applied.

    Attributes
    ----------
    early, late : list of PeerMessage
    entries : list of LogEntry
        To be appended; one with an index that the log holds already replaces
        it and all behind it.
    hard_state_changed : bool
        Whether term or vote have to be saved.
    snapshot : LogSnapshot or None
        Received from the leader: replaces the log and the applied state.
    committed : list of LogEntry
        To be applied in this order.
    reads : list of tuple of (int, int)
        Tokens of reads that are confirmed, and the index that has to be
        applied before they are answered.
    failed_reads : list of int
        Tokens of reads that have to be asked again.
    """

    __slots__ = ("committed", "early", "entries", "failed_reads", "hard_state_changed", "late", "reads", "snapshot")

    def __init__(self):
        self.early: list[messages.PeerMessage] = []
        self.late: list[messages.PeerMessage] = []
        self.entries: list[messages.LogEntry] = []
        self.hard_state_changed = False
        self.snapshot: LogSnapshot | None = None
        self.committed: list[messages.LogEntry] = []
        self.reads: list[tuple[int, int]] = []
        self.failed_reads: list[int] = []

    def must_sync(self) -> bool:
        """Tell whether there is something to write to disk."""
        return bool(self.entries) or self.hard_state_changed or self.snapshot is not None
