# SPDX-License-Identifier: BSD-3-Clause
"""Tests of the comparison of failures: a failing version and failing upstreams are told apart."""

import pytest

from lanedock.canary.failures import FAILING, FAILING_LATELY, FAILING_ON_ROUTE, FailureComparison
from lanedock.canary.tests._populations import Population

SEEDS = range(5)


def _make_population(seed: int, stable: tuple[float, ...], canary: tuple[float, ...]) -> Population:
    """Make upstreams with these shares of failures."""
    population = Population(seed)
    for number, share in enumerate(stable):
        population.add(f"old{number}", 20, failing=share)
    for number, share in enumerate(canary):
        population.add(f"new{number}", 6, failing=share)
    return population


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize(
    ("stable", "canary"),
    [
        ((0.004,) * 4, (0.004,) * 4),
        ((0.004,) * 4, (0.5, 0.004, 0.004, 0.004)),
        ((0.5, 0.004, 0.004, 0.004), (0.004,) * 4),
    ],
)
def test_one_failing_upstream_of_either_version_does_not_hold_a_good_version_back(seed, stable, canary):
    comparison = _make_population(seed, stable, canary).compare(FailureComparison())
    assert comparison.ratios[FAILING] <= FAILING.limit
    assert not comparison.is_alarming()


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("stable", [(0.004,) * 4, (0.5, 0.004, 0.004, 0.004)])
def test_a_version_that_fails_on_each_upstream_is_held_back_beside_a_failing_stable_one(seed, stable):
    comparison = _make_population(seed, stable, (0.2,) * 4).compare(FailureComparison())
    assert comparison.ratios[FAILING] > 0
    assert comparison.excess() > 0


@pytest.mark.parametrize("seed", SEEDS)
def test_a_version_that_begins_to_fail_late_is_held_back(seed):
    population = _make_population(seed, (0.004,) * 4, ())
    for number in range(4):
        population.add(f"new{number}", 8, windows=range(4))
        population.add(f"new{number}", 5, failing=0.5, windows=(4,))
    comparison = population.compare(FailureComparison())
    assert comparison.ratios[FAILING_LATELY] > comparison.ratios[FAILING]
    assert comparison.ratios[FAILING_LATELY] > FAILING_LATELY.limit


@pytest.mark.parametrize("seed", SEEDS)
def test_a_version_that_fails_on_one_route_is_held_back(seed):
    population = Population(seed)
    for number in range(4):
        for route in ("read", "write"):
            population.add(f"old{number}", 10, route=route)
            population.add(f"new{number}", 4, route=route, failing=0.4 if route == "write" else 0.004)
    comparison = population.compare(FailureComparison())
    assert comparison.ratios[FAILING_ON_ROUTE] > comparison.ratios[FAILING]
    assert comparison.excess() > 0


@pytest.mark.parametrize("seed", SEEDS)
def test_a_route_that_fails_in_both_versions_is_no_fault_of_the_new_one(seed):
    population = Population(seed)
    for number in range(4):
        for route, share in (("read", 0.004), ("write", 0.3)):
            population.add(f"old{number}", 20, route=route, failing=share)
            population.add(f"new{number}", 5, route=route, failing=share)
    assert not population.compare(FailureComparison()).is_alarming()


def test_nothing_is_concluded_without_answers_of_the_canary():
    assert set(_make_population(0, (0.004,), ()).compare(FailureComparison()).ratios.values()) == {0.0}
