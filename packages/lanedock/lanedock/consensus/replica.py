# SPDX-License-Identifier: BSD-3-Clause
"""The consensus core of one replica, without I/O; time and randomness are passed in.

The algorithm is Raft with pre-votes, leader leases, read confirmation and
single-server membership changes.

References
----------
D. Ongaro and J. Ousterhout, "In Search of an Understandable Consensus
Algorithm", USENIX ATC 2014; D. Ongaro, "Consensus: Bridging Theory and
Practice", Stanford 2014, sections 4.2 (learners), 6.4 (reads), 9.6 (pre-vote).
"""

from random import Random

from lanedock.consensus.admission import Joining
from lanedock.consensus.candidacy import Candidacy
from lanedock.consensus.core import Ready, ReplicaRole, Timing
from lanedock.consensus.election import ElectionState
from lanedock.consensus.follower import accept_entries, install_snapshot
from lanedock.consensus.log import LogSnapshot, RaftLog
from lanedock.consensus.replacement import MembershipChanges
from lanedock.consensus.replication import LogReplication
from lanedock.consensus.state import ReplicaState
from lanedock.wire import messages

__all__ = ["NEVER_LED", "RaftReplica"]

# Silence, in seconds, that is reported if no leader was ever known; longer than any caller waits.
NEVER_LED = 3600.0


