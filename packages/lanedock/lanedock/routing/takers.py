# SPDX-License-Identifier: BSD-3-Clause
"""The upstreams of one pool that take work."""

from lanedock.routing.upstream_stats import UpstreamStats

__all__ = ["Takers"]


class Takers:
    """Those in the caller's zone, and those in others.

    Parameters
    ----------
    takers : list of UpstreamStats
    zone : str
        The caller's.

    Attributes
    ----------
    local, remote : list of UpstreamStats
    """

    __slots__ = ("local", "remote")

    def __init__(self, takers: list[UpstreamStats], zone: str):
        self.local = [stats for stats in takers if stats.endpoint.zone == zone]
        self.remote = [stats for stats in takers if stats.endpoint.zone != zone]

    def remove(self, stats: UpstreamStats) -> None:
        """Give an upstream no work any more."""
        self.local = [other for other in self.local if other is not stats]
        self.remote = [other for other in self.remote if other is not stats]
