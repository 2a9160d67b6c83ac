# SPDX-License-Identifier: BSD-3-Clause
"""The system calls with which durable data is stored, and files that are replaced atomically."""

import os
from abc import ABC, abstractmethod
from contextlib import contextmanager

from lanedock.consensus.errors import StorageError
from lanedock.errors import ErrorCode

__all__ = ["Disk", "DurableFolder", "OpenFile", "OsDisk"]

# Suffix of the file that holds a file's new content until it takes the file's place.
NEW_SUFFIX = ".new"


class Disk(ABC):
    """System calls on files. Each raises `OSError` where the system refuses it."""

    @abstractmethod
    def read(self, path: str) -> bytes:
        """Return the whole content of a file."""

    @abstractmethod
    def is_folder(self, path: str) -> bool:
        """Return whether a folder of this path exists."""

    @abstractmethod
    def make_folder(self, path: str) -> None:
        """Make a folder in an existing one."""

    @abstractmethod
    def open(self, path: str, flags: int) -> int:
        """Open a file or folder; `flags` are those of `os.open`. Return its descriptor."""

    @abstractmethod
    def write(self, descriptor: int, data: bytes) -> int:
        """Write at the descriptor's position; return the number of bytes written, which may be fewer."""

    @abstractmethod
    def write_at(self, descriptor: int, data: bytes, position: int) -> int:
        """Write at a byte position of an open file; return the number of bytes written."""

    @abstractmethod
    def sync(self, descriptor: int) -> None:
        """Return once all data of an open file, or the entries of an open folder, are on disk.

        After an error, the data may be lost although a later call succeeds.
        """

    @abstractmethod
    def close(self, descriptor: int) -> None:
        """Close a descriptor."""

    @abstractmethod
    def rename(self, path: str, new_path: str) -> None:
        """Rename a file, replacing the file at the new path."""

    @abstractmethod
    def remove(self, path: str) -> None:
        """Remove a file."""


class OsDisk(Disk):
    """The system calls of this process."""

    def read(self, path: str) -> bytes:
        with open(path, "rb") as file:
            return file.read()

    def is_folder(self, path: str) -> bool:
        return os.path.isdir(path)

    def make_folder(self, path: str) -> None:
        os.mkdir(path)

    def open(self, path: str, flags: int) -> int:
        return os.open(path, flags, 0o666)

    def write(self, descriptor: int, data: bytes) -> int:
        return os.write(descriptor, data)

    def write_at(self, descriptor: int, data: bytes, position: int) -> int:
        return os.pwrite(descriptor, data, position)

    def sync(self, descriptor: int) -> None:
        os.fsync(descriptor)

    def close(self, descriptor: int) -> None:
        os.close(descriptor)

    def rename(self, path: str, new_path: str) -> None:
        os.replace(path, new_path)

    def remove(self, path: str) -> None:
        os.remove(path)


@contextmanager
def _reporting(call: str, path: str):
    """Turn a refused system call into a `StorageError` that names the call and the file."""
    try:
        yield
    except OSError as exc:
        raise StorageError(ErrorCode.DISK_FAILED, f"{call} {path}: {exc.strerror or exc}") from exc


class OpenFile:
    """An open file, whose calls raise `StorageError`.

    Parameters
    ----------
    path : str
    flags : int
        Of `os.open`.
    disk : Disk
    """

    def __init__(self, path: str, flags: int, disk: Disk):
        self._path = path
        self._disk = disk
        with _reporting("open", path):
            self._descriptor = disk.open(path, flags)

    def __repr__(self) -> str:
        return f"<OpenFile {self._path}>"

    def __enter__(self) -> "OpenFile":
        return self

    def __exit__(self, *exc) -> None:
        self.close()

    def write(self, data: bytes) -> None:
        """Write all of the data."""
        view = memoryview(data)
        with _reporting("write", self._path):
            while view:
                view = view[self._disk.write(self._descriptor, view) :]

    def write_at(self, data: bytes, position: int) -> None:
        """Write a few bytes at a byte position."""
        with _reporting("write", self._path):
            self._disk.write_at(self._descriptor, data, position)

    def sync(self) -> None:
        """Return once what was written is on disk."""
        with _reporting("sync", self._path):
            self._disk.sync(self._descriptor)

    def close(self) -> None:
        """Close the file."""
        with _reporting("close", self._path):
            self._disk.close(self._descriptor)


class DurableFolder:
    """A folder whose files are replaced as a whole. All methods raise `StorageError`.

    Parameters
    ----------
    path : str
    disk : Disk
    """

    def __init__(self, path: str, disk: Disk):
        self._path = path
        self._disk = disk

    def __repr__(self) -> str:
        return f"<DurableFolder {self._path}>"

    def _path_of(self, name: str) -> str:
        return os.path.join(self._path, name)

    def create(self) -> None:
        """Make the folder and its missing parents, and sync the entries of all parents.

        Also of those that exist: an earlier call may have made them and failed before it had synced them.
        """
        path = os.path.abspath(self._path)
        parents = []
        while (parent := os.path.dirname(path)) != path:
            parents.append((parent, path))
            path = parent
        for parent, path in reversed(parents):
            if not self._disk.is_folder(path):
                with _reporting("mkdir", path):
                    self._disk.make_folder(path)
            self._sync_parent(parent)

    def _sync_parent(self, path: str) -> None:
        try:
            self._sync_entries(path)
        except StorageError as exc:
            # A folder that this process may not open is not one that it has made.
            if not isinstance(exc.__cause__, PermissionError):
                raise

    def read(self, name: str) -> bytes | None:
        """Return the content of a file; None if there is no such file."""
        path = self._path_of(name)
        with _reporting("read", path):
            try:
                return self._disk.read(path)
            except FileNotFoundError:
                return None

    def open(self, name: str, flags: int) -> OpenFile:
        """Open a file of the folder."""
        return OpenFile(self._path_of(name), flags, self._disk)

    def stage(self, name: str, data: bytes) -> None:
        """Write the new content of a file beside it, and sync that. The file itself is not touched."""
        try:
            with self.open(name + NEW_SUFFIX, os.O_WRONLY | os.O_CREAT | os.O_TRUNC) as file:
                file.write(data)
                file.sync()
        except StorageError:
            self._remove_staged(name)
            raise

    def _remove_staged(self, name: str) -> None:
        """Free the space of a file that could not be staged."""
        try:
            self._disk.remove(self._path_of(name + NEW_SUFFIX))
        except OSError:
            pass  # the error that led here is raised; the next attempt empties the file

    def put_in_place(self, name: str) -> None:
        """Put the staged content of a file in its place. It is there for good once the folder is synced."""
        path = self._path_of(name)
        with _reporting("rename", path):
            self._disk.rename(path + NEW_SUFFIX, path)

    def sync(self) -> None:
        """Sync the folder's entries."""
        self._sync_entries(self._path)

    def _sync_entries(self, path: str) -> None:
        with OpenFile(path, os.O_RDONLY, self._disk) as folder:
            folder.sync()
