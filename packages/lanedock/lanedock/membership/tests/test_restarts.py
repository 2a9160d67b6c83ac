# SPDX-License-Identifier: BSD-3-Clause
"""Tests of an application that starts again under the id that it had.

Users saw half of a service without work after crashes: each application came back at once,
under its id, and got no request any more. One that had drained before stayed draining.

Cause: an id stood for one incarnation. Heartbeats of the new start, numbered from 1 again,
were taken for late ones of the former: of eleven after 10 s of silence none was accepted.
"""

import pytest

from lanedock.errors import ErrorCode
from lanedock.membership import Heartbeat, Incarnation, UpstreamRegistration

INTERVAL = 1.5
FIRST, SECOND = 1_700_000_000_000, 1_700_000_060_000


def _beat(started=FIRST, sequence=1, draining=False, upstream="i-1", slots=12):
    return Heartbeat(upstream, "s", sequence, draining, slots, 0.0, started)


def _registered(started=FIRST, sequence=39):
    registration = UpstreamRegistration("s", True, INTERVAL)
    registration.beat(_beat(started, sequence), 0.0)
    return registration


def test_a_later_start_counts_its_heartbeats_anew():
    registration = _registered()
    assert registration.check_silence(10.0)
    assert registration.beat(_beat(SECOND, 1, slots=6), 10.1)
    assert (registration.incarnation, registration.slots) == (Incarnation("i-1", SECOND), 6)
    assert registration.is_taking_work()
    assert registration.judge("i-1") is None


@pytest.mark.parametrize("is_silent", [False, True])
def test_a_later_start_does_not_drain_because_a_former_one_did(is_silent):
    registration = _registered()
    registration.beat(_beat(FIRST, 40, draining=True), 1.0)
    if is_silent:
        registration.check_silence(10.0)
    assert registration.beat(_beat(SECOND, 1), 10.1)
    assert registration.judge("i-1") is None


def test_a_later_start_is_taken_at_once_though_the_former_was_heard_just_before():
    registration = _registered()
    assert registration.beat(_beat(SECOND, 1), 0.2)
    assert registration.incarnation.started == SECOND
    assert registration.rival is None


def test_late_heartbeats_of_a_former_start_change_nothing():
    registration = _registered()
    registration.beat(_beat(SECOND, 1), 2.0)
    registration.beat(_beat(SECOND, 2, draining=True), 3.5)
    for sequence in range(40, 45):
        assert not registration.beat(_beat(FIRST, sequence), 4.0 + sequence / 100)
    assert registration.incarnation.started == SECOND
    assert registration.judge("i-1") is ErrorCode.DRAINING


def test_late_heartbeats_that_a_restarted_daemon_hears_first_give_way_to_the_later_start():
    registration = _registered()
    assert registration.beat(_beat(SECOND, 1), 0.5)
    assert not registration.beat(_beat(FIRST, 40), 0.6)
    assert registration.incarnation.started == SECOND


def test_a_start_whose_time_of_day_was_set_back_takes_over_from_one_that_sends_no_more():
    registration = _registered(SECOND)
    heard_at = []
    for number in range(1, 8):
        now = 2.0 + INTERVAL * number
        if registration.beat(_beat(FIRST, number), now):
            heard_at.append(now)
            break
    assert heard_at
    assert registration.incarnation.started == FIRST
    # And late heartbeats of the one before do not bring it back, though its start reads later.
    assert not registration.beat(_beat(SECOND, 40), heard_at[0] + 0.1)
    assert registration.incarnation.started == FIRST


def test_a_start_that_reads_earlier_does_not_take_over_from_one_that_sends_on():
    registration = _registered(SECOND, 1)
    for number in range(1, 20):
        now = INTERVAL * number
        registration.beat(_beat(SECOND, 1 + number), now)
        assert not registration.beat(_beat(FIRST, 100 + number), now + 0.1)
    assert registration.incarnation.started == SECOND


def test_a_heartbeat_without_its_start_is_none_of_an_application_that_gives_it():
    registration = _registered()
    for number in range(6):
        assert registration.beat(_beat(FIRST, 40 + number), INTERVAL * number) is False
        assert not registration.beat(_beat(0, 99 + number, draining=True), INTERVAL * number + 0.1)
    assert registration.judge("i-1") is None


def test_one_start_that_was_made_up_does_not_keep_an_application_out_that_gives_none():
    registration = _registered(0, 1)
    assert registration.beat(_beat(FIRST, 2), 1.0)
    for number in range(3, 9):
        registration.beat(_beat(0, number), INTERVAL * number)
    assert registration.incarnation.started == 0
    assert registration.judge("i-1") is None


def test_the_start_of_an_application_that_was_known_by_its_id_alone_is_learned():
    registration = UpstreamRegistration("s", True, INTERVAL)
    registration.adopt("i-1", "s", False, 12, 0.0)
    assert registration.beat(_beat(FIRST, 7), 0.5)
    assert registration.incarnation.started == FIRST
    assert registration.judge("i-1") is None


def test_a_leave_of_a_former_start_does_not_bind_the_later_one():
    registration = _registered()
    registration.beat(_beat(SECOND, 1), 1.0)
    assert not registration.leave("i-1", FIRST)
    assert registration.judge("i-1") is None
    assert registration.leave("i-1")
    assert registration.judge("i-1") is ErrorCode.DRAINING


# ------------------------------------------------ what a restarted daemon adopts


def test_a_restarted_daemon_does_not_take_the_drain_of_a_former_start_for_the_later_ones():
    registration = _registered(SECOND, 1)
    assert not registration.adopt("i-1", "s", True, 12, 0.1, FIRST)
    assert registration.judge("i-1") is None


def test_a_restarted_daemon_takes_the_later_start_over_from_the_mesh():
    registration = _registered(FIRST, 40)
    assert registration.adopt("i-1", "s", True, 12, 0.1, SECOND)
    assert registration.judge("i-1") is ErrorCode.DRAINING
    assert not registration.beat(_beat(FIRST, 41), 0.2)
    assert registration.judge("i-1") is ErrorCode.DRAINING


def test_an_adopted_drain_ends_with_the_next_start():
    registration = UpstreamRegistration("s", True, INTERVAL)
    registration.adopt("i-1", "s", True, 12, 0.0, FIRST)
    assert registration.judge("i-1") is ErrorCode.DRAINING
    assert registration.beat(_beat(SECOND, 1), 0.5)
    assert registration.judge("i-1") is None


# ---------------------------------------------------------- beside other ids


def test_an_id_that_was_followed_by_another_may_return_with_a_later_start():
    registration = _registered()
    registration.beat(_beat(FIRST, 1, upstream="i-2"), 1.0)
    assert registration.settle("i-2", 1.0)
    registration.beat(_beat(SECOND, 1), 2.0)
    assert registration.rival is not None
    assert registration.settle("i-1", 2.1)
    assert registration.incarnation == Incarnation("i-1", SECOND)
    assert registration.judge("i-1") is None
