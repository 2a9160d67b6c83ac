# SPDX-License-Identifier: BSD-3-Clause
"""The control task, which owns the replica and the parts that act on its replicated state."""

from lanedock.canary import CanaryPolicy
from lanedock.clock import monotonic
from lanedock.consensus import FileStorage, StorageError
from lanedock.consensus.core import replica_name
from lanedock.consensus.replica import NEVER_LED
from lanedock.errors import ErrorCode
from lanedock.kernel import Kernel, TaskService
from lanedock.quarantine import Quarantine
from lanedock.rollout import RolloutPolicy, SubmitResult
from lanedock.settings import Address, Settings
from lanedock.telemetry import Event, EventLogger, Metric, Metrics
from lanedock.wire import messages
from lanedock_daemon.control.canaries import CanaryRequestHandler
from lanedock_daemon.control.directories import ControlDirectory, ListedDirectory, RegisteredDirectory
from lanedock_daemon.control.disk_reports import DiskReporter, DiskReports
from lanedock_daemon.control.distribution import DaemonSessions, make_version_source
from lanedock_daemon.control.leader import FleetReporter, RolloutLeader
from lanedock_daemon.control.quarantine_queries import answer_operator
from lanedock_daemon.control.queries import QueryQueue
from lanedock_daemon.control.reads import ReadQueue
from lanedock_daemon.control.refusals import LOG_REQUESTS, REFUSED_REQUESTS, make_submit_refusal, refuse
from lanedock_daemon.control.replica_factory import ReplicaFactory
from lanedock_daemon.control.replicated_log import AppliedEntry, ReplicatedLog
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
from lanedock_daemon.control.storage_opening import OpenedStorage, StorageOpener
from lanedock_daemon.control.storage_recovery import StorageLost, StorageRecovery, StorageReopened
from lanedock_daemon.control.submissions import SubmissionQueue, log_applied_entry, submit
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
        self._seeds = self._cfg.seeds
        self._is_seeded = self._seeds is not None
        # A replica that is found through seeds is named by its address.
        self._name = str(self._cfg.listen) if self._is_seeded else settings.name
        self._disks = DiskReports()
        self._queries = QueryQueue(self.address_of, self._name, self._disks)
        self._reads = ReadQueue()
        self._reporter = FleetReporter()
        self._quotas = QuotaService(settings.zone, events)
        self._known_leader = ""
        self._sent_versions = None
        self._plan_revision = 0
        self._storage: FileStorage | None = None
        # None until the storage could be opened.
        self._log: ReplicatedLog | None = None
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
            StorageReopened: self._on_reopened,
            StorageLost: self._on_storage_lost,
        }

    # ------------------------------------------------------------------- start

    def on_start(self, kernel: Kernel) -> None:
        self._kernel = kernel
        cfg = self._cfg
        first = self._first_voters()
        is_initial = (self._initial or cfg.bootstrap) and self._name in first
        self._storage = FileStorage(cfg.data_folder)
        opener = StorageOpener(self._storage, self._name, first, is_initial)
        self._recovery = StorageRecovery(opener, self, self._events, self._metrics)
        try:
            opened = self._recovery.open()
        except StorageError as exc:
            if exc.code is not ErrorCode.DISK_FAILED:
                raise
            # Without a listener, daemons and replicas are refused at once. Ending instead would end
            # again at each start, and lose whether this is the first start of the mesh.
            self._recovery.begin(exc, monotonic())
            return
        self._begin(opened)

    def _begin(self, opened: OpenedStorage) -> None:
        """Start the replica and all that rests on it, once the storage can be written."""
        cfg = self._cfg
        transport = self._kernel.find("transport")
        if opened.is_joining:
            self._events.emit(Event.JOINING, replica=opened.replica)
        self._log_truncation(opened)
        others = {name: self.address_of(name) for name in self._first_voters() if name != self._name}
        self._links = MeteredLinks(transport.peer_links(others), self._traffic)
        self._log = ReplicatedLog(
            ReplicaFactory(opened.replica, tuple(others), cfg).make,
            opened.restored,
            self._storage,
            self._links.send,
            self._events,
            self._metrics,
            cfg.compact_bytes,
        )
        self._disk_reporter = DiskReporter(self._recovery, self._disks, self._log, self._links)
        self._directory = self._make_directory()
        self._quotas.attach(self._log, self._links, lambda: self._directory.zones, self._leader_address)
        self._leader = RolloutLeader(self._log, self._policy, self._submissions)
        policy = CanaryPolicy(cfg.canary_share, cfg.canary_slack)
        self._canaries = CanaryRequestHandler(self._log, policy, self._leader_address, self._events, self._metrics)
        self._process_log()
        self._quotas.start(self._kernel)
        self._server = transport.serve_control(self, cfg.listen, self._quotas)
        self._links.start()
        self._directory.start(self._kernel)

    def _log_truncation(self, opened: OpenedStorage) -> None:
        if opened.restored.truncated_bytes:
            self._events.emit(Event.TAIL_CUT, bytes=opened.restored.truncated_bytes)

    def _make_directory(self) -> ControlDirectory:
        shared = (self._sessions, self._links, self._log, self._quarantine)
        if self._is_seeded:
            return RegisteredDirectory(self._settings.zone, *shared)
        return ListedDirectory(self._cfg, self._name, self._settings.zone, self, self._events, *shared)

    def _first_voters(self) -> list[str]:
        """Return the names of the initial voters."""
        if self._is_seeded:
            return [str(address) for address in self._seeds]
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
        self._seeds = seeds
        if self._log is None:
            return
        names = [str(address) for address in seeds if str(address) != self._name]
        self._log.replica.contacts = tuple(names)
        self._events.emit(Event.SEEDS_CHANGED, seeds=",".join(names))

    def on_stop(self) -> None:
        self._recovery.stop()
        if self._log is None:
            return
        self._quotas.stop()
        self._directory.stop()
        self._submissions.abandon_all()
        self._canaries.abandon_all()
        self._sessions.close()
        self._server.close()
        if not self._recovery.is_active:
            self._storage.close()

    # ---------------------------------------------------------------- messages

    def on_messages(self, batch: list[object]) -> None:
        for item in batch:
            if self._must_refuse(item):
                refuse(item, self._recovery.error)
            else:
                self._handlers[type(item)](item)
        if self._log is not None:
            self._advance()

    def _must_refuse(self, item) -> bool:
        """Return whether a request of an operator needs what a disk that refuses writes can't give."""
        if not self._recovery.is_active:
            return False
        return isinstance(item, REFUSED_REQUESTS if self._log is not None else LOG_REQUESTS)

    def on_tick(self) -> None:
        now = monotonic()
        self._recovery.measure(now)
        if self._log is None:
            return
        self._disk_reporter.report(now)
        if not self._log.is_suspended:
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
        elif body == "disk_report":
            self._disks.receive(message.sender, message.disk_report, now)
            self._log.replica.handle_resignation(message.sender, message.term, now)
        elif not self._log.is_suspended:
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
        """Return the number of the newest accepted version known here, and the seconds since a leader was heard.

        While the disk refuses writes, none counts as heard, so that daemons move to an instance that has
        a leader. Those that find none stay for the endpoints, which rest on no write.
        """
        silence = NEVER_LED if self._log.is_suspended else self._log.replica.leader_silence(now)
        return self._log.state.accepted_version.number, silence

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
        if self._recovery.is_active:
            return make_submit_refusal(request, ErrorCode.DISK_FAILED, self._recovery.error)
        if self._log.is_current_leader:
            return None
        refusal = make_submit_refusal(request, ErrorCode.NOT_LEADER)
        refusal.leader_address = self._leader_address()
        return refusal

    def _on_submit(self, item: SubmitRequested) -> None:
        refusal = self.refuse_unless_leading(item.request)
        if refusal is not None:
            item.call.finish(refusal)
            return
        submit(item, self._cfg, self._log, self._submissions)

    # ----------------------------------------------------------------- advance

    def _advance(self) -> None:
        """Process the log, then send everything that has become due."""
        self._process_log()
        now = monotonic()
        self._directory.broadcast(now)
        self._sessions.flush()
        self._directory.advance(now)
        self._report(now)
        self._act_as_leader(now)
        self._queries.advance(self._log, self._leader.fleet, now)

    def _process_log(self) -> None:
        if self._log.is_suspended:
            return
        now = monotonic()
        for token in (self._sessions.next_read(now), self._reads.next_read(now)):
            if token is not None:
                self._log.replica.request_read(token, now)
        failure = None
        try:
            self._log.process_ready()
        except StorageError as exc:
            failure = exc
        for entry in self._log.take_applied():
            self._on_applied(entry)
        self._refresh_source()
        self._answer_reads()
        if failure is not None:
            self._suspend(failure)

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
            self._process_log()
            self._sessions.flush()
        self._leader.answer()

    def _leader_address(self) -> str:
        leader = replica_name(self._log.replica.leader)
        address = self.address_of(leader) if leader else None
        return str(address) if address else ""

    # -------------------------------------------------------------------- disk

    def _suspend(self, exc: StorageError) -> None:
        """Stop all that rests on a write, refuse what waits for it, and notify the other replicas."""
        now = monotonic()
        self._recovery.begin(exc, now)
        self._log.suspend(now)
        self._submissions.abandon_all()
        self._canaries.abandon_all()
        self._reads.abandon_all()
        self._sessions.fail_reads()
        self._sessions.expedite_heartbeats()
        self._disk_reporter.report(now)

    def _on_reopened(self, item: StorageReopened) -> None:
        """Take part again, or begin to."""
        opened = item.opened
        if self._log is None:
            self._begin(opened)
        else:
            try:
                self._log.resume(opened.restored)
            except StorageError as exc:
                self._recovery.begin(exc, monotonic())
                return
            self._log_truncation(opened)
            self._sessions.expedite_heartbeats()
        if self._log.is_suspended:
            return
        now = monotonic()
        self._recovery.end(now)
        self._disk_reporter.report_end(now)

    def _on_storage_lost(self, item: StorageLost) -> None:
        """End the process where nothing is served yet; a running one goes on serving endpoints."""
        if self._log is None:
            raise item.error
