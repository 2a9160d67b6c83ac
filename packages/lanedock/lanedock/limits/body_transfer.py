# SPDX-License-Identifier: BSD-3-Clause
"""A body that is to come to a daemon, or on its way."""

from lanedock.limits.queue import AdmissionRequest, QueuedRequest

__all__ = ["QUEUE_TIME", "BodyTransfer"]

# Time that the bodies on their way should take, in seconds: several round trips between
# zones, so that a link never waits for a consent, and half of what the shortest calls
# may take (0.2 s).
QUEUE_TIME = 0.1
# Part of the observed rate: whoever brings less of a body may be slow. Half, as other
# bodies that come meanwhile take their part.
_SLOW_PART = 0.5
# Part of what a slow sender brings in `QUEUE_TIME` by which its body counts: under 1, so
# that slow senders are let in until they fill the link, as BBR's windows of twice the
# product of rate and delay find more of it.
_PROBE_PART = 0.5
# Size that a body is taken to have where its sender doesn't say, in bytes.
_UNKNOWN_SIZE = 64 * 1024


class BodyTransfer(QueuedRequest):
    """A body that is to come, or on its way.

    Attributes
    ----------
    size : int
        In bytes.
    left : int
        Bytes that haven't come yet; all of `size` to its end where that is a guess.
    is_admitted : bool
        Whether its sender may be asked to send it.
    begun_at : float or None
        When its sender was asked; None before.
    pace : float
        Bytes a second at which its sender is asked to send it; infinite for any.
    is_overtaken : bool
        Whether another body, asked for later, has come past it: what is left of it
        isn't on the link, then, but with its sender.
    """

    __slots__ = (
        "_has_size",
        "_late_from",
        "_received",
        "begun_at",
        "is_admitted",
        "is_overtaken",
        "left",
        "pace",
        "size",
    )

    def __init__(self, traffic_class: str, request: AdmissionRequest, on_admitted, expires_at: float, size: int | None):
        super().__init__(traffic_class, request, on_admitted, expires_at)
        self._has_size = size is not None
        self.size = self.left = _UNKNOWN_SIZE if size is None else size
        self.is_admitted = False
        self.begun_at: float | None = None
        self.is_overtaken = False
        self.pace = float("inf")
        self._received = 0
        self._late_from = 0.0

    def __repr__(self) -> str:
        return f"<BodyTransfer {self.left}/{self.size} is_admitted={self.is_admitted} {self.request!r}>"

    @property
    def is_begun(self) -> bool:
        """Whether its sender was asked to send it."""
        return self.begun_at is not None

    @property
    def has_come(self) -> bool:
        """Whether some of it has come."""
        return self._received > 0

    @property
    def is_received(self) -> bool:
        """Whether all of it is known to have come."""
        return self._has_size and self.left == 0

    def admit(self, now: float) -> None:
        """Let it come."""
        self.is_admitted = True
        self._late_from = now + QUEUE_TIME

    def begin(self, now: float, wait: float) -> None:
        """Note that its sender is asked now, and that it should begin to come within `wait` seconds."""
        self.begun_at = now
        self._late_from = now + wait + QUEUE_TIME

    def note(self, size: int) -> None:
        """Take in that bytes of it have come; where its size isn't known as much may follow."""
        self._received += size
        if self._has_size:
            self.left = max(0, self.left - size)

    def is_slow(self, now: float, rate: float) -> bool:
        """Tell whether it comes at less than half of a rate, from when it should begin to come."""
        late = now - self._late_from
        return late >= 0 and self._received <= _SLOW_PART * min(rate, self.pace) * late

    def count(self, now: float) -> float:
        """Return the bytes by which it counts as on its way.

        However late it is, it may stand on the link or come onto it at any moment. One
        whose request still waits for a slot holds up no others: it counts for a moment
        only until its sender is asked.
        """
        if self.is_overtaken:
            own_rate = self._received / max(now - self.begun_at, QUEUE_TIME)
            return min(self.left, _PROBE_PART * own_rate * QUEUE_TIME)
        if not self.is_begun and now >= self._late_from:
            return 0.0
        return self.left
