# SPDX-License-Identifier: BSD-3-Clause
"""Finding the answer that is due behind bytes that belong to no request."""

import re
from itertools import islice

from lanedock_daemon.path.http.answer_reader import AnswerReader, InvalidAnswerHead
from lanedock_daemon.path.http.headers import REQUEST_ID_HEADER
from lanedock_daemon.path.http.messages import NEVER
from lanedock_daemon.path.http.parsed_message import Message
from lanedock_daemon.path.http.parser import MAX_HEAD_BYTES, MalformedMessage

__all__ = ["RecoveringAnswerReader"]

_STATUS_LINE = r"HTTP/1\.[01] [1-5][0-9][0-9]"
_ANSWER_START = re.compile(_STATUS_LINE.encode())
# Bytes of the beginning of an answer that may have come without the rest of it.
_PARTIAL_START_BYTES = len(b"HTTP/1.1 20")
_STATUS_LINE_TEXT = re.compile(_STATUS_LINE)
# Places in the bytes of one read at which an answer is looked for.
MAX_STARTS = 8


def _has_status_line(text: str) -> bool:
    """Return whether a text contains a status line."""
    # Hardly any text contains the first part, which is cheaper to look for.
    return "HTTP/1." in text and _STATUS_LINE_TEXT.search(text) is not None


class RecoveringAnswerReader(AnswerReader):
    """Reads answers, and discards bytes that are no answer before the one that is due.

    Such bytes may follow a former answer on the connection late. They are discarded only if that answer stated the id
    of its request: behind them, only an answer with the id of the request in progress is its own. On a connection
    without a former answer, the bytes are in the place of an answer.

    Attributes
    ----------
    has_discarded : bool
        Whether bytes were discarded since the request was begun.
    recovery_deadline : float
        Monotonic time, in seconds, until which an answer is awaited behind discarded bytes, which may have been
        sent in place of it.
    """

    has_discarded = False
    recovery_deadline = NEVER
    _request_id = ""
    _has_former_id = False
    # Names of headers in which accepted answers of the connection quoted status lines; None before the first answer.
    _quoting_names: set[str] | None = None
    _discarded_bytes = 0
    # Bytes in which an answer was found that may turn out to be none.
    _taken_bytes = 0
    # Last bytes of the discarded ones, with which an answer may begin.
    _rest = b""

    def begin_request(self, method: str, request_id: str) -> None:
        """Prepare for the answer to the next request; `request_id` is empty if its answer may have no id."""
        self.begin(method)
        self._request_id = request_id
        self.has_discarded = False
        self.recovery_deadline = NEVER
        self._discarded_bytes = self._taken_bytes = 0
        self._rest = b""

    def note_own_answer(self, message: Message) -> None:
        """Record whether the answer to the request states its id, and which headers quote a status line."""
        if not self._request_id:
            return
        self._has_former_id = message.header(REQUEST_ID_HEADER) == self._request_id
        quoting = {name for name, value in message.headers if _has_status_line(value)}
        self._quoting_names = quoting | (self._quoting_names or set())

    def is_unidentified(self, message: Message) -> bool:
        """Return whether an answer behind discarded bytes doesn't state the id of the request."""
        return self.has_discarded and message.header(REQUEST_ID_HEADER) != self._request_id

    def _feed(self, data: bytes) -> bool:
        try:
            is_valid = super()._feed(data)
        except InvalidAnswerHead:
            # With the id of the request it stands for the answer, and no other one follows.
            if not self._may_discard() or self._current.header(REQUEST_ID_HEADER) == self._request_id:
                raise
        except MalformedMessage:
            if not self._may_discard():
                raise
        else:
            if self.has_discarded:
                self._taken_bytes += len(data)
            return is_valid
        return self._discard(self._rest + data)

    def _may_discard(self) -> bool:
        """Return whether the bytes that can't be parsed precede the answer that is due."""
        is_in_body = self._current is not None and not (self._current.is_complete or self.is_in_head)
        return bool(self._has_former_id and self._request_id) and not (self._heads or is_in_body)

    def _discard(self, data: bytes) -> bool:
        """Discard bytes up to the answer that they contain; all of them if they contain none.

        Raises
        ------
        MalformedMessage
            Too many bytes were discarded, or the bytes can't be told from an answer.
        """
        if not self.has_discarded:
            self.has_discarded = self.has_skipped = True
            if self.recovery_deadline != NEVER:
                self.conn.set_deadline(self.recovery_deadline)
        self._note_discarded(self._taken_bytes)
        self._taken_bytes = 0
        starts = [match.start() for match in islice(_ANSWER_START.finditer(data), MAX_STARTS + 1)]
        if len(starts) > MAX_STARTS:
            raise MalformedMessage("the bytes before the answer can't be told from it")
        for start in starts:
            self._restart()
            try:
                is_valid = super()._feed(data[start:])
            except MalformedMessage:
                if not self._may_discard():
                    raise
            else:
                self._rest = b""
                self._note_discarded(start)
                self._taken_bytes = len(data) - start
                return is_valid
        self._restart()
        self._rest = data[-_PARTIAL_START_BYTES:]
        self._note_discarded(len(data))
        return False

    def _finish_head(self, message: Message) -> None:
        """Refuse a head that was cut, and into which the next one was read: its status would be taken for the other's.

        A header may quote a status line, so a value with one is no sign by itself. It is none if the request's id
        stands before it, or if an answer that was accepted on the connection had one under the same name: nothing
        precedes the first answer of a connection.
        """
        super()._finish_head(message)
        if _has_status_line(message.reason) or self._has_foreign_status_line(message):
            raise MalformedMessage("the head of an answer contains the beginning of another one")

    def _has_foreign_status_line(self, message: Message) -> bool:
        """Return whether a value contains a status line that may be the one of the answer that is due."""
        if not self.has_discarded and self._quoting_names is None:
            return False
        for name, value in message.headers:
            if name == REQUEST_ID_HEADER and value == self._request_id and not self.has_discarded:
                return False
            if _has_status_line(value) and (self.has_discarded or name not in self._quoting_names):
                return True
        return False

    def _restart(self) -> None:
        """Replace the parser, which can't go on after invalid bytes."""
        self._parser = self._make_parser()
        self._current = None
        self.is_in_head = False
        self._pending_bytes = 0

    def _note_discarded(self, size: int) -> None:
        self._discarded_bytes += size
        if self._discarded_bytes > MAX_HEAD_BYTES:
            raise MalformedMessage(f"more than {MAX_HEAD_BYTES} bytes that are no answer")
