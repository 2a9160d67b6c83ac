# SPDX-License-Identifier: BSD-3-Clause
"""How a replica that does not vote asks to be admitted, and how the others treat its request."""

from random import Random

from lanedock.consensus.core import replica_name
from lanedock.consensus.election import ElectionState
from lanedock.consensus.state import ReplicaState

__all__ = ["Joining"]


class Joining:
    """Requests to be admitted, of this replica and of others. Pure.

    Parameters
    ----------
    state : ReplicaState
    election : ElectionState
    contacts : tuple of str
        Names of the replicas that a newcomer asks to be admitted.
    rng : random.Random
        For the tokens of challenges.
    """

    def __init__(self, state: ReplicaState, election: ElectionState, contacts: tuple[str, ...], rng: Random):
        self.contacts = contacts
        self._state = state
        self._election = election
        self._rng = rng
        self._challenge: tuple[str, int, str] | None = None

    def __repr__(self) -> str:
        return f"<Joining {self._state.me} contacts={self.contacts}>"

    def ask(self, now: float) -> None:
        """Ask every known replica to be admitted, unless this one is a learner already."""
        state = self._state
        self._election.reset(now)
        if state.me in state.membership.learners:
            return
        known = [replica_name(voter) for voter in state.membership.voters if voter != state.me]
        for name in dict.fromkeys([*self.contacts, *known]):
            self._send(name, state.me)

    def _send(self, receiver: str, joiner: str) -> None:
        message = self._state.message(receiver)
        message.join_request.joiner = joiner
        self._state.ready.late.append(message)

    def pass_on(self, joiner: str, sender: str) -> None:
        """Pass a newcomer's own request on to the leader, where there is one."""
        if joiner != sender:
            return
        if self._state.leader:
            self._send(self._state.leader, joiner)
        else:
            self._challenge_successor(joiner)

    def _challenge_successor(self, joiner: str) -> None:
        """Detect whether a newcomer has replaced the leader that is supported.

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
        message = self._state.message(joiner)
        message.read_index_request.token = token
        self._state.ready.late.append(message)

    def take_proof(self, sender: str, token: int, now: float) -> bool:
        """Tell whether a reply answers the challenge of the successor of the leader still supported.

        That leader has ended then.
        """
        if self._challenge != (sender, token, self._election.supported):
            return False
        self._challenge = None
        self._election.note_ended(now)
        return True
