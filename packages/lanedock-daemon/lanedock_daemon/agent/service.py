# SPDX-License-Identifier: BSD-3-Clause
"""The task of the agent: connects to a source of versions and keeps the local view up to date."""

import random

from lanedock.clock import monotonic, running_time
from lanedock.kernel import Kernel, TaskService
from lanedock.settings import Address, Settings
from lanedock.telemetry import Event, EventLogger, Metric, Metrics
from lanedock.wire import messages
from lanedock_daemon.agent.probing import (
    PROBE_TIMEOUT,
    FreshnessProbe,
    FreshnessProbes,
    ProbeSchedule,
    SourceFreshness,
)
from lanedock_daemon.agent.reachability import AttestationsCompleted, Attester
from lanedock_daemon.agent.registration import Registrar
from lanedock_daemon.agent.relay import RelaySessions
from lanedock_daemon.agent.report import SourceReport, StateReport
from lanedock_daemon.agent.search import SourceSearch
from lanedock_daemon.agent.versions import VersionLag, VersionReceiver
from lanedock_daemon.agent.view import LocalView
from lanedock_daemon.sessions import (
    REPORT_INTERVAL,
    SILENCE_LIMIT,
    ChildArrived,
    ChildLeft,
    ChildReported,
    DrainRequested,
    ReportDue,
    SeedsChanged,
)
from lanedock_daemon.transport import CONNECT_TIMEOUT, SourceEnded, SourceSent, SourceStream

__all__ = ["AgentService"]

# Seconds between two checks of the source. The loss of a source is detected up to this much later.
TICK = 0.1
# Seconds within which a source that was just connected to has to send a heartbeat. Control instances
# that start on a fraction of a core need tenths of a second for it. Doubled with each source that failed, in
# case all of them are slow.
FIRST_HEARTBEAT_TIMEOUT = 0.5
# Seconds within which a relay that has lost its source finds another one. Downstream daemons wait this
# long before they probe; otherwise all of them would leave the relay just as it switches its source.
RELAY_RECOVERY_TIME = 0.5
# Seconds between two updates of the gauges, for which all endpoints have to be counted.
MEASURE_INTERVAL = 0.5