class RaftReplica:
    """Raft state machine of one replica of the log.

    Parameters
    ----------
    me : str
        Id, ``name@incarnation``. A replica that lost its disk returns with another
        incarnation, so messages for its earlier incarnation do not reach it.
    log : RaftLog
        As restored from disk.
    term : int
    voted_for : str
        Empty if no vote was given in this term.
    timing : Timing
    rng : random.Random
        Source of election timeouts and challenge tokens.
    now : float
        Monotonic time in seconds; every later call passes its own.
    contacts : tuple of str
        Names of the replicas to which this replica sends its admission requests.
    replace_after : float, optional
        Silence, in seconds, after which a learner replaces a voter. If None, the
        set of replica names is fixed and a learner only replaces its own
        earlier incarnation.
    applied : int
        Index of the last entry that the state machine has applied already, as it does
        when a replica's storage was restored while its process ran on.
    leader_heard_at : float, optional
        Monotonic time, in seconds, at which a leader was last known.
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
        applied: int = 0,
        leader_heard_at: float | None = None,
    ):
        self._state = ReplicaState(me, log, term, voted_for, applied)
        self._timing = timing
        self._election = ElectionState(me, log.leader_of(term), timing, rng, now)
        self._candidacy = Candidacy(self._state, self._election)
        self._joining = Joining(self._state, self._election, contacts, rng)
        self._changes = MembershipChanges(self._state, timing, replace_after)
        self._replication: LogReplication | None = None
        self._last_leader_at = leader_heard_at
        if not self.can_vote():
            # Other replicas may be waiting for the lease of this replica's earlier incarnation,
            # so the first admission request is sent at once.
            self._election.due_at = now

    def __repr__(self) -> str:
        return f"<RaftReplica {self.me} {self.role.value} term={self.term} commit={self.commit_index} {self.log!r}>"

    # ------------------------------------------------------------- for drivers

    @property
    def me(self) -> str:
        """The replica's id, ``name@incarnation``."""
        return self._state.me

    @property
    def log(self) -> RaftLog:
        """The log as held in memory."""
        return self._state.log

    @property
    def term(self) -> int:
        """The current term, which is saved together with the vote."""
        return self._state.term

    @property
    def voted_for(self) -> str:
        """Id of the replica that got this replica's vote in the current term; empty if none did."""
        return self._state.voted_for

    @property
    def role(self) -> ReplicaRole:
        """The replica's current role."""
        return self._state.role

    @property
    def leader(self) -> str:
        """Id of the current term's leader; empty if unknown."""
        return self._state.leader

    @property
    def commit_index(self) -> int:
        """Index of the last entry known to be committed."""
        return self._state.commit_index

    @property
    def contacts(self) -> tuple[str, ...]:
        """Names of the replicas to which this replica sends its admission requests."""
        return self._joining.contacts

    @contacts.setter
    def contacts(self, names: tuple[str, ...]) -> None:
        self._joining.contacts = names

    @property
    def membership(self) -> messages.Membership:
        """The newest membership of the log, committed or not."""
        return self._state.membership

    def is_leader(self, now: float) -> bool:
        """Return whether this replica leads and its lease has not expired."""
        return self._replication is not None and now < self._replication.leadership.lease_until

    def has_own_commit(self, applied: int) -> bool:
        """Return whether this replica leads and has applied an entry of its own term.

        Everything committed before the term began is then applied, too.

        Parameters
        ----------
        applied : int
            Index of the last applied entry.
        """
        return self._replication is not None and applied >= self._replication.leadership.term_start

    def leader_silence(self, now: float) -> float:
        """Return the time, in seconds, since a leader was last known; 0 while this replica leads.

        The time counts from the last message of a leader, or from the end of this
        replica's own lease. Votes, candidacies and process starts are no evidence of a
        leader. `NEVER_LED` is returned if no leader was ever known.
        """
        if self.is_leader(now):
            return 0.0
        return now - self._last_leader_at if self._last_leader_at is not None else NEVER_LED

    @property
    def leader_heard_at(self) -> float | None:
        """Monotonic time, in seconds, at which a leader was last known; see `leader_silence`."""
        return self._last_leader_at

    def unreached_time(self, replica: str, now: float) -> float:
        """Return the time, in seconds, since this leader sent what a replica has answered last.

        Infinite if the replica has answered nothing, or if this one does not lead.
        """
        if self._replication is None:
            return float("inf")
        return self._replication.leadership.unreached_time(replica, now)

    def can_vote(self) -> bool:
        """Return whether this replica is a voter."""
        return self._state.can_vote()

    def take_ready(self) -> Ready:
        """Return the work collected since the last call, for the code that runs the replica to do."""
        state = self._state
        ready = state.ready
        if state.commit_index > state.delivered and ready.snapshot is None:
            # Entries that this replica has not synced itself are never applied.
            last = min(state.commit_index, state.log.last_index)
            ready.committed = state.log.between(state.delivered + 1, last)
            state.delivered = last
        state.ready = Ready()
        return ready

    def mark_persisted(self, index: int, now: float) -> None:
        """Record that all entries up to `index` are synced to disk."""
        self._state.persisted = min(index, self.log.last_index)
        if self.role is ReplicaRole.LEADER and self._replication.advance_commit(now):
            self._step_down(now)

    def tick(self, now: float) -> None:
        """Send due heartbeats, start due elections, and step down when the lease has expired."""
        if self.role is ReplicaRole.LEADER:
            self._tick_leader(now)
        elif now >= self._election.due_at:
            if self.can_vote():
                replace_after = self._changes.replace_after
                if replace_after is not None and now - self._election.heard_at > replace_after:
                    # A learner may have replaced this replica meanwhile.
                    self._joining.request_admission(now)
                self._start_election(now, trial=True)
            else:
                self._joining.request_admission(now)

    def propose(self, payload: bytes, now: float) -> int | None:
        """Append an entry with a payload to the log if this replica leads.

        Returns
        -------
        int or None
            The entry's index, or None if this replica does not lead.
        """
        if not self.is_leader(now):
            return None
        return self._replication.append(messages.LogEntry(payload=payload), now)

    def request_read(self, token: int, now: float) -> None:
        """Request an index that is at least as new as any entry committed before the call.

        The answer appears in `Ready.reads` or `Ready.failed_reads`.
        """
        state = self._state
        if self.role is ReplicaRole.LEADER:
            self._replication.confirm_read(token, self.me, now)
        elif self.leader:
            state.reads.forward(token)
            message = state.message(self.leader)
            message.read_index_request.token = token
            state.ready.messages_after_sync.append(message)
        else:
            state.ready.failed_reads.append(token)

    def resign(self, now: float) -> None:
        """Give up leadership or a candidacy, and drop the pending work, as it can't be saved."""
        state = self._state
        state.role = ReplicaRole.FOLLOWER
        state.leader = ""
        self._end_leadership(now)
        state.reads.clear(self.me)
        state.ready = Ready()

    def handle_resignation(self, sender: str, term: int, now: float) -> None:
        """Stop waiting for the lease of a replica that no longer leads.

        A replica that has resigned never leads its term again, so a late message does no harm.

        Parameters
        ----------
        sender : str
            Id of the replica that resigned.
        term : int
            The term in which it did.
        now : float
            Monotonic time in seconds.
        """
        if term != self.term or sender == self.me:
            return
        if sender == self._election.lease_holder:
            self._election.end_lease(now)
        if sender == self._state.leader:
            self._state.leader = ""
            self._state.fail_reads()

    def compact(self, snapshot: LogSnapshot) -> None:
        """Drop the log entries that a saved snapshot covers."""
        self.log.compact(snapshot)

    def step(self, message: messages.PeerMessage, now: float) -> None:
        """Handle a message from another replica."""
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

    # --------------------------------------------------------- terms and roles

    def _raise_term(self, message, body: str, now: float) -> bool:
        """Adopt a higher term; return False if the message needs no further handling."""
        if body == "vote_request":
            if self._election.supports_other_lease(message.sender, now):
                return False
            if message.vote_request.trial:
                granted = self._candidacy.can_vote_for(message.vote_request)
                self._candidacy.send_reply(message, granted, trial=True)
                return False
        if body == "vote_reply" and message.vote_reply.trial and message.vote_reply.granted:
            if message.term == self.term + 1:
                self._count_vote(message.sender, trial=True, now=now)
            return False
        leader = message.sender if body in ("append_request", "snapshot_request") else ""
        self._become_follower(message.term, leader, now)
        return True

    def _answer_old_term(self, message, body: str) -> None:
        """Tell a deposed leader or a late candidate the current term."""
        if body in ("append_request", "snapshot_request"):
            reply = self._state.message(message.sender)
            reply.append_reply.accepted = False
            self._state.ready.messages_after_sync.append(reply)
        elif body == "vote_request":
            self._candidacy.send_reply(message, False, message.vote_request.trial)

    def _become_follower(self, term: int, leader: str, now: float) -> None:
        state = self._state
        if term > state.term:
            state.term = term
            state.voted_for = ""
            state.ready.hard_state_changed = True
        state.role = ReplicaRole.FOLLOWER
        state.leader = leader
        self._end_leadership(now)
        state.fail_reads()
        self._election.reset(now)

    def _step_down(self, now: float) -> None:
        self._become_follower(self.term, "", now)

    def _follow(self, message, now: float) -> None:
        if self.role is not ReplicaRole.FOLLOWER or self.leader != message.sender:
            self._state.role = ReplicaRole.FOLLOWER
            self._state.leader = message.sender
            self._end_leadership(now)
        self._last_leader_at = now
        self._election.follow(message.sender, now)

    def _end_leadership(self, now: float) -> None:
        """Stop leading, if this replica leads, and record the end of its lease."""
        if self._replication is not None:
            self._last_leader_at = min(now, self._replication.leadership.lease_until)
            self._replication = None

    def _become_leader(self, now: float) -> None:
        self._state.role = ReplicaRole.LEADER
        self._state.leader = self.me
        self._replication = LogReplication(self._state, self._timing, self._election.election_started_at)
        self._replication.append(messages.LogEntry(), now)

    def _tick_leader(self, now: float) -> None:
        leadership = self._replication.leadership
        if now >= leadership.lease_until:
            self._step_down(now)
            return
        if now >= leadership.heartbeat_at:
            self._replication.broadcast(now)
            membership = self._changes.next_change(leadership, now)
            if membership is not None:
                entry = messages.LogEntry()
                entry.membership.CopyFrom(membership)
                self._replication.append(entry, now)

    def _start_election(self, now: float, trial: bool) -> None:
        if self._candidacy.start(now, trial):
            self._become_leader(now)

    def _count_vote(self, voter: str, trial: bool, now: float) -> None:
        if self._candidacy.count_vote(voter, trial, now):
            self._become_leader(now)

    # ---------------------------------------------------------------- messages

    def _on_vote_request(self, message, request, now: float) -> None:
        self._candidacy.answer_vote_request(message, request, now)

    def _on_vote_reply(self, message, reply, now: float) -> None:
        if reply.granted:
            self._count_vote(message.sender, reply.trial, now)

    def _on_append_request(self, message, request, now: float) -> None:
        self._follow(message, now)
        accept_entries(self._state, message, request)

    def _on_snapshot_request(self, message, request, now: float) -> None:
        self._follow(message, now)
        install_snapshot(self._state, message, request)

    def _on_append_reply(self, message, reply, now: float) -> None:
        if self._replication is not None and self._replication.handle_reply(message.sender, reply, now):
            self._step_down(now)

    def _on_join_request(self, message, now: float) -> None:
        """Record an admission request if this replica leads, or forward it to the leader.

        The receiver and the term are not checked: the joiner knows replica names but no
        incarnations.
        """
        joiner = message.join_request.joiner or message.sender
        if self.role is ReplicaRole.LEADER:
            self._changes.add_joiner(joiner, now)
        else:
            self._joining.forward_request(joiner, message.sender)

    def _on_read_index_request(self, message, request, now: float) -> None:
        if self.role is ReplicaRole.LEADER:
            self._replication.confirm_read(request.token, message.sender, now)
        else:
            self._state.finish_read(request.token, message.sender, 0, confirmed=False)

    def _on_read_index_reply(self, message, reply, now: float) -> None:
        if self._joining.accept_challenge_reply(message.sender, reply.token, now):
            return
        if self._state.reads.take_forwarded(reply.token):
            self._state.finish_read(reply.token, self.me, reply.index, reply.confirmed)
