# SPDX-License-Identifier: BSD-3-Clause
"""Rollout of a configuration version: submission, staging, acceptance, activation."""

from lanedock.rollout.coordinator import RolloutCoordinator, RolloutPolicy, RolloutProgress
from lanedock.rollout.distributor import Distributor, Subscriber, VersionSource
from lanedock.rollout.fleet import FleetView
from lanedock.rollout.holder import HeldVersion, VersionHolder, make_finding_record
from lanedock.rollout.state import MeshState, SubmitResult, Verdict, fill_content

__all__ = [
    "Distributor",
    "FleetView",
    "HeldVersion",
    "MeshState",
    "RolloutCoordinator",
    "RolloutPolicy",
    "RolloutProgress",
    "SubmitResult",
    "Subscriber",
    "Verdict",
    "VersionHolder",
    "VersionSource",
    "fill_content",
    "make_finding_record",
]
