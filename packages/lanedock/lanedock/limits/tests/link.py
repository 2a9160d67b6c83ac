# SPDX-License-Identifier: BSD-3-Clause
"""A link to a daemon in virtual time, for tests of the limit on bodies."""

import heapq
from itertools import count

from lanedock.config import TrafficClass
from lanedock.limits import QUEUE_TIME, AdmissionRequest, BodyAdmission, Refused

__all__ = ["BODY", "CLASSES", "FAR", "NARROW", "PACKET", "ROUND_TRIP", "WIDE", "Link"]

CLASSES = {"urgent": TrafficClass("urgent", 0.5, 0), "bulk": TrafficClass("bulk", 0.5, 5)}
FAR = 1000.0
# Bytes a second: of a link of 3.9 Mbit/s, and of one of 1 Gbit/s.
NARROW, WIDE = 487_500.0, 125_000_000.0
# Longest time that a body, which was asked for, may take to begin to come, in seconds.
ROUND_TRIP = 0.002
PACKET = 1460
BODY = 60_000
# Seconds of what other traffic brings at once.
TRAFFIC_STEP = 0.01


class Link:
    """A link to a daemon that asks for bodies by `BodyAdmission`: one queue, in virtual time.

    Attributes
    ----------
    waits : list of float
        How long a short message would have waited behind bodies, at each body's coming
        onto the link, in seconds.
    received_at : list of float
        When each body had come whole.
    sizes : list of int
        Of those bodies, in bytes.
    taken : list of float
        How long after their requests they had come, in seconds.
    standing : int
        Bytes of bodies that stand on the link.
    standings : list of tuple of (float, float)
        When a body's bytes were put onto the link, and how long it takes to bring all
        that stood there then, both in seconds.
    """

    def __init__(
        self, bodies: BodyAdmission, rate: float, sender_rate: float = float("inf"), round_trip: float = ROUND_TRIP
    ):
        self.bodies = bodies
        self.now = 0.0
        self.waits: list[float] = []
        self.received_at: list[float] = []
        self.sizes: list[int] = []
        self.taken: list[float] = []
        self.refused = 0
        self.standing = 0
        self.standings: list[tuple[float, float]] = []
        self.rate = rate
        self._round_trip = round_trip
        self._sender_rate = sender_rate
        self._free_at = 0.0
        self._events: list = []
        self._number = count()

    def at(self, moment: float, act, *args) -> None:
        heapq.heappush(self._events, (moment, next(self._number), act, args))

    def upload(
        self,
        size: int = BODY,
        traffic_class: str = "bulk",
        target: float = FAR,
        deadline: float = FAR,
        sender_rate: float | None = None,
        round_trip: float | None = None,
    ) -> None:
        """Ask for a body, from a sender of its own; one without a rate (0) sends nothing."""
        request = AdmissionRequest(deadline, target)
        sender_rate = self._sender_rate if sender_rate is None else sender_rate
        round_trip = self._round_trip if round_trip is None else round_trip
        made, asked_at = [], self.now
        transfer = self.bodies.acquire(
            traffic_class,
            request,
            size,
            target,
            self.now,
            lambda: self._begin(made[0], size, asked_at, sender_rate, round_trip),
        )
        if isinstance(transfer, Refused):
            self.refused += 1
            return
        made.append(transfer)
        if transfer.is_admitted:
            self._begin(transfer, size, asked_at, sender_rate, round_trip)

    def _begin(self, transfer, size: int, asked_at: float, sender_rate: float, round_trip: float) -> None:
        self.bodies.begin(transfer, self.now)
        sender_rate = min(sender_rate, transfer.pace)
        if sender_rate:
            self.at(self.now + round_trip, self._send, transfer, size, asked_at, sender_rate)

    def _send(self, transfer, left: int, asked_at: float, sender_rate: float) -> None:
        """Put a part of a body onto the link, and the next one once the sender has it."""
        part = min(left, PACKET)
        if sender_rate == float("inf"):
            part = left
        self.standing += part
        self.standings.append((self.now, self.standing / self.rate))
        self._free_at = max(self._free_at, self.now)
        self.waits.append(self._free_at - self.now)
        for start in range(0, part, PACKET):
            size = min(PACKET, part - start)
            self._free_at += size / self.rate
            self.at(self._free_at, self._receive, transfer, size, asked_at)
        if left > part:
            self.at(self.now + part / sender_rate, self._send, transfer, left - part, asked_at, sender_rate)

    def _receive(self, transfer, size: int, asked_at: float) -> None:
        self.standing -= size
        self.bodies.note(transfer, size, self.now)
        if transfer.is_received:
            self.received_at.append(self.now)
            self.sizes.append(transfer.size)
            self.taken.append(self.now - asked_at)

    def carry(self, part: float, since: float, until: float) -> None:
        """Let other traffic take a part of the link from one moment to another."""
        steps = round((until - since) / TRAFFIC_STEP)
        for step in range(steps):
            self.at(since + step * TRAFFIC_STEP, self._take, part * TRAFFIC_STEP)

    def _take(self, seconds: float) -> None:
        self._free_at = max(self._free_at, self.now) + seconds

    def cut(self, since: float, until: float) -> None:
        """Let nothing come through from one moment to another; then all comes that was sent."""
        self.at(since, self._block, until)

    def _block(self, until: float) -> None:
        self._free_at = max(self._free_at, until)

    def run(self, until: float = FAR) -> None:
        ticks = 0
        while self._events and self._events[0][0] <= until:
            self.now, _, act, args = heapq.heappop(self._events)
            act(*args)
            # Whoever waits looks again from time to time.
            while ticks * QUEUE_TIME < self.now:
                ticks += 1
                self.bodies.update(self.now)
