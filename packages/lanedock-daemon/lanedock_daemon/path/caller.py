# SPDX-License-Identifier: BSD-3-Clause
"""The caller's side of the path: match, choose, send, and retry."""

from itertools import count
from random import Random

from lanedock.clock import monotonic
from lanedock.config import Route
from lanedock.errors import ErrorCode
from lanedock.kernel import StopPlan
from lanedock.limits import FirstAttempts
from lanedock.quarantine import Fingerprint, RequestHasher
from lanedock.routing import choose_service
from lanedock.telemetry import Event, EventLogger, Metric, Metrics, RequestLog, RequestLogger, Span, Tracer
from lanedock_daemon.agent.view import Binding, LocalView
from lanedock_daemon.path.dialect import Dialect, OwnDialect, RequestFacts
from lanedock_daemon.path.headers import (
    CALLER_HEADER,
    CLASS_HEADER,
    CODE_HEADER,
    OUTCOME_HEADER,
    PARENT_HEADER,
    ROUTE_HEADER,
    SERVICE_HEADER,
    TRACE_HEADER,
    VERSION_HEADER,
    public_headers,
    write_name,
)
from lanedock_daemon.path.http import RETRY_AFTER, Answer, Outcome, ReplayBody, Request, describe_end
from lanedock_daemon.path.job import Job, Try
from lanedock_daemon.path.pool import ConnectionPool
from lanedock_daemon.path.service import StopTimeout
from lanedock_daemon.path.tries import Tries

__all__ = ["CallerSide"]

# Attempt that is sent for a request that some hop before has sent again.
RETRIED = 2
# Bodies up to this many bytes are kept until the answer, to be sent again.
REPLAY_LIMIT = 64 * 1024
# Daemons that may refuse a request unseen by an application, for each attempt
# that an application may see.
REFUSALS_PER_ATTEMPT = 2
# Upstreams that may refuse a request for the rate that they advertise: it says nothing of the
# others, and the caller hears of each limit once.
MAX_RATE_LIMITED = 4
# Upstreams that may refuse a request for their load. Two chosen as the less loaded
# ones say that the others are full, too; more tries only add to the load. What
# is retried has met such refusals already.
MAX_OVERLOADS = 2
MAX_OVERLOADS_RETRIED = 1


