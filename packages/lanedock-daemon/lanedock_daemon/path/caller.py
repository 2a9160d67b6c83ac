# SPDX-License-Identifier: BSD-3-Clause
"""The caller's side of the path: match, choose, send, and retry."""

import time

from lanedock.config import Route
from lanedock.errors import ErrorCode
from lanedock.telemetry import Event, EventLogger, Metric, Metrics, Tracer
from lanedock_daemon.agent.board import Binding, Board
from lanedock_daemon.path.http import (
    ATTEMPT_HEADER,
    CLASS_HEADER,
    CODE_HEADER,
    DEADLINE_HEADER,
    HOP_HEADERS,
    LEAVING_HEADER,
    LOAD_HEADER,
    OUTCOME_HEADER,
    SERVICE_HEADER,
    TRACE_HEADER,
    VERSION_HEADER,
    Answer,
    Outcome,
    ReplayBody,
    Request,
    make_refusal,
    public_headers,
)
from lanedock_daemon.path.parser import MalformedMessage, Message
from lanedock_daemon.path.pool import AnswerPieces, ConnectionPool, ExchangeError, UpstreamAnswer, exchange

__all__ = ["CallerSide"]

MAX_TRIES = 3
# Attempt that is told for a request that some hop before has sent again.
RETRIED = 2
# Bodies up to this many bytes are kept until the answer, to be sent again.
REPLAY_LIMIT = 64 * 1024
# What callers are told to wait where nothing better is known, in seconds.
RETRY_AFTER = 1.0
_SET_HERE = (ATTEMPT_HEADER, DEADLINE_HEADER, TRACE_HEADER)
# Added to what an upstream's daemon is given, so that its refusal arrives
# before the caller's side gives up on it.
GRACE = 0.05


