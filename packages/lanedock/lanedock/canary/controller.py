# SPDX-License-Identifier: BSD-3-Clause
"""The leader's decisions on running canaries: their share of requests, their end, and the reasons.

A canary starts with a small share (the trial) and is judged continuously. Then a short ramp
raises its share to all requests. The ramp starts late enough to detect a version that turns bad
after some seconds, and early enough to finish in time. The canary is completed after every
daemon has confirmed that it sends all requests to it.
"""

from lanedock.canary.analysis import Analysis, CusumAnalysis
from lanedock.canary.evidence import Evidence
from lanedock.canary.pools import Pool, classify
from lanedock.canary.state import FULL_SHARE, CanaryState
from lanedock.canary.summaries import UpstreamSummary
from lanedock.wire import messages

__all__ = ["CanaryController", "CanaryPolicy"]

# Fractions of a canary's duration: from when the ramp may start, from when it starts even if a bad
# version would get more requests than allowed, and until when the ramp has to be finished.
RAMP_START = 0.5
RAMP_START_OVER_BUDGET = 0.65
RAMP_DEADLINE = 0.85
# Fraction of the allowed share that the trial uses; the rest is for the ramp.
TRIAL_FRACTION = 0.8
# Fraction of the allowed slack that the trial uses in addition.
TRIAL_SLACK_FRACTION = 0.5
# The same, and the factor of the share, for a trial that goes on for want of proof.
LATE_TRIAL_SLACK_FRACTION = 0.8
LATE_TRIAL_FACTOR = 1.5
# Share while the trial is over its budget, and share of the ramp, in thousandths.
REDUCED_SHARE = 20
RAMP_SHARE = 300
# Seconds after which the trial continues with other upstreams of the canary.
ROTATION_INTERVAL = 1.0
# Seconds for which the canary is observed at the share of the ramp, and then at the full share.
RAMP_DURATION = 0.8
FULL_SHARE_DURATION = 0.8
# Upper bound of the time, in seconds, to wait for requests in progress at stable upstreams.
DRAIN_TIMEOUT = 2.0
# Answers of a canary that are required before its ramp.
MIN_ANSWERS = 20
# Slots that the canary needs before its ramp, as a fraction of the stable version's, and the
# lower fraction that is enough from `RAMP_START_OVER_BUDGET` on.
CAPACITY_FRACTION = 0.9
CAPACITY_FRACTION_LATE = 0.6
# Seconds between two evaluations of the evidence.
EVALUATION_INTERVAL = 0.1
# Seconds after which a step that was not applied is proposed again.
PROPOSAL_TIMEOUT = 0.5
# Fraction of the remaining time whose expected requests count towards the allowed number.
EXPECTED_FRACTION = 0.7


class CanaryPolicy:
    """Limit of the requests that a bad version may get before it is detected.

    Parameters
    ----------
    share : float
        Share of the service's requests, 0 to 1.
    slack : int
        Number of requests allowed in addition to that share.
    """

    __slots__ = ("share", "slack")

    def __init__(self, share: float = 0.1, slack: int = 50):
        self.share = share
        self.slack = slack

    def __repr__(self) -> str:
        return f"<CanaryPolicy share={self.share} slack={self.slack}>"

    @property
    def trial_share(self) -> int:
        """Share of requests in the trial, in thousandths."""
        return max(1, int(FULL_SHARE * self.share * TRIAL_FRACTION))


class _CanaryRun:
    """The leader's state of one running canary."""

    __slots__ = (
        "analysis",
        "begun_at",
        "confirmed_at",
        "evidence",
        "number",
        "proposed",
        "proposed_at",
        "revision",
        "step",
        "step_at",
        "waits_for",
    )

    def __init__(self, record: messages.CanaryRecord, analysis: Analysis, begun_at: float):
        self.number = record.number
        self.begun_at = begun_at
        self.evidence = Evidence(record.number)
        self.analysis = analysis
        self.step = -1
        self.step_at = 0.0
        self.revision = 0
        self.confirmed_at: float | None = None
        self.proposed = -1
        self.proposed_at = 0.0
        self.waits_for = ""

    def note_step(self, record: messages.CanaryRecord, revision: int, now: float) -> None:
        """Record which step is in force."""
        if record.step != self.step:
            self.step = record.step
            self.step_at = now
            self.revision = revision
            self.confirmed_at = None

    def rate(self, now: float) -> float:
        """Return the service's answered requests per second."""
        answered = self.evidence.stable.answered + self.evidence.canary.answered
        return answered / max(1.0, now - self.begun_at)


