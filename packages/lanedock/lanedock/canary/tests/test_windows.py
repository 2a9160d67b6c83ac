# SPDX-License-Identifier: BSD-3-Clause
"""Tests of the answers by upstream and window, and of their summaries for the log."""

import pytest

from lanedock.canary.counts import BUCKETS, time_bucket
from lanedock.canary.evidence import Increment
from lanedock.canary.summaries import find_slow_buckets, summarize
from lanedock.canary.windows import MAX_WINDOWS, WINDOW_LENGTH, UpstreamWindows


def _make_increment(times: list[float], failed: int = 0, route: str = "read") -> Increment:
    increment = Increment(route, "")
    increment.answered = len(times) + failed
    increment.failed = failed
    for seconds in times:
        increment.times[time_bucket(seconds)] += 1
    return increment


def _add(windows: UpstreamWindows, upstream: str, increment: Increment, age: float = 0.0) -> None:
    windows.add(upstream, increment, increment.times, age)


def test_answers_are_kept_by_upstream_window_and_route():
    windows = UpstreamWindows()
    _add(windows, "a", _make_increment([0.1, 0.2]))
    _add(windows, "a", _make_increment([0.1], failed=1, route="write"), WINDOW_LENGTH)
    _add(windows, "b", _make_increment([0.3]))
    assert set(windows.upstreams["a"]) == {0, 1}
    assert windows.count_times("a") == 3
    assert windows.sum_routes("a")["write"].failed == 1
    assert windows.sum_all()["read"].answered == 3


def test_times_that_are_not_compared_are_left_out():
    windows = UpstreamWindows()
    windows.add("a", _make_increment([0.1]), None, 0.0)
    assert windows.sum_all()["read"].answered == 1
    assert windows.count_times("a") == 0


def test_a_long_canary_has_no_more_windows_and_loses_no_answer():
    windows = UpstreamWindows()
    for number in range(10 * MAX_WINDOWS):
        _add(windows, "a", _make_increment([0.1]), number * WINDOW_LENGTH)
    assert len(windows.upstreams["a"]) <= MAX_WINDOWS
    assert windows.sum_all()["read"].answered == 10 * MAX_WINDOWS


def test_summaries_show_which_upstream_fails_and_which_is_slow():
    stable, canary = UpstreamWindows(), UpstreamWindows()
    _add(stable, "old", _make_increment([0.1] * 20))
    _add(canary, "good", _make_increment([0.1] * 10))
    _add(canary, "bad", _make_increment([0.4] * 10, failed=5))
    slow_buckets = find_slow_buckets(stable.sum_all())
    bad, good = summarize(canary, True, slow_buckets)
    assert (bad.upstream, bad.answered, bad.failed, bad.compared, bad.slow) == ("bad", 15, 5, 10, 10)
    assert (good.upstream, good.failed, good.slow) == ("good", 0, 0)
    assert bad.location == pytest.approx(0.4, rel=0.2)
    assert bad.spread == pytest.approx(1.0)
    assert bad.fields()["pool"] == "canary"


def test_a_route_without_stable_answers_has_no_slow_ones():
    windows = UpstreamWindows()
    _add(windows, "new", _make_increment([5.0] * 3))
    assert find_slow_buckets({}) == {}
    summary = summarize(windows, True, {})[0]
    assert (summary.compared, summary.slow) == (0, 0)
    assert len(windows.sum_all()["read"].times) == BUCKETS
