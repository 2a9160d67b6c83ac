# SPDX-License-Identifier: BSD-3-Clause
"""The leader's decisions on the canaries that run: their share, their end, and why.

A canary begins with a small share and is judged all the time. Late enough that a version
which turns bad after some seconds is found, and early enough for the move itself, a short
ramp shows it all of the load. It is completed once every daemon sends it everything.
"""

from lanedock.canary.analysis import Analysis, CusumAnalysis
from lanedock.canary.evidence import Evidence
from lanedock.canary.pools import Pool, classify
from lanedock.canary.state import FULL_SHARE, CanaryState
from lanedock.wire import messages

__all__ = ["CanaryController", "CanaryPolicy"]

# Parts of a canary's duration: from when its share may grow, from when it grows although the
# ramp may cost a bad version more requests than it is allowed, and by when it is decided.
RAMP_AT = 0.5
RAMP_ANYWAY_AT = 0.65
DECIDE_BY = 0.85
# Part of the allowed share that the trial takes; the rest is for the ramp.
TRIAL_PART = 0.8
# Share while the trial has taken more than it may, and share of the ramp, in thousandths.
LOW_SHARE = 20
RAMP_SHARE = 300
# Seconds after which the trial goes on with other upstreams of the canary.
ROTATE_AFTER = 1.0
# Seconds for which the ramp, and then all of the load, are watched.
RAMP_FOR = 0.8
FULL_FOR = 0.8
# Seconds after which requests in progress at stable upstreams are waited for no more.
DRAIN_LIMIT = 2.0
# Answers of a canary without which it isn't promoted.
MIN_ANSWERS = 20
# Part of the stable version's slots that the canary's have to have, and that they need late.
CAPACITY_PART = 0.9
CAPACITY_PART_LATE = 0.6
# Seconds between two looks at the evidence.
LOOK_INTERVAL = 0.1
# Seconds after which a proposal that was not applied is made again.
PROPOSE_AGAIN = 0.5
# Part of the time that is left in which requests are counted on to come, for the allowance.
EXPECTED_PART = 0.7


class CanaryPolicy:
    """What a bad version may get before it is found.

    Parameters
    ----------
    share : float
        Of the requests of its service, 0 to 1.
    slack : int
        Requests beyond that.
    """

    __slots__ = ("share", "slack")

    def __init__(self, share: float = 0.1, slack: int = 50):
        self.share = share
        self.slack = slack

    def __repr__(self) -> str:
        return f"<CanaryPolicy share={self.share} slack={self.slack}>"

    @property
    def trial_share(self) -> int:
        """Share of the trial, in thousandths."""
        return max(1, int(FULL_SHARE * self.share * TRIAL_PART))


class _Run:
    """What the leader knows of one canary that runs."""

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
        """Note which step is in force."""
        if record.step != self.step:
            self.step = record.step
            self.step_at = now
            self.revision = revision
            self.confirmed_at = None

    def rate(self, now: float) -> float:
        """Return the service's answered requests a second."""
        answered = self.evidence.stable.answered + self.evidence.canary.answered
        return answered / max(1.0, now - self.begun_at)


