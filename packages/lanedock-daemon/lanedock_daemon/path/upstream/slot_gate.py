# SPDX-License-Identifier: BSD-3-Clause
"""Admits requests to an application: reserves capacity on the daemon's link for body and answer, and a slot."""

import gevent
from gevent.event import Event as Signal

from lanedock.clock import monotonic, running_time
from lanedock.errors import ErrorCode
from lanedock.limits import CALL_PRIORITY, AdmissionRequest, CallKinds, QueuedRequest, Refused, SlotLimiter
from lanedock.membership import UpstreamRegistration
from lanedock.telemetry import Metrics
from lanedock_daemon.agent.view import Binding
from lanedock_daemon.path.http.headers import (
    CALLER_HEADER,
    CLASS_HEADER,
    CUSTOMER_PRIORITY_HEADER,
    PARENT_CLASS_HEADER,
    ROUTE_HEADER,
    SERVICE_HEADER,
    decode_name,
    parse_int,
)
from lanedock_daemon.path.http.messages import DEFAULT_RETRY_AFTER, Request
from lanedock_daemon.path.http.service import StopTimeout
from lanedock_daemon.path.shared.paced_answer import LinkTurns
from lanedock_daemon.path.upstream.answer_gate import AnswerGate
from lanedock_daemon.path.upstream.body_gate import BodyGate

__all__ = ["Slot", "SlotGate"]

# Traffic classes used until the daemon has a version of the configuration.
NO_CLASSES: dict = {}
# Queue length per slot, for an application that reports its number of slots or whose service
# is not configured.
QUEUE_PER_SLOT = 2
# Slots up to which an upstream admits calls first. With more, the requests that wait for a refused call
# hold a small part of them, and calls go by the class of the requests for which they are made.
FEW_SLOTS = 8
# Shortest and longest interval, in seconds, between checks whether the rate limit lets a request pass.
RATE_POLL_INTERVALS = (0.005, 0.5)


