# SPDX-License-Identifier: BSD-3-Clause
"""The concurrency limit of one upstream: its slots, its request rate, and a short queue for both.

All requests to an upstream pass through its daemon, so the daemon knows exactly how many
slots are in use. A request that can't be answered in time is refused before it waits.
"""

from random import Random

from lanedock.config import TrafficClass
from lanedock.errors import ErrorCode
from lanedock.limits.customer_use import CustomerUse
from lanedock.limits.pace import StatedPace
from lanedock.limits.queue import AdmissionQueue, AdmissionRequest, QueuedRequest
from lanedock.limits.rate import RateLimiter
from lanedock.limits.service_times import ServiceTimes
from lanedock.limits.shares import SlotShares

__all__ = ["Refused", "SlotLimiter"]

# Stands for a request that is released without being named: one of no customer.
_NO_CUSTOMER = AdmissionRequest(float("inf"))

# Service time assumed before any request has ended: a fixed time, in seconds, for a request
# without a target time, else a fraction of the time to its target. Without it, an upstream
# that starts under load would admit a whole queue of requests that end late.
_DEFAULT_SERVICE_TIME = 0.005
_DEFAULT_TARGET_FRACTION = 0.5
# Factor applied to an estimated wait before it is compared with the time available. Estimates
# are means, and requests of a higher priority may be admitted first; for callers an immediate
# refusal is better than a refusal after a wait.
_WAIT_MARGIN = 1.5
# Mean intervals between freed slots for which any request may wait if it can still be answered in
# time. Slightly more than `_WAIT_MARGIN`, so that a request next in line is queued. Without this
# allowance, no request would wait where service times are close to callers' timeouts, and late
# retries, which don't wait, would take every free slot.
_NEXT_SLOTS = 1.6
# Upper bound of the estimated wait in a retry delay, in seconds; the estimate is infinite where
# the application accepts no requests at all.
_MAX_RETRY_WAIT = 5.0
# Seconds without a request after which measured service times say nothing about the present.
_SERVICE_TIME_EXPIRY = 10.0
# Range of the random factor on retry delays, so that callers that were refused together don't
# retry together.
_RETRY_SPREAD = (0.5, 1.5)


class Refused:
    """The refusal of a request, which did not run.

    Parameters
    ----------
    code : ErrorCode
    retry_after : float
        Delay after which the request may be retried, in seconds.
    limit : str, optional
        The limit that refused the request: "slots", "rate" or "link".
    """

    __slots__ = ("code", "limit", "retry_after")

    def __init__(self, code: ErrorCode, retry_after: float, limit: str = "slots"):
        self.code = code
        self.limit = limit
        self.retry_after = retry_after

    def __repr__(self) -> str:
        return f"<Refused {self.code.code} retry_after={self.retry_after:.3f}>"


