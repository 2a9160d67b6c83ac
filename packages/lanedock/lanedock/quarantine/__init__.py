# SPDX-License-Identifier: BSD-3-Clause
"""Quarantine of requests that crash upstreams."""

from lanedock.quarantine.core import MAX_CRASHES, MAX_STORED_CRASHES, SUSPECT_PAUSE, Quarantine
from lanedock.quarantine.fingerprint import HASHED_BODY_BYTES, Fingerprint, RequestHasher
from lanedock.quarantine.outbox import SuspicionOutbox
from lanedock.quarantine.runs import Run, RunRegistry
from lanedock.quarantine.served import RecentlyServed

__all__ = [
    "HASHED_BODY_BYTES",
    "MAX_CRASHES",
    "MAX_STORED_CRASHES",
    "SUSPECT_PAUSE",
    "Fingerprint",
    "Quarantine",
    "RecentlyServed",
    "RequestHasher",
    "Run",
    "RunRegistry",
    "SuspicionOutbox",
]
