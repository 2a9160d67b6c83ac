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

from lanedock.consensus.candidacy import Candidacy
from lanedock.consensus.core import Ready, ReplicaRole, Timing
from lanedock.consensus.election import ElectionState
from lanedock.consensus.following import accept_entries, install_snapshot
from lanedock.consensus.joining import Joining
from lanedock.consensus.log import LogSnapshot, RaftLog
from lanedock.consensus.replacement import MembershipChanges
from lanedock.consensus.replication import LogReplication
from lanedock.consensus.state import ReplicaState
from lanedock.wire import messages

__all__ = ["NEVER_LED", "RaftReplica"]

# Reported where no leader was ever heard, in seconds: longer than anybody waits for one.
NEVER_LED = 3600.0


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
        Names of the replicas that a newcomer asks to be admitted.
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
        self._state = ReplicaState(me, log, term, voted_for)
        self._timing = timing
        self._election = ElectionState(me, log.leader_of(term), timing, rng, now)
        self._candidacy = Candidacy(self._state, self._election)
        self._joining = Joining(self._state, self._election, contacts, rng)
        self._changes = MembershipChanges(self._state, timing, replace_after)
        self._replication: LogReplication | None = None
        self._led_until: float | None = None
        if not self.can_vote():
            # Others may wait for a leader whose successor this replica is.
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
        """The current term; to be saved with the vote."""
        return self._state.term

    @property
    def voted_for(self) -> str:
        """Who got this replica's vote in the term; empty where nobody did."""
        return self._state.voted_for

    @property
    def role(self) -> ReplicaRole:
        """What this replica is at the moment."""
        return self._state.role

    @property
    def leader(self) -> str:
        """Id of the term's leader; empty where it is not known."""
        return self._state.leader

    @property
    def commit_index(self) -> int:
        """Index of the last entry known to be committed."""
        return self._state.commit_index

    @property
    def contacts(self) -> tuple[str, ...]:
        """Names of the replicas that a newcomer asks to be admitted."""
        return self._joining.contacts

    @contacts.setter
    def contacts(self, names: tuple[str, ...]) -> None:
        self._joining.contacts = names

    @property
    def membership(self) -> messages.Membership:
        """The replicas that take part at the moment."""
        return self._state.membership

    def is_leader(self, now: float) -> bool:
        """Tell whether this replica leads and its lease still runs."""
        return self._replication is not None and now < self._replication.lead.lease_until

    def has_own_commit(self, applied: int) -> bool:
        """Tell whether an entry of the leader's own term is applied.

        Everything committed before the term began is applied then, too.
        """
        return self._replication is not None and applied >= self._replication.lead.term_start

    def silence(self, now: float) -> float:
        """Return for how long no leader is known to have led, in seconds.

        Counted from a leader's last message, or from the end of this one's own lease: a
        vote or a candidacy is no sign of a leader, nor is a start.
        """
        if self.is_leader(now):
            return 0.0
        return now - self._led_until if self._led_until is not None else NEVER_LED

    def can_vote(self) -> bool:
        """Tell whether this replica is a voter."""
        return self._state.can_vote()

    def take_ready(self) -> Ready:
        """Return what there is to do, and start a new list."""
        state = self._state
        ready = state.ready
        if state.commit_index > state.delivered and ready.snapshot is None:
            # Entries that this replica has not synced itself are never applied.
            last = min(state.commit_index, state.log.last_index)
            ready.committed = state.log.between(state.delivered + 1, last)
            state.delivered = last
        state.ready = Ready()
        return ready

    def persisted(self, index: int, now: float) -> None:
        """Note that all entries up to `index` are synced to disk."""
        self._state.persisted = min(index, self.log.last_index)
        if self.role is ReplicaRole.LEADER and self._replication.advance_commit(now):
            self._step_down(now)

    def tick(self, now: float) -> None:
        """Act on the time: heartbeats, elections, the end of a lease."""
        if self.role is ReplicaRole.LEADER:
            self._tick_leader(now)
        elif now >= self._election.due_at:
            if self.can_vote():
                replace_after = self._changes.replace_after
                if replace_after is not None and now - self._election.heard_at > replace_after:
                    # Others may have taken its place meanwhile.
                    self._joining.ask(now)
                self._start_election(now, trial=True)
            else:
                self._joining.ask(now)

    def propose(self, payload: bytes, now: float) -> int | None:
        """Append an entry, as leader.

        Returns
        -------
        int or None
            The entry's index, or None where this replica does not lead.
        """
        if not self.is_leader(now):
            return None
        return self._replication.append(messages.LogEntry(payload=payload), now)

    def request_read(self, token: int, now: float) -> None:
        """Ask for an index that is at least as new as any committed before.

        The answer comes as `Ready.reads` or `Ready.failed_reads`.
        """
        state = self._state
        if self.role is ReplicaRole.LEADER:
            self._replication.confirm_read(token, self.me, now)
        elif self.leader:
            state.reads.forward(token)
            message = state.message(self.leader)
            message.read_index_request.token = token
            state.ready.late.append(message)
        else:
            state.ready.failed_reads.append(token)

    def compact(self, snapshot: LogSnapshot) -> None:
        """Drop the entries that a saved snapshot stands for."""
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
        """Go along with a higher term; False where the message is to be dropped."""
        if body == "vote_request":
            if self._election.supports_other(message.sender, now):
                return False
            if message.vote_request.trial:
                granted = self._candidacy.can_support(message.vote_request)
                self._candidacy.reply(message, granted, trial=True)
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
            reply = self._state.message(message.sender)
            reply.append_reply.accepted = False
            self._state.ready.late.append(reply)
        elif body == "vote_request":
            self._candidacy.reply(message, False, message.vote_request.trial)

    def _become_follower(self, term: int, leader: str, now: float) -> None:
        state = self._state
        if term > state.term:
            state.term = term
            state.voted_for = ""
            state.ready.hard_state_changed = True
        state.role = ReplicaRole.FOLLOWER
        state.leader = leader
        self._end_lead(now)
        state.drop_reads()
        self._election.reset(now)

    def _step_down(self, now: float) -> None:
        self._become_follower(self.term, "", now)

    def _follow(self, message, now: float) -> None:
        if self.role is not ReplicaRole.FOLLOWER or self.leader != message.sender:
            self._state.role = ReplicaRole.FOLLOWER
            self._state.leader = message.sender
            self._end_lead(now)
        self._led_until = now
        self._election.follow(message.sender, now)

    def _end_lead(self, now: float) -> None:
        """Lead no more, if this replica did."""
        if self._replication is not None:
            self._led_until = min(now, self._replication.lead.lease_until)
            self._replication = None

    def _become_leader(self, now: float) -> None:
        self._state.role = ReplicaRole.LEADER
        self._state.leader = self.me
        self._replication = LogReplication(self._state, self._timing, self._election.stood_at)
        self._replication.append(messages.LogEntry(), now)

    def _tick_leader(self, now: float) -> None:
        lead = self._replication.lead
        if now >= lead.lease_until:
            self._step_down(now)
            return
        if now >= lead.heartbeat_at:
            self._replication.broadcast(now)
            membership = self._changes.next_change(lead, now)
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
        self._candidacy.answer_request(message, request, now)

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
        if self._replication is not None and self._replication.note_reply(message.sender, reply, now):
            self._step_down(now)

    def _on_join_request(self, message, now: float) -> None:
        """Note a newcomer, as leader, or pass its request on to the leader.

        It knows names only, not incarnations.
        """
        joiner = message.join_request.joiner or message.sender
        if self.role is ReplicaRole.LEADER:
            self._changes.note_joiner(joiner, now)
        else:
            self._joining.pass_on(joiner, message.sender)

    def _on_read_index_request(self, message, request, now: float) -> None:
        if self.role is ReplicaRole.LEADER:
            self._replication.confirm_read(request.token, message.sender, now)
        else:
            self._state.finish_read(request.token, message.sender, 0, confirmed=False)

    def _on_read_index_reply(self, message, reply, now: float) -> None:
        if self._joining.take_proof(message.sender, reply.token, now):
            return
        if self._state.reads.take_forwarded(reply.token):
            self._state.finish_read(reply.token, self.me, reply.index, reply.confirmed)
