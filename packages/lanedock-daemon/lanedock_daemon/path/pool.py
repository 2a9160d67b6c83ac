# SPDX-License-Identifier: BSD-3-Clause
"""Connections to daemons and applications, and one exchange over one of them.

geventhttpclient's client sends a request again by itself when a pooled
connection turns out closed, which a request that may not be repeated must not
suffer. So connections are kept here, and answers are read by httptools' parser.
"""

import socket as plain_socket
import time
from errno import EHOSTUNREACH, ENETUNREACH, ETIMEDOUT

from gevent import socket

from lanedock.errors import ErrorCode, LanedockError
from lanedock_daemon.path.channel import Channel
from lanedock_daemon.path.http import Body, Outcome, Request
from lanedock_daemon.path.parser import AnswerReader, MalformedMessage, Message
from lanedock_daemon.path.service import StopTimeout

__all__ = [
    "AnswerPieces",
    "ConnectionPool",
    "ExchangeError",
    "PendingAnswer",
    "UpstreamAnswer",
    "exchange",
    "send_request",
]

# Round trips between zones take milliseconds; whoever has not answered by then
# is gone or cut off, and there is time to go elsewhere.
CONNECT_TIMEOUT = 0.3
# A peer that acknowledges nothing for this long, in milliseconds, is gone or cut
# off: several round trips between zones, and two retransmissions (the kernel's
# first comes after 200 ms, the second after 400 more).
USER_TIMEOUT_MS = 700
# Whole seconds are the least that the kernel takes for its probes of silent peers.
KEEPALIVE_S = 1
KEEPALIVE_PROBES = 2
CHUNK = 64 * 1024
# Longest silence within an answer's body, in seconds.
BODY_TIMEOUT = 30.0
_WITH_BODY = ("POST", "PUT", "PATCH")


class ExchangeError(LanedockError):
    """A request got no answer.

    Attributes
    ----------
    outcome : str
        One of `Outcome`.
    is_unreachable : bool
        Whether the other side can't be reached, as far as that is known.
    """

    def __init__(self, code: ErrorCode, outcome: str, message: str = "", is_unreachable: bool = False):
        super().__init__(code, message)
        self.outcome = outcome
        self.is_unreachable = is_unreachable


class ConnectionPool:
    """Idle connections by address.

    A connection is checked before it is used again: one that the other side
    has closed, or on which something unasked came, is dropped. One that has
    fallen silent without a reset isn't noticed so; `note_late` finds it.

    Parameters
    ----------
    max_idle : int
        Idle connections kept for one address.
    connect_timeout : float
        Seconds.
    """

    def __init__(self, max_idle: int = 32, connect_timeout: float = CONNECT_TIMEOUT):
        self._max_idle = max_idle
        self._connect_timeout = connect_timeout
        self._idle: dict[tuple[str, int], list] = {}
        self._heard_at: dict[tuple[str, int], float] = {}

    def __repr__(self) -> str:
        return f"<ConnectionPool idle={sum(map(len, self._idle.values()))}>"

    def get(self, address: tuple[str, int], timeout: float) -> AnswerReader:
        """Return a connection with its reader.

        Raises
        ------
        ExchangeError
            None could be made; the request was not run.
        """
        idle = self._idle.get(address)
        while idle:
            reader = idle.pop()
            if reader.conn.is_clean():
                return reader
            reader.conn.close()
        return self.connect(address, timeout)

    def connect(self, address: tuple[str, int], timeout: float = CONNECT_TIMEOUT) -> AnswerReader:
        """Make a new connection.

        Raises
        ------
        ExchangeError
        """
        try:
            conn = socket.create_connection(address, timeout=min(timeout, self._connect_timeout))
        except OSError as exc:
            message = f"{address}: {exc}"
            raise ExchangeError(ErrorCode.CONNECT_FAILED, Outcome.NOT_RUN, message, True) from exc
        _tune(conn)
        return AnswerReader(Channel(conn))

    def put(self, address: tuple[str, int], reader: AnswerReader) -> None:
        """Take back a connection whose answer was read to its end."""
        idle = self._idle.setdefault(address, [])
        if len(idle) < self._max_idle:
            idle.append(reader)
        else:
            reader.conn.close()

    def note_heard(self, address: tuple[str, int], now: float) -> None:
        """Note that an answer has begun on a connection to an address."""
        self._heard_at[address] = now

    def note_late(self, address: tuple[str, int], sent_at: float) -> bool:
        """Note that an answer is later than nearly all others.

        Where nothing at all was heard from the address since the request was sent,
        its connections may have fallen silent: the idle ones are closed, so that the
        next request goes over a new one. An address that is merely busy answers others
        meanwhile.

        Parameters
        ----------
        address : tuple of (str, int)
        sent_at : float
            Monotonic, seconds: of the request.

        Returns
        -------
        bool
            Whether idle connections were closed.
        """
        if self._heard_at.get(address, float("-inf")) >= sent_at or not self._idle.get(address):
            return False
        self.forget(address)
        return True

    def forget(self, address: tuple[str, int]) -> None:
        """Close the idle connections to an address."""
        for reader in self._idle.pop(address, ()):
            reader.conn.close()

    def close(self) -> None:
        """Close all idle connections."""
        for address in list(self._idle):
            self.forget(address)


