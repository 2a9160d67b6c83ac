# SPDX-License-Identifier: BSD-3-Clause
"""What the attempts at one request have come to, and whether another one is allowed."""

from lanedock.config import Route
from lanedock.errors import ErrorCode
from lanedock_daemon.path.caller.request_context import AttemptResult
from lanedock_daemon.path.http.messages import Answer

__all__ = ["AttemptProgress"]

# Factor on a route's `max_attempts`, which limits attempts that reach an application. The product
# limits all attempts, except those refused for a rate limit.
ATTEMPTS_PER_ARRIVAL = 2
# Upstreams that may refuse a request because of their advertised rate limits. Such a refusal
# says nothing about other upstreams, and each one tells this daemon the limit only once.
MAX_RATE_LIMIT_REFUSALS = 4


class AttemptProgress:
    """Outcome of the attempts at one request so far.

    Parameters
    ----------
    route : Route
    max_overloads : int
        Number of upstreams that may refuse the request because of their load.

    Attributes
    ----------
    failure : Answer or None
        Answer to return if no other attempt succeeds.
    arrivals : int
        Number of applications that may have received the request.
    """

    __slots__ = (
        "_attempts_left",
        "_max_arrivals",
        "_max_overloads",
        "_may_have_run",
        "_overload_refusals",
        "_rate_limit_refusals",
        "arrivals",
        "failure",
    )

    def __init__(self, route: Route, max_overloads: int):
        self.failure: Answer | None = None
        self.arrivals = 0
        self._may_have_run = False
        self._overload_refusals = 0
        self._rate_limit_refusals = 0
        self._attempts_left = route.max_attempts * ATTEMPTS_PER_ARRIVAL
        self._max_arrivals = route.max_attempts
        self._max_overloads = max_overloads

    def add(self, result: AttemptResult) -> None:
        """Record the result of an attempt that is not final."""
        self._may_have_run = self._may_have_run or result.may_have_run
        # A refusal before the application got the request must not hide that an earlier
        # attempt may have run.
        if self.failure is None or result.may_have_run or not self._may_have_run:
            self.failure = result.answer
        self.arrivals += result.arrivals
        self._overload_refusals += result.code is ErrorCode.OVERLOADED
        if result.code is ErrorCode.RATE_LIMITED:
            self._rate_limit_refusals += 1
        else:
            self._attempts_left -= 1

    def choose_answer(self, result: AttemptResult) -> Answer:
        """Return the answer to the caller after a final result.

        A final refusal doesn't replace the failure of an earlier attempt that may have run.
        """
        return self.failure if result.is_refusal and self._may_have_run else result.answer

    def is_exhausted(self) -> bool:
        """Return whether another attempt is not allowed or unlikely to succeed."""
        if self._attempts_left <= 0 or self._rate_limit_refusals >= MAX_RATE_LIMIT_REFUSALS:
            return True
        return self.arrivals >= self._max_arrivals or self._overload_refusals >= self._max_overloads
