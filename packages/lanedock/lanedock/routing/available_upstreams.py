# SPDX-License-Identifier: BSD-3-Clause
"""The upstreams of one pool that accept requests."""

from lanedock.routing.upstream_stats import UpstreamStats

__all__ = ["AvailableUpstreams"]


class AvailableUpstreams:
    """Upstreams that accept requests, divided by availability zone.

    Parameters
    ----------
    upstreams : list of UpstreamStats
    zone : str
        Availability zone of the caller.

    Attributes
    ----------
    local, remote : list of UpstreamStats
        Upstreams in the caller's zone, and in the other zones.
    """

    __slots__ = ("local", "remote")

    def __init__(self, upstreams: list[UpstreamStats], zone: str):
        self.local = [stats for stats in upstreams if stats.endpoint.zone == zone]
        self.remote = [stats for stats in upstreams if stats.endpoint.zone != zone]

    def remove(self, stats: UpstreamStats) -> None:
        """Remove an upstream, so that it gets no more requests."""
        self.local = [other for other in self.local if other is not stats]
        self.remote = [other for other in self.remote if other is not stats]
