# SPDX-License-Identifier: BSD-3-Clause
"""Tests of what an application states in its answers, and of the rate limit that it advertises."""

import pytest

from lanedock.errors import ErrorCode
from lanedock.membership import AdvertisedRate, Heartbeat, Incarnation, UpstreamRegistration, UpstreamReport


def _registered(upstream: str = "a1") -> UpstreamRegistration:
    registration = UpstreamRegistration("s", True, 1.0)
    registration.beat(Heartbeat(upstream, "s", 1, False, 4, 0.0), 0.0)
    return registration


@pytest.mark.parametrize(
    "text",
    ["", " ", "x", "nan", "NaN", "inf", "-1", "1e400", "16, 16", "1_000", "0x10", "9" * 10_000, "\u0661"],
)
def test_a_rate_that_is_no_number_of_zero_or_more_is_unreadable(text):
    report = UpstreamReport()
    report.note_rate(text)
    assert report.rate_limit is None and report.unreadable
    assert len(report.unreadable) <= 200


@pytest.mark.parametrize(("text", "rate"), [("16", 16.0), (" 1.5\t", 1.5), ("0", 0.0), ("1e2", 100.0)])
def test_a_rate_is_read(text, rate):
    report = UpstreamReport()
    report.note_rate(text)
    assert report.rate_limit == rate and not report.unreadable


def test_two_rates_in_one_answer_are_unreadable():
    report = UpstreamReport()
    report.note_rate("16")
    report.note_rate("16")
    assert report.unreadable


def test_the_limit_holds_as_long_as_it_is_stated_and_ends_by_answers_without_it():
    held = AdvertisedRate()
    assert held.note(16.0, 0.0)
    assert not held.note(16.0, 5.0)
    assert not held.note(None, 5.1)
    assert held.rate == 16.0
    # One that crossed an answer without it is stated again.
    assert not held.note(16.0, 5.2)
    assert not held.note(None, 6.0)
    assert held.note(None, 6.3)
    assert held.rate is None


def test_an_unreadable_limit_keeps_the_one_before():
    held = AdvertisedRate()
    held.note(16.0, 0.0)
    for second in range(1, 10):
        held.note_unreadable(float(second))
        assert not held.note(None, second + 0.1)
    assert held.rate == 16.0


def test_what_the_mesh_knows_gives_way_to_any_answer():
    held = AdvertisedRate()
    assert held.adopt(16.0, 0.0) and held.rate == 16.0
    held.note(8.0, 1.0)
    assert not held.adopt(16.0, 2.0)
    assert held.rate == 8.0


def test_the_mesh_learns_of_changes_that_matter_alone():
    held = AdvertisedRate()
    learned = []
    for rate in (16.0, 16.5, 15.5, 17.0, 20.0, 20.1, 0.0, 0.0, 5.0):
        held.note(rate, 0.0)
        if held.take_news():
            learned.append(rate)
    assert learned == [16.0, 20.0, 0.0, 5.0]


def test_a_limit_ends_with_the_incarnation_that_stated_it():
    registration = _registered()
    registration.note_report(UpstreamReport(rate_limit=16.0), registration.incarnation, 0.0)
    assert registration.advertised.rate == 16.0
    former = registration.incarnation
    registration.leave("a1")
    registration.beat(Heartbeat("a2", "s", 1, False, 4, 0.0), 1.0)
    assert registration.advertised.rate is None
    registration.note_report(UpstreamReport(rate_limit=16.0), former, 1.1)
    assert registration.advertised.rate is None


def test_a_daemon_that_was_started_again_learns_the_limit_from_the_mesh():
    registration = UpstreamRegistration("s", True, 1.0)
    registration.adopt("a1", "s", False, 4, 0.0, rate_limit=1.5)
    assert registration.advertised.rate == 1.5
    heard_first = _registered()
    heard_first.adopt("a1", "s", False, 4, 0.0, rate_limit=1.5)
    assert heard_first.advertised.rate == 1.5


def test_a_change_of_the_limit_is_news_for_the_mesh():
    registration = _registered()
    before = registration.revision
    assert registration.note_report(UpstreamReport(rate_limit=16.0), Incarnation("a1"), 0.0)
    assert registration.revision == before + 1
    assert registration.note_report(UpstreamReport(rate_limit=16.1), Incarnation("a1"), 0.0)
    assert registration.revision == before + 1


def test_a_drain_that_was_stated_in_an_answer_is_not_undone_by_a_ready_heartbeat():
    registration = _registered()
    assert registration.leave("a1")
    registration.beat(Heartbeat("a1", "s", 9, False, 4, 0.0), 1.0)
    assert registration.judge("a1") is ErrorCode.DRAINING


def test_one_health_check_without_the_limit_does_not_keep_a_restarted_daemon_from_learning_it():
    held = AdvertisedRate()
    held.note(None, 0.0)
    assert held.adopt(1.5, 0.1)
    held.note(None, 0.2)
    assert held.rate == 1.5


def test_a_limit_that_has_ended_is_not_taken_over_from_others_again():
    held = AdvertisedRate()
    held.note(16.0, 0.0)
    held.note(None, 1.0)
    assert held.note(None, 1.1) and held.rate is None
    assert not held.adopt(16.0, 1.2)
