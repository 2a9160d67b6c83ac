# SPDX-License-Identifier: BSD-3-Clause
"""The state of one request body that waits for, or is in flight on, a daemon's link."""

from lanedock.limits.queue import AdmissionRequest, QueuedRequest

__all__ = ["MAX_LINK_QUEUE_TIME", "BodyTransfer"]

# Time that the link should need for the bodies in flight, in seconds: several round trips
# between zones, so that the link is never idle while a sender waits for permission, and half
# of the time available to the shortest calls (0.2 s).
MAX_LINK_QUEUE_TIME = 0.1
# Fraction of a rate up to which a body counts as slow. Half, as other bodies that arrive
# meanwhile take a part of the link.
_SLOW_FRACTION = 0.5
# A slow sender's body counts as in flight with this fraction of what it delivers in `MAX_LINK_QUEUE_TIME`.
# Below 1, so that further slow senders are admitted until they fill the link; BBR's windows of
# twice the bandwidth-delay product find unused bandwidth in the same way.
_OVERTAKEN_FRACTION = 0.5
# Size assumed for a body whose sender doesn't state it, in bytes.
_DEFAULT_SIZE = 64 * 1024


class BodyTransfer(QueuedRequest):
    """A body that waits for the link, or is in flight.

    Attributes
    ----------
    size : int
        In bytes.
    remaining : int
        Bytes that haven't arrived yet; always `size` if the sender didn't state the size.
    is_admitted : bool
        Whether the sender may be asked for the body.
    begun_at : float or None
        Monotonic, seconds; when the sender was asked for the body. None before.
    pace : float
        Rate at which the sender is asked to send, in bytes per second; infinite for no limit.
    is_overtaken : bool
        Whether bytes of a body that was asked for later have arrived first. The remaining
        bytes of this body are then still with its sender, not on the link.
    """

    __slots__ = (
        "_expected_at",
        "_is_size_known",
        "_received",
        "begun_at",
        "is_admitted",
        "is_overtaken",
        "pace",
        "remaining",
        "size",
    )

    def __init__(self, traffic_class: str, request: AdmissionRequest, on_decided, expires_at: float, size: int | None):
        super().__init__(traffic_class, request, on_decided, expires_at)
        self._is_size_known = size is not None
        self.size = self.remaining = _DEFAULT_SIZE if size is None else size
        self.is_admitted = False
        self.begun_at: float | None = None
        self.is_overtaken = False
        self.pace = float("inf")
        self._received = 0
        self._expected_at = 0.0

    def __repr__(self) -> str:
        return f"<BodyTransfer {self.remaining}/{self.size} is_admitted={self.is_admitted} {self.request!r}>"

    @property
    def is_begun(self) -> bool:
        """Whether the sender was asked for the body."""
        return self.begun_at is not None

    @property
    def has_received_any(self) -> bool:
        """Whether bytes of the body have arrived."""
        return self._received > 0

    @property
    def is_received(self) -> bool:
        """Whether the whole body is known to have arrived."""
        return self._is_size_known and self.remaining == 0

    def admit(self, now: float) -> None:
        """Allow the sender to be asked for the body."""
        self.is_admitted = True
        self._expected_at = now + MAX_LINK_QUEUE_TIME

    def begin(self, now: float, wait: float) -> None:
        """Note that the sender is asked for the body, whose first bytes are expected within `wait` seconds."""
        self.begun_at = now
        self._expected_at = now + wait + MAX_LINK_QUEUE_TIME

    def note(self, size: int) -> None:
        """Record that `size` bytes have arrived; with an unknown size, `remaining` stays as it is."""
        self._received += size
        if self._is_size_known:
            self.remaining = max(0, self.remaining - size)

    def is_slow(self, now: float, rate: float) -> bool:
        """Return whether the body arrives at less than half of a rate, or of its pace if that is lower.

        Parameters
        ----------
        now : float
        rate : float
            Bytes per second, counted from the time at which the first bytes were expected.
        """
        overdue = now - self._expected_at
        return overdue >= 0 and self._received <= _SLOW_FRACTION * min(rate, self.pace) * overdue

    def bytes_in_flight(self, now: float) -> float:
        """Return the bytes that count as in flight.

        However late the remaining bytes of a body are, they may already be on the link or
        enter it at any moment, so all of them count. Two kinds of bodies count less:
        overtaken bodies, whose senders are slow, and bodies whose requests still wait for
        a slot. The latter count for `MAX_LINK_QUEUE_TIME` after admission, and then not until their
        senders are asked, so that they don't delay others.
        """
        if self.is_overtaken:
            own_rate = self._received / max(now - self.begun_at, MAX_LINK_QUEUE_TIME)
            return min(self.remaining, _OVERTAKEN_FRACTION * own_rate * MAX_LINK_QUEUE_TIME)
        if not self.is_begun and now >= self._expected_at:
            return 0.0
        return self.remaining
