# SPDX-License-Identifier: BSD-3-Clause
"""Opening of a control instance's storage: its identity in the data folder, and its restored log."""

import secrets

from lanedock.consensus import FileStorage, Restored, StorageError
from lanedock.errors import ErrorCode
from lanedock.wire import messages

__all__ = ["OpenedStorage", "StorageOpener"]

FIRST_INCARNATION = "1"


class OpenedStorage:
    """A storage that can be written.

    Parameters
    ----------
    replica : str
        Id of the replica that owns the data folder, ``name@incarnation``.
    restored : Restored
    is_joining : bool
        Whether the folder was new, so that the replica has to request admission.
    """

    __slots__ = ("is_joining", "replica", "restored")

    def __init__(self, replica: str, restored: Restored, is_joining: bool = False):
        self.replica = replica
        self.restored = restored
        self.is_joining = is_joining

    def __repr__(self) -> str:
        return f"<OpenedStorage {self.replica} {self.restored!r}>"


class StorageOpener:
    """Opens a storage, also again after a failure.

    Parameters
    ----------
    storage : FileStorage
    name : str
        Name of the replica.
    names : list of str
        Names of all initial voters.
    is_initial : bool
        Whether a new folder starts as a voter. Given only once, when the mesh
        is set up: a replica that lost its disk must not vote under its former
        id, so without it a new folder joins under a new incarnation.
    """

    def __init__(self, storage: FileStorage, name: str, names: list[str], is_initial: bool):
        self._storage = storage
        self._name = name
        self._names = names
        self._is_initial = is_initial
        self._replica = ""
        self._is_joining = False

    def __repr__(self) -> str:
        return f"<StorageOpener {self._replica or self._name}>"

    def open(self) -> OpenedStorage:
        """Check that the folder belongs to this replica, initialize a new one, and restore the log.

        Raises
        ------
        StorageError
            `ErrorCode.DISK_FAILED` if the disk refuses a call; the next attempt may succeed.
            `ErrorCode.FOREIGN_FOLDER` if the folder belongs to another replica, or no longer
            to this one; `ErrorCode.LOG_CORRUPT`.
        """
        identity = self._storage.read_identity()
        if self._replica and identity != self._replica:
            raise StorageError(
                ErrorCode.FOREIGN_FOLDER,
                f"the data folder belongs to {identity or 'no replica'}, not to {self._replica}",
            )
        if not identity:
            identity = self._initialize()
        if identity.partition("@")[0] != self._name:
            raise StorageError(
                ErrorCode.FOREIGN_FOLDER, f"the data folder belongs to replica {identity}, not to {self._name}"
            )
        restored = self._storage.restore()
        self._replica = identity
        return OpenedStorage(identity, restored, self._is_joining)

    def _initialize(self) -> str:
        if self._is_initial:
            replica = f"{self._name}@{FIRST_INCARNATION}"
            membership = messages.Membership(voters=[f"{name}@{FIRST_INCARNATION}" for name in self._names])
        else:
            replica = f"{self._name}@{secrets.token_hex(4)}"
            membership = messages.Membership()
            self._is_joining = True
        self._storage.initialize(replica, membership)
        return replica


def _make_foreign_error(owner: str, replica: str) -> StorageError:
    return StorageError(ErrorCode.FOREIGN_FOLDER, f"the data folder belongs to replica {owner}, not to {replica}")
