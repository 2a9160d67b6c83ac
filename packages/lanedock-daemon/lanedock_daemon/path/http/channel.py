# SPDX-License-Identifier: BSD-3-Clause
"""A TCP connection of the request path with less overhead than gevent's socket.

gevent's socket tries each read before it waits, asks the kernel for the size of
its buffer before each write, and creates a timer for each wait. On the request
path data has hardly ever arrived when it is read. So `Channel` waits before each
read, keeps the read watcher active between reads, and uses one timer for all
waits of a connection.

The kernel reports an error of a socket only once, to whoever looks first, and the end of the stream to
everybody after that. So a channel keeps the error for all later readers.
"""

import _socket
import struct
from fcntl import ioctl
from select import POLLIN, POLLRDHUP
from termios import FIONREAD, TIOCOUTQ

from gevent import get_hub, getcurrent
from gevent.monkey import get_original

from lanedock.clock import monotonic
from lanedock_daemon.path.http.messages import NEVER

__all__ = ["DISCARD_SIZE", "Channel"]

_READ_EVENT = 1
_WRITE_EVENT = 2
_READ_OR_WRITE_EVENT = _READ_EVENT | _WRITE_EVENT
DISCARD_SIZE = 64 * 1024
# Reads of `DISCARD_SIZE` bytes for which input is discarded at once; a receive buffer holds little more.
MAX_DISCARD_READS = 100
# Values of SO_LINGER: with a time of 0 s, closing the socket sends a reset.
_ABORTIVE_CLOSE = struct.pack("ii", 1, 0)
_ORDERLY_CLOSE = struct.pack("ii", 0, 0)
# Layout of Linux's `tcp_info` (linux/tcp.h), up to the milliseconds since the last segment with an acknowledgement.
_TCP_INFO = struct.Struct("8B13I")
# The system's own poll, which returns at once; gevent's would switch to other greenlets.
_poll = get_original("select", "poll")
_READY = object()
_EXPIRED = object()
_CLOSED = object()


