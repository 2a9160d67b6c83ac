# SPDX-License-Identifier: BSD-3-Clause
"""Tests of the slot limiter, the retry budgets, first attempts and admission."""

from random import Random

import pytest

from lanedock.config import TrafficClass
from lanedock.errors import ErrorCode
from lanedock.limits import (
    AdmissionRateLimiter,
    AdmissionRequest,
    FirstAttempts,
    QueuedRequest,
    Refused,
    SavingBudget,
    SlotLimiter,
    WindowBudget,
)

CLASSES = {
    "order": TrafficClass("order", 0.4, 0),
    "browse": TrafficClass("browse", 0.3, 1),
    "photo": TrafficClass("photo", 0.2, 5),
}
FAR = 100.0


def _limiter(slots=10, queue=10):
    return SlotLimiter(slots, queue, CLASSES)


def _ask(limiter, name, deadline, now, on_decided, target_time=None, kind="", **options):
    return limiter.acquire(name, AdmissionRequest(deadline, target_time, kind, **options), now, on_decided)


def _end_one(limiter, name, duration=0.005):
    """Let a request end, so that the limiter has an estimate of the service time."""
    _ask(limiter, name, FAR, 0.0, None)
    limiter.release(name, duration, 0.0)


def _fill(limiter, name, now=0.0):
    """Take slots until a request gets none; return the number of slots taken."""
    count = 0
    while _ask(limiter, name, FAR, now, lambda: None) is None:
        count += 1
    return count


def test_a_class_of_short_requests_alone_may_use_all_slots():
    assert _fill(_limiter(), "browse") == 10


def test_a_class_of_long_requests_uses_no_unused_shares_of_others():
    limiter = _limiter()
    _ask(limiter, "photo", FAR, 0.0, None)
    limiter.release("photo", 30.0, 0.0)
    # 10 slots less 4 reserved for orders and 3 for browsing.
    assert _fill(limiter, "photo") == 3
    assert _fill(limiter, "order") >= 4


def test_slots_that_another_class_used_recently_are_reserved_for_it():
    limiter = _limiter()
    for _ in range(2):
        _ask(limiter, "order", FAR, 0.0, None)
    for _ in range(2):
        limiter.release("order", 0.01, 0.0)
    assert _fill(limiter, "browse", now=0.1) == 7
    assert _ask(limiter, "order", FAR, 0.1, None) is None


def test_queued_requests_are_admitted_by_priority_and_then_by_deadline():
    limiter = _limiter(slots=1)
    served = []
    _ask(limiter, "browse", FAR, 0.0, None)
    for name, deadline in [("photo", 1.0), ("browse", 9.0), ("browse", 2.0), ("order", 9.0)]:
        queued = _ask(limiter, name, deadline, 0.0, lambda key=(name, deadline): served.append(key))
        assert isinstance(queued, QueuedRequest)
    for name in ("browse", "order", "browse", "browse"):
        limiter.release(name, 0.01, 0.0)
    assert served == [("order", 9.0), ("browse", 2.0), ("browse", 9.0), ("photo", 1.0)]


def test_a_flood_of_one_class_leaves_queue_room_for_another():
    limiter = _limiter()
    _fill(limiter, "browse")
    while isinstance(_ask(limiter, "browse", FAR, 0.0, lambda: None), QueuedRequest):
        pass
    assert isinstance(_ask(limiter, "order", FAR, 0.0, lambda: None), QueuedRequest)


@pytest.mark.parametrize(("deadline", "code"), [(0.0, ErrorCode.DEADLINE), (0.001, ErrorCode.OVERLOADED)])
def test_a_request_that_would_wait_too_long_is_refused_at_once(deadline, code):
    limiter = _limiter(slots=1)
    _ask(limiter, "order", FAR, 0.0, None)
    limiter.release("order", 5.0, 0.0)
    _ask(limiter, "order", FAR, 0.0, None)
    refused = _ask(limiter, "order", deadline, 0.0, None)
    assert isinstance(refused, Refused)
    assert refused.code is code


