# SPDX-License-Identifier: BSD-3-Clause
"""Tests of the log on disk: torn tails, corruption and disk failures."""

import errno
import struct
import zlib

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lanedock.consensus import FileStorage, HardState, LogSnapshot, StorageError
from lanedock.consensus.disk import OsDisk
from lanedock.errors import ErrorCode
from lanedock.wire import messages

MEMBERSHIP = messages.Membership(voters=["a@1"])


class FullDisk(OsDisk):
    """The system's disk, whose syncs fail while it is full."""

    is_full = False

    def sync(self, descriptor: int) -> None:
        if self.is_full:
            raise OSError(errno.ENOSPC, "No space left on device")
        super().sync(descriptor)


def _entries(*terms: int) -> list[messages.LogEntry]:
    return [messages.LogEntry(term=term, index=index, payload=b"x" * 20) for index, term in enumerate(terms, 1)]


@pytest.fixture
def folder(tmp_path):
    storage = FileStorage(str(tmp_path / "data"))
    storage.initialize("a@1", MEMBERSHIP)
    storage.save(HardState(3, "a@1"), _entries(1, 1, 2))
    storage.close()
    return tmp_path / "data"


def _restore(folder):
    storage = FileStorage(str(folder))
    return storage, storage.restore()


def test_saved_hard_state_and_entries_are_restored(folder):
    storage, restored = _restore(folder)
    assert storage.read_identity() == "a@1"
    assert (restored.hard_state.term, restored.hard_state.voted_for) == (3, "a@1")
    assert [entry.term for entry in restored.log.entries] == [1, 1, 2]
    assert restored.log.membership() == MEMBERSHIP


def test_an_entry_with_a_stored_index_replaces_that_entry_and_all_later_ones(folder):
    storage, _ = _restore(folder)
    storage.save(None, [messages.LogEntry(term=4, index=2)])
    _, restored = _restore(folder)
    assert [(entry.index, entry.term) for entry in restored.log.entries] == [(1, 1), (2, 4)]


def test_a_torn_tail_is_truncated(folder):
    with open(folder / "log", "ab") as file:
        file.write(b"\0\0\0\x20\1\2")
    storage, restored = _restore(folder)
    assert restored.truncated_bytes == 6
    storage.save(None, [messages.LogEntry(term=3, index=4)])
    assert _restore(folder)[1].log.last_index == 4


@pytest.mark.parametrize("length", [9, 18, 4096])
def test_zeros_behind_the_records_do_not_empty_the_log(folder, length):
    # A loss of power can leave zeros where an append was not synced.
    with open(folder / "log", "ab") as file:
        file.write(bytes(length))
    _, restored = _restore(folder)
    assert [entry.term for entry in restored.log.entries] == [1, 1, 2]
    assert restored.log.membership() == MEMBERSHIP
    assert restored.truncated_bytes == length


def _record(kind: int, payload: bytes) -> bytes:
    return struct.pack(">IIB", len(payload), zlib.crc32(payload, kind), kind) + payload


@pytest.mark.parametrize(
    "record",
    [
        _record(7, b"of an unknown kind"),
        _record(2, b"short"),
        _record(3, messages.SnapshotRequest(last_index=9).SerializeToString()),
        _record(1, messages.LogEntry(term=2, index=9).SerializeToString()),
        _record(1, b""),
        _record(1, b"\xff\xff"),
    ],
    ids=["unknown kind", "short hard state", "second snapshot", "entry behind a gap", "empty entry", "no entry"],
)
def test_a_record_that_has_no_meaning_at_its_place_ends_the_log(folder, record):
    with open(folder / "log", "ab") as file:
        file.write(record)
    _, restored = _restore(folder)
    assert [entry.term for entry in restored.log.entries] == [1, 1, 2]
    assert (restored.hard_state.term, restored.log.membership()) == (3, MEMBERSHIP)
    assert restored.truncated_bytes == len(record)


@pytest.mark.parametrize("position", [10, 60, -3])
def test_a_flipped_bit_in_synced_data_raises_log_corrupt(folder, position):
    data = bytearray((folder / "log").read_bytes())
    data[position] ^= 1
    (folder / "log").write_bytes(data)
    with pytest.raises(StorageError) as raised:
        _restore(folder)
    assert raised.value.code is ErrorCode.LOG_CORRUPT


def test_a_log_shorter_than_the_synced_length_raises_an_error(folder):
    data = (folder / "log").read_bytes()
    (folder / "log").write_bytes(data[:-30])
    with pytest.raises(StorageError):
        _restore(folder)


def test_writes_are_refused_after_a_failed_sync_until_the_log_is_restored(folder):
    disk = FullDisk()
    storage = FileStorage(str(folder), disk)
    storage.restore()
    disk.is_full = True
    with pytest.raises(StorageError) as raised:
        storage.save(None, _entries(5))
    assert raised.value.code is ErrorCode.DISK_FAILED
    disk.is_full = False
    with pytest.raises(StorageError):
        storage.save(None, _entries(5))
    with pytest.raises(StorageError):
        storage.replace(LogSnapshot(0, 0, MEMBERSHIP, b""), HardState(), [])
    last_index = storage.restore().log.last_index
    storage.save(None, [messages.LogEntry(term=5, index=last_index + 1)])
    assert _restore(folder)[1].log.last_index == last_index + 1


def test_a_snapshot_replaces_the_log(folder):
    storage, _ = _restore(folder)
    storage.replace(LogSnapshot(2, 1, MEMBERSHIP, b"state"), HardState(9, ""), _entries(1, 1, 2)[2:])
    storage.save(None, [messages.LogEntry(term=9, index=4)])
    _, restored = _restore(folder)
    assert (restored.log.snapshot.state, restored.log.last_index, restored.hard_state.term) == (b"state", 4, 9)


@settings(max_examples=150, deadline=None, derandomize=True)
@given(data=st.binary(max_size=200), keep=st.integers(0, 200))
def test_any_bytes_give_a_log_or_a_coded_error(tmp_path_factory, data, keep):
    folder = tmp_path_factory.mktemp("fuzz")
    storage = FileStorage(str(folder))
    storage.initialize("a@1", MEMBERSHIP)
    storage.save(HardState(1, ""), _entries(1, 1))
    storage.close()
    whole = (folder / "log").read_bytes()
    (folder / "log").write_bytes(whole[:keep] + data)
    (folder / "synced").unlink()
    try:
        _restore(folder)
    except StorageError as exc:
        assert exc.code is ErrorCode.LOG_CORRUPT
