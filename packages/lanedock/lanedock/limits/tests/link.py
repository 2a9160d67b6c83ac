# SPDX-License-Identifier: BSD-3-Clause
"""A simulated link to a daemon in virtual time, for tests of the limit on bodies."""

import heapq
from itertools import count

from lanedock.config import TrafficClass
from lanedock.limits import MAX_LINK_QUEUE_TIME, AdmissionRequest, BodyAdmission, Refused

__all__ = ["BODY", "CLASSES", "FAR", "NARROW", "PACKET", "ROUND_TRIP", "WIDE", "Link"]

CLASSES = {"urgent": TrafficClass("urgent", 0.5, 0), "bulk": TrafficClass("bulk", 0.5, 5)}
FAR = 1000.0
# Rates of links of 3.9 Mbit/s and 1 Gbit/s, in bytes per second.
NARROW, WIDE = 487_500.0, 125_000_000.0
# Time from asking for a body until its first bytes are put onto the link, in seconds.
ROUND_TRIP = 0.002
# Sizes, in bytes.
PACKET = 1460
BODY = 60_000
# Interval at which other traffic is put onto the link, in seconds.
TRAFFIC_STEP = 0.01


class Link:
    """A link to a daemon that asks for bodies by `BodyAdmission`: one queue, in virtual time.

    Attributes
    ----------
    message_waits : list of float
        Time that a short message would have waited behind bodies, in seconds; one item for
        each part of a body that is put onto the link.
    received_at : list of float
        Times at which bodies had arrived completely, in seconds.
    sizes : list of int
        Sizes of these bodies, in bytes.
    durations : list of float
        Times from the requests for these bodies to their complete arrival, in seconds.
    refused : int
        Bodies that were refused.
    queued : int
        Bytes of bodies that are queued on the link.
    queue_times : list of tuple of (float, float)
        Times at which a body's bytes were put onto the link, and times that the link needs
        for all bytes queued then, both in seconds.
    rate : float
        Bytes per second.
    """

    def __init__(
        self, bodies: BodyAdmission, rate: float, sender_rate: float = float("inf"), round_trip: float = ROUND_TRIP
    ):
        self.bodies = bodies
        self.now = 0.0
        self.message_waits: list[float] = []
        self.received_at: list[float] = []
        self.sizes: list[int] = []
        self.durations: list[float] = []
        self.refused = 0
        self.queued = 0
        self.queue_times: list[tuple[float, float]] = []
        self.rate = rate
        self._round_trip = round_trip
        self._sender_rate = sender_rate
        self._free_at = 0.0
        self._events: list = []
        self._sequence = count()

    def schedule(self, time: float, action, *args) -> None:
        heapq.heappush(self._events, (time, next(self._sequence), action, args))

    def upload(
        self,
        size: int = BODY,
        traffic_class: str = "bulk",
        target: float = FAR,
        deadline: float = FAR,
        sender_rate: float | None = None,
        round_trip: float | None = None,
    ) -> None:
        """Ask for a body from a new sender; a sender with a rate of 0 sends nothing."""
        request = AdmissionRequest(deadline, target)
        sender_rate = self._sender_rate if sender_rate is None else sender_rate
        round_trip = self._round_trip if round_trip is None else round_trip
        transfers, asked_at = [], self.now
        transfer = self.bodies.acquire(
            traffic_class,
            request,
            size,
            target,
            self.now,
            lambda: self._begin(transfers[0], size, asked_at, sender_rate, round_trip),
        )
        if isinstance(transfer, Refused):
            self.refused += 1
            return
        transfers.append(transfer)
        if transfer.is_admitted:
            self._begin(transfer, size, asked_at, sender_rate, round_trip)

    def _begin(self, transfer, size: int, asked_at: float, sender_rate: float, round_trip: float) -> None:
        self.bodies.begin(transfer, self.now)
        sender_rate = min(sender_rate, transfer.pace)
        if sender_rate:
            self.schedule(self.now + round_trip, self._send, transfer, size, asked_at, sender_rate)

    def _send(self, transfer, remaining: int, asked_at: float, sender_rate: float) -> None:
        """Put a part of a body onto the link, and schedule the next part at the sender's rate."""
        part = min(remaining, PACKET)
        if sender_rate == float("inf"):
            part = remaining
        self.queued += part
        self.queue_times.append((self.now, self.queued / self.rate))
        self._free_at = max(self._free_at, self.now)
        self.message_waits.append(self._free_at - self.now)
        for start in range(0, part, PACKET):
            size = min(PACKET, part - start)
            self._free_at += size / self.rate
            self.schedule(self._free_at, self._receive, transfer, size, asked_at)
        if remaining > part:
            self.schedule(self.now + part / sender_rate, self._send, transfer, remaining - part, asked_at, sender_rate)

    def _receive(self, transfer, size: int, asked_at: float) -> None:
        self.queued -= size
        self.bodies.note(transfer, size, self.now)
        if transfer.is_received:
            self.received_at.append(self.now)
            self.sizes.append(transfer.size)
            self.durations.append(self.now - asked_at)

    def add_traffic(self, fraction: float, since: float, until: float) -> None:
        """Let other traffic take a fraction of the link from one time to another."""
        steps = round((until - since) / TRAFFIC_STEP)
        for step in range(steps):
            self.schedule(since + step * TRAFFIC_STEP, self._occupy, fraction * TRAFFIC_STEP)

    def _occupy(self, seconds: float) -> None:
        self._free_at = max(self._free_at, self.now) + seconds

    def interrupt(self, since: float, until: float) -> None:
        """Interrupt the link from one time to another; what was sent meanwhile is then delivered."""
        self.schedule(since, self._block, until)

    def _block(self, until: float) -> None:
        self._free_at = max(self._free_at, until)

    def run(self, until: float = FAR) -> None:
        ticks = 0
        while self._events and self._events[0][0] <= until:
            self.now, _, action, args = heapq.heappop(self._events)
            action(*args)
            # Daemons call `update` at this interval while bodies wait.
            while ticks * MAX_LINK_QUEUE_TIME < self.now:
                ticks += 1
                self.bodies.update(self.now)
