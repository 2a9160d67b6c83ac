# SPDX-License-Identifier: BSD-3-Clause
"""Model, validation and digest of the operators' file."""

from lanedock.config.core import CallerLimits, MeshConfig, Route, Service, Split, TrafficClass, Version
from lanedock.config.customers import Customer, CustomerTable
from lanedock.config.diff import Difference, compare
from lanedock.config.load import check_document, check_generated_config, decode_config, load_config
from lanedock.config.prefix import matches_prefix
from lanedock.config.tree import (
    MESH_GROUP,
    ConfigTree,
    find_needed_groups,
    is_customer_group,
    is_service_group,
    pack_groups,
    split_config,
    unpack_groups,
)

__all__ = [
    "MESH_GROUP",
    "CallerLimits",
    "ConfigTree",
    "Customer",
    "CustomerTable",
    "Difference",
    "MeshConfig",
    "Route",
    "Service",
    "Split",
    "TrafficClass",
    "Version",
    "check_document",
    "check_generated_config",
    "compare",
    "decode_config",
    "find_needed_groups",
    "is_customer_group",
    "is_service_group",
    "load_config",
    "matches_prefix",
    "pack_groups",
    "split_config",
    "unpack_groups",
]
