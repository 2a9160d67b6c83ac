# SPDX-License-Identifier: BSD-3-Clause
"""Answers read from pooled connections, and errors that state the outcome if no answer comes."""

import re
from errno import EHOSTUNREACH, ENETUNREACH, ETIMEDOUT

from lanedock.clock import monotonic
from lanedock.errors import ErrorCode
from lanedock_daemon.path.http.answer_reader import AnswerReader
from lanedock_daemon.path.http.messages import NEVER, BodyBroken, BodyTimeout, Outcome
from lanedock_daemon.path.http.parsed_message import Message
from lanedock_daemon.path.http.parser import MalformedMessage
from lanedock_daemon.path.http.service import StopTimeout
from lanedock_daemon.path.shared.pool import ConnectionPool, ExchangeError

__all__ = [
    "REFUSAL_BODY_TIMEOUT",
    "ExchangeGuard",
    "UpstreamAnswer",
    "is_own_timeout",
    "make_failure",
]

# Shortest time limit, in seconds, of each piece of an answer whose head has been passed on; the limit is
# otherwise the time that the request had left. 1 s leaves time to retransmit lost packets. With
# 30 s, connections that fell silent within an answer held their slots for 30 s.
MIN_READ_TIMEOUT = 1.0
# Bytes of a body that is collected rather than passed on: of a refusal, a failure, or the answer of a health check.
MAX_COLLECTED_BYTES = 64 * 1024
# Seconds for the body of a refusal or of a failure that is not the final answer, which is short and follows its head;
# covers one retransmission. Another attempt waits for it.
REFUSAL_BODY_TIMEOUT = 0.3
_KEEP_ALIVE_TIMEOUT = re.compile(r"\btimeout=(\d{1,6})\b", re.IGNORECASE)


class UpstreamAnswer:
    """An answer whose head has been read and whose body may still have to be read.

    Parameters
    ----------
    reader : AnswerReader
    message : Message
    pool : ConnectionPool
    address : tuple of (str, int)
    idle_time : float
        See `send_request`.

    Attributes
    ----------
    message : Message
    """

    __slots__ = ("_address", "_ends_at", "_idle_time", "_is_last_limit", "_pool", "_reader", "_silence", "message")

    def __init__(
        self,
        reader: AnswerReader,
        message: Message,
        pool: ConnectionPool,
        address: tuple[str, int],
        idle_time: float = NEVER,
    ):
        self.message = message
        self._idle_time = idle_time
        self._reader: AnswerReader | None = reader
        self._pool = pool
        self._address = address
        self._silence: float | None = None
        self._ends_at = NEVER
        self._is_last_limit = False
        if message.is_complete:
            self._release_connection()

    def read(self) -> bytes:
        """Return the next piece of the body; empty at the end of the body.

        Raises
        ------
        OSError, MalformedMessage
            If the answer breaks off, or was closed before its end.
        """
        if self.message.pieces:
            return self.message.take_piece()
        if self._reader is None:
            if not self.message.is_complete:
                raise ConnectionError("the answer was closed before its end")
            return b""
        if self._silence is not None:
            self._limit_piece()
        piece = self._reader.next_piece(self.message)
        if self.message.is_complete:
            self._release_connection()
        return piece

    def read_first(self) -> list[bytes]:
        """Wait for the first piece of the body, which is passed on together with the head.

        Returns
        -------
        list of bytes
            Empty if the whole answer has been read already.

        Raises
        ------
        ExchangeError
            If the answer breaks off.
        """
        if self._reader is None:
            return []
        with ExchangeGuard(self._reader, self._address):
            return [self.read()]

    def read_all(self, timeout: float | None = None) -> bytes:
        """Return the whole body.

        Parameters
        ----------
        timeout : float, optional
            Seconds for the rest of the body; by default the deadline stays as it is.

        Raises
        ------
        OSError, MalformedMessage
            If the body breaks off, is late, or is longer than `MAX_COLLECTED_BYTES`.
        """
        if timeout is not None and self._reader is not None:
            self._reader.conn.set_deadline(monotonic() + timeout)
        pieces = self.read_prefix(MAX_COLLECTED_BYTES)
        body = b"".join(pieces)
        if len(body) > MAX_COLLECTED_BYTES:
            raise MalformedMessage(f"the body is longer than {MAX_COLLECTED_BYTES} bytes")
        return body

    def read_prefix(self, limit: int) -> list[bytes]:
        """Read pieces of the body until it ends or they exceed `limit` bytes."""
        pieces, size = [], 0
        while size <= limit and (piece := self.read()):
            pieces.append(piece)
            size += len(piece)
        return pieces

    def limit_pieces(self, silence: float, ends_at: float) -> None:
        """Replace the deadline by time limits for each piece of the body and for the whole body.

        Parameters
        ----------
        silence : float
            Seconds for each piece; at least `MIN_READ_TIMEOUT`.
        ends_at : float
            Monotonic time, in seconds, by which the body has to be read to its end.
        """
        self._silence = max(MIN_READ_TIMEOUT, silence)
        self._ends_at = ends_at
        self._is_last_limit = False

    def _limit_piece(self) -> None:
        """Set the time limit of the next piece: bytes that bring none don't extend it."""
        limit = monotonic() + self._silence
        if limit < self._ends_at:
            self._reader.conn.set_deadline(limit)
        elif not self._is_last_limit:
            # Only once: after a deadline the channel reads what had arrived by then.
            self._reader.conn.set_deadline(self._ends_at)
            self._is_last_limit = True

    def _release_connection(self) -> None:
        """Return the connection to the pool, or close it, after the end of the answer."""
        reader, self._reader = self._reader, None
        if reader is None:
            return
        if self.message.keep_alive and not (reader.has_unread_data() or reader.is_body_unsent):
            self._pool.put(self._address, reader, _read_idle_time(self.message, self._idle_time))
        else:
            reader.conn.close()

    def close(self) -> None:
        """Close the connection, unless the answer has been read to its end."""
        reader, self._reader = self._reader, None
        if reader is not None:
            reader.conn.close()


