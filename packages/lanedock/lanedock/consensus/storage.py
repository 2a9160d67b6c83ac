# SPDX-License-Identifier: BSD-3-Clause
"""Durable storage of a replica: checksummed records in one data folder.

Files of the folder:

- ``identity`` holds the id of the replica that owns the folder;
- ``log`` holds records: a snapshot first, then hard states and entries. It is
  replaced as a whole by writing ``log.new`` and renaming that;
- ``synced`` holds the length of ``log`` that is known to be synced. A bad record
  beyond that length is a torn tail and is truncated; one within it is
  corruption and an error.
"""

import os
import struct
import zlib
from abc import ABC, abstractmethod
from pathlib import Path

from lanedock.consensus.log import LogSnapshot, RaftLog
from lanedock.errors import ErrorCode, LanedockError
from lanedock.wire import messages

__all__ = ["FileStorage", "HardState", "LogStorage", "Restored", "StorageError"]

_HEADER = struct.Struct(">IIB")  # length of the payload, CRC-32 of kind and payload, kind
_HARD_STATE = struct.Struct(">Q")  # term; the id of the voted-for replica follows
_SYNCED_LENGTH = struct.Struct(">QI")  # synced length in bytes, CRC-32 of the packed length
_KIND_ENTRY = 1
_KIND_HARD_STATE = 2
_KIND_SNAPSHOT = 3
_MAX_RECORD_BYTES = 64 * 1024 * 1024


class StorageError(LanedockError):
    """The log cannot be written, or the stored log is corrupt."""


class HardState:
    """Term and vote of a replica, which have to be persistent in addition to its log.

    Parameters
    ----------
    term : int
    voted_for : str
        Id of the replica that got the vote in this term; empty if none did.
    """

    __slots__ = ("term", "voted_for")

    def __init__(self, term: int = 0, voted_for: str = ""):
        self.term = term
        self.voted_for = voted_for

    def __repr__(self) -> str:
        return f"<HardState term={self.term} voted_for={self.voted_for or '-'}>"


class Restored:
    """Stored data found when a storage was opened.

    Parameters
    ----------
    hard_state : HardState
    log : RaftLog
    truncated_bytes : int
        Length, in bytes, of a torn tail that was truncated.
    """

    __slots__ = ("hard_state", "log", "truncated_bytes")

    def __init__(self, hard_state: HardState, log: RaftLog, truncated_bytes: int = 0):
        self.hard_state = hard_state
        self.log = log
        self.truncated_bytes = truncated_bytes

    def __repr__(self) -> str:
        return f"<Restored {self.hard_state!r} {self.log!r} truncated={self.truncated_bytes}>"


class LogStorage(ABC):
    """Durable storage of a replica's log. Calls that write return once the data is synced."""

    @abstractmethod
    def restore(self) -> Restored:
        """Return the stored hard state and log.

        Raises
        ------
        StorageError
            `ErrorCode.LOG_CORRUPT` if the stored data is unreadable or corrupt.
        """

    @abstractmethod
    def save(self, hard_state: HardState | None, entries: list[messages.LogEntry]) -> None:
        """Append a hard state, if given, and entries, and sync them to disk.

        Raises
        ------
        StorageError
            `ErrorCode.DISK_FAILED`; the storage refuses every later call.
        """

    @abstractmethod
    def replace(self, snapshot: LogSnapshot, hard_state: HardState, entries: list[messages.LogEntry]) -> None:
        """Replace all stored data atomically and sync it to disk.

        Raises
        ------
        StorageError
            `ErrorCode.DISK_FAILED`; the storage refuses every later call.
        """

    @abstractmethod
    def size(self) -> int:
        """Return the length of the log in bytes."""


def _pack(kind: int, payload: bytes) -> bytes:
    checksum = zlib.crc32(payload, kind)
    return _HEADER.pack(len(payload), checksum, kind) + payload


def _pack_hard_state(state: HardState) -> bytes:
    return _pack(_KIND_HARD_STATE, _HARD_STATE.pack(state.term) + state.voted_for.encode())


def _pack_snapshot(snapshot: LogSnapshot) -> bytes:
    request = messages.SnapshotRequest(last_index=snapshot.index, last_term=snapshot.term, state=snapshot.state)
    request.membership.CopyFrom(snapshot.membership)
    return _pack(_KIND_SNAPSHOT, request.SerializeToString())


