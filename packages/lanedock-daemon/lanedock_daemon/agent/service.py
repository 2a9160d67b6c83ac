# SPDX-License-Identifier: BSD-3-Clause
"""The agent's task."""

import random

from lanedock.clock import awake, monotonic
from lanedock.kernel import Kernel, TaskService
from lanedock.settings import Address, Settings
from lanedock.telemetry import Event, EventLogger, Metric, Metrics
from lanedock.wire import messages
from lanedock_daemon.agent.attest import AttestationsMade, Attester
from lanedock_daemon.agent.registration import Registrar
from lanedock_daemon.agent.relay import RelaySessions
from lanedock_daemon.agent.report import SourceReport, StateReport
from lanedock_daemon.agent.scouting import SCOUT_LIFETIME, Scout, ScoutRounds, Scouts, SourceFreshness
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

# Seconds between two looks at the source, by which it is noticed later that it is lost.
TICK = 0.1
# Seconds in which a source that has just been connected to has to say how fresh it is:
# control instances that start, on a part of a core, take tenths of a second. Doubled
# with each source that failed, for where all are as slow.
FIRST_ANSWER_LIMIT = 0.5
# A relay that has lost its source finds another within this time, in seconds; those
# downstream wait for that, or all of them would leave it at the moment at which it moves.
RELAY_PATIENCE = 0.5
# Seconds between two looks at what only metrics show; endpoints are counted for it.
MEASURE_INTERVAL = 0.5


