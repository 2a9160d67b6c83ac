# SPDX-License-Identifier: BSD-3-Clause
"""Budgets of retries, as a share of first tries."""

from abc import ABC, abstractmethod
from collections.abc import Callable

__all__ = ["RetryBudget", "SavingBudget", "WindowBudget"]

# Parts into which a window is divided; counts are kept for each.
_PARTS = 10
# Part of the limit that a caller spends itself. The rest is reserved for the calls
# of its callers' retries: a run that is a retry makes its calls again, and they
# count as retries where they arrive. Two in a run, on most of the runs, as the
# deployments have them, take a little more than half.
_OWN_PART = 0.4


class RetryBudget(ABC):
    """Allows retries towards one service. Times are monotonic, in seconds."""

    @abstractmethod
    def note_first_try(self, now: float) -> None:
        """Note a first try, which pays for a part of a retry."""

    @abstractmethod
    def spend(self, now: float) -> bool:
        """Take one retry out of the budget; False where it is spent."""

    @abstractmethod
    def left(self, now: float) -> float:
        """Return how many retries may be made now."""


class SavingBudget(RetryBudget):
    """Allows retries as a share of first tries, some of them saved up.

    Parameters
    ----------
    share : float
        Retries allowed for each first try.
    most : float
        Retries that may be saved up.
    """

    __slots__ = ("_balance", "_most", "_share")

    def __init__(self, share: float = 0.1, most: float = 10.0):
        self._share = share
        self._most = most
        self._balance = most

    def __repr__(self) -> str:
        return f"<SavingBudget balance={self._balance:.1f}>"

    def note_first_try(self, now: float) -> None:
        self._balance = min(self._most, self._balance + self._share)

    def spend(self, now: float) -> bool:
        if self._balance < 1:
            return False
        self._balance -= 1
        return True

    def left(self, now: float) -> float:
        return self._balance


class WindowBudget(RetryBudget):
    """Keeps a whole mesh's retries within a limit for every span of a window's length.

    The limit is a share of the first tries in the window, and a slack that all
    daemons have together, of which each takes an equal part. Retries are
    counted over a part more than the window and first tries over a part less,
    so that the sum over all daemons holds for any span. A part is reserved for calls
    that are made again because their caller's request was retried.

    Parameters
    ----------
    share : float
    slack : float
        Of the whole mesh.
    window : float
        Seconds.
    daemons : callable
        Returns the number of daemons that share the slack.
    """

    __slots__ = ("_daemons", "_part", "_retries", "_share", "_slack", "_tries")

    def __init__(self, share: float, slack: float, window: float, daemons: Callable[[], int]):
        self._share = share
        self._slack = slack
        self._part = window / _PARTS
        self._daemons = daemons
        self._tries: dict[int, int] = {}
        self._retries: dict[int, int] = {}

    def __repr__(self) -> str:
        return f"<WindowBudget share={self._share} slack={self._slack} retries={sum(self._retries.values())}>"

    def note_first_try(self, now: float) -> None:
        part = int(now / self._part)
        self._tries[part] = self._tries.get(part, 0) + 1

    def spend(self, now: float) -> bool:
        if self.left(now) < 1:
            return False
        part = int(now / self._part)
        self._retries[part] = self._retries.get(part, 0) + 1
        return True

    def left(self, now: float) -> float:
        part = int(now / self._part)
        self._tries = {at: count for at, count in self._tries.items() if part - at < _PARTS}
        self._retries = {at: count for at, count in self._retries.items() if part - at <= _PARTS}
        allowed = self._share * sum(self._tries.values()) + self._slack / self._daemons()
        return _OWN_PART * allowed - sum(self._retries.values())
