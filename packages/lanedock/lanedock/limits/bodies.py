# SPDX-License-Identifier: BSD-3-Clause
"""The limit on the request bodies in flight to one daemon.

Everything sent to a daemon shares one link: configuration versions, endpoint updates,
heartbeats and short calls queue behind the bodies there. Only the receiver sees all
senders, so the receiver tells each sender when to send its body. It admits only as many
bytes as the link delivers in a short time.
"""

from lanedock.config import TrafficClass
from lanedock.errors import ErrorCode
from lanedock.limits.body_transfer import MAX_LINK_QUEUE_TIME, BodyTransfer
from lanedock.limits.delivery_rate import DeliveryRate
from lanedock.limits.queue import AdmissionQueue, AdmissionRequest
from lanedock.limits.slots import Refused

__all__ = ["BodyAdmission"]

# Bytes that may be in flight before a rate has been observed: what a link of 1 Gbit/s
# delivers in 1 ms, about the time in which a sender receives its permission.
_INITIAL_LIMIT = 128 * 1024
# Least rate assumed of a link that isn't known to be narrower, in bytes per second (2 Mbit/s).
# Slow senders look like a narrow link; this bounds how much they can delay others.
_MIN_RATE = 250_000.0
# Bodies that may be in flight at once in any case, so that one slow sender can't block all others.
_MIN_CONCURRENT = 2
# Bodies that don't arrive still count as in flight, as all of them may arrive at once at any
# moment. Now and then one more body is admitted as a probe, only to see whether the late
# bodies wait for the link or for their senders. The first probe follows after `MAX_LINK_QUEUE_TIME`.
# While no body begins to arrive, each further interval is _PROBE_GROWTH times as long, up to
# _MAX_PROBE_INTERVAL, in seconds.
_PROBE_GROWTH = 4
_MAX_PROBE_INTERVAL = 2.0
# Fraction of the outstanding bytes that a full link delivers before the next probe. With a
# smaller fraction, short messages wait behind slow senders; with a larger one, a part of the
# link stays unused.
_PROBE_DELIVERY_FRACTION = 0.25
# Excess of a body's first-byte delay over the least delay seen, in seconds, up to which the
# queue on the link counts as short: half of the queue allowed. Here and in `_byte_limit`, the
# least delay is taken into account so that slow, distant senders don't look like a narrow link.
_SHORT_QUEUE_TIME = MAX_LINK_QUEUE_TIME / 2
# Rate up to which a link's bodies are paced, in bytes per second (10 Mbit/s). On such a link a
# body of 60 kB that is sent at once delays short calls for longer than their timeouts.
_MAX_PACED_RATE = 1_250_000.0
# Fraction of a paced link that all bodies together take; the rest is left to short messages.
_PACED_FRACTION = 0.9
# Factor applied to an estimated wait, which is a mean, before it is compared with the time
# available, as in the slot limiter.
_WAIT_MARGIN = 1.5