class SlotGate:
    """Admits requests to the slots of one application, and their bodies and long answers to the daemon's link.

    Parameters
    ----------
    registration : UpstreamRegistration
        Registration of the application; states its number of slots.
    metrics : Metrics
    link_rate : float, optional
        Rate of the daemon's link, in bytes per second, if known.
    turns : LinkTurns, optional
        Turns of long answers on the daemon's link, if it is narrow.

    Attributes
    ----------
    limiter : SlotLimiter
    bodies : BodyGate
    answers : AnswerGate
    """

    def __init__(
        self,
        registration: UpstreamRegistration,
        metrics: Metrics,
        link_rate: float | None = None,
        turns: LinkTurns | None = None,
    ):
        self.limiter = SlotLimiter(1, 0, {})
        self.answers = AnswerGate(self.limiter, turns)
        self.bodies = BodyGate(self.limiter, metrics, link_rate)
        self._registration = registration
        self._calls = CallKinds()
        self._configured = None
        self._rate_admission: gevent.Greenlet | None = None

    def __repr__(self) -> str:
        return f"<SlotGate {self.limiter!r}>"

    @property
    def in_progress(self) -> int:
        """Number of requests in progress or waiting."""
        return self.limiter.in_use + self.limiter.waiting + self.bodies.waiting

    def load(self) -> dict[str, int]:
        """Return the load of the application, as fields of a log line."""
        limiter = self.limiter
        return {"in_use": limiter.in_use, "slots": limiter.slots, "waiting": limiter.waiting, "queue": limiter.queue}

    def configure(self, binding: Binding | None) -> None:
        """Apply the limits of the current version and those that the application reports."""
        self.update_rate()
        self.update_pace()
        number = binding.number if binding is not None else 0
        key = (number, self._registration.slots, self._registration.service)
        if self._configured == key:
            return
        self._configured = key
        service = binding.config.services.get(key[2]) if binding is not None else None
        classes = binding.config.traffic_classes if binding is not None else NO_CLASSES
        slots = self._registration.slots or (service.slots if service else 1)
        # Each request in progress uses one of the application's connections.
        if service is not None:
            slots = min(slots, service.connections)
        # For an application that reports its slots, the queue length follows from their number.
        is_reported = service is None or self._registration.slots
        queue = slots * QUEUE_PER_SLOT if is_reported else service.queue
        self.limiter.configure(slots, queue, classes)
        self.bodies.configure(queue, classes)
        self.answers.configure(binding)

    def update_rate(self) -> None:
        """Apply the rate limit that the application advertises."""
        self.limiter.rate.configure(self._registration.advertised.rate, monotonic())

    def update_pace(self) -> None:
        """Apply the pace that the application states."""
        load = self._registration.current_load(running_time())
        self.limiter.pace.state(load.pace if load is not None else None)

    def _admit_by_rate(self) -> None:
        """Admit queued requests as the rate limit allows, until none waits.

        When the limit lets the next request pass, no request ends that would trigger its admission.
        """
        shortest, longest = RATE_POLL_INTERVALS
        while self.limiter.waiting and self.limiter.rate.is_limited:
            gevent.sleep(min(max(shortest, self.limiter.rate.wait(monotonic())), longest))
            self.update_rate()
            self.limiter.admit_queued(monotonic())

    def wait_for_rate(self, deadline: float) -> bool:
        """Wait until the rate limit lets an admitted request reach the application.

        Returns False if that would take until `deadline` (monotonic, in seconds) or longer.
        """
        while wait := self.limiter.rate.arrive(monotonic()):
            if monotonic() + wait >= deadline:
                return False
            gevent.sleep(min(wait, RATE_POLL_INTERVALS[1]))
        return True

    def classify(self, request: Request, binding: Binding | None) -> str:
        """Return the traffic class under which a request is admitted.

        A call that an application makes for a request of its own (the parent) is admitted under
        the parent's class if that is less urgent than the class of the call's route. Otherwise
        calls for less urgent requests of another service would overtake the urgent requests that
        a shared service gets itself, whose target times are later.
        """
        own = decode_name(request.header(CLASS_HEADER))
        is_own = request.header(CALLER_HEADER) == request.header(SERVICE_HEADER)
        is_call = self._calls.note(request.header(ROUTE_HEADER), is_own)
        if not is_call or binding is None:
            return own
        classes = binding.config.traffic_classes
        parent = classes.get(decode_name(request.header(PARENT_CLASS_HEADER)))
        if parent is None or own not in classes or parent.priority <= classes[own].priority:
            return own
        return parent.name

    def customer_priority(self, request: Request) -> int:
        """Return the customer's priority with which a request is admitted.

        Where an upstream has few slots, calls go first: a request whose call is refused has held a
        slot of its own upstream in vain, and so have its other calls.
        """
        if self.limiter.slots <= FEW_SLOTS and self._calls.is_call(request.header(ROUTE_HEADER)):
            return CALL_PRIORITY
        return parse_int(request.header(CUSTOMER_PRIORITY_HEADER)) or 0

    def reserve(self, request: Request, traffic_class: str, admission: AdmissionRequest) -> Refused | None:
        """Reserve capacity on the link and a slot, waiting for both if necessary.

        Capacity on the link comes first, because a slot must not be held while other bodies are
        transferred. The body is requested when both are reserved. If other bodies have taken the
        link meanwhile, the slot is released and the request waits again. A request whose long
        answer the link can't deliver in time is refused before it waits for anything.
        """
        refused = self.answers.enter(request, traffic_class, admission)
        if refused is not None:
            return refused
        while True:
            refused = self.bodies.enter(request, traffic_class, admission) or self._acquire(traffic_class, admission)
            if refused is not None or self.bodies.begin(request):
                return refused
            self.limiter.release(traffic_class, None, monotonic(), request=admission)

    def _acquire(self, traffic_class: str, admission: AdmissionRequest) -> Refused | None:
        """Acquire a slot, waiting for it if necessary."""
        now = monotonic()
        admitted = Signal()
        result = self.limiter.acquire(traffic_class, admission, now, admitted.set)
        if result is None or isinstance(result, Refused):
            return result
        if self.limiter.rate.is_limited and not self._rate_admission:
            self._rate_admission = gevent.spawn(self._admit_by_rate)
        try:
            is_admitted = admitted.wait(timeout=result.expires_at - now)
        except StopTimeout:
            self._leave_queue(result, traffic_class)
            return Refused(ErrorCode.DRAINING, DEFAULT_RETRY_AFTER)
        except BaseException:
            # The caller has disconnected; its place in the queue, or the slot that it has just
            # been given, must be released.
            self._leave_queue(result, traffic_class)
            raise
        if not result.is_evicted and (is_admitted or not self.limiter.cancel(result)):
            return None
        return self.limiter.refuse(admission, monotonic())

    def _leave_queue(self, queued: QueuedRequest, traffic_class: str) -> None:
        """Release a request's place in the queue, or the slot that it has just been given."""
        if not (queued.is_evicted or self.limiter.cancel(queued)):
            self.limiter.release(traffic_class, None, monotonic(), request=queued.request)


class Slot:
    """The slot of one request; released only once.

    Parameters
    ----------
    limiter : SlotLimiter
    traffic_class : str
        Class under which the request was admitted.
    kind : str
        Kind of request under which the service time is recorded, such as its route's name.
    started : float
        Monotonic time, in seconds, at which the application got the request.
    request : AdmissionRequest
        The request that acquired the slot.
    """

    __slots__ = ("_is_released", "_kind", "_limiter", "_request", "_started", "_traffic_class")

    def __init__(self, limiter: SlotLimiter, traffic_class: str, kind: str, started: float, request: AdmissionRequest):
        self._request = request
        self._kind = kind
        self._limiter = limiter
        self._traffic_class = traffic_class
        self._started = started
        self._is_released = False

    def release(self) -> None:
        """Release the slot and record the service time; later calls do nothing."""
        if not self._is_released:
            self._is_released = True
            now = monotonic()
            self._limiter.release(self._traffic_class, now - self._started, now, self._kind, self._request)
