# SPDX-License-Identifier: BSD-3-Clause
"""The replicated state of canary releases: which there were, and the rules that daemons follow.

An entry is judged when it is applied. A step names the canary and the step before it, so
that one which was decided on by a leader of the past changes nothing.
"""

from enum import Enum

from lanedock.errors import ErrorCode
from lanedock.wire import messages

__all__ = ["RESEND_WINDOW", "CanaryState", "StartResult", "StartVerdict"]

# Seconds for which an order like the last one is taken for that one, sent again: an operator
# who got no answer resends for a few seconds.
RESEND_WINDOW = 10.0
# Canaries that are remembered, for operators.
MAX_RECORDS = 200
# Versions that are withheld in one service; the oldest are forgotten first.
MAX_WITHHELD = 32
# All of a service's requests, in thousandths.
FULL_SHARE = 1000


class StartVerdict(Enum):
    """What a start came to."""

    STARTED = "started"
    KNOWN = "known"
    BUSY = "busy"
    CURRENT = "current"


_CODES = {StartVerdict.BUSY: ErrorCode.CANARY_RUNS, StartVerdict.CURRENT: ErrorCode.CANARY_NOT_NEW}


class StartResult:
    """The verdict on a start.

    Parameters
    ----------
    verdict : StartVerdict
    record : CanaryRecord
        The new canary, or the one that stands against it.
    """

    __slots__ = ("record", "verdict")

    def __init__(self, verdict: StartVerdict, record: messages.CanaryRecord):
        self.verdict = verdict
        self.record = record

    @property
    def code(self) -> ErrorCode | None:
        """Why it was refused; None where it stands."""
        return _CODES.get(self.verdict)

    def __repr__(self) -> str:
        return f"<StartResult {self.verdict.value} {self.record.service} {self.record.version}>"


class CanaryState:
    """All canaries that are remembered, and the rules of the services that had one.

    Attributes
    ----------
    revision : int
        Grows with every change.
    records : list of CanaryRecord
        The oldest first.
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
        """Return the newest canary of a service, or None where it never had one."""
        return next((record for record in reversed(self.records) if record.service == service), None)

    def running(self) -> list[messages.CanaryRecord]:
        """Return the canaries that are neither completed nor rolled back."""
        return [record for record in self.records if record.phase == messages.CANARY_RUNNING]

    def rule(self, service: str) -> messages.CanaryRule | None:
        """Return the rule of a service, or None where it never had a canary."""
        return self._rules.get(service)

    def plan(self) -> messages.CanaryPlan:
        """Return what daemons follow."""
        rules = [self._rules[service] for service in sorted(self._rules)]
        return messages.CanaryPlan(revision=self.revision, rules=rules)

    def judge(self, start: messages.CanaryStart) -> StartResult:
        """Tell what a start would come to now; the record of one that would begin has no number."""
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
        """Apply a committed start."""
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
        """Apply a committed step; False where it was decided on another state than this."""
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
            withheld, canary = _add(withheld, [record.version]), ""
        elif step.phase == messages.CANARY_COMPLETED:
            record.share_permille = FULL_SHARE
            displaced = [version for version in step.displaced if version != record.version]
            withheld, canary = _add(withheld, displaced), ""
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
        """Put the whole state into a snapshot."""
        snapshot.canary_revision = self.revision
        snapshot.canary_count = self._count
        snapshot.canaries.extend(self.records)
        snapshot.canary_rules.extend(self._rules.values())

    @classmethod
    def restore(cls, snapshot: messages.StateSnapshot) -> "CanaryState":
        """Make the state that a snapshot holds."""
        state = cls()
        state.revision = snapshot.canary_revision
        state._count = snapshot.canary_count
        state.records = list(snapshot.canaries)
        state._rules = {rule.service: rule for rule in snapshot.canary_rules}
        return state


def _is_resent(start: messages.CanaryStart, newest: messages.CanaryRecord) -> bool:
    """Tell whether a start is the order of the newest canary, sent again.

    One that was rolled back may be ordered anew once the time that it had is over.
    """
    if (start.version, start.duration_ms) != (newest.version, newest.duration_ms):
        return False
    window = max(RESEND_WINDOW, newest.duration_ms / 1000)
    return newest.phase != messages.CANARY_ROLLED_BACK or start.started_at < newest.started_at + window


def _add(withheld: list[str], versions: list[str]) -> list[str]:
    added = [version for version in versions if version not in withheld]
    return [*withheld, *added][-MAX_WITHHELD:]
