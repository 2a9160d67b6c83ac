# SPDX-License-Identifier: BSD-3-Clause
"""What an application reports of itself to the daemon beside it."""

from lanedock.membership.incarnation import Incarnation

__all__ = ["UNKNOWN_VERSION", "Heartbeat"]

# Version of an application that has not reported since its daemon's start which it is.
UNKNOWN_VERSION = "?"


class Heartbeat:
    """What an application reports of itself.

    Parameters
    ----------
    upstream : str
        Id of the application.
    service : str
    sequence : int
        Grows with each heartbeat of one incarnation.
    is_draining : bool
    slots : int
        Requests that it works on at once; 0 where it does not report them.
    cold_left : float
        Seconds for which it is still slow.
    started : int
        Unix milliseconds of the application's start; 0 where it does not report it.
    version : str
        Of the application's software; empty where it does not report it.
    """

    __slots__ = ("cold_left", "incarnation", "is_draining", "sequence", "service", "slots", "version")

    def __init__(
        self,
        upstream: str,
        service: str,
        sequence: int,
        is_draining: bool,
        slots: int,
        cold_left: float,
        started: int = 0,
        version: str = "",
    ):
        self.incarnation = Incarnation(upstream, started)
        self.version = version
        self.service = service
        self.sequence = sequence
        self.is_draining = is_draining
        self.slots = slots
        self.cold_left = cold_left

    @property
    def upstream(self) -> str:
        """Id of the application."""
        return self.incarnation.upstream

    def __repr__(self) -> str:
        return f"<Heartbeat {self.upstream} #{self.sequence} draining={self.is_draining}>"
