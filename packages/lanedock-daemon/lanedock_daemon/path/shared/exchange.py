# SPDX-License-Identifier: BSD-3-Clause
"""Exchanges over pooled connections: a request is sent, and httptools' parser reads its answer."""

from collections.abc import Callable

import gevent

from lanedock.clock import monotonic
from lanedock.errors import ErrorCode
from lanedock.telemetry import Event, EventLogger
from lanedock_daemon.path.http.answer_reader import AnswerReader
from lanedock_daemon.path.http.messages import MAX_PIECE_BYTES, NEVER, Body, BodyTimeout, Outcome, Request
from lanedock_daemon.path.http.parsed_message import Message
from lanedock_daemon.path.http.parser import MalformedMessage
from lanedock_daemon.path.http.service import StopTimeout
from lanedock_daemon.path.shared.answer_recovery import RecoveringAnswerReader
from lanedock_daemon.path.shared.answers import ExchangeGuard, UpstreamAnswer, make_failure
from lanedock_daemon.path.shared.pool import USER_TIMEOUT_MS, ConnectionPool, ExchangeError

__all__ = ["ContinueWait", "Pacer", "PendingAnswer", "exchange", "handle_late_answer", "send_request"]

# Piece size, in bytes, of a paced body: 28 ms on a link of 2.3 Mbit/s.
PACED_PIECE_SIZE = 8 * 1024
# Seconds after which a wait for more of a body looks whether the answer has begun.
ANSWER_POLL = 0.05
# Seconds before the deadline from which on it doesn't look: another daemon answers then because the body is late, which
# is not that daemon's fault. As long as the grace time that a daemon gets beyond the caller's deadline.
LAST_LOOK = 0.05
IsForeign = Callable[[Message], bool]
_WITH_BODY = ("POST", "PUT", "PATCH")


class ContinueWait:
    """Delays a body until the other side requests it ("Expect: 100-continue").

    If the other side refuses, the body has used no bandwidth and can still be sent to another upstream.

    Parameters
    ----------
    late_after : float
        Seconds after which the other side's "100 Continue" is late.
    on_late : callable
        Called without arguments if the "100 Continue" is late. This connection and others to the same
        address may have stopped responding, and each of them would cost another body its whole
        deadline. The wait continues.
    """

    __slots__ = ("_late_after", "_on_late")

    def __init__(self, late_after: float, on_late):
        self._late_after = late_after
        self._on_late = on_late

    def wait(self, reader: AnswerReader) -> bool:
        """Wait until the other side requests the body; see `AnswerReader.wait_for_continue`."""
        if not reader.conn.wait(self._late_after):
            self._on_late()
        return reader.wait_for_continue()


class Pacer:
    """Limits the rate at which a body is sent, so that short messages pass between its pieces.

    Parameters
    ----------
    rate : int or None
        Bytes per second; None for no limit.
    now : float
        Monotonic time, in seconds, at which the body starts.
    """

    __slots__ = ("_rate", "_sent", "_started", "piece_size")

    def __init__(self, rate: int | None, now: float):
        self._rate = rate
        self._started = now
        self._sent = 0
        self.piece_size = MAX_PIECE_BYTES if rate is None else PACED_PIECE_SIZE

    def note_sent(self, size: int, now: float) -> float:
        """Record that bytes were sent, and return the seconds to wait before the next ones."""
        if not self._rate:
            return 0.0
        self._sent += size
        return max(0.0, self._started + self._sent / self._rate - now)

    def pause(self, size: int) -> None:
        """Record that bytes were sent, and wait as long as the rate requires."""
        wait = self.note_sent(size, monotonic())
        if wait:
            gevent.sleep(wait)


