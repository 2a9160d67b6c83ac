# SPDX-License-Identifier: BSD-3-Clause
"""Driver of the consensus core: saves entries, sends messages and applies committed entries."""

import secrets

import gevent

from lanedock.canary import StartResult
from lanedock.clock import monotonic
from lanedock.consensus import FileStorage, HardState, LogSnapshot, RaftReplica, ReplicaRole, StorageError
from lanedock.errors import ErrorCode
from lanedock.rollout import MeshState, SubmitResult
from lanedock.telemetry import Event, EventLogger, Metric, Metrics
from lanedock.wire import messages

__all__ = ["AppliedEntry", "ReplicatedLog", "open_storage"]

FIRST_INCARNATION = "1"


def open_storage(storage: FileStorage, name: str, names: list[str], initial: bool, events: EventLogger) -> str:
    """Check that the data folder belongs to this replica, and initialize a new folder.

    Parameters
    ----------
    storage : FileStorage
    name : str
    names : list of str
        Names of all initial voters.
    initial : bool
        Whether a new folder starts as a voter. Given only once, when the mesh
        is set up: a replica that lost its disk must not vote under its former
        id, so without `initial` a new folder joins under a new incarnation.

    Returns
    -------
    str
        The replica's id.

    Raises
    ------
    StorageError
        The folder belongs to another replica, or cannot be read.
    """
    replica = storage.read_identity()
    if replica:
        if replica.partition("@")[0] != name:
            raise StorageError(ErrorCode.FOREIGN_FOLDER, f"the data folder belongs to replica {replica}, not to {name}")
        return replica
    if initial:
        replica = f"{name}@{FIRST_INCARNATION}"
        membership = messages.Membership(voters=[f"{other}@{FIRST_INCARNATION}" for other in names])
    else:
        replica = f"{name}@{secrets.token_hex(4)}"
        membership = messages.Membership()
        events.emit(Event.JOINING, replica=replica)
    storage.initialize(replica, membership)
    return replica


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
    replica : RaftReplica
    storage : FileStorage
    send : callable
        Takes a list of PeerMessage.
    events : EventLogger
    metrics : Metrics
    compact_bytes : int
        Size of the log on disk, in bytes, at which it is compacted.
    """

    def __init__(self, replica: RaftReplica, storage: FileStorage, send, events, metrics: Metrics, compact_bytes: int):
        self.replica = replica
        self.state = MeshState.restore(replica.log.snapshot.state)
        self.confirmed_reads: list[int] = []
        self.failed_reads: list[int] = []
        self.is_broken = False
        self._applied = replica.log.snapshot.index
        self._storage = storage
        self._send = send
        self._events = events
        self._metrics = metrics
        self._compact_bytes = compact_bytes
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

    def process_ready(self) -> list[AppliedEntry]:
        """Save, send and apply everything that the core has ready.

        Returns
        -------
        list of AppliedEntry
            The entries applied. A snapshot from the leader replaces `state`
            without adding entries to this list.

        Raises
        ------
        StorageError
            The disk failed; the replica must stop taking part.
        """
        applied = []
        while True:
            ready = self.replica.take_ready()
            self._send(ready.messages_before_sync)
            if ready.must_sync():
                self._sync(ready)
            self._send(ready.messages_after_sync)
            if ready.snapshot is not None:
                self.state = MeshState.restore(ready.snapshot.state)
                self._applied = ready.snapshot.index
            applied += [self._apply(entry) for entry in ready.committed]
            self._waiting_reads += ready.reads
            self.failed_reads += ready.failed_reads
            if not (ready.messages_before_sync or ready.messages_after_sync or ready.committed or ready.must_sync()):
                break
        self._release_reads()
        self._report_role()
        self._compact()
        return [entry for entry in applied if entry is not None]

    def _sync(self, ready) -> None:
        replica = self.replica
        last_index = replica.log.last_index
        hard_state = HardState(replica.term, replica.voted_for)
        started = monotonic()
        if ready.snapshot is not None:
            _run_in_thread(self._storage.replace, ready.snapshot, hard_state, ready.entries)
        else:
            _run_in_thread(self._storage.save, hard_state if ready.hard_state_changed else None, ready.entries)
        now = monotonic()
        self._metrics.time(Metric.SYNC, now - started)
        replica.mark_persisted(last_index, now)

    def _apply(self, entry: messages.LogEntry) -> AppliedEntry | None:
        self._applied = entry.index
        if not entry.payload:
            return None
        command = messages.Command.FromString(entry.payload)
        return AppliedEntry(entry.index, command, self.state.apply(command))

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
        if self._applied == log.snapshot.index:
            return
        snapshot = LogSnapshot(self._applied, log.term_at(self._applied), log.membership(), self.state.snapshot())
        self.replica.compact(snapshot)
        hard_state = HardState(self.replica.term, self.replica.voted_for)
        _run_in_thread(self._storage.replace, snapshot, hard_state, list(log.entries))
        self._events.emit(Event.COMPACTED, index=snapshot.index, bytes=self._storage.size())


def _run_in_thread(write, *args) -> None:
    """Run a disk write in a thread of gevent's pool, so that other greenlets keep running.

    Raises
    ------
    StorageError
        Raised by the write. The thread returns the error instead of raising
        it, as the pool would print the traceback.
    """
    failure = gevent.get_hub().threadpool.apply(_return_error, (write, *args))
    if failure is not None:
        raise failure


def _return_error(write, *args) -> StorageError | None:
    try:
        write(*args)
    except StorageError as exc:
        return exc
    return None
