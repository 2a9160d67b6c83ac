# SPDX-License-Identifier: BSD-3-Clause
"""Tests of dynamic membership, in which learners replace silent voters."""

from random import Random

from lanedock.consensus import RaftReplica, ReplicaRole, Timing
from lanedock.consensus.log import LogSnapshot, RaftLog
from lanedock.wire import messages

REPLACE_AFTER = 5.0
STEP = 0.05


class _Group:
    """Replicas that exchange messages without delay; those in `down` are stopped."""

    def __init__(self, voters: list[str]):
        self.now = 0.0
        self.down: set[str] = set()
        self.replicas: dict[str, RaftReplica] = {}
        self.committed: dict[str, list[bytes]] = {}
        for name in voters:
            self.add(name, voters)

    def add(self, name: str, voters=(), contacts=()) -> None:
        membership = messages.Membership(voters=list(voters))
        log = RaftLog(LogSnapshot(0, 0, membership, b""), [])
        self.replicas[name] = RaftReplica(
            name, log, 0, "", Timing(), Random(name), self.now, tuple(contacts), REPLACE_AFTER
        )
        self.committed[name] = []

    def run(self, seconds: float) -> None:
        for _ in range(int(seconds / STEP)):
            self.now += STEP
            for name, replica in self.replicas.items():
                if name not in self.down:
                    replica.tick(self.now)
            while self._exchange():
                pass

    def _exchange(self) -> bool:
        moved = False
        for name, replica in list(self.replicas.items()):
            if name in self.down:
                continue
            ready = replica.take_ready()
            if ready.must_sync():
                replica.mark_persisted(replica.log.last_index, self.now)
            self.committed[name] += [entry.payload for entry in ready.committed if entry.payload]
            for message in [*ready.messages_before_sync, *ready.messages_after_sync]:
                moved = True
                self._deliver(message)
        return moved

    def _deliver(self, message) -> None:
        for name, replica in self.replicas.items():
            is_receiver = name == message.receiver or name.partition("@")[0] == message.receiver
            if is_receiver and name not in self.down:
                replica.step(message, self.now)

    @property
    def leader(self) -> RaftReplica:
        (leader,) = [
            replica
            for name, replica in self.replicas.items()
            if name not in self.down and replica.role is ReplicaRole.LEADER and replica.is_leader(self.now)
        ]
        return leader

    def voters(self) -> set[str]:
        return set(self.leader.membership.voters)


def _started_group() -> _Group:
    group = _Group(["a@1", "b@1", "c@1"])
    group.run(5)
    group.leader.propose(b"first", group.now)
    group.run(1)
    return group


def test_a_spare_replica_stays_a_learner_while_all_voters_answer():
    group = _started_group()
    group.add("d@1", contacts=["a", "b", "c"])
    group.run(10)
    assert group.voters() == {"a@1", "b@1", "c@1"}
    assert list(group.leader.membership.learners) == ["d@1"]
    assert group.committed["d@1"] == [b"first"]


def test_a_spare_replica_replaces_a_stopped_voter():
    group = _started_group()
    stopped = next(name for name in group.replicas if name != group.leader.me)
    group.down.add(stopped)
    group.add("d@1", contacts=["a", "b", "c"])
    group.run(20)
    assert "d@1" in group.voters() and stopped not in group.voters()
    assert len(group.voters()) == 3
    # After a second failure, committed entries are kept and new ones can be committed.
    second = next(name for name in group.voters() if name not in (group.leader.me, "d@1"))
    group.down.add(second)
    group.run(5)
    assert group.leader.propose(b"second", group.now)
    group.run(1)
    assert group.committed["d@1"] == [b"first", b"second"]


def test_a_voter_that_returns_within_the_silence_limit_stays_a_voter():
    group = _started_group()
    stopped = next(name for name in group.replicas if name != group.leader.me)
    group.down.add(stopped)
    group.run(REPLACE_AFTER * 0.8)
    group.down.discard(stopped)
    group.add("d@1", contacts=["a", "b", "c"])
    group.run(10)
    assert stopped in group.voters()


def test_a_replaced_voter_that_returns_becomes_a_learner():
    group = _started_group()
    stopped = next(name for name in group.replicas if name != group.leader.me)
    group.down.add(stopped)
    group.add("d@1", contacts=["a", "b", "c"])
    group.run(20)
    group.down.discard(stopped)
    group.run(30)
    assert stopped not in group.voters()
    assert list(group.leader.membership.learners) == [stopped]
    assert group.committed[stopped] == [b"first"]


def test_a_joiner_whose_only_contact_is_a_follower_is_admitted():
    group = _started_group()
    follower = next(name for name in group.replicas if name != group.leader.me)
    group.add("d@1", contacts=[follower.partition("@")[0]])
    group.run(10)
    assert list(group.leader.membership.learners) == ["d@1"]


def test_a_stopped_voter_is_not_removed_without_a_spare_replica():
    group = _started_group()
    stopped = next(name for name in group.replicas if name != group.leader.me)
    group.down.add(stopped)
    group.run(60)
    assert len(group.voters()) == 3
