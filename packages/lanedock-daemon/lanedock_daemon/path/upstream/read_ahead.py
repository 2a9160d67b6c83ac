# SPDX-License-Identifier: BSD-3-Clause
"""Reads long answers from the application ahead of their receivers, so that receivers don't hold slots.

On a narrow link a long answer may take longer to send than the application takes to make it.
If the answer were read only as fast as it is sent, its request would hold a slot meanwhile.
"""

from collections import deque

import gevent
from gevent.event import Event as Signal

from lanedock_daemon.path.http.messages import MAX_PIECE_BYTES
from lanedock_daemon.path.http.parsed_message import Message
from lanedock_daemon.path.shared.answer_pieces import AnswerCut, AnswerPieces

__all__ = ["ReadAhead", "ReadAheadMemory"]

# Bytes of one answer, and of all answers of a daemon, that are read ahead at most.
MAX_ANSWER_BYTES = 1024 * 1024
MAX_TOTAL_BYTES = 8 * 1024 * 1024


class ReadAheadMemory:
    """The memory for the answers of one daemon that are read ahead.

    Parameters
    ----------
    limit : int
        Bytes of all answers.
    answer_limit : int
        Bytes of one answer.
    """

    def __init__(self, limit: int = MAX_TOTAL_BYTES, answer_limit: int = MAX_ANSWER_BYTES):
        self._limit = limit
        self._answer_limit = answer_limit
        self._waiting: dict[Signal, None] = {}
        self.used = 0

    def __repr__(self) -> str:
        return f"<ReadAheadMemory {self.used}/{self._limit}>"

    def has_room(self, held: int) -> bool:
        """Return whether one more piece may be read of an answer of which `held` bytes are in memory.

        An answer without a piece in memory always has room, because its receiver waits for one.
        """
        if not held:
            return True
        return held + MAX_PIECE_BYTES <= self._answer_limit and self.used + MAX_PIECE_BYTES <= self._limit

    def wait(self, signal: Signal) -> None:
        """Wait until `signal` is set or memory was released."""
        self._waiting[signal] = None
        try:
            signal.wait()
        finally:
            self._waiting.pop(signal, None)

    def change(self, size: int) -> None:
        """Add bytes to the memory in use, or release them if `size` is negative."""
        self.used += size
        if size < 0:
            for signal in self._waiting:
                signal.set()


class ReadAhead:
    """Iterator over the pieces of an answer that a task of its own reads from the application.

    The results of the run (crash detection, slot and service time) are recorded when the
    application's answer has ended, which may be long before its receiver has got it. If the
    answer breaks off, the receiver gets what came before, and then the error.

    Parameters
    ----------
    pieces : AnswerPieces
        Reads from the application's connection.
    message : Message
        The answer whose body is read.
    memory : ReadAheadMemory

    Attributes
    ----------
    on_cut : callable or None
        See `AnswerPieces`.
    """

    def __init__(self, pieces: AnswerPieces, message: Message, memory: ReadAheadMemory):
        self.on_cut = None
        self._pieces = pieces
        pieces.on_cut = self._discard
        self._message = message
        self._memory = memory
        self._read: deque[bytes] = deque()
        self._held = 0
        self._has_ended = False
        self._is_closed = False
        self._failure: Exception | None = None
        self._has_piece = Signal()
        self._has_room = Signal()
        self._task = gevent.spawn(self._read_pieces)

    def __repr__(self) -> str:
        return f"<ReadAhead held={self._held} has_ended={self._has_ended}>"

    def __iter__(self) -> "ReadAhead":
        return self

    def __next__(self) -> bytes:
        while not self._read:
            if self._failure is not None:
                raise self._failure
            if self._has_ended:
                raise StopIteration
            self._has_piece.clear()
            self._has_piece.wait()
        piece = self._read.popleft()
        self._release(len(piece))
        return piece

    def close(self) -> None:
        """Stop reading and release the memory: the receiver has disconnected, or has got the whole answer."""
        if self._is_closed:
            return
        self._is_closed = True
        if self._read or not self._has_ended:
            self._failure = self._failure or ConnectionError("the answer was closed before its end")
        self._read.clear()
        self._release(self._held)
        # If the answer has not ended, this closes the application's connection, which ends the task.
        self._pieces.close()
        self._has_piece.set()

    def _discard(self) -> None:
        """Discard what was read of an answer that was cut, and end the receiver's wait."""
        self._failure = self._failure or AnswerCut("the answer was cut at its time limit")
        self._read.clear()
        self._release(self._held)
        self._has_piece.set()
        if self.on_cut is not None:
            self.on_cut()

    def _release(self, size: int) -> None:
        self._held -= size
        self._memory.change(-size)
        self._has_room.set()

    def _read_pieces(self) -> None:
        try:
            while self._wait_for_room():
                piece = next(self._pieces, None)
                if piece is None or self._is_closed:
                    return
                self._read.append(piece)
                self._held += len(piece)
                self._memory.change(len(piece))
                self._has_piece.set()
        except BaseException as exc:
            # Raised again for the receiver, after the pieces that came before.
            if not isinstance(exc, Exception):
                self._failure = self._failure or ConnectionError(f"the answer is no longer read: {exc!r}")
                raise
            self._failure = self._failure or exc
        finally:
            self._has_ended = True
            self._has_piece.set()

    def _wait_for_room(self) -> bool:
        """Wait until another piece may be read; return False if the answer is no longer wanted."""
        # What is left of a complete answer is in memory already, and its slot must not wait for the receiver.
        while not (self._is_closed or self._message.is_complete or self._memory.has_room(self._held)):
            self._has_room.clear()
            self._memory.wait(self._has_room)
        return not self._is_closed
