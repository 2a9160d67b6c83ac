# SPDX-License-Identifier: BSD-3-Clause
"""Frames on a socket: serialized messages, each with its length in front.

A frame is a length of four bytes, big endian, and a message.
"""

import socket
import struct

import gevent
from gevent.event import Event as Signal

from lanedock.settings import Address
from lanedock_daemon.sockets import open_connection
from lanedock_daemon.transport import CONNECT_TIMEOUT

__all__ = [
    "EMPTY_FRAME",
    "FrameWriter",
    "connect",
    "end_connection",
    "read_frames",
    "run_both",
    "tune",
]

_LENGTH = struct.Struct(">I")
EMPTY_FRAME = _LENGTH.pack(0)
# A longer frame is no message of lanedock's: versions are at most 16 MB.
MAX_FRAME = 64 * 1024 * 1024
RECEIVE = 64 * 1024
# Seconds for a connection's first messages, of which TLS has several: both sides
# may be starting, on a part of a core.
HANDSHAKE_TIMEOUT = 1.0
# A reader that has not taken this many bytes is cut off; it comes back and is
# then sent only what it lacks.
MAX_BACKLOG = 8 * 1024 * 1024
# A peer that acknowledges nothing for this long, in milliseconds, is gone: what waits to
# be written to it, up to `MAX_BACKLOG`, is let go. The kernel's own limit is a quarter of an hour.
USER_TIMEOUT_MS = 10_000


class FrameWriter:
    """Sends frames from a queue, several at once where several wait."""

    def __init__(self, conn):
        self._conn = conn
        self._queue: list[bytes] = []
        self._size = 0
        self._wake = Signal()
        self._is_closed = False

    def put(self, data: bytes) -> bool:
        """Queue a message; False where the other side takes nothing any more."""
        if self._is_closed or self._size > MAX_BACKLOG:
            return False
        self._queue.append(_LENGTH.pack(len(data)) + data)
        self._size += len(data)
        self._wake.set()
        return True

    def close(self) -> None:
        """Stop once all that is queued was sent."""
        self._is_closed = True
        self._wake.set()

    def run(self) -> None:
        """Send until closed or the connection breaks."""
        while True:
            if not self._queue:
                if self._is_closed:
                    return
                self._wake.clear()
                self._wake.wait()
                continue
            batch, self._queue, self._size = self._queue, [], 0
            self._conn.sendall(b"".join(batch))


def read_frames(conn, take, note_received=None) -> None:
    """Read frames until the connection ends, and hand each to `take`.

    Parameters
    ----------
    conn : socket
    take : callable
        Takes a message's bytes.
    note_received : callable, optional
        Called without arguments whenever bytes have come, also of a frame that hasn't ended.
    """
    buffer = bytearray()
    while data := conn.recv(RECEIVE):
        if note_received is not None:
            note_received()
        buffer += data
        start = 0
        while len(buffer) - start >= _LENGTH.size:
            (length,) = _LENGTH.unpack_from(buffer, start)
            if length > MAX_FRAME:
                raise ConnectionError(f"a frame of {length} bytes")
            end = start + _LENGTH.size + length
            if len(buffer) < end:
                break
            take(bytes(buffer[start + _LENGTH.size : end]))
            start = end
        del buffer[:start]


def run_both(conn, writer: FrameWriter, take) -> str:
    """Read and write until either ends; returns the reason."""
    reading = gevent.spawn(_guarded, read_frames, conn, take)
    writing = gevent.spawn(_guarded, writer.run)
    try:
        done = gevent.wait([reading, writing], count=1)
        return done[0].value
    finally:
        writer.close()
        gevent.killall([reading, writing])
        conn.close()


def end_connection(conn) -> None:
    """End a connection for whoever reads from it or writes to it."""
    try:
        conn.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass  # it has ended by itself


def _guarded(function, *arguments) -> str:
    try:
        function(*arguments)
    except (OSError, ValueError) as exc:
        return repr(exc)
    except Exception as exc:  # protobuf's DecodeError has no common base here
        return f"not a message: {exc!r}"
    return "closed"


def tune(conn) -> None:
    """Send frames at once, and let go of a peer that is gone."""
    conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)


def connect(address: Address, purpose: bytes, context, limit: float = CONNECT_TIMEOUT):
    """Connect within `limit` seconds, and say what for.

    Raises
    ------
    OSError
    """
    conn = open_connection((address.host, address.port), limit)
    try:
        conn.settimeout(HANDSHAKE_TIMEOUT)
        tune(conn)
        if context is not None:
            conn = context.wrap_socket(conn)
        conn.settimeout(None)
        conn.sendall(purpose)
    except BaseException:
        conn.close()
        raise
    return conn