def _tune(conn) -> None:
    """Send at once, and notice a peer that is cut off in silence."""
    tcp = plain_socket.IPPROTO_TCP
    conn.setsockopt(tcp, plain_socket.TCP_NODELAY, 1)
    conn.setsockopt(tcp, plain_socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
    conn.setsockopt(plain_socket.SOL_SOCKET, plain_socket.SO_KEEPALIVE, 1)
    conn.setsockopt(tcp, plain_socket.TCP_KEEPIDLE, KEEPALIVE_S)
    conn.setsockopt(tcp, plain_socket.TCP_KEEPINTVL, KEEPALIVE_S)
    conn.setsockopt(tcp, plain_socket.TCP_KEEPCNT, KEEPALIVE_PROBES)


class UpstreamAnswer:
    """An answer whose head was read.

    Attributes
    ----------
    message : Message
    """

    __slots__ = ("_address", "_pool", "_reader", "message")

    def __init__(self, reader: AnswerReader, message: Message, pool: ConnectionPool, address: tuple[str, int]):
        self.message = message
        self._reader: AnswerReader | None = reader
        self._pool = pool
        self._address = address
        if message.is_complete:
            self._settle()

    def read(self) -> bytes:
        """Return the next piece of the body; empty at its end.

        Raises
        ------
        OSError, MalformedMessage
            It broke off.
        """
        if self.message.pieces:
            return self.message.pieces.popleft()
        if self._reader is None:
            return b""
        piece = self._reader.next_piece(self.message)
        if self.message.is_complete:
            self._settle()
        return piece

    def read_all(self) -> bytes:
        """Return the whole body."""
        pieces = []
        while piece := self.read():
            pieces.append(piece)
        return b"".join(pieces)

    def read_some(self, limit: int) -> list[bytes]:
        """Return the body as far as `limit` bytes reach; the rest is still to be read."""
        pieces, size = [], 0
        while size <= limit and (piece := self.read()):
            pieces.append(piece)
            size += len(piece)
        return pieces

    def set_timeout(self, timeout: float) -> None:
        """Set the longest wait for a piece of the body, in seconds."""
        if self._reader is not None:
            self._reader.conn.settimeout(max(0.001, timeout))

    def _settle(self) -> None:
        """Give the connection back once the answer was read to its end."""
        reader, self._reader = self._reader, None
        if reader is None:
            return
        if self.message.keep_alive and not (reader.has_rest() or reader.is_body_unsent):
            self._pool.put(self._address, reader)
        else:
            reader.conn.close()

    def close(self) -> None:
        """Drop the connection, unless the answer was read to its end."""
        reader, self._reader = self._reader, None
        if reader is not None:
            reader.conn.close()


class AnswerPieces:
    """The pieces of an answer's body, as they come.

    Parameters
    ----------
    response : UpstreamAnswer
    on_end : callable
        Called once, however it ends, with whether the body broke off.
    first : list of bytes, optional
        Pieces that were read already.
    """

    def __init__(self, response: UpstreamAnswer, on_end, first: list[bytes] | None = None):
        self._response = response
        self._on_end = on_end
        self._first = first or []

    def __iter__(self) -> "AnswerPieces":
        return self

    def __next__(self) -> bytes:
        if self._first:
            return self._first.pop(0)
        try:
            piece = self._response.read()
        except (OSError, MalformedMessage) as exc:
            self._finish(True)
            raise ConnectionError(f"the answer broke off: {exc}") from exc
        if not piece:
            self._finish(False)
            raise StopIteration
        return piece

    def close(self) -> None:
        """Read no more; the one who asked has gone, or has all."""
        self._finish(False)

    def _finish(self, broke_off: bool) -> None:
        self._response.close()
        on_end, self._on_end = self._on_end, None
        if on_end is not None:
            on_end(broke_off)


class PendingAnswer:
    """A request that was sent, and whose answer is still to come.

    Parameters
    ----------
    pool : ConnectionPool
    address : tuple of (str, int)
    reader : AnswerReader
    deadline : float
        Monotonic, seconds: for the answer's head.

    Attributes
    ----------
    is_being_read : bool
        Whether `read` was called, which closes the connection where it fails.
    """

    __slots__ = ("_address", "_deadline", "_pool", "_reader", "is_being_read")

    def __init__(self, pool: ConnectionPool, address: tuple[str, int], reader: AnswerReader, deadline: float):
        self._pool = pool
        self._address = address
        self._reader = reader
        self._deadline = deadline
        self.is_being_read = False

    def wait(self, timeout: float) -> bool:
        """Wait for the answer's first bytes; False where none came within `timeout` seconds."""
        try:
            return self._reader.has_head() or self._reader.conn.wait(timeout)
        except BaseException:
            self._reader.conn.close()
            raise

    def read(self) -> UpstreamAnswer:
        """Wait for the answer's head.

        Raises
        ------
        ExchangeError
        """
        reader, address = self._reader, self._address
        self.is_being_read = True
        with _OutcomeKnown(reader, address):
            reader.conn.settimeout(max(0.001, self._deadline - time.monotonic()))
            message = reader.next_head()
            if message is None:
                raise ConnectionError("the connection ended before the answer")
            self._pool.note_heard(address, time.monotonic())
            reader.conn.settimeout(BODY_TIMEOUT)
            return UpstreamAnswer(reader, message, self._pool, address)

    def close(self) -> None:
        """Drop the request: nobody waits for its answer any more."""
        self._reader.conn.close()


class _OutcomeKnown:
    """Closes a connection on which an exchange fails, and says what is known of the outcome."""

    __slots__ = ("_address", "_reader")

    def __init__(self, reader: AnswerReader, address: tuple[str, int]):
        self._reader = reader
        self._address = address

    def __enter__(self) -> None:
        pass

    def __exit__(self, kind, exc, trace) -> None:
        if exc is None:
            return
        self._reader.conn.close()
        if isinstance(exc, StopTimeout):
            raise _stopped(self._address, self._reader.is_passed_on) from exc
        # The kernel's own time-out: nothing that was sent has been acknowledged.
        is_cut_off = isinstance(exc, OSError) and exc.errno in (ETIMEDOUT, EHOSTUNREACH, ENETUNREACH)
        if isinstance(exc, TimeoutError) and not is_cut_off:
            message = f"{self._address}: no answer in time"
            raise ExchangeError(ErrorCode.ANSWER_TIMEOUT, Outcome.UNKNOWN, message) from exc
        if isinstance(exc, (OSError, MalformedMessage)):
            message = f"{self._address}: {exc!r}"
            raise ExchangeError(ErrorCode.ANSWER_LOST, Outcome.UNKNOWN, message, is_cut_off) from exc


def _stopped(address: tuple[str, int], is_passed_on: bool) -> ExchangeError:
    """Make the end of an exchange that the process's own end cuts short."""
    if is_passed_on:
        return ExchangeError(ErrorCode.ANSWER_LOST, Outcome.UNKNOWN, f"{address}: no answer before the stop")
    return ExchangeError(ErrorCode.DRAINING, Outcome.NOT_RUN, f"{address}: not passed on before the stop")


def send_request(
    pool: ConnectionPool,
    address: tuple[str, int],
    request: Request,
    headers: list[tuple[str, str]],
    timeout: float,
    ask_first: bool = False,
) -> PendingAnswer:
    """Send a request.

    Parameters
    ----------
    pool : ConnectionPool
    address : tuple of (str, int)
    request : Request
    headers : list of tuple of (str, str)
        Sent instead of the request's own.
    timeout : float
        Seconds for everything up to the answer's head.
    ask_first : bool
        Send the body only once the other side wants it, so that a refusal
        costs nothing and the body can still go elsewhere.

    Raises
    ------
    ExchangeError
        With what is known of the outcome.
    """
    deadline = time.monotonic() + timeout
    if timeout <= 0:
        raise ExchangeError(ErrorCode.DEADLINE, Outcome.NOT_RUN, f"{address}: no time is left")
    try:
        reader = pool.get(address, timeout)
    except StopTimeout as exc:
        raise _stopped(address, False) from exc
    reader.begin(request.method)
    with _OutcomeKnown(reader, address):
        reader.conn.settimeout(timeout)
        _send(reader, request, headers, ask_first)
    return PendingAnswer(pool, address, reader, deadline)


def exchange(
    pool: ConnectionPool, address: tuple[str, int], request: Request, headers: list[tuple[str, str]], timeout: float
) -> UpstreamAnswer:
    """Send a request and read the head of its answer; see `send_request`.

    Returns
    -------
    UpstreamAnswer
        Its body is still to be read.
    """
    return send_request(pool, address, request, headers, timeout).read()


def _send(reader: AnswerReader, request: Request, headers: list[tuple[str, str]], ask_first: bool) -> None:
    """Write a request: its head, and a small body with it, in one piece."""
    conn, body = reader.conn, request.body
    lines = [f"{request.method} {request.target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers if name != "content-length"]
    if body.length is None:
        lines.append("transfer-encoding: chunked")
    elif body.length or request.method in _WITH_BODY:
        lines.append(f"content-length: {body.length}")
    if ask_first:
        lines.append("expect: 100-continue")
    head = ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")
    if body.length == 0:
        reader.is_passed_on = True
        conn.sendall(head)
        return
    if ask_first:
        conn.sendall(head)
        if not reader.wait_for_consent():
            reader.is_body_unsent = True
            return
        head = b""
    if body.length is None:
        _send_chunked(reader, head, body)
    else:
        _send_counted(reader, head, body)


def _send_counted(reader: AnswerReader, head: bytes, body: Body) -> None:
    left = body.length
    while left > 0:
        piece = body.read(min(CHUNK, left))
        if not piece:
            raise ConnectionError("the body ended too early")
        if left < body.length and not reader.conn.is_clean():
            # An early answer: the rest is not wanted, and the connection can't
            # be used again, for the other side may still wait for it.
            reader.is_body_unsent = True
            return
        reader.is_passed_on = True
        reader.conn.sendall(head + piece if head else piece)
        head = b""
        left -= len(piece)


def _send_chunked(reader: AnswerReader, head: bytes, body: Body) -> None:
    conn = reader.conn
    if head:
        reader.is_passed_on = True
        conn.sendall(head)
    while piece := body.read(CHUNK):
        if not conn.is_clean():
            reader.is_body_unsent = True
            return
        reader.is_passed_on = True
        conn.sendall(b"%x\r\n%b\r\n" % (len(piece), piece))
    conn.sendall(b"0\r\n\r\n")
