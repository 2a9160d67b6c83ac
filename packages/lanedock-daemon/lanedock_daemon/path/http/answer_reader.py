# SPDX-License-Identifier: BSD-3-Clause
"""Reading answers from an upstream's connection."""

import httptools

from lanedock_daemon.path.http.headers import PACE_HEADER, parse_int
from lanedock_daemon.path.http.parsed_message import Message
from lanedock_daemon.path.http.parser import MAX_HEAD_BYTES, MalformedMessage, MessageReader

__all__ = ["AnswerReader", "InvalidAnswerHead"]

# Bytes of an interim answer besides its headers and reason.
INTERIM_DELIMITER_BYTES = len(b"HTTP/1.1 100 \r\n\r\n")
_BODILESS_STATUSES = (204, 304)
# The first status (RFC 9110, 15), the interim answer that asks for a request's body, and the first final status.
_FIRST_STATUS, _CONTINUE, _FIRST_FINAL_STATUS = 100, 100, 200
# Versions of answers on these connections (RFC 9112, 2.3).
_VERSIONS = ("1.0", "1.1")


class InvalidAnswerHead(MalformedMessage):
    """The head of an answer can be read, but its status or version is none that an answer may have."""


class AnswerReader(MessageReader):
    """Reads answers from an upstream's connection.

    Attributes
    ----------
    method : str
        Method of the request whose answer is read: an answer to HEAD has no body.
    got_continue : bool
        Whether an interim answer has asked for the request's body.
    body_pace : int or None
        Bytes per second at which the interim answer asked for the body; None for no limit.
    is_body_unsent : bool
        Whether the answer arrived before the request's body was sent completely.
    may_be_passed_on : bool
        Whether enough of the request was sent that the peer may have passed on a part of it.
    has_skipped : bool
        Whether an answer to another request was discarded.
    """

    method = ""
    got_continue = False
    body_pace: int | None = None
    is_body_unsent = False
    may_be_passed_on = False
    has_skipped = False
    # Bytes of the interim answers before the final one.
    _interim_bytes = 0
    _is_answer_complete = False
    _has_trailing_bytes = False

    def begin(self, method: str) -> None:
        """Prepare for the answer to the next request."""
        self.method = method
        self.may_be_passed_on = False
        self.has_skipped = False
        self._interim_bytes = 0
        self._is_answer_complete = False

    def skip(self, message: Message) -> None:
        """Discard the rest of an answer to another request, and prepare for the answer that is due.

        Raises
        ------
        MalformedMessage
            Nothing more can be read after the answer.
        OSError
        """
        self.has_skipped = True
        while self.next_piece(message):
            pass
        if self._has_trailing_bytes or not message.keep_alive:
            raise MalformedMessage("nothing can be read behind an answer to another request")
        self._interim_bytes = 0
        self._is_answer_complete = self.has_head() and self._heads[-1].is_complete

    def receive_early(self) -> bool:
        """Parse what has arrived, without waiting; return whether a head is buffered or the stream has ended.

        Interim answers and a part of a head don't count: the rest of the request is still due.

        Raises
        ------
        MalformedMessage
        OSError
        """
        while not (self.has_head() or self.conn.is_clean()):
            if not self._receive():
                return True
        return self.has_head()

    def on_message_complete(self) -> None:
        super().on_message_complete()
        # The end of an interim answer is not the end of the answer.
        self._is_answer_complete = self._is_answer_complete or self._parser.get_status_code() >= _FIRST_FINAL_STATUS

    def _tolerates_parse_error(self) -> bool:
        """Accept invalid bytes after a complete answer: they only make the connection unfit for reuse."""
        self._has_trailing_bytes = self._is_answer_complete
        return self._has_trailing_bytes

    def has_unread_data(self) -> bool:
        return self._has_trailing_bytes or super().has_unread_data()

    def _make_parser(self):
        return httptools.HttpResponseParser(self)

    def wait_for_continue(self) -> bool:
        """Wait until the peer asks for the body; return False if it answers without asking.

        Raises
        ------
        MalformedMessage
        OSError
        """
        self.got_continue = False
        while not (self.got_continue or self.has_head()):
            if not self._receive():
                raise ConnectionError("the connection ended before an answer to the request")
        return self.got_continue

    def on_status(self, status: bytes) -> None:
        self._start_line_text += status

    def on_headers_complete(self) -> None:
        status, version = self._parser.get_status_code(), self._parser.get_http_version()
        if status < _FIRST_STATUS or version not in _VERSIONS:
            raise InvalidAnswerHead(f"an answer with status {status:03d} in HTTP/{version}")
        if status < _FIRST_FINAL_STATUS:
            # An interim answer; the final one follows.
            self.is_in_head = False
            self._has_completed_part = True
            self._interim_bytes += self._head_bytes + len(self._start_line_text) + INTERIM_DELIMITER_BYTES
            if self._interim_bytes > MAX_HEAD_BYTES:
                raise MalformedMessage(f"the interim answers are longer than {MAX_HEAD_BYTES} bytes", 431)
            if status == _CONTINUE:
                self.got_continue = True
                self.body_pace = parse_int(self._current.header(PACE_HEADER))
            return
        super().on_headers_complete()

    def _finish_head(self, message: Message) -> None:
        message.status = self._parser.get_status_code()
        message.reason = self._start_line_text.decode("latin-1")
        if self.method == "HEAD" or message.status in _BODILESS_STATUSES:
            message.is_complete = True
            if message.status not in _BODILESS_STATUSES:
                # The parser still expects the body that the headers describe, so it can't read another answer.
                message.keep_alive = False

    def _handle_close_in_body(self, message: Message) -> None:
        """End a body without a length at the close of the connection; other bodies are incomplete."""
        if message.header("content-length") or message.header("transfer-encoding"):
            raise ConnectionError("the connection ended before the end of an answer's body")
        message.is_complete = True
        message.keep_alive = False
        message.pieces.append(b"")
