# SPDX-License-Identifier: BSD-3-Clause
"""Tests of the zones' shares of a customer's use."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lanedock.quota.shares import RecentCount, ZoneShares, least_share

ZONES = ["a", "b", "c", "d"]


def test_zones_without_use_have_equal_shares():
    assert ZoneShares().bounds("a", 20.0, ZONES) == (0.25, 0.25)


def test_a_zone_without_use_keeps_half_of_an_equal_share():
    shares = ZoneShares()
    for second in range(20):
        shares.window.add("a", 100, float(second))
    assert shares.bounds("a", 19.0, ZONES) == (0.625, 0.625)
    assert shares.bounds("b", 19.0, ZONES) == (0.125, 0.125)


def test_a_share_follows_use_within_its_smoothing_time():
    shares = ZoneShares()
    for second in range(10):
        shares.window.add("a", 100, float(second))
    for second in range(10, 30):
        shares.window.add("b", 100, float(second))
    assert shares.bounds("b", 12.0, ZONES)[1] < 0.3
    assert shares.bounds("b", 29.0, ZONES) == (0.625, 0.625)


def test_bounds_cover_the_last_seconds():
    shares = ZoneShares()
    for second in range(20):
        shares.window.add("a" if second < 16 else "b", 100, float(second))
    smallest, greatest = shares.bounds("b", 19.0, ZONES)
    assert smallest == pytest.approx(0.125 + 0.5 * 0.1)
    assert greatest == pytest.approx(0.125 + 0.5 * 0.4)


def test_a_held_share_stays_while_the_other_zones_share_the_rest():
    shares = ZoneShares()
    for second in range(20):
        shares.window.add("a", 100, float(second))
    shares.hold({"a": 19.0}, ZONES)
    for second in range(20, 60):
        shares.window.add("b", 100, float(second))
    assert shares.bounds("a", 59.0, ZONES) == (0.625, 0.625)
    assert shares.bounds("b", 59.0, ZONES) == pytest.approx((0.125, 0.125))
    shares.hold({}, ZONES)
    assert shares.bounds("b", 59.0, ZONES) == (0.625, 0.625)


def test_credits_given_back_are_no_use():
    shares = ZoneShares()
    shares.window.add("a", 100, 1.0)
    shares.window.add("a", -100, 1.5)
    assert shares.bounds("a", 2.0, ZONES) == (0.25, 0.25)


uses = st.lists(st.tuples(st.sampled_from(ZONES), st.integers(-20, 200), st.floats(0.0, 40.0)), max_size=40)


@given(uses=uses, held=st.sets(st.sampled_from(ZONES), max_size=3), later=uses)
@settings(derandomize=True)
def test_smallest_shares_add_up_to_no_more_than_one(uses, held, later):
    shares = ZoneShares()
    for zone, credits, at in sorted(uses, key=lambda use: use[2]):
        shares.window.add(zone, credits, at)
    shares.hold(dict.fromkeys(held, 40.0), ZONES)
    for zone, credits, at in sorted(later, key=lambda use: use[2]):
        shares.window.add(zone, credits, 40.0 + at)
    bounds = [shares.bounds(zone, 80.0, ZONES) for zone in ZONES]
    assert sum(smallest for smallest, _ in bounds) <= 1 + 1e-9
    assert all(smallest >= least_share(len(ZONES)) - 1e-9 for smallest, _ in bounds)


def test_recent_count_forgets_old_credits():
    count = RecentCount(0.4)
    count.add(3, 1.0)
    count.add(2, 1.3)
    assert [count.total(now) for now in (1.3, 1.39, 1.41, 1.71)] == [5, 5, 2, 0]


def test_recent_count_takes_back_no_more_than_it_has():
    count = RecentCount(0.4)
    count.add(3, 1.0)
    count.add(2, 1.1)
    assert count.take_back(3, 1.2) == 3
    assert count.total(1.2) == 2
    assert count.take_back(9, 1.2) == 2
    assert count.take_back(1, 1.2) == 0
