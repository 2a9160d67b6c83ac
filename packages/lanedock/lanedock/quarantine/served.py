# SPDX-License-Identifier: BSD-3-Clause
"""Requests that an upstream has lately served."""

from lanedock.quarantine.fingerprint import Fingerprint

__all__ = ["RecentlyServed"]

# Seconds for which a request that was served is no suspect where it was. One that is sent
# often runs beside every crash, and would be suspected of each; one that begins to crash
# upstreams after it was served (new data, a new release) is suspected this much later.
SERVED_KEPT = 30.0
# Requests that are kept: 0.15 MB (tracemalloc). At 500 a second, that differ all, those of two seconds.
MAX_SERVED = 1024


class RecentlyServed:
    """The requests that one upstream has answered, as far back as is kept. Pure."""

    def __init__(self):
        self._served_at: dict[bytes, float] = {}

    def __repr__(self) -> str:
        return f"<RecentlyServed {len(self._served_at)}>"

    def note(self, fingerprint: Fingerprint, now: float) -> None:
        """Note that a request was answered; `now` in monotonic seconds."""
        # To the end: the first is the one that was served longest ago.
        self._served_at.pop(fingerprint.whole, None)
        self._served_at[fingerprint.whole] = now
        if len(self._served_at) > MAX_SERVED:
            del self._served_at[next(iter(self._served_at))]

    def has(self, fingerprint: Fingerprint, now: float) -> bool:
        """Tell whether a request was answered lately."""
        served_at = self._served_at.get(fingerprint.whole)
        return served_at is not None and now - served_at <= SERVED_KEPT