class PendingAnswer:
    """A request that has been sent and whose answer has not been read yet.

    Parameters
    ----------
    pool : ConnectionPool
    address : tuple of (str, int)
    reader : RecoveringAnswerReader
    deadline : float
        Monotonic time, in seconds, until which the answer has to be read, except for parts
        after its first pieces have been passed on.
    idle_time : float
        See `send_request`.

    Attributes
    ----------
    is_being_read : bool
        Whether `read` has been called, which closes the connection if it fails.
    """

    __slots__ = ("_address", "_deadline", "_idle_time", "_pool", "_reader", "is_being_read")

    def __init__(
        self,
        pool: ConnectionPool,
        address: tuple[str, int],
        reader: RecoveringAnswerReader,
        deadline: float,
        idle_time: float,
    ):
        self._pool = pool
        self._address = address
        self._reader = reader
        self._deadline = deadline
        self._idle_time = idle_time
        self.is_being_read = False

    def wait(self, timeout: float) -> bool:
        """Wait for the first bytes of the answer, and return whether they came within `timeout` seconds."""
        try:
            return self._reader.has_head() or self._reader.conn.wait(timeout)
        except BaseException:
            self._reader.conn.close()
            raise

    def handle_late_answer(self, sent_at: float, events: EventLogger, upstream: str) -> None:
        """Record that the answer is late; see the function `handle_late_answer`."""
        handle_late_answer(self._pool, self._address, sent_at, events, upstream)

    def read(self) -> UpstreamAnswer:
        """Read the head of the answer.

        Raises
        ------
        ExchangeError
            If no head comes by the deadline, or the connection fails.
        """
        return self.accept(self.read_head())

    def read_head(self) -> Message:
        """Read the head of the next answer on the connection, which may belong to another request.

        Raises
        ------
        ExchangeError
            If no head comes by the deadline, or the connection fails.
        """
        self.is_being_read = True
        with ExchangeGuard(self._reader, self._address):
            has_discarded = self._reader.has_discarded
            self._reader.conn.set_deadline(self._reader.recovery_deadline if has_discarded else self._deadline)
            return self._next_head()

    def skip(self, message: Message) -> Message:
        """Discard an answer to another request, and read the head of the next one.

        An application may answer an earlier request of the connection once more; closing the connection would break
        off the request in progress.

        Raises
        ------
        ExchangeError
            As for `read_head`, or nothing can be read behind the answer.
        """
        with ExchangeGuard(self._reader, self._address):
            self._reader.skip(message)
            return self._next_head()

    def _next_head(self) -> Message:
        try:
            message = self._reader.next_head()
            if message is None:
                raise ConnectionError("the upstream closed the connection before the answer")
        except OSError as exc:
            if self._reader.has_discarded and monotonic() < self._deadline:
                raise MalformedMessage("no answer behind bytes that are none") from exc
            raise
        return message

    def limit_recovery(self, seconds: float) -> None:
        """Limit how long the answer is awaited from now on behind bytes that are none, which may stand for it."""
        self._reader.recovery_deadline = min(self._deadline, monotonic() + seconds)

    @property
    def has_discarded(self) -> bool:
        """Whether bytes that are no answer were discarded before the answer."""
        return self._reader.has_discarded

    def is_unidentified(self, message: Message) -> bool:
        """Return whether an answer can't be told from the bytes before it, as it doesn't state the request's id."""
        return self._reader.is_unidentified(message)

    def accept(self, message: Message) -> UpstreamAnswer:
        """Return the answer whose head was read; its body still has to be read."""
        if self._reader.has_skipped:
            # More answers to other requests may follow, so the connection is not reused.
            message.keep_alive = False
        if self._reader.has_discarded:
            self._reader.conn.set_deadline(self._deadline)
        self._reader.note_own_answer(message)
        self._pool.record_answer_start(self._address, monotonic())
        return UpstreamAnswer(self._reader, message, self._pool, self._address, self._idle_time)

    def close(self) -> None:
        """Cancel the request by closing the connection; its answer is no longer awaited."""
        self._reader.conn.close()


def handle_late_answer(
    pool: ConnectionPool, address: tuple[str, int], sent_at: float, events: EventLogger, upstream: str
) -> None:
    """Record that an answer or "100 Continue" is late, because connections to the address may have stopped responding.

    Parameters
    ----------
    pool : ConnectionPool
    address : tuple of (str, int)
    sent_at : float
        Monotonic time, in seconds, at which the request was sent.
    events : EventLogger
    upstream : str
        Instance at the address, for the log line.
    """
    if pool.handle_late_answer(address, sent_at):
        events.emit(Event.CONNECTIONS_SILENT, upstream=upstream)


