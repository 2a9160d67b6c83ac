# SPDX-License-Identifier: BSD-3-Clause
"""Tests of the replicated log's driver on a disk in memory."""

import errno
from types import SimpleNamespace

import pytest

from lanedock.clock import monotonic
from lanedock.consensus import FileStorage, StorageError
from lanedock.consensus.tests.simulated_disk import SimulatedDisk
from lanedock.errors import ErrorCode
from lanedock.rollout import MeshState
from lanedock.telemetry import Event, NullMetrics
from lanedock.wire import messages
from lanedock_daemon.control import replicated_log
from lanedock_daemon.control.replica_factory import ReplicaFactory
from lanedock_daemon.control.replicated_log import ReplicatedLog
from lanedock_daemon.control.storage_opening import StorageOpener

NEVER = 10**9


class Events:
    """Records the events that are emitted."""

    def __init__(self):
        self.emitted: list[Event] = []

    def emit(self, event: Event, **fields) -> None:
        self.emitted.append(event)


class Driver:
    """A replica that is the only voter, so that what it proposes is committed at once."""

    def __init__(self, compact_bytes: int = NEVER):
        self.disk = SimulatedDisk("/")
        self.storage = FileStorage("/data", self.disk)
        self.opener = StorageOpener(self.storage, "a", ["a"], True)
        self.events = Events()
        self.sent: list[messages.PeerMessage] = []
        opened = self.opener.open()
        factory = ReplicaFactory(opened.replica, (), SimpleNamespace(election_ms=10, seeds=None))
        self.log = ReplicatedLog(
            factory.make, opened.restored, self.storage, self.sent.extend, self.events, NullMetrics(), compact_bytes
        )

    def fill(self, count: int = NEVER) -> None:
        """Make the next `count` calls of the disk fail."""
        self.disk.error = errno.ENOSPC
        self.disk.fail_from = len(self.disk.calls)
        self.disk.fail_until = self.disk.fail_from + count

    def free(self) -> None:
        self.disk.fail_until = 0

    def submit(self, number: int) -> None:
        """Lead, and submit a version as a log entry."""
        while not self.log.is_current_leader:
            self.log.replica.tick(monotonic())
            self.log.process_ready()
        command = messages.Command()
        command.submit.version = number
        command.submit.digest = bytes([number]) * 32
        command.submit.content = b"x" * 100
        command.submit.direct = True
        assert self.log.propose(command) is not None
        self.log.process_ready()


def test_applied_versions_stay_applied_while_the_disk_is_full_and_after_it():
    driver = Driver()
    driver.submit(1)
    assert driver.log.state.accepted_version.number == 1
    driver.fill()
    with pytest.raises(StorageError) as raised:
        driver.submit(2)
    assert raised.value.code is ErrorCode.DISK_FAILED
    driver.log.suspend(monotonic())
    assert driver.log.is_suspended and not driver.log.is_current_leader
    assert driver.log.state.accepted_version.number == 1
    driver.free()
    driver.log.resume(driver.opener.open().restored)
    assert driver.log.state.accepted_version.number == 1
    driver.submit(3)
    assert driver.log.state.accepted_version.number == 3
    assert [entry.command.submit.version for entry in driver.log.take_applied()][-1] == 3


def test_a_log_that_lacks_applied_entries_is_not_resumed():
    driver = Driver()
    driver.submit(1)
    former = driver.opener.open().restored
    former.log.entries.clear()
    driver.log.suspend(monotonic())
    with pytest.raises(StorageError) as raised:
        driver.log.resume(former)
    assert raised.value.code is ErrorCode.LOG_CORRUPT


def test_a_compaction_without_space_leaves_the_replica_in_the_group(monkeypatch):
    # Compaction needs space for a second log; without it, the replica stopped for good.
    driver = Driver(compact_bytes=300)
    monkeypatch.setattr(MeshState, "snapshot", lambda state: b"state" * 100)
    driver.submit(1)
    write = driver.disk.write
    too_large = 300

    def write_small(descriptor: int, data: bytes) -> int:
        if len(data) > too_large:
            raise OSError(errno.ENOSPC, "No space left on device")
        return write(descriptor, data)

    driver.disk.write = write_small
    for number in range(2, 6):
        driver.submit(number)
    assert driver.log.state.accepted_version.number == 5
    assert driver.events.emitted.count(Event.COMPACTION_FAILED) == 1
    assert driver.log.replica.log.snapshot.index == 0
    del driver.disk.write
    monkeypatch.setattr(replicated_log, "monotonic", lambda: monotonic() + 60)
    driver.log.process_ready()
    assert Event.COMPACTED in driver.events.emitted
    assert driver.opener.open().restored.log.last_index == driver.log.replica.log.last_index
