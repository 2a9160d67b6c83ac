# SPDX-License-Identifier: BSD-3-Clause
"""Tests of the storage on a disk whose calls fail one after the other, and which loses power."""

import errno
import os
import struct
import zlib
from random import Random

import pytest

from lanedock.consensus import FileStorage, HardState, LogSnapshot, StorageError
from lanedock.consensus.records import pack_log
from lanedock.consensus.tests.simulated_disk import PowerLoss, SimulatedDisk
from lanedock.errors import ErrorCode
from lanedock.wire import messages

MEMBERSHIP = messages.Membership(voters=["a@1", "b@1", "c@1"])
FOLDER = "/data/control"
POWER_LOSSES = (PowerLoss.SYNCED, PowerLoss.ALL, PowerLoss.TORN)
ERRORS = (errno.ENOSPC, errno.EIO)


def _entries(first: int, last: int, term: int) -> list[messages.LogEntry]:
    return [messages.LogEntry(term=term, index=index, payload=b"x" * 90) for index in range(first, last + 1)]


class State:
    """What a log holds: its snapshot's index, its hard state, and its entries' indices and terms."""

    __slots__ = ("entries", "snapshot", "term", "voted_for")

    def __init__(self, snapshot: int = 0, term: int = 0, voted_for: str = "", entries: tuple = ()):
        self.snapshot = snapshot
        self.term = term
        self.voted_for = voted_for
        self.entries = entries

    def __repr__(self) -> str:
        return f"<State {self.snapshot} term={self.term} {self.voted_for} {self.entries}>"

    def __eq__(self, other) -> bool:
        return repr(self) == repr(other)

    @classmethod
    def of(cls, restored) -> "State":
        entries = tuple((entry.index, entry.term) for entry in restored.log.entries)
        assert restored.log.membership() == MEMBERSHIP
        hard_state = restored.hard_state
        return cls(restored.log.snapshot.index, hard_state.term, hard_state.voted_for, entries)


class Save:
    """A step that appends a hard state and entries."""

    def __init__(self, hard_state: HardState | None, entries: list[messages.LogEntry]):
        self._hard_state = hard_state
        self._entries = entries

    def run(self, storage: FileStorage) -> None:
        storage.save(self._hard_state, self._entries)

    def results(self, before: State) -> list[State]:
        """Return the states after each record of the step; the last one is that of the whole step."""
        state = before
        states = []
        if self._hard_state is not None:
            state = State(state.snapshot, self._hard_state.term, self._hard_state.voted_for, state.entries)
            states.append(state)
        for entry in self._entries:
            kept = tuple(item for item in state.entries if item[0] < entry.index)
            state = State(state.snapshot, state.term, state.voted_for, (*kept, (entry.index, entry.term)))
            states.append(state)
        return states


class Compact:
    """A step that replaces the log by a snapshot and the entries after it."""

    def __init__(self, index: int, hard_state: HardState, entries: list[messages.LogEntry]):
        self._index = index
        self._hard_state = hard_state
        self._entries = entries

    def run(self, storage: FileStorage) -> None:
        storage.replace(LogSnapshot(self._index, 1, MEMBERSHIP, b"state" * 20), self._hard_state, self._entries)

    def results(self, before: State) -> list[State]:
        entries = tuple((entry.index, entry.term) for entry in self._entries)
        return [State(self._index, self._hard_state.term, self._hard_state.voted_for, entries)]


STEPS = (
    Save(HardState(1, "b@1"), []),
    Save(None, _entries(1, 3, 1)),
    Save(HardState(2, ""), _entries(3, 5, 2)),
    Compact(4, HardState(2, ""), _entries(5, 5, 2)),
    Save(HardState(3, "a@1"), _entries(6, 7, 3)),
)


FINAL_STATE = State(4, 3, "a@1", ((5, 2), (6, 3), (7, 3)))


