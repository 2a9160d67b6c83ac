# SPDX-License-Identifier: BSD-3-Clause
"""Directories of endpoints: from the platform's list, or from the registrations of daemons."""

from abc import ABC, abstractmethod

from lanedock.consensus.core import replica_name
from lanedock.kernel import Kernel, TaskService
from lanedock.membership import Directory, EndpointChanges, EndpointRegistry, Instance
from lanedock.quarantine import Quarantine
from lanedock.settings import ControlSettings
from lanedock.telemetry import Event, EventLogger
from lanedock.wire import messages
from lanedock_daemon.control.distribution import DaemonSessions
from lanedock_daemon.control.endpoints import EndpointExchange
from lanedock_daemon.control.leader import SILENCE_TIMEOUT
from lanedock_daemon.control.replicated_log import ReplicatedLog
from lanedock_daemon.transport import PeerLinks, Session

__all__ = ["ControlDirectory", "ListedDirectory", "RegisteredDirectory"]

# Seconds in which endpoint changes are batched before they are sent, unless the accepted version
# sets `endpoint_window_ms`: the default of that setting.
DEFAULT_ENDPOINT_WINDOW = 0.05
# Retention of an endpoint that is registered with no control instance, in seconds: its daemon may
# only have lost its connection to control, and callers detect whether the endpoint answers.
ENDPOINT_RETENTION = 12.0
# Interval, in seconds, at which control instances that are listed in the settings repeat the
# suspicions of quarantined requests: their reports have no numbers, so a lost one is not detected.
# All daemons have to refuse a request within 3 s of its third crash. A request with three crashes,
# of 90 bytes each (quarantine/tests/test_core.py), takes 135 bytes/s to each other control instance.
SUSPICION_REPEAT_INTERVAL = 2.0
# Interval, in seconds, at which control instances that are listed in the settings announce their zones,
# while a customer has a quota. Until its zone is known, an instance counts as a zone of its own.
ZONE_INTERVAL = 1.0


class ControlDirectory(ABC):
    """Endpoints known to a control instance, and their exchange with daemons and other control instances.

    Parameters
    ----------
    endpoints : EndpointChanges
    sessions : DaemonSessions
    links : PeerLinks
    log : ReplicatedLog
    quarantine : Quarantine
        Quarantine of the process; its suspicions are sent to the other control instances.
    """

    def __init__(
        self,
        endpoints: EndpointChanges,
        sessions: DaemonSessions,
        links: PeerLinks,
        log: ReplicatedLog,
        quarantine: Quarantine,
    ):
        self._quarantine = quarantine
        self._endpoints = endpoints
        self._sessions = sessions
        self._links = links
        self._log = log

    def __repr__(self) -> str:
        return f"<{type(self).__name__} {self._endpoints!r}>"

    @property
    def zones(self) -> dict[str, str]:
        """Known zones of control instances, by instance name."""
        return {}

    def start(self, kernel: Kernel) -> None:
        """Start the sources of endpoints."""

    def stop(self) -> None:
        """Stop the sources of endpoints."""

    def set_window(self, window: float) -> None:
        """Set the time in which changes are batched, in seconds."""
        self._endpoints.window = window

    def whole_update(self) -> messages.EndpointUpdate:
        """Return an update with all endpoints, for a daemon that has just connected."""
        return self._endpoints.whole_update()

    def endpoints(self) -> list[messages.Endpoint]:
        """Return all known endpoints."""
        return self._endpoints.endpoints()

    def broadcast(self, now: float) -> None:
        """Send the batched changes to all daemons once they are due."""
        update = self._endpoints.take_update(now)
        if update is not None:
            self._sessions.broadcast_endpoints(update)

    def apply_instance_list(self, instances: list[Instance], now: float) -> None:
        """Apply the platform's list of instances."""

    def announce_zone(self, now: float) -> None:
        """Tell the other control instances this one's zone at intervals, where no other message does."""

    def complete_admission(self, session: Session) -> None:
        """Send further information to a daemon that was just admitted."""

    @abstractmethod
    def apply_report(self, session: Session, message: messages.DaemonMessage, now: float) -> None:
        """Apply a daemon's report about itself, its upstream and the daemons that it relays for."""

    def leave(self, session: Session, now: float) -> None:
        """Handle the end of a daemon's stream."""

    @abstractmethod
    def receive(self, message: messages.PeerMessage, now: float) -> None:
        """Handle another control instance's message about endpoints, draining daemons or suspicions."""

    @abstractmethod
    def tick(self, now: float) -> None:
        """Run the actions that depend only on time."""

    def advance(self, now: float) -> None:
        """Send changes to the other control instances and to daemons."""


