# SPDX-License-Identifier: BSD-3-Clause
"""Reading HTTP messages from connections with httptools' parser (llhttp in strict mode)."""

from collections import deque

import httptools

from lanedock.clock import monotonic
from lanedock.errors import ErrorCode, LanedockError
from lanedock_daemon.path.http.parsed_message import MESSAGE_BYTES, Message

__all__ = ["MAX_HEAD_BYTES", "MalformedMessage", "MessageReader", "RequestReader"]

# Maximum bytes per read from a connection.
RECEIVE_SIZE = 64 * 1024
# The same where requests' heads are expected: other connections wait while thousands of header lines are parsed.
HEAD_RECEIVE_SIZE = 16 * 1024
MAX_HEAD_BYTES = 32 * 1024
# The colon, the space and the line end of a header line.
HEADER_DELIMITER_BYTES = 4


class MalformedMessage(LanedockError):
    """The received message is malformed and is not passed on."""

    def __init__(self, message: str, status: int = 400):
        super().__init__(ErrorCode.BAD_REQUEST, message)
        self.status = status


class MessageReader:
    """Reads successive messages from one connection.

    Parameters
    ----------
    conn : Channel
    """

    # Bytes of a head by its lines, and of what the parser keeps of one that is not complete.
    _max_head_bytes = _max_pending_bytes = MAX_HEAD_BYTES

    def __init__(self, conn):
        self.conn = conn
        self._parser = self._make_parser()
        self._heads: deque[Message] = deque()
        self._current: Message | None = None
        # Parts of the current message's body from the read that is being parsed.
        self._parts: list[bytes] = []
        self._head_bytes = 0
        # Bytes of the reads since the one that completed the last part of a message: the parser keeps
        # them, be they of a head, of a trailer or between messages.
        self._pending_bytes = 0
        self._has_completed_part = False
        self._start_line_text = b""
        self.is_in_head = False

    def _make_parser(self):
        raise NotImplementedError

    # ---------------------------------------------------- parser callbacks

    def on_message_begin(self) -> None:
        self._current = Message()
        self._head_bytes = 0
        self._start_line_text = b""
        self.is_in_head = self._has_completed_part = True

    def on_header(self, name: bytes, value: bytes) -> None:
        self._head_bytes += len(name) + len(value) + HEADER_DELIMITER_BYTES
        if self._head_bytes > self._max_head_bytes:
            raise MalformedMessage(f"the head is longer than {self._max_head_bytes} bytes", 431)
        self._current.add_header(name, value)

    def on_headers_complete(self) -> None:
        self.is_in_head = False
        self._has_completed_part = True
        self._current.keep_alive = self._parser.should_keep_alive()
        self._current.version = self._parser.get_http_version()
        self._current.read_at = monotonic()
        self._current.head_bytes = self._head_bytes
        self._finish_head(self._current)
        self._heads.append(self._current)

    def on_body(self, body: bytes) -> None:
        self._has_completed_part = True
        self._parts.append(body)

    def on_message_complete(self) -> None:
        self._has_completed_part = True
        self._add_parts()
        self._current.is_complete = True

    def _add_parts(self) -> None:
        """Add what was read of a body to its message in one piece: it may have come in very many chunks."""
        if self._parts:
            self._current.add_piece(self._parts[0] if len(self._parts) == 1 else b"".join(self._parts))
            self._parts.clear()

    def _finish_head(self, message: Message) -> None:
        """Copy the fields of the start line to the message, and check it."""

    # ------------------------------------------------------------------ reading

    def next_head(self) -> Message | None:
        """Wait for the head of the next message and return the message; None at the end of the stream.

        Raises
        ------
        MalformedMessage
        OSError
            The connection broke, timed out, or ended within a head.
        """
        while not self._heads:
            if not self._receive():
                if self.is_in_head:
                    raise ConnectionError("the connection ended before the end of a message head")
                return None
        return self._heads.popleft()

    @property
    def unfinished_head(self) -> Message | None:
        """The message whose head has begun and not ended."""
        return self._current if self.is_in_head else None

    def has_head(self) -> bool:
        """Return whether a complete head is buffered."""
        return bool(self._heads)

    def list_heads(self) -> list[Message]:
        """Return the messages whose complete heads are buffered."""
        return list(self._heads)

    def count_heads(self) -> int:
        """Return the number of complete heads that are buffered."""
        return len(self._heads)

    def first_head(self) -> Message:
        """Return the first message whose complete head is buffered, which stays there."""
        return self._heads[0]

    def count_held_bytes(self) -> int:
        """Return the memory, in bytes, of the messages whose heads are buffered or have begun."""
        if not (self._heads or self.is_in_head):
            return 0
        size = MESSAGE_BYTES + self._head_bytes + self._pending_bytes if self.is_in_head else 0
        for message in self._heads:
            size += MESSAGE_BYTES + message.head_bytes + message.count_unread_bytes()
        return size

    def has_incomplete_message(self) -> bool:
        """Return whether a head is buffered whose body has not been received whole."""
        return bool(self._heads) and not self._heads[-1].is_complete

    def has_unread_data(self) -> bool:
        """Return whether data of a further message was received."""
        return bool(self._heads) or self.is_in_head

    def discard_read_ahead(self, kept: Message | None = None) -> None:
        """Discard the buffered messages; the body of `kept` stays."""
        self._heads.clear()
        if self._current is not None and self._current is not kept:
            self._current.discard_pieces()

    def receive(self) -> bool:
        """Wait for data and parse it; return False at the end of the stream."""
        return self._receive()

    def next_piece(self, message: Message) -> bytes:
        """Wait for the next piece of a body and return it; empty at the end of the body.

        Raises
        ------
        MalformedMessage
        OSError
            The connection broke or timed out before the end of the body.
        """
        while not message.pieces:
            if message.is_complete:
                return b""
            if not self._receive():
                self._handle_close_in_body(message)
        return message.take_piece()

    def _handle_close_in_body(self, message: Message) -> None:
        raise ConnectionError("the connection ended before the end of a message body")

    def _tolerates_parse_error(self) -> bool:
        """Return whether the bytes that can't be parsed follow the last expected message."""
        return False

    def _receive(self) -> bool:
        size = self._receive_size()
        if self.is_in_head or self._pending_bytes:
            size = min(size, self._max_pending_bytes - self._pending_bytes)
        data = self.conn.recv(size)
        if not data:
            return False
        self._has_completed_part = False
        if not self._feed(data):
            return True
        self._pending_bytes = 0 if self._has_completed_part else self._pending_bytes + len(data)
        if self._pending_bytes >= self._max_pending_bytes:
            raise MalformedMessage(f"a head or trailer is longer than {self._max_pending_bytes} bytes", 431)
        return True

    def _receive_size(self) -> int:
        """Return how many bytes the next read may return."""
        return RECEIVE_SIZE

    def _feed(self, data: bytes) -> bool:
        """Parse data; return False if it is invalid and can be ignored.

        Raises
        ------
        MalformedMessage
        """
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as exc:
            raise MalformedMessage("upgrades are not supported", 501) from exc
        except httptools.HttpParserError as exc:
            if self._tolerates_parse_error():
                return False
            cause = exc.__context__
            if isinstance(cause, MalformedMessage):
                raise cause from None
            raise MalformedMessage(f"the message is not valid HTTP: {exc}") from exc
        finally:
            self._add_parts()
        return True


