# SPDX-License-Identifier: BSD-3-Clause
"""How a leader replicates its log: heartbeats, entries, snapshots, commits and confirmed reads."""

from lanedock.consensus.core import Timing
from lanedock.consensus.leadership import Leadership
from lanedock.consensus.membership import quorum_value
from lanedock.consensus.reads import PendingRead
from lanedock.consensus.state import ReplicaState
from lanedock.wire import messages

__all__ = ["LogReplication"]

MAX_ENTRIES_PER_MESSAGE = 64


class LogReplication:
    """One term's replication of the log by its leader. Pure.

    Parameters
    ----------
    state : ReplicaState
    timing : Timing
    stood_at : float
        When the election began, monotonic seconds.

    Attributes
    ----------
    lead : Leadership
        Progress of the followers, and the lease.
    """

    def __init__(self, state: ReplicaState, timing: Timing, stood_at: float):
        self.lead = Leadership(state.me, state.log.last_index + 1, timing, stood_at)
        self._state = state

    def __repr__(self) -> str:
        return f"<LogReplication {self._state!r} {self.lead!r}>"

    def append(self, entry: messages.LogEntry, now: float) -> int:
        """Append an entry of this term and send it; return its index."""
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
        """Send every other replica what it misses, with a fresh probe."""
        self.lead.begin_round(now)
        for peer in self._others():
            self._send_append(peer)
        self._advance_reads()

    def _others(self) -> list[str]:
        membership = self._state.membership
        replicas = [*membership.voters, *membership.learners]
        return [replica for replica in replicas if replica != self._state.me]

    def _send_append(self, peer: str) -> None:
        state = self._state
        progress = self.lead.progress_of(peer, state.log.last_index)
        previous_term = state.log.term_at(progress.next_index - 1)
        if previous_term is None:
            self._send_snapshot(peer)
            return
        message = state.message(peer)
        request = message.append_request
        request.previous_index = progress.next_index - 1
        request.previous_term = previous_term
        request.commit_index = state.commit_index
        request.probe = self.lead.probe
        last = progress.next_index + MAX_ENTRIES_PER_MESSAGE - 1
        entries = state.log.between(progress.next_index, last)
        request.entries.extend(entries)
        # Sent entries are taken to arrive. Where they don't, the next
        # heartbeat is refused and the refusal sets this back.
        progress.next_index += len(entries)
        state.ready.early.append(message)

    def _send_snapshot(self, peer: str) -> None:
        state = self._state
        snapshot = state.log.snapshot
        message = state.message(peer)
        request = message.snapshot_request
        request.last_index = snapshot.index
        request.last_term = snapshot.term
        request.state = snapshot.state
        request.membership.CopyFrom(snapshot.membership)
        request.probe = self.lead.probe
        self.lead.progress_of(peer, state.log.last_index).next_index = snapshot.index + 1
        state.ready.early.append(message)

    def note_reply(self, sender: str, reply, now: float) -> bool:
        """Note a follower's answer, and send what it still misses; see `advance_commit`."""
        progress = self.lead.known_progress(sender)
        if progress is None:
            return False
        last_index = self._state.log.last_index
        progress.acked_at = now
        progress.probe = max(progress.probe, reply.probe)
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
        """Commit what a quorum holds.

        Returns
        -------
        bool
            Whether the leader has to step down: the membership that is committed
            does without its vote.
        """
        state = self._state
        index = quorum_value(state.membership, self._match_of)
        # Only entries of the own term are committed by counting (Raft, 5.4.2).
        if index <= state.commit_index or state.log.term_at(index) != state.term:
            return False
        state.commit_index = index
        self.broadcast(now)
        return not state.can_vote() and state.log.membership_index() <= index

    def _match_of(self, replica: str) -> int:
        return self._state.persisted if replica == self._state.me else self.lead.match_of(replica)

    def confirm_read(self, token: int, origin: str, now: float) -> None:
        """Ask a quorum whether this replica still leads, and answer the read then."""
        state = self._state
        # A new leader does not know the newest commit before an entry of its
        # own term is committed (Ongaro 2014, 6.4).
        if state.commit_index < self.lead.term_start:
            state.finish_read(token, origin, 0, confirmed=False)
            return
        state.reads.add(PendingRead(token, origin, state.commit_index, self.lead.probe + 1))
        self.broadcast(now)

    def _advance_reads(self) -> None:
        """Answer the reads that a quorum has confirmed."""
        state = self._state
        for read in state.reads.take_confirmed(self.lead.confirm(state.membership)):
            state.finish_read(read.token, read.origin, read.index, confirmed=True)
