# SPDX-License-Identifier: BSD-3-Clause
"""The state of one replica: what it persists, what it knows, and what there is to do."""

from lanedock.consensus.core import Ready, ReplicaRole
from lanedock.consensus.log import RaftLog
from lanedock.consensus.reads import ReadQueue
from lanedock.wire import messages

__all__ = ["ReplicaState"]


class ReplicaState:
    """What the parts of one replica read and change.

    Parameters
    ----------
    me : str
        The replica's id, ``name@incarnation``.
    log : RaftLog
    term : int
    voted_for : str
        Empty where no vote was given in this term.

    Attributes
    ----------
    role : ReplicaRole
    leader : str
        Id of the current term's leader; empty where it is not known.
    commit_index : int
        Index of the last entry known to be committed.
    delivered : int
        Index of the last entry handed out as committed.
    persisted : int
        Index of the last entry synced to disk.
    membership : Membership
        The newest of the log, committed or not.
    reads : ReadQueue
    ready : Ready
        What the driver has to do.
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

    def __init__(self, me: str, log: RaftLog, term: int, voted_for: str):
        self.me = me
        self.log = log
        self.term = term
        self.voted_for = voted_for
        self.role = ReplicaRole.FOLLOWER
        self.leader = ""
        self.commit_index = log.snapshot.index
        self.delivered = log.snapshot.index
        self.persisted = log.last_index
        self.membership = log.membership()
        self.reads = ReadQueue()
        self.ready = Ready()

    def __repr__(self) -> str:
        return f"<ReplicaState {self.me} {self.role.value} term={self.term} commit={self.commit_index} {self.log!r}>"

    def can_vote(self) -> bool:
        """Tell whether this replica is a voter."""
        return self.me in self.membership.voters

    def message(self, receiver: str) -> messages.PeerMessage:
        """Make a message of the current term to another replica."""
        return messages.PeerMessage(sender=self.me, receiver=receiver, term=self.term)

    def fail_reads(self) -> None:
        """Fail the driver's own reads, as the leader has changed."""
        self.ready.failed_reads.extend(self.reads.drop(self.me))

    def finish_read(self, token: int, origin: str, index: int, confirmed: bool) -> None:
        """Answer a read to the replica that asked, or to the own driver."""
        if origin != self.me:
            message = self.message(origin)
            message.read_index_reply.token = token
            message.read_index_reply.index = index
            message.read_index_reply.confirmed = confirmed
            self.ready.late.append(message)
        elif confirmed:
            self.ready.reads.append((token, index))
        else:
            self.ready.failed_reads.append(token)