class Replica:
    """Runs the steps on a disk, and checks each state that is restored against what was acknowledged."""

    def __init__(self):
        self.disk = SimulatedDisk("/")
        self.storage = FileStorage(FOLDER, self.disk)
        self.acknowledged: State | None = None
        self.possible: list[State] = []

    def run(self) -> None:
        """Run the steps that are not acknowledged yet."""
        self.open()
        done = 0 if self.acknowledged is None else self._count_done()
        for step in STEPS[done:]:
            self.possible = [self.acknowledged, *step.results(self.acknowledged)]
            step.run(self.storage)
            self.acknowledged = self.possible[-1]
            self.possible = [self.acknowledged]

    def _count_done(self) -> int:
        state = State()
        for number, step in enumerate(STEPS):
            results = step.results(state)
            if self.acknowledged in (state, *results[:-1]):
                return number
            state = results[-1]
        return len(STEPS)

    def open(self) -> None:
        """Open the folder as a start does, and check what it holds."""
        if not self.storage.read_identity():
            assert self.acknowledged is None
            self.storage.initialize("a@1", MEMBERSHIP)
        assert self.storage.read_identity() == "a@1"
        restored = State.of(self.storage.restore())
        if self.acknowledged is not None:
            assert restored in self.possible, f"{restored} was restored, {self.possible} possible"
        # What a start has restored, votes and acknowledgements rest on.
        self.acknowledged = restored
        self.possible = [restored]

    def restart(self) -> None:
        self.storage = FileStorage(FOLDER, self.disk)


def _count_calls() -> int:
    replica = Replica()
    replica.run()
    return len(replica.disk.calls)


def _run_until_failure(number: int, error: int, count: int) -> Replica:
    """Run the steps until the call with a number fails; `count` calls fail in a row."""
    replica = Replica()
    replica.disk.error = error
    replica.disk.fail_from, replica.disk.fail_until = number, number + count
    try:
        replica.run()
    except StorageError as exc:
        assert exc.code is ErrorCode.DISK_FAILED
        assert not isinstance(exc.__cause__, StorageError)
    return replica


@pytest.mark.parametrize("error", ERRORS)
@pytest.mark.parametrize("count", [1, 2, 5])
def test_a_storage_is_written_again_after_any_call_was_refused(count, error):
    # A refused write was kept as a permanent failure.
    for number in range(_count_calls()):
        replica = _run_until_failure(number, error, count)
        for _ in range(count):
            try:
                replica.run()
                break
            except StorageError as exc:
                assert exc.code is ErrorCode.DISK_FAILED
        else:
            replica.run()
        assert replica.acknowledged == FINAL_STATE
        replica.disk.lose_power(PowerLoss.SYNCED, Random(number))
        replica.restart()
        replica.open()
        assert replica.acknowledged == FINAL_STATE


@pytest.mark.parametrize("loss", POWER_LOSSES)
@pytest.mark.parametrize("is_retried", [False, True], ids=["at once", "after a retry"])
@pytest.mark.parametrize("error", ERRORS)
def test_a_loss_of_power_after_a_refused_call_takes_nothing_that_was_acknowledged(error, is_retried, loss):
    for number in range(_count_calls()):
        replica = _run_until_failure(number, error, 1)
        if is_retried:
            replica.open()
        replica.disk.lose_power(loss, Random(number))
        replica.disk.fail_until = 0
        replica.restart()
        replica.open()
        replica.run()
        assert replica.acknowledged == FINAL_STATE


def test_a_read_that_fails_is_not_reported_as_corruption():
    replica = Replica()
    replica.run()
    for number in range(3):
        replica.restart()
        disk = replica.disk
        disk.error = errno.EIO
        disk.fail_from, disk.fail_until = len(disk.calls) + number, len(disk.calls) + number + 1
        with pytest.raises(StorageError) as raised:
            replica.storage.read_identity()
            replica.storage.restore()
        assert raised.value.code is ErrorCode.DISK_FAILED
        assert "read" in str(raised.value)


def test_a_replacement_that_finds_no_space_leaves_the_log_usable_and_takes_none():
    replica = Replica()
    replica.run()
    step = Compact(7, HardState(3, "a@1"), [])
    for number in range(3):
        replica.disk.fail_from, replica.disk.fail_until = len(replica.disk.calls) + number, 10**9
        with pytest.raises(StorageError):
            step.run(replica.storage)
        replica.disk.fail_until = 0
        assert replica.storage.is_usable
        replica.storage.save(None, _entries(8, 8, 3))
    replica.possible = Save(None, _entries(8, 8, 3)).results(replica.acknowledged)
    replica.restart()
    replica.open()


def _kill_at_sync(disk: SimulatedDisk) -> None:
    """Make the next sync end the process before it has any effect."""

    def sync(descriptor: int) -> None:
        del disk.sync
        raise KeyboardInterrupt

    disk.sync = sync


