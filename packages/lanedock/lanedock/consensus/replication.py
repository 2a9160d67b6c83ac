# SPDX-License-Identifier: BSD-3-Clause
"""Log replication by the leader: heartbeats, entries, snapshots, commits and confirmed reads."""

from lanedock.consensus.core import Timing
from lanedock.consensus.leadership import Leadership
from lanedock.consensus.membership import quorum_value
from lanedock.consensus.reads import PendingRead
from lanedock.consensus.state import ReplicaState
from lanedock.wire import messages

__all__ = ["LogReplication"]

MAX_ENTRIES_PER_MESSAGE = 64


class LogReplication:
    """Replication of the log by the leader of one term. Performs no I/O.

    Parameters
    ----------
    state : ReplicaState
    timing : Timing
    election_started_at : float
        Monotonic time, in seconds, at which the election began.

    Attributes
    ----------
    leadership : Leadership
        Progress of the followers, heartbeat rounds and the lease.
    """

    def __init__(self, state: ReplicaState, timing: Timing, election_started_at: float):
        self.leadership = Leadership(state.me, state.log.last_index + 1, timing, election_started_at)
        self._state = state

    def __repr__(self) -> str:
        return f"<LogReplication {self._state!r} {self.leadership!r}>"

    def append(self, entry: messages.LogEntry, now: float) -> int:
        """Append an entry to the log in this term, send it, and return its index."""
        state = self._state
        entry.term = state.term
        entry.leader = state.me
        entry.index = state.log.last_index + 1
        state.log.append(entry)
        state.ready.entries.append(entry)
        if entry.HasField("membership"):
            state.membership = state.log.membership()
        self.broadcast(now)
        return entry.index

    def broadcast(self, now: float) -> None:
        """Begin a heartbeat round and send every other replica the entries that it lacks."""
        self.leadership.begin_round(now)
        for peer in self._others():
            self._send_append(peer)
        self._advance_reads()

    def _others(self) -> list[str]:
        membership = self._state.membership
        replicas = [*membership.voters, *membership.learners]
        return [replica for replica in replicas if replica != self._state.me]

    def _send_append(self, peer: str) -> None:
        state = self._state
        progress = self.leadership.progress_of(peer, state.log.last_index)
        previous_term = state.log.term_at(progress.next_index - 1)
        if previous_term is None:
            self._send_snapshot(peer)
            return
        message = state.message(peer)
        request = message.append_request
        request.previous_index = progress.next_index - 1
        request.previous_term = previous_term
        request.commit_index = state.commit_index
        request.probe = self.leadership.probe
        last = progress.next_index + MAX_ENTRIES_PER_MESSAGE - 1
        entries = state.log.between(progress.next_index, last)
        request.entries.extend(entries)
        # Assumes that the entries arrive. If they do not, the follower rejects the next
        # heartbeat, and its reply resets this index.
        progress.next_index += len(entries)
        state.ready.messages_before_sync.append(message)

    def _send_snapshot(self, peer: str) -> None:
        state = self._state
        snapshot = state.log.snapshot
        message = state.message(peer)
        request = message.snapshot_request
        request.last_index = snapshot.index
        request.last_term = snapshot.term
        request.state = snapshot.state
        request.membership.CopyFrom(snapshot.membership)
        request.probe = self.leadership.probe
        self.leadership.progress_of(peer, state.log.last_index).next_index = snapshot.index + 1
        state.ready.messages_before_sync.append(message)

    def handle_reply(self, sender: str, reply, now: float) -> bool:
        """Record a follower's reply and send the entries that it still lacks.

        Returns
        -------
        bool
            Whether the leader has to step down; see `advance_commit`.
        """
        progress = self.leadership.known_progress(sender)
        if progress is None:
            return False
        last_index = self._state.log.last_index
        self.leadership.note_reply(progress, reply.probe, now)
        if reply.accepted:
            progress.match_index = max(progress.match_index, reply.match_index)
            progress.next_index = max(progress.next_index, progress.match_index + 1)
            if progress.next_index <= last_index:
                self._send_append(sender)
        else:
            progress.next_index = max(1, min(reply.match_index + 1, last_index + 1))
            self._send_append(sender)
        self._advance_reads()
        return self.advance_commit(now)

    def advance_commit(self, now: float) -> bool:
        """Commit the entries that a quorum holds.

        Returns
        -------
        bool
            Whether the leader has to step down because it is no voter of the
            committed membership.
        """
        state = self._state
        index = quorum_value(state.membership, self._match_of)
        # Only entries of the current term are committed by counting replicas (Raft, 5.4.2).
        if index <= state.commit_index or state.log.term_at(index) != state.term:
            return False
        state.commit_index = index
        self.broadcast(now)
        return not state.can_vote() and state.log.membership_index() <= index

    def _match_of(self, replica: str) -> int:
        return self._state.persisted if replica == self._state.me else self.leadership.match_of(replica)

    def confirm_read(self, token: int, origin: str, now: float) -> None:
        """Start a heartbeat round, and answer the read once a quorum confirms that this replica leads."""
        state = self._state
        # A new leader does not know the newest committed index until an entry of its
        # own term is committed (Ongaro 2014, 6.4).
        if state.commit_index < self.leadership.term_start:
            state.finish_read(token, origin, 0, confirmed=False)
            return
        state.reads.add(PendingRead(token, origin, state.commit_index, self.leadership.probe + 1))
        self.broadcast(now)

    def _advance_reads(self) -> None:
        """Answer the reads whose heartbeat round a quorum has answered."""
        state = self._state
        for read in state.reads.take_confirmed(self.leadership.confirm(state.membership)):
            state.finish_read(read.token, read.origin, read.index, confirmed=True)