class ListedDirectory(ControlDirectory):
    """Directory of the endpoints in the platform's list; daemons report only their draining.

    Parameters
    ----------
    cfg : ControlSettings
    name, zone : str
        Name and zone of this replica.
    task : TaskService
        Receives `ListRead` messages.
    events : EventLogger
    sessions : DaemonSessions
    links : PeerLinks
    log : ReplicatedLog
    quarantine : Quarantine
    """

    def __init__(
        self,
        cfg: ControlSettings,
        name: str,
        zone: str,
        task: TaskService,
        events: EventLogger,
        sessions: DaemonSessions,
        links: PeerLinks,
        log: ReplicatedLog,
        quarantine: Quarantine,
    ):
        self._directory = Directory(DEFAULT_ENDPOINT_WINDOW)
        super().__init__(self._directory, sessions, links, log, quarantine)
        self._suspicion_outbox = quarantine.add_outbox()
        self._next_repeat_at = 0.0
        self._zone = zone
        self._zones: dict[str, str] = {}
        self._next_announcement_at = 0.0
        self._cfg = cfg
        self._others = [replica for replica in cfg.replicas if replica != name]
        self._task = task
        self._events = events
        self._reader = None

    def start(self, kernel: Kernel) -> None:
        from lanedock.membership import make_platform_list
        from lanedock_daemon.control.platform import PlatformReader

        interval = self._cfg.platform_interval_ms / 1000
        self._reader = PlatformReader(make_platform_list(self._cfg.platform_list), self._task, interval, self._events)
        self._reader.start(kernel)

    def stop(self) -> None:
        if self._reader is not None:
            self._reader.stop()

    @property
    def zones(self) -> dict[str, str]:
        return self._zones

    def announce_zone(self, now: float) -> None:
        if now >= self._next_announcement_at:
            self._next_announcement_at = now + ZONE_INTERVAL
            self._send_to_all(messages.PeerMessage(endpoint_report=messages.EndpointReport(zone=self._zone)))

    def apply_instance_list(self, instances: list[Instance], now: float) -> None:
        self._directory.apply_instance_list(instances, now)

    def apply_report(self, session: Session, message: messages.DaemonMessage, now: float) -> None:
        """Notify daemons and control instances when this daemon, or one that it relays for, starts to drain."""
        states = list(message.fleet_report.changed)
        if message.HasField("state"):
            states.append(message.state)
        notice = messages.DrainNotice()
        for state in states:
            if not state.draining:
                self._directory.clear_drain(state.daemon, state.incarnation)
            elif self._directory.drain(state.daemon, state.incarnation, now):
                notice.instances.append(state.daemon)
                notice.incarnations.append(state.incarnation)
                self._events.emit(Event.DRAINING, instance=state.daemon)
        if notice.instances:
            self._send_to_all(messages.PeerMessage(drain_notice=notice))

    def _send_to_all(self, message: messages.PeerMessage) -> None:
        """Send a message to all other control instances."""
        for name in self._others:
            self._send(name, message)

    def _send(self, name: str, message: messages.PeerMessage) -> None:
        replica = self._log.replica
        out = messages.PeerMessage(sender=replica.me, receiver=name, term=replica.term)
        out.MergeFrom(message)
        self._links.send([out])

    def advance(self, now: float) -> None:
        suspicions = self._quarantine.take_changes(self._suspicion_outbox, now)
        if now >= self._next_repeat_at:
            self._next_repeat_at = now + SUSPICION_REPEAT_INTERVAL
            suspicions += self._quarantine.blocked_suspicions(now)
        if suspicions:
            self._send_to_all(_make_report(suspicions))

    def receive(self, message: messages.PeerMessage, now: float) -> None:
        if message.endpoint_report.zone:
            self._zones[replica_name(message.sender)] = message.endpoint_report.zone
            return
        suspicions = message.endpoint_report.suspicions
        self._quarantine.merge(suspicions, now)
        missed = self._quarantine.clearances_missing_from(suspicions, now)
        if missed:
            self._send(replica_name(message.sender), _make_report(missed))
        notice = message.drain_notice
        for name, incarnation in zip(notice.instances, notice.incarnations, strict=True):
            self._directory.drain(name, incarnation, now)

    def tick(self, now: float) -> None:
        """Request attestations for listed daemons that are not connected to control."""
        known = self._sessions.distributor.known_daemons()
        unconnected = [endpoint for endpoint in self._directory.endpoints() if endpoint.instance not in known]
        if unconnected:
            self._sessions.request_attestations(unconnected, now)


