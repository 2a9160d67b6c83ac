# SPDX-License-Identifier: BSD-3-Clause
"""Framing of serialized messages on a socket.

A frame is the length of a message, in four bytes, big endian, followed by the message.
"""

import socket
import struct

import gevent
from gevent.event import Event as Signal

from lanedock.clock import monotonic
from lanedock.settings import Address
from lanedock_daemon.sockets import open_connection
from lanedock_daemon.transport import CONNECT_TIMEOUT

__all__ = [
    "EMPTY_FRAME",
    "MAX_DAEMON_FRAME",
    "FrameWriter",
    "connect",
    "exchange_frames",
    "read_frames",
    "set_socket_options",
    "shut_down",
]

_LENGTH = struct.Struct(">I")
EMPTY_FRAME = _LENGTH.pack(0)
# Bytes. A longer frame is not a message of lanedock: configuration versions are limited to 16 MB.
MAX_FRAME = 64 * 1024 * 1024
# Bytes of a message from a daemon, of which reports on the daemons that a relay serves are the longest.
MAX_DAEMON_FRAME = 4 * 1024 * 1024
# Seconds for one frame. A version of 16 MB takes 85 s on a link of 1.5 Mbit/s.
FRAME_TIMEOUT = 120.0
# Bytes read from a socket at once.
RECEIVE_SIZE = 64 * 1024
# Seconds for the first messages of a connection, of which TLS has several: both
# processes may be starting up on a fraction of a core.
HANDSHAKE_TIMEOUT = 1.0
# Bytes queued for a peer above which no more messages are queued. A daemon's stream is
# then closed; the daemon reconnects and is sent only what it lacks.
MAX_BACKLOG = 8 * 1024 * 1024
# Milliseconds without an acknowledgement after which the kernel drops a connection. Data queued
# for it, up to `MAX_BACKLOG`, is then freed. The kernel's default is a quarter of an hour.
USER_TIMEOUT_MS = 10_000


class FrameWriter:
    """Sends queued frames over a connection, all that are queued at once."""

    def __init__(self, conn):
        self._conn = conn
        self._queue: list[bytes] = []
        self._size = 0
        self._wake = Signal()
        self._is_closed = False

    def put(self, data: bytes) -> bool:
        """Queue a message; return False if the writer is closed or its queue is full."""
        if self._is_closed or self._size > MAX_BACKLOG:
            return False
        self._queue.append(_LENGTH.pack(len(data)) + data)
        self._size += len(data)
        self._wake.set()
        return True

    def close(self) -> None:
        """Stop after everything that is queued has been sent."""
        self._is_closed = True
        self._wake.set()

    def run(self) -> None:
        """Send queued frames until `close` is called or the connection breaks."""
        while True:
            if not self._queue:
                if self._is_closed:
                    return
                self._wake.clear()
                self._wake.wait()
                continue
            batch, self._queue, self._size = self._queue, [], 0
            self._conn.sendall(b"".join(batch))


def read_frames(conn, handle_message, note_received=None, max_frame: int = MAX_FRAME) -> None:
    """Read frames until the connection ends, and pass each message to `handle_message`.

    Other greenlets run after each read, also if more bytes are there already.

    Parameters
    ----------
    conn : socket
    handle_message : callable
        Called with the bytes of a message.
    note_received : callable, optional
        Called without arguments whenever bytes are received, also those of an incomplete frame.
    max_frame : int
        Maximum length of a message, in bytes.

    Raises
    ------
    ConnectionError
        If a frame is longer than `max_frame`, or not complete `FRAME_TIMEOUT` after its first bytes.
    """
    buffer = bytearray()
    expires_at = None
    while data := conn.recv(RECEIVE_SIZE):
        if note_received is not None:
            note_received()
        buffer += data
        start = 0
        while len(buffer) - start >= _LENGTH.size:
            (length,) = _LENGTH.unpack_from(buffer, start)
            if length > max_frame:
                raise ConnectionError(f"received a frame of {length} bytes; the limit is {max_frame} bytes")
            end = start + _LENGTH.size + length
            if len(buffer) < end:
                break
            handle_message(bytes(buffer[start + _LENGTH.size : end]))
            start = end
        del buffer[:start]
        if not buffer:
            expires_at = None
        elif start or expires_at is None:
            expires_at = monotonic() + FRAME_TIMEOUT
        elif monotonic() > expires_at:
            raise ConnectionError(f"a frame was not complete after {FRAME_TIMEOUT:g} s")
        # A socket with unread data doesn't wait, so nothing else would run while its peer keeps sending.
        gevent.sleep(0)


def exchange_frames(conn, writer: FrameWriter, handle_message, max_frame: int = MAX_FRAME) -> str:
    """Read and write frames until either direction ends; return the reason."""
    reading = gevent.spawn(_run_until_ended, read_frames, conn, handle_message, None, max_frame)
    writing = gevent.spawn(_run_until_ended, writer.run)
    try:
        done = gevent.wait([reading, writing], count=1)
        return done[0].value
    finally:
        writer.close()
        gevent.killall([reading, writing])
        conn.close()


def shut_down(conn) -> None:
    """Shut a connection down, which wakes the greenlets that read from it or write to it."""
    try:
        conn.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass  # already closed


def _run_until_ended(function, *arguments) -> str:
    """Call a function; return why it ended."""
    try:
        function(*arguments)
    except (OSError, ValueError) as exc:
        return repr(exc)
    except Exception as exc:  # protobuf's DecodeError derives from neither of these
        return f"received a frame that cannot be decoded: {exc!r}"
    return "closed"


def set_socket_options(conn) -> None:
    """Disable Nagle's algorithm, and have the kernel drop a peer that acknowledges nothing."""
    conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)


def connect(address: Address, purpose: bytes, context, limit: float = CONNECT_TIMEOUT):
    """Connect within `limit` seconds, and send the byte that names the purpose of the connection.

    Raises
    ------
    OSError
    """
    conn = open_connection((address.host, address.port), limit)
    try:
        conn.settimeout(HANDSHAKE_TIMEOUT)
        set_socket_options(conn)
        if context is not None:
            conn = context.wrap_socket(conn)
        conn.settimeout(None)
        conn.sendall(purpose)
    except BaseException:
        conn.close()
        raise
    return conn
