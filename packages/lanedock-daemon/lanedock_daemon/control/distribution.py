# SPDX-License-Identifier: BSD-3-Clause
"""A control instance's sessions with daemons: admission, relays, floors."""

import hashlib

from lanedock.clock import monotonic
from lanedock.limits import Admission
from lanedock.quarantine import Quarantine
from lanedock.rollout import Distributor, MeshState, VersionSource
from lanedock.settings import ControlSettings
from lanedock.telemetry import Metrics
from lanedock.wire import messages
from lanedock_daemon.control.traffic import ControlTraffic
from lanedock_daemon.session_registry import SessionRegistry
from lanedock_daemon.transport import Session

__all__ = ["DaemonSessions", "make_version_source"]

# Daemons that are admitted at once before the limit of admissions in a second holds: a
# zone's restarted daemons, while a herd of hundreds is spread.
ADMISSION_BURST = 64
# Seconds between two questions to daemons whether others can be reached: each has some of
# them try to connect, and it is asked only while a listed daemon is connected nowhere.
ATTEST_INTERVAL = 1.0
# Daemons of a zone that are asked: one or two of them may be cut off or paused themselves.
ATTESTERS = 3
# Wait for a read's confirmation, in seconds, before it is asked again.
READ_PATIENCE = 1.0


class _FloorRead:
    """Floors that one read is to confirm."""

    __slots__ = ("asked_at", "floors")

    def __init__(self, asked_at: float, floors: list[tuple[Session, int]]):
        self.asked_at = asked_at
        self.floors = floors


class DaemonSessions(SessionRegistry):
    """The daemons that take versions from this control instance.

    Parameters
    ----------
    cfg : ControlSettings
    metrics : Metrics
    quarantine : Quarantine
        Of the process.
    traffic : ControlTraffic, optional
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
        self._admission = Admission(cfg.admissions_per_second, ADMISSION_BURST)
        self._floors_wanted: list[tuple[Session, int]] = []
        self._floors_asked: dict[int, _FloorRead] = {}
        self._read_token = 0
        self._attestations: list[messages.Attestation] = []
        self._attest_at = 0.0

    # ---------------------------------------------------------------- sessions

    def arrive(self, session: Session, message: messages.DaemonMessage, endpoints) -> None:
        """Admit a daemon, refer it to a relay, or refuse it with a time to try again."""
        now = monotonic()
        wait = self._admission.ask(now)
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
            self._traffic.note_daemon(session, message, size)

    def _take(self, session: Session, message: messages.DaemonMessage) -> None:
        if message.HasField("fleet_report"):
            self.distributor.take_relayed(session.child, message.fleet_report)
        if message.floor_token:
            self._floors_wanted.append((session, message.floor_token))
        self._attestations.extend(message.attestations)

    # ------------------------------------------------------------------ relays

    def _choose_relay(self, message: messages.DaemonMessage) -> messages.ControlMessage | None:
        """Refer a daemon to a relay of its zone, where the zone has enough daemons.

        The relays of a zone are the first of its directly connected daemons by
        rendezvous hash, so they need no election and change little.
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

    def set_source(self, source: VersionSource) -> None:
        """Replace what is known of the versions."""
        self.distributor.set_source(source)

    # ------------------------------------------------------------------ floors

    def next_read(self, now: float) -> int | None:
        """Return the token of a read that confirms all floors wanted, if any.

        A question or its answer may be lost between replicas, so a read that
        stays without an answer is asked again under another token.
        """
        for token, asked in list(self._floors_asked.items()):
            if now - asked.asked_at > READ_PATIENCE:
                self.fail_read(token)
        if not self._floors_wanted:
            return None
        self._read_token += 1
        self._floors_asked[self._read_token] = _FloorRead(now, self._floors_wanted)
        self._floors_wanted = []
        return self._read_token

    def confirm_read(self, token: int, accepted: int) -> None:
        """Answer the floors that a read has confirmed, after all versions due."""
        asked = self._floors_asked.pop(token, None)
        if asked is None:
            return
        for session, floor_token in asked.floors:
            self._send_floor(session, floor_token, accepted)

    def fail_read(self, token: int) -> None:
        """Ask again for the floors of a read that failed."""
        asked = self._floors_asked.pop(token, None)
        if asked is not None:
            self._floors_wanted += [(session, floor) for session, floor in asked.floors if session in self._sessions]

    # ------------------------------------------------------------ attestations

    def ask_attestations(self, unconnected: list[messages.Endpoint], now: float) -> None:
        """Have daemons try to reach others of their zone that are not connected here."""
        if now < self._attest_at:
            return
        self._attest_at = now + ATTEST_INTERVAL
        for session in self._choose_attesters(unconnected):
            zone = session.child.state.zone
            message = messages.ControlMessage()
            message.attest.instances.extend(endpoint for endpoint in unconnected if endpoint.zone == zone)
            self._send(session, [message])

    def _choose_attesters(self, unconnected: list[messages.Endpoint]) -> list[Session]:
        zones = {endpoint.zone for endpoint in unconnected}
        chosen: dict[str, list[Session]] = {zone: [] for zone in zones}
        for session in sorted(self._sessions, key=lambda item: item.child.state.daemon):
            voices = chosen.get(session.child.state.zone)
            if voices is not None and len(voices) < ATTESTERS:
                voices.append(session)
        return [session for voices in chosen.values() for session in voices]

    def take_report(self, whole: bool) -> messages.FleetReport:
        """Return what to report to the leader of the daemons."""
        report = self.distributor.take_report(whole)
        report.attestations.extend(self._attestations)
        self._attestations = []
        return report

    def is_report_due(self) -> bool:
        """Tell whether there is something new to report to the leader."""
        return bool(self._attestations) or self.distributor.is_report_due()


def _rank(key: str, name: str) -> bytes:
    return hashlib.sha256(f"{key}/{name}".encode()).digest()


def make_version_source(state: MeshState) -> VersionSource:
    """Return what daemons are sent: the accepted and the staged version, and the bases of deltas to them."""
    bases = {}
    for number in state.kept_versions():
        record = state.records[number]
        if record.outcome == messages.OUTCOME_ACCEPTED:
            bases[record.digest] = state.tree(number)
    accepted, candidate = state.tree(state.accepted_version.number), state.tree(state.candidate_version.number)
    return VersionSource(accepted, candidate, bases)
