# SPDX-License-Identifier: BSD-3-Clause
"""Reading of HTTP messages from sockets, with httptools' parser (llhttp, strict)."""

from collections import deque

import httptools

from lanedock.errors import ErrorCode, LanedockError
from lanedock_daemon.path.headers import PACE_HEADER, read_int
from lanedock_daemon.path.http import HeadersByName

__all__ = ["HEAD_LIMIT", "AnswerReader", "MalformedMessage", "MessageReader", "RequestReader"]

RECEIVE = 64 * 1024
HEAD_LIMIT = 32 * 1024
_NO_BODY = (204, 304)
# Names of headers as they came, and in lower case; others beyond these are made anew.
_MAX_NAMES = 256
_NAMES: dict[bytes, str] = {}


def _read_name(name: bytes) -> str:
    text = name.decode("latin-1").lower()
    if len(_NAMES) < _MAX_NAMES:
        _NAMES[name] = text
    return text


class MalformedMessage(LanedockError):
    """What came is not a well-formed message; nothing of it is passed on."""

    def __init__(self, message: str, status: int = 400):
        super().__init__(ErrorCode.BAD_REQUEST, message)
        self.status = status


class Message(HeadersByName):
    """One message as far as it was read.

    Attributes
    ----------
    headers : list of tuple of (str, str)
        Names in lower case.
    pieces : deque of bytes
        Of the body, read but not taken yet.
    is_complete : bool
        Whether the body was read to its end.
    """

    __slots__ = (
        "is_complete",
        "keep_alive",
        "method",
        "pieces",
        "reason",
        "status",
        "target",
        "version",
    )

    def __init__(self):
        super().__init__([])
        self.pieces: deque[bytes] = deque()
        self.is_complete = False
        self.keep_alive = True
        self.method = ""
        self.target = ""
        self.status = 0
        self.reason = ""
        self.version = ""

    def size_ahead(self) -> int:
        """Return how many bytes of the body were read and not taken yet."""
        return sum(len(piece) for piece in self.pieces)


class MessageReader:
    """Reads messages from one connection, one after the other.

    Parameters
    ----------
    conn : socket
    """

    def __init__(self, conn):
        self.conn = conn
        self._parser = self._make_parser()
        self._heads: deque[Message] = deque()
        self._current: Message | None = None
        self._head_bytes = 0
        self._text = b""
        self.is_in_head = False

    def _make_parser(self):
        raise NotImplementedError

    # ---------------------------------------------------- callbacks of the parser

    def on_message_begin(self) -> None:
        self._current = Message()
        self._head_bytes = 0
        self._text = b""
        self.is_in_head = True

    def on_header(self, name: bytes, value: bytes) -> None:
        self._head_bytes += len(name) + len(value)
        if self._head_bytes > HEAD_LIMIT:
            raise MalformedMessage(f"the head is longer than {HEAD_LIMIT} bytes", 431)
        self._current.headers.append((_NAMES.get(name) or _read_name(name), value.decode("latin-1")))

    def on_headers_complete(self) -> None:
        self.is_in_head = False
        self._current.keep_alive = self._parser.should_keep_alive()
        self._current.version = self._parser.get_http_version()
        self._finish_head(self._current)
        self._heads.append(self._current)

    def on_body(self, body: bytes) -> None:
        self._current.pieces.append(body)

    def on_message_complete(self) -> None:
        self._current.is_complete = True

    def _finish_head(self, message: Message) -> None:
        """Fill in what the parser knows of the start line."""

    # ------------------------------------------------------------------ reading

    def next_head(self) -> Message | None:
        """Return the next message once its head was read; None at the end.

        Raises
        ------
        MalformedMessage
        OSError
            The connection broke, or timed out, or ended within a head.
        """
        while not self._heads:
            if not self._receive():
                if self.is_in_head:
                    raise ConnectionError("the connection ended within a head")
                return None
            if self.is_in_head and self._head_bytes > HEAD_LIMIT:
                raise MalformedMessage(f"the head is longer than {HEAD_LIMIT} bytes", 431)
        return self._heads.popleft()

    def has_head(self) -> bool:
        """Tell whether a head was read ahead."""
        return bool(self._heads)

    def has_rest(self) -> bool:
        """Tell whether more came than the message read last."""
        return bool(self._heads) or self.is_in_head

    def drop(self, kept: Message | None = None) -> None:
        """Forget what was read ahead, but for the body of one message."""
        self._heads.clear()
        if self._current is not None and self._current is not kept:
            self._current.pieces.clear()

    def receive_first(self) -> bool:
        """Wait for the first bytes of the next message; False at the end."""
        return self._receive()

    def next_piece(self, message: Message) -> bytes:
        """Return the next piece of a body; empty at its end.

        Raises
        ------
        MalformedMessage
        OSError
            The connection broke or timed out before the end.
        """
        while not message.pieces:
            if message.is_complete:
                return b""
            if not self._receive():
                self._end_by_close(message)
        return message.pieces.popleft()

    def _end_by_close(self, message: Message) -> None:
        raise ConnectionError("the connection ended within a body")

    def _is_past_end(self) -> bool:
        """Tell whether what can't be read stands behind all that is wanted."""
        return False

    def _receive(self) -> bool:
        data = self.conn.recv(RECEIVE)
        if not data:
            return False
        if self.is_in_head:
            # What the parser holds back of a header is counted, too.
            self._head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as exc:
            raise MalformedMessage("upgrades are not supported", 501) from exc
        except httptools.HttpParserError as exc:
            if self._is_past_end():
                return True
            cause = exc.__context__
            if isinstance(cause, MalformedMessage):
                raise cause from None
            raise MalformedMessage(f"not HTTP: {exc}") from exc
        return True


