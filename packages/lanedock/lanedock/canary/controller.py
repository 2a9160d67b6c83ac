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

# Fractions of a canary's duration between which the trial ends. The later it ends, the later a version may turn bad
# and still be detected before it gets all requests.
EARLIEST_TRIAL_END, LATEST_TRIAL_END = 0.5, 0.75
# Fraction of the duration after which a canary without proof is rolled back.
LATEST_DECISION = 0.85
# Shortest time, as a fraction of the duration, in which proof may still be found after the trial's end.
MIN_EXTENSION = 0.05
# Seconds that the ramp and the full share take, usually and at least.
MOVE_TIME = 3.5
MIN_MOVE_TIME = 2.6
# Fraction of the allowed requests that the trial may use.
TRIAL_FRACTION = 0.95
# Requests up to which the trial seeks evidence at more than the policy's share, and the seconds in which it seeks them.
TRIAL_REQUESTS = 250
TRIAL_TIME = 3.0
# Seconds that the last answers of the trial take to be counted.
ANSWER_TIME = 0.5
# Fraction of the policy's share that the canary gets while its upstreams are cold.
WARM_UP_FRACTION = 0.5
# Fraction of the policy's share that the trial of a service with many requests uses.
POLICY_FRACTION = 0.8
# Bounds of the trial's share, and the share of the ramp, in thousandths.
MIN_TRIAL_SHARE, MAX_TRIAL_SHARE = 20, 330
RAMP_SHARE = 400
# Seconds after which the trial continues with other upstreams of the canary.
ROTATION_INTERVAL = 1.0
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
# Log Bayes factor by which the evidence against a version has to stay below its limits at the trial's end; there is
# time to find more proof, so that the margin falls to 0 until the last decision.
EARLY_MARGIN = -4.0
# The same where a bad version could not get more requests than are allowed: it may exceed the limits.
HARMLESS_MARGIN = 3.0
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
        """Share of requests in the trial of a service with many requests, in thousandths."""
        return max(1, int(FULL_SHARE * self.share * POLICY_FRACTION))


class _CanaryRun:
    """The leader's state of one running canary."""

    __slots__ = (
        "analysis",
        "begun_at",
        "confirmed_at",
        "evidence",
        "is_step_cold",
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
        self.is_step_cold = True

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
        if record.step:
            run.analysis.begin_trial(now)
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
        if record.share_permille >= RAMP_SHARE:
            return self._judge_ramp(record, run, now)
        if elapsed_fraction >= _last_decision(record):
            reason = f"no proof in time that it is good: {run.waits_for}"
            return make_step(record, messages.CANARY_ROLLED_BACK, 0, reason)
        return self._judge_trial(record, run, capacity, elapsed_fraction, now)

    def _judge_trial(self, record, run: _CanaryRun, capacity: _Capacity, elapsed_fraction: float, now: float):
        running = messages.CANARY_RUNNING
        if not capacity.canary:
            run.waits_for = "no upstream of the version takes work"
            return None
        is_cold = run.analysis.is_warming_up(now)
        share = self._trial_share(record, run, elapsed_fraction, now)
        if not record.step:
            return make_step(record, running, share, "trial")
        run.waits_for = self._find_obstacle(record, run, capacity, elapsed_fraction, now)
        if not run.waits_for:
            return make_step(record, running, RAMP_SHARE, "ramp")
        if run.is_step_cold == is_cold and now - run.step_at < ROTATION_INTERVAL:
            return None
        run.is_step_cold = is_cold
        return make_step(record, running, share, "trial")

    def _find_obstacle(self, record, run: _CanaryRun, capacity: _Capacity, elapsed_fraction: float, now: float) -> str:
        """Return the reason why the ramp can't start yet; empty if it can."""
        if elapsed_fraction < _trial_end(record):
            return "trial"
        if run.evidence.canary.answered < MIN_ANSWERS:
            return f"{run.evidence.canary.answered} answers of {MIN_ANSWERS}"
        is_late = elapsed_fraction >= (_trial_end(record) + _last_decision(record)) / 2
        needed = (CAPACITY_FRACTION_LATE if is_late else CAPACITY_FRACTION) * capacity.stable
        if capacity.canary < needed:
            return f"{capacity.canary} slots of {needed:.0f}"
        margin = (
            EARLY_MARGIN * (_last_decision(record) - elapsed_fraction) / (_last_decision(record) - _trial_end(record))
        )
        if self._rest_fits_budget(run, elapsed_fraction, now):
            margin = HARMLESS_MARGIN
        return run.analysis.missing_proof(margin)

    def _trial_share(self, record, run: _CanaryRun, elapsed_fraction: float, now: float) -> int:
        """Return the share of the trial, in thousandths.

        It seeks evidence quickly, but spreads the allowed requests over the trial if they are few.
        """
        share = self._policy.trial_share
        if run.analysis.is_warming_up(now):
            return max(1, int(WARM_UP_FRACTION * share))
        rate = max(1.0, run.rate(now))
        sent = run.evidence.canary.sent
        if sent < TRIAL_REQUESTS:
            share = max(share, FULL_SHARE * TRIAL_REQUESTS / (rate * TRIAL_TIME))
        seconds = record.duration_ms / 1000
        left = max(ROTATION_INTERVAL, (_trial_end(record) - elapsed_fraction) * seconds - ANSWER_TIME)
        expected = (1 - elapsed_fraction) * seconds * rate
        budget = TRIAL_FRACTION * self._allowed_requests(run, expected) - sent
        affordable = FULL_SHARE * budget / (rate * left)
        return int(max(MIN_TRIAL_SHARE, min(MAX_TRIAL_SHARE, share, affordable)))

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


def _trial_end(record: messages.CanaryRecord) -> float:
    """Return the fraction of a canary's duration at which its trial may end."""
    return min(LATEST_TRIAL_END, max(EARLIEST_TRIAL_END, 1 - 1000 * MOVE_TIME / record.duration_ms))


def _last_decision(record: messages.CanaryRecord) -> float:
    """Return the fraction of a canary's duration at which it is rolled back without proof."""
    last = min(LATEST_DECISION, 1 - 1000 * MIN_MOVE_TIME / record.duration_ms)
    return max(_trial_end(record) + MIN_EXTENSION, last)


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
