# SPDX-License-Identifier: BSD-3-Clause
"""Embedding the replicated log: three replicas in one process, on real folders.

The core neither sends nor waits: this program carries the messages by hand.
"""

import tempfile
from random import Random

from lanedock.consensus import FileStorage, HardState, RaftReplica, Timing
from lanedock.wire import messages

NAMES = ("a", "b", "c")
STEP = 0.05


class Host:
    """Drives one replica: syncs first, then sends and applies."""

    def __init__(self, name: str, folder: str):
        self.id = f"{name}@1"
        self.storage = FileStorage(f"{folder}/{name}")
        self.storage.initialize(self.id, messages.Membership(voters=[f"{other}@1" for other in NAMES]))
        restored = self.storage.restore()
        state = restored.hard_state
        self.replica = RaftReplica(self.id, restored.log, state.term, state.voted_for, Timing(), Random(name), 0.0)
        self.applied: list[bytes] = []

    def pump(self, now: float) -> list[messages.PeerMessage]:
        """Do what the core says; returns the messages to deliver."""
        sent = []
        while True:
            ready = self.replica.take_ready()
            sent += ready.messages_before_sync
            if ready.must_sync():
                hard_state = HardState(self.replica.term, self.replica.voted_for)
                self.storage.save(hard_state, ready.entries)
                self.replica.mark_persisted(self.replica.log.last_index, now)
            sent += ready.messages_after_sync
            self.applied += [entry.payload for entry in ready.committed if entry.payload]
            if not (ready.messages_before_sync or ready.messages_after_sync or ready.committed or ready.must_sync()):
                return sent


def main() -> None:
    """Elect a leader, append an entry, and see it applied everywhere."""
    with tempfile.TemporaryDirectory() as folder:
        hosts = {f"{name}@1": Host(name, folder) for name in NAMES}
        now, proposed = 0.0, False
        while not all(host.applied for host in hosts.values()):
            now += STEP
            wire = []
            for host in hosts.values():
                host.replica.tick(now)
                if not proposed and host.replica.propose(b"hello", now) is not None:
                    proposed = True
                wire += host.pump(now)
            while wire:
                message = wire.pop(0)
                host = hosts[message.receiver]
                host.replica.step(message, now)
                wire += host.pump(now)
        for host in hosts.values():
            print(host.id, host.applied, host.replica.role.value)


if __name__ == "__main__":
    main()
