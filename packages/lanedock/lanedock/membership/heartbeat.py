# SPDX-License-Identifier: BSD-3-Clause
"""Heartbeats that an application sends to its local daemon."""

from lanedock.membership.incarnation import Incarnation

__all__ = ["UNKNOWN_VERSION", "Heartbeat"]

# Placeholder for the software version of an application that has not reported it since its daemon started.
UNKNOWN_VERSION = "?"


class Heartbeat:
    """Status report of an application.

    Parameters
    ----------
    upstream : str
        Id of the application.
    service : str
        Service that the application belongs to.
    sequence : int
        Increases with each heartbeat of one incarnation.
    is_draining : bool
        Whether the application takes no new requests.
    slots : int
        Number of requests that it processes concurrently; 0 if not reported.
    cold_left : float
        Remaining warm-up time, in seconds.
    started : int
        Start time of the application in Unix milliseconds; 0 if not reported.
    version : str
        Version of the application's software; empty if not reported.
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