class RegisteredDirectory(ControlDirectory):
    """Directory of the endpoints that daemons register with any control instance.

    Parameters
    ----------
    zone : str
        Zone of this control instance.
    sessions : DaemonSessions
    links : PeerLinks
    log : ReplicatedLog
    quarantine : Quarantine
    """

    def __init__(
        self, zone: str, sessions: DaemonSessions, links: PeerLinks, log: ReplicatedLog, quarantine: Quarantine
    ):
        registry = EndpointRegistry(DEFAULT_ENDPOINT_WINDOW, ENDPOINT_RETENTION)
        super().__init__(registry, sessions, links, log, quarantine)
        self._exchange = EndpointExchange(registry, zone, SILENCE_TIMEOUT, quarantine)
        self._sent_members: list[tuple[str, str]] = []

    @property
    def zones(self) -> dict[str, str]:
        return self._exchange.zones

    def complete_admission(self, session: Session) -> None:
        self._sessions.send_members([session], self._sent_members)

    def apply_report(self, session: Session, message: messages.DaemonMessage, now: float) -> None:
        if session.child is not None:
            self._exchange.register(session, message, now)

    def leave(self, session: Session, now: float) -> None:
        self._exchange.leave(session, now)

    def receive(self, message: messages.PeerMessage, now: float) -> None:
        if message.WhichOneof("body") != "drain_notice":
            self._links.send(self._exchange.receive(message, now))

    def tick(self, now: float) -> None:
        self._exchange.expire(now)

    def advance(self, now: float) -> None:
        self._links.send(self._exchange.take_due(self._other_replicas(), self._log.replica.me, now))
        self._send_members()

    def _other_replicas(self) -> list[str]:
        """Return the ids of the other voters and learners."""
        membership = self._log.replica.membership
        return [replica for replica in (*membership.voters, *membership.learners) if replica != self._log.replica.me]

    def _send_members(self) -> None:
        """Send the names and zones of control instances to all daemons when they have changed."""
        names = [replica_name(replica) for replica in (*self._other_replicas(), self._log.replica.me)]
        zones = self._exchange.zones
        members = [(name, zones.get(name, "")) for name in sorted(set(names))]
        if members != self._sent_members:
            self._sent_members = members
            self._sessions.send_members(None, members)


def _make_report(suspicions: list[messages.Suspicion]) -> messages.PeerMessage:
    return messages.PeerMessage(endpoint_report=messages.EndpointReport(suspicions=suspicions))
