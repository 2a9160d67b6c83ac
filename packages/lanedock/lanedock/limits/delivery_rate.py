# SPDX-License-Identifier: BSD-3-Clause
"""How fast bodies come in, as observed: a windowed maximum of the delivery rate.

References
----------
N. Cardwell, Y. Cheng, C. S. Gunn, S. H. Yeganeh, V. Jacobson: BBR, congestion-based
congestion control. ACM Queue 14 (5), 2016. Its filter for the bottleneck's bandwidth is
the maximum of the delivery rates of the last ten round trips; samples that the sender's
application limited count only where they raise it.
"""

from collections import deque

__all__ = ["DeliveryRate"]

# Time with a body on its way that makes a sample, in seconds. What a daemon finds in its
# sockets after a pause of its own comes at once; in 0.25 s, two and a half times what may
# stand on the link, that can't make a sample more than about twice the link's rate.
_SAMPLE_TIME = 0.25
# Samples of which the maximum counts: 10 s with a body on its way. Long enough to hold one
# taken while the senders did not hold it down; a link that has become slower is known by then.
_SAMPLES = 40


# Seconds for which a sample counts at most. While nothing fills a link its rate may change
# unseen: after a minute like that a surge took 1.9 s of one that had become narrow, by the
# rate from before (limits/tests/test_body_surges.py).
_MAX_AGE = 30.0


class DeliveryRate:
    """Bytes a second that come in while any are expected. Pure; times are monotonic seconds.

    A sample that the link may not have limited, but the senders or the application that
    reads, counts only where it raises the maximum.
    """

    __slots__ = ("_busy", "_bytes", "_is_limited", "_samples", "_since")

    def __init__(self):
        self._busy = 0.0
        self._bytes = 0
        self._is_limited = False
        self._since: float | None = None
        # Times and rates.
        self._samples: deque[tuple[float, float]] = deque(maxlen=_SAMPLES)

    def __repr__(self) -> str:
        return f"<DeliveryRate {self.value}>"

    @property
    def value(self) -> float | None:
        """The rate in bytes a second; None before it was observed."""
        return max((rate for _, rate in self._samples), default=None)

    def begin(self, now: float) -> None:
        """Note that bytes are expected from now on."""
        if self._since is None:
            self._since = now
        while self._samples and now - self._samples[0][0] > _MAX_AGE:
            self._samples.popleft()

    def pause(self, now: float) -> None:
        """Note that none are expected for the time being."""
        if self._since is not None:
            self._busy += now - self._since
            self._since = None

    def mark_limited(self) -> None:
        """Note that the link may limit the present sample, as bodies wait for it or on it."""
        self._is_limited = True

    def note(self, size: int, now: float) -> None:
        """Take in that some bytes have come."""
        self.begin(now)
        self._bytes += size
        busy = self._busy + now - self._since
        if busy >= _SAMPLE_TIME:
            self._add(self._bytes / busy, now)
            self._busy, self._bytes, self._since = 0.0, 0, now
            self._is_limited = False

    def _add(self, sample: float, now: float) -> None:
        if self._is_limited or self.value is None or sample > self.value:
            self._samples.append((now, sample))
