# SPDX-License-Identifier: BSD-3-Clause
"""The upstream's side of the request path: every request to an application passes through it."""

import math

from lanedock.clock import monotonic, running_time
from lanedock.errors import ErrorCode
from lanedock.kernel import StopPlan
from lanedock.limits import AdmissionRequest, AnswerLink, is_narrow_link
from lanedock.membership import UpstreamRegistration, UpstreamReport, read_rate
from lanedock.quarantine import Fingerprint, RequestHasher
from lanedock.telemetry import Event, EventLogger, Metric, Metrics, RequestLog, RequestLogger, Tracer
from lanedock.wire import messages
from lanedock_daemon.agent.registration import Registrar
from lanedock_daemon.agent.view import LocalView
from lanedock_daemon.path.http.headers import (
    CUSTOMER_HEADER,
    DEADLINE_HEADER,
    KNOWN_LIMIT_HEADER,
    LEAVING_HEADER,
    LOAD_HEADER,
    REACHED_APPLICATION_HEADER,
    ROUTE_HEADER,
    SEND_DELAY_HEADER,
    SERVICE_HEADER,
    START_BY_HEADER,
    TARGET_HEADER,
    TRACE_HEADER,
    UPSTREAM_HEADER,
    VERSION_HEADER,
    decode_name,
    parse_int,
    public_headers,
)
from lanedock_daemon.path.http.messages import (
    DEFAULT_RETRY_AFTER,
    Answer,
    BodyTimeout,
    Leaving,
    Outcome,
    Request,
    make_refusal,
    outcome_label,
)
from lanedock_daemon.path.http.parsed_message import Message
from lanedock_daemon.path.http.parser import MalformedMessage
from lanedock_daemon.path.http.service import StopTimeout
from lanedock_daemon.path.shared.answer_pieces import AnswerPieces
from lanedock_daemon.path.shared.answers import REFUSAL_BODY_TIMEOUT
from lanedock_daemon.path.shared.dialect import AnswerFacts, Dialect, OwnDialect, RequestFacts
from lanedock_daemon.path.shared.exchange import PendingAnswer, send_request
from lanedock_daemon.path.shared.paced_answer import LinkTurns, is_long_answer
from lanedock_daemon.path.shared.pool import ConnectionPool, ExchangeError
from lanedock_daemon.path.shared.stop_fields import STOP_DEADLINE_REASON, describe_stop
from lanedock_daemon.path.shared.suspicions import write_suspicions
from lanedock_daemon.path.upstream.canary_account import CanaryAccount
from lanedock_daemon.path.upstream.crashes import CrashDetector
from lanedock_daemon.path.upstream.hashed_body import hash_body
from lanedock_daemon.path.upstream.read_ahead import ReadAhead, ReadAheadMemory
from lanedock_daemon.path.upstream.request_headers import RequestHeaders
from lanedock_daemon.path.upstream.slot_gate import Slot, SlotGate
from lanedock_daemon.path.upstream.work import Work

__all__ = ["UpstreamSide"]