class SlotLimiter:
    """Slots of one upstream, shared among traffic classes.

    Does no I/O and reads no clock.

    Parameters
    ----------
    slots : int
        Requests that may be in progress at once.
    queue : int
        Requests that may wait.
    classes : dict of str to TrafficClass
    rng : random.Random, optional
        Spreads the retry delays.

    Attributes
    ----------
    rate : RateLimiter
        Limits the requests that the application is sent per second.
    """

    def __init__(self, slots: int, queue: int, classes: dict[str, TrafficClass], rng: Random | None = None):
        self._rng = rng or Random()
        self._shares = SlotShares(slots, classes)
        self._customers = CustomerUse()
        self._queue = AdmissionQueue(queue, classes, self._customers.count)
        self._service_times = ServiceTimes()
        self.rate = RateLimiter()
        self._full_since: float | None = None
        # When the service time of a request was measured last.
        self._measured_at = float("-inf")

    def __repr__(self) -> str:
        return f"<SlotLimiter {self._shares!r} {self._queue!r}>"

    @property
    def slots(self) -> int:
        """Requests that may be in progress at once."""
        return self._shares.slots

    @property
    def queue(self) -> int:
        """Requests that may wait."""
        return self._queue.limit

    @property
    def in_use(self) -> int:
        """Requests in progress."""
        return self._shares.in_use

    @property
    def waiting(self) -> int:
        """Requests that wait."""
        return len(self._queue)

    def classes_in_use(self) -> list[str]:
        """Return the classes of the requests in progress."""
        return self._shares.classes_in_use()

    def most_urgent_customer_priority(self) -> int | None:
        """Return the most urgent customers' priority among the requests in progress; None if there are none."""
        return self._customers.most_urgent_priority(self.in_use)

    def configure(self, slots: int, queue: int, classes: dict[str, TrafficClass]) -> None:
        """Apply the limits of another configuration version; requests in progress and in the queue are kept."""
        self._shares.configure(slots, classes)
        self._queue.configure(queue, classes)

    def acquire(
        self, traffic_class: str, request: AdmissionRequest, now: float, on_decided
    ) -> QueuedRequest | Refused | None:
        """Ask for a slot.

        Parameters
        ----------
        traffic_class : str
        request : AdmissionRequest
        now : float
            Monotonic, seconds.
        on_decided : callable
            Called without arguments when a queued request gets a slot or is evicted.

        Returns
        -------
        None
            The request holds a slot.
        QueuedRequest
            The request has to wait.
        Refused
            The request can't be served in time, or the queue is full.
        """
        if self.rate.is_limited:
            # Queued requests take new tokens before this request does.
            self.admit_queued(now)
        if now < request.start_by and self._has_room(traffic_class, now):
            self._take_slot(traffic_class, request, now)
            return None
        refused = self.check_admission(traffic_class, request, now)
        if refused is not None:
            return refused
        if not (self._queue.has_room(traffic_class) or self._queue.evict_for(traffic_class, request)):
            return self.refuse(request, now, self._estimate_wait(traffic_class, request, now))
        queued = QueuedRequest(traffic_class, request, on_decided, self._expiry(request, now))
        self._queue.add(queued)
        return queued

    def check_admission(self, traffic_class: str, request: AdmissionRequest, now: float) -> Refused | None:
        """Return the refusal of a request that can't get a slot in time, or None if it can."""
        if now >= request.deadline:
            return Refused(ErrorCode.DEADLINE, 0.0)
        if now >= request.start_by:
            return Refused(ErrorCode.OVERLOADED, self.retry_delay(request, now))
        if self._has_room(traffic_class, now):
            return None
        wait = self._estimate_wait(traffic_class, request, now)
        if now + _WAIT_MARGIN * wait <= self._expiry(request, now):
            return None
        return self.refuse(request, now, wait)

    def refuse(self, request: AdmissionRequest, now: float, wait: float | None = None) -> Refused:
        """Refuse a request that would wait too long, or that has waited too long.

        Parameters
        ----------
        request : AdmissionRequest
        now : float
            Monotonic, seconds.
        wait : float, optional
            Estimated wait, in seconds; by default the wait for the rate limit alone.
        """
        if wait is None:
            wait = self.rate.wait(now, self.waiting)
        retry_after = self.retry_delay(request, now, wait)
        if self.rate.wait(now, self.waiting) > 0:
            return Refused(ErrorCode.RATE_LIMITED, retry_after, "rate")
        return Refused(ErrorCode.OVERLOADED, retry_after)

    def release(
        self,
        traffic_class: str,
        duration: float | None,
        now: float,
        kind: str = "",
        request: AdmissionRequest = _NO_CUSTOMER,
    ) -> None:
        """Release a slot, and admit queued requests.

        Parameters
        ----------
        traffic_class : str
        duration : float or None
            Time for which the slot was used, in seconds; None if no request was sent.
        now : float
            Monotonic, seconds.
        kind : str
            Kind of the request, such as its route's name.
        request : AdmissionRequest, optional
            The request that acquired the slot; may be left out if it is of no customer and has no
            customer's priority.
        """
        if duration is not None:
            self._service_times.note(traffic_class, kind, duration)
            self._measured_at = now
        else:
            self.rate.refund()
        self._shares.release(traffic_class)
        self._customers.release(request)
        self.admit_queued(now)
        if self.in_use < self.slots:
            self._full_since = None

    def admit_queued(self, now: float) -> None:
        """Admit the queued requests for which there is room."""
        for group in self._queue.list_groups():
            traffic_class = group[1]
            while self._queue.has_queued(group) and self._has_room(traffic_class, now):
                queued = self._queue.pop_first(group)
                self._take_slot(traffic_class, queued.request, now)
                queued.on_decided()

    def cancel(self, queued: QueuedRequest) -> bool:
        """Remove a request from the queue; return False if it is no longer there."""
        return self._queue.remove(queued)

    def retry_delay(self, request: AdmissionRequest, now: float, wait: float = 0.0) -> float:
        """Return the delay after which a refused request may be retried, in seconds.

        A request that can still be answered by its target time is retried before that
        is too late. Any other request is retried when the overload is expected to be over.
        The duration of an overload isn't known in advance; one that has lasted for some
        time is expected to last as long again.

        Parameters
        ----------
        request : AdmissionRequest
        now : float
            Monotonic, seconds.
        wait : float
            Estimated wait behind the queued requests, in seconds.
        """
        wait = min(wait, _MAX_RETRY_WAIT)
        slack = self._expiry(request, now) - now
        if slack > wait and request.target_time is not None:
            return self._rng.uniform(wait, slack)
        full_for = now - self._full_since if self._full_since is not None else 0.0
        estimate = max(wait, self._service_times.mean or _DEFAULT_SERVICE_TIME, full_for)
        # A retry after the deadline is useless.
        return min(estimate * self._rng.uniform(*_RETRY_SPREAD), max(0.0, request.deadline - now))

    def next_send_delay(self, now: float) -> float:
        """Reserve a caller's next request under the rate limit, and return its wait; see `RateLimiter`."""
        return self.rate.next_send_delay(now, self.waiting)

    def wait_expiry(self, request: AdmissionRequest, now: float) -> float:
        """Return the time until which a request may wait for resources other than a slot, such as its body.

        The time is before `now` if the request must not wait.
        """
        return self._expiry(request, now)

    def expected_end(self, traffic_class: str, request: AdmissionRequest, now: float) -> float:
        """Return the time at which the application is expected to have worked on a request that arrives now."""
        wait = 0.0 if self._has_room(traffic_class, now) else self._estimate_wait(traffic_class, request, now)
        return now + wait + (self._service_times.kind_mean(request.kind) or 0.0)

    def tail_service_time(self, kind: str) -> float:
        """Return the service time that few requests of a kind exceed, in seconds."""
        return self._service_times.tail(kind)

    @property
    def pace(self) -> StatedPace:
        """The pace that the application states."""
        return self._service_times.pace

    def usual_service_time(self, now: float) -> float:
        """Return the mean service time of all requests at the application's usual pace, in seconds.

        It is 0 before any request has ended, and where none is in progress and none has ended for
        `_SERVICE_TIME_EXPIRY`: an upstream that was slow once, and gets no request for it, would never
        be measured again.
        """
        if not self.in_use and now - self._measured_at > _SERVICE_TIME_EXPIRY:
            return 0.0
        return self._service_times.usual_mean

    def _has_room(self, traffic_class: str, now: float) -> bool:
        if self.rate.wait(now):
            return False
        return self._shares.has_room(traffic_class, self._service_times.class_mean(traffic_class), now)

    def _take_slot(self, traffic_class: str, request: AdmissionRequest, now: float) -> None:
        self.rate.admit()
        self._shares.take(traffic_class, now)
        self._customers.take(request)
        if self.in_use >= self.slots and self._full_since is None:
            self._full_since = now

    def _expiry(self, request: AdmissionRequest, now: float) -> float:
        """Return the time until which a request may wait.

        The time is before `now` for a retry that is already late. If late retries could
        wait, each until all requests ahead of it are served, they would take slots from
        requests that can still be answered in time.
        """
        if request.target_time is None:
            return request.start_by
        needed = self._service_times.upper(request.kind)
        if needed is None:
            start_by = request.target_time - self._default_service_time(request, now)
        else:
            next_slots = now + _NEXT_SLOTS * self._service_times.mean / self.slots
            latest = request.target_time - self._service_times.kind_mean(request.kind)
            start_by = max(request.target_time - needed, min(next_slots, latest))
        return min(request.start_by, start_by)

    def _estimate_wait(self, traffic_class: str, request: AdmissionRequest, now: float) -> float:
        """Estimate the wait from the queued requests that would be admitted first, in seconds."""
        ahead = 1 + self._queue.count_ahead(traffic_class, request)
        mean = self._service_times.mean
        if mean is None:
            mean = self._default_service_time(request, now)
        return max(ahead * mean / self.slots, self.rate.wait(now, ahead - 1))

    def _default_service_time(self, request: AdmissionRequest, now: float) -> float:
        """Return the service time assumed before any request has ended, in seconds."""
        if request.target_time is None:
            return _DEFAULT_SERVICE_TIME
        return _DEFAULT_TARGET_FRACTION * max(0.0, request.target_time - now)
