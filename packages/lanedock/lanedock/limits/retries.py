# SPDX-License-Identifier: BSD-3-Clause
"""Retry budgets: limits on retries, as a share of first tries."""

from abc import ABC, abstractmethod
from collections.abc import Callable

__all__ = ["RetryBudget", "SavingBudget", "WindowBudget"]

# Intervals into which a window is divided; tries and retries are counted for each.
_INTERVALS = 10
# Fraction of the limit that a daemon spends on its own retries. The rest is reserved for the
# calls that a retried request makes again, which count as retries at the services that receive
# them. With two calls in most requests, as is usual, these take a little more than half of the
# limit.
_OWN_FRACTION = 0.4


class RetryBudget(ABC):
    """Limits the retries to one service. Times are monotonic, in seconds."""

    @abstractmethod
    def note_first_try(self, now: float) -> None:
        """Record a first try, which adds a fraction of a retry to the budget."""

    @abstractmethod
    def spend(self, now: float) -> bool:
        """Take one retry out of the budget; return False if the budget is exhausted."""

    @abstractmethod
    def available(self, now: float) -> float:
        """Return the number of retries that may be made now."""


class SavingBudget(RetryBudget):
    """Allows retries as a share of first tries, and saves unused ones up to a limit.

    Parameters
    ----------
    share : float
        Retries allowed for each first try.
    max_balance : float
        Unused retries that are saved at most; also those allowed at the start.
    """

    __slots__ = ("_balance", "_max_balance", "_share")

    def __init__(self, share: float = 0.1, max_balance: float = 10.0):
        self._share = share
        self._max_balance = max_balance
        self._balance = max_balance

    def __repr__(self) -> str:
        return f"<SavingBudget balance={self._balance:.1f}>"

    def note_first_try(self, now: float) -> None:
        self._balance = min(self._max_balance, self._balance + self._share)

    def spend(self, now: float) -> bool:
        if self._balance < 1:
            return False
        self._balance -= 1
        return True

    def available(self, now: float) -> float:
        return self._balance


class WindowBudget(RetryBudget):
    """Keeps the retries of a whole mesh within a limit in any time span of a window's length.

    The limit is a share of the first tries in the window, plus a slack that all daemons
    share equally. Retries are counted over up to one interval more than the window, and
    first tries over up to one interval less, so that the sum over all daemons keeps the
    limit in any span. A fraction of the limit is reserved for calls that are made again
    because the request that makes them was retried.

    Parameters
    ----------
    share : float
        Retries allowed for each first try.
    slack : float
        Additional retries that the whole mesh may make in a window.
    window : float
        Seconds.
    daemons : callable
        Returns the number of daemons that share the slack.
    """

    __slots__ = ("_count_daemons", "_first_tries", "_interval", "_retries", "_share", "_slack")

    def __init__(self, share: float, slack: float, window: float, daemons: Callable[[], int]):
        self._share = share
        self._slack = slack
        self._interval = window / _INTERVALS
        self._count_daemons = daemons
        # Counts by the number of the interval.
        self._first_tries: dict[int, int] = {}
        self._retries: dict[int, int] = {}

    def __repr__(self) -> str:
        return f"<WindowBudget share={self._share} slack={self._slack} retries={sum(self._retries.values())}>"

    def note_first_try(self, now: float) -> None:
        current = int(now / self._interval)
        self._first_tries[current] = self._first_tries.get(current, 0) + 1

    def spend(self, now: float) -> bool:
        if self.available(now) < 1:
            return False
        current = int(now / self._interval)
        self._retries[current] = self._retries.get(current, 0) + 1
        return True

    def available(self, now: float) -> float:
        current = int(now / self._interval)
        self._first_tries = {
            number: count for number, count in self._first_tries.items() if current - number < _INTERVALS
        }
        self._retries = {number: count for number, count in self._retries.items() if current - number <= _INTERVALS}
        allowed = self._share * sum(self._first_tries.values()) + self._slack / self._count_daemons()
        return _OWN_FRACTION * allowed - sum(self._retries.values())
