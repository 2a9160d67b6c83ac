# SPDX-License-Identifier: BSD-3-Clause
"""A disk in memory whose calls can fail, and which loses what was not synced when power is lost."""

import errno
import os
from random import Random

from lanedock.consensus.disk import Disk

__all__ = ["PowerLoss", "SimulatedDisk"]

SECTOR = 64


class PowerLoss:
    """Ways in which power is lost."""

    SYNCED = "only what was synced is kept"
    ALL = "everything that was written is kept"
    TORN = "any part of what was not synced is kept"


class _File:
    """A file: its cached content, its content on disk, and the ranges that differ."""

    def __init__(self):
        self.cached = bytearray()
        self.durable = bytearray()
        self.dirty: list[tuple[int, int]] = []

    def write(self, position: int, data: bytes) -> None:
        self.cached[position : position + len(data)] = data
        self.dirty.append((position, position + len(data)))

    def truncate(self, length: int) -> None:
        del self.cached[length:]
        self.dirty.append((length, max(length, len(self.durable))))

    def sync(self) -> None:
        for start, end in self.dirty:
            self._keep(start, end)
        del self.durable[len(self.cached) :]
        self.dirty = []

    def _keep(self, start: int, end: int) -> None:
        if len(self.durable) < start:
            self.durable.extend(bytes(start - len(self.durable)))
        self.durable[start:end] = self.cached[start:end]

    def fail_sync(self) -> None:
        """Drop the ranges to write: the cache counts as clean although the disk does not hold it."""
        self.dirty = []

    def tear(self, rng: Random) -> None:
        """Keep any of the sectors that were not synced."""
        for start, end in self.dirty:
            for position in range(start, end, SECTOR):
                if rng.random() < 0.5:
                    self._keep(position, min(position + SECTOR, end))
        self.dirty = []

    def lose_cache(self) -> None:
        self.cached = bytearray(self.durable)
        self.dirty = []


class SimulatedDisk(Disk):
    """Files in memory.

    Attributes
    ----------
    calls : list of str
        Names of the calls made so far.
    fail_from, fail_until : int
        Numbers of the first call that fails and of the first one after it that does not.
    error : int
        Error number of failing calls.
    """

    def __init__(self, folder: str):
        self.calls: list[str] = []
        self.fail_from = self.fail_until = 0
        self.error = errno.ENOSPC
        self._is_short = False
        self._folders = {folder}
        self._durable_folders = {folder}
        self._files: dict[str, _File] = {}
        self._durable_files: dict[str, _File] = {}
        self._open: dict[int, tuple[str, _File | None, list[int]]] = {}
        self._next_descriptor = 100

    def lose_power(self, kind: str, rng: Random) -> None:
        """Close all files, and forget what was not synced, or a part of it."""
        if kind == PowerLoss.ALL:
            self._sync_all()
        elif kind == PowerLoss.TORN:
            for path in {*self._files, *self._durable_files}:
                if rng.random() < 0.5:
                    self._sync_entry(path)
            for file in [*self._files.values(), *self._durable_files.values()]:
                file.tear(rng)
        self._folders = {path for path in self._durable_folders if self._is_reachable(path)}
        self._files = {path: file for path, file in self._durable_files.items() if self._is_reachable(path)}
        for file in self._files.values():
            file.lose_cache()
        self._open = {}

    def _is_reachable(self, path: str) -> bool:
        """Return whether all parents of a path are on disk."""
        while path != (parent := os.path.dirname(path)):
            path = parent
            if path not in self._durable_folders:
                return False
        return True

    def _sync_all(self) -> None:
        self._durable_folders = set(self._folders)
        self._durable_files = dict(self._files)
        for file in self._files.values():
            file.sync()

    def _sync_entry(self, path: str) -> None:
        if path in self._files:
            self._durable_files[path] = self._files[path]
        else:
            self._durable_files.pop(path, None)

    def _call(self, name: str) -> None:
        number = len(self.calls)
        self.calls.append(name)
        if self.fail_from <= number < self.fail_until:
            raise OSError(self.error, f"{os.strerror(self.error)} ({name})")

    def _find(self, path: str) -> _File:
        if path not in self._files:
            raise FileNotFoundError(errno.ENOENT, "No such file", path)
        return self._files[path]

    def read(self, path: str) -> bytes:
        self._call("read")
        return bytes(self._find(path).cached)

    def overwrite(self, path: str, data: bytes) -> bytes:
        """Replace what a file holds, on disk, too; return its former content."""
        file = self._find(path)
        former = bytes(file.cached)
        file.cached = bytearray(data)
        file.dirty = [(0, len(data))]
        file.sync()
        return former

    def make_folder(self, path: str) -> None:
        self._call("make_folder")
        self._folders.add(path)

    def is_folder(self, path: str) -> bool:
        return path in self._folders

    def open(self, path: str, flags: int) -> int:
        self._call("open")
        file = None
        if path not in self._folders:
            if flags & os.O_CREAT and os.path.dirname(path) in self._folders:
                self._files.setdefault(path, _File())
            file = self._find(path)
            if flags & os.O_TRUNC:
                file.truncate(0)
        self._next_descriptor += 1
        start = len(file.cached) if file is not None and flags & os.O_APPEND else 0
        self._open[self._next_descriptor] = (path, file, [start])
        return self._next_descriptor

    def write(self, descriptor: int, data: bytes) -> int:
        number = len(self.calls)
        if number == self.fail_from < self.fail_until and not self._is_short and len(data) > 1:
            # The first write that the disk has no room for writes a part; the next one fails.
            self._is_short = True
            self.fail_from += 1
            self.fail_until += 1
            data = data[: len(data) // 2]
        self._call("write")
        _, file, position = self._open[descriptor]
        file.write(position[0], data)
        position[0] += len(data)
        return len(data)

    def write_at(self, descriptor: int, data: bytes, position: int) -> int:
        self._call("write_at")
        self._open[descriptor][1].write(position, data)
        return len(data)

    def sync(self, descriptor: int) -> None:
        path, file, _ = self._open[descriptor]
        try:
            self._call("sync")
        except OSError:
            if file is not None:
                file.fail_sync()
            raise
        if file is not None:
            file.sync()
            return
        for entry in {*self._files, *self._durable_files}:
            if os.path.dirname(entry) == path:
                self._sync_entry(entry)
        self._durable_folders |= {folder for folder in self._folders if os.path.dirname(folder) == path}

    def close(self, descriptor: int) -> None:
        self.calls.append("close")
        del self._open[descriptor]

    def rename(self, path: str, new_path: str) -> None:
        self._call("rename")
        self._files[new_path] = self._find(path)
        del self._files[path]

    def remove(self, path: str) -> None:
        self._call("remove")
        self._find(path)
        del self._files[path]
