# SPDX-License-Identifier: BSD-3-Clause
"""Shared shutdown deadline of a process."""

__all__ = ["StopPlan"]

# Time after the deadline, in seconds, in which final answers are written and streamed
# answers may still end; connections are closed after it. A hundred final answers take
# 0.04 s on one CPU core.
FINAL_ANSWER_TIME = 0.2
# Seconds after the deadline at which the time for writing late final answers ends, as the process may be killed
# soon after, and the least time that they get.
LATE_CUT_TIME = 0.6
MIN_ANSWER_TIME = 0.1
# Seconds at the end of the linger time in which those who still send requests are asked to use another
# instance.
NOTICE_TIME = 1.0
# Multiple of its expected duration that work beginning after the linger time must have left
# until the deadline. The few requests that take longer than expected would otherwise get
# their final answer while they still run.
POST_LINGER_MARGIN = 2.0
_NEVER = float("inf")


class StopPlan:
    """Shutdown deadline shared by all servers of a process and their requests.

    With a separate time limit for each server, servers that stop later would accept
    requests that they cannot finish, and the sum of the limits would exceed the
    shutdown time of the process. All times are in seconds; `now` is monotonic time.

    Parameters
    ----------
    linger : float
        Time after the start of the shutdown for which callers are still served.
    limit : float
        Time from the start of the shutdown to the deadline; at least `linger` is used.

    Attributes
    ----------
    linger : float
    deadline : float
        Monotonic time at which all requests in progress get their final answer.
        Infinite until the shutdown begins.
    """

    def __init__(self, linger: float = 0.0, limit: float = 0.0):
        self.linger = linger
        self.deadline = _NEVER
        self._limit = max(linger, limit)
        self._callbacks: list = []

    def __repr__(self) -> str:
        return f"<StopPlan linger={self.linger} limit={self._limit} deadline={self.deadline}>"

    @property
    def is_begun(self) -> bool:
        """Whether the shutdown has begun."""
        return self.deadline < _NEVER

    @property
    def cut_at(self) -> float:
        """Monotonic time at which connections are closed, even with answers in progress, unless the process is late."""
        return self.deadline + FINAL_ANSWER_TIME

    def cut_after(self, answered_at: float) -> float:
        """Return when connections are closed whose final answers were made at `answered_at`, possibly late.

        A process that gets no time at the deadline still needs time to write the answers.
        """
        late_cut = min(answered_at + FINAL_ANSWER_TIME, self.deadline + LATE_CUT_TIME)
        return max(self.cut_at, late_cut, answered_at + MIN_ANSWER_TIME)

    def begin(self, now: float, has_callers: bool = True) -> None:
        """Begin the shutdown and set its deadline; later calls have no effect.

        Without callers, which a process that has not finished its start can't have, there is no linger time.
        """
        if not self.is_begun:
            self.deadline = now + self._limit
            if not has_callers:
                self.linger = 0.0
            for callback in self._callbacks:
                callback()

    def call_at_begin(self, callback) -> None:
        """Call a function without arguments once the shutdown begins; at once if it has begun."""
        if self.is_begun:
            callback()
        else:
            self._callbacks.append(callback)

    def elapsed(self, now: float) -> float:
        """Return the seconds from the start of the shutdown to `now`; negative before it, 0 without a shutdown."""
        return now - (self.deadline - self._limit) if self.is_begun else 0.0

    def allows(self, needed: float, now: float) -> bool:
        """Return whether work that takes `needed` seconds is expected to end by the deadline."""
        is_after_linger = self.is_begun and not self.remaining_linger(now)
        return now + needed * (POST_LINGER_MARGIN if is_after_linger else 1.0) <= self.deadline

    def is_leaving(self, now: float) -> bool:
        """Return whether callers are asked to use another instance: from `NOTICE_TIME` before the linger time ends."""
        return self.is_begun and self.remaining_linger(now) <= NOTICE_TIME

    def is_in_time(self, time_limit: float) -> bool:
        """Return whether work that ends by `time_limit` (monotonic, in seconds) at the latest ends by the deadline.

        Unlike an expected duration, this also holds for work that starts on a cold, slow or full upstream.
        """
        return time_limit <= self.deadline

    def start_by(self, needed: float) -> float | None:
        """Return the latest start time of work that takes `needed` seconds; None before the shutdown."""
        return self.deadline - needed if self.is_begun else None

    def remaining_linger(self, now: float) -> float:
        """Return the remaining time, in seconds, for which callers are served; 0 before the shutdown."""
        if not self.is_begun:
            return 0.0
        return max(0.0, self.linger - self.elapsed(now))
