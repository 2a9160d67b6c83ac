# SPDX-License-Identifier: BSD-3-Clause
"""The system calls with which durable data is stored, and files that are replaced atomically."""

import os
from abc import ABC, abstractmethod

__all__ = ["Disk", "DurableFolder", "OsDisk"]

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


class DurableFolder:
    """A folder whose files are replaced as a whole.

    All methods raise `OSError`.

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

    def path_of(self, name: str) -> str:
        """Return the path of a file in the folder."""
        return os.path.join(self._path, name)

    def create(self) -> None:
        """Make the folder and its missing parents, and sync the entry of each."""
        missing = []
        path = os.path.abspath(self._path)
        while not self._disk.is_folder(path):
            missing.append(path)
            path = os.path.dirname(path)
        for path in reversed(missing):
            self._disk.make_folder(path)
            self._sync_entries(os.path.dirname(path))

    def read(self, name: str) -> bytes:
        """Return the content of a file."""
        return self._disk.read(self.path_of(name))

    def stage(self, name: str, data: bytes) -> None:
        """Write the new content of a file beside it, and sync that. The file itself is not touched."""
        path = self.path_of(name + NEW_SUFFIX)
        descriptor = self._disk.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC)
        try:
            self.write(descriptor, data)
            self._disk.sync(descriptor)
        finally:
            self._disk.close(descriptor)

    def put_in_place(self, name: str) -> None:
        """Put the staged content of a file in its place. It is there for good once the folder is synced."""
        self._disk.rename(self.path_of(name + NEW_SUFFIX), self.path_of(name))

    def write(self, descriptor: int, data: bytes) -> None:
        """Write all of the data to an open file."""
        view = memoryview(data)
        while view:
            view = view[self._disk.write(descriptor, view) :]

    def sync(self) -> None:
        """Sync the folder's entries."""
        self._sync_entries(self._path)

    def _sync_entries(self, path: str) -> None:
        descriptor = self._disk.open(path, os.O_RDONLY)
        try:
            self._disk.sync(descriptor)
        finally:
            self._disk.close(descriptor)