def _fail_next_sync(disk: SimulatedDisk) -> None:
    """Make the next sync fail; the pages that it should have written count as written."""

    def sync(descriptor: int) -> None:
        del disk.sync
        disk.fail_from, disk.fail_until = len(disk.calls), len(disk.calls) + 1
        disk.sync(descriptor)

    disk.sync = sync


@pytest.mark.parametrize("loss", POWER_LOSSES)
@pytest.mark.parametrize("interrupt", [_kill_at_sync, _fail_next_sync])
def test_a_vote_and_entries_that_a_start_restores_are_synced(interrupt, loss):
    # A start believed bytes that a former process had written and not synced.
    replica = Replica()
    replica.run()
    interrupt(replica.disk)
    step = Save(HardState(4, "c@1"), _entries(8, 8, 4))
    with pytest.raises((KeyboardInterrupt, StorageError)):
        step.run(replica.storage)
    replica.possible = [replica.acknowledged, *step.results(replica.acknowledged)]
    replica.restart()
    replica.open()
    assert (replica.acknowledged.term, replica.acknowledged.voted_for) == (4, "c@1")
    replica.disk.lose_power(loss, Random(1))
    replica.restart()
    replica.open()


def _lose_power_after_renaming(replica: Replica) -> None:
    """Compact the log, and lose power with the new log and the former content of the other files on disk."""
    disk = replica.disk
    rename = disk.rename

    def rename_and_sync(path: str, new_path: str) -> None:
        rename(path, new_path)
        disk.sync(disk.open(FOLDER, os.O_RDONLY))
        raise KeyboardInterrupt

    disk.rename = rename_and_sync
    with pytest.raises(KeyboardInterrupt):
        Compact(7, HardState(3, "a@1"), []).run(replica.storage)
    disk.rename = rename
    replica.possible = [State(7, 3, "a@1")]
    disk.lose_power(PowerLoss.SYNCED, Random(1))
    replica.restart()


def test_the_synced_length_of_a_former_log_does_not_refuse_its_shorter_successor():
    # The length that was reset before a new log was put in place was not synced.
    replica = Replica()
    replica.run()
    replica.disk.sync(replica.disk.open(f"{FOLDER}/synced", os.O_WRONLY))
    _lose_power_after_renaming(replica)
    replica.open()


@pytest.mark.parametrize("number", range(5))
@pytest.mark.parametrize("error", ERRORS)
def test_a_refused_write_does_not_remove_the_synced_length(error, number):
    # The length was emptied when it was opened for writing, and stayed empty on a full disk.
    replica = Replica()
    replica.run()
    disk = replica.disk
    disk.error = error
    disk.fail_from, disk.fail_until = len(disk.calls) + number, 10**9
    step = Save(None, _entries(8, 8, 3))
    try:
        step.run(replica.storage)
    except StorageError:
        replica.possible += step.results(replica.acknowledged)
    else:
        replica.possible = step.results(replica.acknowledged)
    disk.fail_until = 0
    damaged = bytearray(disk.read(f"{FOLDER}/log"))
    damaged[200] ^= 1
    sound = disk.overwrite(f"{FOLDER}/log", damaged)
    replica.restart()
    with pytest.raises(StorageError) as raised:
        replica.storage.restore()
    assert raised.value.code is ErrorCode.LOG_CORRUPT
    disk.overwrite(f"{FOLDER}/log", sound)
    replica.restart()
    replica.open()


def test_a_log_that_was_written_before_logs_had_ids_is_checked_by_its_synced_length(tmp_path):
    storage = FileStorage(str(tmp_path))
    storage.initialize("a@1", MEMBERSHIP)
    storage.close()
    log = pack_log(LogSnapshot(0, 0, MEMBERSHIP, b""), HardState(2, "b@1"), _entries(1, 3, 1))
    length = struct.pack(">Q", len(log))
    (tmp_path / "synced").write_bytes(length + struct.pack(">I", zlib.crc32(length)))
    (tmp_path / "log").write_bytes(log[:-30])
    with pytest.raises(StorageError) as raised:
        FileStorage(str(tmp_path)).restore()
    assert raised.value.code is ErrorCode.LOG_CORRUPT
    (tmp_path / "log").write_bytes(log)
    assert State.of(FileStorage(str(tmp_path)).restore()) == State(0, 2, "b@1", ((1, 1), (2, 1), (3, 1)))
