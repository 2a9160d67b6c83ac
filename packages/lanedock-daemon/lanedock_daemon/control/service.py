# SPDX-License-Identifier: BSD-3-Clause
"""The control task, which owns the replica and the parts that act on its replicated state."""

import random

from lanedock.canary import CanaryPolicy
from lanedock.clock import monotonic
from lanedock.consensus import FileStorage, RaftReplica, StorageError, Timing
from lanedock.consensus.core import replica_name
from lanedock.errors import ErrorCode
from lanedock.kernel import Kernel, TaskService
from lanedock.quarantine import Quarantine
from lanedock.rollout import RolloutPolicy, SubmitResult, Verdict
from lanedock.settings import Address, Settings
from lanedock.telemetry import Event, EventLogger, Metric, Metrics
from lanedock.wire import messages
from lanedock_daemon.control.canaries import CanaryRequestHandler
from lanedock_daemon.control.directories import ControlDirectory, ListedDirectory, RegisteredDirectory
from lanedock_daemon.control.distribution import DaemonSessions, make_version_source
from lanedock_daemon.control.leader import FleetReporter, RolloutLeader
from lanedock_daemon.control.quarantine_queries import answer_operator
from lanedock_daemon.control.queries import QueryQueue
from lanedock_daemon.control.reads import ReadQueue
from lanedock_daemon.control.replicated_log import AppliedEntry, ReplicatedLog, open_storage
from lanedock_daemon.control.requests import (
    CanaryRequested,
    HistoryRequested,
    ListRead,
    QuarantineRequested,
    ReadRequested,
    ShowRequested,
    StatusRequested,
    SubmitRequested,
)
from lanedock_daemon.control.submissions import Submission, SubmissionQueue, log_applied_entry, make_submit_command
from lanedock_daemon.control.traffic import ControlTraffic, MeteredLinks
from lanedock_daemon.quota.requests import QuotaReportArrived, VersionAccepted
from lanedock_daemon.quota.service import QuotaService
from lanedock_daemon.sessions import ChildArrived, ChildLeft, ChildReported, SeedsChanged
from lanedock_daemon.transport import PeerMessageArrived

__all__ = ["ControlService"]

# Seconds between two checks of the replica's timers, which run for tenths of a second.
TICK = 0.02


