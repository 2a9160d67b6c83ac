# SPDX-License-Identifier: BSD-3-Clause
"""Elections: a replica's own candidacies and its votes for other candidates."""

from lanedock.consensus.core import ReplicaRole
from lanedock.consensus.election import ElectionState
from lanedock.consensus.membership import is_quorum
from lanedock.consensus.state import ReplicaState

__all__ = ["Candidacy"]


class Candidacy:
    """Elections and pre-votes of one replica, and its votes for other candidates. Performs no I/O.

    Parameters
    ----------
    state : ReplicaState
    election : ElectionState
    """

    def __init__(self, state: ReplicaState, election: ElectionState):
        self._state = state
        self._election = election

    def __repr__(self) -> str:
        return f"<Candidacy {self._state.role.value} {self._election!r}>"

    def start(self, now: float, trial: bool) -> bool:
        """Start an election, or the pre-vote that precedes it.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        trial : bool
            Whether to start a pre-vote, which does not raise the term.

        Returns
        -------
        bool
            Whether this replica's own vote already wins the election.
        """
        state = self._state
        state.leader = ""
        state.fail_reads()
        self._election.votes = set()
        state.role = ReplicaRole.PRE_CANDIDATE if trial else ReplicaRole.CANDIDATE
        self._election.reset(now, is_candidate=not trial)
        if not trial:
            self._election.start_candidacy(state.me, now)
            state.term += 1
            state.voted_for = state.me
            state.ready.hard_state_changed = True
        for peer in state.membership.voters:
            if peer != state.me:
                self._request_vote(peer, trial)
        return self.count_vote(state.me, trial, now)

    def _request_vote(self, peer: str, trial: bool) -> None:
        state = self._state
        message = state.message(peer)
        if trial:
            message.term = state.term + 1
        message.vote_request.last_index = state.log.last_index
        message.vote_request.last_term = state.log.last_term
        message.vote_request.trial = trial
        state.ready.messages_after_sync.append(message)

    def count_vote(self, voter: str, trial: bool, now: float) -> bool:
        """Count a granted vote; return whether the election is won.

        A pre-vote that is won starts the election.
        """
        expected = ReplicaRole.PRE_CANDIDATE if trial else ReplicaRole.CANDIDATE
        if self._state.role is not expected:
            return False
        self._election.votes.add(voter)
        if not is_quorum(self._state.membership, self._election.votes):
            return False
        return self.start(now, trial=False) if trial else True

    def answer_vote_request(self, message, request, now: float) -> None:
        """Grant or refuse a vote or pre-vote in the current term."""
        state = self._state
        if request.trial:
            has_no_other_lease = not self._election.supports_other_lease(message.sender, now)
            self.send_reply(message, has_no_other_lease and self.can_vote_for(request), trial=True)
            return
        granted = state.voted_for in ("", message.sender) and self.can_vote_for(request)
        if granted:
            state.voted_for = message.sender
            state.ready.hard_state_changed = True
            # The candidate's first lease begins with its election, so the vote has to exclude other leaders.
            self._election.grant_lease(message.sender, now)
            self._election.reset(now)
        self.send_reply(message, granted, trial=False)

    def can_vote_for(self, request) -> bool:
        """Return whether this replica is a voter and the candidate's log is at least as up to date."""
        log = self._state.log
        is_up_to_date = (request.last_term, request.last_index) >= (log.last_term, log.last_index)
        return self._state.can_vote() and is_up_to_date

    def send_reply(self, message, granted: bool, trial: bool) -> None:
        """Send a vote reply to the candidate that sent `message`."""
        reply = self._state.message(message.sender)
        if trial and granted:
            reply.term = message.term
        reply.vote_reply.granted = granted
        reply.vote_reply.trial = trial
        self._state.ready.messages_after_sync.append(reply)
