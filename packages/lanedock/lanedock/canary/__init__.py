# SPDX-License-Identifier: BSD-3-Clause
"""Canary releases: moving a service's traffic to a new software version, or back if it is worse."""

from lanedock.canary.analysis import Analysis, CusumAnalysis
from lanedock.canary.controller import CanaryController, make_step
from lanedock.canary.counts import CanaryCounter
from lanedock.canary.evidence import Evidence
from lanedock.canary.pools import CanarySplit, Pool, assign_pools, classify
from lanedock.canary.run import CanaryPolicy
from lanedock.canary.state import FULL_SHARE, CanaryState, StartResult, StartVerdict

__all__ = [
    "FULL_SHARE",
    "Analysis",
    "CanaryController",
    "CanaryCounter",
    "CanaryPolicy",
    "CanarySplit",
    "CanaryState",
    "CusumAnalysis",
    "Evidence",
    "Pool",
    "StartResult",
    "StartVerdict",
    "assign_pools",
    "classify",
    "make_step",
]
