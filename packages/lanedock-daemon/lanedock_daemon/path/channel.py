# SPDX-License-Identifier: BSD-3-Clause
"""A TCP connection of the request path, cheaper than gevent's socket.

gevent's socket tries each read before it waits, asks the kernel for the size of
its buffer before each write, and makes a timer for each wait. On the request
path the bytes that are read for are hardly ever there yet. So a read waits
first, the watcher for reading stays active from one read to the next, and one
timer serves all waits of a connection.
"""

import _socket
import struct

from gevent import get_hub, getcurrent
from gevent.socket import wait_write

from lanedock.clock import monotonic
from lanedock_daemon.path.http import NEVER

__all__ = ["Channel"]

_READ = 1
# For SO_LINGER: on, for no time.
_RESET = struct.pack("ii", 1, 0)
_READY = object()
_EXPIRED = object()
_CLOSED = object()


class Channel:
    """A connected socket; one task at a time reads from it.

    Parameters
    ----------
    conn : gevent.socket.socket
        Connected. Its descriptor is taken over.
    """

    __slots__ = (
        "_deadline",
        "_expires_at",
        "_fires_at",
        "_is_closed",
        "_is_readable",
        "_loop",
        "_reader",
        "_sock",
        "_timeout",
        "_timer",
        "_watcher",
    )

    def __init__(self, conn):
        family, kind, proto = conn.family, conn.type, conn.proto
        # The plain C object: gevent's has watchers of its own.
        self._sock = _socket.socket(family, kind, proto, conn.detach())
        self._sock.setblocking(False)
        self._loop = get_hub().loop
        self._watcher = self._loop.io(self._sock.fileno(), _READ)
        self._timer = None
        self._timeout: float | None = None
        self._deadline = NEVER
        self._expires_at = NEVER
        self._fires_at = NEVER
        self._reader = None
        self._is_readable = False
        self._is_closed = False

    def __repr__(self) -> str:
        return f"<Channel fd={self._sock.fileno()}>"

    def settimeout(self, timeout: float | None) -> None:
        """Set the longest wait of one read or write, in seconds; None for any. A deadline ends."""
        self._timeout = timeout
        self._deadline = NEVER

    def set_deadline(self, deadline: float) -> None:
        """Set when all waits from now on end together, monotonic seconds.

        What has come by then is still read: it is at hand.
        """
        self._timeout = None
        self._deadline = deadline

    def reset_on_close(self) -> None:
        """Have `close` reset the connection, so that nobody takes its end for the end of a message."""
        self._sock.setsockopt(_socket.SOL_SOCKET, _socket.SO_LINGER, _RESET)

    def shutdown(self, how: int) -> None:
        """End one direction, as a socket's own method does."""
        self._sock.shutdown(how)

    def is_clean(self) -> bool:
        """Tell whether a connection is open and silent.

        A readable one is closed, or has bytes on it that nobody has read. Behind such bytes its
        end can't be seen: the kernel sends a process's last bytes after it has ended.
        """
        if self._is_readable or self._is_closed:
            return False
        try:
            self._sock.recv(1, _socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    # ------------------------------------------------------------------ reading

    def recv(self, size: int) -> bytes:
        """Return up to `size` bytes once there are some; empty at the end.

        Raises
        ------
        TimeoutError
        OSError
            The connection broke, or was closed meanwhile.
        """
        is_in_time = True
        if self._is_readable:
            self._is_readable = False
        else:
            is_in_time = self._wait_readable()
        while True:
            try:
                return self._sock.recv(size)
            except BlockingIOError:
                if not is_in_time:
                    raise TimeoutError("timed out") from None
                is_in_time = self._wait_readable()

    def wait(self, timeout: float) -> bool:
        """Wait for bytes, or for the connection's end; False where nothing came in time.

        Parameters
        ----------
        timeout : float
            Seconds.
        """
        if self._is_readable:
            return True
        kept, self._timeout = self._timeout, max(0.0, timeout)
        try:
            self._is_readable = self._wait_readable()
        finally:
            self._timeout = kept
        return self._is_readable

    def _wait_readable(self) -> bool:
        """Wait until there is something to read; False where the time was over first."""
        if self._is_closed:
            raise ConnectionError("the connection was closed")
        if not self._watcher.active:
            self._watcher.start(self._on_readable)
        if self._timeout is not None:
            self._arm(monotonic() + self._timeout)
        elif self._deadline == NEVER:
            self._expires_at = NEVER
        elif self._deadline <= monotonic():
            return False
        else:
            self._arm(self._deadline)
        self._reader = getcurrent()
        hub = self._reader.parent if self._reader.parent is not None else get_hub()
        outcome = None
        try:
            # Whoever else wakes this task has no word on the connection.
            while outcome not in (_READY, _EXPIRED, _CLOSED):
                outcome = hub.switch()
        finally:
            self._reader = None
        if outcome is _CLOSED:
            raise ConnectionError("the connection was closed")
        return outcome is _READY

    def _on_readable(self) -> None:
        """Hand what came to the reader; without one, note that something came."""
        if self._reader is not None:
            self._wake(_READY)
            return
        self._is_readable = True
        self._watcher.stop()

    def _wake(self, outcome: object) -> None:
        reader, self._reader = self._reader, None
        reader.switch(outcome)

    def _arm(self, expires_at: float) -> None:
        """Have the wait end at a time; a timer that fires sooner serves, too."""
        self._expires_at = expires_at
        if self._timer is not None:
            if self._timer.active and self._fires_at <= expires_at:
                return
            self._timer.close()
        self._start_timer(max(0.0, expires_at - monotonic()))

    def _start_timer(self, seconds: float) -> None:
        self._fires_at = self._expires_at
        self._timer = self._loop.timer(seconds)
        self._timer.start(self._on_timer)

    def _on_timer(self) -> None:
        self._timer.stop()
        left = self._expires_at - monotonic()
        if self._reader is None or self._expires_at == NEVER:
            return
        if left <= 0:
            self._wake(_EXPIRED)
        else:
            self._timer.close()
            self._start_timer(left)

    # ------------------------------------------------------------------ writing

    def sendall(self, data: bytes) -> None:
        """Write all of it.

        Raises
        ------
        TimeoutError
        OSError
        """
        try:
            sent = self._sock.send(data)
        except BlockingIOError:
            sent = 0
        if sent < len(data):
            self._send_rest(memoryview(data)[sent:])

    def _send_rest(self, rest: memoryview) -> None:
        while rest:
            timeout = self._timeout
            if self._deadline != NEVER:
                timeout = self._deadline - monotonic()
                if timeout <= 0:
                    raise TimeoutError("timed out")
            wait_write(self._sock.fileno(), timeout, TimeoutError("timed out"))
            try:
                rest = rest[self._sock.send(rest) :]
            except BlockingIOError:
                continue

    def close(self) -> None:
        """Close it; a task that reads is woken by an error."""
        if self._is_closed:
            return
        self._is_closed = True
        self._watcher.close()
        if self._timer is not None:
            self._timer.close()
        self._sock.close()
        if self._reader is not None and self._reader is not getcurrent():
            reader, self._reader = self._reader, None
            self._loop.run_callback(reader.switch, _CLOSED)
