# SPDX-License-Identifier: BSD-3-Clause
"""Finding the answer that is due behind bytes that belong to no request."""

from lanedock_daemon.path.http.headers import REQUEST_ID_HEADER
from lanedock_daemon.path.http.messages import NEVER
from lanedock_daemon.path.http.parser import MAX_HEAD_BYTES, AnswerReader, MalformedMessage, Message

__all__ = ["RecoveringAnswerReader"]

_ANSWER_START = b"HTTP/1."
# Places in the bytes of one read at which an answer is looked for.
MAX_STARTS = 8


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
    _discarded_bytes = 0
    # Last bytes of the discarded ones, with which an answer may begin.
    _rest = b""

    def begin_request(self, method: str, request_id: str) -> None:
        """Prepare for the answer to the next request; `request_id` is empty if its answer may have no id."""
        self.begin(method)
        self._request_id = request_id
        self.has_discarded = False
        self.recovery_deadline = NEVER
        self._discarded_bytes = 0
        self._rest = b""

    def note_own_answer(self, message: Message) -> None:
        """Record whether the answer to the request states its id."""
        self._has_former_id = bool(self._request_id) and message.header(REQUEST_ID_HEADER) == self._request_id

    def is_unidentified(self, message: Message) -> bool:
        """Return whether an answer behind discarded bytes doesn't state the id of the request."""
        return self.has_discarded and message.header(REQUEST_ID_HEADER) != self._request_id

    def _feed(self, data: bytes) -> bool:
        try:
            return super()._feed(data)
        except MalformedMessage:
            if not self._may_discard():
                raise
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
        start = data.find(_ANSWER_START)
        for _ in range(MAX_STARTS):
            self._restart()
            if start < 0:
                self._rest = data[1 - len(_ANSWER_START) :]
                self._note_discarded(len(data))
                return False
            try:
                is_valid = super()._feed(data[start:])
            except MalformedMessage:
                if not self._may_discard():
                    raise
            else:
                self._rest = b""
                self._note_discarded(start)
                return is_valid
            start = data.find(_ANSWER_START, start + 1)
        raise MalformedMessage("the bytes before the answer can't be told from it")

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
