# SPDX-License-Identifier: BSD-3-Clause
"""Tests of the log on disk: torn tails, bad bits, failing disks."""

import os

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lanedock.consensus import FileStorage, HardState, LogSnapshot, StorageError
from lanedock.errors import ErrorCode
from lanedock.wire import messages

MEMBERSHIP = messages.Membership(voters=["a@1"])


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


def test_what_was_saved_is_restored(folder):
    storage, restored = _restore(folder)
    assert storage.read_identity() == "a@1"
    assert (restored.hard_state.term, restored.hard_state.voted_for) == (3, "a@1")
    assert [entry.term for entry in restored.log.entries] == [1, 1, 2]
    assert restored.log.membership() == MEMBERSHIP


def test_a_later_entry_replaces_an_earlier_one_and_all_behind(folder):
    storage, _ = _restore(folder)
    storage.save(None, [messages.LogEntry(term=4, index=2)])
    _, restored = _restore(folder)
    assert [(entry.index, entry.term) for entry in restored.log.entries] == [(1, 1), (2, 4)]


def test_a_torn_tail_is_cut_off(folder):
    with open(folder / "log", "ab") as file:
        file.write(b"\0\0\0\x20\1\2")
    storage, restored = _restore(folder)
    assert restored.cut_bytes == 6
    storage.save(None, [messages.LogEntry(term=3, index=4)])
    assert _restore(folder)[1].log.last_index == 4


@pytest.mark.parametrize("position", [10, 60, -3])
def test_a_bit_gone_bad_in_what_was_synced_is_never_served(folder, position):
    data = bytearray((folder / "log").read_bytes())
    data[position] ^= 1
    (folder / "log").write_bytes(data)
    with pytest.raises(StorageError) as caught:
        _restore(folder)
    assert caught.value.code is ErrorCode.LOG_CORRUPT


def test_a_lost_end_of_what_was_synced_is_found(folder):
    data = (folder / "log").read_bytes()
    (folder / "log").write_bytes(data[:-30])
    with pytest.raises(StorageError):
        _restore(folder)


def test_after_a_failed_sync_nothing_is_written_any_more(folder):
    failing = []

    def sync(descriptor):
        if failing:
            raise OSError(28, "No space left on device")
        os.fsync(descriptor)

    storage = FileStorage(str(folder), sync)
    storage.restore()
    failing.append(True)
    with pytest.raises(StorageError) as caught:
        storage.save(None, _entries(5))
    assert caught.value.code is ErrorCode.DISK_FAILED
    failing.clear()
    with pytest.raises(StorageError):
        storage.save(None, _entries(5))


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
