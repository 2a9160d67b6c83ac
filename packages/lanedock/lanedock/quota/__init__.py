# SPDX-License-Identifier: BSD-3-Clause
"""Quotas: limits of customers' requests over all daemons, enforced by credits."""

from lanedock.quota.core import Quota, TokenBucket
from lanedock.quota.credits import CreditAccount, Exhausted, MustWait, Taken
from lanedock.quota.ledger import Grant, QuotaLedger

__all__ = [
    "CreditAccount",
    "Exhausted",
    "Grant",
    "MustWait",
    "Quota",
    "QuotaLedger",
    "Taken",
    "TokenBucket",
]
