# SPDX-License-Identifier: BSD-3-Clause
"""The time limit for what a caller's connection waits for from its caller."""

from lanedock.clock import monotonic
from lanedock_daemon.path.http.messages import NEVER
from lanedock_daemon.path.http.parsed_message import Message

__all__ = ["IDLE_TIMEOUT", "TimeLimit"]

# Seconds for which an idle connection is kept unless the limits in force say otherwise.
IDLE_TIMEOUT = 300.0
# Seconds without new data after which a connection with an unfinished body ends.
BODY_TIMEOUT = 30.0


class TimeLimit:
    """When a connection ends if nothing more arrives. Times are monotonic seconds.

    Attributes
    ----------
    expires_at : float
    idle_since : float
        When the connection became idle last.
    """

    __slots__ = ("_is_idle", "_timed_head", "expires_at", "idle_since")

    def __init__(self):
        now = monotonic()
        self.expires_at = now + IDLE_TIMEOUT
        self.idle_since = now
        # The unfinished head to which the limit belongs.
        self._timed_head: Message | None = None
        # Whether the limit of an idle connection runs, which blank lines don't renew.
        self._is_idle = False

    def __repr__(self) -> str:
        return f"<TimeLimit {self.expires_at}>"

    def lift(self) -> None:
        """Set no limit until the next change."""
        self.expires_at = NEVER

    def end_idle_time(self) -> None:
        """Record that a request has begun."""
        self._is_idle = False

    def await_body(self) -> None:
        """Set the limit of an unfinished body, which each arrival renews."""
        self.expires_at = monotonic() + BODY_TIMEOUT

    def await_head(self, head: Message | None, timeout: float) -> None:
        """Set the limit of an unfinished head, counted from the first call for it."""
        if head is not self._timed_head:
            self._timed_head = head
            self.expires_at = monotonic() + timeout

    def await_request(self, timeout: float) -> None:
        """Set the limit of an idle connection, counted from the first call since a request has begun."""
        if not self._is_idle:
            self._is_idle = True
            self.idle_since = monotonic()
            self.expires_at = self.idle_since + timeout
