# SPDX-License-Identifier: BSD-3-Clause
"""Counts of the bytes that a control instance sends, by purpose and by whether they leave the zone."""

from lanedock.consensus.core import replica_name
from lanedock.telemetry import Event, EventLogger, Metric, Metrics
from lanedock.wire import messages
from lanedock_daemon.transport import PeerLinks, Session

__all__ = ["ControlTraffic", "MeteredLinks"]

# Minimum interval between two log lines with totals, in seconds: an operator compares them around a change.
TOTALS_INTERVAL = 5.0


class ControlTraffic:
    """Counts the bytes sent in messages, without framing.

    Parameters
    ----------
    zone : str
        Zone of this control instance.
    zone_of : callable
        Takes the name of another control instance; returns its zone, empty where it is not known.
    events : EventLogger
    metrics : Metrics
    """

    def __init__(self, zone: str, zone_of, events: EventLogger, metrics: Metrics):
        self._zone = zone
        self._zone_of = zone_of
        self._events = events
        self._metrics = metrics
        self._totals: dict[str, int] = {}
        self._next_emit_at = 0.0

    def __repr__(self) -> str:
        return f"<ControlTraffic {sum(self._totals.values())} bytes>"

    def count_peer_message(self, message: messages.PeerMessage) -> None:
        """Count a message to another control instance."""
        is_far = self._zone_of(replica_name(message.receiver)) != self._zone
        self._count(message.WhichOneof("body"), is_far, message.ByteSize())

    def count_daemon_message(self, session: Session, message: messages.ControlMessage, size: int) -> None:
        """Count a message of `size` bytes to a daemon."""
        is_far = session.child is not None and session.child.state.zone != self._zone
        self._count(f"daemon_{message.WhichOneof('body')}", is_far, size)

    def _count(self, purpose: str, is_far: bool, size: int) -> None:
        reach = "far" if is_far else "near"
        self._metrics.count(Metric.TRAFFIC, size, (purpose, reach))
        key = f"{purpose}_{reach}"
        self._totals[key] = self._totals.get(key, 0) + size

    def emit(self, now: float) -> None:
        """Log the totals since the start, at most once per `TOTALS_INTERVAL`."""
        if now >= self._next_emit_at and self._totals:
            self._next_emit_at = now + TOTALS_INTERVAL
            self._events.emit(Event.CONTROL_TRAFFIC, **self._totals)


class MeteredLinks(PeerLinks):
    """Links to other control instances that count the bytes sent.

    Parameters
    ----------
    links : PeerLinks
    traffic : ControlTraffic
    """

    def __init__(self, links: PeerLinks, traffic: ControlTraffic):
        self._links = links
        self._traffic = traffic

    def start(self) -> None:
        self._links.start()

    def send(self, batch: list[messages.PeerMessage]) -> None:
        for message in batch:
            self._traffic.count_peer_message(message)
        self._links.send(batch)

    def note_heard(self, sender: str, now: float) -> None:
        self._links.note_heard(sender, now)

    def refused_at(self, name: str) -> float:
        return self._links.refused_at(name)
