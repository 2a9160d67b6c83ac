# SPDX-License-Identifier: BSD-3-Clause
"""Format of the stored log: checksummed records of a snapshot, hard states and entries."""

import struct
import zlib

from lanedock.consensus.log import LogSnapshot, RaftLog
from lanedock.errors import LanedockError
from lanedock.wire import messages

__all__ = ["HardState", "Restored", "StorageError", "pack_entry", "pack_hard_state", "pack_log", "unpack_log"]

_HEADER = struct.Struct(">IIB")  # length of the payload, CRC-32 of kind and payload, kind
_HARD_STATE = struct.Struct(">Q")  # term; the id of the voted-for replica follows
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


def _pack(kind: int, payload: bytes) -> bytes:
    checksum = zlib.crc32(payload, kind)
    return _HEADER.pack(len(payload), checksum, kind) + payload


def pack_hard_state(state: HardState) -> bytes:
    """Return the record of a hard state."""
    return _pack(_KIND_HARD_STATE, _HARD_STATE.pack(state.term) + state.voted_for.encode())


def pack_entry(entry: messages.LogEntry) -> bytes:
    """Return the record of an entry."""
    return _pack(_KIND_ENTRY, entry.SerializeToString())


def _pack_snapshot(snapshot: LogSnapshot) -> bytes:
    request = messages.SnapshotRequest(last_index=snapshot.index, last_term=snapshot.term, state=snapshot.state)
    request.membership.CopyFrom(snapshot.membership)
    return _pack(_KIND_SNAPSHOT, request.SerializeToString())


def pack_log(snapshot: LogSnapshot, hard_state: HardState, entries: list[messages.LogEntry]) -> bytes:
    """Return the content of a whole log."""
    parts = [_pack_snapshot(snapshot), pack_hard_state(hard_state)]
    parts += [pack_entry(entry) for entry in entries]
    return b"".join(parts)


def unpack_log(data: bytes) -> tuple[Restored | None, int]:
    """Return the log that the records before the first bad one make up, and the byte position at which they end.

    The log is None where the first record is not a snapshot.
    """
    records, end = _unpack_records(data)
    if not records or records[0][0] != _KIND_SNAPSHOT:
        return None, end
    restored = _replay(records)
    restored.truncated_bytes = len(data) - end
    return restored, end


def _unpack_records(data: bytes) -> tuple[list[tuple[int, bytes]], int]:
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
