# SPDX-License-Identifier: BSD-3-Clause
"""The upstream's side of the path: the only way into an upstream's application."""

import time

from gevent.event import Event as Signal

from lanedock.errors import ErrorCode
from lanedock.limits import Refused, SlotLimiter
from lanedock.telemetry import Event, EventLogger, Metric, Metrics, Tracer
from lanedock_daemon.agent.board import Binding, Board
from lanedock_daemon.path.http import (
    CLASS_HEADER,
    CODE_HEADER,
    DEADLINE_HEADER,
    HOP_HEADERS,
    LEAVING_HEADER,
    LOAD_HEADER,
    OUTCOME_HEADER,
    SERVICE_HEADER,
    TRACE_HEADER,
    Answer,
    Outcome,
    Request,
    make_refusal,
    public_headers,
)
from lanedock_daemon.path.parser import Message
from lanedock_daemon.path.pool import AnswerPieces, ConnectionPool, ExchangeError, exchange

__all__ = ["UpstreamSide"]

RETRY_AFTER = 1.0
# Of the application's answers that say that it drains.
DRAIN_HEADER = "x-upstream-draining"
_NOT_PASSED = HOP_HEADERS | {OUTCOME_HEADER, CODE_HEADER, DRAIN_HEADER}
_SET_HERE = (DEADLINE_HEADER, TRACE_HEADER)


class UpstreamSide:
    """Lets requests through to the application, within its limits.

    Parameters
    ----------
    service : str
        The upstream's.
    application : tuple of (str, int)
    board : Board
    pool : ConnectionPool
    events : EventLogger
    metrics : Metrics
    tracer : Tracer
    """

    def __init__(self, service: str, application, board: Board, pool: ConnectionPool, events, metrics, tracer):
        self._service = service
        self._application = application
        self._board = board
        self._pool = pool
        self._events: EventLogger = events
        self._metrics: Metrics = metrics
        self._tracer: Tracer = tracer
        self._limiter = SlotLimiter(1, 0, {})
        self._configured = 0

    @property
    def in_progress(self) -> int:
        """Requests in progress or waiting."""
        return self._limiter.in_use + self._limiter.waiting

    def handle(self, request: Request) -> Answer:
        """Answer a request that another daemon has sent."""
        self._metrics.count(Metric.REQUESTS)
        started = time.monotonic()
        span = self._tracer.start(f"{request.method} upstream", request.header(TRACE_HEADER))
        answer = self._admit(request, span, started)
        self._metrics.time(Metric.LATENCY, time.monotonic() - started)
        span.end(**{"http.status_code": answer.status, "http.target": request.path})
        self._metrics.gauge(Metric.IN_PROGRESS, self._limiter.in_use)
        self._metrics.gauge(Metric.QUEUED, self._limiter.waiting)
        answer.headers.append((LOAD_HEADER, str(self.in_progress)))
        if self._board.is_draining:
            answer.headers.append((LEAVING_HEADER, "1"))
        return answer

    def _admit(self, request: Request, span, started: float) -> Answer:
        if self._board.is_draining:
            return self._refuse(ErrorCode.DRAINING, RETRY_AFTER)
        binding = self._board.bind()
        if binding is None:
            return self._refuse(ErrorCode.NOT_READY, RETRY_AFTER)
        if request.header(SERVICE_HEADER) != self._service or self._service not in binding.config.services:
            return self._refuse(ErrorCode.NOT_HELD, RETRY_AFTER)
        self._configure(binding)
        told = request.header(DEADLINE_HEADER)
        deadline = started + (int(told) / 1000 if told.isascii() and told.isdigit() else RETRY_AFTER)
        traffic_class = request.header(CLASS_HEADER)
        refused = self._acquire(traffic_class, deadline)
        if refused is not None:
            return self._refuse(refused.code, refused.retry_after)
        return self._pass_on(request, traffic_class, deadline, span)

    def _refuse(self, code: ErrorCode, retry_after: float = 0.0) -> Answer:
        self._metrics.count(Metric.NOT_RUN)
        return make_refusal(code, Outcome.NOT_RUN, retry_after)

    def _configure(self, binding: Binding) -> None:
        if self._configured == binding.number:
            return
        self._configured = binding.number
        service = binding.config.services[self._service]
        # Each request in progress takes one of the application's connections.
        slots = min(service.slots, service.connections)
        self._limiter.configure(slots, service.queue, binding.config.traffic_classes)

    def _acquire(self, traffic_class: str, deadline: float) -> Refused | None:
        """Take a slot, waiting for it if need be."""
        now = time.monotonic()
        granted = Signal()
        result = self._limiter.acquire(traffic_class, deadline, now, granted.set)
        if result is None or isinstance(result, Refused):
            return result
        if granted.wait(timeout=deadline - now):
            return None
        if self._limiter.cancel(result):
            return Refused(ErrorCode.OVERLOADED, RETRY_AFTER)
        return None

    def _pass_on(self, request: Request, traffic_class: str, deadline: float, span) -> Answer:
        """Send a request to the application; the slot is held to the answer's end."""
        started = time.monotonic()
        release = _Release(self._limiter, traffic_class, started)
        if started >= deadline:
            release()
            return self._refuse(ErrorCode.DEADLINE)
        headers = _make_headers(request, deadline - started, span)
        try:
            response = exchange(self._pool, self._application, request, headers, deadline - started)
        except ExchangeError as exc:
            release()
            return self._on_lost(exc)
        except BaseException:
            release()
            raise
        head = response.message
        if head.header(DRAIN_HEADER) and not self._board.is_draining:
            self._board.is_draining = True
            self._events.emit(Event.DRAINING, service=self._service)
        if head.is_complete:
            release()
            return Answer(head.status, head.reason, _strip(head), list(head.pieces))
        return Answer(head.status, head.reason, _strip(head), AnswerPieces(response, lambda broke_off: release()))

    def _on_lost(self, exc: ExchangeError) -> Answer:
        if exc.outcome == Outcome.NOT_RUN:
            return self._refuse(exc.code, RETRY_AFTER)
        self._metrics.count(Metric.UNKNOWN)
        self._events.emit(Event.ANSWER_LOST, error=exc)
        return make_refusal(exc.code, Outcome.UNKNOWN)


class _Release:
    """Gives a slot back, once."""

    __slots__ = ("_done", "_limiter", "_started", "_traffic_class")

    def __init__(self, limiter: SlotLimiter, traffic_class: str, started: float):
        self._limiter = limiter
        self._traffic_class = traffic_class
        self._started = started
        self._done = False

    def __call__(self) -> None:
        if not self._done:
            self._done = True
            now = time.monotonic()
            self._limiter.release(self._traffic_class, now - self._started, now)


def _make_headers(request: Request, left: float, span) -> list[tuple[str, str]]:
    headers = public_headers(request.headers, _SET_HERE)
    headers.append((DEADLINE_HEADER, str(max(1, int(left * 1000)))))
    if span.traceparent:
        headers.append((TRACE_HEADER, span.traceparent))
    return headers


def _strip(head: Message) -> list[tuple[str, str]]:
    """Return an answer's headers; what only a daemon may say is taken out."""
    return public_headers(head.headers, _NOT_PASSED)