class CallerSide:
    """Leads callers' requests to upstreams.

    Parameters
    ----------
    board : Board
    pool : ConnectionPool
    events : EventLogger
    metrics : Metrics
    tracer : Tracer
    """

    def __init__(self, board: Board, pool: ConnectionPool, events: EventLogger, metrics: Metrics, tracer: Tracer):
        self._board = board
        self._pool = pool
        self._events = events
        self._metrics = metrics
        self._tracer = tracer

    def handle(self, request: Request) -> Answer:
        """Answer a request."""
        self._metrics.count(Metric.REQUESTS)
        started = time.monotonic()
        span = self._tracer.start(f"{request.method} caller", request.header(TRACE_HEADER))
        answer = self._route(request, span, started)
        self._metrics.time(Metric.LATENCY, time.monotonic() - started)
        span.end(**{"http.status_code": answer.status, "http.target": request.path})
        return answer

    def _route(self, request: Request, span, started: float) -> Answer:
        binding = self._board.bind()
        if binding is None:
            return self._refuse(ErrorCode.NOT_READY, RETRY_AFTER)
        if "/../" in request.path or request.path.endswith("/..") or not request.path.startswith("/"):
            return self._refuse(ErrorCode.BAD_REQUEST)
        route = binding.table.match(request.host, request.path, request.method)
        if route is None:
            return self._refuse(ErrorCode.NO_ROUTE)
        deadline = started + _read_deadline(request, route) / 1000
        return self._send(request, binding, route, deadline, span)

    def _refuse(self, code: ErrorCode, retry_after: float = 0.0, detail: str = "") -> Answer:
        self._metrics.count(Metric.NOT_RUN)
        return make_refusal(code, Outcome.NOT_RUN, retry_after, detail)

    # ------------------------------------------------------------------- tries

    def _send(self, request: Request, binding: Binding, route: Route, deadline: float, span) -> Answer:
        """Try upstreams until one answers, or trying again would be wrong."""
        service = binding.config.services[route.service]
        balancer = self._board.balancer(service.name)
        budget = self._board.budget(service.name)
        budget.note_first_try()
        # A retry that a hop before has made must not be multiplied here.
        may_retry = request.header(ATTEMPT_HEADER) in ("", "1")
        headers = _make_headers(request, binding, route, span)
        body = request.body = ReplayBody(request.body, REPLAY_LIMIT)
        tried: set[str] = set()
        failure = None
        for attempt in range(1, MAX_TRIES + 1):
            now = time.monotonic()
            if now >= deadline:
                return failure or self._refuse(ErrorCode.DEADLINE)
            stats = balancer.choose(service.slots, now, frozenset(tried))
            if stats is None:
                return failure or self._refuse(ErrorCode.NO_UPSTREAM, RETRY_AFTER)
            tried.add(stats.endpoint.instance)
            told = attempt if may_retry else RETRIED
            answer, is_final = self._try(request, headers, route, balancer, stats, told, deadline)
            if is_final:
                return answer
            failure = answer
            if not may_retry or not body.can_rewind or not budget.spend():
                return failure
            body.rewind()
            self._metrics.count(Metric.RETRIES)
        return failure

    def _try(self, request, headers, route, balancer, stats, attempt: int, deadline: float) -> tuple[Answer, bool]:
        """Send a request to one upstream.

        Returns
        -------
        Answer
        bool
            Whether it stands; False where another upstream may be tried.
        """
        left = deadline - time.monotonic()
        sent = [
            *headers,
            (ATTEMPT_HEADER, str(attempt)),
            (DEADLINE_HEADER, str(max(1, int(left * 1000)))),
        ]
        balancer.begin(stats)
        try:
            ask_first = request.body.is_long
            response = exchange(self._pool, stats.address, request, sent, left + GRACE, ask_first)
        except ExchangeError as exc:
            self._note_end(balancer, stats, failed=True)
            return self._on_lost(exc, stats, route, request)
        except BaseException:
            balancer.end(stats, False, time.monotonic())
            raise
        head = response.message
        told = _read_int(head.header(LOAD_HEADER))
        if head.header(LEAVING_HEADER):
            balancer.note_leaving(stats.endpoint.instance)
            self._pool.forget(stats.address)
        if head.header(OUTCOME_HEADER) == Outcome.NOT_RUN:
            return self._on_refused(response, balancer, stats, told)
        is_lost = head.header(OUTCOME_HEADER) == Outcome.UNKNOWN
        if (is_lost or head.status == 503) and route.repeatable:
            # Noted first: reading may end with the caller's going away.
            self._note_end(balancer, stats, failed=True, told=told)
            return Answer(head.status, head.reason, _strip(head), [self._read_refusal(response)]), False
        return self._make_answer(response, balancer, stats, told, is_lost), True

    def _on_lost(self, exc: ExchangeError, stats, route: Route, request: Request) -> tuple[Answer, bool]:
        if exc.outcome == Outcome.NOT_RUN:
            return make_refusal(exc.code, Outcome.NOT_RUN, RETRY_AFTER, str(exc)), False
        self._metrics.count(Metric.UNKNOWN)
        self._events.emit(Event.ANSWER_LOST, upstream=stats.endpoint.instance, target=request.path, error=exc)
        answer = make_refusal(exc.code, Outcome.UNKNOWN, 0.0, str(exc))
        return answer, not route.repeatable

    def _on_refused(self, response, balancer, stats, told) -> tuple[Answer, bool]:
        """The upstream's daemon refused: the request has not run."""
        head = response.message
        code = head.header(CODE_HEADER)
        is_fault = code not in (ErrorCode.OVERLOADED.code, ErrorCode.DRAINING.code, ErrorCode.DEADLINE.code)
        self._note_end(balancer, stats, failed=is_fault, told=told)
        self._metrics.count(Metric.NOT_RUN)
        answer = Answer(head.status, head.reason, _strip(head), [self._read_refusal(response)])
        return answer, code == ErrorCode.DEADLINE.code

    def _note_end(self, balancer, stats, failed: bool, told: int | None = None) -> None:
        if balancer.end(stats, failed, time.monotonic(), told):
            self._events.emit(Event.EJECTED, upstream=stats.endpoint.instance)

    def _read_refusal(self, response: UpstreamAnswer) -> bytes:
        """Read a refusal's short body; where it breaks off, the head says enough."""
        try:
            return response.read_all()
        except (OSError, MalformedMessage):
            return b""
        finally:
            response.close()

    def _make_answer(self, response: UpstreamAnswer, balancer, stats, told, is_lost: bool) -> Answer:
        head = response.message
        if head.is_complete:
            self._note_end(balancer, stats, failed=is_lost, told=told)
            return Answer(head.status, head.reason, _strip(head), list(head.pieces))

        def end(broke_off: bool) -> None:
            if broke_off:
                self._events.emit(Event.ANSWER_LOST, upstream=stats.endpoint.instance)
            self._note_end(balancer, stats, failed=broke_off, told=told)

        return Answer(head.status, head.reason, _strip(head), AnswerPieces(response, end))


def _read_deadline(request: Request, route: Route) -> float:
    """Return the time left, in milliseconds: the route's, or less if told."""
    told = _read_int(request.header(DEADLINE_HEADER))
    if told is None:
        return route.deadline_ms
    return min(route.deadline_ms, told)


def _read_int(text) -> int | None:
    if isinstance(text, str) and text.isascii() and text.isdigit():
        return int(text)
    return None


def _make_headers(request: Request, binding: Binding, route: Route, span) -> list[tuple[str, str]]:
    headers = public_headers(request.headers, _SET_HERE)
    headers.append((SERVICE_HEADER, route.service))
    headers.append((CLASS_HEADER, route.traffic_class))
    headers.append((VERSION_HEADER, str(binding.number)))
    if span.traceparent:
        headers.append((TRACE_HEADER, span.traceparent))
    return headers


def _strip(head: Message) -> list[tuple[str, str]]:
    """Return an answer's headers without those between daemons or of one connection."""
    return public_headers(head.headers, HOP_HEADERS)