class _Capacity:
    """Slots of a service's upstreams by their part in its traffic, and what displaces what."""

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
    """Decides on the canaries that run. Pure; a new leader begins a new one.

    Parameters
    ----------
    state : CanaryState
    policy : CanaryPolicy
    make_analysis : callable, optional
        Makes the analysis of one canary.
    """

    def __init__(self, state: CanaryState, policy: CanaryPolicy, make_analysis=CusumAnalysis):
        self._state = state
        self._policy = policy
        self._make_analysis = make_analysis
        self._runs: dict[int, _Run] = {}
        self._look_at = 0.0

    def __repr__(self) -> str:
        return f"<CanaryController runs={sorted(self._runs)}>"

    def set_state(self, state: CanaryState) -> None:
        """Replace the state: a snapshot may have taken its place."""
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
            Those that are connected.
        endpoints : list of Endpoint
            Of all services.
        now, wall : float
            Monotonic and wall clock, seconds.
        """
        running = self._state.running()
        if not running or now < self._look_at:
            self._forget(running)
            return []
        self._look_at = now + LOOK_INTERVAL
        commands = []
        for record in running:
            step = self._look(record, daemons, endpoints, now, wall)
            if step is not None:
                step.decided_at = wall
                commands.append(messages.Command(canary_step=step))
        return commands

    def _forget(self, running: list[messages.CanaryRecord]) -> None:
        numbers = {record.number for record in running}
        if self._runs.keys() - numbers:
            self._runs = {number: run for number, run in self._runs.items() if number in numbers}

    def _look(self, record, daemons: dict, endpoints: list, now: float, wall: float) -> messages.CanaryStep | None:
        run = self._runs.get(record.number)
        if run is None:
            # A leader that takes over has the wall clock alone to tell how long it has run.
            age = min(max(0.0, wall - record.started_at), record.duration_ms / 1000)
            run = self._runs[record.number] = _Run(record, self._make_analysis(), now - age)
        run.note_step(record, self._state.revision, now)
        run.analysis.note(run.evidence.take(daemons), now)
        if run.confirmed_at is None and all(state.canary_revision >= run.revision for state in daemons.values()):
            run.confirmed_at = now
        if run.proposed > record.step and now - run.proposed_at < PROPOSE_AGAIN:
            return None
        capacity = _Capacity(self._state.rule(record.service), endpoints, daemons)
        step = self._judge(record, run, capacity, now)
        if step is not None:
            run.proposed, run.proposed_at = step.step, now
        return step

    def _judge(self, record, run: _Run, capacity: _Capacity, now: float) -> messages.CanaryStep | None:
        finding = run.analysis.finding()
        if finding:
            return make_step(record, messages.CANARY_ROLLED_BACK, 0, finding)
        part = 1000 * (now - run.begun_at) / record.duration_ms
        if record.share_permille >= FULL_SHARE:
            return self._judge_full(record, run, capacity, part, now)
        if part >= DECIDE_BY:
            reason = f"no proof in time that it is good: {run.waits_for}"
            return make_step(record, messages.CANARY_ROLLED_BACK, 0, reason)
        if record.share_permille >= RAMP_SHARE:
            return self._judge_ramp(record, run, now)
        return self._judge_trial(record, run, capacity, part, now)

    def _judge_trial(self, record, run: _Run, capacity: _Capacity, part: float, now: float):
        running = messages.CANARY_RUNNING
        if not capacity.canary:
            run.waits_for = "no upstream of the version takes work"
            return None
        share = self._policy.trial_share
        if not record.step:
            return make_step(record, running, share, "trial")
        run.waits_for = self._blocker(run, capacity, part, now)
        if not run.waits_for:
            return make_step(record, running, RAMP_SHARE, "ramp")
        if now - run.step_at < ROTATE_AFTER:
            return None
        if self._is_over(run):
            share = min(share, LOW_SHARE)
        return make_step(record, running, share, "trial")

    def _blocker(self, run: _Run, capacity: _Capacity, part: float, now: float) -> str:
        """Return what stands against showing the canary more load; empty where nothing does."""
        if part < RAMP_AT:
            return "trial"
        if run.evidence.canary.answered < MIN_ANSWERS:
            return f"{run.evidence.canary.answered} answers of {MIN_ANSWERS}"
        is_late = part >= RAMP_ANYWAY_AT
        needed = (CAPACITY_PART_LATE if is_late else CAPACITY_PART) * capacity.stable
        if capacity.canary < needed:
            return f"{capacity.canary} slots of {needed:.0f}"
        if not is_late and not self._may_ramp(run, part, now):
            return "the ramp would cost more requests than a bad version may get"
        return ""

    def _is_over(self, run: _Run) -> bool:
        """Tell whether the trial has taken more than its part of the requests."""
        seen = run.evidence.stable.answered + run.evidence.canary.sent
        return run.evidence.canary.sent > self._policy.share * seen + self._policy.slack / 2

    def _may_ramp(self, run: _Run, part: float, now: float) -> bool:
        rate = run.rate(now)
        elapsed = now - run.begun_at
        left = elapsed / part - elapsed
        seen = run.evidence.stable.answered + run.evidence.canary.sent
        allowed = self._policy.share * (seen + EXPECTED_PART * left * rate) + self._policy.slack
        ramp = rate * (RAMP_FOR * RAMP_SHARE / FULL_SHARE + FULL_FOR)
        return run.evidence.canary.sent + ramp <= allowed

    def _judge_ramp(self, record, run: _Run, now: float):
        run.waits_for = "ramp"
        if run.confirmed_at is None or now - run.step_at < RAMP_FOR:
            return None
        return make_step(record, messages.CANARY_RUNNING, FULL_SHARE, "all of the load")

    def _judge_full(self, record, run: _Run, capacity: _Capacity, part: float, now: float):
        if run.confirmed_at is None:
            run.waits_for = "daemons that have not confirmed"
        elif now - run.confirmed_at < FULL_FOR:
            run.waits_for = "watching all of the load"
        elif capacity.is_busy and now - run.confirmed_at < DRAIN_LIMIT:
            run.waits_for = "requests in progress at stable upstreams"
        else:
            answered = run.evidence.canary.answered
            step = make_step(record, messages.CANARY_COMPLETED, FULL_SHARE, f"as good in {answered} answers")
            step.displaced.extend(sorted(capacity.versions))
            return step
        if part < 1:
            return None
        return make_step(record, messages.CANARY_ROLLED_BACK, 0, f"not moved in time: {run.waits_for}")

    def progress(self, record: messages.CanaryRecord, now: float) -> messages.CanaryProgress:
        """Return how far a canary is, for operators."""
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
    """Make the step that follows the one in force."""
    return messages.CanaryStep(
        service=record.service,
        number=record.number,
        step=record.step + 1,
        phase=phase,
        share_permille=share,
        reason=reason,
    )
