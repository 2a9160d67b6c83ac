# SPDX-License-Identifier: BSD-3-Clause
"""Base class of comparisons of a canary's upstreams with the stable ones, and what they share."""

from abc import ABC, abstractmethod
from math import exp, log

from lanedock.canary.windows import UpstreamWindows

__all__ = ["Comparison", "FaultGroup", "add_pairwise", "log_mean_exp"]


class FaultGroup:
    """Alternative faults that are weighed together.

    Parameters
    ----------
    name : str
        Name of the group, for the log.
    limit : float
        Log Bayes factor up to which the evidence for the group does not hold a version back.
    alarm : float, optional
        Log Bayes factor from which a version counts as bad; by chance a good one reaches it in one of `exp(alarm)`
        cases.
    """

    __slots__ = ("alarm", "limit", "name")

    def __init__(self, name: str, limit: float, alarm: float = log(200)):
        self.name = name
        self.limit = limit
        self.alarm = alarm

    def __repr__(self) -> str:
        return f"<FaultGroup {self.name} limit={self.limit}>"


class Comparison(ABC):
    """Evidence for faults of a canary, as log Bayes factors against a version without a fault.

    Attributes
    ----------
    GROUPS : tuple of FaultGroup
        All groups of faults that the comparison weighs.
    ratios : dict of FaultGroup to float
        Log Bayes factors after the last update; positive if the answers speak for the faults, 0 before any answers
        could be compared.
    """

    GROUPS: tuple[FaultGroup, ...] = ()

    def __init__(self):
        self.ratios: dict[FaultGroup, float] = dict.fromkeys(self.GROUPS, 0.0)

    def __repr__(self) -> str:
        ratios = {group.name: round(ratio, 1) for group, ratio in self.ratios.items()}
        return f"<{type(self).__name__} {ratios}>"

    @abstractmethod
    def update(self, stable: UpstreamWindows, canary: UpstreamWindows) -> None:
        """Compute the ratios from all answers so far.

        Parameters
        ----------
        stable, canary : UpstreamWindows
            Answers of the upstreams of both versions.
        """

    def is_alarming(self) -> bool:
        """Return whether the answers show a fault."""
        return any(ratio >= group.alarm for group, ratio in self.ratios.items())

    def excess(self) -> float:
        """Return the largest difference between a ratio and the limit of its group."""
        return max(ratio - group.limit for group, ratio in self.ratios.items())


def add_pairwise(values: list[float], others: list[float]) -> list[float]:
    """Return the sums of the numbers at the same places of two lists of the same length."""
    return [value + other for value, other in zip(values, others, strict=True)]


def log_mean_exp(logs: list[float]) -> float:
    """Return the logarithm of the mean of the exponentials of some numbers."""
    largest = max(logs)
    return largest + log(sum(exp(value - largest) for value in logs) / len(logs))