class AgentService(TaskService):
    """Receives versions and endpoints from a source and publishes them to the request path.

    Parameters
    ----------
    settings : Settings
        Must have a daemon section.
    view : LocalView
    events : EventLogger
    metrics : Metrics
    """

    name = "agent"

    def __init__(self, settings: Settings, view: LocalView, events: EventLogger, metrics: Metrics):
        super().__init__(TICK)
        self._settings = settings
        self._view = view
        self._holder = view.holder
        self._events = events
        self._metrics = metrics
        rng = random.Random()
        self._search = SourceSearch(settings.daemon.control, rng, settings.zone)
        self._freshness = SourceFreshness(settings.daemon.staleness_limit_ms / 1000, monotonic())
        self._probes = FreshnessProbes()
        self._fresher_address: Address | None = None
        self._probe_duration = 0.0
        self._probe_schedule = ProbeSchedule(rng)
        self._quarantine = view.quarantine
        self._relay = RelaySessions(metrics, view.quarantine) if settings.daemon.relay else None
        self._stream: SourceStream | None = None
        self._connect_at = 0.0
        self._opened_at = 0.0
        self._report_at = 0.0
        self._measure_at = 0.0
        self._versions = VersionReceiver(view, events, metrics)
        self._lag = VersionLag(view, events, metrics)
        self._registrar: Registrar | None = None
        self._state = StateReport(settings, view)
        self._report = SourceReport(self._state, view.quarantine)
        self._handlers = {
            SourceSent: self._on_source_sent,
            SourceEnded: self._on_source_ended,
            DrainRequested: self._on_drain,
            ReportDue: lambda item: None,
            SeedsChanged: lambda item: self._search.set_seeds(item.control),
            AttestationsCompleted: lambda item: self._report.add_attestations(item.attestations),
            ChildArrived: self._on_child_arrived,
            ChildReported: lambda item: self._relay.receive(item.session, item.message),
            ChildLeft: lambda item: self._relay.leave(item.session),
        }

    def set_registrar(self, registrar: Registrar) -> None:
        """Set the registrar, which receives the mesh's information on this daemon's application."""
        self._registrar = registrar

    def control_instances(self) -> list[Address]:
        """Return the known control instances, the own zone's first."""
        return self._search.control_instances()

    # ------------------------------------------------------------------- start

    def on_start(self, kernel: Kernel) -> None:
        self._transport = kernel.find("transport")
        self._attester = Attester(self, self._settings.name, self._settings.daemon.stall_limit_ms / 1000)
        self._server = None
        address = self._settings.daemon.relay
        if address is not None:
            self._server = self._transport.serve_daemons(self, address)

    def on_stop(self) -> None:
        if self._server is not None:
            self._server.close()
        if self._stream is not None:
            self._stream.close()
        self._probes.end_all()

    # ---------------------------------------------------------------- messages

    def on_messages(self, batch: list[object]) -> None:
        for item in batch:
            self._handlers[type(item)](item)
        self._advance()

    def on_tick(self) -> None:
        now = monotonic()
        if self._view.upstream is not None and self._view.upstream.check_silence(running_time()):
            self._events.emit(Event.UPSTREAM_SILENT, upstream=self._view.upstream.upstream)
        if not self._view.note_alive():
            self._events.emit(Event.SUSPENDED, version=self._holder.in_force_version.number)
            self._report.abandon_floor_request()
        heard_at = self._stream.heard_at if self._stream is not None else None
        self._lag.update(now, heard_at, self._freshness.age(now))
        if now >= self._measure_at:
            self._measure_at = now + MEASURE_INTERVAL
            self._measure(now)
        if self._stream is None:
            if now >= self._connect_at:
                self._connect(now)
        elif self._is_silent(now):
            self._leave_source("silent")
        else:
            self._probe_sources(now)
        self._advance()

    def _measure(self, now: float) -> None:
        """Update the gauges, and remove suspicions and endpoints that have expired."""
        self._quarantine.expire(now)
        self._view.expire_endpoints(now)
        self._metrics.gauge(Metric.QUARANTINED, len(self._quarantine.quarantined()))
        heard_at = self._stream.heard_at if self._stream is not None else self._connect_at
        self._metrics.gauge(Metric.SOURCE_AGE, max(0.0, now - heard_at))
        self._metrics.gauge(Metric.STALENESS, self._freshness.age(now))
        for zone, count in self._view.count_endpoints().items():
            self._metrics.gauge(Metric.ENDPOINTS, count, (zone,))

    def _is_silent(self, now: float) -> bool:
        """Return whether the source counts as lost: silent for too long, or without a first heartbeat in time."""
        if now - self._stream.heard_at > SILENCE_LIMIT:
            return True
        limit = max(FIRST_HEARTBEAT_TIMEOUT * self._timeout_factor(), 2 * self._probe_duration)
        return not self._stream.is_serving and now - self._opened_at > limit

    def _timeout_factor(self) -> int:
        """Return the factor by which timeouts are extended after consecutive failures of sources: 8 at most."""
        return 2 ** min(self._search.failures, 3)

    # ----------------------------------------------------------------- probing

    def _probe_sources(self, now: float) -> None:
        """Switch to a fresher source that was found, or start a probe for one where needed."""
        is_stale = self._stream.is_serving and (self._is_source_stale(now) or self._lag.is_source_behind(now))
        fresher, self._fresher_address = self._fresher_address, None
        if not is_stale:
            self._probe_schedule.reset()
        elif fresher is not None:
            self._switch_to(fresher, "stale", now)
            return
        if not self._probes.may_add(now, not is_stale):
            return
        if is_stale:
            address = self._probe_schedule.choose(self._search.probe_order(self._stream.address), now)
            if address is not None:
                self._open_probe(address, False, now)
        elif self._search.is_failback_due(now):
            self._open_probe(self._search.failback_target(), True, now)

    def _is_source_stale(self, now: float) -> bool:
        """Return whether the source has not heard the leader for too long.

        A relay gets additional time to find another source itself. A silent relay does not: the
        additional time would raise the longest delay of an accepted version from 1.6 s to 2.1 s
        where the instance that is probed first is paused, too.
        """
        is_heard = now - self._stream.heard_at <= self._freshness.limit
        grace = RELAY_RECOVERY_TIME if self._search.relay_name() and is_heard else 0.0
        return self._freshness.is_exceeded(now, grace)

    def _open_probe(self, address: Address, is_failback: bool, now: float) -> None:
        """Start a probe of a control instance."""
        stream = self._transport.open_source(self, address)
        stream.connect_limit = PROBE_TIMEOUT
        self._probes.add(FreshnessProbe(stream, address, is_failback, now))
        # No state is sent, as a probe does not open a session.
        stream.open(messages.DaemonMessage(probe=True))

    def _on_probe_answer(self, probe: FreshnessProbe, message: messages.ControlMessage, now: float) -> None:
        """Handle the answer to a probe: remember or switch to an instance that is fresh and up to date.

        Apart from a return to the own zone, the switch waits for the next tick. Instances hear a
        new leader within milliseconds of each other, so switching at once would make many
        daemons leave sources that are about to be just as fresh.
        """
        if not message.HasField("heartbeat"):
            return
        self._probes.end(probe)
        heartbeat = message.heartbeat
        is_fresh = heartbeat.staleness_ms <= 1000 * self._freshness.limit
        if self._stream is None or not is_fresh:
            return
        newest, _ = self._view.newer_version(now)
        if heartbeat.accepted_version < max(newest, self._holder.in_force_version.number):
            return
        self._probe_duration = now - probe.started_at
        if probe.is_failback:
            self._switch_to(probe.address, "failback", now)
        else:
            self._fresher_address = probe.address

    def _switch_to(self, address: Address, reason: str, now: float) -> None:
        """Replace the source by another control instance."""
        stream = self._drop_stream()
        self._probes.end_all()
        self._events.emit(Event.SOURCE_LOST, address=stream.address, reason=reason)
        self._search.move_to(address, now)
        self._connect(now)

    def _connect(self, now: float) -> None:
        self._stream = self._transport.open_source(self, self._search.address())
        self._stream.connect_limit = max(CONNECT_TIMEOUT * self._timeout_factor(), 2 * self._probe_duration)
        self._stream.heard_at = self._opened_at = now
        self._lag.source_version = 0
        self._report.abandon_floor_request()
        first = self._make_message(with_state=True, is_first=True, now=now)
        first.failed_relays.extend(self._search.failed_relays(now))
        if self._relay is not None:
            first.fleet_report.CopyFrom(self._relay.distributor.make_report(whole=True))
        self._report_at = now + REPORT_INTERVAL
        self._stream.open(first)

    def _make_message(self, with_state: bool, is_first: bool, now: float) -> messages.DaemonMessage:
        return self._report.make_message(self._search.relay_name(), self._wants_floor(), with_state, is_first, now)

    def _wants_floor(self) -> bool:
        is_confirmed = self._holder.is_floor_confirmed
        return not is_confirmed or (self._relay is not None and self._relay.wants_floor())

    def _drop_stream(self) -> SourceStream:
        stream, self._stream = self._stream, None
        self._fresher_address = None
        stream.close()
        return stream

    def _leave_source(self, reason: str) -> None:
        """Drop the source and schedule a connection to the next one; the version held stays in force."""
        stream = self._drop_stream()
        self._probes.end_all()
        self._probe_duration = 0.0
        now = monotonic()
        self._connect_at = now + self._search.note_failure(now, self._view.bind() is None)
        self._events.emit(Event.SOURCE_LOST, address=stream.address, reason=reason)

    def _on_source_ended(self, item: SourceEnded) -> None:
        if item.stream is self._stream:
            self._leave_source(item.reason)
        elif (probe := self._probes.find(item.stream)) is not None:
            self._probes.end(probe)

    def _on_source_sent(self, item: SourceSent) -> None:
        now = monotonic()
        probe = self._probes.find(item.stream)
        if probe is not None:
            self._on_probe_answer(probe, item.message, now)
            return
        if item.stream is not self._stream:
            return
        item.stream.heard_at = now
        message = item.message
        if self._versions.receive(message):
            return
        body = message.WhichOneof("body")
        if body == "endpoints":
            self._on_endpoints(message.endpoints)
        elif body == "floor":
            self._on_floor(message.floor)
        elif body == "heartbeat":
            self._on_heartbeat(item.stream, now)
            self._freshness.note(message.heartbeat.staleness_ms / 1000, now)
            self._lag.source_version = message.heartbeat.accepted_version
        elif body == "suspicions":
            self._report.merge_suspicions(message.suspicions.changed, now)
        elif body == "canary_plan":
            self._on_canary_plan(message.canary_plan)
        elif body == "members":
            self._search.set_members([(item.address, item.zone) for item in message.members.members])
        elif body == "attest":
            self._attester.ask(list(message.attest.instances))
        else:
            self._on_referral(message, now)

    def _on_heartbeat(self, stream: SourceStream, now: float) -> None:
        self._search.note_success(now)
        if not stream.is_serving:
            stream.is_serving = True
            relay = self._search.relay_name() or "none"
            self._events.emit(Event.SOURCE_FOUND, address=stream.address, relay=relay)

    def _on_referral(self, message: messages.ControlMessage, now: float) -> None:
        """Follow a redirect to a relay, or reconnect after the time that a refusal gives."""
        self._drop_stream()
        if message.HasField("redirect"):
            redirect = message.redirect
            wait = self._search.note_redirect(redirect.relay, Address(redirect.host, redirect.port))
        else:
            wait = self._search.wait_after_refusal(message.refusal.retry_after_ms / 1000)
        self._connect_at = now + wait
        if wait == 0:
            self._connect(now)

    def _on_endpoints(self, update: messages.EndpointUpdate) -> None:
        self._view.apply_endpoints(update)
        for endpoint in update.changed:
            if endpoint.instance == self._settings.name:
                self._state.ensure_later_incarnation(endpoint.incarnation)
                if self._view.upstream is not None:
                    self._view.upstream.learn_version(endpoint.version)
                if self._registrar is not None:
                    self._registrar.adopt(endpoint)
        if self._relay is not None:
            self._relay.broadcast_endpoints(update)

    def _on_canary_plan(self, plan: messages.CanaryPlan) -> None:
        if not self._view.follow_canaries(plan):
            return
        self._events.emit(Event.CANARY_FOLLOWED, revision=plan.revision, services=len(plan.rules))
        if self._relay is not None:
            self._relay.set_canary_plan(plan)

    def _on_floor(self, floor: messages.Floor) -> None:
        if not self._report.take_floor_answer(floor):
            return
        was_ready = self._holder.is_ready
        self._holder.confirm_floor(floor.version)
        if not was_ready:
            self._events.emit(Event.FLOOR_CONFIRMED, version=floor.version)
        if self._relay is not None:
            self._refresh_source()
            self._relay.confirm_floors(floor.version)

    def _on_drain(self, item: DrainRequested) -> None:
        self._view.is_draining = True
        self._events.emit(Event.DRAINING, instance=self._settings.name)

    def _on_child_arrived(self, item: ChildArrived) -> None:
        self._refresh_source()
        freshness = self._relayed_freshness(monotonic())
        self._relay.greet(item.session, item.message, self._view.whole_update, *freshness)

    # ----------------------------------------------------------------- advance

    def _advance(self) -> None:
        """Report changes to the source, and send pending messages to downstream daemons."""
        now = monotonic()
        if self._relay is not None:
            self._refresh_source()
            self._relay.flush()
            self._relay.send_heartbeats(now, *self._relayed_freshness(now))
        if self._stream is None:
            return
        is_changed = self._state.refresh(self._search.relay_name())
        has_report = self._relay is not None and self._relay.distributor.is_report_due()
        is_due = has_report or self._report.is_due(self._wants_floor())
        if not (is_changed or is_due or now >= self._report_at):
            return
        self._report_at = now + REPORT_INTERVAL
        message = self._make_message(with_state=is_changed, is_first=False, now=now)
        if has_report:
            message.fleet_report.CopyFrom(self._relay.distributor.make_report(whole=False))
        self._stream.send(message)

    def _relayed_freshness(self, now: float) -> tuple[int, float]:
        """Return the version and staleness (in seconds) reported downstream; see `SessionRegistry.send_heartbeats`."""
        return self._holder.in_force_version.number, self._freshness.age(now)

    def _refresh_source(self) -> None:
        """Pass the versions that this daemon holds to the relay."""
        holder = self._holder
        accepted = holder.in_force.tree if holder.in_force else None
        staged = holder.staged.tree if holder.staged else None
        self._relay.set_versions(accepted, staged)