class AgentService(TaskService):
    """Takes versions and endpoints from a source, and publishes them.

    Parameters
    ----------
    settings : Settings
        With a daemon section.
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
        self._scouts = Scouts()
        self._better: Address | None = None
        self._answered_in = 0.0
        self._rounds = ScoutRounds(rng)
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
            AttestationsMade: lambda item: self._report.add_attestations(item.attestations),
            ChildArrived: self._on_child_arrived,
            ChildReported: lambda item: self._relay.receive(item.session, item.message),
            ChildLeft: lambda item: self._relay.leave(item.session),
        }

    def set_registrar(self, registrar: Registrar) -> None:
        """Set what learns what the mesh knows of the application beside this daemon."""
        self._registrar = registrar

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
        self._scouts.end_all()

    # ---------------------------------------------------------------- messages

    def on_messages(self, batch: list[object]) -> None:
        for item in batch:
            self._handlers[type(item)](item)
        self._advance()

    def on_tick(self) -> None:
        now = monotonic()
        if self._view.upstream is not None and self._view.upstream.check_silence(awake()):
            self._events.emit(Event.UPSTREAM_SILENT, upstream=self._view.upstream.upstream)
        if not self._view.note_alive():
            self._events.emit(Event.SUSPENDED, version=self._holder.in_force_version.number)
            self._report.ask_floor_again()
        heard_at = self._stream.heard_at if self._stream is not None else None
        self._lag.note(now, heard_at, self._freshness.age(now))
        if now >= self._measure_at:
            self._measure_at = now + MEASURE_INTERVAL
            self._measure(now)
        if self._stream is None:
            if now >= self._connect_at:
                self._connect(now)
        elif self._is_silent(now):
            self._leave_source("silent")
        else:
            self._look_around(now)
        self._advance()

    def _measure(self, now: float) -> None:
        """Measure how old what is known is, and let go of what is too old."""
        self._quarantine.expire(now)
        self._view.expire_endpoints(now)
        self._metrics.gauge(Metric.QUARANTINED, len(self._quarantine.quarantined()))
        heard_at = self._stream.heard_at if self._stream is not None else self._connect_at
        self._metrics.gauge(Metric.SOURCE_AGE, max(0.0, now - heard_at))
        self._metrics.gauge(Metric.STALENESS, self._freshness.age(now))
        for zone, count in self._view.count_endpoints().items():
            self._metrics.gauge(Metric.ENDPOINTS, count, (zone,))

    def _is_silent(self, now: float) -> bool:
        """Tell whether the source has said nothing for so long that it counts as lost."""
        if now - self._stream.heard_at > SILENCE_LIMIT:
            return True
        limit = max(FIRST_ANSWER_LIMIT * self._doubled(), 2 * self._answered_in)
        return not self._stream.is_serving and now - self._opened_at > limit

    def _doubled(self) -> int:
        """Return how many times as long as at first a source has, after as many that failed."""
        return 2 ** min(self._search.failures, 3)

    # ---------------------------------------------------------------- scouting

    def _look_around(self, now: float) -> None:
        """Ask other instances how fresh they are, where that may lead to a better source."""
        is_old = self._stream.is_serving and (self._is_too_old(now) or self._lag.is_at_source(now))
        better, self._better = self._better, None
        if not is_old:
            self._rounds.reset()
        elif better is not None:
            self._move(better, "stale", now)
            return
        if not self._scouts.may_add(now, not is_old):
            return
        if is_old:
            address = self._rounds.choose(self._search.scouted(self._stream.address), now)
            if address is not None:
                self._send_scout(address, False, now)
        elif self._search.is_failback_due(now):
            self._send_scout(self._search.failback_target(), True, now)

    def _is_too_old(self, now: float) -> bool:
        """Tell whether the source proves no leader for too long; a relay has time to find another one itself.

        One that says nothing finds none: with that time on top a version is in force 2.1 s after
        its acceptance at most, instead of 1.6 s, where the instance asked first is paused, too
        (virtual time).
        """
        is_heard = now - self._stream.heard_at <= self._freshness.limit
        patience = RELAY_PATIENCE if self._search.relay_name() and is_heard else 0.0
        return self._freshness.is_over(now, patience)

    def _send_scout(self, address: Address, is_failback: bool, now: float) -> None:
        stream = self._transport.open_source(self, address)
        stream.connect_limit = SCOUT_LIFETIME
        self._scouts.add(Scout(stream, address, is_failback, now))
        # Without a state: it is none of the daemons there.
        stream.open(messages.DaemonMessage(probe=True))

    def _on_scout_answer(self, scout: Scout, message: messages.ControlMessage, now: float) -> None:
        """Note an instance that has a leader; one that has none is no better than the present one.

        Where it is not the own zone's, the move waits for the next tick: instances hear
        of a new leader within a few milliseconds of each other, and a herd that moved
        then would leave sources that are as good.
        """
        if not message.HasField("heartbeat"):
            return
        self._scouts.end(scout)
        heartbeat = message.heartbeat
        is_fresh = heartbeat.staleness_ms <= 1000 * self._freshness.limit
        if self._stream is None or not is_fresh:
            return
        newest, _ = self._view.newer_version(now)
        if heartbeat.accepted_version < max(newest, self._holder.in_force_version.number):
            return
        self._answered_in = now - scout.started_at
        if scout.is_failback:
            self._move(scout.address, "failback", now)
        else:
            self._better = scout.address

    def _move(self, address: Address, reason: str, now: float) -> None:
        """Take versions from another control instance."""
        stream = self._drop_stream()
        self._scouts.end_all()
        self._events.emit(Event.SOURCE_LOST, address=stream.address, reason=reason)
        self._search.move_to(address, now)
        self._connect(now)

    def _connect(self, now: float) -> None:
        self._stream = self._transport.open_source(self, self._search.address())
        self._stream.connect_limit = max(CONNECT_TIMEOUT * self._doubled(), 2 * self._answered_in)
        self._stream.heard_at = self._opened_at = now
        self._lag.source_version = 0
        self._report.ask_floor_again()
        first = self._make_message(with_state=True, is_first=True, now=now)
        first.failed_relays.extend(self._search.failed_relays(now))
        if self._relay is not None:
            first.fleet_report.CopyFrom(self._relay.distributor.take_report(whole=True))
        self._report_at = now + REPORT_INTERVAL
        self._stream.open(first)

    def _make_message(self, with_state: bool, is_first: bool, now: float) -> messages.DaemonMessage:
        return self._report.make(self._search.relay_name(), self._wants_floor(), with_state, is_first, now)

    def _wants_floor(self) -> bool:
        is_confirmed = self._holder.is_floor_confirmed
        return not is_confirmed or (self._relay is not None and self._relay.wants_floor())

    def _drop_stream(self) -> SourceStream:
        stream, self._stream = self._stream, None
        self._better = None
        stream.close()
        return stream

    def _leave_source(self, reason: str) -> None:
        """Look for another source. What is held stays in force."""
        stream = self._drop_stream()
        self._scouts.end_all()
        self._answered_in = 0.0
        now = monotonic()
        self._connect_at = now + self._search.note_failure(now, self._view.bind() is None)
        self._events.emit(Event.SOURCE_LOST, address=stream.address, reason=reason)

    def _on_source_ended(self, item: SourceEnded) -> None:
        if item.stream is self._stream:
            self._leave_source(item.reason)
        elif (scout := self._scouts.find(item.stream)) is not None:
            self._scouts.end(scout)

    def _on_source_sent(self, item: SourceSent) -> None:
        now = monotonic()
        scout = self._scouts.find(item.stream)
        if scout is not None:
            self._on_scout_answer(scout, item.message, now)
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
        """Go where the source refers to, or come back when it says."""
        self._drop_stream()
        if message.HasField("redirect"):
            redirect = message.redirect
            wait = self._search.note_redirect(redirect.relay, Address(redirect.host, redirect.port))
        else:
            wait = self._search.note_refusal(message.refusal.retry_after_ms / 1000)
        self._connect_at = now + wait
        if wait == 0:
            self._connect(now)

    def _on_endpoints(self, update: messages.EndpointUpdate) -> None:
        self._view.take_endpoints(update)
        for endpoint in update.changed:
            if endpoint.instance == self._settings.name:
                self._state.outlive(endpoint.incarnation)
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
        if not self._report.answers_floor(floor):
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
        """Report to the source what has changed, and send daemons downstream what they lack."""
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
            message.fleet_report.CopyFrom(self._relay.distributor.take_report(whole=False))
        self._stream.send(message)

    def _relayed_freshness(self, now: float) -> tuple[int, float]:
        """Return the freshness that is reported to daemons downstream; see `SessionRegistry.send_heartbeats`."""
        return self._holder.in_force_version.number, self._freshness.age(now)

    def _refresh_source(self) -> None:
        """Let the relay pass on what this daemon holds."""
        holder = self._holder
        accepted = holder.in_force.tree if holder.in_force else None
        staged = holder.staged.tree if holder.staged else None
        self._relay.set_source(accepted, staged)
