# SPDX-License-Identifier: BSD-3-Clause
"""One exchange over a pooled connection: a request is sent, its answer is read by httptools' parser."""

from errno import EHOSTUNREACH, ENETUNREACH, ETIMEDOUT

from lanedock.clock import monotonic
from lanedock.errors import ErrorCode
from lanedock.telemetry import Event, EventLogger
from lanedock_daemon.path.http import CHUNK, Body, BodyBroken, BodyTimeout, Outcome, Request
from lanedock_daemon.path.parser import AnswerReader, MalformedMessage, Message
from lanedock_daemon.path.pool import ConnectionPool, ExchangeError
from lanedock_daemon.path.service import StopTimeout

__all__ = ["AnswerPieces", "Consent", "PendingAnswer", "UpstreamAnswer", "exchange", "note_late", "send_request"]

# Least time, in seconds, after which an answer whose head was passed on counts as broken off
# while nothing more of it comes: packets that were lost are sent again by then. Else it is the
# time that the request had. With 30 s, connections that fall silent within answers kept
# slots for as long.
MIN_SILENCE = 1.0
_WITH_BODY = ("POST", "PUT", "PATCH")


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
        with _OutcomeKnown(self._reader, self._address):
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


class Consent:
    """That a body is sent only once the other side wants it.

    A refusal costs nothing then, and the body can still go elsewhere.

    Parameters
    ----------
    late_after : float
        Seconds after which consent is late.
    on_late : callable
        Called without arguments where it is: the connection may have fallen silent, and others
        with it, each of which would cost the next body its whole deadline. The wait goes on.
    """

    __slots__ = ("_late_after", "_on_late")

    def __init__(self, late_after: float, on_late):
        self._late_after = late_after
        self._on_late = on_late

    def wait(self, reader: AnswerReader) -> bool:
        """Wait until the body is wanted; see `AnswerReader.wait_for_consent`."""
        if not reader.conn.wait(self._late_after):
            self._on_late()
        return reader.wait_for_consent()


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


class PendingAnswer:
    """A request that was sent, and whose answer is still to come.

    Parameters
    ----------
    pool : ConnectionPool
    address : tuple of (str, int)
    reader : AnswerReader
    deadline : float
        Monotonic, seconds: for the answer as far as it is not passed on yet.

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

    def note_late(self, sent_at: float, events: EventLogger, upstream: str) -> None:
        """Note that the answer is late; see the function."""
        note_late(self._pool, self._address, sent_at, events, upstream)

    def read(self) -> UpstreamAnswer:
        """Wait for the answer's head.

        Raises
        ------
        ExchangeError
        """
        reader, address = self._reader, self._address
        self.is_being_read = True
        with _OutcomeKnown(reader, address):
            reader.conn.set_deadline(self._deadline)
            message = reader.next_head()
            if message is None:
                raise ConnectionError("the connection ended before the answer")
            self._pool.note_heard(address, monotonic())
            return UpstreamAnswer(reader, message, self._pool, address)

    def close(self) -> None:
        """Drop the request: nobody waits for its answer any more."""
        self._reader.conn.close()


def note_late(
    pool: ConnectionPool, address: tuple[str, int], sent_at: float, events: EventLogger, upstream: str
) -> None:
    """Note that what a request waits for is late: its connection may have fallen silent, and others with it.

    Parameters
    ----------
    pool : ConnectionPool
    address : tuple of (str, int)
    sent_at : float
        Monotonic, seconds: of the request.
    events : EventLogger
    upstream : str
        Whose connections they are, for a log line.
    """
    if pool.note_late(address, sent_at):
        events.emit(Event.CONNECTIONS_SILENT, upstream=upstream)


class _OutcomeKnown:
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
            raise _make_failure(self._address, exc, self._reader.is_passed_on) from exc


def _make_failure(address: tuple[str, int], exc: BaseException, is_passed_on: bool) -> ExchangeError:
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


def send_request(
    pool: ConnectionPool,
    address: tuple[str, int],
    request: Request,
    headers: list[tuple[str, str]],
    deadline: float,
    consent: Consent | None = None,
) -> PendingAnswer:
    """Send a request.

    Parameters
    ----------
    pool : ConnectionPool
    address : tuple of (str, int)
    request : Request
    headers : list of tuple of (str, str)
        Sent instead of the request's own.
    deadline : float
        Monotonic, seconds: for all up to the answer, as far as it is not passed on yet.
    consent : Consent, optional
        Where the body is sent only once the other side wants it.

    Raises
    ------
    ExchangeError
        With what is known of the outcome.
    """
    timeout = deadline - monotonic()
    if timeout <= 0:
        raise ExchangeError(ErrorCode.DEADLINE, Outcome.NOT_RUN, f"{address}: no time is left")
    try:
        reader = pool.get(address, timeout)
    except StopTimeout as exc:
        raise _make_failure(address, exc, False) from exc
    reader.begin(request.method)
    with _OutcomeKnown(reader, address):
        reader.conn.set_deadline(deadline)
        _send(reader, request, headers, deadline, consent)
    return PendingAnswer(pool, address, reader, deadline)


def exchange(
    pool: ConnectionPool, address: tuple[str, int], request: Request, headers: list[tuple[str, str]], timeout: float
) -> UpstreamAnswer:
    """Send a request and read the head of its answer; see `send_request`.

    Parameters
    ----------
    timeout : float
        Seconds for all, the answer's body included.

    Returns
    -------
    UpstreamAnswer
        Its body is still to be read.
    """
    return send_request(pool, address, request, headers, monotonic() + timeout).read()


def _send(
    reader: AnswerReader, request: Request, headers: list[tuple[str, str]], deadline: float, consent: Consent | None
) -> None:
    """Write a request: its head, and a small body with it, in one piece."""
    conn, body = reader.conn, request.body
    lines = [f"{request.method} {request.target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers if name != "content-length"]
    if body.length is None:
        lines.append("transfer-encoding: chunked")
    elif body.length or request.method in _WITH_BODY:
        lines.append(f"content-length: {body.length}")
    if consent is not None:
        lines.append("expect: 100-continue")
    head = ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")
    if body.length == 0:
        reader.is_passed_on = True
        conn.sendall(head)
        return
    if consent is not None:
        conn.sendall(head)
        if not consent.wait(reader):
            reader.is_body_unsent = True
            return
        head = b""
    if body.length is None:
        _send_chunked(reader, head, body, deadline)
    else:
        _send_counted(reader, head, body, deadline)


def _read_piece(body: Body, size: int, deadline: float) -> bytes:
    """Return the next piece of a body; past the deadline nothing more of it is passed on."""
    piece = body.read(size, deadline)
    if monotonic() >= deadline:
        raise BodyTimeout("the body was not passed on in time")
    return piece


def _send_counted(reader: AnswerReader, head: bytes, body: Body, deadline: float) -> None:
    left = body.length
    while left > 0:
        piece = _read_piece(body, min(CHUNK, left), deadline)
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


def _send_chunked(reader: AnswerReader, head: bytes, body: Body, deadline: float) -> None:
    """Write a body in chunks; its head goes with the first.

    Sent before, the head could have an application begin on a request whose sender
    was never asked for its body, and says that it was not run.
    """
    conn = reader.conn
    while piece := _read_piece(body, CHUNK, deadline):
        if not head and not conn.is_clean():
            reader.is_body_unsent = True
            return
        reader.is_passed_on = True
        conn.sendall(b"%b%x\r\n%b\r\n" % (head, len(piece), piece))
        head = b""
    reader.is_passed_on = True
    conn.sendall(head + b"0\r\n\r\n")
