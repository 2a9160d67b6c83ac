# SPDX-License-Identifier: BSD-3-Clause
"""The leader's decisions on running canaries: their share of requests, their end, and the reasons.

A canary starts with a small share (the trial) and is judged continuously. Then a short ramp
raises its share to all requests. The ramp starts late enough to detect a version that turns bad
after some seconds, and early enough to finish in time. The canary is completed after every
daemon has confirmed that it sends all requests to it.
"""

from lanedock.canary.analysis import CusumAnalysis
from lanedock.canary.capacity import CanaryCapacity
from lanedock.canary.run import ROTATION_INTERVAL, CanaryPolicy, CanaryRun
from lanedock.canary.state import FULL_SHARE, CanaryState
from lanedock.canary.summaries import UpstreamSummary
from lanedock.wire import messages

__all__ = ["CanaryController", "make_step"]

# Share of the ramp, in thousandths.
RAMP_SHARE = 400
# Seconds for which the canary is observed at the share of the ramp, and then at the full share.
RAMP_DURATION = 0.8
FULL_SHARE_DURATION = 0.8
# Upper bound of the time, in seconds, to wait for requests in progress at stable upstreams.
DRAIN_TIMEOUT = 2.0
# Answers of a canary that are required before its ramp.
MIN_ANSWERS = 20
# Slots that the canary needs before its ramp, as a fraction of the stable version's, and the lower fraction that is
# enough once the trial could have ended a while ago.
CAPACITY_FRACTION = 0.9
CAPACITY_FRACTION_LATE = 0.6
# Log Bayes factor by which the evidence against a version may exceed its limits where a bad version could not get more
# requests than are allowed.
HARMLESS_MARGIN = 3.0
# Seconds between two evaluations of the evidence.
EVALUATION_INTERVAL = 0.1
# Seconds after which a step that was not applied is proposed again.
PROPOSAL_TIMEOUT = 0.5


