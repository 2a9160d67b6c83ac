# SPDX-License-Identifier: BSD-3-Clause
"""The consensus core of one replica: no I/O, no clock, no randomness of its own.

The algorithm is Raft with pre-votes, leader leases, read confirmation and
changes of one voter at a time.

References
----------
D. Ongaro and J. Ousterhout, "In Search of an Understandable Consensus
Algorithm", USENIX ATC 2014; D. Ongaro, "Consensus: Bridging Theory and
Practice", Stanford 2014, sections 4.2 (learners), 6.4 (reads), 9.6 (pre-vote).
"""

from random import Random

from lanedock.consensus.core import Ready, ReplicaRole, Timing, replica_name
from lanedock.consensus.election import ElectionState
from lanedock.consensus.leadership import Leadership
from lanedock.consensus.log import LogSnapshot, RaftLog
from lanedock.consensus.membership import (
    admit_learner,
    is_quorum,
    next_membership,
    promote_learner,
    quorum_value,
)
from lanedock.consensus.reads import PendingRead, ReadQueue
from lanedock.wire import messages

__all__ = ["RaftReplica"]

MAX_ENTRIES_PER_MESSAGE = 64
# A learner votes nowhere and holds nothing up, so it is let go later than a
# voter, by this factor.
LEARNER_PATIENCE = 10