def send_request(
    pool: ConnectionPool,
    address: tuple[str, int],
    request: Request,
    headers: list[tuple[str, str]],
    deadline: float,
    continue_wait: ContinueWait | None = None,
    is_foreign: IsForeign | None = None,
    request_id: str = "",
    idle_time: float = NEVER,
) -> PendingAnswer:
    """Send a request over a pooled connection.

    Parameters
    ----------
    pool : ConnectionPool
    address : tuple of (str, int)
    request : Request
    headers : list of tuple of (str, str)
        Sent instead of the request's own headers.
    deadline : float
        Monotonic time, in seconds, for sending the request and for reading the answer until its
        first pieces are passed on.
    continue_wait : ContinueWait, optional
        If given, the body is sent only when the other side requests it.
    is_foreign : callable, optional
        Returns whether an answer, of which it gets the head, belongs to another request. Such an answer
        doesn't end the request's body.
    request_id : str
        Id that the answer is expected to state; empty if it may state none.
    idle_time : float
        Seconds after which the peer closes an idle connection, unless its answer states another time.

    Raises
    ------
    ExchangeError
        States what is known of the outcome.
    CallerDisconnected
        The request's caller has left, and nothing of its body was sent.
    """
    timeout = deadline - monotonic()
    if timeout <= 0:
        raise ExchangeError(
            ErrorCode.DEADLINE, Outcome.NOT_RUN, f"{address}: the deadline passed before the request was sent"
        )
    first = b""
    try:
        if continue_wait is None and request.body.length != 0:
            # Before a connection is taken: the peer may close one during the wait, or send bytes that belong to no
            # request.
            first = _read_piece(request.body, MAX_PIECE_BYTES, deadline)
            timeout = deadline - monotonic()
        reader = pool.get(address, timeout)
    except (StopTimeout, OSError) as exc:
        raise make_failure(address, exc, False) from exc
    reader.begin_request(request.method, request_id)
    with ExchangeGuard(reader, address):
        request.check_caller()
        reader.conn.set_deadline(deadline)
        reader.conn.set_user_timeout(USER_TIMEOUT_MS)
        _send(_RequestWriter(reader, is_foreign), request, headers, deadline, continue_wait, first)
    return PendingAnswer(pool, address, reader, deadline, idle_time)


def exchange(
    pool: ConnectionPool, address: tuple[str, int], request: Request, headers: list[tuple[str, str]], timeout: float
) -> UpstreamAnswer:
    """Send a request and read the head of its answer; see `send_request`.

    Parameters
    ----------
    timeout : float
        Seconds for the whole exchange, including the body of the answer.

    Returns
    -------
    UpstreamAnswer
        The body has not been read yet.
    """
    return send_request(pool, address, request, headers, monotonic() + timeout).read()


class _RequestWriter:
    """Writes a request until all of it is sent or its answer has begun.

    Parameters
    ----------
    reader : RecoveringAnswerReader
    is_foreign : callable or None
        See `send_request`.
    """

    __slots__ = ("_is_foreign", "reader")

    def __init__(self, reader: RecoveringAnswerReader, is_foreign: IsForeign | None):
        self.reader = reader
        self._is_foreign = is_foreign

    def write(self, data: bytes) -> bool:
        """Write bytes of the request; return False if the rest is not needed or can't be sent.

        A connection that breaks may have delivered the answer before, so the reader of the answer reports the
        failure.

        Raises
        ------
        TimeoutError
            If the deadline passed.
        OSError, MalformedMessage
            What has arrived is no answer.
        """
        self.reader.may_be_passed_on = True
        rest = memoryview(data)
        while rest:
            try:
                rest = rest[self.reader.conn.send_some(rest) :]
            except OSError as exc:
                if exc.errno is None:
                    raise
                self.reader.is_body_unsent = True
                return False
            if rest and self.has_answer():
                return False
        return True

    def has_answer(self) -> bool:
        """Return whether the answer has begun, or the stream has ended, before the whole request was sent.

        The connection can't be reused then, because the other side may still wait for the rest.
        """
        reader = self.reader
        while reader.receive_early():
            heads = reader.list_heads()
            if not (heads and self._belongs_to_another(heads[0])):
                reader.is_body_unsent = True
                return True
            reader.skip(reader.next_head())
        return False

    def _belongs_to_another(self, message: Message) -> bool:
        if self.reader.is_unidentified(message):
            return True
        return self._is_foreign is not None and self._is_foreign(message)