def test_a_cancelled_queued_request_gets_no_slot():
    limiter = _limiter(slots=1)
    _ask(limiter, "order", FAR, 0.0, None)
    queued = _ask(limiter, "order", FAR, 0.0, lambda: pytest.fail("admitted"))
    assert limiter.cancel(queued)
    limiter.release("order", 0.01, 0.0)
    assert (limiter.in_use, limiter.waiting) == (0, 0)


def test_retries_are_a_share_of_first_tries():
    budget = SavingBudget(share=0.1, max_balance=2)
    assert [budget.spend(0.0) for _ in range(3)] == [True, True, False]
    for _ in range(11):
        budget.note_first_try(0.0)
    assert [budget.spend(0.0) for _ in range(2)] == [True, False]


@pytest.mark.parametrize("daemons", [1, 13, 76])
def test_the_retries_of_a_whole_mesh_stay_within_its_budget_in_any_window(daemons):
    share, slack, window = 0.2, 62, 10.0
    budgets = [WindowBudget(share, slack, window, lambda: daemons) for _ in range(daemons)]
    rng = Random(daemons)
    tries, retries = [], []
    for step in range(600):
        now = step * 0.05
        for budget in budgets:
            if rng.random() < 0.5:
                budget.note_first_try(now)
                tries.append(now)
            # Every daemon makes as many retries as its budget allows.
            while budget.spend(now):
                retries.append(now)
    assert retries
    for end in range(30):
        spent = sum(end - window < at <= end for at in retries)
        paid = max(
            sum(end - window - offset < at <= end - offset for at in tries) for offset in (0, window / 2, window)
        )
        assert spent <= share * paid + slack


def test_all_requests_of_a_storm_are_admitted_at_the_rate():
    admission = AdmissionRateLimiter(rate=100, burst=5)
    waiting = [(0.0, number) for number in range(200)]
    admitted = {}
    while waiting:
        waiting.sort()
        now, number = waiting.pop(0)
        wait = admission.acquire(now)
        if wait:
            # Daemons return slightly after the delay.
            waiting.append((now + wait * 1.05, number))
        else:
            admitted[number] = now
        assert now < 10, f"{len(waiting)} are never admitted"
    assert max(admitted.values()) < 4


def test_the_retry_delays_of_a_storm_are_consecutive():
    admission = AdmissionRateLimiter(rate=10, burst=2)
    waits = [admission.acquire(5.0) for _ in range(6)]
    assert waits[:2] == [0.0, 0.0]
    assert waits[2:] == pytest.approx([0.1, 0.2, 0.3, 0.4])


def test_a_request_that_would_wait_past_its_target_time_is_refused():
    limiter = _limiter(slots=1, queue=100)
    for number in range(50):
        _ask(limiter, "order", FAR, number, None)
        limiter.release("order", 0.1, number)
    _ask(limiter, "order", FAR, 50.0, None)
    waiting = 0
    while isinstance(_ask(limiter, "order", FAR, 50.0, lambda: None, 50.5), QueuedRequest):
        waiting += 1
    assert 2 <= waiting <= 4
    assert isinstance(_ask(limiter, "order", FAR, 50.0, lambda: None, None), QueuedRequest)


def test_a_short_call_evicts_a_long_request_from_a_full_queue():
    # Guards against refusing calls for which requests in progress wait: at 1.5 times the usual
    # load of the platform, such refusals lost half of the work of the waiting requests.
    limiter = _limiter(slots=1, queue=3)
    _end_one(limiter, "order")
    _ask(limiter, "order", FAR, 0.0, None)
    notified = []
    queued = [
        _ask(limiter, "order", FAR, 0.0, lambda number=number: notified.append(number), 10.0 + number)
        for number in range(3)
    ]
    call = _ask(limiter, "order", FAR, 0.0, lambda: notified.append("call"), 1.0)
    assert isinstance(call, QueuedRequest)
    assert [request.is_evicted for request in queued] == [False, False, True]
    assert notified == [2]
    limiter.release("order", 0.01, 0.1)
    assert notified == [2, "call"]
    # A request whose target time is later than all others evicts none.
    _ask(limiter, "order", FAR, 0.1, lambda: None, 10.5)
    assert isinstance(_ask(limiter, "order", FAR, 0.1, None, 50.0), Refused)


