# SPDX-License-Identifier: BSD-3-Clause
"""Quarantine of requests that crash upstreams."""

from lanedock.quarantine.core import MAX_CRASHES, MAX_CRASHES_KEPT, SUSPECT_PAUSE, Quarantine
from lanedock.quarantine.fingerprint import BODY_LIMIT, Fingerprint, RequestHasher
from lanedock.quarantine.outbox import SuspicionOutbox
from lanedock.quarantine.runs import Run, RunRegistry
from lanedock.quarantine.served import RecentlyServed

__all__ = [
    "BODY_LIMIT",
    "MAX_CRASHES",
    "MAX_CRASHES_KEPT",
    "SUSPECT_PAUSE",
    "Fingerprint",
    "Quarantine",
    "RecentlyServed",
    "RequestHasher",
    "Run",
    "RunRegistry",
    "SuspicionOutbox",
]