def _send(
    writer: _RequestWriter,
    request: Request,
    headers: list[tuple[str, str]],
    deadline: float,
    continue_wait: ContinueWait | None,
    first: bytes,
) -> None:
    """Write a request, of whose body `first` has been read; the head and a small body are sent in one piece."""
    reader, body = writer.reader, request.body
    lines = [f"{request.method} {request.target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers if name != "content-length"]
    if body.length is None:
        lines.append("transfer-encoding: chunked")
    elif body.length or request.method in _WITH_BODY:
        lines.append(f"content-length: {body.length}")
    if continue_wait is not None:
        lines.append("expect: 100-continue")
    head = ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")
    if body.length == 0:
        writer.write(head)
        return
    if continue_wait is not None:
        reader.conn.sendall(head)
        if not continue_wait.wait(reader):
            reader.is_body_unsent = True
            return
        request.check_caller()
        head = b""
    if body.needs_continue:
        # The deadline limits how late the body may be read.
        reader.conn.set_user_timeout(0)
    pacer = Pacer(reader.body_pace if continue_wait is not None else None, monotonic())
    if body.length is None:
        _send_chunked(writer, head, body, deadline, pacer, first)
    else:
        _send_counted(writer, head, body, deadline, pacer, first)


def _read_piece(body: Body, size: int, deadline: float) -> bytes:
    """Return the next piece of a body.

    Raises
    ------
    BodyTimeout
        If the deadline has passed; nothing more of the body is passed on then.
    """
    piece = body.read(size, deadline)
    if monotonic() >= deadline:
        raise BodyTimeout("the request body was not passed on before the deadline")
    return piece


def _read_next_piece(writer: _RequestWriter, body: Body, size: int, deadline: float) -> bytes | None:
    """Return the next piece of a body of which a part may have been sent; None if the answer begins before it comes.

    Raises
    ------
    BodyTimeout
        If the deadline has passed.
    """
    piece = None
    while piece is None:
        look_at = monotonic() + ANSWER_POLL
        try:
            piece = body.read(size, look_at if look_at < deadline - LAST_LOOK else deadline)
        except BodyTimeout:
            now = monotonic()
            if now >= deadline:
                raise
            if now >= deadline - LAST_LOOK:
                continue
        if writer.has_answer():
            return None
    if monotonic() >= deadline:
        raise BodyTimeout("the request body was not passed on before the deadline")
    return piece


def _send_counted(writer: _RequestWriter, head: bytes, body: Body, deadline: float, pacer: Pacer, first: bytes) -> None:
    bytes_left = body.length
    while bytes_left > 0:
        piece, first = first or _read_next_piece(writer, body, min(pacer.piece_size, bytes_left), deadline), b""
        if piece is None:
            return
        if not piece:
            raise ConnectionError(f"the request body ended {bytes_left} bytes before its declared length")
        if not writer.write(head + piece if head else piece):
            return
        head = b""
        bytes_left -= len(piece)
        if bytes_left:
            pacer.pause(len(piece))


def _send_chunked(writer: _RequestWriter, head: bytes, body: Body, deadline: float, pacer: Pacer, first: bytes) -> None:
    """Write a body in chunks; the head is sent together with the first chunk.

    If the head were sent earlier, the application might start the request although its sender,
    whose body was never requested, reports it as not run.
    """
    while piece := first or _read_next_piece(writer, body, pacer.piece_size, deadline):
        first = b""
        if not writer.write(b"%b%x\r\n%b\r\n" % (head, len(piece), piece)):
            return
        head = b""
        pacer.pause(len(piece))
    if piece is not None:
        writer.write(head + b"0\r\n\r\n")
