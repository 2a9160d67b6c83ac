# SPDX-License-Identifier: BSD-3-Clause
"""Sessions of control instances and relays with downstream daemons."""

from abc import ABC, abstractmethod

from lanedock.clock import monotonic
from lanedock.quarantine import Quarantine
from lanedock.rollout import Distributor
from lanedock.telemetry import Metric, Metrics
from lanedock.wire import messages
from lanedock_daemon.sessions import HEARTBEAT_INTERVAL, SILENCE_LIMIT
from lanedock_daemon.transport import Session

__all__ = ["SessionRegistry"]


class SessionRegistry(ABC):
    """Sessions with downstream daemons, and the messages sent to them.

    Parameters
    ----------
    distributor : Distributor
    metrics : Metrics
    quarantine : Quarantine
        That of the process. Its changes are sent to daemons, and changes from daemons are merged.
    """

    def __init__(self, distributor: Distributor, metrics: Metrics, quarantine: Quarantine):
        self.distributor = distributor
        self._quarantine = quarantine
        self._suspicions = quarantine.add_outbox()
        self._metrics = metrics
        self._sessions: dict[Session, None] = {}
        self._heartbeat_at = 0.0
        self._plan = messages.CanaryPlan()

    def __repr__(self) -> str:
        return f"<{type(self).__name__} sessions={len(self._sessions)} {self.distributor!r}>"

    @abstractmethod
    def _apply_message(self, session: Session, message: messages.DaemonMessage) -> None:
        """Process the parts of a daemon's message other than its state and its suspicions."""

    @abstractmethod
    def admit_or_refuse(
        self, session: Session, message: messages.DaemonMessage, endpoints: messages.EndpointUpdate
    ) -> None:
        """Admit a daemon and send it all endpoints, or redirect it to another source."""

    def greet(
        self, session: Session, message: messages.DaemonMessage, make_endpoints, accepted: int, staleness: float
    ) -> bool:
        """Answer a daemon that has connected, or that only probes how fresh this source is.

        Parameters
        ----------
        session : Session
        message : DaemonMessage
            The first message of the session.
        make_endpoints : callable
            Returns an EndpointUpdate with all endpoints.
        accepted, staleness : int, float
            See `send_heartbeats`.

        Returns
        -------
        bool
            Whether the daemon was admitted.
        """
        if message.probe:
            self._send_heartbeat(session, accepted, staleness)
            session.close()
            return False
        self.admit_or_refuse(session, message, make_endpoints())
        if session.child is None:
            return False
        # At once, so that a daemon whose source has no leader can try the next source.
        self._send_heartbeat(session, accepted, staleness)
        return True

    def _admit(self, session: Session, message: messages.DaemonMessage, endpoints: messages.EndpointUpdate) -> None:
        """Admit a daemon, and send it all suspicions and endpoints.

        Endpoints are sent last: the daemon is ready once it knows them.
        """
        now = monotonic()
        session.heard_at = now
        session.child = self.distributor.connect(message.state)
        self._sessions[session] = None
        suspicions = self._quarantine.all_suspicions(now)
        if suspicions:
            self._send(session, [_make_suspicions(suspicions)])
        if self._plan.revision:
            # Before the endpoints, as the plan may withhold some of them.
            self._send(session, [messages.ControlMessage(canary_plan=self._plan)])
        first = messages.ControlMessage()
        first.endpoints.CopyFrom(endpoints)
        self._send(session, [first])
        self._quarantine.merge(message.suspicions, now)
        self._apply_message(session, message)

    def receive(self, session: Session, message: messages.DaemonMessage) -> None:
        """Process a message from an admitted daemon."""
        if session.child is None:
            return
        now = monotonic()
        session.heard_at = now
        if message.HasField("state"):
            self.distributor.update(session.child, message.state)
        self._quarantine.merge(message.suspicions, now)
        self._apply_message(session, message)

    def leave(self, session: Session) -> None:
        """Remove a session that has ended."""
        if session.child is not None:
            self.distributor.disconnect(session.child)
            session.child = None
        self._sessions.pop(session, None)

    def close(self) -> None:
        """End all sessions."""
        for session in list(self._sessions):
            session.close()

    def flush(self) -> None:
        """Send every daemon the suspicions and versions that it lacks."""
        changed = self._quarantine.take_changes(self._suspicions, monotonic())
        batch = [_make_suspicions(changed)] if changed else []
        for session in self._sessions:
            self._send(session, [*batch, *self.distributor.due_messages(session.child)])

    def set_canary_plan(self, plan: messages.CanaryPlan) -> None:
        """Send a newer canary plan to all daemons."""
        self._plan = plan
        message = messages.ControlMessage(canary_plan=plan)
        for session in self._sessions:
            self._send(session, [message])

    def send_members(self, sessions: list[Session] | None, members: list[tuple[str, str]]) -> None:
        """Send the addresses and zones of the control instances to some daemons, or to all if None."""
        message = messages.ControlMessage()
        message.members.SetInParent()
        for address, zone in members:
            message.members.members.add(address=address, zone=zone)
        for session in self._sessions if sessions is None else sessions:
            self._send(session, [message])

    def broadcast_endpoints(self, update: messages.EndpointUpdate) -> None:
        """Send a change of endpoints to all daemons."""
        message = messages.ControlMessage()
        message.endpoints.CopyFrom(update)
        for session in self._sessions:
            self._send(session, [message])

    def send_heartbeats(self, now: float, accepted: int, staleness: float) -> None:
        """Send heartbeats when they are due, and close silent sessions.

        Parameters
        ----------
        now : float
            Monotonic time, in seconds.
        accepted : int
            Number of the newest accepted version that this process knows.
        staleness : float
            Seconds since this source last heard from the leader.
        """
        if now < self._heartbeat_at:
            return
        self._heartbeat_at = now + HEARTBEAT_INTERVAL
        self._metrics.gauge(Metric.CHILDREN, len(self._sessions))
        message = _make_heartbeat(accepted, staleness)
        for session in list(self._sessions):
            if now - session.heard_at > SILENCE_LIMIT:
                session.close()
                self.leave(session)
            else:
                self._send(session, [message])

    def expedite_heartbeats(self) -> None:
        """Make the next `send_heartbeats` send at once, because the values in heartbeats have changed."""
        self._heartbeat_at = 0.0

    def _send_heartbeat(self, session: Session, accepted: int, staleness: float) -> None:
        self._send(session, [_make_heartbeat(accepted, staleness)])

    def _send_floor(self, session: Session, token: int, accepted: int) -> None:
        """Answer a daemon's request for the floor, after sending all versions that it is due."""
        if session in self._sessions:
            message = messages.ControlMessage()
            message.floor.token = token
            message.floor.version = accepted
            self._send(session, [*self.distributor.due_messages(session.child), message])

    def _send(self, session: Session, batch: list[messages.ControlMessage]) -> None:
        if batch:
            for message in batch:
                self._count(session, message, message.ByteSize())
            session.send(batch)

    def _count(self, session: Session, message: messages.ControlMessage, size: int) -> None:
        """Count a message of `size` bytes that is sent to a daemon."""
        self._metrics.count(Metric.CONTROL_BYTES, size)


def _make_suspicions(suspicions: list[messages.Suspicion]) -> messages.ControlMessage:
    message = messages.ControlMessage()
    message.suspicions.changed.extend(suspicions)
    return message


def _make_heartbeat(accepted: int, staleness: float) -> messages.ControlMessage:
    message = messages.ControlMessage()
    message.heartbeat.accepted_version = accepted
    message.heartbeat.staleness_ms = min(int(staleness * 1000), 2**31)
    return message
