# SPDX-License-Identifier: BSD-3-Clause
"""The replicated state of canary releases: their records, and the rules that daemons follow.

Starts and steps are validated when they are applied. A step carries the number of its canary
and its own number, so that a step which a former leader has decided on is ignored.
"""

from enum import Enum

from lanedock.errors import ErrorCode
from lanedock.wire import messages

__all__ = ["RESEND_WINDOW", "CanaryState", "StartResult", "StartVerdict"]

# Lower bound of the time, in seconds, in which a start with the same values as the newest canary's
# counts as resent: an operator who gets no answer sends it again for a few seconds.
RESEND_WINDOW = 10.0
# Upper bound of the canary records that are kept for operators.
MAX_RECORDS = 200
# Upper bound of the withheld versions of one service; the oldest are dropped first.
MAX_WITHHELD = 32
# Share of all of a service's requests, in thousandths.
FULL_SHARE = 1000


class StartVerdict(Enum):
    """Result of an order to start a canary."""

    STARTED = "started"
    KNOWN = "known"
    BUSY = "busy"
    CURRENT = "current"


_CODES = {StartVerdict.BUSY: ErrorCode.CANARY_RUNS, StartVerdict.CURRENT: ErrorCode.CANARY_NOT_NEW}


class StartResult:
    """The verdict on an order to start a canary.

    Parameters
    ----------
    verdict : StartVerdict
    record : CanaryRecord
        The new canary, or the existing one that caused the verdict.
    """

    __slots__ = ("record", "verdict")

    def __init__(self, verdict: StartVerdict, record: messages.CanaryRecord):
        self.verdict = verdict
        self.record = record

    @property
    def code(self) -> ErrorCode | None:
        """Error code of a refusal; None if the start was accepted."""
        return _CODES.get(self.verdict)

    def __repr__(self) -> str:
        return f"<StartResult {self.verdict.value} {self.record.service} {self.record.version}>"


class CanaryState:
    """Records of the latest canaries, and the rules of all services that had one.

    Attributes
    ----------
    revision : int
        Number of changes so far.
    records : list of CanaryRecord
        Records of canaries, the oldest first.
    """

    def __init__(self):
        self.revision = 0
        self.records: list[messages.CanaryRecord] = []
        self._count = 0
        self._rules: dict[str, messages.CanaryRule] = {}

    def __repr__(self) -> str:
        return f"<CanaryState revision={self.revision} records={len(self.records)}>"

    # ----------------------------------------------------------------- outputs

    def newest(self, service: str) -> messages.CanaryRecord | None:
        """Return the newest canary of a service, or None if none is recorded."""
        return next((record for record in reversed(self.records) if record.service == service), None)

    def running(self) -> list[messages.CanaryRecord]:
        """Return the canaries that are neither completed nor rolled back."""
        return [record for record in self.records if record.phase == messages.CANARY_RUNNING]

    def rule(self, service: str) -> messages.CanaryRule | None:
        """Return the rule of a service, or None if it never had a canary."""
        return self._rules.get(service)

    def plan(self) -> messages.CanaryPlan:
        """Return the plan that daemons follow: the rules of all services."""
        rules = [self._rules[service] for service in sorted(self._rules)]
        return messages.CanaryPlan(revision=self.revision, rules=rules)

    def judge(self, start: messages.CanaryStart) -> StartResult:
        """Return the result that a start would have now; the record of a new canary has no number yet."""
        newest = self.newest(start.service)
        if newest is not None:
            if _is_resent(start, newest):
                return StartResult(StartVerdict.KNOWN, newest)
            if newest.phase == messages.CANARY_RUNNING:
                return StartResult(StartVerdict.BUSY, newest)
            if newest.phase == messages.CANARY_COMPLETED and newest.version == start.version:
                return StartResult(StartVerdict.CURRENT, newest)
        record = messages.CanaryRecord(
            service=start.service,
            version=start.version,
            duration_ms=start.duration_ms,
            started_at=start.started_at,
            operator=start.operator,
            phase=messages.CANARY_RUNNING,
            reason="started",
            decided_at=start.started_at,
        )
        return StartResult(StartVerdict.STARTED, record)

    # ------------------------------------------------------------------ inputs

    def start(self, start: messages.CanaryStart) -> StartResult:
        """Apply a committed start of a canary."""
        result = self.judge(start)
        if result.verdict is not StartVerdict.STARTED:
            return result
        self._count += 1
        result.record.number = self._count
        self.records.append(result.record)
        del self.records[:-MAX_RECORDS]
        former = self._rules.get(start.service)
        withheld = [version for version in former.withheld if version != start.version] if former else []
        self._set_rule(result.record, start.version, withheld)
        return result

    def step(self, step: messages.CanaryStep) -> bool:
        """Apply a committed step; return False if it does not follow the current state."""
        record = self.newest(step.service)
        if record is None or record.number != step.number or record.phase != messages.CANARY_RUNNING:
            return False
        if step.step != record.step + 1:
            return False
        record.step = step.step
        record.phase = step.phase
        record.share_permille = min(step.share_permille, FULL_SHARE)
        record.reason = step.reason
        record.decided_at = step.decided_at
        withheld = list(self._rules[step.service].withheld)
        canary = record.version
        if step.phase == messages.CANARY_ROLLED_BACK:
            record.share_permille = 0
            withheld, canary = _add_withheld(withheld, [record.version]), ""
        elif step.phase == messages.CANARY_COMPLETED:
            record.share_permille = FULL_SHARE
            displaced = [version for version in step.displaced if version != record.version]
            withheld, canary = _add_withheld(withheld, displaced), ""
        self._set_rule(record, canary, withheld)
        return True

    def _set_rule(self, record: messages.CanaryRecord, canary: str, withheld: list[str]) -> None:
        self.revision += 1
        self._rules[record.service] = messages.CanaryRule(
            service=record.service,
            canary=canary,
            share_permille=record.share_permille if canary else 0,
            step=record.step,
            number=record.number,
            withheld=withheld,
        )

    # --------------------------------------------------------------- snapshots

    def fill_snapshot(self, snapshot: messages.StateSnapshot) -> None:
        """Write the state into a snapshot."""
        snapshot.canary_revision = self.revision
        snapshot.canary_count = self._count
        snapshot.canaries.extend(self.records)
        snapshot.canary_rules.extend(self._rules.values())

    @classmethod
    def restore(cls, snapshot: messages.StateSnapshot) -> "CanaryState":
        """Return the state that a snapshot contains."""
        state = cls()
        state.revision = snapshot.canary_revision
        state._count = snapshot.canary_count
        state.records = list(snapshot.canaries)
        state._rules = {rule.service: rule for rule in snapshot.canary_rules}
        return state


def _is_resent(start: messages.CanaryStart, newest: messages.CanaryRecord) -> bool:
    """Return whether a start is the order of the newest canary, sent again.

    A version that was rolled back may be started again after the duration of its canary.
    """
    if (start.version, start.duration_ms) != (newest.version, newest.duration_ms):
        return False
    window = max(RESEND_WINDOW, newest.duration_ms / 1000)
    return newest.phase != messages.CANARY_ROLLED_BACK or start.started_at < newest.started_at + window


def _add_withheld(withheld: list[str], versions: list[str]) -> list[str]:
    added = [version for version in versions if version not in withheld]
    return [*withheld, *added][-MAX_WITHHELD:]
