# SPDX-License-Identifier: BSD-3-Clause
"""Request routing: route tables, traffic splits and load balancing among upstreams."""

from lanedock.routing.balancer import Balancer
from lanedock.routing.policy import BalancerPolicy
from lanedock.routing.split import choose_service
from lanedock.routing.table import RouteTable
from lanedock.routing.upstream_stats import UpstreamStats

__all__ = ["Balancer", "BalancerPolicy", "RouteTable", "UpstreamStats", "choose_service"]
