# SPDX-License-Identifier: BSD-3-Clause
"""The limit on the bodies that are on their way to one daemon.

All that comes to a daemon goes through one link: versions, endpoints, heartbeats and
short calls wait behind the bodies that stand there. So the receiver, who alone sees all
senders, says when each may send its body, and lets only as much onto the link as it
brings in a short time.
"""

from lanedock.config import TrafficClass
from lanedock.errors import ErrorCode
from lanedock.limits.body_transfer import QUEUE_TIME, BodyTransfer
from lanedock.limits.delivery_rate import DeliveryRate
from lanedock.limits.queue import AdmissionQueue, AdmissionRequest
from lanedock.limits.slots import Refused

__all__ = ["BodyAdmission"]

# Bytes on their way at most before a rate was observed: 1 ms of a link of 1 Gbit/s, about as
# long as a consent takes.
_FIRST_BYTES = 128 * 1024
# Rate that a link is taken to have in any case, in bytes a second (2 Mbit/s), where it isn't
# known to be narrower. Senders that are slow themselves look like a narrow link; this bounds
# what they can hold up.
_LEAST_RATE = 250_000.0
# Bodies on their way in any case, so that one slow sender can't hold up all others.
_LEAST_BODIES = 2
# Bodies that don't come keep their place on the link: they may come at any moment, all at
# once. One more is let in from time to time only to see whether they wait for the link or
# for their senders: after `QUEUE_TIME`, and then, while none begins to come, after
# _PROBE_GROWTH times as long each time, up to _MAX_PROBE_INTERVAL, in seconds.
_PROBE_GROWTH = 4
_MAX_PROBE_INTERVAL = 2.0
# Part of all bodies on their way that a full link brings before a probe is let in again:
# with less, short messages wait behind slow senders; with more, the link isn't used up.
_COMING_PART = 0.25
# Where a body begins to come within this time of the least that was seen, in seconds,
# only a short queue stands on the link: half of what may stand there. Without the least
# time, here and in `_limit`, slow senders that are far away would look like a narrow link.
_CLEAR_TIME = QUEUE_TIME / 2
# Links up to this rate, in bytes a second (10 Mbit/s), have bodies sent at a pace: a body of
# 60 kB that is sent at once holds up short calls there for longer than they have.
_PACED_RATE = 1_250_000.0
# Part of such a link that paced bodies take together; short messages take the rest.
_PACED_PART = 0.9
# Estimated waits are means, as for slots; no unit.
_WAIT_MARGIN = 1.5