class RequestReader(MessageReader):
    """Reads requests from a caller's connection.

    Parameters
    ----------
    conn : Channel
    get_max_head_bytes : callable, optional
        Returns how many bytes the head of the next request may have.
    """

    def __init__(self, conn, get_max_head_bytes=lambda: MAX_HEAD_BYTES):
        super().__init__(conn)
        self._get_max_head_bytes = get_max_head_bytes
        self._max_pending_bytes = max(MAX_HEAD_BYTES, get_max_head_bytes())

    def on_message_begin(self) -> None:
        super().on_message_begin()
        self._max_head_bytes = self._get_max_head_bytes()

    def _make_parser(self):
        return httptools.HttpRequestParser(self)

    def _receive_size(self) -> int:
        is_in_body = self._current is not None and not (self.is_in_head or self._current.is_complete)
        return RECEIVE_SIZE if is_in_body else HEAD_RECEIVE_SIZE

    def on_url(self, url: bytes) -> None:
        self._start_line_text += url
        if len(self._start_line_text) > MAX_HEAD_BYTES:
            raise MalformedMessage(f"the request target is longer than {MAX_HEAD_BYTES} bytes", 414)
        self._head_bytes += len(url)
        # The limits in force count the header lines.
        self._max_head_bytes = min(self._max_pending_bytes, self._max_head_bytes + len(url))

    def _finish_head(self, message: Message) -> None:
        message.method = self._parser.get_method().decode("latin-1")
        message.target = self._start_line_text.decode("latin-1")
        _check_framing(message)
        if self._parser.should_upgrade():
            # Raised before the head is queued: otherwise the request would be started, and
            # this refusal would follow its answer.
            raise MalformedMessage("upgrades are not supported", 501)


def _check_framing(message: Message) -> None:
    """Refuse requests whose framing is ambiguous and that parsers could read differently (RFC 9112, 6.3)."""
    lengths, encodings, hosts = [], [], []
    for name, value in message.iterate_headers():
        if name == "host":
            hosts.append(value)
        elif name == "content-length":
            lengths.append(value)
        elif name == "transfer-encoding":
            encodings.append(value)
    if len(lengths) > 1 or (lengths and encodings):
        raise MalformedMessage(
            "the request has several content-length headers, or content-length and transfer-encoding"
        )
    if encodings and [value.strip().lower() for value in encodings] != ["chunked"]:
        raise MalformedMessage("unsupported transfer encoding: only chunked is supported", 501)
    if lengths and not lengths[0].isdigit():
        raise MalformedMessage("the content-length header is not a number")
    if len(hosts) > 1 or (not hosts and message.version == "1.1"):
        raise MalformedMessage(f"the request must have exactly one host header, got {len(hosts)}")
    if message.method == "CONNECT" or not message.target.startswith("/"):
        raise MalformedMessage("the request target must be a path that starts with /, and CONNECT is not supported")
