# SPDX-License-Identifier: BSD-3-Clause
"""A replicated log: pure consensus core and its durable storage."""

from lanedock.consensus.core import Ready, ReplicaRole, Timing
from lanedock.consensus.errors import StorageError
from lanedock.consensus.log import LogSnapshot, RaftLog
from lanedock.consensus.records import HardState, Restored
from lanedock.consensus.replica import RaftReplica
from lanedock.consensus.storage import FileStorage, LogStorage

__all__ = [
    "FileStorage",
    "HardState",
    "LogSnapshot",
    "LogStorage",
    "RaftLog",
    "RaftReplica",
    "Ready",
    "ReplicaRole",
    "Restored",
    "StorageError",
    "Timing",
]
