# SPDX-License-Identifier: BSD-3-Clause
"""Sessions of a control instance with daemons: admission, relays, version floors and attestations."""

import hashlib

from lanedock.clock import monotonic
from lanedock.limits import AdmissionRateLimiter
from lanedock.quarantine import Quarantine
from lanedock.rollout import Distributor, MeshState, VersionSource
from lanedock.settings import ControlSettings
from lanedock.telemetry import Metrics
from lanedock.wire import messages
from lanedock_daemon.control.traffic import ControlTraffic
from lanedock_daemon.session_registry import SessionRegistry
from lanedock_daemon.transport import Session

__all__ = ["DaemonSessions", "make_version_source"]

# Burst size of the admission rate limit: large enough for the restarted daemons of one zone,
# while a reconnection of hundreds of daemons is spread over time.
ADMISSION_BURST = 64
# Minimum interval between two attestation requests, in seconds. Each request makes some daemons
# open connections; requests are sent only while a listed daemon has no session anywhere.
ATTEST_INTERVAL = 1.0
# Daemons of each zone that receive an attestation request: one or two of them may be cut off
# or paused themselves.
ATTESTERS_PER_ZONE = 3
# Seconds without confirmation after which a quorum read is repeated.
READ_TIMEOUT = 1.0


class _FloorRead:
    """Version floors that wait for the same quorum read."""

    __slots__ = ("floors", "started_at")

    def __init__(self, started_at: float, floors: list[tuple[Session, int]]):
        self.started_at = started_at
        self.floors = floors


