# SPDX-License-Identifier: BSD-3-Clause
"""Simulated cluster with in-memory disks and network, for tests of the consensus core."""

from random import Random

from lanedock.consensus import LogSnapshot, RaftLog, RaftReplica, Timing
from lanedock.consensus.core import replica_name
from lanedock.wire import messages

__all__ = ["Cluster", "Node"]


class Node:
    """A replica, its simulated disk, and its state machine, which is a list of payloads."""

    def __init__(self, replica_id: str, membership: messages.Membership, cluster: "Cluster"):
        self.id = replica_id
        self.cluster = cluster
        self.disk = [LogSnapshot(0, 0, membership, b""), [], 0, ""]
        self.replica = None
        self.applied: list[tuple[int, bytes]] = []
        self.is_full = False
        self.is_suspended = False
        self.start()

    def start(self) -> None:
        self.is_suspended = False
        self._restore(None, 0)
        self.applied = _decode(self.replica.log.snapshot.state)

    def _restore(self, leader_heard_at: float | None, applied: int) -> None:
        snapshot, entries, term, voted_for = self.disk
        contacts = tuple(name for name in self.cluster.names if name != replica_name(self.id))
        self.replica = RaftReplica(
            self.id,
            RaftLog(snapshot, list(entries)),
            term,
            voted_for,
            self.cluster.timing,
            self.cluster.rng,
            self.cluster.now,
            contacts,
            applied=applied,
            leader_heard_at=leader_heard_at,
        )

    def free(self) -> None:
        """Give the disk space again; a suspended replica goes on from what its disk holds."""
        self.is_full = False
        if self.replica is None or not self.is_suspended:
            return
        self.is_suspended = False
        applied = self.applied[-1][0] if self.applied else 0
        if self.disk[0].index > applied:
            self.applied = _decode(self.disk[0].state)
            applied = self.disk[0].index
        self._restore(self.replica.leader_heard_at, applied)

    def _suspend(self, ready) -> None:
        """Resign because a write was refused; the disk may or may not hold what was written."""
        if self.cluster.rng.random() < 0.5:
            self._sync(ready)
        self.is_suspended = True
        self.replica.resign(self.cluster.now)
        for name in self.cluster.names:
            if name != replica_name(self.id):
                message = messages.PeerMessage(sender=self.id, term=self.replica.term)
                message.receiver = self.cluster.nodes[name].id
                message.disk_report.error = "full"
                self.cluster.send([message])

    def step(self, message: messages.PeerMessage) -> None:
        if message.WhichOneof("body") == "disk_report":
            self.replica.handle_resignation(message.sender, message.term, self.cluster.now)
        elif not self.is_suspended:
            self.replica.step(message, self.cluster.now)
            self.process_ready()

    def tick(self) -> None:
        if not self.is_suspended:
            self.replica.tick(self.cluster.now)
            self.process_ready()

    def crash(self) -> None:
        self.replica = None

    def process_ready(self) -> None:
        """Process the core's pending work; a scheduled crash happens before the disk is synced."""
        while self.replica is not None:
            ready = self.replica.take_ready()
            self.cluster.send(ready.messages_before_sync)
            if ready.must_sync():
                if self.cluster.is_crash_due(self):
                    return
                if self.is_full:
                    self._suspend(ready)
                    return
                self._sync(ready)
                self.replica.mark_persisted(self.replica.log.last_index, self.cluster.now)
            self.cluster.send(ready.messages_after_sync)
            if ready.snapshot is not None:
                self.applied = _decode(ready.snapshot.state)
            for entry in ready.committed:
                self.applied.append((entry.index, entry.payload))
            self.cluster.record_reads(self, ready.reads)
            if not (ready.messages_before_sync or ready.messages_after_sync or ready.committed or ready.must_sync()):
                return

    def _sync(self, ready) -> None:
        replica = self.replica
        if ready.snapshot is not None:
            self.disk[0] = ready.snapshot
            self.disk[1] = []
        log = RaftLog(self.disk[0], self.disk[1])
        for entry in ready.entries:
            log.append(entry)
        self.disk[1] = log.entries
        self.disk[2:] = [replica.term, replica.voted_for]

    def compact(self) -> None:
        """Replace the applied part of the log with a snapshot."""
        log = self.replica.log
        index = self.applied[-1][0] if self.applied else 0
        if index <= log.snapshot.index or log.membership_index() > index:
            return
        snapshot = LogSnapshot(index, log.term_at(index), log.membership(), _encode(self.applied))
        self.replica.compact(snapshot)
        self.disk[0] = snapshot
        self.disk[1] = list(log.entries)


def _encode(applied: list[tuple[int, bytes]]) -> bytes:
    content = messages.AppendRequest()
    for index, payload in applied:
        content.entries.add(index=index, payload=payload)
    return content.SerializeToString()


def _decode(state: bytes) -> list[tuple[int, bytes]]:
    return [(entry.index, entry.payload) for entry in messages.AppendRequest.FromString(state).entries]


class Cluster:
    """Replicas that share a clock and a network with configurable partitions."""

    def __init__(self, names: tuple[str, ...], seed: int):
        self.names = names
        self.rng = Random(seed)
        self.timing = Timing()
        self.now = 0.0
        self.wire: list[messages.PeerMessage] = []
        self.cut: set[frozenset] = set()
        self.crash_next: str = ""
        self.reads: list[tuple[str, int, int]] = []
        membership = messages.Membership(voters=[f"{name}@1" for name in names])
        self.nodes = {name: Node(f"{name}@1", membership, self) for name in names}

    def is_crash_due(self, node: Node) -> bool:
        if self.crash_next != replica_name(node.id):
            return False
        self.crash_next = ""
        node.crash()
        return True

    def record_reads(self, node: Node, reads) -> None:
        self.reads += [(node.id, token, index) for token, index in reads]

    def send(self, batch) -> None:
        for message in batch:
            # Copied as by a real network, so that replicas do not share entries.
            self.wire.append(messages.PeerMessage.FromString(message.SerializeToString()))

    def deliver(self, position: int, keep: bool = False) -> None:
        """Deliver one message; with `keep` it stays in the network and can be delivered again."""
        message = self.wire[position] if keep else self.wire.pop(position)
        link = frozenset((replica_name(message.sender), replica_name(message.receiver)))
        node = self.nodes[replica_name(message.receiver)]
        if link in self.cut or node.replica is None:
            return
        node.step(message)

    def run(self, seconds: float, step: float = 0.05) -> None:
        """Advance the clock by `seconds`, delivering all messages in order."""
        until = self.now + seconds
        while self.now < until:
            self.tick(step)
            count = 0
            while self.wire and count < 2000:
                self.deliver(0)
                count += 1

    def tick(self, step: float) -> None:
        self.now += step
        for node in self.nodes.values():
            if node.replica is not None:
                node.tick()

    def isolate(self, name: str) -> None:
        """Drop all messages between a replica and the others."""
        for other in self.names:
            if other != name:
                self.cut.add(frozenset((name, other)))

    def heal(self) -> None:
        self.cut.clear()

    def leaders(self) -> list[Node]:
        """Return the replicas that currently hold a leader lease."""
        alive = [node for node in self.nodes.values() if node.replica is not None]
        return [node for node in alive if node.replica.is_leader(self.now)]

    def lose_disk(self, name: str, incarnation: str) -> None:
        """Replace a replica with one that has an empty disk and another incarnation."""
        self.nodes[name] = Node(f"{name}@{incarnation}", messages.Membership(), self)

    def propose(self, node: Node, payload: bytes) -> int | None:
        index = node.replica.propose(payload, self.now)
        node.process_ready()
        return index
