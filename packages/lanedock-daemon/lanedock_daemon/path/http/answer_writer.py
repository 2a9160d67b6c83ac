# SPDX-License-Identifier: BSD-3-Clause
"""Writing answers piece by piece, and releasing the resources of their bodies."""

import gevent

from lanedock.clock import monotonic
from lanedock_daemon.path.http.channel import Channel
from lanedock_daemon.path.http.headers import PACE_HEADER
from lanedock_daemon.path.http.messages import NEVER, Answer, BodyTimeout
from lanedock_daemon.path.http.parsed_message import Message

__all__ = ["AnswerHead", "AnswerWriter", "attach_pieces", "close_pieces", "make_head", "write_pieces"]

_CONTINUE = b"HTTP/1.1 100 Continue\r\n"
_BODILESS_STATUSES = (204, 304)


class AnswerHead:
    """The head of an answer, and how its body is delimited (RFC 9112, 6.3).

    Attributes
    ----------
    data : bytes
    has_body : bool
    is_chunked : bool
    is_close_delimited : bool
        Whether the end of the body is the end of the connection.
    announces_close : bool
        Whether the connection closes after the answer.
    """

    __slots__ = ("announces_close", "data", "has_body", "is_chunked", "is_close_delimited")

    def __init__(self, data: bytes, has_body: bool, is_chunked: bool, is_close_delimited: bool, announces_close: bool):
        self.data = data
        self.has_body = has_body
        self.is_chunked = is_chunked
        self.is_close_delimited = is_close_delimited
        self.announces_close = announces_close

    def __repr__(self) -> str:
        return f"<AnswerHead {self.data[:15]!r}>"


def make_head(answer: Answer, request: Message, keep_alive: bool) -> AnswerHead:
    """Make the head of the answer to a request; `keep_alive` states whether the connection may stay open."""
    lines = [f"HTTP/1.1 {answer.status} {answer.reason}"]
    has_length = False
    for name, value in answer.headers:
        has_length = has_length or name == "content-length"
        lines.append(f"{name}: {value}")
    has_body = request.method != "HEAD" and answer.status not in _BODILESS_STATUSES
    is_chunked = has_body and not has_length and request.version == "1.1"
    is_close_delimited = has_body and not (has_length or is_chunked)
    announces_close = is_close_delimited or not keep_alive
    if is_chunked:
        lines.append("transfer-encoding: chunked")
    if announces_close:
        lines.append("connection: close")
    data = ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")
    return AnswerHead(data, has_body, is_chunked, is_close_delimited, announces_close)


def write_pieces(conn, head: bytes, pieces, is_chunked: bool) -> None:
    """Write an answer; its head is sent together with the first piece of its body.

    Parameters
    ----------
    conn : Channel
    head : bytes
    pieces : iterable of bytes
    is_chunked : bool
        Whether the body is written in chunks (RFC 9112, 7.1).

    Raises
    ------
    OSError
        The caller has disconnected, or the body broke off.
    """
    pending = head
    for piece in pieces:
        if not piece:
            continue
        if is_chunked:
            piece = b"%x\r\n%b\r\n" % (len(piece), piece)
        conn.sendall(pending + piece if pending else piece)
        pending = b""
    if is_chunked:
        pending += b"0\r\n\r\n"
    if pending:
        conn.sendall(pending)


class AnswerWriter:
    """Writes the answers of one connection, interim and final ones, one at a time.

    Parameters
    ----------
    conn : Channel

    Attributes
    ----------
    is_writing : bool
        Whether an answer is being written, or was broken off.
    is_close_delimited : bool
        Whether that answer has no length, so that its end is the end of the connection.
    """

    __slots__ = ("_conn", "_rest_of_continue", "is_close_delimited", "is_writing")

    def __init__(self, conn: Channel):
        self._conn = conn
        # What is left of an interim answer that was sent in part; precedes the next answer.
        self._rest_of_continue = b""
        self.is_writing = False
        self.is_close_delimited = False

    def __repr__(self) -> str:
        return f"<AnswerWriter is_writing={self.is_writing}>"

    def send_continue(self, pace: float, deadline: float) -> None:
        """Send `100 Continue`, or what is left of it after an earlier call.

        Parameters
        ----------
        pace : float
            Bytes per second at which the body is asked for; infinite for no limit.
        deadline : float
            Monotonic seconds.

        Raises
        ------
        BodyTimeout
            The line was not sent whole by the deadline; the next answer is written behind its rest.
        OSError
        """
        header = b"" if pace == NEVER else b"%b: %d\r\n" % (PACE_HEADER.encode(), pace)
        line = self._rest_of_continue or _CONTINUE + header + b"\r\n"
        seconds = None if deadline == NEVER else max(0.0, deadline - monotonic())
        written = self._conn.written
        try:
            with gevent.Timeout(seconds, BodyTimeout("the request body was not asked for before its deadline")):
                self._conn.sendall(line)
        except BaseException:
            if self._rest_of_continue or self._conn.written > written:
                self._rest_of_continue = line[self._conn.written - written :]
            raise
        self._rest_of_continue = b""

    def write(self, head: AnswerHead, answer: Answer) -> None:
        """Write an answer; its head is sent together with the first piece of its body.

        Raises
        ------
        OSError
            The caller has disconnected, or the body broke off.
        """
        self.is_writing = True
        data, self._rest_of_continue = self._rest_of_continue + head.data, b""
        if head.is_close_delimited:
            # Until the whole answer is written, its connection must not end in order, not even with the process.
            self._conn.reset_on_close()
            self.is_close_delimited = True
        pieces = iter(answer.pieces)
        attach_pieces(pieces, self._conn)
        try:
            if head.has_body:
                write_pieces(self._conn, data, pieces, head.is_chunked)
            else:
                self._conn.sendall(data)
        finally:
            close_pieces(pieces)
        if head.is_close_delimited:
            self._conn.reset_on_close(False)
            self.is_close_delimited = False
        self.is_writing = False


def attach_pieces(pieces, conn) -> None:
    """Tell an answer's body to which connection it is written, if it has an `attach` method."""
    attach = getattr(pieces, "attach", None)
    if attach is not None:
        attach(conn)


def close_pieces(pieces) -> None:
    """Release the resources of an answer's body, if it has a `close` method."""
    close = getattr(pieces, "close", None)
    if close is not None:
        close()