class FileStorage(LogStorage):
    """Log storage in the files of a data folder.

    Parameters
    ----------
    folder : str
        Path of the data folder, which only this replica uses.
    sync : callable, optional
        Takes a file descriptor and returns once its data is on disk; by default
        `os.fsync`.
    """

    def __init__(self, folder: str, sync=os.fsync):
        self._folder = Path(folder)
        self._sync = sync
        self._file = None
        self._failed = False

    def __repr__(self) -> str:
        return f"<FileStorage {self._folder}>"

    # ---------------------------------------------------------------- identity

    def read_identity(self) -> str:
        """Return the id of the replica that owns the folder; empty for a new folder."""
        try:
            return (self._folder / "identity").read_text(encoding="utf-8").strip()
        except FileNotFoundError:
            return ""
        except (OSError, UnicodeDecodeError) as exc:
            raise StorageError(ErrorCode.LOG_CORRUPT, f"cannot read the identity file: {exc}") from exc

    def initialize(self, replica: str, membership: messages.Membership) -> None:
        """Create the folder's files for a new replica.

        Parameters
        ----------
        replica : str
            Id, ``name@incarnation``.
        membership : Membership
            The initial voters; empty for a replica that requests admission.
        """
        self._folder.mkdir(parents=True, exist_ok=True)
        self.replace(LogSnapshot(0, 0, membership, b""), HardState(), [])
        self._write_atomically("identity", replica.encode())
        self._sync_folder()

    # ------------------------------------------------------------------ reading

    def restore(self) -> Restored:
        data = self._read_log()
        synced = self._read_synced()
        records, end = _unpack_records(data)
        if end < synced or not records or records[0][0] != _KIND_SNAPSHOT:
            raise StorageError(
                ErrorCode.LOG_CORRUPT, f"bad record at byte {end} of the log; {synced} bytes were synced"
            )
        self._open(end)
        if end < len(data):
            self._file.truncate(end)
            self._run_write(lambda: self._sync(self._file.fileno()))
        restored = _replay(records)
        restored.truncated_bytes = len(data) - end
        return restored

    def _read_log(self) -> bytes:
        try:
            return (self._folder / "log").read_bytes()
        except OSError as exc:
            raise StorageError(ErrorCode.LOG_CORRUPT, str(exc)) from exc

    def _read_synced(self) -> int:
        """Return the length, in bytes, of the log that is known to be synced; 0 if unknown."""
        try:
            length, checksum = _SYNCED_LENGTH.unpack((self._folder / "synced").read_bytes())
        except (OSError, struct.error):
            return 0
        return length if zlib.crc32(struct.pack(">Q", length)) == checksum else 0

    def _open(self, end: int) -> None:
        self._file = open(self._folder / "log", "r+b", buffering=0)  # noqa: SIM115
        self._file.seek(end)

    # ------------------------------------------------------------------ writing

    def save(self, hard_state: HardState | None, entries: list[messages.LogEntry]) -> None:
        parts = [_pack_hard_state(hard_state)] if hard_state else []
        parts += [_pack(_KIND_ENTRY, entry.SerializeToString()) for entry in entries]
        self._run_write(lambda: self._append(b"".join(parts)))

    def replace(self, snapshot: LogSnapshot, hard_state: HardState, entries: list[messages.LogEntry]) -> None:
        parts = [_pack_snapshot(snapshot), _pack_hard_state(hard_state)]
        parts += [_pack(_KIND_ENTRY, entry.SerializeToString()) for entry in entries]
        self._run_write(lambda: self._replace(b"".join(parts)))

    def size(self) -> int:
        return self._file.tell() if self._file else 0

    def close(self) -> None:
        """Close the log."""
        if self._file:
            self._file.close()
            self._file = None

    def _run_write(self, write) -> None:
        """Run a write; after a failure refuse all later ones, as the data on disk is then unknown."""
        if self._failed:
            raise StorageError(
                ErrorCode.DISK_FAILED, "an earlier write or sync failed; the storage accepts no more writes"
            )
        try:
            write()
        except OSError as exc:
            self._failed = True
            raise StorageError(ErrorCode.DISK_FAILED, str(exc)) from exc

    def _append(self, data: bytes) -> None:
        view = memoryview(data)
        while view:
            view = view[self._file.write(view) :]
        self._sync(self._file.fileno())
        self._save_synced_length(self._file.tell())

    def _replace(self, data: bytes) -> None:
        # Resets the synced length first, so that after a crash the new file is not checked
        # against the old file's length.
        self._save_synced_length(0)
        self._write_atomically("log", data)
        self.close()
        self._open(len(data))
        self._save_synced_length(len(data))

    def _write_atomically(self, name: str, data: bytes) -> None:
        path = self._folder / (name + ".new")
        with open(path, "wb") as file:
            file.write(data)
            file.flush()
            self._sync(file.fileno())
        os.replace(path, self._folder / name)
        self._sync_folder()

    def _sync_folder(self) -> None:
        descriptor = os.open(self._folder, os.O_RDONLY)
        try:
            self._sync(descriptor)
        finally:
            os.close(descriptor)

    def _save_synced_length(self, length: int) -> None:
        """Record the synced length. It is not synced itself: its loss only weakens the check."""
        packed = struct.pack(">Q", length)
        data = packed + struct.pack(">I", zlib.crc32(packed))
        with open(self._folder / "synced", "wb") as file:
            file.write(data)


def _unpack_records(data: bytes) -> tuple[list[tuple[int, bytes]], int]:
    """Return the records before the first bad one, and the byte position at which they end."""
    records = []
    position = 0
    while position + _HEADER.size <= len(data):
        length, checksum, kind = _HEADER.unpack_from(data, position)
        start = position + _HEADER.size
        payload = data[start : start + length]
        if length > _MAX_RECORD_BYTES or len(payload) < length or zlib.crc32(payload, kind) != checksum:
            break
        records.append((kind, payload))
        position = start + length
    return records, position


def _replay(records: list[tuple[int, bytes]]) -> Restored:
    hard_state = HardState()
    log = RaftLog(LogSnapshot(0, 0, messages.Membership(), b""), [])
    for kind, payload in records:
        if kind == _KIND_ENTRY:
            log.append(messages.LogEntry.FromString(payload))
        elif kind == _KIND_HARD_STATE:
            (term,) = _HARD_STATE.unpack_from(payload)
            hard_state = HardState(term, payload[_HARD_STATE.size :].decode())
        else:
            request = messages.SnapshotRequest.FromString(payload)
            log.reset(LogSnapshot(request.last_index, request.last_term, request.membership, request.state))
    return Restored(hard_state, log)