class ControlService(TaskService):
    """Service of one control instance.

    Parameters
    ----------
    settings : Settings
        Settings with a control section.
    initial : bool
        Whether a replica with a new data folder starts as a voter.
    events : EventLogger
    metrics : Metrics
    """

    name = "control"

    def __init__(self, settings: Settings, initial: bool, events: EventLogger, metrics: Metrics):
        super().__init__(TICK)
        self._settings = settings
        self._cfg = settings.control
        self._initial = initial
        self._events = events
        self._metrics = metrics
        self._policy = RolloutPolicy(self._cfg.stage_timeout_ms / 1000, self._cfg.dead_after_ms / 1000)
        self._traffic = ControlTraffic(settings.zone, self._zone_of, events, metrics)
        self._quarantine = Quarantine()
        self._sessions = DaemonSessions(self._cfg, metrics, self._quarantine, self._traffic)
        self._submissions = SubmissionQueue(metrics)
        self._is_seeded = self._cfg.seeds is not None
        # A replica that is found through seeds is named by its address.
        self._name = str(self._cfg.listen) if self._is_seeded else settings.name
        self._queries = QueryQueue(self.address_of, self._name)
        self._reads = ReadQueue()
        self._reporter = FleetReporter()
        self._quotas = QuotaService(settings.zone, events)
        self._known_leader = ""
        self._sent_versions = None
        self._plan_revision = 0
        self._storage: FileStorage | None = None
        self._handlers = {
            PeerMessageArrived: self._on_peer,
            ChildArrived: self._on_child_arrived,
            ChildReported: self._on_child_reported,
            ChildLeft: self._on_child_left,
            ListRead: self._on_list,
            SubmitRequested: self._on_submit,
            StatusRequested: lambda item: self._queries.enqueue(item),
            HistoryRequested: lambda item: self._queries.enqueue(item),
            ShowRequested: lambda item: self._queries.enqueue(item),
            QuarantineRequested: lambda item: answer_operator(item, self._quarantine, monotonic()),
            CanaryRequested: lambda item: self._canaries.handle(item, self._directory.endpoints(), monotonic()),
            ReadRequested: lambda item: self._reads.enqueue(item.call, monotonic()),
            SeedsChanged: lambda item: self._on_seeds(item.control),
        }

    # ------------------------------------------------------------------- start

    def on_start(self, kernel: Kernel) -> None:
        cfg = self._cfg
        transport = kernel.find("transport")
        self._storage = FileStorage(cfg.data_folder)
        first = self._first_voters()
        initial = self._initial or cfg.bootstrap
        replica_id = open_storage(self._storage, self._name, first, initial and self._name in first, self._events)
        restored = self._storage.restore()
        if restored.truncated_bytes:
            self._events.emit(Event.TAIL_CUT, bytes=restored.truncated_bytes)
        others = {name: self.address_of(name) for name in first if name != self._name}
        hard_state = restored.hard_state
        replica = RaftReplica(
            replica_id,
            restored.log,
            hard_state.term,
            hard_state.voted_for,
            Timing.for_election(cfg.election_ms / 1000),
            random.Random(),
            monotonic(),
            tuple(others),
            cfg.replace_after_ms / 1000 if self._is_seeded else None,
        )
        self._links = MeteredLinks(transport.peer_links(others), self._traffic)
        self._log = ReplicatedLog(
            replica, self._storage, self._links.send, self._events, self._metrics, cfg.compact_bytes
        )
        self._directory = self._make_directory()
        self._quotas.attach(self._log, self._links, lambda: self._directory.zones, self._leader_address)
        self._leader = RolloutLeader(self._log, self._policy, self._submissions)
        policy = CanaryPolicy(cfg.canary_share, cfg.canary_slack)
        self._canaries = CanaryRequestHandler(self._log, policy, self._leader_address, self._events, self._metrics)
        self._log.process_ready()
        self._refresh_source()
        self._quotas.start(kernel)
        self._server = transport.serve_control(self, cfg.listen, self._quotas)
        self._links.start()
        self._directory.start(kernel)

    def _make_directory(self) -> ControlDirectory:
        shared = (self._sessions, self._links, self._log, self._quarantine)
        if self._is_seeded:
            return RegisteredDirectory(self._settings.zone, *shared)
        return ListedDirectory(self._cfg, self._name, self._settings.zone, self, self._events, *shared)

    def _first_voters(self) -> list[str]:
        """Return the names of the initial voters."""
        if self._is_seeded:
            return [str(address) for address in self._cfg.seeds]
        return list(self._cfg.replicas)

    def address_of(self, name: str) -> Address | None:
        """Return a replica's address, or None where it is not known."""
        if not self._is_seeded:
            return self._cfg.replicas.get(name)
        return Address.parse(name) if name else None

    def _zone_of(self, name: str) -> str:
        """Return another control instance's zone; empty where it is not known."""
        return self._directory.zones.get(name, "")

    def _on_seeds(self, seeds: list[Address]) -> None:
        """Replace the seeds, which a new replica asks for admission."""
        names = [str(address) for address in seeds if str(address) != self._name]
        self._log.replica.contacts = tuple(names)
        self._events.emit(Event.SEEDS_CHANGED, seeds=",".join(names))

    def on_stop(self) -> None:
        self._quotas.stop()
        self._directory.stop()
        self._submissions.abandon_all()
        self._canaries.abandon_all()
        self._sessions.close()
        self._server.close()
        self._storage.close()

    # ---------------------------------------------------------------- messages

    def on_messages(self, batch: list[object]) -> None:
        if self._log.is_broken:
            return
        for item in batch:
            self._handlers[type(item)](item)
        self._advance()

    def on_tick(self) -> None:
        if self._log.is_broken:
            return
        now = monotonic()
        self._log.replica.tick(now)
        self._announce_leader()
        self._sessions.send_heartbeats(now, *self._measure_freshness(now))
        self._directory.tick(now)
        if self._quotas.is_active:
            self._directory.announce_zone(now)
        self._quarantine.expire(now)
        self._traffic.emit(now)
        self._advance()

    def _on_peer(self, item: PeerMessageArrived) -> None:
        message = item.message
        now = monotonic()
        self._links.note_heard(message.sender, now)
        body = message.WhichOneof("body")
        if body == "fleet_report":
            self._on_fleet_report(message, now)
        elif body in ("endpoint_report", "endpoint_request", "drain_notice"):
            self._directory.receive(message, now)
        elif body == "fleet_request":
            self._reporter.restart()
        elif body == "quota_report":
            self._quotas.post(QuotaReportArrived(message))
        else:
            self._log.replica.step(message, now)

    def _on_fleet_report(self, message, now: float) -> None:
        if not self._leader.process_report(message, now):
            request = self._peer_message(message.sender)
            request.fleet_request.SetInParent()
            self._links.send([request])

    def _announce_leader(self) -> None:
        """Notify daemons at once of a new leader; without one, they search for a source that has one."""
        leader = self._log.replica.leader
        if leader and leader != self._known_leader:
            self._sessions.expedite_heartbeats()
        self._known_leader = leader

    def _measure_freshness(self, now: float) -> tuple[int, float]:
        """Return the number of the newest accepted version known here, and the seconds since a leader was heard."""
        return self._log.state.accepted_version.number, self._log.replica.leader_silence(now)

    def _on_child_arrived(self, item: ChildArrived) -> None:
        freshness = self._measure_freshness(monotonic())
        is_admitted = self._sessions.greet(item.session, item.message, self._directory.whole_update, *freshness)
        if is_admitted:
            self._directory.complete_admission(item.session)
        self._directory.apply_report(item.session, item.message, monotonic())

    def _on_child_reported(self, item: ChildReported) -> None:
        self._sessions.receive(item.session, item.message)
        self._directory.apply_report(item.session, item.message, monotonic())

    def _on_child_left(self, item: ChildLeft) -> None:
        self._sessions.leave(item.session)
        self._directory.leave(item.session, monotonic())

    def _on_list(self, item: ListRead) -> None:
        now = monotonic()
        self._directory.apply_instance_list(item.instances, now)
        self._leader.apply_instance_list(item.instances, now)

    def refuse_unless_leading(self, request: messages.SubmitRequest) -> messages.SubmitReply | None:
        """Return a refusal that names the leader, or None where this replica leads."""
        if self._log.is_current_leader:
            return None
        return messages.SubmitReply(
            answer=messages.ANSWER_NOT_KNOWN,
            code=ErrorCode.NOT_LEADER.code,
            message=ErrorCode.NOT_LEADER.meaning,
            version=request.version,
            leader_address=self._leader_address(),
        )

    def _settle_time(self) -> float | None:
        settle = self._cfg.settle_ms
        return None if settle is None else settle / 1000

    def _on_submit(self, item: SubmitRequested) -> None:
        version = item.tree.version
        submission = Submission(item.call, item.request, version, monotonic(), self._settle_time())
        refusal = self.refuse_unless_leading(item.request)
        if refusal is not None:
            item.call.finish(refusal)
            return
        result = self._log.state.evaluate_submission(version)
        if result.verdict is Verdict.KNOWN:
            self._submissions.add_waiting(submission)
            return
        # The log decides on every other verdict: a refusal, too, must come
        # from a leader that a quorum still follows.
        base = self._log.state.tree(self._log.state.accepted_version.number)
        command = make_submit_command(item, self._cfg.rollout == "direct", base)
        index = self._log.propose(command)
        if index is None:
            # The lease ended after the check above.
            item.call.finish(submission.reply(messages.ANSWER_NOT_KNOWN, ErrorCode.OUTCOME_NOT_KNOWN))
            return
        self._submissions.add_proposed(submission, index)

    # ----------------------------------------------------------------- advance

    def _advance(self) -> None:
        """Process the log, then send everything that has become due."""
        try:
            self._process_log()
        except StorageError as exc:
            self._stop_after_storage_error(exc)
            return
        now = monotonic()
        self._directory.broadcast(now)
        self._sessions.flush()
        self._directory.advance(now)
        self._report(now)
        self._act_as_leader(now)
        self._queries.advance(self._log, self._leader.fleet, now)

    def _process_log(self) -> None:
        now = monotonic()
        for token in (self._sessions.next_read(now), self._reads.next_read(now)):
            if token is not None:
                self._log.replica.request_read(token, now)
        for entry in self._log.process_ready():
            self._on_applied(entry)
        self._refresh_source()
        self._answer_reads()

    def _answer_reads(self) -> None:
        accepted = self._log.state.accepted_version.number
        confirmed, self._log.confirmed_reads = self._log.confirmed_reads, []
        failed, self._log.failed_reads = self._log.failed_reads, []
        for token in confirmed:
            self._sessions.confirm_read(token, accepted)
            self._reads.confirm(token, self._log.state)
        for token in failed:
            self._sessions.fail_read(token)
            self._reads.fail(token)

    def _on_applied(self, entry: AppliedEntry) -> None:
        """Log the result of an applied entry, and answer the operator who waits for it."""
        log_applied_entry(self._events, entry, self._log.state.accepted_version.number)
        is_submission = isinstance(entry.result, SubmitResult)
        self._submissions.handle_applied(entry.index, entry.result if is_submission else None)
        self._canaries.handle_applied(entry, monotonic())

    def _refresh_source(self) -> None:
        """Update the versions and the canary plan that daemons are sent, when these have changed."""
        state = self._log.state
        if state.canaries.revision > self._plan_revision:
            self._plan_revision = state.canaries.revision
            self._sessions.set_canary_plan(state.canaries.plan())
        versions = (state.accepted_version, state.candidate_version)
        if versions == self._sent_versions:
            return
        self._sent_versions = versions
        source = make_version_source(state)
        self._sessions.set_versions(source)
        if source.accepted is not None:
            # Before the version is sent: the quotas are known by the time that a daemon uses it.
            self._quotas.post(VersionAccepted(source.accepted))
            window = source.accepted.group("").get("endpoint_window_ms")
            if window is not None:
                self._directory.set_window(window / 1000)
        self._metrics.gauge(Metric.VERSION, state.accepted_version.number)

    def _report(self, now: float) -> None:
        """Send the leader a report of the daemons connected here, when one is due."""
        replica = self._log.replica
        report = self._reporter.take_due(self._sessions, replica, now)
        if report is None:
            return
        if replica.leader == replica.me:
            self._leader.apply_own_report(report, now)
            return
        message = self._peer_message(replica.leader)
        message.fleet_report.CopyFrom(report)
        self._links.send([message])

    def _peer_message(self, receiver: str) -> messages.PeerMessage:
        replica = self._log.replica
        return messages.PeerMessage(sender=replica.me, receiver=receiver, term=replica.term)

    # -------------------------------------------------------------------- lead

    def _act_as_leader(self, now: float) -> None:
        """Decide on the candidate and the canaries and answer operators, as leader."""
        is_leader = self._leader.refresh(now)
        fleet = self._leader.fleet if is_leader else None
        has_steps = self._canaries.advance(fleet, self._directory.endpoints, now)
        if not is_leader:
            return
        if self._leader.decide(now) or has_steps:
            try:
                self._process_log()
            except StorageError as exc:
                self._stop_after_storage_error(exc)
                return
            self._sessions.flush()
        self._leader.answer()

    def _leader_address(self) -> str:
        leader = replica_name(self._log.replica.leader)
        address = self.address_of(leader) if leader else None
        return str(address) if address else ""

    def _stop_after_storage_error(self, exc: StorageError) -> None:
        """Stop taking part, as the content of the disk is not known after a storage error."""
        self._log.is_broken = True
        event = Event.LOG_CORRUPT if exc.code is ErrorCode.LOG_CORRUPT else Event.DISK_FAILED
        self._events.emit(event, error=exc)
        self._submissions.abandon_all()
        self._canaries.abandon_all()
        self._queries.abandon_all()
        self._reads.abandon_all()
        self._sessions.close()
        # Refuse daemons and operators rather than let them wait.
        self._server.close()
