# SPDX-License-Identifier: BSD-3-Clause
"""Quotas: limits of customers' requests over all daemons, enforced by credits."""

from lanedock.quota.core import Quota, TokenBucket
from lanedock.quota.credits import ANSWER_TIMEOUT, CreditAccount, Exhausted, MustWait, Taken
from lanedock.quota.ledger import ALONE_AFTER, CREDIT_LIFETIME, SILENT_AFTER, Grant, QuotaLedger, QuotaUsage

__all__ = [
    "ALONE_AFTER",
    "ANSWER_TIMEOUT",
    "CREDIT_LIFETIME",
    "SILENT_AFTER",
    "CreditAccount",
    "Exhausted",
    "Grant",
    "MustWait",
    "Quota",
    "QuotaLedger",
    "QuotaUsage",
    "Taken",
    "TokenBucket",
]
