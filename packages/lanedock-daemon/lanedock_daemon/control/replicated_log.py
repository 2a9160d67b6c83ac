# SPDX-License-Identifier: BSD-3-Clause
"""Driver of the consensus core: saves entries, sends messages and applies committed entries."""

from collections.abc import Callable

from lanedock.canary import StartResult
from lanedock.clock import monotonic
from lanedock.consensus import (
    FileStorage,
    HardState,
    LogSnapshot,
    RaftReplica,
    ReplicaRole,
    Restored,
    StorageError,
)
from lanedock.errors import ErrorCode
from lanedock.rollout import MeshState, SubmitResult
from lanedock.telemetry import Event, Metric, Metrics
from lanedock.wire import messages
from lanedock_daemon.control.disk_thread import run_in_thread

__all__ = ["AppliedEntry", "ReplicatedLog"]

# Seconds until a compaction is tried again for which the disk had no space.
COMPACTION_RETRY_INTERVAL = 10.0


class AppliedEntry:
    """An applied log entry, with the result of its command.

    Parameters
    ----------
    index : int
    command : Command
    result : SubmitResult, StartResult, bool or None
        See `MeshState.apply`.
    """

    __slots__ = ("command", "index", "result")

    def __init__(self, index: int, command: messages.Command, result: SubmitResult | StartResult | bool | None):
        self.index = index
        self.command = command
        self.result = result

    def __repr__(self) -> str:
        return f"<AppliedEntry {self.index} {self.command.WhichOneof('body')}>"


