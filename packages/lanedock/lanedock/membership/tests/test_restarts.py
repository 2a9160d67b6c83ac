# SPDX-License-Identifier: BSD-3-Clause
"""Tests of an application that restarts under the same id.

They guard against an application that gets no requests after a crash and restart, or that stays
draining because its former start drained; half of a service was unused in this way. This
happens if the id alone identifies an incarnation: the new start numbers its heartbeats from 1
again, so they look like delayed heartbeats of the former start. None of the eleven heartbeats
after 10 s of silence was accepted.
"""

import pytest

from lanedock.errors import ErrorCode
from lanedock.membership import Heartbeat, Incarnation, UpstreamRegistration

INTERVAL = 1.5
FIRST, SECOND = 1_700_000_000_000, 1_700_000_060_000


def _heartbeat(started=FIRST, sequence=1, draining=False, upstream="i-1", slots=12):
    return Heartbeat(upstream, "s", sequence, draining, slots, 0.0, started)


def _registered(started=FIRST, sequence=39):
    registration = UpstreamRegistration("s", True, INTERVAL)
    registration.process_heartbeat(_heartbeat(started, sequence), 0.0)
    return registration


def test_later_start_numbers_its_heartbeats_from_one():
    registration = _registered()
    assert registration.check_silence(10.0)
    assert registration.process_heartbeat(_heartbeat(SECOND, 1, slots=6), 10.1)
    assert (registration.incarnation, registration.slots) == (Incarnation("i-1", SECOND), 6)
    assert registration.is_taking_work()
    assert registration.refusal_code("i-1") is None


@pytest.mark.parametrize("is_silent", [False, True])
def test_later_start_does_not_inherit_the_drain_of_a_former_start(is_silent):
    registration = _registered()
    registration.process_heartbeat(_heartbeat(FIRST, 40, draining=True), 1.0)
    if is_silent:
        registration.check_silence(10.0)
    assert registration.process_heartbeat(_heartbeat(SECOND, 1), 10.1)
    assert registration.refusal_code("i-1") is None


def test_later_start_becomes_current_immediately_after_a_heartbeat_of_the_former():
    registration = _registered()
    assert registration.process_heartbeat(_heartbeat(SECOND, 1), 0.2)
    assert registration.incarnation.started == SECOND
    assert registration.rival is None


def test_delayed_heartbeats_of_a_former_start_are_ignored():
    registration = _registered()
    registration.process_heartbeat(_heartbeat(SECOND, 1), 2.0)
    registration.process_heartbeat(_heartbeat(SECOND, 2, draining=True), 3.5)
    for sequence in range(40, 45):
        assert not registration.process_heartbeat(_heartbeat(FIRST, sequence), 4.0 + sequence / 100)
    assert registration.incarnation.started == SECOND
    assert registration.refusal_code("i-1") is ErrorCode.DRAINING


def test_later_start_replaces_the_sender_of_delayed_first_heartbeats():
    registration = _registered()
    assert registration.process_heartbeat(_heartbeat(SECOND, 1), 0.5)
    assert not registration.process_heartbeat(_heartbeat(FIRST, 40), 0.6)
    assert registration.incarnation.started == SECOND


def test_start_with_a_clock_set_back_replaces_a_start_that_stopped_sending():
    registration = _registered(SECOND)
    accepted_at = []
    for number in range(1, 8):
        now = 2.0 + INTERVAL * number
        if registration.process_heartbeat(_heartbeat(FIRST, number), now):
            accepted_at.append(now)
            break
    assert accepted_at
    assert registration.incarnation.started == FIRST
    # Delayed heartbeats of the previous start do not restore it, although its start time is later.
    assert not registration.process_heartbeat(_heartbeat(SECOND, 40), accepted_at[0] + 0.1)
    assert registration.incarnation.started == FIRST


def test_start_with_an_earlier_time_does_not_replace_one_that_keeps_sending():
    registration = _registered(SECOND, 1)
    for number in range(1, 20):
        now = INTERVAL * number
        registration.process_heartbeat(_heartbeat(SECOND, 1 + number), now)
        assert not registration.process_heartbeat(_heartbeat(FIRST, 100 + number), now + 0.1)
    assert registration.incarnation.started == SECOND


def test_heartbeat_without_start_time_is_ignored_if_the_application_reports_one():
    registration = _registered()
    for number in range(6):
        assert registration.process_heartbeat(_heartbeat(FIRST, 40 + number), INTERVAL * number) is False
        assert not registration.process_heartbeat(_heartbeat(0, 99 + number, draining=True), INTERVAL * number + 0.1)
    assert registration.refusal_code("i-1") is None


def test_single_forged_start_time_does_not_exclude_an_application_that_reports_none():
    registration = _registered(0, 1)
    assert registration.process_heartbeat(_heartbeat(FIRST, 2), 1.0)
    for number in range(3, 9):
        registration.process_heartbeat(_heartbeat(0, number), INTERVAL * number)
    assert registration.incarnation.started == 0
    assert registration.refusal_code("i-1") is None


def test_heartbeat_adds_the_start_time_of_an_application_known_only_by_id():
    registration = UpstreamRegistration("s", True, INTERVAL)
    registration.adopt("i-1", "s", False, 12, 0.0)
    assert registration.process_heartbeat(_heartbeat(FIRST, 7), 0.5)
    assert registration.incarnation.started == FIRST
    assert registration.refusal_code("i-1") is None


def test_leave_of_a_former_start_does_not_affect_the_later_one():
    registration = _registered()
    registration.process_heartbeat(_heartbeat(SECOND, 1), 1.0)
    assert not registration.leave("i-1", FIRST)
    assert registration.refusal_code("i-1") is None
    assert registration.leave("i-1")
    assert registration.refusal_code("i-1") is ErrorCode.DRAINING


# ----------------------------------------------- adoption by a restarted daemon


def test_restarted_daemon_does_not_apply_the_drain_of_a_former_start_to_a_later_one():
    registration = _registered(SECOND, 1)
    assert not registration.adopt("i-1", "s", True, 12, 0.1, FIRST)
    assert registration.refusal_code("i-1") is None


def test_restarted_daemon_adopts_the_later_start_from_the_mesh():
    registration = _registered(FIRST, 40)
    assert registration.adopt("i-1", "s", True, 12, 0.1, SECOND)
    assert registration.refusal_code("i-1") is ErrorCode.DRAINING
    assert not registration.process_heartbeat(_heartbeat(FIRST, 41), 0.2)
    assert registration.refusal_code("i-1") is ErrorCode.DRAINING


def test_adopted_drain_ends_with_the_next_start():
    registration = UpstreamRegistration("s", True, INTERVAL)
    registration.adopt("i-1", "s", True, 12, 0.0, FIRST)
    assert registration.refusal_code("i-1") is ErrorCode.DRAINING
    assert registration.process_heartbeat(_heartbeat(SECOND, 1), 0.5)
    assert registration.refusal_code("i-1") is None


# ------------------------------------------------------ changes between two ids


def test_replaced_id_may_return_with_a_later_start():
    registration = _registered()
    registration.process_heartbeat(_heartbeat(FIRST, 1, upstream="i-2"), 1.0)
    assert registration.resolve_rival("i-2", 1.0)
    registration.process_heartbeat(_heartbeat(SECOND, 1), 2.0)
    assert registration.rival is not None
    assert registration.resolve_rival("i-1", 2.1)
    assert registration.incarnation == Incarnation("i-1", SECOND)
    assert registration.refusal_code("i-1") is None
