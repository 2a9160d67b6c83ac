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


def _make_limited(rate: float, slots: int = 10) -> SlotLimiter:
    limiter = SlotLimiter(slots, 20, CLASSES)
    limiter.rate.configure(rate, 0.0)
    return limiter


def _ask(limiter: SlotLimiter, now: float, target: float = FAR, name: str = "browse", on_decided=lambda: None):
    return limiter.acquire(name, AdmissionRequest(FAR, target), now, on_decided)


def _max_per_window(times: list[float]) -> int:
    """Return the largest number of the sorted times in any window."""
    return max((sum(first <= time < first + WINDOW for time in times) for first in times), default=0)


@settings(deadline=None, derandomize=True)
@given(
    rate=st.floats(0.2, 200.0),
    gaps=st.lists(st.floats(0.0, 2.0), max_size=120),
)
def test_no_window_exceeds_the_rate_and_its_burst(rate, gaps):
    limiter = RateLimiter()
    limiter.configure(rate, 0.0)
    now, admitted = 0.0, []
    for gap in gaps:
        now += gap
        if not limiter.wait(now):
            limiter.admit()
            admitted.append(now)
    assert _max_per_window(admitted) <= 1.25 * rate * WINDOW + 2


@settings(deadline=None, derandomize=True)
@given(
    rate=st.floats(0.5, 50.0),
    delays=st.lists(st.floats(0.0, 3.0), min_size=1, max_size=200),
)
# The bodies of all requests admitted in six seconds become available at once.
@example(rate=20.0, delays=[6.0 - number / 20.0 for number in range(120)] + [0.0] * 80)
def test_requests_with_late_bodies_do_not_arrive_together(rate, delays):
    limiter = RateLimiter()
    limiter.configure(rate, 0.0)
    # Requests are admitted one after another at the rate; each body is available after its own delay.
    ready = sorted(number / rate + delay for number, delay in enumerate(delays))
    arrived, now = [], 0.0
    for time in ready:
        now = max(now, time)
        while wait := limiter.arrive(now):
            now += wait
        arrived.append(now)
    assert _max_per_window(arrived) <= 1.5 * rate * WINDOW + 5


@pytest.mark.parametrize("rate", [1.0, 1.5, 16.0, 100.0])
def test_the_whole_rate_is_admitted_under_overload(rate):
    limiter = RateLimiter()
    limiter.configure(rate, 0.0)
    admitted = 0
    for step in range(20_000):
        if not limiter.wait(step / 1000):
            limiter.admit()
            admitted += 1
    assert admitted >= 0.9 * rate * 20


def test_a_limit_that_is_raised_or_removed_no_longer_applies():
    limiter = RateLimiter()
    limiter.configure(1.0, 0.0)
    limiter.admit()
    assert limiter.wait(0.0) == pytest.approx(1.0)
    limiter.configure(10.0, 0.0)
    assert limiter.wait(0.0) == pytest.approx(0.1)
    limiter.configure(None, 0.0)
    assert limiter.wait(0.0) == 0.0 and limiter.next_send_delay(0.0, 5) == 0.0


def test_a_limit_of_zero_refuses_requests_with_finite_delays():
    limiter = _make_limited(0.0)
    # One request may have been in flight when the limit was set.
    _ask(limiter, 0.0)
    refused = _ask(limiter, 50.0)
    assert isinstance(refused, Refused) and refused.code is ErrorCode.RATE_LIMITED
    assert math.isfinite(refused.retry_after)
    assert math.isfinite(limiter.next_send_delay(50.0))


def test_a_request_waits_for_a_token_if_it_can_still_be_in_time():
    limiter = _make_limited(10.0)
    assert _ask(limiter, 0.0) is None
    admitted = []
    queued = _ask(limiter, 0.0, target=5.0, on_decided=lambda: admitted.append(1))
    assert isinstance(queued, QueuedRequest)
    limiter.admit_queued(0.05)
    assert not admitted
    limiter.admit_queued(0.1)
    assert admitted


def test_a_request_that_would_wait_too_long_for_a_token_is_refused_at_once():
    limiter = _make_limited(1.0)
    assert _ask(limiter, 0.0) is None
    refused = _ask(limiter, 0.0, target=0.4)
    assert isinstance(refused, Refused)
    assert refused.code is ErrorCode.RATE_LIMITED and refused.limit == "rate"
    assert refused.retry_after > 0


def test_an_urgent_request_gets_the_next_token():
    limiter = _make_limited(1.0)
    assert _ask(limiter, 0.0) is None
    order = []
    _ask(limiter, 0.0, on_decided=lambda: order.append("browse"))
    _ask(limiter, 0.0, name="order", on_decided=lambda: order.append("order"))
    limiter.admit_queued(1.0)
    assert order == ["order"]


def test_a_new_token_goes_to_the_queued_request_first():
    limiter = _make_limited(1.0)
    assert _ask(limiter, 0.0) is None
    admitted = []
    _ask(limiter, 0.0, on_decided=lambda: admitted.append(1))
    _ask(limiter, 1.0)
    assert admitted


def test_a_token_is_refunded_if_the_request_was_not_sent():
    limiter = _make_limited(1.0)
    assert _ask(limiter, 0.0) is None
    limiter.release("browse", None, 0.0)
    assert _ask(limiter, 0.0) is None


def test_a_refusal_for_lack_of_slots_does_not_name_the_rate_limit():
    limiter = _make_limited(1000.0, slots=1)
    assert _ask(limiter, 0.0) is None
    limiter.release("browse", 1.0, 0.0)
    assert _ask(limiter, 1.0) is None
    refused = _ask(limiter, 1.0, target=1.5)
    assert isinstance(refused, Refused) and refused.code is ErrorCode.OVERLOADED


def test_callers_get_consecutive_send_times_at_the_rate():
    limiter = RateLimiter()
    limiter.configure(4.0, 0.0)
    assert limiter.next_send_delay(0.0, 0) == 0.0
    limiter.admit()
    delays = [limiter.next_send_delay(0.0, 0) for _ in range(3)]
    assert delays == pytest.approx([0.25, 0.5, 0.75])
    assert max(limiter.next_send_delay(0.0, 0) for _ in range(100)) <= 5.0
