# SPDX-License-Identifier: BSD-3-Clause
"""Admission requests: sending this replica's own, and handling those of other replicas."""

from random import Random

from lanedock.consensus.core import replica_name
from lanedock.consensus.election import ElectionState
from lanedock.consensus.state import ReplicaState

__all__ = ["Joining"]


class Joining:
    """Admission requests of this replica and of other replicas. Performs no I/O.

    Parameters
    ----------
    state : ReplicaState
    election : ElectionState
    contacts : tuple of str
        Names of the replicas to which this replica sends its admission requests.
    rng : random.Random
        Source of challenge tokens.
    """

    def __init__(self, state: ReplicaState, election: ElectionState, contacts: tuple[str, ...], rng: Random):
        self.contacts = contacts
        self._state = state
        self._election = election
        self._rng = rng
        self._challenge: tuple[str, int, str] | None = None

    def __repr__(self) -> str:
        return f"<Joining {self._state.me} contacts={self.contacts}>"

    def request_admission(self, now: float) -> None:
        """Send an admission request to every known replica, unless this one is a learner already."""
        state = self._state
        self._election.reset(now)
        if state.me in state.membership.learners:
            return
        known = [replica_name(voter) for voter in state.membership.voters if voter != state.me]
        for name in dict.fromkeys([*self.contacts, *known]):
            self._send_request(name, state.me)

    def _send_request(self, receiver: str, joiner: str) -> None:
        message = self._state.message(receiver)
        message.join_request.joiner = joiner
        self._state.ready.messages_after_sync.append(message)

    def forward_request(self, joiner: str, sender: str) -> None:
        """Forward a request that came from the joiner itself to the leader.

        If no leader is known, challenge the joiner, which may have replaced the lease holder.
        """
        if joiner != sender:
            return
        if self._state.leader:
            self._send_request(self._state.leader, joiner)
        else:
            self._challenge_successor(joiner)

    def _challenge_successor(self, joiner: str) -> None:
        """Send a challenge to a joiner that may be the lease holder's next incarnation.

        A replica that lost its disk returns under its name with another
        incarnation, and two incarnations never run at once. The lease holder has
        run before, so once another incarnation is known to run now, the lease holder
        has ended and nobody has to wait for its lease. A delayed message could come
        from an even earlier incarnation and proves nothing, so the challenge carries a
        new token that only a running process can return.
        """
        lease_holder = self._election.lease_holder
        if joiner == lease_holder or replica_name(joiner) != replica_name(lease_holder):
            return
        token = self._rng.getrandbits(62)
        self._challenge = (joiner, token, lease_holder)
        message = self._state.message(joiner)
        message.read_index_request.token = token
        self._state.ready.messages_after_sync.append(message)

    def accept_challenge_reply(self, sender: str, token: int, now: float) -> bool:
        """Return whether a reply answers the pending challenge; if so, end the lease.

        The challenge counts only while the lease holder is the one for which it was sent.
        """
        if self._challenge != (sender, token, self._election.lease_holder):
            return False
        self._challenge = None
        self._election.end_lease(now)
        return True
