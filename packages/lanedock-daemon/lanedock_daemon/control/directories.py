# SPDX-License-Identifier: BSD-3-Clause
"""Where a control instance learns of endpoints: from the platform's list, or from the daemons themselves."""

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
from lanedock_daemon.control.leader import SILENT_AFTER
from lanedock_daemon.control.log import ReplicatedLog
from lanedock_daemon.transport import PeerLinks, Session

__all__ = ["ControlDirectory", "ListedDirectory", "RegisteredDirectory"]

# Seconds that changes are gathered until a version says otherwise: the default of
# `endpoint_window_ms`.
DEFAULT_ENDPOINT_WINDOW = 0.05
# An endpoint that no control instance hears of is kept for this long, in
# seconds: its daemon may have lost control only, and callers see for themselves
# whether it answers.
ENDPOINT_KEEP = 12.0
# Seconds after which control instances that are listed in the settings send again which requests
# are not passed on: their reports have no numbers, so nobody knows that one was lost. Within 3 s
# of a third crash all daemons are to refuse. 135 bytes a second to each other control instance for
# a request with three crashes, of 90 bytes each (quarantine/tests/test_core.py).
SUSPICION_REPEAT = 2.0


class ControlDirectory(ABC):
    """The endpoints that a control instance knows, and how it comes to know them.

    Parameters
    ----------
    endpoints : EndpointChanges
    sessions : DaemonSessions
    links : PeerLinks
    log : ReplicatedLog
    quarantine : Quarantine
        Of the process; its news go to the other control instances, too.
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
        """Zones of control instances by name, as far as they are known."""
        return {}

    def start(self, kernel: Kernel) -> None:
        """Begin to learn of endpoints."""

    def stop(self) -> None:
        """Learn no more."""

    def set_window(self, window: float) -> None:
        """Set how long changes are gathered, in seconds."""
        self._endpoints.window = window

    def whole_update(self) -> messages.EndpointUpdate:
        """Return all endpoints, for a daemon that has just connected."""
        return self._endpoints.whole_update()

    def endpoints(self) -> list[messages.Endpoint]:
        """Return all endpoints that are known here."""
        return self._endpoints.endpoints()

    def broadcast(self, now: float) -> None:
        """Send all daemons the changes that are due."""
        update = self._endpoints.take_update(now)
        if update is not None:
            self._sessions.broadcast_endpoints(update)

    def take_list(self, instances: list[Instance], now: float) -> None:
        """Accept the platform's list."""

    def greet(self, session: Session) -> None:
        """Send a daemon that was admitted what it needs besides endpoints."""

    @abstractmethod
    def note_state(self, session: Session, message: messages.DaemonMessage, now: float) -> None:
        """Accept what a daemon reports of itself, of its upstream, and of daemons downstream."""

    def leave(self, session: Session, now: float) -> None:
        """Note that a daemon's stream has ended."""

    @abstractmethod
    def receive(self, message: messages.PeerMessage, now: float) -> None:
        """Accept another control instance's message on endpoints."""

    @abstractmethod
    def tick(self, now: float) -> None:
        """Do what is due by time alone."""

    def advance(self, now: float) -> None:
        """Send what has changed to the other control instances and to daemons."""


