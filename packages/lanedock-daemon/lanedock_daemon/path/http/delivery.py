# SPDX-License-Identifier: BSD-3-Clause
"""Delivery of written answers before a connection is closed.

What was written is not received yet: the kernel keeps it until the peer has acknowledged it. If a
connection is closed with unread input, or if input arrives after it was closed, the connection is
reset, and what was not acknowledged is lost (RFC 9112, 9.6).
"""

from lanedock.clock import monotonic
from lanedock_daemon.path.http.channel import Channel

__all__ = ["Delivery"]

# Seconds without an acknowledgement after which the peer is considered gone.
DELIVERY_TIMEOUT = 30.0
# Seconds between two looks at the kernel's send buffer; nothing notifies of an empty one.
POLL = 0.05
DISCARD_SIZE = 64 * 1024


class Delivery:
    """Follows whether a connection's peer receives what was written.

    Parameters
    ----------
    conn : Channel
    """

    __slots__ = ("_conn", "_progress_at", "_unsent")

    def __init__(self, conn: Channel):
        self._conn = conn
        self._unsent = 0
        self._progress_at = 0.0

    def __repr__(self) -> str:
        return f"<Delivery unsent={self._unsent}>"

    def is_complete(self) -> bool:
        """Return whether the peer has acknowledged everything."""
        return not self._conn.count_unsent_bytes()

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

    def linger(self, timeout: float) -> bool:
        """Discard input while the delivery is in progress, and for `timeout` seconds from then on.

        Returns early once the peer has ended its sending side. The own one has to be ended before.

        Returns
        -------
        bool
            False if the peer has stopped receiving.

        Raises
        ------
        OSError
            The connection broke.
        """
        until = monotonic() + timeout
        self._conn.settimeout(POLL)
        while True:
            now = monotonic()
            if self.is_in_progress(now):
                until = now + timeout
            elif now >= until:
                return self.is_complete()
            try:
                if not self._conn.recv(DISCARD_SIZE):
                    return True
            except TimeoutError:
                continue
