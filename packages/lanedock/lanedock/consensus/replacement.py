# SPDX-License-Identifier: BSD-3-Clause
"""Membership changes by the leader: admitting new replicas and replacing silent ones."""

from lanedock.consensus.core import Timing
from lanedock.consensus.leadership import Leadership
from lanedock.consensus.membership import admit_learner, is_quorum, next_membership, promote_learner
from lanedock.consensus.state import ReplicaState
from lanedock.wire import messages

__all__ = ["MembershipChanges"]

# Silence limit of a learner, as a multiple of a voter's. A learner does not vote and
# delays no commit, so its removal is less urgent.
LEARNER_SILENCE_FACTOR = 10


class MembershipChanges:
    """Selects membership changes that add, promote or remove one replica at a time. Performs no I/O.

    Parameters
    ----------
    state : ReplicaState
    timing : Timing
    replace_after : float, optional
        Silence, in seconds, after which a learner replaces a voter. If None, the
        set of replica names is fixed and a learner only replaces its own
        earlier incarnation.
    """

    def __init__(self, state: ReplicaState, timing: Timing, replace_after: float | None):
        self.replace_after = replace_after
        self._state = state
        self._timing = timing
        self._joiners: dict[str, float] = {}

    def __repr__(self) -> str:
        return f"<MembershipChanges joiners={list(self._joiners)}>"

    def add_joiner(self, joiner: str, now: float) -> None:
        """Record that a replica has requested admission."""
        self._joiners[joiner] = now

    def next_change(self, leadership: Leadership, now: float) -> messages.Membership | None:
        """Return the next membership, or None if none is due.

        A change begins only after the previous one is committed.
        """
        state = self._state
        if state.commit_index < max(leadership.term_start, state.log.membership_index()):
            return None
        step = self._next_replacement(leadership, now)
        return step if step is not None else self._admit_next(leadership, now)

    def _next_replacement(self, leadership: Leadership, now: float) -> messages.Membership | None:
        """Return the membership that promotes a learner or removes a replica, or None."""
        membership = self._state.membership
        caught_up = [learner for learner in membership.learners if self._has_caught_up(learner, leadership, now)]
        if self.replace_after is None:
            return promote_learner(membership, caught_up[0]) if caught_up else None
        limit = LEARNER_SILENCE_FACTOR * self.replace_after
        silent = [voter for voter in membership.voters if self._is_silent(voter, self.replace_after, leadership, now)]
        stale = [learner for learner in membership.learners if self._is_silent(learner, limit, leadership, now)]
        return next_membership(membership, caught_up, silent, stale)

    def _is_silent(self, replica: str, limit: float, leadership: Leadership, now: float) -> bool:
        return replica != self._state.me and leadership.silence_of(replica, now) > limit

    def _has_caught_up(self, learner: str, leadership: Leadership, now: float) -> bool:
        return leadership.is_recent(learner, now) and leadership.match_of(learner) >= self._state.commit_index

    def _admit_next(self, leadership: Leadership, now: float) -> messages.Membership | None:
        """Return the membership that admits the first admissible new replica, or None."""
        for joiner, asked_at in list(self._joiners.items()):
            del self._joiners[joiner]
            known = [*self._state.membership.voters, *self._state.membership.learners]
            if joiner in known or now - asked_at > self._timing.election_max:
                continue
            membership = self._admit(joiner, leadership, now)
            if membership is not None:
                return membership
        return None

    def _admit(self, joiner: str, leadership: Leadership, now: float) -> messages.Membership | None:
        """Return the membership with `joiner` as a learner instead of its earlier incarnation.

        Returns
        -------
        Membership or None
            None if too few of the remaining voters answer to commit the change.
        """
        membership = admit_learner(self._state.membership, joiner)
        recent = {voter for voter in membership.voters if voter == self._state.me or leadership.is_recent(voter, now)}
        return membership if is_quorum(membership, recent) else None
