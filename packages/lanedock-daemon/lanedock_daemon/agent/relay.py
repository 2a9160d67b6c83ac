# SPDX-License-Identifier: BSD-3-Clause
"""A daemon's desk for daemons that take versions from it."""

import time

from lanedock.rollout import Distributor, VersionSource
from lanedock.telemetry import Metric, Metrics
from lanedock.wire import messages
from lanedock_daemon.sessions import HEARTBEAT_INTERVAL, SILENCE_LIMIT, Session

__all__ = ["RelayDesk"]


class RelayDesk:
    """The daemons behind a relay.

    Parameters
    ----------
    distributor : Distributor
    metrics : Metrics
    """

    def __init__(self, distributor: Distributor, metrics: Metrics):
        self.distributor = distributor
        self._metrics = metrics
        self._sessions: dict[Session, None] = {}
        self._floors: list[tuple[Session, int]] = []
        self._floors_asked: list[tuple[Session, int]] = []
        self._versions = None
        self._previous: list = []
        self._heartbeat_at = 0.0
        self._sequence = 0

    def __repr__(self) -> str:
        return f"<RelayDesk sessions={len(self._sessions)}>"

    def arrive(self, session: Session, message: messages.DaemonMessage, endpoints: list[messages.Endpoint]) -> None:
        """Take in a daemon."""
        session.heard_at = time.monotonic()
        session.child = self.distributor.connect(message.state)
        self._sessions[session] = None
        first = messages.ControlMessage()
        first.endpoints.whole = True
        first.endpoints.changed.extend(endpoints)
        self._send(session, [first])
        self._take(session, message)

    def tell(self, session: Session, message: messages.DaemonMessage) -> None:
        """Take in a daemon's message."""
        if session.child is None:
            return
        session.heard_at = time.monotonic()
        if message.HasField("state"):
            self.distributor.update(session.child, message.state)
        self._take(session, message)

    def _take(self, session: Session, message: messages.DaemonMessage) -> None:
        if message.floor_token:
            self._floors.append((session, message.floor_token))

    def leave(self, session: Session) -> None:
        """Forget a session that has ended."""
        if session.child is not None:
            self.distributor.disconnect(session.child)
            session.child = None
        self._sessions.pop(session, None)

    def _send(self, session: Session, batch: list[messages.ControlMessage]) -> None:
        if batch:
            self._metrics.count(Metric.CONTROL_BYTES, sum(message.ByteSize() for message in batch))
            session.send(batch)

    def set_source(self, accepted, staged) -> None:
        """Replace what is passed on."""
        versions = (accepted and accepted.version, staged and staged.version)
        if versions == self._versions:
            return
        self._versions = versions
        if accepted is not None and accepted not in self._previous:
            self._previous = [*self._previous[-3:], accepted]
        bases = {tree.version.digest: tree for tree in self._previous}
        self.distributor.set_source(VersionSource(accepted, staged, bases))

    def pass_endpoints(self, update: messages.EndpointUpdate) -> None:
        """Pass a change of endpoints on."""
        message = messages.ControlMessage()
        message.endpoints.CopyFrom(update)
        for session in self._sessions:
            self._send(session, [message])

    def wants_floor(self) -> bool:
        """Tell whether a daemon waits for the newest version's confirmation.

        Those who ask while a confirmation is under way wait for the next one.
        """
        if self._floors and not self._floors_asked:
            self._floors_asked, self._floors = self._floors, []
        return bool(self._floors_asked)

    def confirm_floors(self, accepted: int) -> None:
        """Answer those whose question the confirmation covers."""
        asked, self._floors_asked = self._floors_asked, []
        for session, token in asked:
            if session in self._sessions:
                message = messages.ControlMessage()
                message.floor.token = token
                message.floor.version = accepted
                self._send(session, [*self.distributor.due(session.child), message])

    def advance(self, now: float, accepted: int, staleness: float) -> None:
        """Send everybody what is due, and heartbeats."""
        for session in self._sessions:
            self._send(session, self.distributor.due(session.child))
        if now < self._heartbeat_at:
            return
        self._heartbeat_at = now + HEARTBEAT_INTERVAL
        message = messages.ControlMessage()
        message.heartbeat.accepted_version = accepted
        message.heartbeat.staleness_ms = min(int(staleness * 1000), 2**31)
        for session in list(self._sessions):
            if now - session.heard_at > SILENCE_LIMIT:
                session.close()
                self.leave(session)
            else:
                self._send(session, [message])
