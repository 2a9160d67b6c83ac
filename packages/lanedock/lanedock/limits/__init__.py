# SPDX-License-Identifier: BSD-3-Clause
"""Limits on work: slots with shares, retry budgets, admission."""

from lanedock.limits.admission import Admission
from lanedock.limits.ages import RequestAges
from lanedock.limits.retries import RetryBudget, SavingBudget, WindowBudget
from lanedock.limits.slots import Refused, SlotLimiter, Waiter, Wish

__all__ = [
    "Admission",
    "Refused",
    "RequestAges",
    "RetryBudget",
    "SavingBudget",
    "SlotLimiter",
    "Waiter",
    "WindowBudget",
    "Wish",
]
