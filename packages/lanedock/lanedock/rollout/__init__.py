# SPDX-License-Identifier: BSD-3-Clause
"""Rollout of a configuration version: submission, staging, acceptance, activation."""

from lanedock.rollout.coordinator import RolloutCoordinator, RolloutPolicy, RolloutProgress
from lanedock.rollout.distributor import Child, Distributor, VersionSource
from lanedock.rollout.fleet import FleetView
from lanedock.rollout.holder import Held, VersionHolder, record_finding
from lanedock.rollout.state import MeshState, SubmitResult, Verdict, fill_content

__all__ = [
    "Child",
    "Distributor",
    "FleetView",
    "Held",
    "MeshState",
    "RolloutCoordinator",
    "RolloutPolicy",
    "RolloutProgress",
    "SubmitResult",
    "Verdict",
    "VersionHolder",
    "VersionSource",
    "fill_content",
    "record_finding",
]