class CanaryController:
    """Decides on the steps of running canaries. Does no I/O; each new leader creates its own.

    Parameters
    ----------
    state : CanaryState
    policy : CanaryPolicy
    make_analysis : callable, optional
        Called without arguments for each canary; returns an `Analysis`.
    """

    def __init__(self, state: CanaryState, policy: CanaryPolicy, make_analysis=CusumAnalysis):
        self._state = state
        self._policy = policy
        self._make_analysis = make_analysis
        self._runs: dict[int, CanaryRun] = {}
        self._next_evaluation_at = 0.0

    def __repr__(self) -> str:
        return f"<CanaryController runs={sorted(self._runs)}>"

    def set_state(self, state: CanaryState) -> None:
        """Replace the state, for instance after it was restored from a snapshot."""
        self._state = state

    def decide(
        self,
        daemons: dict[str, messages.DaemonState],
        endpoints: list[messages.Endpoint],
        now: float,
        wall: float,
    ) -> list[messages.Command]:
        """Return the steps to propose.

        Parameters
        ----------
        daemons : dict of str to DaemonState
            States of the connected daemons.
        endpoints : list of Endpoint
            Endpoints of all services.
        now, wall : float
            Monotonic and wall-clock time, in seconds.
        """
        running = self._state.running()
        if not running or now < self._next_evaluation_at:
            self._drop_ended(running)
            return []
        self._next_evaluation_at = now + EVALUATION_INTERVAL
        commands = []
        for record in running:
            step = self._evaluate(record, daemons, endpoints, now, wall)
            if step is not None:
                step.decided_at = wall
                commands.append(messages.Command(canary_step=step))
        return commands

    def _drop_ended(self, running: list[messages.CanaryRecord]) -> None:
        numbers = {record.number for record in running}
        if self._runs.keys() - numbers:
            self._runs = {number: run for number, run in self._runs.items() if number in numbers}

    def _evaluate(self, record, daemons: dict, endpoints: list, now: float, wall: float) -> messages.CanaryStep | None:
        run = self._runs.get(record.number)
        if run is None:
            # Only the wall clock tells a new leader for how long the canary has been running.
            age = min(max(0.0, wall - record.started_at), record.duration_ms / 1000)
            run = CanaryRun(record, self._policy, self._make_analysis(), now - age)
            self._runs[record.number] = run
        run.note_step(record, self._state.revision, now)
        if record.step:
            run.analysis.begin_trial(now)
        run.analysis.note(run.evidence.take(daemons), now)
        if run.confirmed_at is None and all(state.canary_revision >= run.revision for state in daemons.values()):
            run.confirmed_at = now
        if run.proposed > record.step and now - run.proposed_at < PROPOSAL_TIMEOUT:
            return None
        capacity = CanaryCapacity(self._state.rule(record.service), endpoints, daemons)
        step = self._judge(record, run, capacity, now)
        if step is not None:
            run.proposed, run.proposed_at = step.step, now
        return step

    def _judge(self, record, run: CanaryRun, capacity: CanaryCapacity, now: float) -> messages.CanaryStep | None:
        finding = run.analysis.finding()
        if finding:
            return make_step(record, messages.CANARY_ROLLED_BACK, 0, finding)
        if record.share_permille >= FULL_SHARE:
            return self._judge_full(record, run, capacity, now)
        if record.share_permille >= RAMP_SHARE:
            return self._judge_ramp(record, run, now)
        if run.elapsed(now) >= run.schedule.last_decision:
            reason = f"no proof in time that it is good: {run.waits_for}"
            return make_step(record, messages.CANARY_ROLLED_BACK, 0, reason)
        return self._judge_trial(record, run, capacity, now)

    def _judge_trial(self, record, run: CanaryRun, capacity: CanaryCapacity, now: float):
        running = messages.CANARY_RUNNING
        if not capacity.canary:
            run.waits_for = "no upstream of the version takes work"
            return None
        is_cold = run.analysis.is_warming_up(now)
        share = run.trial_share(now)
        if not record.step:
            return make_step(record, running, share, "trial")
        run.waits_for = _find_obstacle(run, capacity, now)
        if not run.waits_for:
            return make_step(record, running, RAMP_SHARE, "ramp")
        if run.is_step_cold == is_cold and now - run.step_at < ROTATION_INTERVAL:
            return None
        run.is_step_cold = is_cold
        return make_step(record, running, share, "trial")

    def _judge_ramp(self, record, run: CanaryRun, now: float):
        run.waits_for = "ramp"
        if run.confirmed_at is None or now - run.step_at < RAMP_DURATION:
            return None
        return make_step(record, messages.CANARY_RUNNING, FULL_SHARE, "all of the load")

    def _judge_full(self, record, run: CanaryRun, capacity: CanaryCapacity, now: float):
        if run.confirmed_at is None:
            run.waits_for = "daemons that have not confirmed"
        elif now - run.confirmed_at < FULL_SHARE_DURATION:
            run.waits_for = "watching all of the load"
        elif capacity.is_busy and now - run.confirmed_at < DRAIN_TIMEOUT:
            run.waits_for = "requests in progress at stable upstreams"
        else:
            answered = run.evidence.canary.answered
            step = make_step(record, messages.CANARY_COMPLETED, FULL_SHARE, f"as good in {answered} answers")
            step.displaced.extend(sorted(capacity.versions))
            return step
        if run.elapsed(now) < 1:
            return None
        return make_step(record, messages.CANARY_ROLLED_BACK, 0, f"not moved in time: {run.waits_for}")

    def comparison_figures(self, record: messages.CanaryRecord) -> dict[str, float]:
        """Return the figures of a canary's comparison with the stable version, for the log."""
        run = self._runs.get(record.number)
        return run.analysis.figures() if run is not None else {}

    def upstream_summaries(self, record: messages.CanaryRecord) -> list[UpstreamSummary]:
        """Return summaries of the answers of a canary's upstreams and the stable ones, for the log."""
        run = self._runs.get(record.number)
        return run.analysis.summaries() if run is not None else []

    def progress(self, record: messages.CanaryRecord, now: float) -> messages.CanaryProgress:
        """Return the progress of a canary, for operators."""
        progress = messages.CanaryProgress(record=record)
        run = self._runs.get(record.number)
        if run is None:
            return progress
        if record.phase == messages.CANARY_RUNNING:
            progress.left_ms = max(0, int(record.duration_ms - 1000 * (now - run.begun_at)))
        progress.canary_sent = run.evidence.canary.sent
        progress.canary_answered = run.evidence.canary.answered
        progress.canary_failed = run.evidence.canary.failed
        progress.stable_answered = run.evidence.stable.answered
        progress.stable_failed = run.evidence.stable.failed
        progress.waits_for = run.waits_for
        return progress


def _find_obstacle(run: CanaryRun, capacity: CanaryCapacity, now: float) -> str:
    """Return the reason why the ramp can't start yet; empty if it can."""
    elapsed = run.elapsed(now)
    if elapsed < run.schedule.trial_end:
        return "trial"
    if run.evidence.canary.answered < MIN_ANSWERS:
        return f"{run.evidence.canary.answered} answers of {MIN_ANSWERS}"
    needed = (CAPACITY_FRACTION_LATE if run.schedule.is_late(elapsed) else CAPACITY_FRACTION) * capacity.stable
    if capacity.canary < needed:
        return f"{capacity.canary} slots of {needed:.0f}"
    margin = HARMLESS_MARGIN if run.is_harmless(now) else run.schedule.margin(elapsed)
    return run.analysis.missing_proof(margin)


def make_step(record: messages.CanaryRecord, phase: int, share: int, reason: str) -> messages.CanaryStep:
    """Return the step that follows the one in force; `share` is in thousandths."""
    return messages.CanaryStep(
        service=record.service,
        number=record.number,
        step=record.step + 1,
        phase=phase,
        share_permille=share,
        reason=reason,
    )
