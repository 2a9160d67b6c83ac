# SPDX-License-Identifier: BSD-3-Clause
"""Tests of the budget of memory and descriptors."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lanedock.limits import Holding, ResourceBudget

MAX_SIZE, MAX_DESCRIPTORS = 1000, 100


def _add(budget: ResourceBudget, name: str, size: int, since: float = 0.0, descriptors: int = 1) -> Holding:
    holding = Holding(name, since)
    budget.add(holding)
    budget.update(holding, size, descriptors)
    return holding


@pytest.fixture
def budget():
    return ResourceBudget(MAX_SIZE, MAX_DESCRIPTORS)


def test_budget_without_limits_admits_everything():
    unlimited = ResourceBudget()
    _add(unlimited, "a", 10**15)
    assert unlimited.has_room(10**15, 10**6)
    assert not (unlimited.is_pressed() or unlimited.is_exceeded())


def test_large_requests_leave_room_for_small_ones(budget):
    _add(budget, "a", 700)
    assert not budget.has_room(200, 2)
    assert budget.has_room(10, 2)


def test_single_request_of_half_of_the_budget_has_room(budget):
    assert budget.has_room(MAX_SIZE // 2, 2)


def test_descriptors_are_limited_like_memory(budget):
    _add(budget, "a", 0, descriptors=MAX_DESCRIPTORS - 1)
    assert not budget.has_room(0, 2)
    assert budget.has_room(0, 1)


def test_budget_is_pressed_above_three_quarters_of_the_memory(budget):
    holding = _add(budget, "a", 750, descriptors=MAX_DESCRIPTORS)
    assert not budget.is_pressed()
    budget.update(holding, 751, 1)
    assert budget.is_pressed()
    assert not budget.is_exceeded()


def test_the_largest_holdings_make_room_first(budget):
    _add(budget, "small", 100)
    large = _add(budget, "large", 800)
    assert budget.select_for(100, 1, 10.0, 1.0) == [large]


def test_of_equal_holdings_the_one_without_progress_makes_room(budget):
    stalled = _add(budget, "stalled", 450, since=1.0)
    _add(budget, "moving", 450, since=8.0)
    assert budget.select_for(100, 1, 10.0, 1.0) == [stalled]


def test_holdings_that_progressed_recently_make_no_room_for_requests(budget):
    _add(budget, "moving", 950, since=9.5)
    assert budget.select_for(100, 1, 10.0, 1.0) == []


def test_nothing_is_released_that_would_not_suffice(budget):
    _add(budget, "old", 100, since=0.0)
    _add(budget, "moving", 880, since=9.5)
    assert budget.select_for(100, 1, 10.0, 1.0) == []


def test_exceeded_budget_is_reduced_whatever_the_ages(budget):
    moving = _add(budget, "moving", 1100, since=10.0)
    assert budget.is_exceeded()
    assert budget.select_excess(10.0) == [moving]


def test_connections_with_requests_in_progress_can_be_spared(budget):
    begun = _add(budget, "begun", 900)
    begun.has_requests = True
    unbegun = _add(budget, "unbegun", 200)
    assert budget.select_excess(10.0, spares_requests=True) == [unbegun]


def test_removed_holding_counts_no_more_and_is_not_updated(budget):
    holding = _add(budget, "a", 500)
    budget.remove(holding)
    budget.update(holding, 900, 5)
    budget.remove(holding)
    assert (budget.size, budget.descriptors) == (0, 0)


@given(st.lists(st.tuples(st.integers(0, 7), st.integers(0, 400), st.integers(0, 40))))
def test_sums_are_those_of_the_holdings(steps):
    budget = ResourceBudget(MAX_SIZE, MAX_DESCRIPTORS)
    holdings = [Holding(number, 0.0) for number in range(4)]
    for number, size, descriptors in steps:
        holding = holdings[number % 4]
        if number < 4:
            budget.add(holding) if holding.size == 0 else None
            budget.update(holding, size, descriptors)
        for released in budget.select_excess(1.0):
            budget.remove(released)
            budget.update(released, 0, 0)
    assert budget.size <= MAX_SIZE
    assert budget.descriptors <= MAX_DESCRIPTORS
    assert budget.size == sum(one.size for one in budget._holdings)
