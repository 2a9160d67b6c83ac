# SPDX-License-Identifier: BSD-3-Clause
"""Tests of registration: what binds, and which of two incarnations is held."""

import pytest

from lanedock.errors import ErrorCode
from lanedock.membership import Heartbeat, UpstreamRegistration


def _beat(upstream="life-1", sequence=1, draining=False, service="s"):
    return Heartbeat(upstream, service, sequence, draining, 12, 0.0)


def test_a_drain_binds_at_once_and_for_good():
    registration = UpstreamRegistration("s", True, 1.5)
    assert registration.judge("life-1") is ErrorCode.NOT_READY
    registration.beat(_beat(), 0.0)
    assert registration.judge("life-1") is None
    assert registration.beat(_beat(sequence=2, draining=True), 1.0)
    assert registration.judge("life-1") is ErrorCode.DRAINING
    # A late heartbeat from before, and one that has forgotten the drain.
    for sequence in (1, 3):
        registration.beat(_beat(sequence=sequence), 2.0)
        assert registration.judge("life-1") is ErrorCode.DRAINING


def test_an_application_that_leaves_without_a_drain_is_bound_too():
    registration = UpstreamRegistration("s", True, 1.5)
    registration.beat(_beat(), 0.0)
    assert registration.leave("life-1")
    assert not registration.leave("life-1")
    assert registration.judge("life-1") is ErrorCode.DRAINING


def test_a_late_heartbeat_of_a_former_incarnation_changes_nothing():
    registration = UpstreamRegistration("s", True, 1.5)
    registration.beat(_beat("life-1"), 0.0)
    registration.beat(_beat("life-2"), 1.0)
    assert registration.settle("life-2", 1.0)
    assert not registration.beat(_beat("life-1", sequence=9), 2.0)
    assert registration.rival is None
    assert registration.judge("life-2") is None
    assert registration.judge("life-1") is ErrorCode.NOT_HELD


def test_a_restarted_daemon_learns_that_its_application_is_leaving():
    registration = UpstreamRegistration("s", True, 1.5)
    assert registration.adopt("life-1", "s", True, 12, 0.0)
    registration.beat(_beat(sequence=7), 0.5)
    assert registration.judge("life-1") is ErrorCode.DRAINING


@pytest.mark.parametrize("answers", [False, True])
def test_a_silent_application_gets_nothing_unless_it_answers(answers):
    registration = UpstreamRegistration("s", True, 1.0)
    registration.beat(_beat(), 0.0)
    if answers:
        registration.note_answer(3.5)
    assert registration.check_silence(5.0) is not answers
    assert (registration.judge("life-1") is None) is answers
    registration.beat(_beat(sequence=2), 6.0)
    assert registration.judge("life-1") is None


def _restarted(upstream="new"):
    """Return the registration of a daemon that was restarted, and learned from the mesh what runs beside it."""
    registration = UpstreamRegistration("s", True, 1.5)
    registration.adopt(upstream, "s", False, 12, 0.0)
    return registration


def test_a_late_heartbeat_does_not_unseat_a_living_incarnation():
    registration = _restarted()
    assert not registration.beat(_beat("old", sequence=40), 0.1)
    assert registration.judge("new") is None
    assert not registration.settle("new", 0.2)
    registration.beat(_beat("new", sequence=3), 0.5)
    assert registration.judge("new") is None
    assert not registration.beat(_beat("old", sequence=41), 9.0)
    assert (registration.upstream, registration.rival) == ("new", None)


def test_many_late_heartbeats_at_once_do_not_either():
    registration = _restarted()
    for sequence in range(40, 45):
        registration.beat(_beat("old", sequence=sequence), 0.1 + sequence / 1000)
    assert registration.judge("new") is None


def test_a_rival_that_the_application_names_takes_over():
    registration = _restarted("old")
    registration.beat(_beat("new", sequence=1), 0.1)
    assert registration.settle("new", 0.2)
    assert registration.judge("new") is None
    assert registration.judge("old") is ErrorCode.NOT_HELD
    assert not registration.beat(_beat("old", sequence=50), 0.3)
    assert registration.rival is None


@pytest.mark.parametrize("answered", ["", "another"])
def test_an_application_that_names_neither_decides_nothing(answered):
    registration = _restarted()
    registration.beat(_beat("old", sequence=40), 0.1)
    assert not registration.settle(answered, 0.2)
    assert registration.judge("new") is None
    assert registration.rival.upstream == "old"


def test_a_rival_that_goes_on_sending_takes_over_where_the_application_cannot_be_asked():
    registration = _restarted("old")
    registration.beat(_beat("new", sequence=1), 0.1)
    assert not registration.beat(_beat("new", sequence=1), 1.6)
    assert registration.beat(_beat("new", sequence=2), 1.6)
    assert registration.judge("new") is None


def test_a_rival_is_not_waited_for_where_the_one_that_is_held_has_left():
    registration = _restarted("old")
    registration.leave("old")
    assert registration.beat(_beat("new", sequence=1), 0.1)
    assert registration.judge("new") is None


def test_a_late_heartbeat_that_came_first_is_corrected_by_the_mesh():
    registration = UpstreamRegistration("s", True, 1.5)
    registration.beat(_beat("old", sequence=40), 0.0)
    assert not registration.adopt("new", "s", False, 12, 0.1)
    assert registration.rival.upstream == "new"
    assert registration.settle("new", 0.2)
    assert registration.judge("new") is None
    registration.beat(_beat("new", sequence=0), 0.3)
    assert registration.upstream == "new"


def test_a_rival_that_leaves_is_no_rival_any_more():
    registration = _restarted()
    registration.beat(_beat("old", sequence=40), 0.1)
    assert not registration.leave("old")
    assert registration.rival is None
    assert registration.judge("new") is None
