# SPDX-License-Identifier: BSD-3-Clause
"""Budgets of retries, as a share of first tries."""

__all__ = ["RetryBudget"]


class RetryBudget:
    """Allows retries as a share of the first tries made lately.

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
        return f"<RetryBudget balance={self._balance:.1f}>"

    def note_first_try(self) -> None:
        """Note a first try, which pays for a part of a retry."""
        self._balance = min(self._most, self._balance + self._share)

    def spend(self) -> bool:
        """Take one retry out of the budget; False where it is spent."""
        if self._balance < 1:
            return False
        self._balance -= 1
        return True
