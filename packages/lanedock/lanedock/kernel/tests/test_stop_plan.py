# SPDX-License-Identifier: BSD-3-Clause
"""Tests of the shared shutdown deadline of a process."""

from lanedock.kernel import StopPlan
from lanedock.kernel.stop_plan import FINAL_ANSWER_TIME, LATE_CUT_TIME, MIN_ANSWER_TIME


def test_all_work_is_allowed_before_the_shutdown():
    plan = StopPlan(3.0, 5.0)
    assert not plan.is_begun
    assert plan.allows(1e9, 0.0)
    assert plan.is_in_time(1e9)
    assert not plan.is_leaving(0.0)
    assert plan.start_by(1.0) is None
    assert plan.remaining_linger(0.0) == 0.0


def test_a_second_call_of_begin_keeps_the_deadline():
    plan = StopPlan(3.0, 5.0)
    plan.begin(100.0)
    plan.begin(104.0)
    assert plan.deadline == 105.0
    assert plan.cut_at == 105.0 + FINAL_ANSWER_TIME


def test_late_final_answers_get_time_to_be_written():
    plan = StopPlan(3.0, 5.0)
    plan.begin(100.0)
    assert plan.cut_after(105.0) == plan.cut_at
    assert plan.cut_after(105.3) == 105.3 + FINAL_ANSWER_TIME
    assert plan.cut_after(105.45) == 105.0 + LATE_CUT_TIME
    assert plan.cut_after(108.0) == 108.0 + MIN_ANSWER_TIME


def test_work_that_ends_by_the_deadline_is_allowed_during_the_linger_time():
    plan = StopPlan(3.0, 5.0)
    plan.begin(100.0)
    assert plan.allows(2.1, 102.9)
    assert not plan.allows(2.2, 102.9)
    assert plan.start_by(2.0) == 103.0


def test_work_that_begins_after_the_linger_time_needs_twice_its_duration():
    plan = StopPlan(3.0, 5.0)
    plan.begin(100.0)
    assert plan.allows(1.0, 103.0)
    assert not plan.allows(1.0, 103.1)


def test_the_remaining_linger_time_falls_to_zero():
    plan = StopPlan(3.0, 5.0)
    plan.begin(100.0)
    assert plan.remaining_linger(101.0) == 2.0
    assert plan.remaining_linger(104.0) == 0.0


def test_the_deadline_is_not_before_the_end_of_the_linger_time():
    plan = StopPlan(0.5, 0.2)
    plan.begin(100.0)
    assert plan.deadline == 100.5


def test_notice_is_given_in_the_last_second_of_the_linger_time():
    plan = StopPlan(3.0, 5.0)
    plan.begin(100.0)
    assert not plan.is_leaving(101.9)
    assert plan.is_leaving(102.0)
    assert plan.is_leaving(104.0)


def test_notice_is_given_at_once_without_a_linger_time():
    plan = StopPlan(0.0, 2.0)
    plan.begin(100.0)
    assert plan.is_leaving(100.0)


def test_work_is_in_time_if_its_time_limit_is_not_after_the_deadline():
    plan = StopPlan(3.0, 5.0)
    plan.begin(100.0)
    assert plan.is_in_time(105.0)
    assert not plan.is_in_time(105.1)


def test_the_time_since_the_start_of_the_shutdown_is_negative_before_it():
    plan = StopPlan(3.0, 5.0)
    assert plan.elapsed(99.0) == 0.0
    plan.begin(100.0)
    assert (plan.elapsed(99.0), plan.elapsed(102.5)) == (-1.0, 2.5)


def test_a_shutdown_without_callers_has_no_linger_time():
    plan = StopPlan(3.0, 5.0)
    plan.begin(100.0, has_callers=False)
    assert (plan.remaining_linger(100.0), plan.deadline) == (0.0, 105.0)
