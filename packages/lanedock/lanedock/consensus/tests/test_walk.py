# SPDX-License-Identifier: BSD-3-Clause
"""Randomized fault-injection tests of the consensus core with fixed seeds."""

from random import Random

import pytest

from lanedock.consensus.tests.replicas import Cluster

NAMES = ("a", "b", "c")
STEPS = 900


class Walk:
    """A random sequence of deliveries, faults and proposals; invariants are checked after each step."""

    def __init__(self, seed: int):
        self.rng = Random(seed)
        self.cluster = Cluster(NAMES, seed)
        self.committed: dict[int, bytes] = {}
        self.leaders: dict[int, str] = {}
        self.reads: dict[int, int] = {}
        self.counter = 0
        self.incarnation = 1
        actions = {
            self.deliver: 60,
            self.tick: 22,
            self.propose: 6,
            self.read: 3,
            self.duplicate: 5,
            self.lose: 2,
            self.crash: 1.0,
            self.crash_before_sync: 1.0,
            self.restart: 3,
            self.restart_all: 0.4,
            self.isolate: 0.8,
            self.heal: 1.2,
            self.jump: 0.5,
            self.compact: 0.5,
            self.lose_disk: 0.3,
        }
        self.actions = list(actions)
        self.weights = list(actions.values())

    def run(self) -> None:
        self.cluster.run(3)
        for _ in range(STEPS):
            (action,) = self.rng.choices(self.actions, self.weights)
            action()
            self.check()
        self.settle()

    def alive(self):
        return [node for node in self.cluster.nodes.values() if node.replica is not None]

    def deliver(self) -> None:
        for _ in range(min(4, len(self.cluster.wire))):
            # Mostly in order; a fraction of 0.3 of the deliveries picks any message.
            late = self.rng.random() < 0.3
            self.cluster.deliver(self.rng.randrange(len(self.cluster.wire)) if late else 0)

    def duplicate(self) -> None:
        if self.cluster.wire:
            self.cluster.deliver(self.rng.randrange(len(self.cluster.wire)), keep=True)

    def lose(self) -> None:
        if self.cluster.wire:
            del self.cluster.wire[self.rng.randrange(len(self.cluster.wire))]

    def tick(self) -> None:
        self.cluster.tick(0.05)
        del self.cluster.wire[:-120]

    def jump(self) -> None:
        self.cluster.tick(self.rng.uniform(0.8, 2.2))

    def propose(self) -> None:
        for node in self.alive():
            self.counter += 1
            self.cluster.propose(node, b"%d" % self.counter)

    def read(self) -> None:
        for node in self.alive():
            self.counter += 1
            # The read has to return at least the highest index applied on any replica so far.
            self.reads[self.counter] = max(self.committed, default=0)
            node.replica.request_read(self.counter, self.cluster.now)
            node.process_ready()

    def crash(self) -> None:
        self.rng.choice(list(self.cluster.nodes.values())).crash()

    def crash_before_sync(self) -> None:
        self.cluster.crash_next = self.rng.choice(NAMES)

    def restart(self) -> None:
        for node in self.cluster.nodes.values():
            if node.replica is None:
                node.start()

    def restart_all(self) -> None:
        """Crash all replicas and restart some, so a former leader may start an election before the others run."""
        nodes = list(self.cluster.nodes.values())
        for node in nodes:
            node.crash()
        self.rng.shuffle(nodes)
        for node in nodes[: self.rng.randrange(1, 4)]:
            node.start()

    def isolate(self) -> None:
        self.cluster.isolate(self.rng.choice(NAMES))

    def heal(self) -> None:
        self.cluster.heal()

    def compact(self) -> None:
        for node in self.alive():
            node.compact()

    def lose_disk(self) -> None:
        """Lose one disk, only after the replacement of an earlier one is complete on all replicas."""
        alive = self.alive()
        memberships = {tuple(node.replica.membership.voters) for node in alive}
        if len(alive) == 3 and len(memberships) == 1 and all(node.replica.can_vote() for node in alive):
            self.incarnation += 1
            self.cluster.lose_disk(self.rng.choice(NAMES), str(self.incarnation))

    def check(self) -> None:
        for node in self.cluster.nodes.values():
            for index, payload in node.applied:
                assert self.committed.setdefault(index, payload) == payload
        leaders = self.cluster.leaders()
        assert len(leaders) <= 1
        for node in leaders:
            assert self.leaders.setdefault(node.replica.term, node.id) == node.id
        for _, token, index in self.cluster.reads:
            assert index >= self.reads[token]

    def settle(self) -> None:
        """Restore the network and check that a proposal commits and no committed entry is lost."""
        self.cluster.crash_next = ""
        self.restart()
        self.heal()
        self.cluster.run(15)
        (leader,) = self.cluster.leaders()
        assert self.cluster.propose(leader, b"last") is not None
        self.cluster.run(1)
        self.check()
        applied = dict(leader.applied)
        assert applied == self.committed
        assert b"last" in applied.values()


@pytest.mark.parametrize("seed", range(80))
def test_walk(seed):
    Walk(seed).run()


class FullDiskWalk(Walk):
    """A walk on which disks refuse writes for a time, also several at once."""

    def __init__(self, seed: int):
        super().__init__(seed)
        self.actions += [self.fill, self.free, self.free_all]
        self.weights += [1.5, 1.5, 0.4]

    def alive(self):
        return [node for node in super().alive() if not node.is_suspended]

    def fill(self) -> None:
        self.rng.choice(list(self.cluster.nodes.values())).is_full = True

    def free(self) -> None:
        self.rng.choice(list(self.cluster.nodes.values())).free()

    def free_all(self) -> None:
        for node in self.cluster.nodes.values():
            node.free()

    def settle(self) -> None:
        self.free_all()
        super().settle()


@pytest.mark.parametrize("seed", range(60))
def test_walk_with_full_disks(seed):
    FullDiskWalk(seed).run()
