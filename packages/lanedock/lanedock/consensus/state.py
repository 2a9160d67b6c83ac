# SPDX-License-Identifier: BSD-3-Clause
"""State of one replica: persistent and volatile Raft state, and pending work for the driver."""

from lanedock.consensus.core import Ready, ReplicaRole
from lanedock.consensus.log import RaftLog
from lanedock.consensus.reads import ReadQueue
from lanedock.wire import messages

__all__ = ["ReplicaState"]


class ReplicaState:
    """State that the components of one replica share.

    Parameters
    ----------
    me : str
        The replica's id, ``name@incarnation``.
    log : RaftLog
    term : int
    voted_for : str
        Id of the replica that got the vote in this term; empty if none did.
    applied : int
        Index of the last entry that the state machine has applied already.

    Attributes
    ----------
    role : ReplicaRole
    leader : str
        Id of the current term's leader; empty if unknown.
    commit_index : int
        Index of the last entry known to be committed.
    delivered : int
        Index of the last entry passed to the driver as committed.
    persisted : int
        Index of the last entry synced to disk.
    membership : Membership
        Newest membership of the log, committed or not.
    reads : ReadQueue
    ready : Ready
        Pending work for the driver.
    """

    __slots__ = (
        "commit_index",
        "delivered",
        "leader",
        "log",
        "me",
        "membership",
        "persisted",
        "reads",
        "ready",
        "role",
        "term",
        "voted_for",
    )

    def __init__(self, me: str, log: RaftLog, term: int, voted_for: str, applied: int = 0):
        self.me = me
        self.log = log
        self.term = term
        self.voted_for = voted_for
        self.role = ReplicaRole.FOLLOWER
        self.leader = ""
        self.commit_index = max(log.snapshot.index, applied)
        self.delivered = self.commit_index
        self.persisted = log.last_index
        self.membership = log.membership()
        self.reads = ReadQueue()
        self.ready = Ready()

    def __repr__(self) -> str:
        return f"<ReplicaState {self.me} {self.role.value} term={self.term} commit={self.commit_index} {self.log!r}>"

    def can_vote(self) -> bool:
        """Return whether this replica is a voter."""
        return self.me in self.membership.voters

    def message(self, receiver: str) -> messages.PeerMessage:
        """Return a new message of the current term to another replica."""
        return messages.PeerMessage(sender=self.me, receiver=receiver, term=self.term)

    def fail_reads(self) -> None:
        """Clear the read queue after a change of leader, and fail this replica's own reads."""
        self.ready.failed_reads.extend(self.reads.clear(self.me))

    def finish_read(self, token: int, origin: str, index: int, confirmed: bool) -> None:
        """Answer a read that another replica or this replica's own driver requested."""
        if origin != self.me:
            message = self.message(origin)
            message.read_index_reply.token = token
            message.read_index_reply.index = index
            message.read_index_reply.confirmed = confirmed
            self.ready.messages_after_sync.append(message)
        elif confirmed:
            self.ready.reads.append((token, index))
        else:
            self.ready.failed_reads.append(token)