class UpstreamSide:
    """Passes requests on to the application, within its limits.

    Parameters
    ----------
    service : str
        Name of the service that the upstream runs.
    application : tuple of (str, int)
        Host and port of the application.
    view : LocalView
    pool : ConnectionPool
    events : EventLogger
    metrics : Metrics
    tracer : Tracer
    dialect : Dialect, optional
    requests : RequestLogger, optional
        Logs the decisions on single requests.
    crashes : CrashDetector, optional
    registrar : Registrar, optional
        Takes over what answers state about the application itself.
    link_rate : float, optional
        Rate of the daemon's link, in bytes per second, if known.
    turns : LinkTurns, optional
        Turns of the process's long answers on a narrow link; shared with the caller's side.
    plan : StopPlan, optional
        Stop plan of the process.
    """

    def __init__(
        self,
        service: str,
        application,
        view: LocalView,
        pool: ConnectionPool,
        events,
        metrics,
        tracer,
        dialect=None,
        requests=None,
        crashes=None,
        registrar: Registrar | None = None,
        link_rate: float | None = None,
        turns: LinkTurns | None = None,
        plan: StopPlan | None = None,
    ):
        self._plan = plan or StopPlan()
        self._requests: RequestLogger = requests or RequestLogger(events, 0)
        self._dialect: Dialect = dialect or OwnDialect()
        self._registration = view.upstream or UpstreamRegistration(service, False, 1.0)
        self._registrar = registrar or Registrar(self._registration, lambda: None, lambda: None, events)
        self._request_headers = RequestHeaders(self._dialect, view, self._registration)
        self._service = service
        self._application = application
        self._view = view
        self._pool = pool
        self._events: EventLogger = events
        self._metrics: Metrics = metrics
        self._quarantine = view.quarantine
        self._crashes: CrashDetector = crashes or CrashDetector(
            service, application, pool, self._registration, view.quarantine, lambda: None, events, metrics
        )
        self._tracer: Tracer = tracer
        if turns is None and is_narrow_link(link_rate):
            turns = LinkTurns(AnswerLink(link_rate), metrics)
        # Without turns, where the link is not known to be narrow, answers are read and sent as they come.
        self._gate = SlotGate(self._registration, metrics, link_rate, turns)
        self._read_ahead = ReadAheadMemory()
        view.set_slot_limiter(self._gate.limiter)

    @property
    def in_progress(self) -> int:
        """Number of requests in progress or waiting."""
        return self._gate.in_progress

    def measure_load(self) -> messages.LoadReply:
        """Return the present load for the reply to a load probe."""
        binding = self._view.bind()
        if binding is not None:
            self._gate.configure(binding)
        limiter, bodies = self._gate.limiter, self._gate.bodies
        self._gate.update_pace()
        now = monotonic()
        return messages.LoadReply(
            upstream=self._registration.upstream,
            in_use=limiter.in_use,
            waiting=limiter.waiting + bodies.waiting,
            slots=limiter.slots,
            pace_percent=round(100 * limiter.pace.factor) if limiter.pace.is_stated else 0,
            service_ms=round(1000 * limiter.usual_service_time(now)),
            link_wait_ms=round(1000 * self.link_wait(now)),
        )

    def link_wait(self, now: float) -> float:
        """Return the seconds for which admitted long answers occupy the link; 0 unless it is known to be narrow.

        Parameters
        ----------
        now : float
            Monotonic time, in seconds.
        """
        return self._gate.answers.link_wait(now)

    def handle(self, request: Request) -> Answer:
        """Answer a request from another daemon."""
        self._metrics.count(Metric.REQUESTS)
        started = monotonic()
        span = self._tracer.start(f"{request.method} upstream", request.header(TRACE_HEADER))
        facts = self._dialect.read_request(request.headers)
        log = self._requests.begin(facts.request_id, started)
        try:
            answer = self._admit(request, facts, span, started, log)
        except BaseException as exc:
            now = monotonic()
            self._requests.totals.note("upstream", log.route, "cancelled", now - started, log.waited)
            log.note(
                Event.REQUEST_DONE,
                outcome="cancelled",
                reason=type(exc).__name__,
                **describe_stop(self._plan, started, now),
            )
            self._requests.end(log, True)
            raise
        finally:
            self._gate.bodies.leave(request)
            self._gate.answers.leave(request)
        taken = monotonic() - started
        self._requests.end(log, answer.status >= 400, self._plan.is_begun)
        self._metrics.time(Metric.LATENCY, taken)
        self._requests.totals.note("upstream", log.route, outcome_label(answer, "done"), taken, log.waited)
        span.end(**{"http.status_code": answer.status, "http.target": request.path})
        self._metrics.gauge(Metric.IN_PROGRESS, self._gate.limiter.in_use)
        self._metrics.gauge(Metric.QUEUED, self._gate.limiter.waiting)
        rate = self._registration.advertised.rate
        self._metrics.gauge(Metric.RATE_LIMIT, rate or 0.0)
        self._metrics.gauge(Metric.IS_RATE_LIMITED, rate is not None)
        self._metrics.gauge(Metric.PACE, self._gate.limiter.pace.factor)
        answer.headers.append((LOAD_HEADER, str(self.in_progress)))
        send_delay = self._gate.limiter.next_send_delay(monotonic())
        if send_delay:
            answer.headers.append((SEND_DELAY_HEADER, str(math.ceil(1000 * send_delay))))
        if self._registration.is_leaving:
            answer.headers.append((LEAVING_HEADER, Leaving.APPLICATION))
        elif self._view.is_draining:
            answer.headers.append((LEAVING_HEADER, Leaving.DAEMON))
        return answer

    def _admit(self, request: Request, facts: RequestFacts, span, started: float, log: RequestLog) -> Answer:
        request.check_caller()
        if self._view.is_draining:
            return self._refuse(ErrorCode.DRAINING, DEFAULT_RETRY_AFTER, log, reason="the daemon is draining")
        expected = request.header(UPSTREAM_HEADER)
        refusal = self._registration.refusal_code(expected)
        if refusal is not None:
            return self._refuse(
                refusal, DEFAULT_RETRY_AFTER, log, meant=expected, incarnation=self._registration.upstream
            )
        known_limit = read_rate(request.header(KNOWN_LIMIT_HEADER)) if expected else None
        if known_limit is not None:
            # After a restart this daemon doesn't know the limit until the application answers.
            self._registrar.adopt_rate(known_limit)
        binding = self._view.bind()
        version = parse_int(request.header(VERSION_HEADER))
        if version is not None:
            self._view.note_version(version)
        service = decode_name(request.header(SERVICE_HEADER))
        if self._registration.upstream:
            # The application has reported the service that it runs.
            is_served_here = service == self._registration.service
        elif binding is None:
            return self._refuse(ErrorCode.NOT_READY, DEFAULT_RETRY_AFTER, log, **self._view.unready_details())
        else:
            is_served_here = service == self._service and self._service in binding.config.services
        if not is_served_here:
            return self._refuse(ErrorCode.NOT_HELD, DEFAULT_RETRY_AFTER, log, service=service)
        customer = decode_name(request.header(CUSTOMER_HEADER))
        identity = customer or facts.customer
        hasher = RequestHasher(request.method, request.host, request.target, identity, request.body.length)
        if hasher.is_complete and self._is_quarantined(hasher):
            return self._refuse_quarantined(hasher, log)
        self._gate.configure(binding)
        deadline = _read_monotonic_time(request, DEADLINE_HEADER, started)
        if deadline is None:
            deadline = started + DEFAULT_RETRY_AFTER
        if not self._plan.is_in_time(deadline):
            return self._refuse(ErrorCode.DRAINING, DEFAULT_RETRY_AFTER, log, reason="it may outlast the daemon's stop")
        traffic_class = self._gate.classify(request, binding)
        target_time = _read_monotonic_time(request, TARGET_HEADER, started)
        log.route = decode_name(request.header(ROUTE_HEADER))
        start_by = _read_monotonic_time(request, START_BY_HEADER, started)
        priority = self._gate.customer_priority(request)
        admission = AdmissionRequest(deadline, target_time, log.route, start_by, customer, priority)
        refused = self._gate.reserve(request, traffic_class, admission)
        log.waited = monotonic() - started
        if refused is not None:
            why = {"waited_ms": round(1000 * log.waited, 1), **self._gate.load()}
            why.update(late=request.header(TARGET_HEADER) == "0", limit=refused.limit, **self._gate.bodies.load())
            why.update(self._gate.answers.load())
            return self._refuse(refused.code, refused.retry_after, log, **why)
        hashed = hash_body(request, hasher)
        # The application or this process may have begun to leave while the request waited for its slot, its
        # body or the rate limit, so this is checked again; nothing of the request has been passed on yet.
        refusal = self._wait_to_pass_on(
            request, hashed, hasher, traffic_class, admission
        ) or self._registration.refusal_code(expected)
        if refusal is None and not self._plan.is_in_time(deadline):
            refusal = ErrorCode.DRAINING
        if refusal is not None:
            self._gate.limiter.release(traffic_class, None, monotonic(), request=admission)
            if refusal is ErrorCode.QUARANTINED:
                return self._refuse_quarantined(hasher, log)
            wait = 0.0 if refusal is ErrorCode.DEADLINE else DEFAULT_RETRY_AFTER
            return self._refuse(refusal, wait, log, meant=expected, incarnation=self._registration.upstream)
        log.note(Event.REQUEST_ADMITTED, waited_ms=round(1000 * (monotonic() - started), 1), **self._gate.load())
        answer = self._pass_on(hashed, hasher, traffic_class, admission, span, log)
        answer = self._gate.answers.pace(answer, request, traffic_class, admission)
        stop = describe_stop(self._plan, started, monotonic())
        log.note(Event.REQUEST_DONE, status=answer.status, incarnation=expected, **stop)
        return answer

    def _refuse(self, code: ErrorCode, retry_after: float, log: RequestLog, **why: object) -> Answer:
        self._metrics.count(Metric.NOT_RUN)
        self._metrics.count(Metric.REFUSALS, 1, (code.code,))
        log.note(Event.REQUEST_REFUSED, code=code.code, retry_after_ms=round(1000 * retry_after), **why)
        return make_refusal(code, Outcome.NOT_RUN, retry_after)

    def _wait_to_pass_on(
        self,
        request: Request,
        hashed: Request,
        hasher: RequestHasher,
        traffic_class: str,
        admission: AdmissionRequest,
    ) -> ErrorCode | None:
        """Wait until the body begins to come and the rate limit lets the request pass.

        If the request may be a quarantined one, this also waits for all of the body that its
        fingerprint includes. The request may also be quarantined while it waits.

        Returns
        -------
        ErrorCode or None
            Why the request may not be passed on; None if it may.
        """
        deadline = admission.deadline
        try:
            self._gate.bodies.fetch(request, deadline)
            if not hasher.is_complete and self._quarantine.has_head(hasher.head):
                hashed.body.buffer_hashed_part(deadline)
            if not self._gate.wait_for_rate(deadline):
                return ErrorCode.RATE_LIMITED
            request.check_caller()
        except StopTimeout:
            return ErrorCode.DRAINING
        except BodyTimeout:
            return ErrorCode.DEADLINE
        except BaseException:
            self._gate.limiter.release(traffic_class, None, monotonic(), request=admission)
            raise
        return ErrorCode.QUARANTINED if self._is_quarantined(hasher) else None

    def _is_quarantined(self, hasher: RequestHasher) -> bool:
        """Return whether the part of a request that has come so far belongs to a quarantined request."""
        # Hardly any request has the head of a quarantined one, so this saves the digest's 1 us.
        if not self._quarantine.has_head(hasher.head):
            return False
        return self._quarantine.time_left(hasher.fingerprint(), monotonic()) > 0

    def _refuse_quarantined(self, hasher: RequestHasher, log: RequestLog) -> Answer:
        """Refuse a quarantined request, of which nothing has been passed on."""
        suspect = hasher.fingerprint()
        remaining = self._quarantine.time_left(suspect, monotonic())
        return self._refuse(ErrorCode.QUARANTINED, remaining, log, suspect=suspect)

    def _pass_on(
        self,
        request: Request,
        hasher: RequestHasher,
        traffic_class: str,
        admission: AdmissionRequest,
        span,
        log: RequestLog,
    ) -> Answer:
        """Send a request to the application, and hold its slot until the application has sent its answer.

        On a narrow link the application's answer ends before its receiver has got it.
        """
        started, deadline = monotonic(), admission.deadline
        slot = Slot(self._gate.limiter, traffic_class, log.route, started, admission)
        if started >= deadline:
            slot.release()
            return self._refuse(ErrorCode.DEADLINE, 0.0, log)
        headers = self._request_headers.make(request, deadline - started, span)
        account = self._make_account(log.route)
        if account is not None:
            account.note_sent()
        self._metrics.count(Metric.PASSED_ON)
        request.trace.note_sent(self._registration.upstream)
        advertised = self._registration.advertised
        work = Work(self._crashes, hasher, slot, request.body, deadline)
        try:
            pending = send_request(
                self._pool,
                self._application,
                request,
                headers,
                deadline,
                is_foreign=lambda message: self._read_facts(message, log).is_foreign,
                request_id=log.request_id,
            )
            tail = min(self._gate.limiter.tail_service_time(log.route), deadline - started)
            pending.limit_recovery(tail)
            if not pending.wait(tail):
                pending.handle_late_answer(started, self._events, self._registration.upstream)
            message, facts = self._read_own_answer(pending, log)
            response = pending.accept(message)
        except ExchangeError as exc:
            if account is not None and exc.outcome != Outcome.NOT_RUN and not exc.is_local:
                account.note_answer(exc.code is not ErrorCode.ANSWER_TIMEOUT, monotonic() - started)
            return self._on_lost(exc, log, work.end_failed(exc))
        except StopTimeout:
            # The process stops before the first bytes of the answer have come.
            work.end_abandoned()
            log.note(Event.REQUEST_TRY_ENDED, service=self._service, reason=STOP_DEADLINE_REASON)
            lost = ExchangeError(ErrorCode.ANSWER_LOST, Outcome.UNKNOWN, "no answer before this process stopped")
            return self._on_lost(lost, log)
        except BaseException:
            worked = monotonic() - started
            if account is not None and worked >= self._gate.limiter.tail_service_time(log.route):
                # The caller gave up on a late answer, which would have taken even longer.
                account.note_answer(False, worked)
            work.end_abandoned()
            raise
        head = response.message
        self._registration.note_answer(running_time())
        # A report by an earlier incarnation of the application doesn't apply to the registered one.
        if not facts.is_other_incarnation and advertised is self._registration.advertised:
            self._note_report(facts.report)
        if facts.was_refused:
            return self._on_refused(response, work, facts.is_other_incarnation, log)
        if account is not None:
            account.note_answer(head.status >= 500, monotonic() - started)
        headers = public_headers(head.headers, self._dialect.answer_names)
        try:
            first = response.read_first()
        except ExchangeError as exc:
            return self._on_lost(exc, log, work.end_failed(exc))
        except BaseException:
            work.end_abandoned()
            raise
        if head.is_complete:
            work.end_served()
            return Answer(head.status, head.reason, headers, [*first, *head.pieces])

        def end(exc: Exception | None) -> None:
            if exc is not None:
                self._events.emit(Event.ANSWER_LOST, request=log.request_id, error=exc)
                work.end_broken_off(exc)
            elif head.is_complete:
                work.end_served()
            else:
                work.end_abandoned()

        rest = AnswerPieces(response, end, first, deadline - started, deadline)
        if self._gate.answers.is_active and is_long_answer(headers):
            rest = ReadAhead(rest, head, self._read_ahead)
        return Answer(head.status, head.reason, headers, rest)

    def _read_own_answer(self, pending: PendingAnswer, log: RequestLog) -> tuple[Message, AnswerFacts]:
        """Read the head of a request's answer, and discard what belongs to other requests, or to none, before it."""
        message = pending.read_head()
        while (facts := self._read_facts(message, log)).is_foreign or pending.is_unidentified(message):
            message = pending.skip(message)
        if pending.has_discarded:
            self._events.emit(Event.ANSWER_DISCARDED, request=log.request_id, status=None)
        return message, facts

    def _read_facts(self, message: Message, log: RequestLog) -> AnswerFacts:
        """Read what an answer's head states, and log an answer to another request, which is discarded."""
        facts = self._dialect.read_answer(message.status, message.headers, log.request_id)
        if facts.is_foreign:
            self._events.emit(Event.ANSWER_DISCARDED, request=log.request_id, status=message.status)
        return facts

    def _note_report(self, report: UpstreamReport) -> None:
        """Apply what an answer states about the application, from now on."""
        self._registrar.note_report(report, self._registration.incarnation)
        self._gate.update_rate()
        self._gate.update_pace()
        is_registered = bool(self._registration.upstream)
        if report.is_draining and not (is_registered or self._view.is_draining):
            # An application without an id can't be distinguished from its next incarnation, so the drain
            # lasts until the daemon ends.
            self._view.is_draining = True
            self._events.emit(Event.DRAINING, service=self._service)

    def _make_account(self, route: str) -> CanaryAccount | None:
        """Return the canary account of a request, or None if no canary of the service runs."""
        if not self._view.canary_counter.is_counting(self._registration.service):
            return None
        return CanaryAccount(self._view, self._registration, self._metrics, route)

    def _on_lost(self, exc: ExchangeError, log: RequestLog, suspect: Fingerprint | None = None) -> Answer:
        """Answer a request that got no answer from the application.

        `suspect` is the request's fingerprint if the request is suspected of having crashed the
        application.
        """
        if exc.outcome == Outcome.NOT_RUN:
            wait = 0.0 if exc.code is ErrorCode.DEADLINE else DEFAULT_RETRY_AFTER
            return self._refuse(exc.code, wait, log, error=exc)
        self._metrics.count(Metric.UNKNOWN)
        self._events.emit(Event.ANSWER_LOST, request=log.request_id, error=exc)
        if suspect is None:
            return make_refusal(exc.code, Outcome.UNKNOWN)
        answer = make_refusal(ErrorCode.UPSTREAM_CRASHED, Outcome.UNKNOWN)
        answer.headers += write_suspicions(suspect, self._quarantine.crashes(suspect))
        return answer

    def _on_refused(self, response, work: Work, is_other_incarnation: bool, log: RequestLog) -> Answer:
        """Answer a request that the application refused and will not run."""
        try:
            response.read_all(REFUSAL_BODY_TIMEOUT)
        except (OSError, MalformedMessage):
            pass  # the head says all that is needed
        finally:
            response.close()
            work.end_refused()
        code = ErrorCode.NOT_HELD if is_other_incarnation else ErrorCode.UPSTREAM_REFUSED
        answer = self._refuse(code, DEFAULT_RETRY_AFTER, log, status=response.message.status)
        answer.headers.append((REACHED_APPLICATION_HEADER, "1"))
        return answer


def _read_monotonic_time(request: Request, name: str, started: float) -> float | None:
    """Return the monotonic time, in seconds, that a header states in milliseconds after `started`; None if absent."""
    left_ms = parse_int(request.header(name))
    return None if left_ms is None else started + left_ms / 1000
