# SPDX-License-Identifier: BSD-3-Clause
"""The rate at which bodies arrive: a windowed maximum of delivery rate samples.

References
----------
N. Cardwell, Y. Cheng, C. S. Gunn, S. H. Yeganeh, V. Jacobson: BBR, congestion-based
congestion control. ACM Queue 14 (5), 2016. Its filter for the bottleneck's bandwidth is
the maximum of the delivery rates of the last ten round trips; samples limited by the
sender's application count only if they raise the maximum.
"""

from collections import deque

__all__ = ["DeliveryRate"]

# Time with a body in flight that makes up a sample, in seconds. After a pause, a daemon reads
# everything that its sockets have buffered at once. A sample of 0.25 s, two and a half times
# the queue allowed on the link, then shows at most about twice the link's rate.
_SAMPLE_TIME = 0.25
# Samples in the window of the maximum: 10 s with a body in flight. The window is long enough
# to hold a sample that the senders did not limit, and short enough to follow a link that has
# become slower.
_MAX_SAMPLES = 40


# Age up to which a sample counts, in seconds. While nothing fills a link, its rate may change
# unnoticed. When a link became narrow during a minute of light load, the next surge, admitted
# at the old rate, filled it for 1.9 s.
_MAX_SAMPLE_AGE = 30.0


class DeliveryRate:
    """Estimate of the rate at which bytes arrive while any are expected, in bytes per second.

    Does no I/O and reads no clock; times are monotonic, in seconds. A sample that the
    senders, or the application that reads the body, may have limited instead of the link
    counts only if it raises the maximum.
    """

    __slots__ = ("_busy_since", "_busy_time", "_bytes", "_is_link_limited", "_samples")

    def __init__(self):
        self._busy_time = 0.0
        self._bytes = 0
        self._is_link_limited = False
        self._busy_since: float | None = None
        # Pairs of the time at which a sample ended and its rate.
        self._samples: deque[tuple[float, float]] = deque(maxlen=_MAX_SAMPLES)

    def __repr__(self) -> str:
        return f"<DeliveryRate {self.value}>"

    @property
    def value(self) -> float | None:
        """The rate, in bytes per second; None before there is a sample."""
        return max((rate for _, rate in self._samples), default=None)

    def begin(self, now: float) -> None:
        """Note that bytes are expected from now on."""
        if self._busy_since is None:
            self._busy_since = now
        while self._samples and now - self._samples[0][0] > _MAX_SAMPLE_AGE:
            self._samples.popleft()

    def pause(self, now: float) -> None:
        """Note that no bytes are expected until the next call of `begin` or `note`."""
        if self._busy_since is not None:
            self._busy_time += now - self._busy_since
            self._busy_since = None

    def mark_link_limited(self) -> None:
        """Note that the link may limit the current sample, as bodies wait for it or are queued on it."""
        self._is_link_limited = True

    def note(self, size: int, now: float) -> None:
        """Record that `size` bytes have arrived."""
        self.begin(now)
        self._bytes += size
        busy_time = self._busy_time + now - self._busy_since
        if busy_time >= _SAMPLE_TIME:
            self._add_sample(self._bytes / busy_time, now)
            self._busy_time, self._bytes, self._busy_since = 0.0, 0, now
            self._is_link_limited = False

    def _add_sample(self, sample: float, now: float) -> None:
        if self._is_link_limited or self.value is None or sample > self.value:
            self._samples.append((now, sample))
