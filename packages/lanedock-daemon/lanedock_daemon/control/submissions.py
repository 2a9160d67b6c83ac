# SPDX-License-Identifier: BSD-3-Clause
"""Operators who wait for the outcome of their submission."""

import time

from lanedock.clock import monotonic
from lanedock.config import ConfigTree, Version
from lanedock.errors import ErrorCode
from lanedock.rollout import RolloutProgress, SubmitResult, Verdict, fill_content
from lanedock.telemetry import Event, EventLogger, Metric, Metrics
from lanedock.wire import messages
from lanedock_daemon.control.log import AppliedEntry
from lanedock_daemon.control.requests import Call, SubmitRequested

__all__ = ["Submission", "SubmissionQueue", "log_applied", "make_submit_command"]

# Seconds between two reports of progress to one operator: as often as a person sees.
PROGRESS_INTERVAL = 0.1
# Seconds that an operator waits where the request names no time: several times the 3 s
# within which a version has to be in force everywhere.
DEFAULT_TIMEOUT = 10.0
_TAKEN = (Verdict.STAGING, Verdict.KNOWN)


def make_submit_command(item: SubmitRequested, is_direct: bool, base: ConfigTree | None) -> messages.Command:
    """Make the command that has a submitted version judged, and staged or accepted at once.

    Parameters
    ----------
    item : SubmitRequested
    is_direct : bool
    base : ConfigTree or None
        The accepted version: what it lacks is sent.
    """
    version, request = item.tree.version, item.request
    command = messages.Command()
    submit = command.submit
    submit.version = version.number
    submit.digest = version.digest
    fill_content(submit, item.tree, base)
    submit.allow_cut_off.extend(request.allow_cut_off)
    submit.operator = request.operator
    submit.submitted_at = time.time()
    submit.has_base = request.has_base
    submit.base_version = request.base_version
    submit.direct = is_direct
    return command


class Submission:
    """One operator's wait for one version.

    Parameters
    ----------
    call : Call
    request : SubmitRequest
    version : Version
    now : float
        Monotonic, seconds.
    settle : float, optional
        Longest wait after acceptance, in seconds; to the deadline where left out.
    """

    __slots__ = (
        "accepted_at",
        "allowed_zones",
        "base",
        "call",
        "deadline",
        "index",
        "reported_at",
        "settle",
        "started_at",
        "version",
    )

    def __init__(self, call: Call, request: messages.SubmitRequest, version: Version, now: float, settle=None):
        self.call = call
        self.version = version
        self.base = request.base_version if request.has_base else None
        self.started_at = now
        self.deadline = now + (request.timeout_ms / 1000 if request.timeout_ms else DEFAULT_TIMEOUT)
        self.allowed_zones = set(request.allow_cut_off)
        self.index = 0
        self.settle = settle
        self.reported_at = 0.0
        self.accepted_at = None

    def reply(self, answer: int, code: ErrorCode | None = None, message: str = "") -> messages.SubmitReply:
        """Make a reply for this submission."""
        return messages.SubmitReply(
            answer=answer,
            code=code.code if code else "",
            message=message or (code.meaning if code else ""),
            version=self.version.number,
            digest=self.version.digest,
        )


