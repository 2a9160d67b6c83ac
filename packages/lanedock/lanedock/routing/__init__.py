# SPDX-License-Identifier: BSD-3-Clause
"""Request routing: route tables, traffic splits and load balancing among upstreams."""

from lanedock.routing.balancer import Balancer
from lanedock.routing.load_sample import ProbePlan
from lanedock.routing.policy import BalancerPolicy
from lanedock.routing.power_of_two import PowerOfTwoChoice
from lanedock.routing.probed_choice import ProbedChoice
from lanedock.routing.split import choose_service
from lanedock.routing.table import RouteTable
from lanedock.routing.upstream_choice import UpstreamChoice
from lanedock.routing.upstream_stats import UpstreamStats

__all__ = [
    "Balancer",
    "BalancerPolicy",
    "PowerOfTwoChoice",
    "ProbePlan",
    "ProbedChoice",
    "RouteTable",
    "UpstreamChoice",
    "UpstreamStats",
    "choose_service",
]
