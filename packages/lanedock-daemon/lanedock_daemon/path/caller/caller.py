# SPDX-License-Identifier: BSD-3-Clause
"""The caller's side of the request path: routes requests, chooses upstreams, and retries."""

from copy import copy
from itertools import count
from random import Random

from lanedock.clock import monotonic
from lanedock.config import Customer, Route
from lanedock.errors import ErrorCode
from lanedock.kernel import StopPlan
from lanedock.limits import LONG_ANSWER_BYTES, AnswerTransfer, FirstAttempts
from lanedock.quarantine import Fingerprint, RequestHasher
from lanedock.quota import Taken
from lanedock.routing import choose_service
from lanedock.telemetry import Event, EventLogger, Metric, Metrics, RequestLog, RequestLogger, Span, Tracer
from lanedock_daemon.agent.view import Binding, LocalView
from lanedock_daemon.path.caller.attempts import AttemptSender
from lanedock_daemon.path.caller.identity import Identity, identify
from lanedock_daemon.path.caller.load_prober import LoadProber
from lanedock_daemon.path.caller.progress import AttemptProgress
from lanedock_daemon.path.caller.request_context import RequestContext
from lanedock_daemon.path.http.headers import (
    CALLER_HEADER,
    CLASS_HEADER,
    CODE_HEADER,
    CUSTOMER_PRIORITY_HEADER,
    OUTCOME_HEADER,
    PARENT_CLASS_HEADER,
    ROUTE_HEADER,
    SERVICE_HEADER,
    TRACE_HEADER,
    VERSION_HEADER,
    encode_name,
    public_headers,
)
from lanedock_daemon.path.http.messages import (
    DEFAULT_RETRY_AFTER,
    Answer,
    CallerDisconnected,
    Outcome,
    ReplayBody,
    Request,
    outcome_label,
)
from lanedock_daemon.path.http.service import StopTimeout
from lanedock_daemon.path.http.time_limit import IDLE_TIMEOUT
from lanedock_daemon.path.shared.dialect import Dialect, OwnDialect, RequestFacts
from lanedock_daemon.path.shared.paced_answer import LinkTurns, answer_length, is_long_answer
from lanedock_daemon.path.shared.pool import ConnectionPool
from lanedock_daemon.path.shared.stop_fields import STOP_DEADLINE_REASON, describe_stop
from lanedock_daemon.quota.gate import QuotaGate, QuotaRefusal

__all__ = ["CallerSide"]

# Attempt number sent with a request that an earlier hop has already retried.
RETRIED_ATTEMPT = 2
# Bodies up to this many bytes are kept until the answer comes, so that they can be sent again.
REPLAY_LIMIT = 64 * 1024
# Upstreams that may refuse a request because of their load. When two upstreams chosen for their
# low load refuse, the others are most likely full, too, and more attempts only add to the load.
# A request that the caller retries has met such refusals before.
MAX_OVERLOADS = 2
MAX_OVERLOADS_RETRIED = 1
# Seconds after which a caller may retry a request that is refused at the end of a stop.
MIN_STOP_RETRY_AFTER = 0.1


