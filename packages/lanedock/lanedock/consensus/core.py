# SPDX-License-Identifier: BSD-3-Clause
"""Data types that the consensus core exchanges with its driver, the code that calls the core and does its I/O."""

from enum import Enum

from lanedock.consensus.log import LogSnapshot
from lanedock.wire import messages

__all__ = ["Progress", "Ready", "ReplicaRole", "Timing", "replica_name"]


def replica_name(replica: str) -> str:
    """Return the name part of a replica id ``name@incarnation``."""
    return replica.partition("@")[0]


class ReplicaRole(Enum):
    """Raft role of a replica."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


class Timing:
    """Timing parameters of the protocol.

    Parameters
    ----------
    heartbeat : float
        Interval between a leader's heartbeats, in seconds.
    election_min, election_max : float
        Bounds of the random election timeout, in seconds. For `election_min`
        after a leader's message a follower supports no other leader, so a
        leader's lease is a fraction of it.
    lease_fraction : float
        Duration of a lease as a fraction of `election_min`; below 1 to allow for
        clocks that run at different rates.
    """

    __slots__ = ("election_max", "election_min", "heartbeat", "lease_fraction")

    def __init__(self, heartbeat=0.15, election_min=1.0, election_max=2.0, lease_fraction=0.9):
        self.heartbeat = heartbeat
        self.election_min = election_min
        self.election_max = election_max
        self.lease_fraction = lease_fraction

    @classmethod
    def for_election(cls, election_min: float) -> "Timing":
        """Return the default timing scaled to a minimum election timeout in seconds."""
        default = cls()
        scale = election_min / default.election_min
        return cls(default.heartbeat * scale, election_min, default.election_max * scale, default.lease_fraction)

    def __repr__(self) -> str:
        return f"<Timing heartbeat={self.heartbeat} election={self.election_min}..{self.election_max}>"


class Progress:
    """Replication progress of another replica, as known to the leader.

    Parameters
    ----------
    next_index : int
        Index of the next entry to send.

    Attributes
    ----------
    match_index : int
        Index up to which the replica's log is known to match the leader's.
    probe : int
        Newest heartbeat round that the replica has answered.
    acked_at : float
        Monotonic time, in seconds, of its last reply; minus infinity if none.
    reached_at : float
        Monotonic time, in seconds, at which the newest round that it has answered began; minus
        infinity if none.
    """

    __slots__ = ("acked_at", "match_index", "next_index", "probe", "reached_at")

    def __init__(self, next_index: int):
        self.next_index = next_index
        self.match_index = 0
        self.probe = 0
        self.acked_at = float("-inf")
        self.reached_at = float("-inf")

    def __repr__(self) -> str:
        return f"<Progress match={self.match_index} next={self.next_index}>"


class Ready:
    """Work that the driver has to do after each call of the core.

    The order is part of the protocol: `messages_before_sync` messages may be sent at once;
    `snapshot`, `entries` and the hard state are synced to disk;
    `RaftReplica.mark_persisted` is called; only then are `messages_after_sync` messages sent and
    `committed` entries applied.

    Attributes
    ----------
    messages_before_sync, messages_after_sync : list of PeerMessage
    entries : list of LogEntry
        Entries to append. An entry whose index the stored log already holds
        replaces that entry and all later ones.
    hard_state_changed : bool
        Whether the term and vote have to be saved.
    snapshot : LogSnapshot or None
        Snapshot received from the leader, which replaces the log and the applied state.
    committed : list of LogEntry
        Entries to apply, in this order.
    reads : list of tuple of (int, int)
        Tokens of confirmed reads, each with the index that has to be applied
        before the read is answered.
    failed_reads : list of int
        Tokens of reads that the driver has to request again.
    """

    __slots__ = (
        "committed",
        "entries",
        "failed_reads",
        "hard_state_changed",
        "messages_after_sync",
        "messages_before_sync",
        "reads",
        "snapshot",
    )

    def __init__(self):
        self.messages_before_sync: list[messages.PeerMessage] = []
        self.messages_after_sync: list[messages.PeerMessage] = []
        self.entries: list[messages.LogEntry] = []
        self.hard_state_changed = False
        self.snapshot: LogSnapshot | None = None
        self.committed: list[messages.LogEntry] = []
        self.reads: list[tuple[int, int]] = []
        self.failed_reads: list[int] = []

    def must_sync(self) -> bool:
        """Return whether there is data to write to disk."""
        return bool(self.entries) or self.hard_state_changed or self.snapshot is not None