class ListedDirectory(ControlDirectory):
    """Endpoints by the platform's list; daemons report only that they drain.

    Parameters
    ----------
    cfg : ControlSettings
    name : str
        Of this replica.
    task : TaskService
        Takes ListRead.
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
        task: TaskService,
        events: EventLogger,
        sessions: DaemonSessions,
        links: PeerLinks,
        log: ReplicatedLog,
        quarantine: Quarantine,
    ):
        self._directory = Directory(DEFAULT_ENDPOINT_WINDOW)
        super().__init__(self._directory, sessions, links, log, quarantine)
        self._suspicions = quarantine.add_outbox()
        self._repeat_at = 0.0
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

    def take_list(self, instances: list[Instance], now: float) -> None:
        self._directory.take_list(instances, now)

    def note_state(self, session: Session, message: messages.DaemonMessage, now: float) -> None:
        """Let everybody know at once when a daemon, or one downstream of it, drains."""
        states = list(message.fleet_report.changed)
        if message.HasField("state"):
            states.append(message.state)
        notice = messages.DrainNotice()
        for state in states:
            if not state.draining:
                self._directory.revive(state.daemon, state.incarnation)
            elif self._directory.drain(state.daemon, state.incarnation, now):
                notice.instances.append(state.daemon)
                notice.incarnations.append(state.incarnation)
                self._events.emit(Event.DRAINING, instance=state.daemon)
        if notice.instances:
            self._send_to_others(messages.PeerMessage(drain_notice=notice))

    def _send_to_others(self, message: messages.PeerMessage) -> None:
        """Send a message to all other control instances."""
        for name in self._others:
            self._send(name, message)

    def _send(self, name: str, message: messages.PeerMessage) -> None:
        replica = self._log.replica
        out = messages.PeerMessage(sender=replica.me, receiver=name, term=replica.term)
        out.MergeFrom(message)
        self._links.send([out])

    def advance(self, now: float) -> None:
        news = self._quarantine.take_news(self._suspicions, now)
        if now >= self._repeat_at:
            self._repeat_at = now + SUSPICION_REPEAT
            news += self._quarantine.held_news(now)
        if news:
            self._send_to_others(_make_report(news))

    def receive(self, message: messages.PeerMessage, now: float) -> None:
        suspicions = message.endpoint_report.suspicions
        self._quarantine.merge(suspicions, now)
        missed = self._quarantine.missed_by(suspicions, now)
        if missed:
            self._send(replica_name(message.sender), _make_report(missed))
        notice = message.drain_notice
        for name, incarnation in zip(notice.instances, notice.incarnations, strict=True):
            self._directory.drain(name, incarnation, now)

    def tick(self, now: float) -> None:
        """Have daemons confirm that others are unreachable which are listed and not connected here."""
        known = self._sessions.distributor.known_daemons()
        unconnected = [endpoint for endpoint in self._directory.endpoints() if endpoint.instance not in known]
        if unconnected:
            self._sessions.ask_attestations(unconnected, now)


class RegisteredDirectory(ControlDirectory):
    """Endpoints by what daemons report of themselves, here and at the other control instances.

    Parameters
    ----------
    zone : str
        Of this control instance.
    sessions : DaemonSessions
    links : PeerLinks
    log : ReplicatedLog
    quarantine : Quarantine
    """

    def __init__(
        self, zone: str, sessions: DaemonSessions, links: PeerLinks, log: ReplicatedLog, quarantine: Quarantine
    ):
        registry = EndpointRegistry(DEFAULT_ENDPOINT_WINDOW, ENDPOINT_KEEP)
        super().__init__(registry, sessions, links, log, quarantine)
        self._exchange = EndpointExchange(registry, zone, SILENT_AFTER, quarantine)
        self._sent_members: list[tuple[str, str]] = []

    @property
    def zones(self) -> dict[str, str]:
        return self._exchange.zones

    def greet(self, session: Session) -> None:
        self._sessions.send_members([session], self._sent_members)

    def note_state(self, session: Session, message: messages.DaemonMessage, now: float) -> None:
        if session.child is not None:
            self._exchange.register(session, message, now)

    def leave(self, session: Session, now: float) -> None:
        self._exchange.leave(session, now)

    def receive(self, message: messages.PeerMessage, now: float) -> None:
        if message.WhichOneof("body") != "drain_notice":
            self._links.send(self._exchange.take(message, now))

    def tick(self, now: float) -> None:
        self._exchange.expire(now)

    def advance(self, now: float) -> None:
        self._links.send(self._exchange.due(self._other_replicas(), self._log.replica.me, now))
        self._send_members()

    def _other_replicas(self) -> list[str]:
        """Return the ids of the other replicas that take part."""
        membership = self._log.replica.membership
        return [replica for replica in (*membership.voters, *membership.learners) if replica != self._log.replica.me]

    def _send_members(self) -> None:
        """Name the control instances to the daemons, when they have changed."""
        names = [replica_name(replica) for replica in (*self._other_replicas(), self._log.replica.me)]
        zones = self._exchange.zones
        members = [(name, zones.get(name, "")) for name in sorted(set(names))]
        if members != self._sent_members:
            self._sent_members = members
            self._sessions.send_members(None, members)


def _make_report(suspicions: list[messages.Suspicion]) -> messages.PeerMessage:
    return messages.PeerMessage(endpoint_report=messages.EndpointReport(suspicions=suspicions))
