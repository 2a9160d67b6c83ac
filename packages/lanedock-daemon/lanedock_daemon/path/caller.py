# SPDX-License-Identifier: BSD-3-Clause
"""The caller's side of the path: match, choose, send, and retry."""

import time
from random import Random

import gevent

from lanedock.config import Route
from lanedock.errors import ErrorCode
from lanedock.limits import RequestAges
from lanedock.routing import Balancer, choose_service
from lanedock.telemetry import Event, EventLogger, Metric, Metrics, RequestLog, RequestLogger, Tracer
from lanedock_daemon.agent.view import Binding, LocalView
from lanedock_daemon.path.dialect import Dialect, OwnDialect, RequestFacts
from lanedock_daemon.path.http import (
    AGE_HEADER,
    ARRIVED_HEADER,
    ATTEMPT_HEADER,
    CALLER_HEADER,
    CLASS_HEADER,
    CODE_HEADER,
    DEADLINE_HEADER,
    HOP_HEADERS,
    LEAVING_HEADER,
    LOAD_HEADER,
    OUTCOME_HEADER,
    PATIENT_HEADER,
    ROUTE_HEADER,
    SERVICE_HEADER,
    TARGET_HEADER,
    TRACE_HEADER,
    UPSTREAM_HEADER,
    VERSION_HEADER,
    Answer,
    Outcome,
    ReplayBody,
    Request,
    public_headers,
)
from lanedock_daemon.path.parser import MalformedMessage, Message
from lanedock_daemon.path.pool import (
    AnswerPieces,
    ConnectionPool,
    ExchangeError,
    PendingAnswer,
    UpstreamAnswer,
    send_request,
)
from lanedock_daemon.path.prober import UpstreamProber

__all__ = ["CallerSide"]

# Attempt that is sent for a request that some hop before has sent again.
RETRIED = 2
# Bodies up to this many bytes are kept until the answer, to be sent again.
REPLAY_LIMIT = 64 * 1024
# Answers up to this many bytes are read whole before they are passed on, so
# that one that breaks off can still be asked for elsewhere.
BUFFER_LIMIT = 64 * 1024
# What callers are told to wait where nothing better is known, in seconds.
RETRY_AFTER = 1.0
# Added to what an upstream's daemon is given, so that its refusal arrives
# before the caller's side gives up on it.
GRACE = 0.05
# Daemons that may refuse a request unseen by an application, for each attempt
# that an application may see.
REFUSALS_PER_ATTEMPT = 2
# Upstreams that may refuse a request for their load. Two chosen as the less loaded
# ones say that the others are full, too; more tries only add to the load. What
# comes back has met such refusals already, and others go before it everywhere.
MAX_OVERLOADS = 2
MAX_OVERLOADS_RETURNING = 1
_DAEMON_HEADERS = HOP_HEADERS | {OUTCOME_HEADER, CODE_HEADER}


class _Try:
    """What became of one try.

    Parameters
    ----------
    answer : Answer
    is_final : bool
        False where another upstream may be tried.
    has_arrived : bool
        Whether the application may have seen the request.
    may_have_run : bool
    code : ErrorCode, optional
        Why the upstream's daemon refused.

    Attributes
    ----------
    arrivals : int
        Applications that may have seen the request.
    """

    __slots__ = ("answer", "arrivals", "code", "is_final", "may_have_run")

    def __init__(
        self,
        answer: Answer,
        is_final: bool,
        has_arrived: bool = True,
        may_have_run: bool = False,
        code: ErrorCode | None = None,
    ):
        self.answer = answer
        self.code = code
        self.is_final = is_final
        self.arrivals = int(has_arrived)
        self.may_have_run = may_have_run


