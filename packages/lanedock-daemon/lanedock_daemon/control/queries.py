# SPDX-License-Identifier: BSD-3-Clause
"""The desk for operators' questions: status, history, contents."""

import time
from collections.abc import Callable

from lanedock.consensus.core import replica_name
from lanedock.errors import ErrorCode
from lanedock.rollout import FleetView
from lanedock.settings import Address
from lanedock.wire import messages
from lanedock_daemon.control.log import ReplicatedLog
from lanedock_daemon.control.mail import HistoryAsked, ShowAsked

__all__ = ["QueryDesk"]

DEFAULT_LIMIT = 20
# Wait for a leader to be there, in seconds, before a question is answered by
# what this replica knows itself.
PATIENCE = 1.5


class QueryDesk:
    """Questions that wait for their answer.

    Parameters
    ----------
    address_of : callable
        Returns the address of a replica by its name.
    name : str
        This replica's.
    """

    def __init__(self, address_of: Callable[[str], Address | None], name: str):
        self._address_of = address_of
        self._name = name
        self._waiting: list[tuple[object, float]] = []

    def ask(self, mail) -> None:
        """Take in a question."""
        self._waiting.append((mail, time.monotonic() + PATIENCE))

    def abandon_all(self) -> None:
        """Answer all questions without knowledge."""
        for mail, _ in self._waiting:
            mail.call.reply(_make_empty(mail, ErrorCode.NO_LEADER, ""))
        self._waiting = []

    def advance(self, log: ReplicatedLog, fleet: FleetView | None, now: float) -> None:
        """Answer what can be answered now.

        The leader answers under its lease, so what it says was true at some
        moment between question and answer.
        """
        waiting = []
        for mail, patience_until in self._waiting:
            leader = replica_name(log.replica.leader)
            if log.is_current_leader and fleet is not None:
                mail.call.reply(self._answer(mail, log, fleet, confirmed=True))
            elif leader and leader != self._name:
                mail.call.reply(_make_empty(mail, ErrorCode.NOT_LEADER, str(self._address_of(leader) or "")))
            elif now >= patience_until:
                mail.call.reply(self._answer(mail, log, fleet, confirmed=False))
            else:
                waiting.append((mail, patience_until))
        self._waiting = waiting

    def _answer(self, mail, log: ReplicatedLog, fleet: FleetView | None, confirmed: bool):
        code = "" if confirmed else ErrorCode.NO_LEADER.code
        if isinstance(mail, HistoryAsked):
            return _make_history(mail, log, code)
        if isinstance(mail, ShowAsked):
            return _make_show(mail, log, code)
        return self._make_status(log, fleet, code, confirmed)

    def _make_status(self, log: ReplicatedLog, fleet: FleetView | None, code: str, confirmed: bool):
        state = log.state
        reply = messages.StatusReply(
            accepted_version=state.accepted_version.number,
            accepted_digest=state.accepted_version.digest,
            candidate_version=state.candidate_version.number,
            code=code,
            confirmed=confirmed,
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
        for name in sorted({replica_name(replica) for replica in (*membership.voters, *membership.learners)}):
            reply.replicas.add(replica=name, leader=name == leader, reachable=name in reachable or name == self._name)
        return reply


def _make_history(mail, log: ReplicatedLog, code: str) -> messages.HistoryReply:
    reply = messages.HistoryReply(code=code)
    numbers = sorted(log.state.records, reverse=True)
    for number in numbers[: mail.request.limit or DEFAULT_LIMIT]:
        record = messages.VersionRecord()
        record.CopyFrom(log.state.records[number])
        record.content = b""
        reply.records.append(record)
    return reply


def _make_show(mail, log: ReplicatedLog, code: str) -> messages.ShowReply:
    number = mail.request.version or log.state.accepted_version.number
    record = log.state.records.get(number)
    if record is None or not record.content:
        return messages.ShowReply(version=number, code=code or ErrorCode.VERSION_UNKNOWN.code)
    return messages.ShowReply(version=number, content=record.content, code=code)


def _make_empty(mail, code: ErrorCode, leader_address: str):
    kinds = {HistoryAsked: messages.HistoryReply, ShowAsked: messages.ShowReply}
    kind = kinds.get(type(mail), messages.StatusReply)
    return kind(code=code.code, leader_address=leader_address)
