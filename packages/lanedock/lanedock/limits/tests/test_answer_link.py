# SPDX-License-Identifier: BSD-3-Clause
"""Tests of the order of long answers on a narrow link, in virtual time.

They guard against long answers that share a link and all come late, that delay short messages
behind them, or that wait for one receiver which doesn't read.
"""

import pytest

from lanedock.limits import AnswerLink, AnswerTransfer, is_narrow_link
from lanedock.limits.tests.answer_sender import RATE, AnswerSender

ANSWER = 90_000
# Time that the link needs for one answer, in seconds, at the rate left to long answers.
ANSWER_TIME = ANSWER / (0.9 * RATE)
FAR = 1000.0


def _make() -> AnswerSender:
    return AnswerSender(AnswerLink(RATE))


def _check_message_waits(sender: AnswerSender) -> None:
    # The goals of the design page. A piece takes 18 ms of the link at most.
    assert sender.message_wait(0.5) < 0.02
    assert sender.message_wait(0.99) < 0.1


@pytest.mark.parametrize(("rate", "is_narrow"), [(None, False), (1_250_000.0, True), (1_250_001.0, False)])
def test_links_up_to_10_mbit_are_narrow(rate, is_narrow):
    assert is_narrow_link(rate) is is_narrow


def test_answers_are_sent_one_after_the_other_by_order_and_target():
    sender = _make()
    answers = [
        sender.send(ANSWER, target, order)
        for target, order in ((FAR, (1,)), (FAR + 2, (0,)), (FAR + 1, (0,)), (FAR - 1, (2,)))
    ]
    sender.run(10)
    ended = sorted(answers, key=lambda answer: answer.ended_at)
    assert [answers.index(answer) for answer in ended] == [2, 1, 0, 3]
    for number, answer in enumerate(ended, 1):
        assert answer.ended_at == pytest.approx(number * ANSWER_TIME, rel=0.1)
    _check_message_waits(sender)


def test_short_messages_pass_between_the_pieces():
    sender = _make()
    for _ in range(20):
        sender.send(ANSWER, FAR)
    sender.run(5)
    _check_message_waits(sender)
    assert sender.message_wait(1.0) < 0.04


def test_no_time_of_the_link_is_lost_while_wakes_are_late():
    """A machine under load wakes the daemon some milliseconds late for each of 50 turns a second."""
    sender = AnswerSender(AnswerLink(RATE), lateness=0.005)
    answers = [sender.send(ANSWER, FAR) for _ in range(10)]
    sender.run(5)
    assert max(answer.ended_at for answer in answers) < 1.03 * 10 * ANSWER_TIME


@pytest.mark.parametrize("reader_rate", [1.0, 10_000.0])
def test_a_slow_reader_delays_no_other_answer(reader_rate):
    """An answer that is urgent, but not read, gives its turn to the next, and counts little as load."""
    sender = _make()
    slow = sender.send(5 * ANSWER, 1.0, (0,), reader_rate=reader_rate, window=16_000)
    others = [sender.send(ANSWER, FAR, (1,)) for _ in range(4)]
    sender.run(4)
    # The slow reader has taken its window, and as much again waits in its socket.
    assert max(answer.ended_at for answer in others) < 1.2 * 4 * ANSWER_TIME
    assert slow.ended_at is None
    assert sender.link.busy_time(sender.now) < ANSWER_TIME / 2


def test_a_receiver_that_disconnects_frees_the_link_at_once():
    sender = _make()
    first, second = sender.send(ANSWER, 1.0), sender.send(ANSWER, 2.0)
    sender.schedule(0.05, sender.cut, first)
    sender.run(1)
    assert second.ended_at < 0.05 + 1.1 * ANSWER_TIME
    assert not sender.link.queued and not sender.link.busy_time(sender.now)


def test_many_small_windows_fill_the_link():
    """Each receiver takes less than a piece for each round trip, so one alone can't use the link."""
    sender = _make()
    answers = [sender.send(ANSWER, FAR + number, window=1000) for number in range(10)]
    sender.run(10)
    assert max(answer.ended_at for answer in answers) < 1.1 * 10 * ANSWER_TIME
    _check_message_waits(sender)


def test_a_new_rate_applies_from_then_on():
    sender = _make()
    sender.send(ANSWER, FAR)
    sender.schedule(0.1, sender.link.configure, RATE / 2)
    sender.schedule(0.1, setattr, sender, "rate", RATE / 2)
    sender.run(3)
    assert sender.answers[0].ended_at == pytest.approx(0.1 + 2 * (ANSWER_TIME - 0.1), rel=0.1)
    _check_message_waits(sender)


def test_a_link_that_becomes_slower_queues_a_bounded_number_of_bytes():
    """The given rate is then too high; what is sent and not acknowledged bounds the queue of each receiver."""
    sender = _make()
    for _ in range(3):
        sender.send(5 * ANSWER, FAR)
    sender.schedule(0.1, setattr, sender, "rate", RATE / 4)
    sender.run(3)
    queue_time = (3 * (sender.link.max_unacknowledged + sender.link.piece_bytes) + ANSWER / 10) / (RATE / 4)
    assert sender.message_wait(1.0) < queue_time


def test_an_answer_that_cannot_come_in_time_goes_last_of_its_order():
    sender = _make()
    late = sender.send(ANSWER, 0.2)
    in_time = sender.send(ANSWER, 0.6)
    less_urgent = sender.send(ANSWER, 10.0, (1,))
    sender.run(3)
    assert in_time.is_in_time
    assert in_time.ended_at < late.ended_at < less_urgent.ended_at


def test_an_answer_that_waits_long_still_gets_some_bytes():
    """Receivers end answers that are silent for 1 s, which would count as a fault of the upstream."""
    sender = _make()
    waits = sender.send(2 * ANSWER, FAR, (1,))
    # Its receiver passes it on from 64 kB on.
    sender.run(0.4)
    begun = waits.transfer.sent
    assert begun > 64 * 1024
    for _ in range(12):
        sender.send(ANSWER, FAR, (0,))
    silences, last = [], (sender.now, waits.remaining)
    for step in range(41, 440):
        sender.run(step / 100)
        if waits.remaining != last[1]:
            silences.append(sender.now - last[0])
            last = (sender.now, waits.remaining)
    assert waits.ended_at is None
    assert max(silences) < 0.6
    # They cost hardly anything of the link.
    assert waits.transfer.sent - begun < 10 * 1024


def test_ended_answers_get_no_turn():
    link = AnswerLink(RATE)
    transfer = AnswerTransfer((0,), FAR, ANSWER, 0.0)
    link.add(transfer)
    transfer.begin(ANSWER, lambda: pytest.fail("the answer has ended"), 0.0)
    link.put(transfer, 8000, 0.0)
    link.ask(transfer, 8000, 0.0)
    link.end(transfer)
    link.end(transfer)
    assert link.poll(1.0) is None
    assert not link.queued