class SubmissionQueue:
    """All operators who wait.

    A submission waits first for its entry to be applied, then for the
    version's outcome, then for it to be in force everywhere.

    Parameters
    ----------
    metrics : Metrics
    """

    def __init__(self, metrics: Metrics):
        self._metrics = metrics
        self._proposed: dict[int, Submission] = {}
        self._waiting: list[Submission] = []

    def __repr__(self) -> str:
        return f"<SubmissionQueue proposed={len(self._proposed)} waiting={len(self._waiting)}>"

    def wait_for_entry(self, submission: Submission, index: int) -> None:
        """Wait for a proposed entry."""
        submission.index = index
        self._proposed[index] = submission

    def wait_for_outcome(self, submission: Submission) -> None:
        """Wait for the outcome of a version that is known already."""
        self._waiting.append(submission)

    def settle(self, index: int, result: SubmitResult | None) -> None:
        """Note that the entry at an index was applied."""
        submission = self._proposed.pop(index, None)
        if submission is None:
            return
        # Another leader's entry may have taken the index: then nothing is known of this order.
        if result is None or not _is_verdict_on(submission, result):
            submission.call.finish(submission.reply(messages.ANSWER_NOT_KNOWN, ErrorCode.OUTCOME_NOT_KNOWN))
        elif result.verdict in _TAKEN:
            self._waiting.append(submission)
        else:
            submission.call.finish(submission.reply(messages.ANSWER_NOT_RUN, result.code))

    def abandon_all(self) -> None:
        """Answer everybody that the outcome is not known here any more."""
        for submission in [*self._proposed.values(), *self._waiting]:
            submission.call.finish(submission.reply(messages.ANSWER_NOT_KNOWN, ErrorCode.OUTCOME_NOT_KNOWN))
        self._proposed = {}
        self._waiting = []

    def is_empty(self) -> bool:
        """Tell whether nobody waits."""
        return not self._proposed and not self._waiting

    def advance(self, records: dict, look_up) -> None:
        """Report to those who wait how far their version has come.

        Parameters
        ----------
        records : dict of int to VersionRecord
        look_up : callable
            Takes a version's number and the allowed zones, returns a
            RolloutProgress and the names of instances missing in those zones.
        """
        now = monotonic()
        for index, submission in list(self._proposed.items()):
            if now >= submission.deadline:
                del self._proposed[index]
                submission.call.finish(submission.reply(messages.ANSWER_NOT_KNOWN, ErrorCode.OUTCOME_NOT_KNOWN))
        waiting = []
        for submission in self._waiting:
            if submission.call.is_abandoned:
                continue
            reply = self._judge(submission, records, look_up, now)
            if reply is None:
                waiting.append(submission)
            else:
                submission.call.finish(reply)
        self._waiting = waiting

    def _judge(self, submission: Submission, records: dict, look_up, now: float) -> messages.SubmitReply | None:
        """Return the final reply, or None where it has to wait on."""
        record = records.get(submission.version.number)
        if record is None:
            return submission.reply(messages.ANSWER_NOT_KNOWN, ErrorCode.OUTCOME_NOT_KNOWN)
        if record.outcome == messages.OUTCOME_ABORTED:
            return _make_abort_reply(submission, record)
        allowed = submission.allowed_zones | set(record.allow_cut_off)
        progress, cut_off = look_up(submission.version.number, allowed)
        is_accepted = record.outcome == messages.OUTCOME_ACCEPTED
        if is_accepted and submission.accepted_at is None:
            submission.accepted_at = now
        if is_accepted and not progress.lagging:
            return self._make_final(submission, progress, cut_off, now)
        is_settled = is_accepted and submission.settle is not None and now - submission.accepted_at >= submission.settle
        if is_settled or now >= submission.deadline:
            return self._make_late(submission, progress, is_accepted, now)
        self._report_progress(submission, progress, is_accepted, now)
        return None

    def _make_final(self, submission, progress, cut_off: list[str], now: float) -> messages.SubmitReply:
        if cut_off:
            message = "accepted for good; not in force yet in the zones that were allowed to be cut off"
            reply = submission.reply(messages.ANSWER_ACCEPTED, ErrorCode.IN_FORCE_LATE, message)
            reply.lagging.extend(cut_off)
        else:
            reply = submission.reply(messages.ANSWER_APPLIED, message="in force everywhere")
            self._metrics.time(Metric.CONVERGENCE, now - submission.accepted_at)
        return _fill(reply, submission, progress, now)

    def _make_late(self, submission, progress, is_accepted: bool, now: float) -> messages.SubmitReply:
        if is_accepted:
            reply = submission.reply(messages.ANSWER_ACCEPTED, ErrorCode.IN_FORCE_LATE)
            reply.lagging.extend(progress.lagging)
        else:
            reply = submission.reply(messages.ANSWER_NOT_KNOWN, ErrorCode.OUTCOME_NOT_KNOWN)
        return _fill(reply, submission, progress, now)

    def _report_progress(self, submission, progress, is_accepted: bool, now: float) -> None:
        if now - submission.reported_at < PROGRESS_INTERVAL:
            return
        submission.reported_at = now
        reply = submission.reply(messages.ANSWER_IN_PROGRESS, message="in force" if is_accepted else "staging")
        submission.call.reply(_fill(reply, submission, progress, now))


def _is_verdict_on(submission: Submission, result: SubmitResult) -> bool:
    """Tell whether a verdict is on this order; once a version is taken, whatever it was made from."""
    if result.version != submission.version:
        return False
    return result.verdict in _TAKEN or result.base == submission.base


def _make_abort_reply(submission: Submission, record) -> messages.SubmitReply:
    code = ErrorCode.find(record.reason) or ErrorCode.STAGING_TIMEOUT
    reply = submission.reply(messages.ANSWER_NOT_RUN, code)
    reply.findings.extend(record.findings)
    return reply


def _fill(reply: messages.SubmitReply, submission: Submission, progress: RolloutProgress, now: float):
    reply.required = progress.required
    reply.staged = progress.staged
    reply.in_force = progress.in_force
    accepted_at = submission.accepted_at if submission.accepted_at is not None else now
    reply.stage_ms = (accepted_at - submission.started_at) * 1000
    reply.converge_ms = (now - accepted_at) * 1000
    return reply


def log_applied(events: EventLogger, entry: AppliedEntry, accepted: int) -> None:
    """Log what became of an entry on a version.

    Parameters
    ----------
    events : EventLogger
    entry : AppliedEntry
    accepted : int
        Number of the accepted version.
    """
    command = entry.command
    body = command.WhichOneof("body")
    if body == "accept":
        events.emit(Event.ACCEPTED, version=command.accept.version)
    elif body == "abort":
        events.emit(Event.ABORTED, version=command.abort.version, reason=command.abort.reason)
    elif body == "submit" and entry.result.verdict is Verdict.STAGING:
        event = Event.ACCEPTED if command.submit.direct else Event.SUBMITTED
        events.emit(event, version=command.submit.version)
    elif body == "submit":
        verdict = entry.result.verdict.value
        events.emit(Event.SUBMISSION_REFUSED, version=command.submit.version, verdict=verdict, accepted=accepted)