class BodyAdmission:
    """Decides when bodies may be sent to one daemon.

    Does no I/O and reads no clock; times are monotonic, in seconds. Bodies wait in the same
    order as requests that wait for slots: by customer's priority, then by class, then by target time.

    Parameters
    ----------
    queue : int
        Bodies that may wait.
    classes : dict of str to TrafficClass
    link_rate : float, optional
        Rate of the link, in bytes per second, if known; an upper bound of the observed rate.
    """

    def __init__(self, queue: int, classes: dict[str, TrafficClass], link_rate: float | None = None):
        self._queue = AdmissionQueue(queue, classes, self._count_admitted)
        self._link_rate = float("inf") if link_rate is None else link_rate
        self._is_paced = self._link_rate <= _MAX_PACED_RATE
        self._admitted: dict[BodyTransfer, None] = {}
        self._delivery_rate = DeliveryRate()
        # Least delay until a body's first bytes, in seconds: an estimate of the round trip. At
        # most `MAX_LINK_QUEUE_TIME`, so that neither an application that reads its first body late nor
        # a full link is taken for a long round trip.
        self._min_delay = MAX_LINK_QUEUE_TIME
        # When the next probe may be admitted, and the interval from it to the following one.
        self._probe_at = 0.0
        self._probe_interval = MAX_LINK_QUEUE_TIME

    def __repr__(self) -> str:
        return f"<BodyAdmission outstanding={self.outstanding} waiting={self.waiting} {self._delivery_rate!r}>"

    @property
    def outstanding(self) -> int:
        """Bytes of admitted bodies that haven't arrived yet."""
        return sum(transfer.remaining for transfer in self._admitted)

    @property
    def waiting(self) -> int:
        """Bodies that wait."""
        return len(self._queue)

    @property
    def rate(self) -> float | None:
        """The observed rate, in bytes per second; None before there is a sample."""
        observed = self._delivery_rate.value
        return None if observed is None else min(observed, self._link_rate)

    def configure(self, queue: int, classes: dict[str, TrafficClass]) -> None:
        """Apply the limits of another configuration version; waiting and admitted bodies are kept."""
        self._queue.configure(queue, classes)

    def acquire(
        self,
        traffic_class: str,
        request: AdmissionRequest,
        size: int | None,
        expires_at: float,
        now: float,
        on_decided,
    ) -> BodyTransfer | Refused:
        """Ask whether a body may be sent.

        Parameters
        ----------
        traffic_class : str
        request : AdmissionRequest
        size : int or None
            Size of the body, in bytes; None if unknown.
        expires_at : float
            Time until which the body may wait.
        now : float
        on_decided : callable
            Called without arguments when a body that had to wait is admitted or evicted.

        Returns
        -------
        BodyTransfer
            If its `is_admitted` is false, the body has to wait. `end` must be called in the end.
        Refused
            The body can't arrive in time, or the queue is full; `retry_after` is the
            estimated wait.
        """
        transfer = BodyTransfer(traffic_class, request, on_decided, expires_at, size)
        rate = self._assumed_rate()
        in_flight = self._bytes_in_flight(now)
        is_alone = not (in_flight or self.waiting)
        # A body that is alone on the link measures its rate again, however low the former estimate.
        if is_alone:
            self._admit(transfer, now)
            return transfer
        bytes_ahead = in_flight + sum(other.size for other in self._queue.list_ahead(traffic_class, request))
        # Before a rate has been observed, only the link's own rate bounds which bodies can be in time.
        seconds_per_byte = 1 / (self._link_rate if self.rate is None else rate)
        concurrent_bytes = self._concurrent_bytes(transfer.size, now)
        can_be_in_time = now + (concurrent_bytes + transfer.size) * seconds_per_byte <= request.start_by
        if not self.waiting and can_be_in_time and self._may_admit(now):
            self._admit(transfer, now)
            return transfer
        arrival = now + (bytes_ahead + transfer.size) * seconds_per_byte
        wait = max(0.0, bytes_ahead - self._byte_limit()) * seconds_per_byte
        would_be_late = now + _WAIT_MARGIN * wait > expires_at or arrival > request.target_or_deadline
        if would_be_late or not (self._queue.has_room(traffic_class) or self._queue.evict_for(traffic_class, request)):
            return Refused(ErrorCode.OVERLOADED, wait, "link")
        self._queue.add(transfer)
        self._delivery_rate.mark_link_limited()
        self.update(now)
        return transfer

    def begin(self, transfer: BodyTransfer, now: float) -> bool:
        """Note that the sender of an admitted body is asked for it.

        Returns
        -------
        bool
            False if other bodies took this one's place on the link while its request waited
            for a slot. The sender must not be asked then; the body has to wait for the link
            again.
        """
        has_lapsed = not transfer.bytes_in_flight(now)
        if has_lapsed and not self._may_admit(now):
            return False
        if has_lapsed:
            self._admit(transfer, now)
        rate = self._assumed_rate()
        self._admitted.pop(transfer, None)
        transfer.begin(now, self._min_delay + self._bytes_in_flight(now) / rate)
        self._admitted[transfer] = None
        transfer.pace = self._choose_pace()
        self._delivery_rate.begin(now)
        return True

    def _choose_pace(self) -> float:
        """Return the pace of the body that was asked for last, in bytes per second: its fraction of the link."""
        if not self._is_paced:
            return float("inf")
        sending = sum(other.is_begun and not other.is_overtaken for other in self._admitted)
        return _PACED_FRACTION * self._link_rate / sending

    def note(self, transfer: BodyTransfer, size: int, now: float) -> None:
        """Record that `size` bytes of a body have arrived."""
        if transfer not in self._admitted:
            return
        if size and not transfer.has_received_any:
            self._note_first_bytes(transfer, now - transfer.begun_at, now)
        transfer.note(size)
        self._delivery_rate.note(size, now)
        if transfer.is_received:
            self.end(transfer, now)
        else:
            self.update(now)

    def _note_first_bytes(self, transfer: BodyTransfer, delay: float, now: float) -> None:
        """Record that a body's first bytes arrive, `delay` seconds after its sender was asked."""
        self._min_delay = min(self._min_delay, delay)
        self._probe_interval = MAX_LINK_QUEUE_TIME
        is_queue_short = delay <= self._min_delay + _SHORT_QUEUE_TIME
        if self._mark_overtaken(transfer, is_queue_short, delay, now) or is_queue_short:
            self._probe_at = now
            return
        # The link is full: the next probe has to wait until the queue, which delayed this body,
        # is delivered, and until a fraction of the outstanding bytes is.
        delivery_time = _PROBE_DELIVERY_FRACTION * self.outstanding / self._assumed_rate()
        self._probe_at = now + max(delay - self._min_delay, min(_MAX_PROBE_INTERVAL, delivery_time))
        self._delivery_rate.mark_link_limited()

    def _mark_overtaken(self, transfer: BodyTransfer, is_queue_short: bool, delay: float, now: float) -> bool:
        """Mark the earlier bodies that a body overtakes when its first bytes arrive.

        A link is a first-in, first-out queue. The remaining bytes of a body that was asked for
        earlier were therefore not sent when this one was, and wait for their sender instead of
        the link. If this body itself is late, because of a full link or a distant sender, it
        overtakes only bodies that were asked for earlier by at least its own delay and of
        which nothing has arrived. Most of a paced body is still with its sender in any case,
        so a paced body counts as overtaken only if it arrives more slowly than its pace.

        Returns
        -------
        bool
            Whether any bodies were newly marked.
        """
        has_marked = False
        for other in self._admitted:
            if not other.is_begun or other.is_overtaken or other is transfer:
                continue
            if self._is_paced and not other.is_slow(now, other.pace):
                continue
            if is_queue_short:
                has_passed = other.begun_at < transfer.begun_at
            else:
                has_passed = not other.has_received_any and other.begun_at + delay < transfer.begun_at
            if has_passed:
                has_marked = other.is_overtaken = True
        return has_marked

    def end(self, transfer: BodyTransfer, now: float) -> None:
        """Note that no more of a body will arrive, or that it isn't wanted; a second call has no effect."""
        self._queue.remove(transfer)
        if transfer in self._admitted:
            del self._admitted[transfer]
            if not any(other.is_begun for other in self._admitted):
                self._delivery_rate.pause(now)
        self.update(now)

    def update(self, now: float) -> None:
        """Admit waiting bodies as far as there is room.

        To be called every `MAX_LINK_QUEUE_TIME` while any wait: admitted bodies may have turned out to be
        late, which makes room or lets a probe be admitted.
        """
        if self.waiting:
            self._delivery_rate.mark_link_limited()
        for group in self._queue.list_groups():
            while self._queue.has_queued(group):
                if not self._may_admit(now):
                    return
                transfer = self._queue.pop_first(group)
                self._admit(transfer, now)
                transfer.on_decided()

    def _count_admitted(self, customer: str) -> int:
        return sum(transfer.request.customer == customer for transfer in self._admitted)

    def _admit(self, transfer: BodyTransfer, now: float) -> None:
        if not self._has_room(now):
            self._probe_at = now + self._probe_interval
            self._probe_interval = min(_MAX_PROBE_INTERVAL, _PROBE_GROWTH * self._probe_interval)
        transfer.admit(now)
        self._admitted[transfer] = None

    def _may_admit(self, now: float) -> bool:
        return self._has_room(now) or self._is_probe_due(now)

    def _has_room(self, now: float) -> bool:
        in_flight = {transfer: transfer.bytes_in_flight(now) for transfer in self._admitted}
        occupying = [transfer for transfer, count in in_flight.items() if count and not transfer.is_overtaken]
        if not self._is_paced:
            return len(occupying) < _MIN_CONCURRENT or sum(in_flight.values()) < self._byte_limit()
        # One body at a time arrives sooner than two that share the link, but a slow sender must not
        # delay others.
        return not occupying or (len(occupying) < _MIN_CONCURRENT and occupying[0].is_slow(now, occupying[0].pace))

    def _is_probe_due(self, now: float) -> bool:
        """Return whether a body may be admitted as a probe, to find out what late bodies wait for.

        If the probe begins to arrive soon, the late bodies wait for their senders and not for
        the link; see `_mark_overtaken`.
        """
        if now < self._probe_at:
            return False
        rate = self._assumed_rate()
        return any(other.is_begun and not other.is_overtaken and other.is_slow(now, rate) for other in self._admitted)

    def _bytes_in_flight(self, now: float) -> float:
        return sum(transfer.bytes_in_flight(now) for transfer in self._admitted)

    def _concurrent_bytes(self, size: int, now: float) -> float:
        """Return the bytes in flight that arrive before the end of a body of `size` bytes admitted now.

        Concurrent bodies share the link, so at most `size` bytes of each arrive meanwhile. If
        all their remaining bytes counted, one slow large body would cause all others to be
        refused.
        """
        return sum(min(size, transfer.bytes_in_flight(now)) for transfer in self._admitted)

    def _byte_limit(self) -> float:
        """Return the bytes in flight from which on no further body is admitted."""
        # Bytes that are still on the way to the link are in flight, but not queued there.
        time = self._min_delay + MAX_LINK_QUEUE_TIME
        if self.rate is None:
            return min(_INITIAL_LIMIT, self._link_rate * time)
        return self._assumed_rate() * time

    def _assumed_rate(self) -> float:
        return min(self._link_rate, max(_MIN_RATE, self.rate or 0.0))
