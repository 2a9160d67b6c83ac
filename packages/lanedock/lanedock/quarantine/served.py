# SPDX-License-Identifier: BSD-3-Clause
"""Requests that an upstream has recently served."""

from lanedock.quarantine.fingerprint import Fingerprint

__all__ = ["RecentlyServed"]

# Seconds for which a served request is not suspected at the upstream that served it. A frequent
# request is in progress at every crash and would be suspected of each. A request that begins to crash
# upstreams after it was served (new data, a new release) is suspected with this delay.
SERVED_RETENTION = 30.0
# Upper bound of stored requests: 0.15 MB. Covers two seconds of 500 distinct requests a second.
MAX_SERVED = 1024


class RecentlyServed:
    """The requests that one upstream has recently answered. Does no I/O and reads no clock."""

    def __init__(self):
        self._served_at: dict[bytes, float] = {}

    def __repr__(self) -> str:
        return f"<RecentlyServed {len(self._served_at)}>"

    def note(self, fingerprint: Fingerprint, now: float) -> None:
        """Record that a request was answered; `now` is the monotonic time in seconds."""
        # Moved to the end, so that the first entry is always the least recently served.
        self._served_at.pop(fingerprint.whole, None)
        self._served_at[fingerprint.whole] = now
        if len(self._served_at) > MAX_SERVED:
            del self._served_at[next(iter(self._served_at))]

    def has(self, fingerprint: Fingerprint, now: float) -> bool:
        """Return whether a request was answered within the retention period."""
        served_at = self._served_at.get(fingerprint.whole)
        return served_at is not None and now - served_at <= SERVED_RETENTION