class DaemonSessions(SessionRegistry):
    """Sessions of the daemons that receive versions from this control instance.

    Parameters
    ----------
    cfg : ControlSettings
    metrics : Metrics
    quarantine : Quarantine
        Quarantine shared by the whole process.
    traffic : ControlTraffic, optional
        Counts the bytes sent to daemons.
    """

    def __init__(
        self,
        cfg: ControlSettings,
        metrics: Metrics,
        quarantine: Quarantine,
        traffic: ControlTraffic | None = None,
    ):
        super().__init__(Distributor(cfg.whole_files), metrics, quarantine)
        self._traffic = traffic
        self._cfg = cfg
        self._admission = AdmissionRateLimiter(cfg.admissions_per_second, ADMISSION_BURST)
        self._pending_floors: list[tuple[Session, int]] = []
        self._floor_reads: dict[int, _FloorRead] = {}
        self._read_token = 0
        self._attestations: list[messages.Attestation] = []
        self._next_attest_at = 0.0

    # ---------------------------------------------------------------- sessions

    def admit_or_refuse(self, session: Session, message: messages.DaemonMessage, endpoints) -> None:
        """Admit a daemon, redirect it to a relay, or refuse it with a retry delay."""
        now = monotonic()
        wait = self._admission.acquire(now)
        if wait > 0:
            refusal = messages.ControlMessage()
            refusal.refusal.retry_after_ms = int(wait * 1000) + 1
            self._send(session, [refusal])
            session.close()
            return
        redirect = self._choose_relay(message)
        if redirect is not None:
            self._send(session, [redirect])
            session.close()
            return
        self._admit(session, message, endpoints)

    def _count(self, session: Session, message: messages.ControlMessage, size: int) -> None:
        super()._count(session, message, size)
        if self._traffic is not None:
            self._traffic.count_daemon_message(session, message, size)

    def _apply_message(self, session: Session, message: messages.DaemonMessage) -> None:
        if message.HasField("fleet_report"):
            self.distributor.process_relay_report(session.child, message.fleet_report)
        if message.floor_token:
            self._pending_floors.append((session, message.floor_token))
        self._attestations.extend(message.attestations)

    # ------------------------------------------------------------------ relays

    def _choose_relay(self, message: messages.DaemonMessage) -> messages.ControlMessage | None:
        """Return a redirect to a relay of the daemon's zone, or None to admit the daemon directly.

        The relays of a zone are the first of its directly connected daemons by
        rendezvous hash, so relays need no election and rarely change.
        """
        state = message.state
        direct = [child.state for child in self.distributor.children.values() if child.state.zone == state.zone]
        if not self._cfg.relays_per_zone or len(direct) < self._cfg.relay_threshold:
            return None
        capable = [
            other for other in direct if other.relay_port and not other.draining and other.daemon != state.daemon
        ]
        ranked = sorted(
            [*capable, state] if state.relay_port else capable, key=lambda item: _rank(item.zone, item.daemon)
        )
        relays = ranked[: self._cfg.relays_per_zone]
        if state in relays:
            return None
        usable = [relay for relay in relays if relay.daemon not in message.failed_relays]
        if not usable:
            return None
        relay = min(usable, key=lambda item: _rank(state.daemon, item.daemon))
        redirect = messages.ControlMessage()
        redirect.redirect.relay = relay.daemon
        redirect.redirect.host = relay.relay_host
        redirect.redirect.port = relay.relay_port
        return redirect

    # ----------------------------------------------------------------- outputs

    def set_versions(self, source: VersionSource) -> None:
        """Replace the versions that daemons are sent."""
        self.distributor.set_versions(source)

    # ------------------------------------------------------------------ floors

    def next_read(self, now: float) -> int | None:
        """Start a quorum read for all pending floors; returns its token, or None where no floor is pending.

        Messages between replicas may be lost, so a read without an answer is
        repeated under another token.
        """
        for token, read in list(self._floor_reads.items()):
            if now - read.started_at > READ_TIMEOUT:
                self.fail_read(token)
        if not self._pending_floors:
            return None
        self._read_token += 1
        self._floor_reads[self._read_token] = _FloorRead(now, self._pending_floors)
        self._pending_floors = []
        return self._read_token

    def confirm_read(self, token: int, accepted: int) -> None:
        """Send each daemon its floor that a quorum read has confirmed, after the versions due to it."""
        read = self._floor_reads.pop(token, None)
        if read is None:
            return
        for session, floor_token in read.floors:
            self._send_floor(session, floor_token, accepted)

    def fail_read(self, token: int) -> None:
        """Return the floors of a failed read to the pending ones, for the next read."""
        read = self._floor_reads.pop(token, None)
        if read is not None:
            self._pending_floors += [(session, floor) for session, floor in read.floors if session in self._sessions]

    def fail_reads(self) -> None:
        """Return the floors of all reads to the pending ones, as no read is answered any more."""
        for token in list(self._floor_reads):
            self.fail_read(token)

    # ------------------------------------------------------------ attestations

    def request_attestations(self, unconnected: list[messages.Endpoint], now: float) -> None:
        """Request daemons to try to connect to those of their zone that are not connected to control."""
        if now < self._next_attest_at:
            return
        self._next_attest_at = now + ATTEST_INTERVAL
        for session in self._choose_attesters(unconnected):
            zone = session.child.state.zone
            message = messages.ControlMessage()
            message.attest.instances.extend(endpoint for endpoint in unconnected if endpoint.zone == zone)
            self._send(session, [message])

    def _choose_attesters(self, unconnected: list[messages.Endpoint]) -> list[Session]:
        zones = {endpoint.zone for endpoint in unconnected}
        chosen: dict[str, list[Session]] = {zone: [] for zone in zones}
        for session in sorted(self._sessions, key=lambda item: item.child.state.daemon):
            attesters = chosen.get(session.child.state.zone)
            if attesters is not None and len(attesters) < ATTESTERS_PER_ZONE:
                attesters.append(session)
        return [session for attesters in chosen.values() for session in attesters]

    def make_report(self, whole: bool) -> messages.FleetReport:
        """Return the next report of daemons to the leader, with the attestations received since the last one."""
        report = self.distributor.make_report(whole)
        report.attestations.extend(self._attestations)
        self._attestations = []
        return report

    def is_report_due(self) -> bool:
        """Return whether there are changes or attestations to report to the leader."""
        return bool(self._attestations) or self.distributor.is_report_due()


def _rank(key: str, name: str) -> bytes:
    return hashlib.sha256(f"{key}/{name}".encode()).digest()


def make_version_source(state: MeshState) -> VersionSource:
    """Return the accepted and the candidate version, and the accepted versions that deltas can start from."""
    bases = {}
    for number in state.kept_versions():
        record = state.records[number]
        if record.outcome == messages.OUTCOME_ACCEPTED:
            bases[record.digest] = state.tree(number)
    accepted, candidate = state.tree(state.accepted_version.number), state.tree(state.candidate_version.number)
    return VersionSource(accepted, candidate, bases)
