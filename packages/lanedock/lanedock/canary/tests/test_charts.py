# SPDX-License-Identifier: BSD-3-Clause
"""Tests of the control charts of failures, and of what comparisons have in common."""

from math import log

import pytest

from lanedock.canary.charts import BASELINE_MAX_AGE, EXCESS, EXCESS_WITHOUT_BASELINE, FailureBaseline, FailureChart
from lanedock.canary.comparison import log_mean_exp
from lanedock.canary.failures import FAILING, FAILING_LATELY, FailureComparison


def _make_baseline(answered: int = 200, failed: int = 1) -> FailureBaseline:
    baseline = FailureBaseline()
    baseline.decay(0.0, 0.0)
    baseline.add(answered, failed)
    return baseline


def test_failures_of_one_upstream_of_several_give_no_alarm():
    chart, baseline = FailureChart(), _make_baseline()
    chart.add("good", 1, 0, baseline, 0.0)
    chart.add("bad", 0, 20, baseline, 0.0)
    assert not chart.is_alarming(has_one_upstream=False)
    assert chart.is_alarming(has_one_upstream=True)
    chart.add("good", 0, 5, baseline, 0.0)
    assert chart.is_alarming(has_one_upstream=False)


def test_good_answers_do_not_delay_the_alarm_on_a_version_that_turns_bad_late():
    chart, baseline = FailureChart(), _make_baseline()
    chart.add("a", 1000, 0, baseline, 0.0)
    assert (chart.seen, chart.failed) == (0, 0)
    chart.add("a", 2, 6, baseline, 0.0)
    chart.add("b", 2, 6, baseline, 0.0)
    assert chart.is_alarming(has_one_upstream=False)


def test_more_failures_are_needed_without_recent_stable_answers():
    baseline = _make_baseline()
    assert baseline.excess(BASELINE_MAX_AGE) == EXCESS
    assert baseline.excess(BASELINE_MAX_AGE + 0.1) == EXCESS_WITHOUT_BASELINE


def test_few_stable_answers_do_not_decay():
    baseline = _make_baseline(answered=20, failed=10)
    before = baseline.allowed()
    baseline.decay(10.0, 10.0)
    assert baseline.allowed() == pytest.approx(before)


def test_excess_is_the_largest_distance_from_a_limit_not_the_largest_ratio():
    comparison = FailureComparison()
    comparison.ratios[FAILING] = FAILING.limit + 1.0
    comparison.ratios[FAILING_LATELY] = FAILING_LATELY.limit - 0.5
    assert comparison.excess() == pytest.approx(1.0)
    assert not comparison.is_alarming()
    comparison.ratios[FAILING] = FAILING.alarm
    assert comparison.is_alarming()


def test_mean_of_exponentials_does_not_overflow():
    assert log_mean_exp([2000.0, 2000.0]) == pytest.approx(2000.0)
    assert log_mean_exp([0.0, -1000.0]) == pytest.approx(-log(2))