class RaftReplica:
    """One replica of the log.

    Parameters
    ----------
    me : str
        Id, ``name@incarnation``: a replica that lost its disk comes back under
        another incarnation, so nothing sent to its old self reaches it.
    log : RaftLog
        As restored from disk.
    term : int
    voted_for : str
        Empty where no vote was given in this term.
    timing : Timing
    rng : random.Random
        For election timeouts.
    now : float
        Monotonic clock, seconds; every later call passes its own.
    contacts : tuple of str
        Names of the replicas that a newcomer asks to be taken in.
    replace_after : float, optional
        Silence, in seconds, after which a learner takes a voter's place. Left
        out, the replicas are given, and every learner comes for its old self.
    """

    def __init__(
        self,
        me: str,
        log: RaftLog,
        term: int,
        voted_for: str,
        timing: Timing,
        rng: Random,
        now: float,
        contacts: tuple[str, ...] = (),
        replace_after: float | None = None,
    ):
        self.me = me
        self.contacts = contacts
        self.log = log
        self.term = term
        self.voted_for = voted_for
        self.role = ReplicaRole.FOLLOWER
        self.leader = ""
        self.commit_index = log.snapshot.index
        self._timing = timing
        self._delivered = log.snapshot.index
        self._persisted = log.last_index
        self._membership = log.membership()
        self._election = ElectionState(me, log.leader_of(term), timing, rng, now)
        self._rng = rng
        self._challenge: tuple[str, int, str] | None = None
        if not self.can_vote():
            # Others may wait for a leader whose successor this replica is.
            self._election.due_at = now
        self._lead: Leadership | None = None
        self._reads = ReadQueue()
        self._joiners: dict[str, float] = {}
        self._replace_after = replace_after
        self._ready = Ready()

    def __repr__(self) -> str:
        return f"<RaftReplica {self.me} {self.role.value} term={self.term} commit={self.commit_index} {self.log!r}>"

    # ------------------------------------------------------------- for drivers

    @property
    def membership(self) -> messages.Membership:
        """The replicas that take part at the moment."""
        return self._membership

    def is_leader(self, now: float) -> bool:
        """Tell whether this replica leads and its lease still runs."""
        return self._lead is not None and now < self._lead.lease_until

    def has_own_commit(self, applied: int) -> bool:
        """Tell whether an entry of the leader's own term is applied.

        Everything committed before the term began is applied then, too.
        """
        return self._lead is not None and applied >= self._lead.term_start

    def silence(self, now: float) -> float:
        """Return for how long no leader was heard from, in seconds."""
        if self.is_leader(now):
            return 0.0
        return now - self._election.heard_at

    def can_vote(self) -> bool:
        """Tell whether this replica is a voter."""
        return self.me in self._membership.voters

    def take_ready(self) -> Ready:
        """Return what there is to do, and start a new list."""
        ready = self._ready
        if self.commit_index > self._delivered and ready.snapshot is None:
            # Entries that this replica has not synced itself are never applied.
            last = min(self.commit_index, self.log.last_index)
            ready.committed = self.log.between(self._delivered + 1, last)
            self._delivered = last
        self._ready = Ready()
        return ready

    def persisted(self, index: int, now: float) -> None:
        """Note that all entries up to `index` are synced to disk."""
        self._persisted = min(index, self.log.last_index)
        if self.role is ReplicaRole.LEADER:
            self._advance_commit(now)

    def tick(self, now: float) -> None:
        """Act on the time: heartbeats, elections, the end of a lease."""
        if self.role is ReplicaRole.LEADER:
            self._tick_leader(now)
        elif now >= self._election.due_at:
            if self.can_vote():
                if self._replace_after is not None and now - self._election.heard_at > self._replace_after:
                    # Others may have taken its place meanwhile.
                    self._ask_to_join(now)
                self._start_election(now, trial=True)
            else:
                self._ask_to_join(now)

    def propose(self, payload: bytes, now: float) -> int | None:
        """Append an entry, as leader.

        Returns
        -------
        int or None
            The entry's index, or None where this replica does not lead.
        """
        if not self.is_leader(now):
            return None
        return self._append(messages.LogEntry(payload=payload), now)

    def request_read(self, token: int, now: float) -> None:
        """Ask for an index that is at least as new as any committed before.

        The answer comes as `Ready.reads` or `Ready.failed_reads`.
        """
        if self.role is ReplicaRole.LEADER:
            self._confirm_read(token, self.me, now)
        elif self.leader:
            self._reads.forward(token)
            message = self._message(self.leader)
            message.read_index_request.token = token
            self._ready.late.append(message)
        else:
            self._ready.failed_reads.append(token)

    def compact(self, snapshot: LogSnapshot) -> None:
        """Drop the entries that a saved snapshot stands for."""
        self.log.compact(snapshot)

    def step(self, message: messages.PeerMessage, now: float) -> None:
        """Take in a message from another replica."""
        body = message.WhichOneof("body")
        if body == "join_request":
            self._on_join_request(message, now)
            return
        if message.receiver != self.me or body is None:
            return
        if message.term > self.term and not self._raise_term(message, body, now):
            return
        if message.term < self.term:
            self._answer_old_term(message, body)
            return
        handler = getattr(self, "_on_" + body, None)
        if handler is not None:
            handler(message, getattr(message, body), now)

    # ------------------------------------------------------------------- terms

    def _raise_term(self, message, body: str, now: float) -> bool:
        """Go along with a higher term; False where the message is to be dropped."""
        if body == "vote_request":
            if self._election.supports_other(message.sender, now):
                return False
            if message.vote_request.trial:
                granted = self.can_vote() and self._is_up_to_date(message.vote_request)
                self._reply_vote(message, granted, trial=True)
                return False
        if body == "vote_reply" and message.vote_reply.trial and message.vote_reply.granted:
            if message.term == self.term + 1:
                self._count_vote(message.sender, trial=True, now=now)
            return False
        leader = message.sender if body in ("append_request", "snapshot_request") else ""
        self._become_follower(message.term, leader, now)
        return True

    def _answer_old_term(self, message, body: str) -> None:
        """Let a deposed leader or a late candidate learn the term."""
        if body in ("append_request", "snapshot_request"):
            reply = self._message(message.sender)
            reply.append_reply.accepted = False
            self._ready.late.append(reply)
        elif body == "vote_request":
            self._reply_vote(message, False, message.vote_request.trial)

    def _become_follower(self, term: int, leader: str, now: float) -> None:
        if term > self.term:
            self.term = term
            self.voted_for = ""
            self._ready.hard_state_changed = True
        self.role = ReplicaRole.FOLLOWER
        self.leader = leader
        self._lead = None
        self._drop_reads()
        self._election.reset(now)

    def _drop_reads(self) -> None:
        self._ready.failed_reads.extend(self._reads.drop(self.me))

    # --------------------------------------------------------------- elections

    def _start_election(self, now: float, trial: bool) -> None:
        self.leader = ""
        self._drop_reads()
        self._election.votes = set()
        self.role = ReplicaRole.PRE_CANDIDATE if trial else ReplicaRole.CANDIDATE
        self._election.reset(now, is_candidate=not trial)
        if not trial:
            self._election.stand(self.me, now)
            self.term += 1
            self.voted_for = self.me
            self._ready.hard_state_changed = True
        for peer in self._membership.voters:
            if peer == self.me:
                continue
            message = self._message(peer)
            if trial:
                message.term = self.term + 1
            message.vote_request.last_index = self.log.last_index
            message.vote_request.last_term = self.log.last_term
            message.vote_request.trial = trial
            self._ready.late.append(message)
        self._count_vote(self.me, trial, now)

    def _count_vote(self, voter: str, trial: bool, now: float) -> None:
        expected = ReplicaRole.PRE_CANDIDATE if trial else ReplicaRole.CANDIDATE
        if self.role is not expected:
            return
        self._election.votes.add(voter)
        if not is_quorum(self._membership, self._election.votes):
            return
        if trial:
            self._start_election(now, trial=False)
        else:
            self._become_leader(now)

    def _is_up_to_date(self, request) -> bool:
        return (request.last_term, request.last_index) >= (self.log.last_term, self.log.last_index)

    def _on_vote_request(self, message, request, now: float) -> None:
        if request.trial:
            is_free = not self._election.supports_other(message.sender, now)
            granted = self.can_vote() and is_free and self._is_up_to_date(request)
            self._reply_vote(message, granted, trial=True)
            return
        granted = self.voted_for in ("", message.sender) and self._is_up_to_date(request) and self.can_vote()
        if granted:
            self.voted_for = message.sender
            self._ready.hard_state_changed = True
            # So that the candidate's first lease excludes another leader.
            self._election.support(message.sender, now)
            self._election.reset(now)
        self._reply_vote(message, granted, trial=False)

    def _reply_vote(self, message, granted: bool, trial: bool) -> None:
        reply = self._message(message.sender)
        if trial and granted:
            reply.term = message.term
        reply.vote_reply.granted = granted
        reply.vote_reply.trial = trial
        self._ready.late.append(reply)

    def _on_vote_reply(self, message, reply, now: float) -> None:
        if reply.granted:
            self._count_vote(message.sender, reply.trial, now)

    def _ask_to_join(self, now: float) -> None:
        """A replica that votes nowhere asks everybody to be taken in."""
        self._election.reset(now)
        if self.me in self._membership.learners:
            return
        known = [replica_name(voter) for voter in self._membership.voters if voter != self.me]
        for name in dict.fromkeys([*self.contacts, *known]):
            self._send_join(name, self.me)

    def _send_join(self, receiver: str, joiner: str) -> None:
        message = self._message(receiver)
        message.join_request.joiner = joiner
        self._ready.late.append(message)

    def _on_join_request(self, message, now: float) -> None:
        """Note a newcomer, as leader, or pass its request on to the leader.

        It knows names only, not incarnations.
        """
        joiner = message.join_request.joiner or message.sender
        if self.role is ReplicaRole.LEADER:
            self._joiners[joiner] = now
        elif joiner != message.sender:
            return
        elif self.leader:
            self._send_join(self.leader, joiner)
        else:
            self._challenge_successor(joiner)

    def _challenge_successor(self, joiner: str) -> None:
        """Find out whether a newcomer has taken the place of the leader that is supported.

        A replica that lost its disk comes back under its name with another
        incarnation, and two of them never run at once. The leader that is supported
        has led before; so once another incarnation is known to run now, the leader
        has ended, and nobody need wait for its lease. A request with a token of
        this replica's own is answered by one that runs now only: a late message of a still
        earlier incarnation proves nothing.
        """
        supported = self._election.supported
        if joiner == supported or replica_name(joiner) != replica_name(supported):
            return
        token = self._rng.getrandbits(62)
        self._challenge = (joiner, token, supported)
        message = self._message(joiner)
        message.read_index_request.token = token
        self._ready.late.append(message)

    def _is_proof(self, sender: str, token: int) -> bool:
        """Tell whether a reply answers the challenge of the successor of the leader still supported."""
        return self._challenge == (sender, token, self._election.supported)

    # ------------------------------------------------------------------ leader

    def _become_leader(self, now: float) -> None:
        self.role = ReplicaRole.LEADER
        self.leader = self.me
        self._lead = Leadership(self.me, self.log.last_index + 1, self._timing, self._election.stood_at)
        self._append(messages.LogEntry(), now)

    def _append(self, entry: messages.LogEntry, now: float) -> int:
        entry.term = self.term
        entry.leader = self.me
        entry.index = self.log.last_index + 1
        self.log.append(entry)
        self._ready.entries.append(entry)
        if entry.HasField("membership"):
            self._membership = self.log.membership()
        self._broadcast(now)
        return entry.index

    def _others(self) -> list[str]:
        replicas = [*self._membership.voters, *self._membership.learners]
        return [replica for replica in replicas if replica != self.me]

    def _broadcast(self, now: float) -> None:
        """Send every other replica what it misses, with a fresh probe."""
        self._lead.begin_round(now)
        for peer in self._others():
            self._send_append(peer)
        self._advance_reads()

    def _send_append(self, peer: str) -> None:
        progress = self._lead.progress_of(peer, self.log.last_index)
        previous_term = self.log.term_at(progress.next_index - 1)
        if previous_term is None:
            self._send_snapshot(peer)
            return
        message = self._message(peer)
        request = message.append_request
        request.previous_index = progress.next_index - 1
        request.previous_term = previous_term
        request.commit_index = self.commit_index
        request.probe = self._lead.probe
        last = progress.next_index + MAX_ENTRIES_PER_MESSAGE - 1
        entries = self.log.between(progress.next_index, last)
        request.entries.extend(entries)
        # Sent entries are taken to arrive. Where they don't, the next
        # heartbeat is refused and the refusal sets this back.
        progress.next_index += len(entries)
        self._ready.early.append(message)

    def _send_snapshot(self, peer: str) -> None:
        snapshot = self.log.snapshot
        message = self._message(peer)
        request = message.snapshot_request
        request.last_index = snapshot.index
        request.last_term = snapshot.term
        request.state = snapshot.state
        request.membership.CopyFrom(snapshot.membership)
        request.probe = self._lead.probe
        self._lead.progress_of(peer, self.log.last_index).next_index = snapshot.index + 1
        self._ready.early.append(message)

    def _on_append_reply(self, message, reply, now: float) -> None:
        progress = self._lead.known_progress(message.sender) if self._lead is not None else None
        if progress is None:
            return
        progress.acked_at = now
        progress.probe = max(progress.probe, reply.probe)
        if reply.accepted:
            progress.match_index = max(progress.match_index, reply.match_index)
            progress.next_index = max(progress.next_index, progress.match_index + 1)
            if progress.next_index <= self.log.last_index:
                self._send_append(message.sender)
        else:
            progress.next_index = max(1, min(reply.match_index + 1, self.log.last_index + 1))
            self._send_append(message.sender)
        self._advance_reads()
        self._advance_commit(now)

    def _advance_commit(self, now: float) -> None:
        index = quorum_value(self._membership, self._match_of)
        # Only entries of the own term are committed by counting (Raft, 5.4.2).
        if index > self.commit_index and self.log.term_at(index) == self.term:
            self.commit_index = index
            self._broadcast(now)
            if self.me not in self._membership.voters and self.log.membership_index() <= index:
                self._become_follower(self.term, "", now)

    def _match_of(self, replica: str) -> int:
        return self._persisted if replica == self.me else self._lead.match_of(replica)

    def _advance_reads(self) -> None:
        """Answer the reads that a quorum has confirmed."""
        for read in self._reads.take_confirmed(self._lead.confirm(self._membership)):
            self._finish_read(read.token, read.origin, read.index, confirmed=True)

    def _tick_leader(self, now: float) -> None:
        if now >= self._lead.lease_until:
            self._become_follower(self.term, "", now)
            return
        if now >= self._lead.heartbeat_at:
            self._broadcast(now)
            self._advance_membership(now)

    # ------------------------------------------------------------------- reads

    def _confirm_read(self, token: int, origin: str, now: float) -> None:
        # A new leader does not know the newest commit before an entry of its
        # own term is committed (Ongaro 2014, 6.4).
        if self.commit_index < self._lead.term_start:
            self._finish_read(token, origin, 0, confirmed=False)
            return
        self._reads.add(PendingRead(token, origin, self.commit_index, self._lead.probe + 1))
        self._broadcast(now)

    def _finish_read(self, token: int, origin: str, index: int, confirmed: bool) -> None:
        if origin != self.me:
            message = self._message(origin)
            message.read_index_reply.token = token
            message.read_index_reply.index = index
            message.read_index_reply.confirmed = confirmed
            self._ready.late.append(message)
        elif confirmed:
            self._ready.reads.append((token, index))
        else:
            self._ready.failed_reads.append(token)

    def _on_read_index_request(self, message, request, now: float) -> None:
        if self.role is ReplicaRole.LEADER:
            self._confirm_read(request.token, message.sender, now)
        else:
            self._finish_read(request.token, message.sender, 0, confirmed=False)

    def _on_read_index_reply(self, message, reply, now: float) -> None:
        if self._is_proof(message.sender, reply.token):
            self._challenge = None
            self._election.note_ended(now)
            return
        if not self._reads.take_forwarded(reply.token):
            return
        if reply.confirmed:
            self._ready.reads.append((reply.token, reply.index))
        else:
            self._ready.failed_reads.append(reply.token)

    # ---------------------------------------------------------------- follower

    def _follow(self, message, now: float) -> None:
        if self.role is not ReplicaRole.FOLLOWER or self.leader != message.sender:
            self.role = ReplicaRole.FOLLOWER
            self.leader = message.sender
            self._lead = None
        self._election.follow(message.sender, now)

    def _on_append_request(self, message, request, now: float) -> None:
        self._follow(message, now)
        reply = self._message(message.sender)
        reply.append_reply.probe = request.probe
        self._ready.late.append(reply)
        previous = request.previous_index
        if previous > self.log.last_index:
            reply.append_reply.match_index = self.log.last_index
            return
        known = self.log.term_at(previous)
        if known is None:
            # Before the snapshot, so committed here: start behind it.
            reply.append_reply.match_index = self.commit_index
            return
        if known != request.previous_term:
            reply.append_reply.match_index = max(self.log.snapshot.index, previous - 1)
            return
        for entry in request.entries:
            self._take_entry(entry)
        last = previous + len(request.entries)
        self.commit_index = max(self.commit_index, min(request.commit_index, last))
        reply.append_reply.accepted = True
        reply.append_reply.match_index = last

    def _take_entry(self, entry: messages.LogEntry) -> None:
        if self.log.term_at(entry.index) == entry.term:
            return
        if entry.index <= self.commit_index:
            raise AssertionError(f"committed entry {entry.index} would be replaced")
        self.log.append(entry)
        self._persisted = min(self._persisted, entry.index - 1)
        self._ready.entries.append(entry)
        self._membership = self.log.membership()

    def _on_snapshot_request(self, message, request, now: float) -> None:
        self._follow(message, now)
        reply = self._message(message.sender)
        reply.append_reply.accepted = True
        reply.append_reply.probe = request.probe
        if request.last_index > self.commit_index:
            snapshot = LogSnapshot(request.last_index, request.last_term, request.membership, request.state)
            self.log.reset(snapshot)
            self.commit_index = snapshot.index
            self._delivered = snapshot.index
            self._persisted = snapshot.index
            self._membership = snapshot.membership
            # Entries gathered before are overtaken by the snapshot.
            self._ready.entries = []
            self._ready.snapshot = snapshot
        reply.append_reply.match_index = self.commit_index
        self._ready.late.append(reply)

    # -------------------------------------------------------------- membership

    def _advance_membership(self, now: float) -> None:
        """Take the next step of replacing a replica, one change at a time."""
        if self.commit_index < max(self._lead.term_start, self.log.membership_index()):
            return
        step = self._next_step(now)
        if step is not None:
            self._change_membership(step, now)
            return
        for joiner, asked_at in list(self._joiners.items()):
            del self._joiners[joiner]
            known = [*self._membership.voters, *self._membership.learners]
            if joiner in known or now - asked_at > self._timing.election_max:
                continue
            if self._admit(joiner, now):
                return

    def _next_step(self, now: float) -> messages.Membership | None:
        """Return the membership that promotes a learner or lets a replica go, if any."""
        membership = self._membership
        ready = [learner for learner in membership.learners if self._has_caught_up(learner, now)]
        if self._replace_after is None:
            return promote_learner(membership, ready[0]) if ready else None
        silent = [voter for voter in membership.voters if self._is_silent(voter, self._replace_after, now)]
        limit = LEARNER_PATIENCE * self._replace_after
        stale = [learner for learner in membership.learners if self._is_silent(learner, limit, now)]
        return next_membership(membership, ready, silent, stale)

    def _is_silent(self, replica: str, limit: float, now: float) -> bool:
        return replica != self.me and self._lead.silence_of(replica, now) > limit

    def _has_caught_up(self, learner: str, now: float) -> bool:
        return self._lead.is_recent(learner, now) and self._lead.match_of(learner) >= self.commit_index

    def _change_membership(self, membership: messages.Membership, now: float) -> None:
        entry = messages.LogEntry()
        entry.membership.CopyFrom(membership)
        self._append(entry, now)

    def _admit(self, joiner: str, now: float) -> bool:
        """Replace the joiner's old self by the joiner as a learner.

        Returns
        -------
        bool
            False where the remaining voters could not carry the change.
        """
        membership = admit_learner(self._membership, joiner)
        recent = {voter for voter in membership.voters if voter == self.me or self._lead.is_recent(voter, now)}
        if not is_quorum(membership, recent):
            return False
        self._change_membership(membership, now)
        return True

    def _message(self, receiver: str) -> messages.PeerMessage:
        return messages.PeerMessage(sender=self.me, receiver=receiver, term=self.term)