def _read_idle_time(message: Message, default: float) -> float:
    """Return the seconds after which the peer closes the connection if it is idle; `default` if it states none."""
    match = _KEEP_ALIVE_TIMEOUT.search(message.header("keep-alive"))
    return int(match[1]) if match else default


def is_own_timeout(exc: BaseException) -> bool:
    """Return whether a time limit of this process has passed; the kernel's have an `errno`."""
    return isinstance(exc, TimeoutError) and exc.errno is None


class ExchangeGuard:
    """Context manager that closes a connection if an exchange on it fails.

    The failure is raised as an `ExchangeError` that states what is known of the outcome.
    """

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
        if isinstance(exc, (StopTimeout, OSError, MalformedMessage)):
            raise make_failure(self._address, exc, self._reader.may_be_passed_on) from exc


def make_failure(address: tuple[str, int], exc: BaseException, may_be_passed_on: bool) -> ExchangeError:
    """Make the error for an exchange that has failed, or that the stop of this process cuts short.

    Parameters
    ----------
    address : tuple of (str, int)
    exc : BaseException
        Cause of the failure.
    may_be_passed_on : bool
        Whether the request has been passed on, so that the application may have run it.
    """
    is_stop = isinstance(exc, StopTimeout)
    # With these errors the kernel gave up because the other side acknowledged no sent data.
    is_unreachable = isinstance(exc, OSError) and exc.errno in (ETIMEDOUT, EHOSTUNREACH, ENETUNREACH)
    is_late = isinstance(exc, TimeoutError) and not is_unreachable
    is_local = is_stop or isinstance(exc, (BodyTimeout, BodyBroken))
    if not may_be_passed_on:
        # A daemon that has to request the body passes nothing on before it has some of the body.
        code, reason = ErrorCode.CONNECT_FAILED, f"{exc!r} before the request was passed on"
        if is_stop:
            code, reason = ErrorCode.DRAINING, "request not passed on before this process stopped"
        elif is_late:
            code, reason = ErrorCode.DEADLINE, "request not passed on before its deadline"
        return ExchangeError(code, Outcome.NOT_RUN, f"{address}: {reason}", is_unreachable, is_local)
    code, reason = ErrorCode.ANSWER_LOST, repr(exc)
    if is_stop:
        reason = "no answer before this process stopped"
    elif is_late:
        code, reason = ErrorCode.ANSWER_TIMEOUT, "no answer before the deadline"
    # Malformed messages say nothing about the connection: this side closes it.
    is_malformed = isinstance(exc, MalformedMessage)
    is_broken = not (is_local or is_late or is_unreachable or is_malformed)
    return ExchangeError(code, Outcome.UNKNOWN, f"{address}: {reason}", is_unreachable, is_local, is_broken)
