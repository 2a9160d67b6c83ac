# SPDX-License-Identifier: BSD-3-Clause
"""Moments of a canary: when its trial may end, and when it is rolled back without proof."""

__all__ = ["CanarySchedule"]

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
# Log Bayes factor by which the evidence against a version has to stay below its limits at the trial's end; there is
# time to find more proof, so that the margin falls to 0 until the last decision.
EARLY_MARGIN = -4.0


class CanarySchedule:
    """Moments of one canary, as fractions of its duration.

    Parameters
    ----------
    duration : float
        In seconds.

    Attributes
    ----------
    trial_end : float
        Earliest end of the trial.
    last_decision : float
        When the canary is rolled back without proof.
    """

    __slots__ = ("duration", "last_decision", "trial_end")

    def __init__(self, duration: float):
        self.duration = duration
        self.trial_end = min(LATEST_TRIAL_END, max(EARLIEST_TRIAL_END, 1 - MOVE_TIME / duration))
        self.last_decision = max(self.trial_end + MIN_EXTENSION, min(LATEST_DECISION, 1 - MIN_MOVE_TIME / duration))

    def __repr__(self) -> str:
        return f"<CanarySchedule trial_end={self.trial_end:.2f} last_decision={self.last_decision:.2f}>"

    def is_late(self, elapsed: float) -> bool:
        """Return whether half of the time for further proof has passed; `elapsed` is a fraction of the duration."""
        return elapsed >= (self.trial_end + self.last_decision) / 2

    def margin(self, elapsed: float) -> float:
        """Return the log Bayes factor by which the evidence against the version may exceed its limits."""
        return EARLY_MARGIN * (self.last_decision - elapsed) / (self.last_decision - self.trial_end)