def test_a_queued_request_expires_when_a_slot_would_be_free_too_late():
    limiter = SlotLimiter(1, 10, {})
    for _ in range(50):
        _ask(limiter, "c", FAR, 0.0, None)
        limiter.release("c", 0.2, 0.0, "read")
    _ask(limiter, "c", FAR, 0.0, None)
    # The request would wait for about 0.2 s, and then need 0.2 s itself.
    assert isinstance(_ask(limiter, "c", FAR, 0.0, lambda: None, 0.45, "read"), Refused)
    queued = _ask(limiter, "c", FAR, 0.0, lambda: None, 0.6, "read")
    assert isinstance(queued, QueuedRequest)
    assert 0.0 < queued.expires_at <= 0.4


def test_a_request_whose_service_time_nearly_reaches_its_target_waits_for_the_next_slot():
    limiter = SlotLimiter(10, 10, {})
    for duration in [0.10, 0.30] * 50:
        _ask(limiter, "c", FAR, 0.0, None)
        limiter.release("c", duration, 0.0, "sign")
    for _ in range(10):
        _ask(limiter, "c", FAR, 0.0, None, 0.25, "sign")
    # Service times have a mean of 0.2 s and reach 0.3 s, with 0.25 s left: the next slot is free in 20 ms.
    queued = _ask(limiter, "c", FAR, 0.0, lambda: None, 0.25, "sign")
    assert isinstance(queued, QueuedRequest) and 0.03 < queued.expires_at < 0.05
    # A request that would be late even with the mean service time does not wait.
    assert isinstance(_ask(limiter, "c", FAR, 0.0, None, 0.15, "sign"), Refused)


def test_a_retry_is_recognized_by_its_remaining_timeout():
    attempts = FirstAttempts()
    # Two kinds of callers, each with its own initial timeout.
    for number in range(600):
        attempts.note("read", 2500 if number % 3 else 1000)
    assert attempts.note("read", 2500) == attempts.note("read", 1000) == 0
    assert attempts.note("read", 2321) == 179
    assert attempts.note("read", 960) == 40
    # A timeout longer than any before does not indicate a retry.
    assert attempts.note("read", 9000) == 0
    assert attempts.note("other", 960) == 0
    assert attempts.note("read", None) == 0


def test_remaining_timeouts_are_never_taken_for_initial_ones():
    attempts = FirstAttempts()
    rng = Random(7)
    wrong = 0
    for number in range(3000):
        wrong += attempts.note("read", 2500) != 0
        # Under overload most requests are retries.
        for _ in range(3):
            wait = rng.randrange(1, 2490)
            wrong += number >= 3 and attempts.note("read", wait) != 2500 - wait
    assert wrong == 0


def test_a_limiter_without_estimates_queues_only_what_can_be_in_time():
    limiter = SlotLimiter(12, 24, {})
    results = [_ask(limiter, "c", FAR, 0.0, lambda: None, 0.4) for _ in range(40)]
    waiting = sum(isinstance(result, QueuedRequest) for result in results)
    # At most one queued request for each slot; with two for each, the last would be late.
    assert 6 <= waiting <= 12


def test_a_retry_with_an_earlier_target_time_precedes_a_new_request():
    limiter = SlotLimiter(1, 4, {})
    _end_one(limiter, "c")
    served = []
    _ask(limiter, "c", FAR, 0.0, None)
    _ask(limiter, "c", FAR, 0.0, lambda: served.append("new"), 0.2)
    _ask(limiter, "c", FAR, 0.0, lambda: served.append("retry"), 0.15)
    for _ in range(3):
        limiter.release("c", 0.01, 0.05)
    assert served == ["retry", "new"]


def test_a_late_request_takes_a_free_slot_but_does_not_wait():
    limiter = SlotLimiter(1, 10, {})
    _end_one(limiter, "c", 0.1)
    assert _ask(limiter, "c", FAR, 0.0, None, 0.0) is None
    assert isinstance(_ask(limiter, "c", FAR, 0.0, None, 0.0), Refused)
    assert isinstance(_ask(limiter, "c", FAR, 0.0, None, 0.9), QueuedRequest)


