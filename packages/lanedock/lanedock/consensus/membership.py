# SPDX-License-Identifier: BSD-3-Clause
"""Memberships: majorities, and the steps by which a replica is replaced."""

from collections.abc import Callable, Container

from lanedock.consensus.core import replica_name
from lanedock.wire import messages

__all__ = ["admit_learner", "drop_replica", "is_quorum", "next_membership", "promote_learner", "quorum_value"]

# More voters bear more losses, but every commit waits for more of them.
MAX_VOTERS = 5


def is_quorum(membership: messages.Membership, replicas: Container[str]) -> bool:
    """Tell whether some replicas are a majority of the voters."""
    voters = membership.voters
    return len([voter for voter in voters if voter in replicas]) > len(voters) // 2


def quorum_value(membership: messages.Membership, value_of: Callable[[str], int]) -> int:
    """Return the highest value that a majority of the voters has reached; 0 without voters."""
    values = sorted((value_of(voter) for voter in membership.voters), reverse=True)
    return values[len(values) // 2] if values else 0


def admit_learner(membership: messages.Membership, joiner: str) -> messages.Membership:
    """Return the membership in which a joiner stands, as a learner, for its old self.

    One voter less at most, so majorities before and after have one in common.
    """
    name = replica_name(joiner)
    voters = [voter for voter in membership.voters if replica_name(voter) != name]
    learners = [learner for learner in membership.learners if replica_name(learner) != name]
    return messages.Membership(voters=voters, learners=[*learners, joiner])


def promote_learner(membership: messages.Membership, learner: str) -> messages.Membership:
    """Return the membership in which a learner votes."""
    learners = [other for other in membership.learners if other != learner]
    return messages.Membership(voters=[*membership.voters, learner], learners=learners)


def drop_replica(membership: messages.Membership, replica: str) -> messages.Membership:
    """Return the membership in which a voter or learner takes no part any more."""
    return messages.Membership(
        voters=[voter for voter in membership.voters if voter != replica],
        learners=[learner for learner in membership.learners if learner != replica],
    )


def next_membership(
    membership: messages.Membership, ready: list[str], silent: list[str], stale: list[str]
) -> messages.Membership | None:
    """Return the next step, one replica at a time, towards an odd number of voters that all answer.

    A learner is promoted before the silent voter whose place it takes is let go,
    so that the silent one's copy counts until the new one's does.

    Parameters
    ----------
    membership : Membership
    ready : list of str
        Learners that have caught up.
    silent : list of str
        Voters that have been silent for too long.
    stale : list of str
        Learners that have been silent for much too long.

    Returns
    -------
    Membership or None
        None where nothing is to be done.
    """
    voters = len(membership.voters)
    is_even = voters % 2 == 0
    if silent and is_even and voters > 2:
        return drop_replica(membership, silent[0])
    if ready and (is_even or silent or (len(ready) > 1 and voters + 2 <= MAX_VOTERS)):
        return promote_learner(membership, ready[0])
    return drop_replica(membership, stale[0]) if stale else None
