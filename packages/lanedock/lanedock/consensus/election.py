# SPDX-License-Identifier: BSD-3-Clause
"""Election timeouts of a replica, and the leader lease that it supports."""

from random import Random

from lanedock.consensus.core import Timing

__all__ = ["ElectionState"]

# Duration, in maximum election timeouts, for which a replica that need not wait for a lease
# retries its candidacy once per heartbeat interval. The other replicas may start later, or
# learn later that the former leader has ended.
FAST_RETRY_TIMEOUTS = 4


class ElectionState:
    """Leader lease that a replica supports, and timing of its own candidacies. Performs no I/O.

    A replica that has just started may have supported a leader's lease right
    before its restart. It therefore waits a whole election timeout before it votes for
    another candidate. It may vote for the former leader at once, and the former
    leader may start an election at once: a candidate for a higher term has
    stopped leading, so its own lease no longer counts. A leader has also stopped
    leading once another incarnation under its name is known to run.

    Parameters
    ----------
    me : str
        The replica's id.
    leader : str
        Id of the replica that led the current term according to the log; empty
        if unknown. This replica may still support its lease.
    timing : Timing
    rng : random.Random
        Source of election timeouts.
    now : float
        Current monotonic time in seconds.

    Attributes
    ----------
    heard_at : float
        Monotonic time, in seconds, of the last message from a leader or the
        last vote given.
    due_at : float
        Monotonic time, in seconds, at which this replica next becomes a candidate.
    election_started_at : float
        Monotonic time, in seconds, at which its last election began.
    votes : set of str
        Ids of the replicas that granted their vote in the current election or pre-vote.
    lease_holder : str
        Id of the replica whose lease this replica may support; empty if unknown.
    """

    def __init__(self, me: str, leader: str, timing: Timing, rng: Random, now: float):
        self.heard_at = now
        self.election_started_at = now
        self.votes: set[str] = set()
        self.lease_holder = leader
        self._lease_ended = False
        self._timing = timing
        self._rng = rng
        # A replica that led before its restart need not wait: its lease ended with its
        # former process.
        self._fast_retry_until = now + FAST_RETRY_TIMEOUTS * timing.election_max if leader == me else now
        self.due_at = now
        if leader != me:
            self.reset(now)

    def __repr__(self) -> str:
        return (
            f"<ElectionState due_at={self.due_at:.2f} lease_holder={self.lease_holder or '-'} votes={len(self.votes)}>"
        )

    def supports_other_lease(self, candidate: str, now: float) -> bool:
        """Return whether this replica may still support the lease of a leader other than `candidate`."""
        is_bound = now < self.heard_at + self._timing.election_min and not self._lease_ended
        return is_bound and candidate != self.lease_holder

    def grant_lease(self, replica: str, now: float) -> None:
        """Record a leader's message or a vote given; both let `replica` hold a lease."""
        self.heard_at = now
        self.lease_holder = replica
        self._lease_ended = False

    def end_lease(self, now: float) -> None:
        """Record that the lease holder's process has ended, and its lease with it."""
        self._lease_ended = True
        self._fast_retry_until = now + FAST_RETRY_TIMEOUTS * self._timing.election_max
        self.due_at = now + self._rng.uniform(0, self._timing.heartbeat)

    def follow(self, leader: str, now: float) -> None:
        """Record a message from the current term's leader and postpone the next candidacy."""
        self.grant_lease(leader, now)
        self._fast_retry_until = now
        self.reset(now)

    def start_candidacy(self, me: str, now: float) -> None:
        """Record the start of this replica's own election; it then supports no other lease."""
        self.election_started_at = now
        self.grant_lease(me, now)

    def reset(self, now: float, is_candidate: bool = False) -> None:
        """Reschedule the next candidacy."""
        if now < self._fast_retry_until and not is_candidate:
            # The other replicas may still be starting, so retry after one heartbeat interval.
            self.due_at = now + self._timing.heartbeat
        else:
            self.due_at = now + self._rng.uniform(self._timing.election_min, self._timing.election_max)
