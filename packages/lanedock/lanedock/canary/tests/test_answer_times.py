# SPDX-License-Identifier: BSD-3-Clause
"""Tests of the comparison of times: a slow version and slow upstreams are told apart."""

import pytest

from lanedock.canary.answer_times import ALL_SLOWER, PART_SLOWER, SLIGHTLY_SLOWER, TimeComparison
from lanedock.canary.stable_times import StableTimes
from lanedock.canary.tests._populations import Population

SEEDS = range(5)
# Relative durations on the upstreams of a service, of either version.
FACTORS = (1.0, 0.7, 1.0, 1.4)


def _make_population(seed: int, slow_share=0.0, all_factor=1.0, slow_stable=1.0, slow_canary=1.0) -> Population:
    """Make 4 upstreams of each version; the first one of either may be slow."""
    population = Population(seed)
    for number, factor in enumerate(FACTORS):
        first = number == 0
        population.add(f"old{number}", 20, factor=factor * (slow_stable if first else 1.0))
        population.add(f"new{number}", 8, factor=all_factor * factor * (slow_canary if first else 1.0), slow=slow_share)
    return population


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("trouble", [{}, {"slow_stable": 3.0}, {"slow_canary": 3.0}])
def test_one_slow_upstream_of_either_version_does_not_hold_a_good_version_back(seed, trouble):
    comparison = _make_population(seed, **trouble).compare(TimeComparison())
    assert comparison.excess() <= 0
    assert not comparison.is_alarming()


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("trouble", [{}, {"slow_stable": 3.0}, {"slow_canary": 3.0}])
def test_a_version_slow_in_half_of_its_answers_is_held_back_beside_a_slow_upstream(seed, trouble):
    comparison = _make_population(seed, slow_share=0.5, **trouble).compare(TimeComparison())
    assert comparison.ratios[PART_SLOWER] > 0
    assert comparison.excess() > 0


@pytest.mark.parametrize("seed", SEEDS)
def test_a_version_slow_in_all_answers_is_told_from_one_slow_in_a_part(seed):
    comparison = _make_population(seed, all_factor=4.0).compare(TimeComparison())
    assert comparison.ratios[ALL_SLOWER] > max(0, comparison.ratios[PART_SLOWER])
    assert comparison.excess() > 0


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize(("factor", "is_held_back"), [(0.05, False), (5.0, True)])
def test_a_service_whose_answers_are_all_short_gets_a_version_that_is_no_slower(seed, factor, is_held_back):
    population = Population(seed)
    for number in range(3):
        population.add(f"old{number}", 20, factor=0.05)
        population.add(f"new{number}", 8, factor=factor)
    assert (population.compare(TimeComparison()).excess() > 0) is is_held_back


def test_nothing_is_concluded_from_few_answers():
    population = Population(0)
    population.add("old0", 20)
    population.add("new0", 2, factor=8.0)
    assert set(population.compare(TimeComparison()).ratios.values()) == {0.0}


def test_nothing_is_concluded_on_a_route_without_stable_answers():
    population = Population(0)
    population.add("old0", 20)
    population.add("new0", 20, factor=8.0, route="write")
    assert population.compare(TimeComparison()).ratios[SLIGHTLY_SLOWER] == 0.0


def test_routes_that_differ_are_not_taken_for_a_slow_version():
    population = Population(1)
    for number in range(4):
        population.add(f"old{number}", 20)
        population.add(f"old{number}", 3, factor=6.0, route="report")
        # The canary gets mostly requests of the slower route.
        population.add(f"new{number}", 2)
        population.add(f"new{number}", 6, factor=6.0, route="report")
    assert population.compare(TimeComparison()).excess() <= 0


def test_fit_of_the_stable_version_finds_routes_locations_and_moments():
    population = Population(2)
    for number in range(5):
        population.add(f"old{number}", 20, windows=(0, 1, 3))
        population.add(f"old{number}", 20, factor=4.0, windows=(2,))
        population.add(f"old{number}", 10, factor=4.0, route="report", windows=(0, 1, 3))
    fit = StableTimes(population.stable)
    # A factor of 4 is 8 half buckets.
    assert fit.routes["report"].offset - fit.routes["read"].offset == pytest.approx(8, abs=1.5)
    assert fit.routes["read"].spread == pytest.approx(3.5, abs=0.7)
    assert fit.effect(2) == pytest.approx(8, abs=3)
    assert abs(fit.effect(0)) <= 2
