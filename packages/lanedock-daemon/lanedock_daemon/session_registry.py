# SPDX-License-Identifier: BSD-3-Clause
"""Sessions with the daemons downstream, as control instances and relays have them."""

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
    """Sessions with daemons downstream, and what is sent to them.

    Parameters
    ----------
    distributor : Distributor
    metrics : Metrics
    quarantine : Quarantine
        Of the process; daemons are sent its news, and theirs go into it.
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
    def _take(self, session: Session, message: messages.DaemonMessage) -> None:
        """Accept what a daemon's message holds besides its state."""

    @abstractmethod
    def arrive(self, session: Session, message: messages.DaemonMessage, endpoints: messages.EndpointUpdate) -> None:
        """Admit a daemon with all endpoints, or send it elsewhere."""

    def greet(
        self, session: Session, message: messages.DaemonMessage, make_endpoints, accepted: int, staleness: float
    ) -> bool:
        """Answer a daemon that has connected, or that only asks how fresh this source is.

        Parameters
        ----------
        session : Session
        message : DaemonMessage
            Its first.
        make_endpoints : callable
            Returns the EndpointUpdate with all endpoints.
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
        self.arrive(session, message, make_endpoints())
        if session.child is None:
            return False
        # At once: a daemon that came to a source without a leader goes on.
        self._send_heartbeat(session, accepted, staleness)
        return True

    def _admit(self, session: Session, message: messages.DaemonMessage, endpoints: messages.EndpointUpdate) -> None:
        """Admit a daemon, and send it all suspicions and endpoints.

        In this order: it is ready once it knows endpoints.
        """
        now = monotonic()
        session.heard_at = now
        session.child = self.distributor.connect(message.state)
        self._sessions[session] = None
        suspicions = self._quarantine.whole_news(now)
        if suspicions:
            self._send(session, [_make_suspicions(suspicions)])
        if self._plan.revision:
            # Before the endpoints: some of them may be withheld.
            self._send(session, [messages.ControlMessage(canary_plan=self._plan)])
        first = messages.ControlMessage()
        first.endpoints.CopyFrom(endpoints)
        self._send(session, [first])
        self._quarantine.merge(message.suspicions, now)
        self._take(session, message)

    def receive(self, session: Session, message: messages.DaemonMessage) -> None:
        """Accept a daemon's message."""
        if session.child is None:
            return
        now = monotonic()
        session.heard_at = now
        if message.HasField("state"):
            self.distributor.update(session.child, message.state)
        self._quarantine.merge(message.suspicions, now)
        self._take(session, message)

    def leave(self, session: Session) -> None:
        """Forget a session that has ended."""
        if session.child is not None:
            self.distributor.disconnect(session.child)
            session.child = None
        self._sessions.pop(session, None)

    def close(self) -> None:
        """End all sessions."""
        for session in list(self._sessions):
            session.close()

    def flush(self) -> None:
        """Send every daemon what it lacks."""
        news = self._quarantine.take_news(self._suspicions, monotonic())
        batch = [_make_suspicions(news)] if news else []
        for session in self._sessions:
            self._send(session, [*batch, *self.distributor.due(session.child)])

    def set_canary_plan(self, plan: messages.CanaryPlan) -> None:
        """Send all daemons a newer plan."""
        self._plan = plan
        message = messages.ControlMessage(canary_plan=plan)
        for session in self._sessions:
            self._send(session, [message])

    def send_members(self, sessions: list[Session] | None, members: list[tuple[str, str]]) -> None:
        """Name the control instances, with their zones, to some daemons or to all."""
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
        """Send heartbeats when they are due, and end silent sessions.

        Parameters
        ----------
        now : float
            Monotonic, seconds.
        accepted : int
            Number of the newest accepted version known here.
        staleness : float
            Seconds since this source has heard from the leader.
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
        """Have heartbeats sent with the next `send_heartbeats`, because what they report has changed."""
        self._heartbeat_at = 0.0

    def _send_heartbeat(self, session: Session, accepted: int, staleness: float) -> None:
        self._send(session, [_make_heartbeat(accepted, staleness)])

    def _send_floor(self, session: Session, token: int, accepted: int) -> None:
        """Answer a daemon's question for the floor, after all versions due."""
        if session in self._sessions:
            message = messages.ControlMessage()
            message.floor.token = token
            message.floor.version = accepted
            self._send(session, [*self.distributor.due(session.child), message])

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
