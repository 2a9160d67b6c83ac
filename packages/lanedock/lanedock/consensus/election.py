# SPDX-License-Identifier: BSD-3-Clause
"""When a replica stands for election, and whom it may vote for."""

from random import Random

from lanedock.consensus.core import Timing

__all__ = ["ElectionState"]

# Election timeouts for which a replica that needs not wait for a lease asks again with
# each heartbeat's interval: the others may start later than it, or learn of it later.
RETURN_TIMEOUTS = 4


class ElectionState:
    """What a replica knows of leaders' leases, and its own candidacy. Pure.

    A replica that has just started may have supported a leader right before: it
    waits a whole election timeout, and supports no other. The exception is the
    leader that it followed, and that leader itself: whoever stands for a higher
    term leads no more, so its own lease does not count. A leader whose successor
    under the same name is known to live leads no more either.

    Parameters
    ----------
    me : str
        The replica's id.
    leader : str
        Whose lease may rest on this replica, by its log; empty where that is not known.
    timing : Timing
    rng : random.Random
        For election timeouts.
    now : float
        Monotonic, seconds.

    Attributes
    ----------
    heard_at : float
        When a leader was heard from last, or a vote given.
    due_at : float
        When this replica stands next.
    stood_at : float
        When its last candidacy began.
    votes : set of str
        Replicas that have granted it.
    supported : str
        Whose lease may rest on this replica.
    """

    def __init__(self, me: str, leader: str, timing: Timing, rng: Random, now: float):
        self.heard_at = now
        self.stood_at = now
        self.votes: set[str] = set()
        self.supported = leader
        self._has_ended = False
        self._timing = timing
        self._rng = rng
        # Until then a replica that led before it was started stands again without
        # waiting: its own lease has ended with its former process.
        self._returns_until = now + RETURN_TIMEOUTS * timing.election_max if leader == me else now
        self.due_at = now
        if leader != me:
            self.reset(now)

    def __repr__(self) -> str:
        return f"<ElectionState due_at={self.due_at:.2f} supported={self.supported or '-'} votes={len(self.votes)}>"

    def supports_other(self, candidate: str, now: float) -> bool:
        """Tell whether the lease of a leader other than a candidate may rest on this replica."""
        is_bound = now < self.heard_at + self._timing.election_min and not self._has_ended
        return is_bound and candidate != self.supported

    def support(self, replica: str, now: float) -> None:
        """Note that a leader was heard from, or that a vote was given, which supports it as a heartbeat does."""
        self.heard_at = now
        self.supported = replica
        self._has_ended = False

    def note_ended(self, now: float) -> None:
        """Note that the leader that is supported has ended: its lease has ended with it."""
        self._has_ended = True
        self._returns_until = now + RETURN_TIMEOUTS * self._timing.election_max
        self.due_at = now + self._rng.uniform(0, self._timing.heartbeat)

    def follow(self, leader: str, now: float) -> None:
        """Note that there is a leader."""
        self.support(leader, now)
        self._returns_until = now
        self.reset(now)

    def stand(self, me: str, now: float) -> None:
        """Note that this replica stands, and so supports nobody else."""
        self.stood_at = now
        self.support(me, now)

    def reset(self, now: float, is_candidate: bool = False) -> None:
        """Put off the next candidacy."""
        if now < self._returns_until and not is_candidate:
            # The others may still be starting: asked again with each heartbeat's interval.
            self.due_at = now + self._timing.heartbeat
        else:
            self.due_at = now + self._rng.uniform(self._timing.election_min, self._timing.election_max)
