# SPDX-License-Identifier: BSD-3-Clause
"""Canary releases at a control instance: requests from operators, and steps decided by the leader."""

import time
from collections import Counter
from collections.abc import Callable

from lanedock.canary import FULL_SHARE, CanaryController, CanaryPolicy, StartResult, StartVerdict, make_step
from lanedock.clock import monotonic
from lanedock.errors import ErrorCode
from lanedock.rollout import FleetView
from lanedock.telemetry import Event, EventLogger, Metric, Metrics
from lanedock.wire import messages
from lanedock_daemon.control.replicated_log import AppliedEntry, ReplicatedLog
from lanedock_daemon.control.requests import CanaryRequested

__all__ = ["CanaryRequestHandler"]

# Seconds after which an operator whose command was not applied is told that its outcome is not known.
COMMAND_TIMEOUT = 3.0
# Maximum number of canaries in one reply.
MAX_LISTED_CANARIES = 20
# Maximum number of upstreams of each version whose answers are logged at a step.
MAX_LOGGED_UPSTREAMS = 12


class _PendingCommand:
    """An operator's command that waits for its log entry to be applied."""

    __slots__ = ("command", "deadline", "item")

    def __init__(self, item: CanaryRequested, command: messages.Command, deadline: float):
        self.item = item
        self.command = command
        self.deadline = deadline


