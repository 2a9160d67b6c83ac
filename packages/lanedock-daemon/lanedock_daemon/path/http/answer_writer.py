# SPDX-License-Identifier: BSD-3-Clause
"""Writing answers piece by piece, and releasing the resources of their bodies."""

from lanedock_daemon.path.http.messages import Answer
from lanedock_daemon.path.http.parser import Message

__all__ = ["AnswerHead", "attach_pieces", "close_pieces", "make_head", "write_pieces"]

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
