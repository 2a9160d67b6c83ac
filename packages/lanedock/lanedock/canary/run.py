# SPDX-License-Identifier: BSD-3-Clause
"""The leader's state of one running canary, and the requests that it may get."""

from lanedock.canary.analysis import Analysis
from lanedock.canary.evidence import Evidence
from lanedock.canary.schedule import CanarySchedule
from lanedock.canary.state import FULL_SHARE
from lanedock.wire import messages

__all__ = ["ROTATION_INTERVAL", "CanaryPolicy", "CanaryRun"]

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
# Bounds of the trial's share, in thousandths.
MIN_TRIAL_SHARE, MAX_TRIAL_SHARE = 20, 330
# Seconds after which the trial continues with other upstreams of the canary.
ROTATION_INTERVAL = 1.0
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


class CanaryRun:
    """The leader's state of one running canary. All times are monotonic, in seconds.

    Parameters
    ----------
    record : CanaryRecord
    policy : CanaryPolicy
    analysis : Analysis
    begun_at : float

    Attributes
    ----------
    schedule : CanarySchedule
    evidence : Evidence
    step, step_at : int and float
        Number of the step in force, and the time at which it was first seen.
    revision : int
        Revision of the canaries with which the step came into force.
    confirmed_at : float or None
        Time at which all connected daemons had confirmed the step.
    is_step_cold : bool
        Whether the step was proposed while the canary's upstreams were cold.
    proposed, proposed_at : int and float
        Number and time of the newest proposed step.
    waits_for : str
        What the canary waits for, for operators.
    """

    __slots__ = (
        "_policy",
        "analysis",
        "begun_at",
        "confirmed_at",
        "evidence",
        "is_step_cold",
        "number",
        "proposed",
        "proposed_at",
        "revision",
        "schedule",
        "step",
        "step_at",
        "waits_for",
    )

    def __init__(self, record: messages.CanaryRecord, policy: CanaryPolicy, analysis: Analysis, begun_at: float):
        self._policy = policy
        self.number = record.number
        self.begun_at = begun_at
        self.schedule = CanarySchedule(record.duration_ms / 1000)
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

    def __repr__(self) -> str:
        return f"<CanaryRun number={self.number} step={self.step} waits_for={self.waits_for!r}>"

    def note_step(self, record: messages.CanaryRecord, revision: int, now: float) -> None:
        """Record which step is in force."""
        if record.step != self.step:
            self.step = record.step
            self.step_at = now
            self.revision = revision
            self.confirmed_at = None

    def elapsed(self, now: float) -> float:
        """Return the elapsed fraction of the canary's duration."""
        return (now - self.begun_at) / self.schedule.duration

    def trial_share(self, now: float) -> int:
        """Return the share of the trial, in thousandths.

        It seeks evidence quickly, but spreads the allowed requests over the trial if they are few.
        """
        share = self._policy.trial_share
        if self.analysis.is_warming_up(now):
            return max(1, int(WARM_UP_FRACTION * share))
        rate = max(1.0, self._rate(now))
        sent = self.evidence.canary.sent
        if sent < TRIAL_REQUESTS:
            share = max(share, FULL_SHARE * TRIAL_REQUESTS / (rate * TRIAL_TIME))
        elapsed = self.elapsed(now)
        left = max(ROTATION_INTERVAL, (self.schedule.trial_end - elapsed) * self.schedule.duration - ANSWER_TIME)
        expected = (1 - elapsed) * self.schedule.duration * rate
        budget = TRIAL_FRACTION * self._allowed_requests(expected) - sent
        affordable = FULL_SHARE * budget / (rate * left)
        return int(max(MIN_TRIAL_SHARE, min(MAX_TRIAL_SHARE, share, affordable)))

    def is_harmless(self, now: float) -> bool:
        """Return whether a bad version may get all requests that are still expected."""
        expected = (1 - self.elapsed(now)) * self.schedule.duration * self._rate(now)
        return self.evidence.canary.sent + expected <= self._allowed_requests(expected)

    def _rate(self, now: float) -> float:
        """Return the service's answered requests per second."""
        answered = self.evidence.stable.answered + self.evidence.canary.answered
        return answered / max(1.0, now - self.begun_at)

    def _allowed_requests(self, expected: float) -> float:
        """Return how many requests a bad version may get if the service gets `expected` more."""
        seen = self.evidence.stable.answered + self.evidence.canary.sent
        return self._policy.share * (seen + EXPECTED_FRACTION * expected) + self._policy.slack
