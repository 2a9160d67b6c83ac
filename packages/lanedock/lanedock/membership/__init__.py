# SPDX-License-Identifier: BSD-3-Clause
"""Membership of the mesh: platform lists, registrations, and the endpoints derived from them."""

from lanedock.membership.advertised_rate import AdvertisedRate
from lanedock.membership.application_load import ApplicationLoad, read_load
from lanedock.membership.changes import EndpointChanges
from lanedock.membership.core import Instance, InstanceState, PlatformList, parse_instances
from lanedock.membership.directory import Directory
from lanedock.membership.heartbeat import UNKNOWN_VERSION, Heartbeat
from lanedock.membership.incarnation import Incarnation
from lanedock.membership.registration import UpstreamRegistration
from lanedock.membership.registry import EndpointRegistry, freshness, incarnation_of
from lanedock.membership.sources import FilePlatformList, HttpPlatformList, make_platform_list
from lanedock.membership.upstream_report import UpstreamReport, read_rate

__all__ = [
    "UNKNOWN_VERSION",
    "AdvertisedRate",
    "ApplicationLoad",
    "Directory",
    "EndpointChanges",
    "EndpointRegistry",
    "FilePlatformList",
    "Heartbeat",
    "HttpPlatformList",
    "Incarnation",
    "Instance",
    "InstanceState",
    "PlatformList",
    "UpstreamRegistration",
    "UpstreamReport",
    "freshness",
    "incarnation_of",
    "make_platform_list",
    "parse_instances",
    "read_load",
    "read_rate",
]
