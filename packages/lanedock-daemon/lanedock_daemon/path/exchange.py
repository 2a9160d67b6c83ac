# SPDX-License-Identifier: BSD-3-Clause
"""One exchange over a pooled connection: a request is sent, its answer is read by httptools' parser."""

import gevent

from lanedock.clock import monotonic
from lanedock.errors import ErrorCode
from lanedock.telemetry import Event, EventLogger
from lanedock_daemon.path.answers import OutcomeKnown, UpstreamAnswer, make_failure
from lanedock_daemon.path.http import CHUNK, Body, BodyTimeout, Outcome, Request
from lanedock_daemon.path.parser import AnswerReader
from lanedock_daemon.path.pool import ConnectionPool, ExchangeError
from lanedock_daemon.path.service import StopTimeout

__all__ = ["Consent", "Pacer", "PendingAnswer", "exchange", "note_late", "send_request"]

# Bytes that a body is sent in at once at a pace: 28 ms of a link of 2.3 Mbit/s.
PACED_PIECE = 8 * 1024
_WITH_BODY = ("POST", "PUT", "PATCH")


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


class Pacer:
    """Sends a body at a pace, so that short messages find room between its pieces.

    Parameters
    ----------
    rate : int or None
        Bytes a second; None for any.
    now : float
        Monotonic, seconds.
    """

    __slots__ = ("_rate", "_sent", "_started", "piece_size")

    def __init__(self, rate: int | None, now: float):
        self._rate = rate
        self._started = now
        self._sent = 0
        self.piece_size = CHUNK if rate is None else PACED_PIECE

    def note_sent(self, size: int, now: float) -> float:
        """Note that bytes were sent; returns the seconds to wait before the next ones."""
        if not self._rate:
            return 0.0
        self._sent += size
        return max(0.0, self._started + self._sent / self._rate - now)

    def pause(self, size: int) -> None:
        """Wait as is due after bytes were sent."""
        wait = self.note_sent(size, monotonic())
        if wait:
            gevent.sleep(wait)


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
        with OutcomeKnown(reader, address):
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
        raise make_failure(address, exc, False) from exc
    reader.begin(request.method)
    with OutcomeKnown(reader, address):
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
    pacer = Pacer(reader.body_pace if consent is not None else None, monotonic())
    if body.length is None:
        _send_chunked(reader, head, body, deadline, pacer)
    else:
        _send_counted(reader, head, body, deadline, pacer)


def _read_piece(body: Body, size: int, deadline: float) -> bytes:
    """Return the next piece of a body; past the deadline nothing more of it is passed on."""
    piece = body.read(size, deadline)
    if monotonic() >= deadline:
        raise BodyTimeout("the body was not passed on in time")
    return piece


def _send_counted(reader: AnswerReader, head: bytes, body: Body, deadline: float, pacer: Pacer) -> None:
    left = body.length
    while left > 0:
        piece = _read_piece(body, min(pacer.piece_size, left), deadline)
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
        if left:
            pacer.pause(len(piece))


def _send_chunked(reader: AnswerReader, head: bytes, body: Body, deadline: float, pacer: Pacer) -> None:
    """Write a body in chunks; its head goes with the first.

    Sent before, the head could have an application begin on a request whose sender
    was never asked for its body, and says that it was not run.
    """
    conn = reader.conn
    while piece := _read_piece(body, pacer.piece_size, deadline):
        if not head and not conn.is_clean():
            reader.is_body_unsent = True
            return
        reader.is_passed_on = True
        conn.sendall(b"%b%x\r\n%b\r\n" % (head, len(piece), piece))
        head = b""
        pacer.pause(len(piece))
    reader.is_passed_on = True
    conn.sendall(head + b"0\r\n\r\n")
