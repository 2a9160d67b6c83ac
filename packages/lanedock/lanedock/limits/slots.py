# SPDX-License-Identifier: BSD-3-Clause
"""The limit on one upstream's work: its slots, the rate that it takes, and a short queue for them.

An upstream's daemon is the only way in, so it knows the slots in use exactly.
It refuses early: a request that could not be answered in time is refused before
it waits.
"""

from random import Random

from lanedock.config import TrafficClass
from lanedock.errors import ErrorCode
from lanedock.limits.queue import AdmissionQueue, AdmissionRequest, QueuedRequest
from lanedock.limits.rate import RateLimiter
from lanedock.limits.service_times import ServiceTimes
from lanedock.limits.shares import SlotShares

__all__ = ["Refused", "SlotLimiter"]

# Time that a request is taken to need before any has ended, in seconds, where it
# has no target time; else this part of the time to its target. It guards a start
# under load, when a whole queue would be admitted that ends late.
_FIRST_ESTIMATE = 0.005
_FIRST_PART = 0.5
# Estimated waits are means, and requests of a higher priority come in between: a
# request waits where this many times the estimate is in time. Callers are better
# refused at once than after they have waited for nothing; no unit.
_WAIT_MARGIN = 1.5
# Slots that come free while a request may wait in any case, if it is expected to be
# in time at all: one, by the margin above. Where requests take nearly as long as callers
# give them nobody would wait otherwise, and late retries would take each free slot.
_NEXT_SLOTS = 1.6
# Retry delay where the application takes no requests at all, in seconds.
_NOTHING_TAKEN = 5.0
# Spread of the retry delays, as parts of the estimate, so that callers that were
# refused together don't retry together.
_SPREAD = (0.5, 1.5)


class Refused:
    """A request was refused; it did not run.

    Parameters
    ----------
    code : ErrorCode
    retry_after : float
        Seconds after which it is worth asking again.
    limit : str, optional
        By which it was refused: "slots", "rate" or "link".
    """

    __slots__ = ("code", "limit", "retry_after")

    def __init__(self, code: ErrorCode, retry_after: float, limit: str = "slots"):
        self.code = code
        self.limit = limit
        self.retry_after = retry_after

    def __repr__(self) -> str:
        return f"<Refused {self.code.code} retry_after={self.retry_after:.3f}>"


