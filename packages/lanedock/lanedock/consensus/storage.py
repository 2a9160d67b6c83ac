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
from contextlib import ExitStack

from lanedock.consensus.disk import Disk, DurableFolder, OpenFile, OsDisk
from lanedock.consensus.errors import StorageError
from lanedock.consensus.log import LogSnapshot
from lanedock.consensus.records import (
    HardState,
    Restored,
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
    """Durable storage of a replica's log. Calls that write return once the data is synced.

    After a failed write the storage refuses to write until `restore` has succeeded, as the
    stored data is not known: it may hold a part of a record, or count as synced without being on disk.
    """

    @abstractmethod
    def restore(self) -> Restored:
        """Return the stored hard state and log, once they are synced. May be called again after a failure.

        Raises
        ------
        StorageError
            `ErrorCode.LOG_CORRUPT` if the stored data is corrupt, `ErrorCode.DISK_FAILED` if the disk
            refuses a call.
        """

    @abstractmethod
    def save(self, hard_state: HardState | None, entries: list[messages.LogEntry]) -> None:
        """Append a hard state, if given, and entries, and sync them to disk.

        Raises
        ------
        StorageError
            `ErrorCode.DISK_FAILED`
        """

    @abstractmethod
    def replace(self, snapshot: LogSnapshot, hard_state: HardState, entries: list[messages.LogEntry]) -> None:
        """Replace all stored data atomically and sync it to disk.

        Raises
        ------
        StorageError
            `ErrorCode.DISK_FAILED`. The storage is still usable if the former data was not touched.
        """

    @property
    @abstractmethod
    def is_usable(self) -> bool:
        """Whether the storage can be written; if not, it has to be restored first."""

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
        self._folder = DurableFolder(folder, disk or OsDisk())
        self._log: OpenFile | None = None
        self._synced: OpenFile | None = None
        self._log_id = b""
        self._size = 0
        self._staged_id = b""
        self._staged_size = 0
        self._is_usable = False

    def __repr__(self) -> str:
        return f"<FileStorage {self._folder!r}>"

    @property
    def is_usable(self) -> bool:
        return self._is_usable

    # ---------------------------------------------------------------- identity

    def read_identity(self) -> str:
        """Return the id of the replica that owns the folder; empty for a new folder.

        Raises
        ------
        StorageError
            `ErrorCode.LOG_CORRUPT` or `ErrorCode.DISK_FAILED`
        """
        try:
            return (self._folder.read("identity") or b"").decode().strip()
        except UnicodeDecodeError as exc:
            raise StorageError(ErrorCode.LOG_CORRUPT, f"cannot read the identity file: {exc}") from exc

    def initialize(self, replica: str, membership: messages.Membership) -> None:
        """Create the folder's files for a new replica.

        Parameters
        ----------
        replica : str
            Id, ``name@incarnation``.
        membership : Membership
            The initial voters; empty for a replica that requests admission.

        Raises
        ------
        StorageError
            `ErrorCode.DISK_FAILED`; the call may be repeated.
        """
        self._folder.create()
        self._stage_log(LogSnapshot(0, 0, membership, b""), HardState(), [])
        self._install_log()
        self._folder.stage("identity", replica.encode())
        self._folder.put_in_place("identity")
        self._folder.sync()

    # ------------------------------------------------------------------ reading

    def restore(self) -> Restored:
        self.close()
        identity = self._folder.read("identity")
        data = self._folder.read("log")
        if not identity or data is None:
            raise StorageError(ErrorCode.LOG_CORRUPT, f"the files are gone from the data folder of {self!r}")
        restored, end = unpack_log(data)
        synced = self._read_synced(restored.log_id if restored is not None else b"")
        if end < synced or restored is None:
            raise StorageError(
                ErrorCode.LOG_CORRUPT, f"bad record at byte {end} of the log; {synced} bytes were synced"
            )
        self._rewrite(identity, restored)
        return restored

    def _rewrite(self, identity: bytes, restored: Restored) -> None:
        """Write what was read to new files and sync these.

        What a file holds need not be on disk: the process that wrote it may have ended before its sync, or
        after a failed one, which a later sync of the same file does not repeat.
        """
        self._stage_log(restored.log.snapshot, restored.hard_state, restored.log.entries)
        self._folder.stage("identity", identity)
        self._folder.put_in_place("identity")
        self._install_log()

    def _read_synced(self, log_id: bytes) -> int:
        """Return the length, in bytes, of the log that is known to be synced; 0 if unknown."""
        data = self._folder.read("synced") or b""
        if len(data) == _SYNCED_LENGTH.size:
            length, synced_id, checksum = _SYNCED_LENGTH.unpack(data)
        elif len(data) == _SYNCED_LENGTH_WITHOUT_ID.size:
            length, checksum = _SYNCED_LENGTH_WITHOUT_ID.unpack(data)
            synced_id = b""
        else:
            return 0
        is_valid = zlib.crc32(data[: -_CHECKSUM.size]) == checksum
        return length if is_valid and synced_id == log_id else 0

    # ------------------------------------------------------------------ writing

    def save(self, hard_state: HardState | None, entries: list[messages.LogEntry]) -> None:
        self._check_usable()
        parts = [pack_hard_state(hard_state)] if hard_state else []
        parts += [pack_entry(entry) for entry in entries]
        data = b"".join(parts)
        self._is_usable = False
        self._log.write(data)
        self._log.sync()
        self._size += len(data)
        self._save_synced_length()
        self._is_usable = True

    def replace(self, snapshot: LogSnapshot, hard_state: HardState, entries: list[messages.LogEntry]) -> None:
        self._check_usable()
        self._stage_log(snapshot, hard_state, entries)
        self._install_log()

    def size(self) -> int:
        return self._size if self._log is not None else 0

    def close(self) -> None:
        """Close the log. The storage has to be restored before it can be written again."""
        self._is_usable = False
        files = (self._log, self._synced)
        self._log = self._synced = None
        with ExitStack() as closing:
            for file in files:
                if file is not None:
                    closing.callback(file.close)

    def _check_usable(self) -> None:
        if not self._is_usable:
            raise StorageError(ErrorCode.DISK_FAILED, "the storage was not restored since an earlier call failed")

    def _stage_log(self, snapshot: LogSnapshot, hard_state: HardState, entries: list[messages.LogEntry]) -> None:
        # With an id of its own, the new file is never checked against the synced length of another one,
        # whichever of the two files a loss of power keeps.
        self._staged_id = os.urandom(LOG_ID_BYTES)
        data = pack_log(snapshot, hard_state, entries, self._staged_id)
        self._folder.stage("log", data)
        self._staged_size = len(data)

    def _install_log(self) -> None:
        """Replace the log by the staged one, and open it."""
        self._is_usable = False
        self._folder.put_in_place("log")
        self._folder.sync()
        self.close()
        self._log = self._folder.open("log", os.O_WRONLY | os.O_APPEND)
        self._synced = self._folder.open("synced", os.O_WRONLY | os.O_CREAT)
        self._log_id, self._size = self._staged_id, self._staged_size
        self._save_synced_length()
        self._is_usable = True

    def _save_synced_length(self) -> None:
        """Record the synced length in place, without further space. It is not synced: its loss weakens a check."""
        packed = struct.pack(">Q", self._size) + self._log_id
        self._synced.write_at(packed + _CHECKSUM.pack(zlib.crc32(packed)), 0)
