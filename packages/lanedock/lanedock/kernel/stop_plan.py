# SPDX-License-Identifier: BSD-3-Clause
"""The one deadline of a process that stops."""

__all__ = ["StopPlan"]

# Seconds from the deadline on in which final answers are written and answers that
# stream out may still end; then connections are cut. A hundred final answers took
# 0.04 s on a whole core.
ANSWER_TIME = 0.2
# What begins once callers should have gone elsewhere has to leave so many times what it is
# expected to take: the few that take longer would be answered for while they still run.
LATE_MARGIN = 2.0
_NEVER = float("inf")


class StopPlan:
    """What all servers of a process, and its requests, know of its stop.

    With a limit for each server, the servers that stop later accept what they can't
    end any more, and the sum of the limits is longer than the process has.
    Monotonic times are passed in; all are in seconds.

    Parameters
    ----------
    linger : float
        Time from the stop's beginning for which callers are still served.
    limit : float
        Time from then to the deadline.

    Attributes
    ----------
    linger : float
    deadline : float
        Monotonic: when everything in progress gets its final answer. Infinite
        until the stop begins.
    """

    def __init__(self, linger: float = 0.0, limit: float = 0.0):
        self.linger = linger
        self.deadline = _NEVER
        self._limit = max(linger, limit)

    def __repr__(self) -> str:
        return f"<StopPlan linger={self.linger} limit={self._limit} deadline={self.deadline}>"

    @property
    def is_begun(self) -> bool:
        """Whether the process stops."""
        return self.deadline < _NEVER

    @property
    def cut_at(self) -> float:
        """Monotonic: when connections are cut, whatever is still on them."""
        return self.deadline + ANSWER_TIME

    def begin(self, now: float) -> None:
        """Begin the stop; once begun, it keeps its deadline."""
        if not self.is_begun:
            self.deadline = now + self._limit

    def allows(self, needed: float, now: float) -> bool:
        """Tell whether what takes `needed` seconds can be expected to end in time."""
        is_late = self.is_begun and not self.linger_left(now)
        return now + needed * (LATE_MARGIN if is_late else 1.0) <= self.deadline

    def start_by(self, needed: float) -> float | None:
        """Return until when what takes `needed` seconds may begin; None where there is no limit."""
        return self.deadline - needed if self.is_begun else None

    def linger_left(self, now: float) -> float:
        """Return for how long callers still come here."""
        if not self.is_begun:
            return 0.0
        return max(0.0, self.deadline - self._limit + self.linger - now)
