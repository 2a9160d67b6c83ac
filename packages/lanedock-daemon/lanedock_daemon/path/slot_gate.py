# SPDX-License-Identifier: BSD-3-Clause
"""Admits requests to an application: room on the daemon's link for the body, and a slot."""

import gevent
from gevent.event import Event as Signal

from lanedock.clock import monotonic
from lanedock.errors import ErrorCode
from lanedock.limits import AdmissionRequest, CallKinds, QueuedRequest, Refused, SlotLimiter
from lanedock.membership import UpstreamRegistration
from lanedock.telemetry import Metrics
from lanedock_daemon.agent.view import Binding
from lanedock_daemon.path.body_gate import BodyGate
from lanedock_daemon.path.headers import (
    CALLER_HEADER,
    CLASS_HEADER,
    PARENT_HEADER,
    ROUTE_HEADER,
    SERVICE_HEADER,
    read_name,
)
from lanedock_daemon.path.http import RETRY_AFTER, Request
from lanedock_daemon.path.service import StopTimeout

__all__ = ["Slot", "SlotGate"]

# Classes by which an application's slots are shared before a version is held.
NO_CLASSES: dict = {}
# Requests that may wait for each slot where the application reports how many it has,
# or no version does.
QUEUE_PER_SLOT = 2
# Least and longest time between two looks whether a queued request may be admitted, in seconds.
RATE_POLL = (0.005, 0.5)