class Channel:
    """A connected non-blocking socket, read by at most one greenlet at a time.

    Parameters
    ----------
    conn : gevent.socket.socket
        Connected socket; the channel takes over its descriptor.

    Attributes
    ----------
    written : int
        Number of bytes written, that is, handed to the kernel.
    """

    __slots__ = (
        "_deadline",
        "_discards_input",
        "_end_poll",
        "_error",
        "_expires_at",
        "_fires_at",
        "_is_closed",
        "_is_readable",
        "_late_bytes",
        "_loop",
        "_reader",
        "_sock",
        "_timeout",
        "_timer",
        "_user_timeout_ms",
        "_watcher",
        "_writers",
        "written",
    )

    def __init__(self, conn):
        family, kind, proto = conn.family, conn.type, conn.proto
        # The plain C socket: gevent's socket would create its own watchers.
        self._sock = _socket.socket(family, kind, proto, conn.detach())
        self._sock.setblocking(False)
        self._loop = get_hub().loop
        self._watcher = self._loop.io(self._sock.fileno(), _READ_EVENT)
        self._timer = None
        self._timeout: float | None = None
        self._deadline = NEVER
        self._expires_at = NEVER
        self._fires_at = NEVER
        self._reader = None
        # The greenlets that wait in a write, and their watchers.
        self._writers: dict = {}
        self._is_readable = False
        self._is_closed = False
        self._discards_input = False
        self._error: OSError | None = None
        # Bytes that may still be read after the deadline; None before the first such read.
        self._late_bytes: int | None = None
        # Made at the first look for the peer's end.
        self._end_poll = None
        self.written = 0
        self._user_timeout_ms: int | None = None

    def __repr__(self) -> str:
        return f"<Channel fd={self._sock.fileno()}>"

    def settimeout(self, timeout: float | None) -> None:
        """Limit the wait of each read or write, in seconds; None for no limit. Clears the deadline."""
        self._timeout = timeout
        self._deadline = NEVER

    def set_deadline(self, deadline: float) -> None:
        """Set a common deadline for all later waits, in monotonic seconds. Clears the timeout.

        Data that has arrived by then can still be read, but nothing that keeps arriving.
        """
        self._timeout = None
        self._deadline = deadline
        self._late_bytes = None

    def set_user_timeout(self, timeout_ms: int) -> None:
        """Set after how many milliseconds without an acknowledgement the kernel ends the connection; 0 for its default.

        The kernel also ends the connection of a peer that acknowledges everything and whose window stays closed.
        """
        if timeout_ms != self._user_timeout_ms:
            self._user_timeout_ms = timeout_ms
            self._sock.setsockopt(_socket.IPPROTO_TCP, _socket.TCP_USER_TIMEOUT, timeout_ms)

    def reset_on_close(self, is_reset: bool = True) -> None:
        """Set whether a close resets the connection, so that the peer doesn't take its end for the end of a message.

        Applies to the end of the process, too.
        """
        value = _ABORTIVE_CLOSE if is_reset else _ORDERLY_CLOSE
        self._sock.setsockopt(_socket.SOL_SOCKET, _socket.SO_LINGER, value)

    def shutdown(self, how: int) -> None:
        """Shut down one direction, as `socket.socket.shutdown` does."""
        self._sock.shutdown(how)

    def is_clean(self) -> bool:
        """Return whether the connection is open and has no unread data.

        A readable connection was closed by the peer, has failed or has unread data. Unread data hides a
        close that follows it: the kernel still delivers a process's last bytes after its end.
        Takes nothing from the reader, neither data nor an error.
        """
        if self._is_readable or self._is_closed or self._error is not None:
            return False
        poller = _poll()
        poller.register(self._sock.fileno(), POLLIN)
        return not poller.poll(0)

    def has_peer_ended(self) -> bool:
        """Return whether the peer has ended its sending side or reset the connection, or this process has closed it.

        The end counts from when it has arrived, also while unread data lies before it (POLLRDHUP, poll(2)). Takes
        nothing from the reader, neither data nor an error.
        """
        if self._is_closed or self._error is not None:
            return True
        if self._end_poll is None:
            self._end_poll = _poll()
            self._end_poll.register(self._sock.fileno(), POLLRDHUP)
        return bool(self._end_poll.poll(0))

    def is_connected(self) -> bool:
        """Return whether the connection is established, at least in one direction, and neither reset nor closed."""
        try:
            self._sock.getpeername()
        except OSError:
            return False
        return True

    def count_unsent_bytes(self) -> int:
        """Return how many written bytes the peer has not acknowledged; an unacknowledged end of the stream counts as 1.

        Returns 0 if the connection is broken or the system can't tell.
        """
        return self._read_queue_size(TIOCOUTQ)

    def count_unread_bytes(self) -> int:
        """Return how many received bytes have not been read; 0 if the system can't tell."""
        return self._read_queue_size(FIONREAD)

    def silent_time(self) -> float | None:
        """Return the seconds since the peer's last segment arrived; None if the system can't tell.

        Each segment of an established connection acknowledges; one that resets it is not counted.
        """
        if self._is_closed:
            return None
        try:
            info = self._sock.getsockopt(_socket.IPPROTO_TCP, _socket.TCP_INFO, _TCP_INFO.size)
        except OSError:
            return None
        return _TCP_INFO.unpack(info)[-1] / 1000 if len(info) == _TCP_INFO.size else None

    def _read_queue_size(self, request: int) -> int:
        if self._is_closed:
            return 0
        try:
            return struct.unpack("i", ioctl(self._sock.fileno(), request, bytes(4)))[0]
        except OSError:
            return 0

    # ------------------------------------------------------------------ reading

    def recv(self, size: int) -> bytes:
        """Wait for data and return up to `size` bytes; empty at the end of the stream.

        Raises
        ------
        TimeoutError
        OSError
            The connection broke, whether a read or a write noticed it first, or was closed during the wait.
            Data that arrived before is returned first.
        """
        if self._is_readable:
            self._is_readable = False
            is_in_time = self._deadline == NEVER or monotonic() < self._deadline
        else:
            is_in_time = self._wait_readable()
        while True:
            if not is_in_time and self._deadline != NEVER:
                return self._read_late(size)
            try:
                return self._read(size)
            except BlockingIOError:
                if not is_in_time:
                    raise TimeoutError("timed out") from None
                is_in_time = self._wait_readable()

    def _read_late(self, size: int) -> bytes:
        """Read after the deadline, up to what had arrived at the first such read."""
        if self._late_bytes is None:
            # One more, which shows the end of the stream or an error behind the data.
            self._late_bytes = self.count_unread_bytes() + 1
        if not self._late_bytes:
            raise TimeoutError("timed out")
        try:
            data = self._read(min(size, self._late_bytes))
        except BlockingIOError:
            raise TimeoutError("timed out") from None
        self._late_bytes -= len(data)
        return data

    def _read(self, size: int) -> bytes:
        try:
            data = self._sock.recv(size)
        except BlockingIOError:
            raise
        except OSError as exc:
            self._error = exc
            raise
        if not data and self._error is not None:
            raise OSError(*self._error.args)
        if data and self._discards_input:
            raise BlockingIOError
        return data

    @property
    def discards_input(self) -> bool:
        """Whether reads return no data any more, only the end of the stream."""
        return self._discards_input

    def discard_input(self) -> None:
        """Discard the unread input, and what later reads get: a close with unread input resets the connection."""
        self._discards_input = True
        try:
            for _ in range(MAX_DISCARD_READS):
                if not self._sock.recv(DISCARD_SIZE):
                    return
        except BlockingIOError:
            pass
        except OSError as exc:
            self._error = exc

    def wait(self, timeout: float) -> bool:
        """Wait for data or the end of the stream; return False if neither came within the timeout.

        Parameters
        ----------
        timeout : float
            Seconds.
        """
        if not self._is_readable:
            self._is_readable = self._wait_readable(max(0.0, timeout))
        return self._is_readable

    def expire_wait(self) -> None:
        """Time out the read that another greenlet waits in, if there is one."""
        if self._reader is not None:
            self._set_timer(monotonic())

    def _wait_readable(self, timeout: float | None = None) -> bool:
        """Wait until the socket is readable; return False if the timeout or deadline passed first.

        A `timeout` replaces the one of the channel, which writes by other greenlets use meanwhile.
        """
        if self._is_closed:
            raise ConnectionError("the connection was closed")
        if not self._watcher.active:
            self._watcher.start(self._on_readable)
        if timeout is None:
            timeout = self._timeout
        if timeout is not None:
            self._set_timer(monotonic() + timeout)
        elif self._deadline == NEVER:
            self._expires_at = NEVER
        elif self._deadline <= monotonic():
            return False
        else:
            self._set_timer(self._deadline)
        self._reader = getcurrent()
        try:
            outcome = _switch_to_hub(self._reader)
        finally:
            self._reader = None
        if outcome is _CLOSED:
            raise ConnectionError("the connection was closed")
        return outcome is _READY

    def _on_readable(self) -> None:
        """Wake the reader; without a reader, record that the socket is readable."""
        if self._reader is not None:
            self._wake(_READY)
            return
        self._is_readable = True
        self._watcher.stop()

    def _wake(self, outcome: object) -> None:
        reader, self._reader = self._reader, None
        reader.switch(outcome)

    def _set_timer(self, expires_at: float) -> None:
        """Set when the current wait ends; a running timer that fires earlier is kept and restarted then."""
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
        remaining = self._expires_at - monotonic()
        if self._reader is None or self._expires_at == NEVER:
            return
        if remaining <= 0:
            self._wake(_EXPIRED)
        else:
            self._timer.close()
            self._start_timer(remaining)

    # ------------------------------------------------------------------ writing

    def sendall(self, data: bytes) -> None:
        """Write all of `data`.

        Raises
        ------
        TimeoutError
        OSError
        """
        sent = self._write(data)
        if sent < len(data):
            self._send_rest(memoryview(data)[sent:])

    def _write(self, data) -> int:
        """Write without waiting, and return how many bytes were written."""
        try:
            size = self._sock.send(data)
        except BlockingIOError:
            return 0
        except BrokenPipeError:
            # The peer had ended its stream, or this side has, so the data received is whole.
            raise
        except OSError as exc:
            self._error = exc
            raise
        self.written += size
        return size

    def _send_rest(self, rest: memoryview) -> None:
        while rest:
            self._wait_writable(_WRITE_EVENT)
            rest = rest[self._write(rest) :]

    def _wait_writable(self, events: int) -> None:
        """Wait until one of the events happens on the socket.

        The channel owns the watcher: one that outlives its descriptor aborts the process when the event loop changes
        it, or watches the connection that got the descriptor next.

        Raises
        ------
        TimeoutError
            Without an `errno`.
        ConnectionError
            The connection was closed before or during the wait.
        """
        if self._is_closed:
            raise ConnectionError("the connection was closed")
        timeout = self._timeout if self._deadline == NEVER else self._deadline - monotonic()
        if timeout is not None and timeout <= 0:
            raise TimeoutError("timed out")
        writer = getcurrent()
        watcher = self._writers[writer] = self._loop.io(self._sock.fileno(), events)
        watcher.start(writer.switch, _READY)
        timer = None
        if timeout is not None:
            timer = self._loop.timer(timeout)
            timer.start(writer.switch, _EXPIRED)
        try:
            outcome = _switch_to_hub(writer)
        finally:
            del self._writers[writer]
            watcher.close()
            if timer is not None:
                timer.close()
        if outcome is _CLOSED:
            raise ConnectionError("the connection was closed")
        if outcome is _EXPIRED:
            raise TimeoutError("timed out")

    def send_some(self, data: memoryview) -> int:
        """Write a part of `data`, and return how many bytes were written.

        If the kernel takes none, wait until it does, or until there is something to read, and return 0.

        Raises
        ------
        TimeoutError
            Without an `errno` if the deadline passed.
        OSError
        """
        size = self._write(data)
        if size:
            return size
        self._wait_writable(_READ_OR_WRITE_EVENT)
        return 0

    def close(self) -> None:
        """Close the connection; greenlets that wait in a read or a write get a `ConnectionError`."""
        if self._is_closed:
            return
        self._is_closed = True
        self._watcher.close()
        if self._timer is not None:
            self._timer.close()
        for watcher in self._writers.values():
            watcher.close()
        self._sock.close()
        if self._reader is not None or self._writers:
            self._loop.run_callback(self._wake_after_close)

    def _wake_after_close(self) -> None:
        """Wake the greenlets that still wait; others may have been killed since the close."""
        if self._reader is not None:
            self._wake(_CLOSED)
        for writer in list(self._writers):
            if writer in self._writers:
                writer.switch(_CLOSED)


def _switch_to_hub(greenlet) -> object:
    """Wait in the current greenlet for the outcome of a read or write; other wake-ups are unrelated to it."""
    hub = greenlet.parent if greenlet.parent is not None else get_hub()
    outcome = None
    while outcome not in (_READY, _EXPIRED, _CLOSED):
        outcome = hub.switch()
    return outcome
