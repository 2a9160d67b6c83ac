# SPDX-License-Identifier: BSD-3-Clause
"""Tests of admission control under overload in the simulation of tools/bench_overload.py.

The simulation runs in virtual time, so that equal seeds give equal results. The figures in comments are
those of admission with fixed shares of the target time, from two seeds of 8 s.
"""

import argparse
import sys
from pathlib import Path

import pytest

sys.path.insert(0, str(Path(__file__).parent.parent / "tools"))

import bench_overload


def _simulate(short: str, load: float, **settings) -> dict[str, float]:
    cfg = argparse.Namespace(pace=1.0, slow_for=0.0, fixed_return=None, seconds=5.0, **settings)
    runs = [bench_overload.play(seed, short, load, cfg) for seed in range(2)]
    figures = {name: sum(run[name] for run in runs) / len(runs) for name in runs[0]}
    figures["of the best"] = figures["goodput"] / bench_overload.best_share(load)
    return figures


@pytest.mark.parametrize(
    ("short", "load", "of_the_best", "after_prices"),
    [
        # Fixed shares: 0.75 of the best, 0.602 of the credit after prices.
        ("shared", 1.2, 0.88, 0.73),
        # Fixed shares: 0.74 of the best, 0.463 after prices.
        ("shared", 1.5, 0.90, 0.59),
        # Fixed shares: 0.95 and 0.770; the best adds up the work of calls, which overlaps.
        ("front", 1.2, 1.00, 0.84),
        # Fixed shares: 0.99 and 0.607.
        ("front", 1.5, 1.10, 0.68),
    ],
)
def test_overloaded_call_tree_reaches_the_goodput_of_its_bottleneck(short, load, of_the_best, after_prices):
    figures = _simulate(short, load)
    assert figures["of the best"] >= of_the_best
    assert figures["after prices"] >= after_prices


def test_urgent_requests_are_served_before_calls_of_less_urgent_requests():
    figures = _simulate("shared", 1.5)
    # Fixed shares: 0.385 in time, 0.241 refused.
    assert figures["order.timely"] >= 0.95
    assert figures["order.refused"] <= 0.02