class RequestReader(MessageReader):
    """Reads requests from a caller's connection."""

    def _make_parser(self):
        return httptools.HttpRequestParser(self)

    def on_url(self, url: bytes) -> None:
        self._text += url
        if len(self._text) > HEAD_LIMIT:
            raise MalformedMessage("the target is too long", 414)

    def _finish_head(self, message: Message) -> None:
        message.method = self._parser.get_method().decode("latin-1")
        message.target = self._text.decode("latin-1")
        _check_framing(message)
        if self._parser.should_upgrade():
            # Before its head counts as read: else it is begun, and refused behind its answer.
            raise MalformedMessage("upgrades are not supported", 501)


class AnswerReader(MessageReader):
    """Reads answers from an upstream's connection.

    Attributes
    ----------
    method : str
        Of the request whose answer is read: one to HEAD has no body.
    may_continue : bool
        Whether an interim answer asked for the request's body.
    body_pace : int or None
        Bytes a second at which it asked for the body; None for any.
    is_body_unsent : bool
        Whether the answer came before all of the request's body was sent.
    is_passed_on : bool
        Whether any of the request was sent that the other side may pass on.
    """

    method = ""
    may_continue = False
    body_pace: int | None = None
    is_body_unsent = False
    is_passed_on = False
    _is_whole = False
    _is_spoiled = False

    def begin(self, method: str) -> None:
        """Be ready for the answer to another request."""
        self.method = method
        self.is_passed_on = False
        self._is_whole = False

    def on_message_complete(self) -> None:
        super().on_message_complete()
        self._is_whole = True

    def _is_past_end(self) -> bool:
        """Bytes behind a whole answer belong to no request: they spoil the connection only."""
        self._is_spoiled = self._is_whole
        return self._is_spoiled

    def has_rest(self) -> bool:
        return self._is_spoiled or super().has_rest()

    def _make_parser(self):
        return httptools.HttpResponseParser(self)

    def wait_for_consent(self) -> bool:
        """Wait until the other side wants the body; False where it has answered without.

        Raises
        ------
        MalformedMessage
        OSError
        """
        self.may_continue = False
        while not (self.may_continue or self.has_head()):
            if not self._receive():
                raise ConnectionError("the connection ended before the answer")
        return self.may_continue

    def on_status(self, status: bytes) -> None:
        self._text += status

    def on_headers_complete(self) -> None:
        if self._parser.get_status_code() < 200:
            # An interim answer; the final one follows.
            self.is_in_head = False
            self.may_continue = True
            self.body_pace = read_int(self._current.header(PACE_HEADER))
            return
        super().on_headers_complete()

    def _finish_head(self, message: Message) -> None:
        message.status = self._parser.get_status_code()
        message.reason = self._text.decode("latin-1")
        if self.method == "HEAD" or message.status in _NO_BODY:
            message.is_complete = True
            if message.status not in _NO_BODY:
                # The parser still waits for the body that was only described.
                message.keep_alive = False

    def _end_by_close(self, message: Message) -> None:
        """A body without a length ends with its connection."""
        if message.header("content-length") or message.header("transfer-encoding"):
            raise ConnectionError("the connection ended within a body")
        message.is_complete = True
        message.keep_alive = False
        message.pieces.append(b"")


def _check_framing(message: Message) -> None:
    """Refuse what two readers could take for different messages (RFC 9112, 6.3)."""
    lengths, encodings, hosts = [], [], []
    for name, value in message.headers:
        if name == "host":
            hosts.append(value)
        elif name == "content-length":
            lengths.append(value)
        elif name == "transfer-encoding":
            encodings.append(value)
    if len(lengths) > 1 or (lengths and encodings):
        raise MalformedMessage("the body's length is given twice")
    if encodings and [value.strip().lower() for value in encodings] != ["chunked"]:
        raise MalformedMessage("only the transfer encoding chunked is supported", 501)
    if lengths and not lengths[0].isdigit():
        raise MalformedMessage("the content length is no number")
    if len(hosts) > 1 or (not hosts and message.version == "1.1"):
        raise MalformedMessage("the request has to name one host")
    if message.method == "CONNECT" or not message.target.startswith("/"):
        raise MalformedMessage("the target has to be a path")
