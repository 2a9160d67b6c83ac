# SPDX-License-Identifier: BSD-3-Clause
"""What a control instance sends, in bytes, by what it carries and whether it leaves the zone."""

from lanedock.consensus.core import replica_name
from lanedock.telemetry import Event, EventLogger, Metric, Metrics
from lanedock.wire import messages
from lanedock_daemon.transport import PeerLinks, Session

__all__ = ["ControlTraffic", "MeteredLinks"]

# Between two lines of totals, in seconds: what an operator looks at beside a change.
TOTALS_INTERVAL = 5.0


class ControlTraffic:
    """Counts the bytes of messages, without framing.

    Parameters
    ----------
    zone : str
        Of this control instance.
    zone_of : callable
        Takes the name of another control instance, returns its zone, empty where it isn't known.
    events : EventLogger
    metrics : Metrics
    """

    def __init__(self, zone: str, zone_of, events: EventLogger, metrics: Metrics):
        self._zone = zone
        self._zone_of = zone_of
        self._events = events
        self._metrics = metrics
        self._totals: dict[str, int] = {}
        self._emit_at = 0.0

    def __repr__(self) -> str:
        return f"<ControlTraffic {sum(self._totals.values())} bytes>"

    def note_peer(self, message: messages.PeerMessage) -> None:
        """Count a message to another control instance."""
        is_far = self._zone_of(replica_name(message.receiver)) != self._zone
        self._note(message.WhichOneof("body"), is_far, message.ByteSize())

    def note_daemon(self, session: Session, message: messages.ControlMessage, size: int) -> None:
        """Count a message of `size` bytes to a daemon."""
        is_far = session.child is not None and session.child.state.zone != self._zone
        self._note(f"daemon_{message.WhichOneof('body')}", is_far, size)

    def _note(self, purpose: str, is_far: bool, size: int) -> None:
        reach = "far" if is_far else "near"
        self._metrics.count(Metric.TRAFFIC, size, (purpose, reach))
        key = f"{purpose}_{reach}"
        self._totals[key] = self._totals.get(key, 0) + size

    def emit(self, now: float) -> None:
        """Write the totals since the start, once in a while."""
        if now >= self._emit_at and self._totals:
            self._emit_at = now + TOTALS_INTERVAL
            self._events.emit(Event.CONTROL_TRAFFIC, **self._totals)


class MeteredLinks(PeerLinks):
    """Links to other control instances, with what is sent over them counted.

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
            self._traffic.note_peer(message)
        self._links.send(batch)

    def note_heard(self, sender: str, now: float) -> None:
        self._links.note_heard(sender, now)