class _Job:
    """What all tries of one request have in common."""

    __slots__ = ("attempt", "balancer", "deadline", "headers", "log", "request", "route", "wanted_by")

    def __init__(
        self,
        request: Request,
        headers: list,
        route: Route,
        balancer: Balancer,
        attempt: int,
        deadline: float,
        wanted_by: float,
        log: RequestLog,
    ):
        self.wanted_by = wanted_by
        self.log = log
        self.request = request
        self.headers = headers
        self.route = route
        self.balancer = balancer
        self.attempt = attempt
        self.deadline = deadline


class CallerSide:
    """Leads callers' requests to upstreams.

    Parameters
    ----------
    view : LocalView
    pool : ConnectionPool
    events : EventLogger
    metrics : Metrics
    tracer : Tracer
    dialect : Dialect, optional
    rng : random.Random, optional
        Divides the requests of routes that are split.
    requests : RequestLogger, optional
        Writes the decisions on requests.
    """

    def __init__(
        self,
        view: LocalView,
        pool: ConnectionPool,
        events: EventLogger,
        metrics: Metrics,
        tracer: Tracer,
        dialect: Dialect | None = None,
        rng: Random | None = None,
        requests: RequestLogger | None = None,
    ):
        self._requests = requests or RequestLogger(events, 0)
        self._view = view
        self._pool = pool
        self._prober = UpstreamProber(pool, events)
        self._events = events
        self._metrics = metrics
        self._tracer = tracer
        self._dialect = dialect or OwnDialect()
        self._rng = rng or Random()
        self._ages = RequestAges()

    def handle(self, request: Request) -> Answer:
        """Answer a request."""
        self._metrics.count(Metric.REQUESTS)
        started = time.monotonic()
        span = self._tracer.start(f"{request.method} caller", request.header(TRACE_HEADER))
        facts = self._dialect.read_request(request.headers)
        log = self._requests.begin(facts.request_id, started)
        try:
            answer = self._route(request, facts, span, started, log)
        except BaseException as exc:
            log.note(Event.REQUEST_ANSWERED, outcome="cancelled", reason=type(exc).__name__)
            self._metrics.count(Metric.OUTCOMES, 1, ("", "cancelled"))
            self._requests.end(log, True)
            raise
        taken = time.monotonic() - started
        self._metrics.time(Metric.LATENCY, taken)
        span.end(**{"http.status_code": answer.status, "http.target": request.path})
        outcome = _outcome(answer)
        if outcome == Outcome.NOT_RUN and log.route:
            self._ages.note_refusal(log.route)
        log.note(Event.REQUEST_ANSWERED, outcome=outcome, status=answer.status, code=_header(answer, CODE_HEADER))
        self._metrics.count(Metric.OUTCOMES, 1, (log.route, outcome))
        self._requests.end(log, answer.status >= 400)
        return answer

    def _route(self, request: Request, facts: RequestFacts, span, started: float, log: RequestLog) -> Answer:
        binding = self._view.bind()
        if binding is None:
            log.note(Event.REQUEST_ROUTED, target=request.path, reason="no confirmed version", **self._view.age())
            return self._refuse(ErrorCode.NOT_READY, RETRY_AFTER)
        if "/../" in request.path or request.path.endswith("/..") or not request.path.startswith("/"):
            return self._refuse(ErrorCode.BAD_REQUEST)
        route = binding.table.match(request.host, request.path, request.method)
        if route is None:
            log.note(
                Event.REQUEST_ROUTED, target=request.path, host=request.host, reason="no route", version=binding.number
            )
            return self._refuse(ErrorCode.NO_ROUTE)
        log.route = route.name
        told = route.deadline_ms if facts.deadline_ms is None else min(route.deadline_ms, facts.deadline_ms)
        age = self._ages.note(route.name, facts.deadline_ms)
        log.note(
            Event.REQUEST_ROUTED,
            target=request.path,
            route=route.name,
            version=binding.number,
            deadline_ms=told,
            target_ms=route.target_ms,
            caller_waits_ms=facts.deadline_ms,
            age_ms=age,
        )
        return self._send(request, binding, route, facts, started + told / 1000, age, span, log)

    def _refuse(self, code: ErrorCode, retry_after: float = 0.0, detail: str = "") -> Answer:
        self._metrics.count(Metric.NOT_RUN)
        return self._dialect.make_refusal(code, Outcome.NOT_RUN, retry_after, detail)

    # ------------------------------------------------------------------- tries

    def _send(
        self,
        request: Request,
        binding: Binding,
        route: Route,
        facts: RequestFacts,
        deadline: float,
        age: int,
        span,
        log,
    ) -> Answer:
        """Try upstreams until one answers, or trying again would be wrong."""
        service = binding.config.services[choose_service(route, self._rng)]
        balancer = self._view.balancer(service.name)
        budget = self._view.budget(service.name)
        budget.note_first_try(time.monotonic())
        # A retry that a hop before has made must not be multiplied here.
        may_retry = not facts.was_retried
        headers = self._make_headers(request, binding, route, service.name, span)
        if age:
            headers.append((AGE_HEADER, str(age)))
        if not self._ages.do_callers_return(route.name):
            headers.append((PATIENT_HEADER, "1"))
        body = request.body = ReplayBody(request.body, REPLAY_LIMIT)
        tried: set[str] = set()
        failure = None
        wanted_by = time.monotonic() + route.target_ms / 1000
        arrivals = overloads = 0
        max_overloads = MAX_OVERLOADS_RETURNING if age else MAX_OVERLOADS
        may_have_run = False
        for attempt in range(1, route.max_attempts * REFUSALS_PER_ATTEMPT + 1):
            now = time.monotonic()
            if now >= deadline:
                return failure or self._refuse(ErrorCode.DEADLINE)
            stats = balancer.choose(service.slots, now, frozenset(tried), body.is_long)
            if stats is None:
                log.note(Event.REQUEST_TRY_ENDED, service=service.name, reason="no upstream left", known=len(balancer))
                return failure or self._refuse(ErrorCode.NO_UPSTREAM, RETRY_AFTER)
            tried.add(stats.endpoint.instance)
            told = attempt if may_retry else RETRIED
            job = _Job(request, headers, route, balancer, told, deadline, wanted_by, log)
            if route.repeatable and may_retry and body.length == 0 and arrivals + 1 < route.max_attempts:
                made = self._try_with_reserve(job, stats, service.slots, budget, tried)
            else:
                made = self._try(job, stats)
            if made.is_final:
                return made.answer
            may_have_run = may_have_run or made.may_have_run
            # What was refused unseen must not hide that a try before may have run.
            if failure is None or made.may_have_run or not may_have_run:
                failure = made.answer
            arrivals += made.arrivals
            overloads += made.code is ErrorCode.OVERLOADED
            if not may_retry or not body.can_rewind or arrivals >= route.max_attempts or overloads >= max_overloads:
                return failure
            may_spend = not made.arrivals or budget.spend(time.monotonic())
            left_over = budget.left(time.monotonic())
            log.note(Event.REQUEST_SENT_AGAIN, sent=may_spend, charged=bool(made.arrivals), budget=round(left_over, 1))
            self._metrics.gauge(Metric.RETRY_BUDGET, left_over, (service.name,))
            if not may_spend:
                return failure
            body.rewind()
            self._metrics.count(Metric.RETRIES)
        return failure

    def _try_with_reserve(self, job: "_Job", stats, slots: int, budget, tried: set[str]) -> _Try:
        """Send a request, and once more elsewhere where its answer is later than nearly all others.

        Whichever answers first counts; the other one is cancelled.
        """
        started = time.monotonic()
        pending = self._begin_try(job, stats, started)
        if isinstance(pending, _Try):
            return pending
        late_after = started + job.balancer.late_after(job.route.name) - time.monotonic()
        if self._is_answering(job, stats, pending, late_after) or time.monotonic() >= job.deadline:
            return self._end_try(job, stats, pending, started)
        first = second = None
        try:
            first = gevent.spawn(self._end_try, job, stats, pending, started)
            now = time.monotonic()
            other = job.balancer.choose(slots, now, frozenset(tried))
            if other is None or not budget.spend(now):
                return first.get()
            job.log.note(Event.REQUEST_SENT_AGAIN, sent=True, reason="late", budget=round(budget.left(now), 1))
            tried.add(other.endpoint.instance)
            self._metrics.count(Metric.RETRIES)
            second = gevent.spawn(self._try, job, other)
            done = gevent.wait([first, second], count=1)[0].get()
            if not done.is_final:
                made = (second if first.ready() else first).get()
                done = made if made.is_final or made.may_have_run else done
            # Both were sent: what an application may have seen counts twice.
            done.arrivals = 2
            return done
        finally:
            gevent.killall([task for task in (first, second) if task is not None], block=False)

    def _is_answering(self, job: "_Job", stats, pending: PendingAnswer, timeout: float) -> bool:
        """Wait for an answer's beginning; False where it is late."""
        try:
            return pending.wait(timeout)
        except BaseException:
            job.balancer.end(stats, False, time.monotonic())
            raise

    def _try(self, job: "_Job", stats) -> _Try:
        """Send a request to one upstream, and wait for its answer."""
        started = time.monotonic()
        pending = self._begin_try(job, stats, started)
        return pending if isinstance(pending, _Try) else self._end_try(job, stats, pending, started)

    def _begin_try(self, job: "_Job", stats, started: float) -> "PendingAnswer | _Try":
        """Send a request to one upstream; a `_Try` where it could not be sent."""
        request, balancer = job.request, job.balancer
        left = job.deadline - started
        sent = [
            *job.headers,
            (ATTEMPT_HEADER, str(job.attempt)),
            (DEADLINE_HEADER, str(max(1, int(left * 1000)))),
        ]
        if job.wanted_by < job.deadline:
            sent.append((TARGET_HEADER, str(max(0, int((job.wanted_by - started) * 1000)))))
        if stats.endpoint.upstream:
            sent.append((UPSTREAM_HEADER, stats.endpoint.upstream))
        job.log.note(
            Event.REQUEST_SENT,
            upstream=stats.endpoint.instance,
            life=stats.endpoint.upstream,
            zone=stats.endpoint.zone,
            own_in_progress=stats.in_progress,
            others=stats.others,
            others_age_ms=round(1000 * (started - stats.told_at)) if stats.told_at is not None else None,
            slowness=round(stats.slowness, 2),
        )
        balancer.begin(stats, started)
        try:
            return send_request(self._pool, stats.address, request, sent, left + GRACE, request.body.is_long)
        except ExchangeError as exc:
            return self._on_failed(job, stats, exc)
        except BaseException:
            balancer.end(stats, False, time.monotonic())
            raise

    def _on_failed(self, job: "_Job", stats, exc: ExchangeError) -> _Try:
        """No answer has come to a try."""
        self._note_end(job.balancer, stats, failed=True, unreachable=exc.is_unreachable)
        self._note_try(job, stats, exc.outcome, exc.code)
        return self._on_lost(exc, stats, job.route, job.request)

    def _end_try(self, job: "_Job", stats, pending: PendingAnswer, started: float) -> _Try:
        """Wait for the answer of a try."""
        route, balancer = job.route, job.balancer
        try:
            response = pending.read()
        except ExchangeError as exc:
            return self._on_failed(job, stats, exc)
        except BaseException:
            balancer.end(stats, False, time.monotonic())
            raise
        head = response.message
        load = _read_int(head.header(LOAD_HEADER))
        if head.header(LEAVING_HEADER):
            balancer.note_leaving(stats.endpoint.instance)
            self._pool.forget(stats.address)
        outcome = head.header(OUTCOME_HEADER)
        if outcome == Outcome.NOT_RUN:
            self._note_try(job, stats, Outcome.NOT_RUN, ErrorCode.find(head.header(CODE_HEADER)))
            return self._on_refused(response, balancer, stats, load)
        is_lost = outcome == Outcome.UNKNOWN
        if (is_lost or head.status == 503) and route.repeatable:
            # Noted first: reading may end with the caller's going away.
            self._note_end(balancer, stats, failed=True, load=load)
            self._note_try(job, stats, Outcome.UNKNOWN, ErrorCode.find(head.header(CODE_HEADER)), head.status)
            answer = Answer(head.status, head.reason, _strip(head), [self._read_refusal(response)])
            if is_lost:
                answer = self._make_unknown(ErrorCode.find(head.header(CODE_HEADER)) or ErrorCode.ANSWER_LOST, "")
            return _Try(answer, False, may_have_run=True)
        return self._pass_answer(response, job, stats, load, is_lost, started)

    def _note_try(self, job: "_Job", stats, outcome: str, code: ErrorCode | None, status: int = 0) -> None:
        """Note a try whose answer does not stand."""
        job.log.note(
            Event.REQUEST_TRY_ENDED,
            upstream=stats.endpoint.instance,
            life=stats.endpoint.upstream,
            outcome=outcome,
            code=code.code if code else "",
            status=status,
        )
        self._metrics.count(Metric.TRIES, 1, (stats.endpoint.service, outcome))

    def _make_unknown(self, code: ErrorCode, detail: str) -> Answer:
        return self._dialect.make_refusal(code, Outcome.UNKNOWN, 0.0, detail)

    def _on_lost(self, exc: ExchangeError, stats, route: Route, request: Request) -> _Try:
        if exc.outcome == Outcome.NOT_RUN:
            answer = self._dialect.make_refusal(exc.code, Outcome.NOT_RUN, RETRY_AFTER, str(exc))
            return _Try(answer, False, has_arrived=False)
        self._metrics.count(Metric.UNKNOWN)
        self._events.emit(
            Event.ANSWER_LOST,
            request=self._dialect.read_request(request.headers).request_id,
            upstream=stats.endpoint.instance,
            target=request.path,
            error=exc,
        )
        answer = self._make_unknown(exc.code, str(exc))
        return _Try(answer, not route.repeatable, may_have_run=True)

    def _on_refused(self, response, balancer, stats, load) -> _Try:
        """The upstream's daemon refused: the request has not run."""
        head = response.message
        code = ErrorCode.find(head.header(CODE_HEADER)) or ErrorCode.OVERLOADED
        is_fault = code not in (ErrorCode.OVERLOADED, ErrorCode.DRAINING, ErrorCode.DEADLINE)
        self._note_end(balancer, stats, failed=is_fault, load=load)
        if code is ErrorCode.NOT_HELD:
            # The address is in other hands, or another life of the application
            # is there: the mesh learns of it soon.
            balancer.note_leaving(stats.endpoint.instance)
        self._metrics.count(Metric.NOT_RUN)
        self._read_refusal(response)
        wait = _read_float(head.header("retry-after")) or RETRY_AFTER
        answer = self._dialect.make_refusal(code, Outcome.NOT_RUN, 0.0 if code is ErrorCode.DEADLINE else wait)
        return _Try(answer, code is ErrorCode.DEADLINE, bool(head.header(ARRIVED_HEADER)), code=code)

    def _note_end(
        self, balancer, stats, failed: bool, load=None, taken=None, unreachable: bool = False, kind: str = ""
    ) -> None:
        if balancer.end(stats, failed, time.monotonic(), load, taken, unreachable, kind):
            self._metrics.count(Metric.EJECTED)
            self._events.emit(
                Event.EJECTED,
                upstream=stats.endpoint.instance,
                life=stats.endpoint.upstream,
                ejections=stats.ejections,
                unreachable=unreachable,
            )
            if unreachable:
                self._pool.forget(stats.address)
                gevent.spawn(self._prober.run, balancer, stats)

    def _read_refusal(self, response: UpstreamAnswer) -> bytes:
        """Read a refusal's short body; where it breaks off, the head says enough."""
        try:
            return response.read_all()
        except (OSError, MalformedMessage):
            return b""
        finally:
            response.close()

    def _pass_answer(self, response, job: "_Job", stats, load, is_lost: bool, started: float) -> _Try:
        """Pass an answer on: a short one once it is whole, a long one as it comes."""
        head = response.message
        route, balancer, deadline = job.route, job.balancer, job.deadline
        taken = time.monotonic() - started
        if is_lost:
            code = ErrorCode.find(head.header(CODE_HEADER)) or ErrorCode.ANSWER_LOST
            self._note_end(balancer, stats, failed=True, load=load)
            self._note_try(job, stats, Outcome.UNKNOWN, code)
            self._read_refusal(response)
            return _Try(self._make_unknown(code, ""), True, may_have_run=True)
        failed = head.status >= 500
        self._metrics.count(Metric.TRIES, 1, (stats.endpoint.service, "failed" if failed else "answered"))
        pieces: list[bytes] = []
        if not head.is_complete:
            response.set_timeout(deadline - time.monotonic() + GRACE)
            try:
                pieces = response.read_some(BUFFER_LIMIT)
            except (OSError, MalformedMessage) as exc:
                response.close()
                self._note_end(balancer, stats, failed=True, load=load)
                self._note_try(job, stats, Outcome.UNKNOWN, ErrorCode.ANSWER_LOST)
                return _Try(self._make_unknown(ErrorCode.ANSWER_LOST, str(exc)), not route.repeatable, True, True)
            except BaseException:
                response.close()
                balancer.end(stats, False, time.monotonic())
                raise
        if head.is_complete:
            # A failure that comes at once must not make an upstream look quick.
            known = None if failed else taken
            self._note_end(balancer, stats, failed=failed, load=load, taken=known, kind=route.name)
            return _Try(Answer(head.status, head.reason, _strip(head), [*pieces, *head.pieces]), True)

        def end(broke_off: bool) -> None:
            if broke_off:
                self._events.emit(Event.ANSWER_LOST, upstream=stats.endpoint.instance)
            self._note_end(balancer, stats, failed=failed or broke_off, load=load, taken=taken, kind=route.name)

        return _Try(Answer(head.status, head.reason, _strip(head), AnswerPieces(response, end, pieces)), True)

    def _make_headers(self, request: Request, binding: Binding, route: Route, service: str, span) -> list:
        headers = public_headers(request.headers, self._dialect.request_names)
        headers.append((SERVICE_HEADER, service))
        headers.append((CLASS_HEADER, route.traffic_class))
        headers.append((ROUTE_HEADER, route.name))
        headers.append((VERSION_HEADER, str(binding.number)))
        caller = self._view.upstream.service if self._view.upstream is not None else ""
        if caller:
            headers.append((CALLER_HEADER, caller))
        if span.traceparent:
            headers.append((TRACE_HEADER, span.traceparent))
        return headers


def _outcome(answer: Answer) -> str:
    """Return what is known of a request by its answer."""
    return _header(answer, OUTCOME_HEADER) or "answered"


def _header(answer: Answer, name: str) -> str:
    return next((value for key, value in answer.headers if key == name), "")


def _read_int(text) -> int | None:
    if isinstance(text, str) and text.isascii() and text.isdigit():
        return int(text)
    return None


def _read_float(text: str) -> float:
    try:
        return float(text)
    except ValueError:
        return 0.0


def _strip(head: Message) -> list[tuple[str, str]]:
    """Return an answer's headers without those between daemons or of one connection."""
    return public_headers(head.headers, _DAEMON_HEADERS)
