# SPDX-License-Identifier: BSD-3-Clause
"""Submissions of versions that wait for their outcome, and the replies to their operators."""

import time

from lanedock.clock import monotonic
from lanedock.config import ConfigTree, Version
from lanedock.errors import ErrorCode
from lanedock.rollout import RolloutProgress, SubmitResult, Verdict, fill_content
from lanedock.settings import ControlSettings
from lanedock.telemetry import Event, EventLogger, Metric, Metrics
from lanedock.wire import messages
from lanedock_daemon.control.replicated_log import AppliedEntry, ReplicatedLog
from lanedock_daemon.control.requests import Call, SubmitRequested

__all__ = ["Submission", "SubmissionQueue", "log_applied_entry", "submit"]

# Minimum interval between two progress reports to one operator, in seconds: a person does not
# notice more frequent updates.
PROGRESS_INTERVAL = 0.1
# Timeout of a submission whose request names none, in seconds: several times the 3 s within
# which a version has to be in force everywhere.
DEFAULT_TIMEOUT = 10.0
# Verdicts after which the state holds a record of the version, whose outcome is awaited.
_RECORDED_VERDICTS = (Verdict.STAGING, Verdict.KNOWN)


def _make_submit_command(item: SubmitRequested, is_direct: bool, base: ConfigTree | None) -> messages.Command:
    """Return the log command that submits a version.

    Parameters
    ----------
    item : SubmitRequested
    is_direct : bool
        Whether the version is accepted at once, without staging.
    base : ConfigTree or None
        The accepted version; the command holds only the difference from it.
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
    """A submitted version whose operator waits for the outcome.

    Parameters
    ----------
    call : Call
    request : SubmitRequest
    version : Version
    now : float
        Monotonic, seconds.
    settle_time : float, optional
        Maximum wait after acceptance, in seconds; None waits until the deadline.

    Attributes
    ----------
    base : int or None
        Number of the version that the submission is based on; None if the request states none.
    exempt_zones : set of str
        Availability zones that the request allows to be cut off.
    index : int
        Index at which the submission's log entry was proposed; 0 if none was.
    started_at, deadline : float
        Monotonic, seconds.
    reported_at : float
        Time of the last progress report: monotonic, in seconds; 0 before the first.
    accepted_at : float or None
        Time at which the version was first seen to be accepted: monotonic, in seconds.
    """

    __slots__ = (
        "accepted_at",
        "base",
        "call",
        "deadline",
        "exempt_zones",
        "index",
        "reported_at",
        "settle_time",
        "started_at",
        "version",
    )

    def __init__(self, call: Call, request: messages.SubmitRequest, version: Version, now: float, settle_time=None):
        self.call = call
        self.version = version
        self.base = request.base_version if request.has_base else None
        self.started_at = now
        self.deadline = now + (request.timeout_ms / 1000 if request.timeout_ms else DEFAULT_TIMEOUT)
        self.exempt_zones = set(request.allow_cut_off)
        self.index = 0
        self.settle_time = settle_time
        self.reported_at = 0.0
        self.accepted_at = None

    def reply(self, answer: int, code: ErrorCode | None = None, message: str = "") -> messages.SubmitReply:
        """Return a reply that names the submitted version."""
        return messages.SubmitReply(
            answer=answer,
            code=code.code if code else "",
            message=message or (code.meaning if code else ""),
            version=self.version.number,
            digest=self.version.digest,
        )


class SubmissionQueue:
    """Submissions that wait for their final reply.

    A submission waits first for its log entry to be applied, then for the
    version's outcome, then for the version to be in force everywhere.

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

    def add_proposed(self, submission: Submission, index: int) -> None:
        """Add a submission that waits until its entry, proposed at an index, is applied."""
        submission.index = index
        self._proposed[index] = submission

    def add_waiting(self, submission: Submission) -> None:
        """Add a submission of a version that was submitted before; it waits for the outcome."""
        self._waiting.append(submission)

    def handle_applied(self, index: int, result: SubmitResult | None) -> None:
        """Continue or finish the submission whose entry was proposed at an index.

        Parameters
        ----------
        index : int
            Index of the applied entry.
        result : SubmitResult or None
            None where the applied entry is not a submission.
        """
        submission = self._proposed.pop(index, None)
        if submission is None:
            return
        # Another leader's entry may have taken the index; the outcome of this submission is then not known.
        if result is None or not _is_verdict_on(submission, result):
            submission.call.finish(submission.reply(messages.ANSWER_NOT_KNOWN, ErrorCode.OUTCOME_NOT_KNOWN))
        elif result.verdict in _RECORDED_VERDICTS:
            self._waiting.append(submission)
        else:
            submission.call.finish(submission.reply(messages.ANSWER_NOT_RUN, result.code))

    def abandon_all(self) -> None:
        """Tell all waiting operators that the outcome is not known."""
        for submission in [*self._proposed.values(), *self._waiting]:
            submission.call.finish(submission.reply(messages.ANSWER_NOT_KNOWN, ErrorCode.OUTCOME_NOT_KNOWN))
        self._proposed = {}
        self._waiting = []

    def is_empty(self) -> bool:
        """Return whether no submission waits."""
        return not self._proposed and not self._waiting

    def advance(self, records: dict, find_progress) -> None:
        """Send final replies, progress reports and timeouts to the waiting operators.

        Parameters
        ----------
        records : dict of int to VersionRecord
        find_progress : callable
            Takes a version's number and the zones that may be cut off; returns
            a RolloutProgress and the names of instances missing in those zones.
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
            reply = self._evaluate(submission, records, find_progress, now)
            if reply is None:
                waiting.append(submission)
            else:
                submission.call.finish(reply)
        self._waiting = waiting

    def _evaluate(
        self, submission: Submission, records: dict, find_progress, now: float
    ) -> messages.SubmitReply | None:
        """Return the final reply, or None while the submission has to wait."""
        record = records.get(submission.version.number)
        if record is None:
            return submission.reply(messages.ANSWER_NOT_KNOWN, ErrorCode.OUTCOME_NOT_KNOWN)
        if record.outcome == messages.OUTCOME_ABORTED:
            return _make_abort_reply(submission, record)
        allowed = submission.exempt_zones | set(record.allow_cut_off)
        progress, cut_off = find_progress(submission.version.number, allowed)
        is_accepted = record.outcome == messages.OUTCOME_ACCEPTED
        if is_accepted and submission.accepted_at is None:
            submission.accepted_at = now
        if is_accepted and not progress.lagging:
            return self._make_in_force_reply(submission, progress, cut_off, now)
        is_settled = (
            is_accepted
            and submission.settle_time is not None
            and now - submission.accepted_at >= submission.settle_time
        )
        if is_settled or now >= submission.deadline:
            return self._make_unfinished_reply(submission, progress, is_accepted, now)
        self._report_progress(submission, progress, is_accepted, now)
        return None

    def _make_in_force_reply(self, submission, progress, cut_off: list[str], now: float) -> messages.SubmitReply:
        if cut_off:
            message = "accepted; not yet in force on unconnected instances in the zones that may be cut off"
            reply = submission.reply(messages.ANSWER_ACCEPTED, ErrorCode.IN_FORCE_LATE, message)
            reply.lagging.extend(cut_off)
        else:
            reply = submission.reply(messages.ANSWER_APPLIED, message="in force everywhere")
            self._metrics.time(Metric.CONVERGENCE, now - submission.accepted_at)
        return _fill_progress(reply, submission, progress, now)

    def _make_unfinished_reply(self, submission, progress, is_accepted: bool, now: float) -> messages.SubmitReply:
        if is_accepted:
            reply = submission.reply(messages.ANSWER_ACCEPTED, ErrorCode.IN_FORCE_LATE)
            reply.lagging.extend(progress.lagging)
        else:
            reply = submission.reply(messages.ANSWER_NOT_KNOWN, ErrorCode.OUTCOME_NOT_KNOWN)
        return _fill_progress(reply, submission, progress, now)

    def _report_progress(self, submission, progress, is_accepted: bool, now: float) -> None:
        if now - submission.reported_at < PROGRESS_INTERVAL:
            return
        submission.reported_at = now
        reply = submission.reply(messages.ANSWER_IN_PROGRESS, message="in force" if is_accepted else "staging")
        submission.call.reply(_fill_progress(reply, submission, progress, now))


def _is_verdict_on(submission: Submission, result: SubmitResult) -> bool:
    """Return whether a verdict belongs to a submission.

    A recorded version has one outcome, whichever submission it comes from. A refusal may be due to
    the base version, so then the base versions have to match, too.
    """
    if result.version != submission.version:
        return False
    return result.verdict in _RECORDED_VERDICTS or result.base == submission.base


def _make_abort_reply(submission: Submission, record) -> messages.SubmitReply:
    code = ErrorCode.find(record.reason) or ErrorCode.STAGING_TIMEOUT
    reply = submission.reply(messages.ANSWER_NOT_RUN, code)
    reply.findings.extend(record.findings)
    return reply


def _fill_progress(reply: messages.SubmitReply, submission: Submission, progress: RolloutProgress, now: float):
    reply.required = progress.required
    reply.staged = progress.staged
    reply.in_force = progress.in_force
    accepted_at = submission.accepted_at if submission.accepted_at is not None else now
    reply.stage_ms = (accepted_at - submission.started_at) * 1000
    reply.converge_ms = (now - accepted_at) * 1000
    return reply


def submit(item: SubmitRequested, cfg: ControlSettings, log: ReplicatedLog, submissions: SubmissionQueue) -> None:
    """Propose a submitted version as leader, and let its operator wait for the outcome."""
    version = item.tree.version
    settle_time = None if cfg.settle_ms is None else cfg.settle_ms / 1000
    submission = Submission(item.call, item.request, version, monotonic(), settle_time)
    result = log.state.evaluate_submission(version)
    if result.verdict is Verdict.KNOWN:
        submissions.add_waiting(submission)
        return
    # The log decides on every other verdict: a refusal, too, must come
    # from a leader that a quorum still follows.
    base = log.state.tree(log.state.accepted_version.number)
    index = log.propose(_make_submit_command(item, cfg.rollout == "direct", base))
    if index is None:
        # The lease ended after the caller's check.
        item.call.finish(submission.reply(messages.ANSWER_NOT_KNOWN, ErrorCode.OUTCOME_NOT_KNOWN))
        return
    submissions.add_proposed(submission, index)


def log_applied_entry(events: EventLogger, entry: AppliedEntry, accepted: int) -> None:
    """Log the result of an applied entry that submits, accepts or aborts a version.

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
