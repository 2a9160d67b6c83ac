# SPDX-License-Identifier: BSD-3-Clause
"""Tests of the pace that an application states, and of estimated waits that follow it."""

import math
from random import Random

import pytest

from lanedock.config import TrafficClass
from lanedock.limits import AdmissionRequest, Refused, SlotLimiter
from lanedock.limits.pace import StatedPace

WORK = 0.25


def _observe(pace: StatedPace, stated, actual, count: int = 2000, seed: int = 1) -> None:
    """Note service times of requests; `stated` and `actual` give the paces by the request's number."""
    rng = Random(seed)
    for number in range(count):
        pace.state(stated(number))
        pace.note("read", WORK * actual(number) * rng.lognormvariate(0.0, 0.5))


def _switching(number: int) -> float:
    """Return a pace that is 2.5 for 15 of 100 requests, in a row."""
    return 2.5 if number % 100 < 15 else 1.0


def test_pace_that_service_times_follow_is_trusted():
    pace = StatedPace()
    _observe(pace, _switching, _switching)
    pace.state(2.5)
    assert 2.0 <= pace.factor <= 2.5


def test_pace_that_service_times_do_not_follow_loses_its_effect():
    # Guards against an application that states paces it does not have, and thereby sheds or draws requests.
    pace = StatedPace()
    _observe(pace, _switching, lambda number: 1.0)
    pace.state(2.5)
    assert 1.0 <= pace.factor <= 1.4


def test_pace_that_contradicts_the_service_times_has_no_effect():
    pace = StatedPace()
    _observe(pace, _switching, lambda number: 1 / _switching(number))
    pace.state(2.5)
    assert pace.factor == 1.0


@pytest.mark.parametrize(("stated", "factor"), [(None, 1.0), (1.0, 1.0), (0.01, 0.2), (80.0, 5.0), (2.5, 2.5)])
def test_pace_is_bounded(stated, factor):
    pace = StatedPace()
    pace.state(stated)
    assert math.isclose(pace.factor, factor)


def _make_limiter(pace: float | None) -> SlotLimiter:
    limiter = SlotLimiter(2, 8, {"c": TrafficClass("c", 0.0, 1)}, Random(1))
    for number in range(40):
        limiter.pace.state(pace)
        assert limiter.acquire("c", AdmissionRequest(100.0 + number), float(number), lambda: None) is None
        limiter.release("c", WORK * (pace or 1.0), float(number), "read")
    return limiter


def test_without_a_stated_pace_service_times_are_as_observed():
    limiter = _make_limiter(None)
    assert math.isclose(limiter.usual_service_time(40.0), WORK)
    assert math.isclose(limiter._service_times.mean, WORK)


def test_service_time_of_an_upstream_without_requests_expires():
    """An upstream that was slow once would get no request, and never be measured again."""
    limiter = _make_limiter(None)
    assert limiter.usual_service_time(49.0) and not limiter.usual_service_time(49.1)
    limiter.acquire("c", AdmissionRequest(100.0), 49.2, lambda: None)
    assert limiter.usual_service_time(49.3)


def test_constant_pace_changes_no_estimate():
    assert math.isclose(_make_limiter(2.0)._service_times.mean, 2.0 * WORK)


@pytest.mark.parametrize(("pace", "is_refused"), [(None, False), (1.0, False), (2.5, True)])
def test_refusals_follow_the_pace(pace, is_refused):
    # Two requests run and two wait: the next one waits 0.375 s at the usual pace, 0.94 s at 2.5.
    limiter = _make_limiter(1.0)
    for _ in range(4):
        limiter.acquire("c", AdmissionRequest(102.0, 101.0, "read"), 100.0, lambda: None)
    limiter.pace.state(pace)
    result = limiter.acquire("c", AdmissionRequest(102.5, 101.1, "read"), 100.0, lambda: None)
    assert isinstance(result, Refused) is is_refused


def test_tail_follows_the_pace():
    limiter = _make_limiter(1.0)
    usual = limiter.tail_service_time("read")
    limiter.pace.state(2.0)
    assert math.isclose(limiter.tail_service_time("read"), 2 * usual)