class _Progress:
    """What the tries of one request have come to so far.

    Parameters
    ----------
    route : Route
    max_overloads : int
        Upstreams that may refuse it for their load.

    Attributes
    ----------
    failure : Answer or None
        The answer to give if no other try succeeds.
    arrivals : int
        Applications that may have seen the request.
    """

    __slots__ = (
        "_max_arrivals",
        "_max_overloads",
        "_may_have_run",
        "_overloads",
        "_rate_limited",
        "_tries_left",
        "arrivals",
        "failure",
    )

    def __init__(self, route: Route, max_overloads: int):
        self.failure: Answer | None = None
        self.arrivals = 0
        self._may_have_run = False
        self._overloads = 0
        self._rate_limited = 0
        self._tries_left = route.max_attempts * REFUSALS_PER_ATTEMPT
        self._max_arrivals = route.max_attempts
        self._max_overloads = max_overloads

    def take(self, made: Try) -> None:
        """Note a try that is not final."""
        self._may_have_run = self._may_have_run or made.may_have_run
        # What was refused unseen must not hide that a try before may have run.
        if self.failure is None or made.may_have_run or not self._may_have_run:
            self.failure = made.answer
        self.arrivals += made.arrivals
        self._overloads += made.code is ErrorCode.OVERLOADED
        if made.code is ErrorCode.RATE_LIMITED:
            self._rate_limited += 1
        else:
            self._tries_left -= 1

    def settle(self, made: Try) -> Answer:
        """Return the answer where a try is final: a refusal says nothing of a try before that may have run."""
        is_refusal = made.code is not None
        return self.failure if is_refusal and self._may_have_run else made.answer

    def is_exhausted(self) -> bool:
        """Tell whether no further try is allowed, or promises anything."""
        if self._tries_left <= 0 or self._rate_limited >= MAX_RATE_LIMITED:
            return True
        return self.arrivals >= self._max_arrivals or self._overloads >= self._max_overloads


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
    plan : StopPlan, optional
        Of the process.
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
        plan: StopPlan | None = None,
    ):
        self._plan = plan or StopPlan()
        self._requests = requests or RequestLogger(events, 0)
        self._view = view
        self._metrics = metrics
        self._tracer = tracer
        self._dialect = dialect or OwnDialect()
        self._tries = Tries(pool, self._dialect, events, metrics, view.quarantine)
        self._rng = rng or Random()
        self._ages = FirstAttempts()

    def handle(self, request: Request) -> Answer:
        """Answer a request."""
        self._metrics.count(Metric.REQUESTS)
        started = monotonic()
        span = self._tracer.start(f"{request.method} caller", request.header(TRACE_HEADER))
        facts = self._dialect.read_request(request.headers)
        log = self._requests.begin(facts.request_id, started)
        try:
            answer = self._route(request, facts, span, started, log)
        except BaseException as exc:
            self._requests.totals.note("caller", log.route, "cancelled", monotonic() - started)
            log.note(Event.REQUEST_ANSWERED, outcome="cancelled", reason=type(exc).__name__)
            self._metrics.count(Metric.OUTCOMES, 1, ("", "cancelled"))
            self._requests.end(log, True)
            raise
        taken = monotonic() - started
        self._metrics.time(Metric.LATENCY, taken)
        span.end(**{"http.status_code": answer.status, "http.target": request.path})
        outcome = _outcome(answer)
        self._requests.totals.note("caller", log.route, _describe(answer, taken, log), taken)
        log.note(Event.REQUEST_ANSWERED, outcome=outcome, status=answer.status, code=_header(answer, CODE_HEADER))
        self._metrics.count(Metric.OUTCOMES, 1, (log.route, outcome))
        self._requests.end(log, answer.status >= 400)
        return answer

    def _route(self, request: Request, facts: RequestFacts, span: Span, started: float, log: RequestLog) -> Answer:
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
        deadline_ms = route.deadline_ms if facts.deadline_ms is None else min(route.deadline_ms, facts.deadline_ms)
        age = self._ages.note(route.name, facts.deadline_ms)
        log.age, log.target = age / 1000, route.target_ms / 1000
        log.note(
            Event.REQUEST_ROUTED,
            target=request.path,
            route=route.name,
            traffic_class=route.traffic_class,
            version=binding.number,
            deadline_ms=deadline_ms,
            target_ms=route.target_ms,
            caller_waits_ms=facts.deadline_ms,
            age_ms=age,
        )
        suspect = self._find_suspect(request, facts)
        left = self._view.quarantine.time_left(suspect, started) if suspect is not None else 0.0
        if left:
            log.note(Event.REQUEST_REFUSED, code=ErrorCode.QUARANTINED.code, suspect=suspect)
            return self._refuse(ErrorCode.QUARANTINED, left)
        headers = self._make_headers(request, binding, route, span)
        job = self._make_job(request, binding, route, headers, started + deadline_ms / 1000, age / 1000, log)
        job.is_suspect = suspect is not None
        max_overloads = MAX_OVERLOADS_RETRIED if age else MAX_OVERLOADS
        # A retry that a hop before has made must not be multiplied here.
        return self._send(job, _Progress(route, max_overloads), may_retry=not facts.was_retried)

    def _find_suspect(self, request: Request, facts: RequestFacts) -> Fingerprint | None:
        """Return what a request is suspected under; None where it isn't, or its body has yet to show it."""
        if not self._view.quarantine.size or request.body.length != 0:
            return None
        fingerprint = RequestHasher(request.method, request.host, request.target, facts.customer).fingerprint()
        return fingerprint if self._view.quarantine.count(fingerprint) else None

    def _refuse(self, code: ErrorCode, retry_after: float = 0.0, detail: str = "") -> Answer:
        self._metrics.count(Metric.NOT_RUN)
        return self._dialect.make_refusal(code, Outcome.NOT_RUN, retry_after, detail)

    def _refuse_late(self, now: float) -> Answer:
        """Refuse what can't be expected to end before the process does; its caller goes elsewhere.

        It may come back once callers come here no more.
        """
        answer = self._refuse(ErrorCode.DRAINING, max(RETRY_AFTER, self._plan.linger_left(now)))
        answer.ends_connection = True
        return answer

    # ------------------------------------------------------------------- tries

    def _make_job(
        self,
        request: Request,
        binding: Binding,
        route: Route,
        headers: list,
        deadline: float,
        age: float,
        log: RequestLog,
    ) -> Job:
        """Choose a service of the route, and gather what the tries of a request need; times in seconds."""
        service = binding.config.services[choose_service(route, self._rng)]
        headers.append((SERVICE_HEADER, write_name(service.name)))
        now = monotonic()
        budget = self._view.budget(service.name)
        budget.note_first_try(now)
        request.body = ReplayBody(request.body, REPLAY_LIMIT)
        target_time = now + route.target_ms / 1000 - age
        balancer = self._view.balancer(service.name)
        job = Job(request, headers, route, service, balancer, budget, deadline, target_time, log)
        if self._view.canaries.running(service.name) is not None:
            job.goes_to_canary = self._view.canaries.take(service.name)
            job.is_moved = self._view.canaries.is_whole(service.name)
        return job

    def _send(self, job: Job, progress: _Progress, may_retry: bool) -> Answer:
        """Find the answer; where the process ends first, say what is known."""
        try:
            return self._try_in_turn(job, progress, may_retry)
        except StopTimeout:
            # It was sent: all that knows better has its own answer for this.
            return self._dialect.make_refusal(ErrorCode.ANSWER_LOST, Outcome.UNKNOWN)

    def _try_in_turn(self, job: Job, progress: _Progress, may_retry: bool) -> Answer:
        """Try upstreams until one answers, or trying again would be wrong."""
        route, body = job.route, job.request.body
        for attempt in count(1):
            now = monotonic()
            if now >= job.deadline:
                return progress.failure or self._refuse(ErrorCode.DEADLINE)
            # The deadline bounds the time to the answer's head; its body may go on beyond it.
            needed = min(job.balancer.hedge_delay(route.name), job.deadline - now)
            needed += job.balancer.body_late_after(route.name)
            if not self._plan.allows(needed, now):
                job.log.note(Event.REQUEST_TRY_ENDED, service=job.service.name, reason="the process stops")
                return progress.failure or self._refuse_late(now)
            job.start_by = self._plan.start_by(needed)
            stats = job.choose(now)
            if stats is None:
                known = len(job.balancer)
                job.log.note(Event.REQUEST_TRY_ENDED, service=job.service.name, reason="no upstream left", known=known)
                return progress.failure or self._refuse(ErrorCode.NO_UPSTREAM, RETRY_AFTER)
            may_hedge = may_retry and route.repeatable and body.length == 0 and not job.is_suspect
            if may_hedge and progress.arrivals + 1 < route.max_attempts:
                made = self._tries.send_hedged(job, stats, attempt)
            else:
                made = self._tries.send(job, stats, attempt if may_retry else RETRIED)
            if made.is_final:
                return progress.settle(made)
            progress.take(made)
            job.is_rate_limited = job.is_rate_limited or made.code is ErrorCode.RATE_LIMITED
            if not may_retry or not body.can_rewind or progress.is_exhausted():
                return progress.failure
            if not self._may_send_again(job, bool(made.arrivals)):
                return progress.failure
            body.rewind()
            self._metrics.count(Metric.RETRIES)

    def _may_send_again(self, job: Job, is_charged: bool) -> bool:
        """Tell whether the budget allows another try; one that no application has seen costs nothing."""
        now = monotonic()
        may_spend = not is_charged or job.budget.spend(now)
        left = job.budget.left(now)
        job.log.note(Event.REQUEST_SENT_AGAIN, sent=may_spend, charged=is_charged, budget=round(left, 1))
        self._metrics.gauge(Metric.RETRY_BUDGET, left, (job.service.name,))
        return may_spend

    def _make_headers(self, request: Request, binding: Binding, route: Route, span: Span) -> list[tuple[str, str]]:
        """Make the headers that go with every try."""
        headers = public_headers(request.headers, self._dialect.request_names)
        headers.append((CLASS_HEADER, write_name(route.traffic_class)))
        headers.append((ROUTE_HEADER, write_name(route.name)))
        headers.append((VERSION_HEADER, str(binding.number)))
        caller = self._view.upstream.service if self._view.upstream is not None else ""
        if caller:
            headers.append((CALLER_HEADER, write_name(caller)))
        parent = self._view.parent_class(binding)
        if parent:
            headers.append((PARENT_HEADER, write_name(parent)))
        if span.traceparent:
            headers.append((TRACE_HEADER, span.traceparent))
        return headers


def _outcome(answer: Answer) -> str:
    """Return what is known of a request by its answer."""
    return _header(answer, OUTCOME_HEADER) or "answered"


def _describe(answer: Answer, taken: float, log: RequestLog) -> str:
    """Return how a request ended for its caller, as totals count it."""
    ended = describe_end(answer, "timely" if log.age + taken <= log.target else "late")
    return f"retried_{ended}" if log.age else ended


def _header(answer: Answer, name: str) -> str:
    return next((value for key, value in answer.headers if key == name), "")
