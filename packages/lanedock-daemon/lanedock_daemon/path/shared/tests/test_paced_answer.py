# SPDX-License-Identifier: BSD-3-Clause
"""Tests of answers that wait for their turns on a narrow link.

They guard against a turn that stays taken after an answer has ended in any way, and against answers
that go on taking turns although their receivers don't read.
"""

import gevent
import pytest

from lanedock.limits import AnswerLink, AnswerTransfer
from lanedock.telemetry import TextMetrics
from lanedock_daemon.path.shared.paced_answer import FIRST_PIECE_BYTES, LinkTurns, answer_length, is_long_answer

# Bytes per second; answers get 0.9 of it. A piece has 8 kB at most.
RATE = 1_000_000.0
PIECE = bytes(range(256)) * 256
TIMEOUT = 10.0


class _Connection:
    """A connection whose receiver acknowledges what the test says."""

    def __init__(self, unsent: int):
        self.unsent = unsent

    def count_unsent_bytes(self) -> int:
        return self.unsent


@pytest.fixture
def turns():
    return LinkTurns(AnswerLink(RATE))


def _pace(turns: LinkTurns, pieces, target: float = 1000.0, length: int | None = None):
    return turns.pace(pieces, AnswerTransfer((0,), target, 64 * 1024, 0.0), length)


def test_an_answer_comes_whole_in_small_pieces(turns):
    with gevent.Timeout(TIMEOUT):
        pieces = list(_pace(turns, [PIECE[:100], b"", PIECE[100:], b"end"]))
    assert b"".join(pieces) == PIECE + b"end"
    # The head must not wait for the link, so a small piece goes with it at once.
    assert len(pieces[0]) <= FIRST_PIECE_BYTES
    assert max(map(len, pieces)) <= 8 * 1024
    assert not list(turns.link)


def test_answers_take_turns_by_their_target(turns):
    order = []

    def read(answer, name):
        for _ in answer:
            pass
        order.append(name)

    # The link is in use first, so that both others wait for it.
    tasks = [gevent.spawn(read, _pace(turns, [PIECE], target), target) for target in (1.0, 3.0, 2.0)]
    gevent.joinall(tasks, timeout=TIMEOUT, raise_error=True)
    assert order == [1.0, 2.0, 3.0]


def _broken_pieces():
    yield PIECE
    raise ConnectionError("broken")


def test_a_broken_answer_leaves_no_turn_taken(turns):
    with gevent.Timeout(TIMEOUT):
        with pytest.raises(ConnectionError):
            list(_pace(turns, _broken_pieces()))
        assert not list(turns.link)
        assert b"".join(_pace(turns, [PIECE])) == PIECE


@pytest.mark.parametrize("is_killed", [False, True])
def test_an_answer_that_ends_while_it_waits_leaves_no_turn_taken(turns, is_killed):
    """The receiver disconnects: its task is killed, or the answer is closed before it is written."""
    answer = _pace(turns, [PIECE] * 100)
    task = gevent.spawn(list, answer)
    gevent.sleep(0.02)
    if is_killed:
        task.kill()
    else:
        answer.close()
        answer.close()
    assert not list(turns.link)
    assert not turns.link.queued
    with gevent.Timeout(TIMEOUT):
        assert b"".join(_pace(turns, [PIECE])) == PIECE
    task.kill()


def test_an_answer_whose_receiver_does_not_read_delays_no_other(turns):
    conn = _Connection(turns.link.max_unacknowledged + 1)
    stalled = _pace(turns, [PIECE] * 2, 1.0)
    stalled.attach(conn)
    task = gevent.spawn(list, stalled)
    gevent.sleep(0)
    with gevent.Timeout(TIMEOUT):
        assert b"".join(_pace(turns, [PIECE], 2.0)) == PIECE
        assert not task.ready()
        conn.unsent = 0
        assert b"".join(task.get()) == PIECE * 2


def test_a_receiver_that_acknowledges_nothing_is_given_up(turns, monkeypatch):
    """Otherwise its answer would stay in memory for ever: nothing more is written that could time out."""
    monkeypatch.setattr("lanedock_daemon.path.http.delivery.DELIVERY_TIMEOUT", 0.05)
    answer = _pace(turns, [PIECE])
    answer.attach(_Connection(turns.link.max_unacknowledged + 1))
    with gevent.Timeout(TIMEOUT), pytest.raises(TimeoutError):
        list(answer)
    assert not list(turns.link)


@pytest.mark.parametrize(
    ("headers", "length", "is_long"),
    [
        ([("content-length", "16384")], 16384, False),
        ([("content-length", "16385")], 16385, True),
        ([("transfer-encoding", "chunked")], None, True),
    ],
)
def test_long_answers(headers, length, is_long):
    assert (answer_length(headers), is_long_answer(headers)) == (length, is_long)


def test_the_metrics_show_the_load_and_that_it_has_ended():
    """A gauge that kept its last value would show a full link for hours after the last download."""
    metrics = TextMetrics()
    turns = LinkTurns(AnswerLink(RATE), metrics)
    answer = _pace(turns, [PIECE], length=len(PIECE))
    assert f"lanedock_upstream_link_queue {len(PIECE)}\n" in metrics.render()
    with gevent.Timeout(TIMEOUT):
        assert b"".join(answer) == PIECE
    assert "lanedock_upstream_link_queue 0\n" in metrics.render()
    assert "lanedock_upstream_link_wait 0\n" in metrics.render()