class BodyAdmission:
    """Says when bodies may be sent to one daemon. Pure; times are monotonic seconds.

    Bodies wait in the order of the requests that wait for slots: by class, then by target
    time.

    Parameters
    ----------
    queue : int
        Bodies that may wait.
    classes : dict of str to TrafficClass
    link_rate : float, optional
        Of the link, in bytes a second, as far as it is known; what is observed is taken to be
        at most this.
    """

    def __init__(self, queue: int, classes: dict[str, TrafficClass], link_rate: float | None = None):
        self._queue = AdmissionQueue(queue, classes)
        self._link_rate = float("inf") if link_rate is None else link_rate
        self._is_paced = self._link_rate <= _PACED_RATE
        self._coming: dict[BodyTransfer, None] = {}
        self._rate = DeliveryRate()
        # Least time to a body's first bytes, in seconds: of the way there and back. At most
        # `QUEUE_TIME`, so that an application that is late with the first body, or a full
        # link, isn't taken for a long way.
        self._least_delay = QUEUE_TIME
        # When the next body may be let in as a probe, and how long after it another one.
        self._probe_at = 0.0
        self._probe_interval = QUEUE_TIME

    def __repr__(self) -> str:
        return f"<BodyAdmission outstanding={self.outstanding} waiting={self.waiting} {self._rate!r}>"

    @property
    def outstanding(self) -> int:
        """Bytes that may be on their way."""
        return sum(transfer.left for transfer in self._coming)

    @property
    def waiting(self) -> int:
        """Bodies that wait."""
        return len(self._queue)

    @property
    def rate(self) -> float | None:
        """The observed rate, in bytes a second; None before there is one."""
        observed = self._rate.value
        return None if observed is None else min(observed, self._link_rate)

    def configure(self, queue: int, classes: dict[str, TrafficClass]) -> None:
        """Take over another version's numbers; what waits or comes stays."""
        self._queue.configure(queue, classes)

    def acquire(
        self,
        traffic_class: str,
        request: AdmissionRequest,
        size: int | None,
        expires_at: float,
        now: float,
        on_admitted,
    ) -> BodyTransfer | Refused:
        """Ask whether a body may be sent.

        Parameters
        ----------
        traffic_class : str
        request : AdmissionRequest
        size : int or None
            In bytes; None where it isn't known.
        expires_at : float
            Until when it may wait.
        now : float
        on_admitted : callable
            Called without arguments once it may, where it has to wait.

        Returns
        -------
        BodyTransfer
            It has to wait where `is_admitted` is false. To be ended by `end`.
        Refused
            It can't come in time; with the estimated wait.
        """
        transfer = BodyTransfer(traffic_class, request, on_admitted, expires_at, size)
        rate = self._assumed_rate()
        standing = self._count(now)
        is_first = not (standing or self.waiting)
        # Where nothing else comes, a body shows the rate, however slow it seemed before.
        if is_first:
            self._admit(transfer, now)
            return transfer
        ahead = standing + sum(other.size for other in self._queue.list_ahead(traffic_class, request))
        # Before a rate was observed any body may be in time that the link itself can bring.
        seconds_per_byte = 1 / (self._link_rate if self.rate is None else rate)
        shared = self._count_before(transfer.size, now)
        may_come = now + (shared + transfer.size) * seconds_per_byte <= request.start_by
        if not self.waiting and may_come and self._may_admit(now):
            self._admit(transfer, now)
            return transfer
        arrival = now + (ahead + transfer.size) * seconds_per_byte
        wait = max(0.0, ahead - self._limit()) * seconds_per_byte
        is_hopeless = now + _WAIT_MARGIN * wait > expires_at or arrival > request.target_or_deadline
        if is_hopeless or not (self._queue.has_room(traffic_class) or self._queue.evict_for(traffic_class, request)):
            return Refused(ErrorCode.OVERLOADED, wait, "link")
        self._queue.add(transfer)
        self._rate.mark_limited()
        self.update(now)
        return transfer

    def begin(self, transfer: BodyTransfer, now: float) -> bool:
        """Note that an admitted body's sender is asked for it.

        Returns
        -------
        bool
            False where others took its place on the link while its request waited for a
            slot: then it must not be asked for, but wait for the link again.
        """
        has_lapsed = not transfer.count(now)
        if has_lapsed and not self._may_admit(now):
            return False
        if has_lapsed:
            self._admit(transfer, now)
        rate = self._assumed_rate()
        self._coming.pop(transfer, None)
        transfer.begin(now, self._least_delay + self._count(now) / rate)
        self._coming[transfer] = None
        transfer.pace = self._choose_pace()
        self._rate.begin(now)
        return True

    def _choose_pace(self) -> float:
        """Return the pace of the body that was asked for last: its part of the link."""
        if not self._is_paced:
            return float("inf")
        sending = sum(other.is_begun and not other.is_overtaken for other in self._coming)
        return _PACED_PART * self._link_rate / sending

    def note(self, transfer: BodyTransfer, size: int, now: float) -> None:
        """Take in that bytes of a body have come."""
        if transfer not in self._coming:
            return
        if size and not transfer.has_come:
            self._note_first_bytes(transfer, now - transfer.begun_at, now)
        transfer.note(size)
        self._rate.note(size, now)
        if transfer.is_received:
            self.end(transfer, now)
        else:
            self.update(now)

    def _note_first_bytes(self, transfer: BodyTransfer, delay: float, now: float) -> None:
        """Take in that a body begins to come, `delay` seconds after its sender was asked."""
        self._least_delay = min(self._least_delay, delay)
        self._probe_interval = QUEUE_TIME
        is_clear = delay <= self._least_delay + _CLEAR_TIME
        if self._note_overtaken(transfer, is_clear, delay, now) or is_clear:
            self._probe_at = now
            return
        # The link is full: it needs as long again, and what still comes takes a part of it.
        coming = _COMING_PART * self.outstanding / self._assumed_rate()
        self._probe_at = now + max(delay - self._least_delay, min(_MAX_PROBE_INTERVAL, coming))
        self._rate.mark_limited()

    def _note_overtaken(self, transfer: BodyTransfer, is_clear: bool, delay: float, now: float) -> bool:
        """Note which bodies one has come past: those asked for before, whose rest isn't there yet.

        A link is one queue. So what is left of them wasn't sent when this one was,
        and it isn't the link that they wait for. Where this one itself comes late, by the
        link or from far, that is known of those only that were asked for earlier by as
        much, and of which nothing has come. One that is sent at a pace is with its sender
        for the most part: it counts as overtaken where it comes slower than that.

        Returns
        -------
        bool
            Whether there are any that weren't known.
        """
        is_any = False
        for other in self._coming:
            if not other.is_begun or other.is_overtaken or other is transfer:
                continue
            if self._is_paced and not other.is_slow(now, other.pace):
                continue
            if is_clear:
                is_past = other.begun_at < transfer.begun_at
            else:
                is_past = not other.has_come and other.begun_at + delay < transfer.begun_at
            if is_past:
                is_any = other.is_overtaken = True
        return is_any

    def end(self, transfer: BodyTransfer, now: float) -> None:
        """Note that nothing more of a body will come, or that it isn't wanted; again without effect."""
        self._queue.remove(transfer)
        if transfer in self._coming:
            del self._coming[transfer]
            if not any(other.is_begun for other in self._coming):
                self._rate.pause(now)
        self.update(now)

    def update(self, now: float) -> None:
        """Let bodies come that wait, as far as there is room.

        To be called every `QUEUE_TIME` while any wait: those on their way may have
        turned out to be slow.
        """
        if self.waiting:
            self._rate.mark_limited()
        for name in self._queue.list_classes():
            while self._queue.has_queued(name):
                if not self._may_admit(now):
                    return
                transfer = self._queue.pop_first(name)
                self._admit(transfer, now)
                transfer.on_admitted()

    def _admit(self, transfer: BodyTransfer, now: float) -> None:
        if not self._has_room(now):
            self._probe_at = now + self._probe_interval
            self._probe_interval = min(_MAX_PROBE_INTERVAL, _PROBE_GROWTH * self._probe_interval)
        transfer.admit(now)
        self._coming[transfer] = None

    def _may_admit(self, now: float) -> bool:
        return self._has_room(now) or self._is_probe_due(now)

    def _has_room(self, now: float) -> bool:
        counts = {transfer: transfer.count(now) for transfer in self._coming}
        quick = [transfer for transfer, count in counts.items() if count and not transfer.is_overtaken]
        if not self._is_paced:
            return len(quick) < _LEAST_BODIES or sum(counts.values()) < self._limit()
        # One at a time comes sooner than two that share the link; a slow sender holds up no others.
        return not quick or (len(quick) < _LEAST_BODIES and quick[0].is_slow(now, quick[0].pace))

    def _is_probe_due(self, now: float) -> bool:
        """Tell whether a body may be let in to see what those that are late wait for.

        If it begins to come soon, they wait for their senders and not for the link: see
        `_note_overtaken`.
        """
        if now < self._probe_at:
            return False
        rate = self._assumed_rate()
        return any(other.is_begun and not other.is_overtaken and other.is_slow(now, rate) for other in self._coming)

    def _count(self, now: float) -> float:
        return sum(transfer.count(now) for transfer in self._coming)

    def _count_before(self, size: int, now: float) -> float:
        """Return the bytes on their way that come before the last of a body of `size`, if it is let in now.

        Bodies that come together share the link: of each, at most as much comes meanwhile.
        With all that is left of them, one slow large body has all others refused.
        """
        return sum(min(size, transfer.count(now)) for transfer in self._coming)

    def _limit(self) -> float:
        """Return the bytes from which on no other body is let in."""
        # What is on the way to the link doesn't stand there.
        time = self._least_delay + QUEUE_TIME
        if self.rate is None:
            return min(_FIRST_BYTES, self._link_rate * time)
        return self._assumed_rate() * time

    def _assumed_rate(self) -> float:
        return min(self._link_rate, max(_LEAST_RATE, self.rate or 0.0))
