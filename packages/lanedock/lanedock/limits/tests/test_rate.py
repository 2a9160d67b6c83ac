# SPDX-License-Identifier: BSD-3-Clause
"""Tests of the rate limit of one upstream, in virtual time."""

import math

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from lanedock.config import TrafficClass
from lanedock.errors import ErrorCode
from lanedock.limits import AdmissionRequest, QueuedRequest, RateLimiter, Refused, SlotLimiter

CLASSES = {"order": TrafficClass("order", 0.4, 0), "browse": TrafficClass("browse", 0.3, 1)}
FAR = 100.0
WINDOW = 4.0


def _limited(rate: float, slots: int = 10) -> SlotLimiter:
    limiter = SlotLimiter(slots, 20, CLASSES)
    limiter.rate.configure(rate, 0.0)
    return limiter


def _ask(limiter: SlotLimiter, now: float, target: float = FAR, name: str = "browse", on_admitted=lambda: None):
    return limiter.acquire(name, AdmissionRequest(FAR, target), now, on_admitted)


def _most(times: list[float]) -> int:
    """Return the most of some sorted times in any window."""
    return max((sum(first <= time < first + WINDOW for time in times) for first in times), default=0)


@settings(deadline=None, derandomize=True)
@given(
    rate=st.floats(0.2, 200.0),
    gaps=st.lists(st.floats(0.0, 2.0), max_size=120),
)
def test_no_window_holds_more_than_the_rate_and_its_burst(rate, gaps):
    limiter = RateLimiter()
    limiter.configure(rate, 0.0)
    now, admitted = 0.0, []
    for gap in gaps:
        now += gap
        if not limiter.wait(now):
            limiter.admit()
            admitted.append(now)
    assert _most(admitted) <= 1.25 * rate * WINDOW + 2


@settings(deadline=None, derandomize=True)
@given(
    rate=st.floats(0.5, 50.0),
    delays=st.lists(st.floats(0.0, 3.0), min_size=1, max_size=200),
)
# All that was admitted in six seconds is at hand at once.
@example(rate=20.0, delays=[6.0 - number / 20.0 for number in range(120)] + [0.0] * 80)
def test_requests_whose_bodies_are_late_do_not_arrive_together(rate, delays):
    limiter = RateLimiter()
    limiter.configure(rate, 0.0)
    # Admitted one after the other at the rate; each is at hand after its own delay.
    ready = sorted(number / rate + delay for number, delay in enumerate(delays))
    arrived, now = [], 0.0
    for time in ready:
        now = max(now, time)
        while wait := limiter.arrive(now):
            now += wait
        arrived.append(now)
    assert _most(arrived) <= 1.5 * rate * WINDOW + 5


@pytest.mark.parametrize("rate", [1.0, 1.5, 16.0, 100.0])
def test_what_is_allowed_is_admitted_where_more_is_asked_for(rate):
    limiter = RateLimiter()
    limiter.configure(rate, 0.0)
    admitted = 0
    for step in range(20_000):
        if not limiter.wait(step / 1000):
            limiter.admit()
            admitted += 1
    assert admitted >= 0.9 * rate * 20


def test_a_limit_that_rises_or_ends_holds_no_longer():
    limiter = RateLimiter()
    limiter.configure(1.0, 0.0)
    limiter.admit()
    assert limiter.wait(0.0) == pytest.approx(1.0)
    limiter.configure(10.0, 0.0)
    assert limiter.wait(0.0) == pytest.approx(0.1)
    limiter.configure(None, 0.0)
    assert limiter.wait(0.0) == 0.0 and limiter.next_turn(0.0, 5) == 0.0


def test_a_limit_of_zero_lets_nothing_through():
    limiter = _limited(0.0)
    # One may have been on its way as the limit came.
    _ask(limiter, 0.0)
    refused = _ask(limiter, 50.0)
    assert isinstance(refused, Refused) and refused.code is ErrorCode.RATE_LIMITED
    assert math.isfinite(refused.retry_after)
    assert math.isfinite(limiter.next_turn(50.0))


def test_a_request_waits_for_the_rate_where_it_is_still_in_time():
    limiter = _limited(10.0)
    assert _ask(limiter, 0.0) is None
    admitted = []
    queued = _ask(limiter, 0.0, target=5.0, on_admitted=lambda: admitted.append(1))
    assert isinstance(queued, QueuedRequest)
    limiter.admit_queued(0.05)
    assert not admitted
    limiter.admit_queued(0.1)
    assert admitted


def test_a_request_that_would_wait_too_long_for_the_rate_is_refused_at_once():
    limiter = _limited(1.0)
    assert _ask(limiter, 0.0) is None
    refused = _ask(limiter, 0.0, target=0.4)
    assert isinstance(refused, Refused)
    assert refused.code is ErrorCode.RATE_LIMITED and refused.limit == "rate"
    assert refused.retry_after > 0


def test_an_urgent_request_gets_the_next_token():
    limiter = _limited(1.0)
    assert _ask(limiter, 0.0) is None
    order = []
    _ask(limiter, 0.0, on_admitted=lambda: order.append("browse"))
    _ask(limiter, 0.0, name="order", on_admitted=lambda: order.append("order"))
    limiter.admit_queued(1.0)
    assert order == ["order"]


def test_a_token_that_has_come_is_not_taken_from_who_waits_for_it():
    limiter = _limited(1.0)
    assert _ask(limiter, 0.0) is None
    admitted = []
    _ask(limiter, 0.0, on_admitted=lambda: admitted.append(1))
    _ask(limiter, 1.0)
    assert admitted


def test_a_token_comes_back_where_nothing_was_passed_on():
    limiter = _limited(1.0)
    assert _ask(limiter, 0.0) is None
    limiter.release("browse", None, 0.0)
    assert _ask(limiter, 0.0) is None


def test_a_refusal_for_slots_is_no_refusal_for_the_rate():
    limiter = _limited(1000.0, slots=1)
    assert _ask(limiter, 0.0) is None
    limiter.release("browse", 1.0, 0.0)
    assert _ask(limiter, 1.0) is None
    refused = _ask(limiter, 1.0, target=1.5)
    assert isinstance(refused, Refused) and refused.code is ErrorCode.OVERLOADED


def test_callers_get_consecutive_turns_at_the_rate():
    limiter = RateLimiter()
    limiter.configure(4.0, 0.0)
    assert limiter.next_turn(0.0, 0) == 0.0
    limiter.admit()
    turns = [limiter.next_turn(0.0, 0) for _ in range(3)]
    assert turns == pytest.approx([0.25, 0.5, 0.75])
    assert max(limiter.next_turn(0.0, 0) for _ in range(100)) <= 5.0