class CallerSide:
    """Sends callers' requests to upstreams.

    Parameters
    ----------
    view : LocalView
    pool : ConnectionPool
    events : EventLogger
    metrics : Metrics
    tracer : Tracer
    dialect : Dialect, optional
    rng : random.Random, optional
        Chooses the service for each request of a route that is split between services.
    requests : RequestLogger, optional
        Logs the decisions on single requests.
    plan : StopPlan, optional
        Stop plan of the process.
    quotas : QuotaGate, optional
        Admits requests of customers with a rate. Default: customers' rates aren't enforced.
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
        quotas: QuotaGate | None = None,
    ):
        self._plan = plan or StopPlan()
        self._quotas = quotas
        self._requests = requests or RequestLogger(events, 0)
        self._view = view
        self._metrics = metrics
        self._tracer = tracer
        self._dialect = dialect or OwnDialect()
        # Request headers that aren't passed on where the version has customers.
        self._customer_request_names = (
            self._dialect.request_names | self._dialect.key_names | self._dialect.customer_names
        )
        self._attempts = AttemptSender(pool, self._dialect, events, metrics, view.quarantine, self._read_idle_time)
        self._load_prober = LoadProber(metrics)
        self._rng = rng or Random()
        self._ages = FirstAttempts()
        self._turns: LinkTurns | None = None
        self._is_for_calls = False

    def for_calls(self) -> "CallerSide":
        """Return a side that shares all state with this one, for calls that the application beside the daemon makes.

        They belong to requests in progress, which fail without them, so in a stop they are served if they are
        expected to end in time.
        """
        side = copy(self)
        side._is_for_calls = True
        return side

    def paced_by(self, turns: LinkTurns) -> "CallerSide":
        """Return a side that shares all state with this one, and sends long answers by the turns of a narrow link.

        This one stays for the application beside the daemon, whose answers don't pass the link.
        """
        paced = copy(self)
        paced._turns = turns
        return paced

    def handle(self, request: Request) -> Answer:
        """Send a caller's request to an upstream, and return the answer."""
        self._metrics.count(Metric.REQUESTS)
        # The caller's time goes on while its request waits for its start.
        started = request.read_at
        span = self._tracer.start(f"{request.method} caller", request.header(TRACE_HEADER))
        facts = self._dialect.read_request(request.headers)
        log = self._requests.begin(facts.request_id, started)
        try:
            answer = self._process(request, facts, span, started, log)
        except BaseException as exc:
            now = monotonic()
            self._requests.totals.note("caller", log.route, "cancelled", now - started)
            log.note(
                Event.REQUEST_ANSWERED,
                outcome="cancelled",
                reason=type(exc).__name__,
                **describe_stop(self._plan, started, now),
            )
            self._metrics.count(Metric.OUTCOMES, 1, ("", "cancelled"))
            self._requests.end(log, True)
            raise
        now = monotonic()
        taken = now - started
        self._metrics.time(Metric.LATENCY, taken)
        span.end(**{"http.status_code": answer.status, "http.target": request.path})
        outcome = _outcome(answer)
        self._requests.totals.note("caller", log.route, _classify_end(answer, taken, log), taken)
        log.note(
            Event.REQUEST_ANSWERED,
            outcome=outcome,
            status=answer.status,
            code=_header(answer, CODE_HEADER),
            **describe_stop(self._plan, started, now),
        )
        self._metrics.count(Metric.OUTCOMES, 1, (log.route, outcome))
        self._requests.end(log, answer.status >= 400, self._plan.is_begun)
        return answer

    def _process(self, request: Request, facts: RequestFacts, span: Span, started: float, log: RequestLog) -> Answer:
        request.check_caller()
        binding = self._view.bind()
        if binding is None:
            log.note(
                Event.REQUEST_ROUTED, target=request.path, reason="no confirmed version", **self._view.unready_details()
            )
            return self._refuse(ErrorCode.NOT_READY, DEFAULT_RETRY_AFTER)
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
        identity = identify(binding.config.customers, route, facts, self._dialect)
        if identity.is_refused:
            log.note(
                Event.REQUEST_REFUSED, code=ErrorCode.KEY_UNKNOWN.code, target=request.path, version=binding.number
            )
            return self._refuse(ErrorCode.KEY_UNKNOWN)
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
            **identity.log_fields(),
        )
        suspect = self._find_suspect(request, identity)
        left = self._view.quarantine.time_left(suspect, started) if suspect is not None else 0.0
        if left:
            log.note(Event.REQUEST_REFUSED, code=ErrorCode.QUARANTINED.code, suspect=suspect)
            return self._refuse(ErrorCode.QUARANTINED, left)
        deadline = started + deadline_ms / 1000
        credit = self._take_credit(identity.customer, deadline, log)
        if isinstance(credit, QuotaRefusal):
            return self._refuse(credit.code, credit.retry_after)
        headers = self._make_headers(request, binding, route, identity, span)
        context = self._make_context(request, binding, route, headers, deadline, age / 1000, log)
        context.customer = identity.customer
        context.is_suspect = suspect is not None
        max_overloads = MAX_OVERLOADS_RETRIED if age else MAX_OVERLOADS
        # An earlier hop already retries this request; retries here, too, would multiply the load.
        try:
            answer = self._send(context, AttemptProgress(route, max_overloads), may_retry=not facts.was_retried)
        except CallerDisconnected:
            if credit is not None and not request.trace.attempts:
                self._quotas.give_back(identity.customer, credit)
            raise
        if credit is not None and _outcome(answer) == Outcome.NOT_RUN:
            self._quotas.give_back(identity.customer, credit)
        return answer if self._turns is None else self._pace(answer, context, binding)

    def _take_credit(self, customer: Customer | None, deadline: float, log: RequestLog) -> Taken | QuotaRefusal | None:
        """Take a credit for a request of a customer with a rate; None if the request needs none.

        Called once for a request: its further attempts take no credit. Waits for the credit where
        none is at hand. `deadline` is a monotonic time, in seconds.
        """
        if customer is None or not customer.rate or self._quotas is None:
            return None
        began_at = monotonic()
        credit = self._quotas.admit(customer, deadline)
        if isinstance(credit, QuotaRefusal):
            log.note(
                Event.REQUEST_REFUSED,
                code=credit.code.code,
                customer=customer.name,
                retry_after_ms=round(1000 * credit.retry_after),
                waited_ms=round(1000 * (monotonic() - began_at), 1),
            )
        return credit

    def _pace(self, answer: Answer, context: RequestContext, binding: Binding) -> Answer:
        """Let a long answer with a body wait for its turns on the daemon's narrow link."""
        if answer.pieces and context.request.method != "HEAD" and is_long_answer(answer.headers):
            customer_priority = context.customer.priority if context.customer is not None else 0
            order = (customer_priority, binding.config.traffic_classes[context.route.traffic_class].priority)
            transfer = AnswerTransfer(order, context.target_time, LONG_ANSWER_BYTES, monotonic())
            answer.pieces = self._turns.pace(answer.pieces, transfer, answer_length(answer.headers))
        return answer

    def _find_suspect(self, request: Request, identity: Identity) -> Fingerprint | None:
        """Return the fingerprint of a request that is suspected of crashes.

        Returns None for a request that isn't suspected, and for one with a body, because the
        fingerprint includes the body, which has not been read yet.
        """
        if not self._view.quarantine.size or request.body.length != 0:
            return None
        customer = identity.fingerprint_customer
        fingerprint = RequestHasher(request.method, request.host, request.target, customer).fingerprint()
        return fingerprint if self._view.quarantine.count(fingerprint) else None

    def _refuse(self, code: ErrorCode, retry_after: float = 0.0, detail: str = "") -> Answer:
        self._metrics.count(Metric.NOT_RUN)
        return self._dialect.make_refusal(code, Outcome.NOT_RUN, retry_after, detail)

    def _refuse_stopping(self, now: float) -> Answer:
        """Refuse a request that may not end before this process stops.

        The retry delay lasts until this process no longer takes callers' connections; another instance can serve the
        request sooner.
        """
        answer = self._refuse(ErrorCode.DRAINING, max(MIN_STOP_RETRY_AFTER, self._plan.remaining_linger(now)))
        answer.ends_connection = True
        return answer

    def _read_idle_time(self) -> float:
        """Return the seconds after which daemons close idle connections; they apply the same limits as this one."""
        limits = self._view.caller_limits()
        return IDLE_TIMEOUT if limits is None else limits.idle_timeout_ms / 1000

    # ---------------------------------------------------------------- attempts

    def _make_context(
        self,
        request: Request,
        binding: Binding,
        route: Route,
        headers: list,
        deadline: float,
        age: float,
        log: RequestLog,
    ) -> RequestContext:
        """Choose a service of the route, and collect the state that all attempts need.

        `deadline` is a monotonic time and `age` a duration, both in seconds.
        """
        service = binding.config.services[choose_service(route, self._rng)]
        headers.append((SERVICE_HEADER, encode_name(service.name)))
        now = monotonic()
        budget = self._view.budget(service.name)
        budget.note_first_try(now)
        request.body = ReplayBody(request.body, REPLAY_LIMIT)
        target_time = now + route.target_ms / 1000 - age
        balancer = self._view.balancer(service.name)
        context = RequestContext(request, headers, route, service, balancer, budget, deadline, target_time, log)
        if self._view.canaries.running(service.name) is not None:
            context.goes_to_canary = self._view.canaries.assign_request(service.name)
            context.prefers_canary = self._view.canaries.has_full_share(service.name)
        return context

    def _send(self, context: RequestContext, progress: AttemptProgress, may_retry: bool) -> Answer:
        """Return the answer, or an unknown outcome if the process stops first."""
        try:
            return self._attempt_until_final(context, progress, may_retry)
        except StopTimeout:
            # The request may have been sent; callees catch StopTimeout themselves where it certainly was not.
            context.log.note(Event.REQUEST_TRY_ENDED, service=context.service.name, reason=STOP_DEADLINE_REASON)
            return self._dialect.make_refusal(ErrorCode.ANSWER_LOST, Outcome.UNKNOWN)

    def _attempt_until_final(self, context: RequestContext, progress: AttemptProgress, may_retry: bool) -> Answer:
        """Send a request to one upstream after another until one answers or no further attempt is allowed."""
        route, body = context.route, context.request.body
        for attempt in count(1):
            now = monotonic()
            if now >= context.deadline:
                return progress.failure or self._refuse(ErrorCode.DEADLINE)
            # The deadline limits the time until the head of the answer; the body may take longer.
            body_time = context.balancer.body_late_delay(route.name)
            needed = min(context.balancer.hedge_delay(route.name), context.deadline - now) + body_time
            if not self._may_start(needed, context.deadline + body_time, now):
                context.log.note(Event.REQUEST_TRY_ENDED, service=context.service.name, reason="the process stops")
                return progress.failure or self._refuse_stopping(now)
            context.start_by = self._plan.start_by(needed)
            if context.balancer.probed_choice is not None:
                self._load_prober.prepare_choice(context, now)
                now = monotonic()
            upstream = context.choose(now)
            if upstream is None:
                known = len(context.balancer)
                context.log.note(
                    Event.REQUEST_TRY_ENDED, service=context.service.name, reason="no upstream left", known=known
                )
                return progress.failure or self._refuse(ErrorCode.NO_UPSTREAM, DEFAULT_RETRY_AFTER)
            may_hedge = may_retry and route.repeatable and body.length == 0 and not context.is_suspect
            if may_hedge and progress.arrivals + 1 < route.max_attempts:
                result = self._attempts.send_hedged(context, upstream, attempt)
            else:
                result = self._attempts.send(context, upstream, attempt if may_retry else RETRIED_ATTEMPT)
            if result.is_final:
                return progress.choose_answer(result)
            progress.add(result)
            context.is_rate_limited = context.is_rate_limited or result.code is ErrorCode.RATE_LIMITED
            if not may_retry or not body.can_rewind or progress.is_exhausted():
                return progress.failure
            if not self._spend_retry(context, bool(result.arrivals)):
                return progress.failure
            body.rewind()
            self._metrics.count(Metric.RETRIES)

    def _may_start(self, needed: float, time_limit: float, now: float) -> bool:
        """Return whether an attempt may start in view of the process's stop.

        Parameters
        ----------
        needed : float
            Seconds that the attempt is expected to take.
        time_limit, now : float
            Monotonic times, in seconds; the attempt ends by `time_limit` at the latest.
        """
        if self._is_for_calls or not self._plan.is_leaving(now):
            return self._plan.allows(needed, now)
        return self._plan.is_in_time(time_limit)

    def _spend_retry(self, context: RequestContext, is_charged: bool) -> bool:
        """Charge another attempt to the retry budget; return whether the budget allows it.

        An attempt that reached no application is not charged to the budget.
        """
        context.request.check_caller()
        now = monotonic()
        may_spend = not is_charged or context.budget.spend(now)
        left = context.budget.available(now)
        context.log.note(Event.REQUEST_SENT_AGAIN, sent=may_spend, charged=is_charged, budget=round(left, 1))
        self._metrics.gauge(Metric.RETRY_BUDGET, left, (context.service.name,))
        return may_spend

    def _make_headers(
        self, request: Request, binding: Binding, route: Route, identity: Identity, span: Span
    ) -> list[tuple[str, str]]:
        """Make the headers that are sent with every attempt."""
        has_customers = binding.config.customers is not None
        removed = self._customer_request_names if has_customers else self._dialect.request_names
        headers = public_headers(request.headers, removed) + identity.make_headers()
        if has_customers and identity.customer is None:
            priority = self._view.inherited_customer_priority()
            if priority is not None:
                headers.append((CUSTOMER_PRIORITY_HEADER, str(priority)))
        headers.append((CLASS_HEADER, encode_name(route.traffic_class)))
        headers.append((ROUTE_HEADER, encode_name(route.name)))
        headers.append((VERSION_HEADER, str(binding.number)))
        caller = self._view.upstream.service if self._view.upstream is not None else ""
        if caller:
            headers.append((CALLER_HEADER, encode_name(caller)))
        parent = self._view.inherited_traffic_class(binding)
        if parent:
            headers.append((PARENT_CLASS_HEADER, encode_name(parent)))
        if span.traceparent:
            headers.append((TRACE_HEADER, span.traceparent))
        return headers


def _outcome(answer: Answer) -> str:
    """Return the outcome that an answer states, or "answered" if an application gave the answer."""
    return _header(answer, OUTCOME_HEADER) or "answered"


def _classify_end(answer: Answer, taken: float, log: RequestLog) -> str:
    """Return the kind of end under which the totals count a request."""
    ended = outcome_label(answer, "timely" if log.age + taken <= log.target else "late")
    return f"retried_{ended}" if log.age else ended


def _header(answer: Answer, name: str) -> str:
    return next((value for key, value in answer.headers if key == name), "")
