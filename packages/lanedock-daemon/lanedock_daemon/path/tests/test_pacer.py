# SPDX-License-Identifier: BSD-3-Clause
"""Tests of the pace of bodies; with a clock that is given."""

import pytest

from lanedock.limits import AdmissionRequest, BodyAdmission
from lanedock.limits.tests.link import BODY, CLASSES, FAR, NARROW, WIDE
from lanedock_daemon.path.exchange import CHUNK, PACED_PIECE, Pacer


def test_pieces_leave_as_the_pace_has_it():
    pacer = Pacer(100_000, 5.0)
    assert pacer.piece_size == PACED_PIECE
    assert pacer.note_sent(8_000, 5.0) == pytest.approx(0.08)
    # Late by itself, it catches up.
    assert pacer.note_sent(8_000, 5.2) == 0.0
    assert pacer.note_sent(8_000, 5.2) == pytest.approx(0.04)


@pytest.mark.parametrize("rate", [None, 0])
def test_without_a_pace_nothing_waits(rate):
    assert Pacer(rate, 0.0).note_sent(10**9, 0.0) == 0.0
    assert Pacer(None, 0.0).piece_size == CHUNK


def _admit(bodies: BodyAdmission, now: float):
    transfer = bodies.acquire("bulk", AdmissionRequest(FAR), BODY, FAR, now, lambda: None)
    return transfer if transfer.is_admitted and bodies.begin(transfer, now) else None


@pytest.mark.parametrize("link_rate", [WIDE, None])
def test_bodies_come_as_they_can_on_other_links(link_rate):
    bodies = BodyAdmission(8, CLASSES, link_rate)
    assert [_admit(bodies, 0.0).pace for _ in range(2)] == [float("inf")] * 2


def test_bodies_come_one_after_the_other_on_a_narrow_link():
    bodies = BodyAdmission(8, CLASSES, NARROW)
    first = _admit(bodies, 0.0)
    assert first.pace == 0.9 * NARROW
    assert _admit(bodies, 0.0) is None
    bodies.note(first, BODY, BODY / first.pace)
    assert bodies.waiting == 0


def test_a_slow_sender_holds_up_no_others_on_a_narrow_link():
    bodies = BodyAdmission(8, CLASSES, NARROW)
    slow = _admit(bodies, 0.0)
    bodies.note(slow, 1000, 0.01)
    other = _admit(bodies, 1.0)
    assert other.pace == 0.45 * NARROW
