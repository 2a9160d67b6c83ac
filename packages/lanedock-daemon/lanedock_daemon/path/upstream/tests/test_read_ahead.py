# SPDX-License-Identifier: BSD-3-Clause
"""Tests of answers that are read ahead: the limits of memory, and the end of reading."""

import gevent
import pytest
from gevent.queue import Queue

from lanedock_daemon.path.http.messages import MAX_PIECE_BYTES
from lanedock_daemon.path.http.parsed_message import Message
from lanedock_daemon.path.upstream.read_ahead import ReadAhead, ReadAheadMemory

PIECE = bytes(MAX_PIECE_BYTES)


class _Pieces:
    """Pieces of an answer: those that the test has put, then the end or an error."""

    def __init__(self, message: Message):
        self.queue: Queue = Queue()
        self.taken = 0
        self.is_closed = False
        self._message = message

    def __next__(self) -> bytes:
        item = self.queue.get()
        if isinstance(item, Exception):
            raise item
        if item is None:
            raise StopIteration
        self.taken += 1
        return item

    def close(self) -> None:
        self.is_closed = True
        self.queue.put(ConnectionError("closed"))


def _make(memory: ReadAheadMemory) -> tuple[ReadAhead, _Pieces, Message]:
    message = Message()
    pieces = _Pieces(message)
    return ReadAhead(pieces, message, memory), pieces, message


def _settle() -> None:
    """Let all tasks run until each of them waits."""
    for _ in range(20):
        gevent.sleep(0)


def test_pieces_come_in_order_and_end():
    memory = ReadAheadMemory()
    answer, pieces, _ = _make(memory)
    for item in (b"one", b"two", None):
        pieces.queue.put(item)
    assert list(answer) == [b"one", b"two"]
    assert not memory.used


def test_reading_waits_at_the_limit_of_one_answer():
    """A slow receiver of a large answer must not use more memory than one answer may."""
    memory = ReadAheadMemory(100 * MAX_PIECE_BYTES, 3 * MAX_PIECE_BYTES)
    answer, pieces, _ = _make(memory)
    for _ in range(6):
        pieces.queue.put(PIECE)
    _settle()
    assert pieces.taken == 3 and memory.used == 3 * MAX_PIECE_BYTES
    assert next(answer) == PIECE
    _settle()
    assert pieces.taken == 4


def test_reading_waits_at_the_limit_of_all_answers_and_each_gets_on():
    """Answers that fill the memory must not stop others, whose receivers read."""
    memory = ReadAheadMemory(2 * MAX_PIECE_BYTES, 2 * MAX_PIECE_BYTES)
    first, pieces_of_first, _ = _make(memory)
    for _ in range(3):
        pieces_of_first.queue.put(PIECE)
    _settle()
    second, pieces_of_second, _ = _make(memory)
    for _ in range(3):
        pieces_of_second.queue.put(PIECE)
    _settle()
    # One piece of each answer is read in any case: its receiver waits for it.
    assert (pieces_of_first.taken, pieces_of_second.taken) == (2, 1)
    assert [next(second), next(second)] == [PIECE, PIECE]
    first.close()
    _settle()
    assert pieces_of_first.is_closed
    assert next(second) == PIECE
    assert not memory.used


def test_the_rest_of_a_complete_answer_is_taken_without_room():
    """The slot must not wait for the receiver once the application has sent everything."""
    memory = ReadAheadMemory(2 * MAX_PIECE_BYTES, 2 * MAX_PIECE_BYTES)
    answer, pieces, message = _make(memory)
    pieces.queue.put(PIECE)
    _settle()
    pieces.queue.put(PIECE)
    message.is_complete = True
    pieces.queue.put(None)
    _settle()
    assert pieces.queue.empty()
    assert list(answer) == [PIECE, PIECE]


def test_a_break_comes_after_the_pieces_before_it():
    answer, pieces, _ = _make(ReadAheadMemory())
    pieces.queue.put(b"one")
    pieces.queue.put(ConnectionError("broken"))
    assert next(answer) == b"one"
    for _ in range(2):
        with pytest.raises(ConnectionError):
            next(answer)


@pytest.mark.parametrize("is_waiting_for_room", [False, True])
def test_closing_ends_the_task_and_frees_the_memory(is_waiting_for_room):
    memory = ReadAheadMemory(MAX_PIECE_BYTES, MAX_PIECE_BYTES)
    answer, pieces, _ = _make(memory)
    pieces.queue.put(PIECE)
    if is_waiting_for_room:
        pieces.queue.put(PIECE)
    _settle()
    answer.close()
    answer.close()
    _settle()
    assert pieces.is_closed and answer._task.ready()
    assert not memory.used


@pytest.mark.parametrize("is_killed", [False, True])
def test_an_answer_that_is_ended_by_this_side_does_not_look_whole(is_killed):
    answer, pieces, _ = _make(ReadAheadMemory())
    pieces.queue.put(b"one")
    _settle()
    if is_killed:
        answer._task.kill()
        assert next(answer) == b"one"
    else:
        answer.close()
    for _ in range(2):
        with pytest.raises(ConnectionError):
            next(answer)


def test_a_receiver_that_waits_is_woken_by_the_end():
    answer, pieces, _ = _make(ReadAheadMemory())
    received = gevent.spawn(list, answer)
    _settle()
    pieces.queue.put(None)
    assert received.get(timeout=5) == []
