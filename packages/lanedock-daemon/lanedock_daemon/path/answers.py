# SPDX-License-Identifier: BSD-3-Clause
"""Answers of upstreams over pooled connections, and what is known where none comes."""

from errno import EHOSTUNREACH, ENETUNREACH, ETIMEDOUT

from lanedock.errors import ErrorCode
from lanedock_daemon.path.http import BodyBroken, BodyTimeout, Outcome
from lanedock_daemon.path.parser import AnswerReader, MalformedMessage, Message
from lanedock_daemon.path.pool import ConnectionPool, ExchangeError
from lanedock_daemon.path.service import StopTimeout

__all__ = ["AnswerPieces", "OutcomeKnown", "UpstreamAnswer", "make_failure"]

# Least time, in seconds, after which an answer whose head was passed on counts as broken off
# while nothing more of it comes: packets that were lost are sent again by then. Else it is the
# time that the request had. With 30 s, connections that fall silent within answers kept
# slots for as long.
MIN_SILENCE = 1.0


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

    def read_first(self) -> list[bytes]:
        """Wait for the first piece of the body, with which the head is passed on; none where all is read.

        Raises
        ------
        ExchangeError
        """
        if self._reader is None:
            return []
        with OutcomeKnown(self._reader, self._address):
            return [self.read()]

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

    def lift_deadline(self, silence: float) -> None:
        """Let the body take its time from now on, unless nothing of it comes for some seconds."""
        if self._reader is not None:
            self._reader.conn.settimeout(max(MIN_SILENCE, silence))

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

    Its head is passed on with the first of them, which was read by the request's
    deadline; from then on it must not be cut for the time that it takes.

    Parameters
    ----------
    response : UpstreamAnswer
    on_end : callable
        Called once, however it ends, with whether the body broke off.
    first : list of bytes
        Pieces that were read already.
    silence : float
        Seconds without a piece after which it counts as broken off.
    """

    def __init__(self, response: UpstreamAnswer, on_end, first: list[bytes], silence: float):
        response.lift_deadline(silence)
        self._response = response
        self._on_end = on_end
        self._first = first

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


class OutcomeKnown:
    """Closes a connection on which an exchange fails, and raises what is known of the outcome."""

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
            raise make_failure(self._address, exc, self._reader.is_passed_on) from exc


def make_failure(address: tuple[str, int], exc: BaseException, is_passed_on: bool) -> ExchangeError:
    """Make what is known of an exchange that has failed, or that the process's own end cuts short."""
    is_stop = isinstance(exc, StopTimeout)
    # The kernel's own time-out: nothing that was sent has been acknowledged.
    is_cut_off = isinstance(exc, OSError) and exc.errno in (ETIMEDOUT, EHOSTUNREACH, ENETUNREACH)
    is_late = isinstance(exc, TimeoutError) and not is_cut_off
    is_body_late = isinstance(exc, (BodyTimeout, BodyBroken))
    if not is_passed_on:
        # Without any of its body no daemon passes a request on that it was to ask for.
        code, reason = ErrorCode.CONNECT_FAILED, f"{exc!r} before its body was asked for"
        if is_stop:
            code, reason = ErrorCode.DRAINING, "not passed on before the stop"
        elif is_late:
            code, reason = ErrorCode.DEADLINE, "not passed on in time"
        return ExchangeError(code, Outcome.NOT_RUN, f"{address}: {reason}", is_cut_off, is_body_late)
    code, reason = ErrorCode.ANSWER_LOST, repr(exc)
    if is_stop:
        reason = "no answer before the stop"
    elif is_late:
        code, reason = ErrorCode.ANSWER_TIMEOUT, "no answer in time"
    is_broken = not (is_stop or is_late or is_cut_off or is_body_late)
    return ExchangeError(code, Outcome.UNKNOWN, f"{address}: {reason}", is_cut_off, is_body_late, is_broken)
