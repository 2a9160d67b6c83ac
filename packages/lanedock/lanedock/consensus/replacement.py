# SPDX-License-Identifier: BSD-3-Clause
"""When a leader changes the membership: newcomers are admitted, silent replicas replaced."""

from lanedock.consensus.core import Timing
from lanedock.consensus.leadership import Leadership
from lanedock.consensus.membership import admit_learner, is_quorum, next_membership, promote_learner
from lanedock.consensus.state import ReplicaState
from lanedock.wire import messages

__all__ = ["MembershipChanges"]

# A learner does not vote and delays no commit, so it is removed later than a
# voter, by this factor.
LEARNER_PATIENCE = 10


class MembershipChanges:
    """Chooses the next change of the membership, one replica at a time. Pure.

    Parameters
    ----------
    state : ReplicaState
    timing : Timing
    replace_after : float, optional
        Silence, in seconds, after which a learner takes a voter's place. Left
        out, the replicas are given, and every learner comes for its old self.
    """

    def __init__(self, state: ReplicaState, timing: Timing, replace_after: float | None):
        self.replace_after = replace_after
        self._state = state
        self._timing = timing
        self._joiners: dict[str, float] = {}

    def __repr__(self) -> str:
        return f"<MembershipChanges joiners={list(self._joiners)}>"

    def note_joiner(self, joiner: str, now: float) -> None:
        """Note that a replica has asked to be admitted."""
        self._joiners[joiner] = now

    def next_change(self, lead: Leadership, now: float) -> messages.Membership | None:
        """Return the next membership, or None: one change is committed before the next begins."""
        state = self._state
        if state.commit_index < max(lead.term_start, state.log.membership_index()):
            return None
        step = self._next_step(lead, now)
        return step if step is not None else self._admit_next(lead, now)

    def _next_step(self, lead: Leadership, now: float) -> messages.Membership | None:
        """Return the membership that promotes a learner or removes a replica, if any."""
        membership = self._state.membership
        ready = [learner for learner in membership.learners if self._has_caught_up(learner, lead, now)]
        if self.replace_after is None:
            return promote_learner(membership, ready[0]) if ready else None
        limit = LEARNER_PATIENCE * self.replace_after
        silent = [voter for voter in membership.voters if self._is_silent(voter, self.replace_after, lead, now)]
        stale = [learner for learner in membership.learners if self._is_silent(learner, limit, lead, now)]
        return next_membership(membership, ready, silent, stale)

    def _is_silent(self, replica: str, limit: float, lead: Leadership, now: float) -> bool:
        return replica != self._state.me and lead.silence_of(replica, now) > limit

    def _has_caught_up(self, learner: str, lead: Leadership, now: float) -> bool:
        return lead.is_recent(learner, now) and lead.match_of(learner) >= self._state.commit_index

    def _admit_next(self, lead: Leadership, now: float) -> messages.Membership | None:
        """Return the membership that admits the first newcomer that can be, if any."""
        for joiner, asked_at in list(self._joiners.items()):
            del self._joiners[joiner]
            known = [*self._state.membership.voters, *self._state.membership.learners]
            if joiner in known or now - asked_at > self._timing.election_max:
                continue
            membership = self._admit(joiner, lead, now)
            if membership is not None:
                return membership
        return None

    def _admit(self, joiner: str, lead: Leadership, now: float) -> messages.Membership | None:
        """Replace the joiner's old self by the joiner as a learner.

        Returns
        -------
        Membership or None
            None where the remaining voters could not carry the change.
        """
        membership = admit_learner(self._state.membership, joiner)
        recent = {voter for voter in membership.voters if voter == self._state.me or lead.is_recent(voter, now)}
        return membership if is_quorum(membership, recent) else None
