# SPDX-License-Identifier: BSD-3-Clause
"""Where a request goes: route tables and the choice of an upstream."""

from lanedock.routing.balancer import Balancer
from lanedock.routing.policy import BalancerPolicy
from lanedock.routing.split import choose_service
from lanedock.routing.table import RouteTable
from lanedock.routing.upstream_stats import UpstreamStats

__all__ = ["Balancer", "BalancerPolicy", "RouteTable", "UpstreamStats", "choose_service"]
