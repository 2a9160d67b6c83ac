# SPDX-License-Identifier: BSD-3-Clause
"""Quorums of a membership, and single-replica membership changes."""

from collections.abc import Callable, Container

from lanedock.consensus.core import replica_name
from lanedock.wire import messages

__all__ = ["admit_learner", "is_quorum", "next_membership", "promote_learner", "quorum_value", "remove_replica"]

# More voters tolerate more failures, but each commit waits for more acknowledgements.
MAX_VOTERS = 5


def is_quorum(membership: messages.Membership, replicas: Container[str]) -> bool:
    """Return whether `replicas` contains a majority of the voters."""
    voters = membership.voters
    return len([voter for voter in voters if voter in replicas]) > len(voters) // 2


def quorum_value(membership: messages.Membership, value_of: Callable[[str], int]) -> int:
    """Return the highest value that a majority of the voters has reached; 0 if there are no voters."""
    values = sorted((value_of(voter) for voter in membership.voters), reverse=True)
    return values[len(values) // 2] if values else 0


def admit_learner(membership: messages.Membership, joiner: str) -> messages.Membership:
    """Return the membership with `joiner` as a learner instead of its earlier incarnation.

    At most one voter is removed, so any old and any new majority share a voter.
    """
    name = replica_name(joiner)
    voters = [voter for voter in membership.voters if replica_name(voter) != name]
    learners = [learner for learner in membership.learners if replica_name(learner) != name]
    return messages.Membership(voters=voters, learners=[*learners, joiner])


def promote_learner(membership: messages.Membership, learner: str) -> messages.Membership:
    """Return the membership with a learner turned into a voter."""
    learners = [other for other in membership.learners if other != learner]
    return messages.Membership(voters=[*membership.voters, learner], learners=learners)


def remove_replica(membership: messages.Membership, replica: str) -> messages.Membership:
    """Return the membership without a voter or learner."""
    return messages.Membership(
        voters=[voter for voter in membership.voters if voter != replica],
        learners=[learner for learner in membership.learners if learner != replica],
    )


def next_membership(
    membership: messages.Membership, caught_up: list[str], silent: list[str], stale: list[str]
) -> messages.Membership | None:
    """Return the next membership on the way to an odd number of responsive voters.

    Each step changes one replica. A learner is promoted before the silent voter
    that it replaces is removed, so the silent voter's copy of the log counts
    until the learner's does.

    Parameters
    ----------
    membership : Membership
    caught_up : list of str
        Learners that have caught up with the leader's commit index.
    silent : list of str
        Voters that have exceeded the silence limit for voters.
    stale : list of str
        Learners that have exceeded the longer silence limit for learners.

    Returns
    -------
    Membership or None
        None if no change is needed.
    """
    voters = len(membership.voters)
    is_even = voters % 2 == 0
    if silent and is_even and voters > 2:
        return remove_replica(membership, silent[0])
    if caught_up and (is_even or silent or (len(caught_up) > 1 and voters + 2 <= MAX_VOTERS)):
        return promote_learner(membership, caught_up[0])
    return remove_replica(membership, stale[0]) if stale else None
