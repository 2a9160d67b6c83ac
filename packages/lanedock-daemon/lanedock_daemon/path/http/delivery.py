# SPDX-License-Identifier: BSD-3-Clause
"""Delivery of written answers before a connection is closed.

What was written is not received yet: the kernel keeps it until the peer has acknowledged it. If a
connection is closed with unread input, or if input arrives after it was closed, the connection is
reset, and what was not acknowledged is lost (RFC 9112, 9.6).
"""

from collections import deque

from lanedock.clock import monotonic
from lanedock_daemon.path.http.channel import DISCARD_SIZE, Channel
from lanedock_daemon.path.http.messages import NEVER
from lanedock_daemon.path.http.request_trace import RequestTrace

__all__ = ["Delivery"]

# Seconds without an acknowledgement after which the peer is considered gone.
DELIVERY_TIMEOUT = 30.0
# Seconds between two looks at the kernel's send buffer; nothing notifies of an empty one.
POLL = 0.05
# Seconds after which a peer that has not acknowledged everything counts as a slow reader; covers an acknowledgement
# that the peer's system delays.
PROMPT_TIME = 0.1
# Answers whose ends are remembered; more can hardly stand in the kernel's send buffer.
MAX_REMEMBERED_ANSWERS = 32


class Delivery:
    """Follows whether a connection's peer receives what was written.

    Parameters
    ----------
    conn : Channel

    Attributes
    ----------
    is_stream_ended : bool
        Whether the own sending side has ended, so that the end of the stream may be unacknowledged, too.
    """

    __slots__ = ("_answers", "_conn", "_incomplete_since", "_is_slow", "_progress_at", "_unsent", "is_stream_ended")

    def __init__(self, conn: Channel):
        self._conn = conn
        # Requests of the last answers that were written whole.
        self._answers: deque[RequestTrace] = deque(maxlen=MAX_REMEMBERED_ANSWERS)
        self._unsent = 0
        self._progress_at = 0.0
        self._incomplete_since: float | None = None
        self._is_slow = False
        self.is_stream_ended = False

    def __repr__(self) -> str:
        return f"<Delivery unsent={self._unsent}>"

    def note_answer(self, trace: RequestTrace) -> None:
        """Record that the answer to a request has been written whole."""
        trace.written_at = monotonic()
        trace.end = self._conn.written
        self._answers.append(trace)

    def list_unreceived(self, unsent: int) -> list[RequestTrace]:
        """Return the requests whose answers the peer has not acknowledged whole.

        Parameters
        ----------
        unsent : int
            Number of written bytes that the peer has not acknowledged, without the end of the stream.
        """
        received = self._conn.written - unsent
        return [trace for trace in self._answers if trace.end > received]

    def has_answers(self) -> bool:
        """Return whether written answers are remembered that `take_received` has not returned."""
        return bool(self._answers)

    def take_received(self, unsent: int) -> list[RequestTrace]:
        """Return the requests whose answers the peer has acknowledged whole, each once; see `list_unreceived`."""
        received = []
        while self._answers and self._answers[0].end <= self._conn.written - unsent:
            received.append(self._answers.popleft())
        return received

    def count_unsent_bytes(self) -> int:
        """Return how many bytes of answers the peer has not acknowledged, without the end of the stream."""
        unsent = self._conn.count_unsent_bytes()
        return unsent - 1 if self.is_stream_ended and unsent else unsent

    def is_complete(self) -> bool:
        """Return whether the peer has acknowledged everything."""
        return not self._conn.count_unsent_bytes()

    def is_slow(self, now: float) -> bool:
        """Return whether calls have found the same bytes unacknowledged for more than `PROMPT_TIME`.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        """
        if self.is_complete():
            self._incomplete_since = None
        elif self._incomplete_since is None:
            self._incomplete_since = now
        self._is_slow = self._is_slow or now - (self._incomplete_since or now) > PROMPT_TIME
        return self._is_slow

    def is_in_progress(self, now: float) -> bool:
        """Return whether bytes are unacknowledged, and the peer still receives them.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        """
        unsent = self._conn.count_unsent_bytes()
        if unsent < self._unsent or not self._unsent:
            self._progress_at = now
        self._unsent = unsent
        return bool(unsent) and now - self._progress_at < DELIVERY_TIMEOUT

    def linger(self, timeout: float, limit: float = NEVER) -> bool:
        """Discard input while the delivery is in progress, and for `timeout` seconds from then on.

        Returns early once the peer has ended its sending side. The own one has to be ended before.

        Parameters
        ----------
        timeout : float
        limit : float
            Seconds after which it ends in any case.

        Returns
        -------
        bool
            False if the peer has stopped receiving.

        Raises
        ------
        OSError
            The connection broke.
        """
        now = monotonic()
        until, ends_at = now + timeout, now + limit
        self._conn.settimeout(POLL)
        while True:
            now = monotonic()
            if now >= ends_at:
                return self.is_complete()
            if self.is_in_progress(now):
                until = now + timeout
            elif now >= until:
                return self.is_complete()
            try:
                if not self._conn.recv(DISCARD_SIZE):
                    return True
            except TimeoutError:
                continue