class ReplicatedLog:
    """Runs a replica: passes proposals to the core, and carries out the core's output.

    Parameters
    ----------
    make_replica : callable
        Takes a Restored, the index of the last applied entry, and the time at which a leader was last
        known (monotonic, in seconds) or None; returns the RaftReplica.
    restored : Restored
        The log as restored from `storage`.
    storage : FileStorage
    send : callable
        Takes a list of PeerMessage.
    events : EventLogger
    metrics : Metrics
    compact_bytes : int
        Size of the log on disk, in bytes, at which it is compacted.

    Attributes
    ----------
    replica : RaftReplica
    state : MeshState
    is_suspended : bool
        Whether the replica takes no part in consensus, as its disk refuses writes.
    """

    def __init__(
        self,
        make_replica: Callable[[Restored, int, float | None], RaftReplica],
        restored: Restored,
        storage: FileStorage,
        send,
        events,
        metrics: Metrics,
        compact_bytes: int,
    ):
        self._make_replica = make_replica
        self.replica = make_replica(restored, restored.log.snapshot.index, None)
        self.state = MeshState.restore(restored.log.snapshot.state)
        self.confirmed_reads: list[int] = []
        self.failed_reads: list[int] = []
        self.is_suspended = False
        self._applied = restored.log.snapshot.index
        self._applied_entries: list[AppliedEntry] = []
        self._storage = storage
        self._send = send
        self._events = events
        self._metrics = metrics
        self._compact_bytes = compact_bytes
        self._compact_at = 0.0
        self._waiting_reads: list[tuple[int, int]] = []
        self._was_leader = False
        self._known_membership = b""

    def __repr__(self) -> str:
        return f"<ReplicatedLog {self.replica!r} applied={self._applied}>"

    @property
    def is_current_leader(self) -> bool:
        """Whether this replica leads and has applied every entry committed under earlier leaders."""
        return self.replica.is_leader(monotonic()) and self.replica.has_own_commit(self._applied)

    def propose(self, command: messages.Command) -> int | None:
        """Propose a command; returns its index, or None where this replica does not lead."""
        return self.replica.propose(command.SerializeToString(), monotonic())

    def suspend(self, now: float) -> None:
        """Stop taking part in consensus; what the core has ready is dropped, as nothing of it was saved."""
        self.is_suspended = True
        self.replica.resign(now)
        self.confirmed_reads = []
        self.failed_reads = []
        self._waiting_reads = []
        self._report_role()

    def resume(self, restored: Restored) -> None:
        """Take part in consensus again, by what the storage holds. What was applied stays applied.

        Raises
        ------
        StorageError
            `ErrorCode.LOG_CORRUPT` if entries are missing that were applied.
        """
        log = restored.log
        if log.last_index < self._applied:
            raise StorageError(
                ErrorCode.LOG_CORRUPT, f"the log ends at entry {log.last_index}, entry {self._applied} was applied"
            )
        if log.snapshot.index > self._applied:
            self._install_snapshot(log.snapshot)
        former = self.replica
        self.replica = self._make_replica(restored, self._applied, former.leader_heard_at)
        self.replica.contacts = former.contacts
        self.is_suspended = False

    def _install_snapshot(self, snapshot: LogSnapshot) -> None:
        self.state = MeshState.restore(snapshot.state)
        self._applied = snapshot.index

    def take_applied(self) -> list[AppliedEntry]:
        """Return the entries applied since the last call.

        A snapshot from the leader replaces `state` without adding entries.
        """
        applied, self._applied_entries = self._applied_entries, []
        return applied

    def process_ready(self) -> None:
        """Save, send and apply everything that the core has ready.

        Raises
        ------
        StorageError
            The disk refused a write; the replica has to be suspended.
        """
        while True:
            ready = self.replica.take_ready()
            self._send(ready.messages_before_sync)
            if ready.must_sync():
                self._sync(ready)
            self._send(ready.messages_after_sync)
            if ready.snapshot is not None:
                self._install_snapshot(ready.snapshot)
            for entry in ready.committed:
                self._apply(entry)
            self._waiting_reads += ready.reads
            self.failed_reads += ready.failed_reads
            if not (ready.messages_before_sync or ready.messages_after_sync or ready.committed or ready.must_sync()):
                break
        self._release_reads()
        self._report_role()
        self._compact()

    def _sync(self, ready) -> None:
        replica = self.replica
        last_index = replica.log.last_index
        hard_state = HardState(replica.term, replica.voted_for)
        started = monotonic()
        if ready.snapshot is not None:
            run_in_thread(self._storage.replace, ready.snapshot, hard_state, ready.entries)
        else:
            run_in_thread(self._storage.save, hard_state if ready.hard_state_changed else None, ready.entries)
        now = monotonic()
        self._metrics.time(Metric.SYNC, now - started)
        replica.mark_persisted(last_index, now)

    def _apply(self, entry: messages.LogEntry) -> None:
        self._applied = entry.index
        if entry.payload:
            command = messages.Command.FromString(entry.payload)
            self._applied_entries.append(AppliedEntry(entry.index, command, self.state.apply(command)))

    def _release_reads(self) -> None:
        waiting = []
        for token, index in self._waiting_reads:
            if index <= self._applied:
                self.confirmed_reads.append(token)
            else:
                waiting.append((token, index))
        self._waiting_reads = waiting

    def _report_role(self) -> None:
        replica = self.replica
        is_leader = replica.role is ReplicaRole.LEADER
        if is_leader != self._was_leader:
            self._was_leader = is_leader
            self._events.emit(Event.LEADING if is_leader else Event.NOT_LEADING, term=replica.term)
        membership = replica.membership.SerializeToString()
        if membership != self._known_membership:
            self._known_membership = membership
            self._events.emit(
                Event.MEMBERSHIP,
                voters=",".join(replica.membership.voters),
                learners=",".join(replica.membership.learners) or "-",
            )
        self._metrics.gauge(Metric.TERM, replica.term)
        self._metrics.gauge(Metric.COMMIT, replica.commit_index)

    def _compact(self) -> None:
        log = self.replica.log
        if self._storage.size() < self._compact_bytes or log.membership_index() > self._applied:
            return
        if self._applied == log.snapshot.index or monotonic() < self._compact_at:
            return
        snapshot = LogSnapshot(self._applied, log.term_at(self._applied), log.membership(), self.state.snapshot())
        hard_state = HardState(self.replica.term, self.replica.voted_for)
        entries = log.between(snapshot.index + 1, log.last_index)
        try:
            run_in_thread(self._storage.replace, snapshot, hard_state, entries)
        except StorageError as exc:
            if not self._storage.is_usable:
                raise
            self._compact_at = monotonic() + COMPACTION_RETRY_INTERVAL
            self._events.emit(Event.COMPACTION_FAILED, error=exc)
            return
        self.replica.compact(snapshot)
        self._events.emit(Event.COMPACTED, index=snapshot.index, bytes=self._storage.size())