class SlotGate:
    """The slots of one application, and the bodies on their way to them.

    Parameters
    ----------
    registration : UpstreamRegistration
        Of the application; knows its slots.
    metrics : Metrics
    link_rate : float, optional
        Of the daemon's link, in bytes a second, where it is known.

    Attributes
    ----------
    limiter : SlotLimiter
    bodies : BodyGate
    """

    def __init__(self, registration: UpstreamRegistration, metrics: Metrics, link_rate: float | None = None):
        self.limiter = SlotLimiter(1, 0, {})
        self.bodies = BodyGate(self.limiter, metrics, link_rate)
        self._registration = registration
        self._calls = CallKinds()
        self._configured = None
        self._admitting: gevent.Greenlet | None = None

    def __repr__(self) -> str:
        return f"<SlotGate {self.limiter!r}>"

    @property
    def in_progress(self) -> int:
        """Requests in progress or waiting."""
        return self.limiter.in_use + self.limiter.waiting + self.bodies.waiting

    def load(self) -> dict[str, int]:
        """Return the load of the application, for a log line."""
        limiter = self.limiter
        return {"in_use": limiter.in_use, "slots": limiter.slots, "waiting": limiter.waiting, "queue": limiter.queue}

    def configure(self, binding: Binding | None) -> None:
        """Take the limits over from the version in force and the application's own word."""
        self.update_rate()
        number = binding.number if binding is not None else 0
        key = (number, self._registration.slots, self._registration.service)
        if self._configured == key:
            return
        self._configured = key
        service = binding.config.services.get(key[2]) if binding is not None else None
        classes = binding.config.traffic_classes if binding is not None else NO_CLASSES
        slots = self._registration.slots or (service.slots if service else 1)
        # Each request in progress takes one of the application's connections.
        if service is not None:
            slots = min(slots, service.connections)
        # An application that reports its slots sets the length of its queue by that.
        is_reported = service is None or self._registration.slots
        queue = slots * QUEUE_PER_SLOT if is_reported else service.queue
        self.limiter.configure(slots, queue, classes)
        self.bodies.configure(queue, classes)

    def update_rate(self) -> None:
        """Take over the rate limit that the application advertises."""
        self.limiter.rate.configure(self._registration.advertised.rate, monotonic())

    def _admit_by_rate(self) -> None:
        """Admit queued requests as the rate limit allows, until none waits: nothing else ends then."""
        least, longest = RATE_POLL
        while self.limiter.waiting and self.limiter.rate.is_limited:
            gevent.sleep(min(max(least, self.limiter.rate.wait(monotonic())), longest))
            self.update_rate()
            self.limiter.admit_queued(monotonic())

    def wait_to_arrive(self, deadline: float) -> bool:
        """Wait until an admitted request may reach the application; False where it can't by its deadline."""
        while wait := self.limiter.rate.arrive(monotonic()):
            if monotonic() + wait >= deadline:
                return False
            gevent.sleep(min(wait, RATE_POLL[1]))
        return True

    def classify(self, request: Request, binding: Binding | None) -> str:
        """Return the class that a request is admitted by.

        A call is as urgent as the requests for which it is made, where its own route
        is more urgent than they are: else calls for less urgent requests of another
        service would go before a shared service's own urgent requests, which want their
        answers later.
        """
        own = read_name(request.header(CLASS_HEADER))
        is_own = request.header(CALLER_HEADER) == request.header(SERVICE_HEADER)
        is_call = self._calls.note(request.header(ROUTE_HEADER), is_own)
        if not is_call or binding is None:
            return own
        classes = binding.config.traffic_classes
        parent = classes.get(read_name(request.header(PARENT_HEADER)))
        if parent is None or own not in classes or parent.priority <= classes[own].priority:
            return own
        return parent.name

    def reserve(self, request: Request, traffic_class: str, wanted: AdmissionRequest) -> Refused | None:
        """Take room on the link and a slot, waiting if need be.

        The link first: a slot must not be held while other bodies come. The body is asked
        for with both at hand; where others have come onto the link meanwhile, the slot
        goes to someone else.
        """
        while True:
            refused = self.bodies.enter(request, traffic_class, wanted) or self._acquire(traffic_class, wanted)
            if refused is not None or self.bodies.begin(request):
                return refused
            self.limiter.release(traffic_class, None, monotonic())

    def _acquire(self, traffic_class: str, wanted: AdmissionRequest) -> Refused | None:
        """Take a slot, waiting for it if need be."""
        now = monotonic()
        admitted = Signal()
        result = self.limiter.acquire(traffic_class, wanted, now, admitted.set)
        if result is None or isinstance(result, Refused):
            return result
        if self.limiter.rate.is_limited and not self._admitting:
            self._admitting = gevent.spawn(self._admit_by_rate)
        try:
            is_admitted = admitted.wait(timeout=result.expires_at - now)
        except StopTimeout:
            self._leave_queue(result, traffic_class)
            return Refused(ErrorCode.DRAINING, RETRY_AFTER)
        except BaseException:
            # The caller has gone: its place, or the slot it was just given,
            # must not stay taken.
            self._leave_queue(result, traffic_class)
            raise
        if not result.is_evicted and (is_admitted or not self.limiter.cancel(result)):
            return None
        return self.limiter.refuse(wanted, monotonic())

    def _leave_queue(self, queued: QueuedRequest, traffic_class: str) -> None:
        """Give up a request's place in the queue, or the slot it was just given."""
        if not (queued.is_evicted or self.limiter.cancel(queued)):
            self.limiter.release(traffic_class, None, monotonic())


class Slot:
    """A request's slot, given back once.

    Parameters
    ----------
    limiter : SlotLimiter
    traffic_class, kind : str
        By which it was admitted, and by which service times are kept.
    started : float
        Monotonic, seconds.
    """

    __slots__ = ("_done", "_kind", "_limiter", "_started", "_traffic_class")

    def __init__(self, limiter: SlotLimiter, traffic_class: str, kind: str, started: float):
        self._kind = kind
        self._limiter = limiter
        self._traffic_class = traffic_class
        self._started = started
        self._done = False

    def release(self) -> None:
        """Give it back."""
        if not self._done:
            self._done = True
            now = monotonic()
            self._limiter.release(self._traffic_class, now - self._started, now, self._kind)