class SlotLimiter:
    """Slots of one upstream, shared among traffic classes. Pure.

    Parameters
    ----------
    slots : int
    queue : int
        Requests that may wait.
    classes : dict of str to TrafficClass
    rng : random.Random, optional
        Spreads the retry delays.

    Attributes
    ----------
    rate : RateLimiter
        What the application takes in a second.
    """

    def __init__(self, slots: int, queue: int, classes: dict[str, TrafficClass], rng: Random | None = None):
        self._rng = rng or Random()
        self._shares = SlotShares(slots, classes)
        self._queue = AdmissionQueue(queue, classes)
        self._times = ServiceTimes()
        self.rate = RateLimiter()
        self._full_since: float | None = None

    def __repr__(self) -> str:
        return f"<SlotLimiter {self._shares!r} {self._queue!r}>"

    @property
    def slots(self) -> int:
        """Requests that are worked on at once, at most."""
        return self._shares.slots

    @property
    def queue(self) -> int:
        """Requests that may wait."""
        return self._queue.limit

    @property
    def in_use(self) -> int:
        """Requests that are worked on."""
        return self._shares.in_use

    @property
    def waiting(self) -> int:
        """Requests that wait."""
        return len(self._queue)

    def classes_in_use(self) -> list[str]:
        """Return the classes of the requests that are worked on."""
        return self._shares.classes_in_use()

    def configure(self, slots: int, queue: int, classes: dict[str, TrafficClass]) -> None:
        """Take over another version's numbers; work in progress is kept."""
        self._shares.configure(slots, classes)
        self._queue.configure(queue, classes)

    def acquire(
        self, traffic_class: str, request: AdmissionRequest, now: float, on_admitted
    ) -> QueuedRequest | Refused | None:
        """Ask for a slot.

        Parameters
        ----------
        traffic_class : str
        request : AdmissionRequest
        now : float
            Monotonic, seconds.
        on_admitted : callable
            Called without arguments once a slot is free, where the answer is a
            QueuedRequest.

        Returns
        -------
        None
            The slot is the request's.
        QueuedRequest
            It has to wait.
        Refused
            It can't be served in time.
        """
        if self.rate.is_limited:
            # A token that has just come is for who waits for it.
            self.admit_queued(now)
        if now < request.start_by and self._has_room(traffic_class, now):
            self._take(traffic_class, now)
            return None
        refused = self.judge(traffic_class, request, now)
        if refused is not None:
            return refused
        if not (self._queue.has_room(traffic_class) or self._queue.evict_for(traffic_class, request)):
            return self.refuse(request, now, self._estimate_wait(traffic_class, request, now))
        queued = QueuedRequest(traffic_class, request, on_admitted, self._expiry(request, now))
        self._queue.add(queued)
        return queued

    def judge(self, traffic_class: str, request: AdmissionRequest, now: float) -> Refused | None:
        """Return why a request can't get a slot in time; None where it may."""
        if now >= request.deadline:
            return Refused(ErrorCode.DEADLINE, 0.0)
        if now >= request.start_by:
            return Refused(ErrorCode.OVERLOADED, self.return_after(request, now))
        if self._has_room(traffic_class, now):
            return None
        wait = self._estimate_wait(traffic_class, request, now)
        if now + _WAIT_MARGIN * wait <= self._expiry(request, now):
            return None
        return self.refuse(request, now, wait)

    def refuse(self, request: AdmissionRequest, now: float, wait: float | None = None) -> Refused:
        """Refuse a request that would wait too long, or has.

        Parameters
        ----------
        request : AdmissionRequest
        now : float
            Monotonic, seconds.
        wait : float, optional
            Estimated, in seconds; that for the rate alone where it is left out.
        """
        if wait is None:
            wait = self.rate.wait(now, self.waiting)
        retry_after = self.return_after(request, now, wait)
        if self.rate.wait(now, self.waiting) > 0:
            return Refused(ErrorCode.RATE_LIMITED, retry_after, "rate")
        return Refused(ErrorCode.OVERLOADED, retry_after)

    def release(self, traffic_class: str, duration: float | None, now: float, kind: str = "") -> None:
        """Give a slot back, which may go to a queued request.

        Parameters
        ----------
        duration : float or None
            How long the slot was used, seconds; None where nothing was run with it.
        """
        if duration is not None:
            self._times.note(traffic_class, kind, duration)
        else:
            self.rate.give_back()
        self._shares.give_back(traffic_class)
        self.admit_queued(now)
        if self.in_use < self.slots:
            self._full_since = None

    def admit_queued(self, now: float) -> None:
        """Admit the queued requests for which there is room."""
        for name in self._queue.classes():
            while self._queue.has_any(name) and self._has_room(name, now):
                queued = self._queue.pop_first(name)
                self._take(name, now)
                queued.on_admitted()

    def cancel(self, queued: QueuedRequest) -> bool:
        """Let a request wait no more; False where it was admitted already."""
        return self._queue.remove(queued)

    def return_after(self, request: AdmissionRequest, now: float, wait: float = 0.0) -> float:
        """Return the delay after which a refused request may be retried, in seconds.

        One that can still be answered in time is retried while it can. For the
        others it counts only that the overload is over: how long it goes on isn't
        known, and one that has lasted for some time is expected to last for as long
        again.

        Parameters
        ----------
        request : AdmissionRequest
        now : float
            Monotonic, seconds.
        wait : float
            Estimated wait behind what is queued, in seconds.
        """
        # An application that takes nothing at all doesn't say for how long.
        wait = min(wait, _NOTHING_TAKEN)
        slack = self._expiry(request, now) - now
        if slack > wait and request.target_time is not None:
            return self._rng.uniform(wait, slack)
        full_for = now - self._full_since if self._full_since is not None else 0.0
        estimate = max(wait, self._times.mean or _FIRST_ESTIMATE, full_for)
        # Whoever retries later has no time left.
        return min(estimate * self._rng.uniform(*_SPREAD), max(0.0, request.deadline - now))

    def next_turn(self, now: float) -> float:
        """Give a caller its turn; see `RateLimiter.next_turn`."""
        return self.rate.next_turn(now, self.waiting)

    def latest_start(self, request: AdmissionRequest, now: float) -> float:
        """Return until when a request may wait, for what else it needs; before now where it may not."""
        return self._expiry(request, now)

    def tail(self, kind: str) -> float:
        """Return the time in a slot that hardly a request of a kind exceeds, in seconds."""
        return self._times.tail(kind)

    def _has_room(self, traffic_class: str, now: float) -> bool:
        if self.rate.wait(now):
            return False
        return self._shares.has_room(traffic_class, self._times.class_mean(traffic_class), now)

    def _take(self, traffic_class: str, now: float) -> None:
        self.rate.admit()
        self._shares.take(traffic_class, now)
        if self.in_use >= self.slots and self._full_since is None:
            self._full_since = now

    def _expiry(self, request: AdmissionRequest, now: float) -> float:
        """Return until when a request waits.

        For a retry that is late already this lies before now. Were such ones to wait,
        behind all others and as long as they are expected to, they would take slots
        from requests that can still be in time.
        """
        if request.target_time is None:
            return request.start_by
        needed = self._times.upper(request.kind)
        if needed is None:
            start_by = request.target_time - self._first_estimate(request, now)
        else:
            next_slots = now + _NEXT_SLOTS * self._times.mean / self.slots
            latest = request.target_time - self._times.typical(request.kind)
            start_by = max(request.target_time - needed, min(next_slots, latest))
        return min(request.start_by, start_by)

    def _estimate_wait(self, traffic_class: str, request: AdmissionRequest, now: float) -> float:
        """Estimate the wait from the queued requests that would be admitted before, in seconds."""
        ahead = 1 + self._queue.count_ahead(traffic_class, request)
        mean = self._times.mean
        if mean is None:
            mean = self._first_estimate(request, now)
        return max(ahead * mean / self.slots, self.rate.wait(now, ahead - 1))

    def _first_estimate(self, request: AdmissionRequest, now: float) -> float:
        """Estimate what a request takes before any has ended, in seconds."""
        if request.target_time is None:
            return _FIRST_ESTIMATE
        return _FIRST_PART * max(0.0, request.target_time - now)
