# SPDX-License-Identifier: BSD-3-Clause
"""Operators' queries for the status, the history and the contents of versions."""

from collections.abc import Callable

from lanedock.clock import monotonic
from lanedock.consensus.core import replica_name
from lanedock.errors import ErrorCode
from lanedock.rollout import FleetView
from lanedock.settings import Address
from lanedock.wire import messages
from lanedock_daemon.control.disk_reports import DiskReports
from lanedock_daemon.control.refusals import make_empty_reply
from lanedock_daemon.control.replicated_log import ReplicatedLog
from lanedock_daemon.control.requests import HistoryRequested, ShowRequested

__all__ = ["QueryQueue"]

# Maximum number of versions in a history reply where the operator names none: what fits on a screen.
DEFAULT_LIMIT = 20
# Seconds to wait for a leader before a query is answered from this replica's own, unconfirmed state.
LEADER_TIMEOUT = 1.5


class QueryQueue:
    """Queries that wait for a leader to answer them.

    Parameters
    ----------
    address_of : callable
        Takes a replica's name; returns its address, or None where it is not known.
    name : str
        Name of this replica.
    disks : DiskReports
    """

    def __init__(self, address_of: Callable[[str], Address | None], name: str, disks: DiskReports):
        self._address_of = address_of
        self._name = name
        self._disks = disks
        self._waiting: list[tuple[object, float]] = []

    def enqueue(self, item) -> None:
        """Queue a query."""
        self._waiting.append((item, monotonic() + LEADER_TIMEOUT))

    def advance(self, log: ReplicatedLog, fleet: FleetView | None, now: float) -> None:
        """Answer the queries that can be answered now.

        The leader answers under its lease, so its answer was true at some
        moment between query and reply. A replica that can't write its log answers from
        its last state at once.
        """
        waiting = []
        for item, deadline in self._waiting:
            leader = replica_name(log.replica.leader)
            if log.is_current_leader and fleet is not None:
                item.call.reply(self._answer(item, log, fleet, ""))
            elif log.is_suspended:
                item.call.reply(self._answer(item, log, None, ErrorCode.DISK_FAILED.code))
            elif leader and leader != self._name:
                item.call.reply(make_empty_reply(item, ErrorCode.NOT_LEADER, str(self._address_of(leader) or "")))
            elif now >= deadline:
                item.call.reply(self._answer(item, log, fleet, ErrorCode.NO_LEADER.code))
            else:
                waiting.append((item, deadline))
        self._waiting = waiting

    def _answer(self, item, log: ReplicatedLog, fleet: FleetView | None, code: str):
        if isinstance(item, HistoryRequested):
            return _make_history_reply(item, log, code)
        if isinstance(item, ShowRequested):
            return _make_show_reply(item, log, code)
        return self._make_status_reply(log, fleet, code)

    def _make_status_reply(self, log: ReplicatedLog, fleet: FleetView | None, code: str):
        state = log.state
        reply = messages.StatusReply(
            accepted_version=state.accepted_version.number,
            accepted_digest=state.accepted_version.digest,
            candidate_version=state.candidate_version.number,
            code=code,
            confirmed=not code,
            answered_by=self._name,
            term=log.replica.term,
        )
        reachable = set()
        if fleet is not None:
            reply.daemons.extend(sorted(fleet.daemons().values(), key=lambda item: (item.zone, item.daemon)))
            reply.missing.extend(fleet.missing())
            reachable = {replica_name(replica) for replica in fleet.replicas()}
        leader = replica_name(log.replica.leader)
        membership = log.replica.membership
        now = monotonic()
        for name in sorted({replica_name(replica) for replica in (*membership.voters, *membership.learners)}):
            disk = self._disks.find(name, now)
            is_reachable = disk is not None or name in reachable or name == self._name
            status = reply.replicas.add(replica=name, leader=name == leader, reachable=is_reachable)
            if disk is not None:
                status.disk_error = disk.error
                status.disk_outage_ms = disk.outage_ms
        return reply


def _make_history_reply(item, log: ReplicatedLog, code: str) -> messages.HistoryReply:
    reply = messages.HistoryReply(code=code)
    numbers = sorted(log.state.records, reverse=True)
    for number in numbers[: item.request.limit or DEFAULT_LIMIT]:
        record = messages.VersionRecord()
        record.CopyFrom(log.state.records[number])
        record.content = b""
        reply.records.append(record)
    return reply


def _make_show_reply(item, log: ReplicatedLog, code: str) -> messages.ShowReply:
    number = item.request.version or log.state.accepted_version.number
    tree = log.state.tree(number)
    if tree is None:
        return messages.ShowReply(version=number, code=code or ErrorCode.VERSION_UNKNOWN.code)
    return messages.ShowReply(version=number, content=tree.pack(), code=code)