def test_an_urgent_request_evicts_a_less_urgent_one_from_a_full_queue():
    # Classes that have priorities but no shares.
    classes = {name: TrafficClass(name, 0.0, number) for number, name in enumerate(("sign", "read"))}
    limiter = SlotLimiter(1, 3, classes)
    _end_one(limiter, "read")
    _ask(limiter, "read", FAR, 0.0, None)
    queued = [_ask(limiter, "read", FAR, 0.0, lambda: None, 1.0 + number) for number in range(3)]
    served = []
    assert isinstance(_ask(limiter, "sign", FAR, 0.0, lambda: served.append("sign"), 9.0), QueuedRequest)
    assert [request.is_evicted for request in queued] == [False, False, True]
    assert isinstance(_ask(limiter, "read", FAR, 0.0, None, 9.0), Refused)
    limiter.release("read", 0.01, 0.1)
    assert served == ["sign"]


def test_a_more_urgent_class_does_not_evict_requests_within_their_share_of_the_queue():
    limiter = _limiter(slots=1)
    _end_one(limiter, "photo")
    _ask(limiter, "photo", FAR, 0.0, None)
    photos = [_ask(limiter, "photo", FAR, 0.0, lambda: None) for _ in range(2)]
    for _ in range(20):
        _ask(limiter, "order", FAR, 0.0, lambda: None)
    assert not any(request.is_evicted for request in photos)


def test_a_request_that_can_still_be_in_time_is_retried_before_its_target_time():
    limiter = SlotLimiter(1, 0, {}, Random(1))
    _end_one(limiter, "c", 0.02)
    _ask(limiter, "c", FAR, 1.0, None)
    # A request needs 20 ms, so 80 of the 100 ms to the target are left for the retry.
    delays = [_ask(limiter, "c", FAR, 9.0, None, 9.1).retry_after for _ in range(200)]
    assert 0.02 <= min(delays) < 0.03 and 0.07 < max(delays) <= 0.08


@pytest.mark.parametrize("late", [False, True])
def test_the_retry_delay_grows_with_the_duration_of_the_overload(late):
    limiter = SlotLimiter(1, 0, {}, Random(1))
    _end_one(limiter, "c", 0.02)
    _ask(limiter, "c", FAR, 1.0, None)

    def mean(now):
        # The target time has passed, or will have passed before the request can be served.
        target = now if late else now + 0.01
        return sum(_ask(limiter, "c", FAR, now, None, target).retry_after for _ in range(200)) / 200

    assert mean(1.01) == pytest.approx(0.02, rel=0.2)
    assert mean(1.5) == pytest.approx(0.5, rel=0.2)
    assert mean(3.0) == pytest.approx(2.0, rel=0.2)
    # A free slot ends the overload.
    limiter.release("c", 0.02, 3.0)
    _ask(limiter, "c", FAR, 3.1, None)
    assert mean(3.11) < 0.05


def test_the_retry_delay_never_exceeds_the_deadline():
    limiter = SlotLimiter(1, 0, {}, Random(1))
    _end_one(limiter, "c", 0.02)
    _ask(limiter, "c", FAR, 0.0, None)
    assert all(_ask(limiter, "c", 50.4, 50.0, None).retry_after <= 0.4 + 1e-9 for _ in range(50))


@pytest.mark.parametrize("start_by,is_admitted", [(2.0, True), (1.0, False), (0.5, False)])
def test_a_free_slot_is_not_taken_after_the_latest_start(start_by, is_admitted):
    result = _ask(_limiter(), "order", FAR, 1.0, None, start_by=start_by)
    assert (result is None) is is_admitted
    assert is_admitted or result.code is ErrorCode.OVERLOADED


@pytest.mark.parametrize("target_time", [None, 50.0])
def test_a_request_waits_no_longer_than_its_latest_start(target_time):
    limiter = _limiter(slots=1)
    _end_one(limiter, "order")
    assert _ask(limiter, "order", FAR, 1.0, None) is None
    assert _ask(limiter, "order", FAR, 1.0, None, target_time, start_by=3.0).expires_at == 3.0
