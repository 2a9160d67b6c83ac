# SPDX-License-Identifier: BSD-3-Clause
"""Simulated answers of a service's upstreams, for the tests of the comparisons."""

import random
from typing import TypeVar

from lanedock.canary.comparison import Comparison
from lanedock.canary.counts import time_bucket
from lanedock.canary.evidence import Increment
from lanedock.canary.windows import WINDOW_LENGTH, UpstreamWindows

# Median and standard deviation of the logarithm of the times in seconds.
MEDIAN, SPREAD = 0.16, 0.6

ComparisonT = TypeVar("ComparisonT", bound=Comparison)


class Population:
    """Upstreams of both versions with their answers.

    Parameters
    ----------
    seed : int
    """

    def __init__(self, seed: int):
        self.rng = random.Random(seed)
        self.stable = UpstreamWindows()
        self.canary = UpstreamWindows()

    def add(
        self, upstream: str, count: int, failing=0.004, factor=1.0, slow=0.0, route="read", windows=range(5)
    ) -> None:
        """Add `count` answers in each window.

        Parameters
        ----------
        upstream : str
            Instance; those of the canary begin with "new".
        count : int
        failing : float
            Share of failures.
        factor, slow : float
            Factor of the times of all answers, and the share of answers that are three times slower besides.
        route : str
        windows : iterable of int
        """
        target = self.canary if upstream.startswith("new") else self.stable
        for number in windows:
            increment = Increment(route, "")
            increment.answered = count
            for _ in range(count):
                if self.rng.random() < failing:
                    increment.failed += 1
                    continue
                seconds = factor * MEDIAN * self.rng.lognormvariate(0, SPREAD)
                seconds *= 3.0 if self.rng.random() < slow else 1.0
                increment.times[time_bucket(seconds)] += 1
            target.add(upstream, increment, increment.times, number * WINDOW_LENGTH)

    def compare(self, comparison: ComparisonT) -> ComparisonT:
        """Update a comparison with the answers of both versions, and return it."""
        comparison.update(self.stable, self.canary)
        return comparison