class _Capacity:
    """Slots of a service's stable and canary upstreams, and the versions that the canary displaces."""

    __slots__ = ("canary", "is_busy", "stable", "versions")

    def __init__(
        self,
        rule: messages.CanaryRule,
        endpoints: list[messages.Endpoint],
        daemons: dict[str, messages.DaemonState],
    ):
        self.canary = self.stable = 0
        self.versions: set[str] = set()
        self.is_busy = False
        for endpoint in endpoints:
            if endpoint.service != rule.service:
                continue
            pool = classify(rule, endpoint.version)
            if pool is Pool.STABLE:
                self.versions.add(endpoint.version)
                state = daemons.get(endpoint.instance)
                self.is_busy = self.is_busy or (state is not None and state.is_displaced_busy)
            if endpoint.leaving:
                continue
            slots = endpoint.slots or 1
            self.canary += slots if pool is Pool.CANARY else 0
            self.stable += slots if pool is Pool.STABLE else 0


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
        self._runs: dict[int, _CanaryRun] = {}
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
            run = self._runs[record.number] = _CanaryRun(record, self._make_analysis(), now - age)
        run.note_step(record, self._state.revision, now)
        run.analysis.note(run.evidence.take(daemons), now)
        if run.confirmed_at is None and all(state.canary_revision >= run.revision for state in daemons.values()):
            run.confirmed_at = now
        if run.proposed > record.step and now - run.proposed_at < PROPOSAL_TIMEOUT:
            return None
        capacity = _Capacity(self._state.rule(record.service), endpoints, daemons)
        step = self._judge(record, run, capacity, now)
        if step is not None:
            run.proposed, run.proposed_at = step.step, now
        return step

    def _judge(self, record, run: _CanaryRun, capacity: _Capacity, now: float) -> messages.CanaryStep | None:
        finding = run.analysis.finding()
        if finding:
            return make_step(record, messages.CANARY_ROLLED_BACK, 0, finding)
        elapsed_fraction = 1000 * (now - run.begun_at) / record.duration_ms
        if record.share_permille >= FULL_SHARE:
            return self._judge_full(record, run, capacity, elapsed_fraction, now)
        if elapsed_fraction >= RAMP_DEADLINE:
            reason = f"no proof in time that it is good: {run.waits_for}"
            return make_step(record, messages.CANARY_ROLLED_BACK, 0, reason)
        if record.share_permille >= RAMP_SHARE:
            return self._judge_ramp(record, run, now)
        return self._judge_trial(record, run, capacity, elapsed_fraction, now)

    def _judge_trial(self, record, run: _CanaryRun, capacity: _Capacity, elapsed_fraction: float, now: float):
        running = messages.CANARY_RUNNING
        if not capacity.canary:
            run.waits_for = "no upstream of the version takes work"
            return None
        share = self._trial_share(record, run, now)
        slack_fraction = TRIAL_SLACK_FRACTION
        if elapsed_fraction >= RAMP_START:
            share, slack_fraction = min(RAMP_SHARE, int(LATE_TRIAL_FACTOR * share)), LATE_TRIAL_SLACK_FRACTION
        if not record.step:
            return make_step(record, running, share, "trial")
        run.waits_for = self._find_obstacle(run, capacity, elapsed_fraction, now)
        if not run.waits_for:
            return make_step(record, running, RAMP_SHARE, "ramp")
        if now - run.step_at < ROTATION_INTERVAL:
            return None
        if self._is_over_budget(run, slack_fraction):
            share = min(share, REDUCED_SHARE)
        return make_step(record, running, share, "trial")

    def _find_obstacle(self, run: _CanaryRun, capacity: _Capacity, elapsed_fraction: float, now: float) -> str:
        """Return the reason why the ramp can't start yet; empty if it can."""
        if elapsed_fraction < RAMP_START:
            return "trial"
        if run.evidence.canary.answered < MIN_ANSWERS:
            return f"{run.evidence.canary.answered} answers of {MIN_ANSWERS}"
        is_late = elapsed_fraction >= RAMP_START_OVER_BUDGET
        needed = (CAPACITY_FRACTION_LATE if is_late else CAPACITY_FRACTION) * capacity.stable
        if capacity.canary < needed:
            return f"{capacity.canary} slots of {needed:.0f}"
        if not is_late and not self._ramp_fits_budget(run, elapsed_fraction, now):
            return "the ramp would cost more requests than a bad version may get"
        if is_late and self._rest_fits_budget(run, elapsed_fraction, now):
            return ""
        return run.analysis.missing_proof(is_late)

    def _trial_share(self, record, run: _CanaryRun, now: float) -> int:
        """Return the share of the trial, in thousandths; the fewer requests a service gets, the higher it is."""
        expected = run.rate(now) * RAMP_START * record.duration_ms / 1000
        if not expected:
            return self._policy.trial_share
        extra = TRIAL_SLACK_FRACTION * self._policy.slack / expected
        return min(RAMP_SHARE, self._policy.trial_share + int(FULL_SHARE * extra))

    def _is_over_budget(self, run: _CanaryRun, slack_fraction: float) -> bool:
        """Return whether the trial has got more requests than its budget."""
        seen = run.evidence.stable.answered + run.evidence.canary.sent
        return run.evidence.canary.sent > self._policy.share * seen + slack_fraction * self._policy.slack

    def _ramp_fits_budget(self, run: _CanaryRun, elapsed_fraction: float, now: float) -> bool:
        rate = run.rate(now)
        elapsed = now - run.begun_at
        remaining = elapsed / elapsed_fraction - elapsed
        allowed = self._allowed_requests(run, remaining * rate)
        ramp_requests = rate * (RAMP_DURATION * RAMP_SHARE / FULL_SHARE + FULL_SHARE_DURATION)
        return run.evidence.canary.sent + ramp_requests <= allowed

    def _rest_fits_budget(self, run: _CanaryRun, elapsed_fraction: float, now: float) -> bool:
        """Return whether a bad version may get all requests that are still expected."""
        elapsed = now - run.begun_at
        expected = (elapsed / elapsed_fraction - elapsed) * run.rate(now)
        return run.evidence.canary.sent + expected <= self._allowed_requests(run, expected)

    def _allowed_requests(self, run: _CanaryRun, expected: float) -> float:
        """Return how many requests a bad version may get if the service gets `expected` more."""
        seen = run.evidence.stable.answered + run.evidence.canary.sent
        return self._policy.share * (seen + EXPECTED_FRACTION * expected) + self._policy.slack

    def _judge_ramp(self, record, run: _CanaryRun, now: float):
        run.waits_for = "ramp"
        if run.confirmed_at is None or now - run.step_at < RAMP_DURATION:
            return None
        return make_step(record, messages.CANARY_RUNNING, FULL_SHARE, "all of the load")

    def _judge_full(self, record, run: _CanaryRun, capacity: _Capacity, elapsed_fraction: float, now: float):
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
        if elapsed_fraction < 1:
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
