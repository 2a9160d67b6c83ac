# SPDX-License-Identifier: BSD-3-Clause
"""Tests of the pacing of bodies, with explicit times in place of a clock."""

import pytest

from lanedock.limits import AdmissionRequest, BodyAdmission
from lanedock.limits.tests.link import BODY, CLASSES, FAR, NARROW, WIDE
from lanedock_daemon.path.shared.exchange import MAX_PIECE_BYTES, PACED_PIECE_SIZE, Pacer


def test_pieces_are_sent_at_the_requested_pace():
    pacer = Pacer(100_000, 5.0)
    assert pacer.piece_size == PACED_PIECE_SIZE
    assert pacer.note_sent(8_000, 5.0) == pytest.approx(0.08)
    # After a delay of its own, the sender catches up.
    assert pacer.note_sent(8_000, 5.2) == 0.0
    assert pacer.note_sent(8_000, 5.2) == pytest.approx(0.04)


@pytest.mark.parametrize("rate", [None, 0])
def test_no_delay_without_a_pace(rate):
    assert Pacer(rate, 0.0).note_sent(10**9, 0.0) == 0.0
    assert Pacer(None, 0.0).piece_size == MAX_PIECE_BYTES


def _admit(bodies: BodyAdmission, now: float):
    transfer = bodies.acquire("bulk", AdmissionRequest(FAR), BODY, FAR, now, lambda: None)
    return transfer if transfer.is_admitted and bodies.begin(transfer, now) else None


@pytest.mark.parametrize("link_rate", [WIDE, None])
def test_bodies_are_not_paced_on_wide_links_or_links_of_unknown_rate(link_rate):
    bodies = BodyAdmission(8, CLASSES, link_rate)
    assert [_admit(bodies, 0.0).pace for _ in range(2)] == [float("inf")] * 2


def test_narrow_link_admits_one_body_at_a_time():
    bodies = BodyAdmission(8, CLASSES, NARROW)
    first = _admit(bodies, 0.0)
    assert first.pace == 0.9 * NARROW
    assert _admit(bodies, 0.0) is None
    bodies.note(first, BODY, BODY / first.pace)
    assert bodies.waiting == 0


def test_slow_sender_does_not_block_other_bodies_on_a_narrow_link():
    bodies = BodyAdmission(8, CLASSES, NARROW)
    slow = _admit(bodies, 0.0)
    bodies.note(slow, 1000, 0.01)
    other = _admit(bodies, 1.0)
    assert other.pace == 0.45 * NARROW
