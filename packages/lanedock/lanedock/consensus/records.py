# SPDX-License-Identifier: BSD-3-Clause
"""Format of the stored log: checksummed records of a snapshot, hard states and entries."""

import struct
import zlib

from google.protobuf.message import DecodeError

from lanedock.consensus.log import LogSnapshot, RaftLog
from lanedock.wire import messages

__all__ = ["HardState", "Restored", "pack_entry", "pack_hard_state", "pack_log", "unpack_log"]

_HEADER = struct.Struct(">IIB")  # length of the payload, CRC-32 of kind and payload, kind
_HARD_STATE = struct.Struct(">Q")  # term; the id of the voted-for replica follows
_KIND_ENTRY = 1
_KIND_HARD_STATE = 2
_KIND_SNAPSHOT = 3
_MAX_RECORD_BYTES = 64 * 1024 * 1024


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
        Length, in bytes, of a torn tail that was dropped.
    log_id : bytes
        Id of the file; empty for a log written before logs had one.
    """

    __slots__ = ("hard_state", "log", "log_id", "truncated_bytes")

    def __init__(self, hard_state: HardState, log: RaftLog, truncated_bytes: int = 0, log_id: bytes = b""):
        self.hard_state = hard_state
        self.log = log
        self.log_id = log_id
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


def _pack_snapshot(snapshot: LogSnapshot, log_id: bytes) -> bytes:
    request = messages.SnapshotRequest(
        last_index=snapshot.index, last_term=snapshot.term, state=snapshot.state, log_id=log_id
    )
    request.membership.CopyFrom(snapshot.membership)
    return _pack(_KIND_SNAPSHOT, request.SerializeToString())


def pack_log(
    snapshot: LogSnapshot, hard_state: HardState, entries: list[messages.LogEntry], log_id: bytes = b""
) -> bytes:
    """Return the content of a whole log, which carries its id in the first record."""
    parts = [_pack_snapshot(snapshot, log_id), pack_hard_state(hard_state)]
    parts += [pack_entry(entry) for entry in entries]
    return b"".join(parts)


def unpack_log(data: bytes) -> tuple[Restored | None, int]:
    """Return the log that the records before the first bad one make up, and the byte position at which they end.

    A record is bad if it is incomplete, fails its checksum, or has no meaning at its place. The log is
    None where the first record is not a snapshot.
    """
    restored = None
    position = 0
    while (record := _unpack_record(data, position)) is not None:
        kind, payload, end = record
        try:
            restored = _apply_record(restored, kind, payload)
        except (DecodeError, ValueError, struct.error):
            break
        position = end
    if restored is not None:
        restored.truncated_bytes = len(data) - position
    return restored, position


def _unpack_record(data: bytes, position: int) -> tuple[int, bytes, int] | None:
    """Return the kind and payload of the record at a position, and its end; None if it is incomplete or damaged."""
    start = position + _HEADER.size
    if start > len(data):
        return None
    length, checksum, kind = _HEADER.unpack_from(data, position)
    payload = data[start : start + length]
    if length > _MAX_RECORD_BYTES or len(payload) < length or zlib.crc32(payload, kind) != checksum:
        return None
    return kind, payload, start + length


def _apply_record(restored: Restored | None, kind: int, payload: bytes) -> Restored:
    """Return the log after a further record.

    Raises
    ------
    ValueError, DecodeError, struct.error
        The record has no meaning at its place.
    """
    if restored is None:
        if kind != _KIND_SNAPSHOT:
            raise ValueError("the first record is not a snapshot")
        return _unpack_snapshot(payload)
    if kind == _KIND_ENTRY:
        entry = messages.LogEntry.FromString(payload)
        if not restored.log.snapshot.index < entry.index <= restored.log.last_index + 1:
            raise ValueError(f"entry {entry.index} does not follow {restored.log!r}")
        restored.log.append(entry)
    elif kind == _KIND_HARD_STATE:
        (term,) = _HARD_STATE.unpack_from(payload)
        restored.hard_state = HardState(term, payload[_HARD_STATE.size :].decode())
    else:
        raise ValueError(f"a record of kind {kind} behind the first one")
    return restored


def _unpack_snapshot(payload: bytes) -> Restored:
    request = messages.SnapshotRequest.FromString(payload)
    snapshot = LogSnapshot(request.last_index, request.last_term, request.membership, request.state)
    return Restored(HardState(), RaftLog(snapshot, []), log_id=request.log_id)
