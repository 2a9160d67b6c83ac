# SPDX-License-Identifier: BSD-3-Clause
"""Durable storage of a replica in one data folder.

Files of the folder:

- ``identity`` holds the id of the replica that owns the folder;
- ``log`` holds records: a snapshot first, then hard states and entries. It is
  replaced as a whole by writing ``log.new`` and renaming that;
- ``synced`` holds the length of ``log`` that is known to be synced, and the id of
  that log. A bad record beyond that length is a torn tail and is dropped; one
  within it is corruption and an error.
"""

import os
import struct
import zlib
from abc import ABC, abstractmethod

from lanedock.consensus.disk import Disk, DurableFolder, OsDisk
from lanedock.consensus.log import LogSnapshot
from lanedock.consensus.records import (
    HardState,
    Restored,
    StorageError,
    pack_entry,
    pack_hard_state,
    pack_log,
    unpack_log,
)
from lanedock.errors import ErrorCode
from lanedock.wire import messages

__all__ = ["FileStorage", "LogStorage"]

# Length of the ids that logs get, in bytes.
LOG_ID_BYTES = 8
_SYNCED_LENGTH = struct.Struct(">Q8sI")  # synced length in bytes, id of the log, CRC-32 of both
_CHECKSUM = struct.Struct(">I")
# Synced length and checksum, as written before logs had an id.
_SYNCED_LENGTH_WITHOUT_ID = struct.Struct(">QI")


class LogStorage(ABC):
    """Durable storage of a replica's log. Calls that write return once the data is synced."""

    @abstractmethod
    def restore(self) -> Restored:
        """Return the stored hard state and log, once they are synced.

        Raises
        ------
        StorageError
            `ErrorCode.LOG_CORRUPT` if the stored data is unreadable or corrupt,
            `ErrorCode.DISK_FAILED` if it can't be synced.
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


class FileStorage(LogStorage):
    """Log storage in the files of a data folder.

    Parameters
    ----------
    folder : str
        Path of the data folder, which only this replica uses.
    disk : Disk, optional
        Makes the system calls; by default those of this process.
    """

    def __init__(self, folder: str, disk: Disk | None = None):
        self._disk = disk or OsDisk()
        self._folder = DurableFolder(folder, self._disk)
        self._descriptor: int | None = None
        self._synced_descriptor: int | None = None
        self._log_id = b""
        self._size = 0
        self._failed = False

    def __repr__(self) -> str:
        return f"<FileStorage {self._folder!r}>"

    # ---------------------------------------------------------------- identity

    def read_identity(self) -> str:
        """Return the id of the replica that owns the folder; empty for a new folder."""
        try:
            return self._folder.read("identity").decode().strip()
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
        self._folder.create()
        self.replace(LogSnapshot(0, 0, membership, b""), HardState(), [])
        self._folder.stage("identity", replica.encode())
        self._folder.put_in_place("identity")
        self._folder.sync()

    # ------------------------------------------------------------------ reading

    def restore(self) -> Restored:
        data = self._read_log()
        restored, end = unpack_log(data)
        synced = self._read_synced(restored.log_id if restored is not None else b"")
        if end < synced or restored is None:
            raise StorageError(
                ErrorCode.LOG_CORRUPT, f"bad record at byte {end} of the log; {synced} bytes were synced"
            )
        identity = self._folder.read("identity")
        self._run_write(lambda: self._rewrite(identity, restored))
        return restored

    def _rewrite(self, identity: bytes, restored: Restored) -> None:
        """Write what was read to new files and sync these.

        What a file holds need not be on disk: the process that wrote it may have ended before its sync, or
        after a failed one, which a later sync of the same file does not repeat.
        """
        self._folder.stage("identity", identity)
        self._folder.put_in_place("identity")
        self._replace(restored.log.snapshot, restored.hard_state, restored.log.entries)

    def _read_log(self) -> bytes:
        try:
            return self._folder.read("log")
        except OSError as exc:
            raise StorageError(ErrorCode.LOG_CORRUPT, str(exc)) from exc

    def _read_synced(self, log_id: bytes) -> int:
        """Return the length, in bytes, of the log that is known to be synced; 0 if unknown."""
        try:
            data = self._folder.read("synced")
        except OSError:
            return 0
        if len(data) == _SYNCED_LENGTH.size:
            length, synced_id, checksum = _SYNCED_LENGTH.unpack(data)
        elif len(data) == _SYNCED_LENGTH_WITHOUT_ID.size:
            length, checksum = _SYNCED_LENGTH_WITHOUT_ID.unpack(data)
            synced_id = b""
        else:
            return 0
        is_valid = zlib.crc32(data[: -_CHECKSUM.size]) == checksum
        return length if is_valid and synced_id == log_id else 0

    def _open(self, end: int) -> None:
        self._descriptor = self._disk.open(self._folder.path_of("log"), os.O_WRONLY | os.O_APPEND)
        self._synced_descriptor = self._disk.open(self._folder.path_of("synced"), os.O_WRONLY | os.O_CREAT)
        self._size = end

    # ------------------------------------------------------------------ writing

    def save(self, hard_state: HardState | None, entries: list[messages.LogEntry]) -> None:
        parts = [pack_hard_state(hard_state)] if hard_state else []
        parts += [pack_entry(entry) for entry in entries]
        self._run_write(lambda: self._append(b"".join(parts)))

    def replace(self, snapshot: LogSnapshot, hard_state: HardState, entries: list[messages.LogEntry]) -> None:
        self._run_write(lambda: self._replace(snapshot, hard_state, entries))

    def size(self) -> int:
        return self._size if self._descriptor is not None else 0

    def close(self) -> None:
        """Close the log."""
        descriptors = (self._descriptor, self._synced_descriptor)
        self._descriptor = self._synced_descriptor = None
        for descriptor in descriptors:
            if descriptor is not None:
                self._disk.close(descriptor)

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
        self._folder.write(self._descriptor, data)
        self._disk.sync(self._descriptor)
        self._size += len(data)
        self._save_synced_length(self._size)

    def _replace(self, snapshot: LogSnapshot, hard_state: HardState, entries: list[messages.LogEntry]) -> None:
        # With an id of its own, the new file is never checked against the synced length of another one,
        # whichever of the two files a loss of power keeps.
        log_id = os.urandom(LOG_ID_BYTES)
        data = pack_log(snapshot, hard_state, entries, log_id)
        self._folder.stage("log", data)
        self._folder.put_in_place("log")
        self._folder.sync()
        self.close()
        self._log_id = log_id
        self._open(len(data))
        self._save_synced_length(len(data))

    def _save_synced_length(self, length: int) -> None:
        """Record the synced length in place, without further space. It is not synced: its loss weakens a check."""
        packed = struct.pack(">Q", length) + self._log_id
        self._disk.write_at(self._synced_descriptor, packed + _CHECKSUM.pack(zlib.crc32(packed)), 0)
