# SPDX-License-Identifier: BSD-3-Clause
"""Interface of the choice among the upstreams that may get a request."""

from abc import ABC, abstractmethod

from lanedock.routing.upstream_stats import UpstreamStats

__all__ = ["UpstreamChoice"]


class UpstreamChoice(ABC):
    """Orders upstreams by load. Does no I/O and reads no clock.

    Whether an upstream may get a request at all is decided before, by the `Balancer`.
    """

    @abstractmethod
    def choose(
        self,
        local: list[UpstreamStats],
        remote: list[UpstreamStats],
        slots: int,
        now: float,
        is_long: bool = False,
        target_time: float | None = None,
    ) -> UpstreamStats | None:
        """Choose an upstream for a request.

        Parameters
        ----------
        local, remote : list of UpstreamStats
            Upstreams that may get the request, in the caller's zone and in the other zones.
        slots : int
            Concurrent requests of an upstream that does not report its own number.
        now : float
            Monotonic time, in seconds.
        is_long : bool
            Whether the request has a long body, or a long answer.
        target_time : float, optional
            Monotonic time, in seconds, until which the answer is wanted.

        Returns
        -------
        UpstreamStats or None
            None if both lists are empty.
        """