class CanaryRequestHandler:
    """Handles operators' canary requests, and advances running canaries while its replica leads.

    Parameters
    ----------
    log : ReplicatedLog
    policy : CanaryPolicy
    leader_address : callable
        Returns the leader's address; empty where no leader is known.
    events : EventLogger
    metrics : Metrics
    """

    def __init__(self, log: ReplicatedLog, policy: CanaryPolicy, leader_address, events: EventLogger, metrics: Metrics):
        self._log = log
        self._policy = policy
        self._leader_address = leader_address
        self._events = events
        self._metrics = metrics
        self._controller: CanaryController | None = None
        self._pending: dict[int, _PendingCommand] = {}

    def __repr__(self) -> str:
        return f"<CanaryRequestHandler waiting={len(self._pending)} {self._controller!r}>"

    @property
    def _state(self):
        return self._log.state.canaries

    # ------------------------------------------------------------------ orders

    def handle(self, item: CanaryRequested, endpoints: list[messages.Endpoint], now: float) -> None:
        """Answer a query, or propose the command that an operator requests.

        Parameters
        ----------
        item : CanaryRequested
        endpoints : list of Endpoint
            All endpoints that this control instance knows.
        now : float
            Monotonic, seconds.
        """
        if not self._log.is_current_leader:
            item.call.finish(_refuse(ErrorCode.NOT_LEADER, leader_address=self._leader_address()))
            return
        request = item.request
        if request.action == messages.CANARY_LIST:
            item.call.finish(self._list(request.service, now))
        elif request.action == messages.CANARY_START:
            self._start(item, endpoints, now)
        else:
            self._propose_operator_step(item, now)

    def _list(self, service: str, now: float) -> messages.CanaryReply:
        records = [record for record in self._state.records if not service or record.service == service]
        reply = messages.CanaryReply()
        for record in records[: -MAX_LISTED_CANARIES - 1 : -1]:
            reply.canaries.append(self._make_progress(record, now))
        return reply

    def _make_progress(self, record: messages.CanaryRecord, now: float) -> messages.CanaryProgress:
        if self._controller is None:
            return messages.CanaryProgress(record=record)
        return self._controller.progress(record, now)

    def _start(self, item: CanaryRequested, endpoints: list[messages.Endpoint], now: float) -> None:
        request = item.request
        start = messages.CanaryStart(
            service=request.service,
            version=request.version,
            duration_ms=request.duration_ms,
            started_at=time.time(),
            operator=request.operator,
        )
        result = self._state.judge(start)
        if result.verdict is not StartVerdict.STARTED:
            item.call.finish(self._answer_start(result, now))
        elif not self._log.state.has_service(start.service):
            item.call.finish(_refuse(ErrorCode.SERVICE_UNKNOWN))
        elif _is_rolled_out(start, endpoints):
            item.call.finish(_refuse(ErrorCode.CANARY_NOT_NEW))
        else:
            self._propose_command(item, messages.Command(canary_start=start), now)

    def _propose_operator_step(self, item: CanaryRequested, now: float) -> None:
        request = item.request
        record = self._state.newest(request.service)
        if record is None or record.phase != messages.CANARY_RUNNING:
            item.call.finish(_refuse(ErrorCode.CANARY_UNKNOWN))
            return
        operator_name = request.operator or "an operator"
        if request.action == messages.CANARY_PROMOTE:
            step = make_step(record, messages.CANARY_RUNNING, FULL_SHARE, f"promoted by {operator_name}")
        else:
            step = make_step(record, messages.CANARY_ROLLED_BACK, 0, f"aborted by {operator_name}")
        step.decided_at = time.time()
        self._propose_command(item, messages.Command(canary_step=step), now)

    def _propose_command(self, item: CanaryRequested, command: messages.Command, now: float) -> None:
        index = self._log.propose(command)
        if index is None:
            item.call.finish(_refuse(ErrorCode.OUTCOME_NOT_KNOWN))
            return
        self._pending[index] = _PendingCommand(item, command, now + COMMAND_TIMEOUT)

    def handle_applied(self, entry: AppliedEntry, now: float) -> None:
        """Log the result of an applied entry, and answer the operator who waits for it."""
        result = entry.result
        if isinstance(result, StartResult):
            self._log_start(result)
        elif entry.command.HasField("canary_step") and result:
            self._log_step(entry.command.canary_step)
        pending = self._pending.pop(entry.index, None)
        if pending is None:
            return
        # Another leader's entry may have taken the index; the outcome of this command is then not known.
        if pending.command != entry.command:
            pending.item.call.finish(_refuse(ErrorCode.OUTCOME_NOT_KNOWN))
        elif isinstance(result, StartResult):
            pending.item.call.finish(self._answer_start(result, now))
        elif result:
            pending.item.call.finish(self._list(pending.item.request.service, now))
        else:
            pending.item.call.finish(_refuse(ErrorCode.CANARY_UNKNOWN))

    def _answer_start(self, result: StartResult, now: float) -> messages.CanaryReply:
        reply = _refuse(result.code) if result.code is not None else messages.CanaryReply()
        reply.canaries.append(self._make_progress(result.record, now))
        return reply

    def _log_start(self, result: StartResult) -> None:
        record = result.record
        event = Event.CANARY_STARTED if result.verdict is StartVerdict.STARTED else Event.CANARY_REFUSED
        self._events.emit(
            event,
            service=record.service,
            software=record.version,
            canary=record.number,
            duration_ms=record.duration_ms,
            verdict=result.verdict.value,
        )

    def _log_step(self, step: messages.CanaryStep) -> None:
        record = self._state.newest(step.service)
        by_phase = {
            messages.CANARY_COMPLETED: Event.CANARY_COMPLETED,
            messages.CANARY_ROLLED_BACK: Event.CANARY_ROLLED_BACK,
        }
        self._metrics.gauge(Metric.CANARY_SHARE, record.share_permille / FULL_SHARE, (step.service,))
        self._events.emit(
            by_phase.get(step.phase, Event.CANARY_STEP),
            service=step.service,
            software=record.version,
            canary=step.number,
            step=step.step,
            share=step.share_permille / FULL_SHARE,
            reason=step.reason,
            **self._request_counts(record),
        )
        self._log_evidence(step, record)

    def _log_evidence(self, step: messages.CanaryStep, record: messages.CanaryRecord) -> None:
        """Log what the decision rests on by upstream, where this replica leads: the first ones of each version."""
        if self._controller is None:
            return
        logged = Counter()
        for summary in self._controller.upstream_summaries(record):
            logged[summary.is_canary] += 1
            if logged[summary.is_canary] <= MAX_LOGGED_UPSTREAMS:
                self._events.emit(
                    Event.CANARY_EVIDENCE,
                    service=step.service,
                    canary=step.number,
                    step=step.step,
                    **summary.fields(),
                )

    def _request_counts(self, record: messages.CanaryRecord) -> dict[str, float]:
        """Return the counts of a canary and the figures of its comparison; empty where another replica leads."""
        if self._controller is None:
            return {}
        progress = self._controller.progress(record, monotonic())
        return {
            "canary_sent": progress.canary_sent,
            "canary_failed": progress.canary_failed,
            "stable_answered": progress.stable_answered,
            "stable_failed": progress.stable_failed,
            **self._controller.comparison_figures(record),
        }

    def abandon_all(self) -> None:
        """Tell all waiting operators that the outcome is not known."""
        for pending in self._pending.values():
            pending.item.call.finish(_refuse(ErrorCode.OUTCOME_NOT_KNOWN))
        self._pending = {}

    # -------------------------------------------------------------------- lead

    def advance(
        self, fleet: FleetView | None, list_endpoints: Callable[[], list[messages.Endpoint]], now: float
    ) -> bool:
        """Expire commands that timed out and, as leader, decide on the running canaries.

        Parameters
        ----------
        fleet : FleetView or None
            None where another replica leads.
        list_endpoints : callable
            Returns all known endpoints; called only while a canary runs.
        now : float
            Monotonic, seconds.

        Returns
        -------
        bool
            Whether at least one step was proposed to the log.
        """
        for index, pending in list(self._pending.items()):
            if now >= pending.deadline:
                del self._pending[index]
                pending.item.call.finish(_refuse(ErrorCode.OUTCOME_NOT_KNOWN))
        if fleet is None or not self._log.is_current_leader:
            self._controller = None
            return False
        if self._controller is None:
            self._controller = CanaryController(self._state, self._policy)
        if not self._state.running():
            return False
        self._controller.set_state(self._state)
        commands = self._controller.decide(fleet.daemons(), list_endpoints(), now, time.time())
        proposed = [self._log.propose(command) for command in commands]
        return any(index is not None for index in proposed)


def _refuse(code: ErrorCode, leader_address: str = "") -> messages.CanaryReply:
    return messages.CanaryReply(code=code.code, message=code.meaning, leader_address=leader_address)


def _is_rolled_out(start: messages.CanaryStart, endpoints: list[messages.Endpoint]) -> bool:
    """Return whether all upstreams of the service that are not leaving already run the version."""
    serving = [endpoint for endpoint in endpoints if endpoint.service == start.service and not endpoint.leaving]
    return {endpoint.version for endpoint in serving} == {start.version}
