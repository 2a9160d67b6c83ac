# SPDX-License-Identifier: BSD-3-Clause
"""Single attempts to send a request to an upstream, and the interpretation of their results."""

from collections.abc import Callable
from math import ceil

import gevent

from lanedock.clock import monotonic
from lanedock.config import Route
from lanedock.errors import ErrorCode
from lanedock.quarantine import Fingerprint, Quarantine
from lanedock.routing import UpstreamStats
from lanedock.telemetry import Event, EventLogger, Metric, Metrics
from lanedock_daemon.path.caller.hedging import choose_result, close_unless_chosen, get_result
from lanedock_daemon.path.caller.prober import UpstreamProber
from lanedock_daemon.path.caller.request_context import AttemptResult, RequestContext
from lanedock_daemon.path.http.headers import (
    ATTEMPT_HEADER,
    CODE_HEADER,
    DEADLINE_HEADER,
    HOP_HEADERS,
    KNOWN_LIMIT_HEADER,
    LEAVING_HEADER,
    LOAD_HEADER,
    OUTCOME_HEADER,
    REACHED_APPLICATION_HEADER,
    RETRY_AFTER_MS_HEADER,
    SEND_DELAY_HEADER,
    START_BY_HEADER,
    TARGET_HEADER,
    UPSTREAM_HEADER,
    parse_int,
    public_headers,
)
from lanedock_daemon.path.http.messages import DEFAULT_RETRY_AFTER, Answer, Leaving, Outcome, Request
from lanedock_daemon.path.http.parsed_message import Message
from lanedock_daemon.path.http.parser import MalformedMessage
from lanedock_daemon.path.shared.answer_pieces import AnswerPieces
from lanedock_daemon.path.shared.answers import REFUSAL_BODY_TIMEOUT, UpstreamAnswer
from lanedock_daemon.path.shared.dialect import Dialect
from lanedock_daemon.path.shared.exchange import ContinueWait, PendingAnswer, handle_late_answer, send_request
from lanedock_daemon.path.shared.pool import ConnectionPool, ExchangeError
from lanedock_daemon.path.shared.suspicions import read_suspicions

__all__ = ["AttemptSender"]

# Answers up to this many bytes are read completely before they are passed on, so that the
# request can still be retried at another upstream if the answer breaks off.
ANSWER_BUFFER_LIMIT = 64 * 1024
# Seconds by which this side waits longer than the deadline given to the upstream's daemon, so
# that the daemon's refusal arrives before this side gives up.
REFUSAL_GRACE = 0.05
# Seconds after the deadline for which an answer may still come that the upstream has sent whole by then, because the
# link or the caller is slow. The upstream's daemon cuts all others; this ends those of a faulty daemon.
DELIVERY_TIME = 30.0
# Number of upstream crashes during a request from which on it is not retried here. One crash
# may have any cause, but of all requests that ran during it, hardly any except the one that
# caused it runs during a second crash.
CRASHES_ENDING_RETRIES = 2
# Refusals that do not count as failures of the upstream.
_FAULTLESS_REFUSALS = (
    ErrorCode.OVERLOADED,
    ErrorCode.RATE_LIMITED,
    ErrorCode.DRAINING,
    ErrorCode.DEADLINE,
    ErrorCode.QUARANTINED,
)
_DAEMON_HEADERS = HOP_HEADERS | {OUTCOME_HEADER, CODE_HEADER}


class AttemptSender:
    """Makes single attempts at requests: sends each to one upstream, or to two when hedging.

    Parameters
    ----------
    pool : ConnectionPool
    dialect : Dialect
    events : EventLogger
    metrics : Metrics
    quarantine : Quarantine
        Records the upstream crashes that upstreams' daemons report with their answers.
    idle_time : callable
        Returns the seconds after which daemons close idle connections.
    """

    def __init__(
        self,
        pool: ConnectionPool,
        dialect: Dialect,
        events: EventLogger,
        metrics: Metrics,
        quarantine: Quarantine,
        idle_time: Callable[[], float],
    ):
        self._idle_time = idle_time
        self._quarantine = quarantine
        self._pool = pool
        self._dialect = dialect
        self._events = events
        self._metrics = metrics
        self._prober = UpstreamProber(pool, events, idle_time)

    def send_hedged(self, context: RequestContext, stats: UpstreamStats, attempt: int) -> AttemptResult:
        """Send a request, and send it to a second upstream if the answer is later than nearly all others.

        The first success counts, and the other attempt is cancelled; see `choose_result`.
        """
        started = monotonic()
        pending = self._begin_attempt(context, stats, attempt, started)
        if isinstance(pending, AttemptResult):
            return pending
        hedge_delay = started + context.balancer.hedge_delay(context.route.name) - monotonic()
        if self._wait_for_answer(context, stats, pending, hedge_delay) or monotonic() >= context.deadline:
            return self._finish_attempt(context, stats, pending, started)
        pending.handle_late_answer(started, self._events, stats.endpoint.instance)
        first = second = other = result = None
        try:
            context.request.check_caller()
            first = gevent.spawn(self._finish_attempt, context, stats, pending, started)
            now = monotonic()
            other = context.choose(now, may_wait=False) if context.budget.available(now) >= 1 else None
            if other is None:
                result = get_result(first)
                return result
            context.budget.spend(now)
            context.log.note(
                Event.REQUEST_SENT_AGAIN, sent=True, reason="late", budget=round(context.budget.available(now), 1)
            )
            self._metrics.count(Metric.RETRIES)
            second = gevent.spawn(self.send, context, other, attempt + 1)
            result = choose_result(first, second)
            return result
        finally:
            for task, task_stats in ((first, stats), (second, other)):
                if task is not None:
                    if not task.ready():
                        self._log_end(context, task_stats, "abandoned")
                    # The attempt may have ended with an answer, like the chosen one, before it is killed.
                    task.link_value(lambda ended: close_unless_chosen(ended.value, result))
                    task.kill(block=False)
            if not pending.is_being_read:
                # The task that should read the answer has never run.
                pending.close()
                context.balancer.cancel(stats, monotonic())

    def _wait_for_answer(self, context: RequestContext, stats, pending: PendingAnswer, timeout: float) -> bool:
        """Wait for the first bytes of an answer, and return whether they came within `timeout` seconds."""
        try:
            return pending.wait(timeout)
        except BaseException:
            context.balancer.cancel(stats, monotonic())
            raise

    def send(self, context: RequestContext, stats: UpstreamStats, attempt: int) -> AttemptResult:
        """Send a request to one upstream, and return the result."""
        started = monotonic()
        pending = self._begin_attempt(context, stats, attempt, started)
        if isinstance(pending, AttemptResult):
            return pending
        timeout = started + context.balancer.hedge_delay(context.route.name) - monotonic()
        if not self._wait_for_answer(context, stats, pending, min(timeout, context.deadline - monotonic())):
            pending.handle_late_answer(started, self._events, stats.endpoint.instance)
        return self._finish_attempt(context, stats, pending, started)

    def _begin_attempt(
        self, context: RequestContext, stats: UpstreamStats, attempt: int, started: float
    ) -> PendingAnswer | AttemptResult:
        """Send a request to one upstream; return an `AttemptResult` instead if that fails."""
        request, balancer = context.request, context.balancer
        request.check_caller()
        left = context.deadline - started
        sent = [
            *context.headers,
            (ATTEMPT_HEADER, str(attempt)),
            # Rounded up: the daemon's own answer at its deadline must not come before this side's.
            (DEADLINE_HEADER, str(max(1, ceil(left * 1000)))),
        ]
        if context.target_time < context.deadline:
            sent.append((TARGET_HEADER, str(max(0, int((context.target_time - started) * 1000)))))
        if context.start_by is not None:
            sent.append((START_BY_HEADER, str(max(0, int((context.start_by - started) * 1000)))))
        if stats.endpoint.upstream:
            sent.append((UPSTREAM_HEADER, stats.endpoint.upstream))
            if stats.endpoint.HasField("rate_limit"):
                sent.append((KNOWN_LIMIT_HEADER, f"{stats.endpoint.rate_limit:g}"))
        context.log.note(
            Event.REQUEST_SENT,
            upstream=stats.endpoint.instance,
            incarnation=stats.endpoint.upstream,
            zone=stats.endpoint.zone,
            own_in_progress=stats.in_progress,
            others=stats.other_requests,
            others_age_ms=round(1000 * (started - stats.reported_at)) if stats.reported_at is not None else None,
            slowness=round(stats.slowness, 2),
            software=stats.endpoint.version,
            pool=stats.pool.value,
        )
        continue_wait = None
        if request.body.needs_continue:
            late_after = min(balancer.hedge_delay(context.route.name), left)
            continue_wait = ContinueWait(
                late_after,
                lambda: handle_late_answer(self._pool, stats.address, started, self._events, stats.endpoint.instance),
            )
        balancer.begin(stats, started)
        request.trace.note_sent(stats.endpoint.instance)
        try:
            return send_request(
                self._pool,
                stats.address,
                request,
                sent,
                context.deadline + REFUSAL_GRACE,
                continue_wait,
                idle_time=self._idle_time(),
            )
        except ExchangeError as exc:
            return self._on_failed(context, stats, exc, started)
        except BaseException:
            balancer.cancel(stats, monotonic())
            raise

    def _on_failed(self, context: RequestContext, stats, exc: ExchangeError, started: float) -> AttemptResult:
        """Record an attempt that got no answer, and return its result."""
        if exc.is_local:
            context.balancer.cancel(stats, monotonic())
        else:
            self._note_end(context.balancer, stats, started, failed=True, unreachable=exc.is_unreachable)
        self._note_try(context, stats, exc.outcome, exc.code)
        return self._on_lost(exc, stats, context.route, context.request)

    def _finish_attempt(self, context: RequestContext, stats, pending: PendingAnswer, started: float) -> AttemptResult:
        """Wait for the answer to an attempt, and return the result."""
        route, balancer = context.route, context.balancer
        try:
            response = pending.read()
        except ExchangeError as exc:
            return self._on_failed(context, stats, exc, started)
        except BaseException:
            balancer.cancel(stats, monotonic())
            raise
        head = response.message
        load = parse_int(head.header(LOAD_HEADER))
        balancer.add_send_time(stats, (parse_int(head.header(SEND_DELAY_HEADER)) or 0) / 1000, monotonic())
        leaving = head.header(LEAVING_HEADER)
        if leaving:
            balancer.note_leaving(stats, leaving == Leaving.APPLICATION)
            self._pool.close_idle(stats.address)
        outcome = head.header(OUTCOME_HEADER)
        if outcome == Outcome.NOT_RUN:
            self._note_try(context, stats, Outcome.NOT_RUN, ErrorCode.find(head.header(CODE_HEADER)))
            return self._on_refused(response, balancer, stats, load, started)
        is_lost = outcome == Outcome.UNKNOWN
        if (is_lost or head.status == 503) and route.repeatable:
            # Recorded before the body is read, because the caller may disconnect during the read.
            self._note_end(balancer, stats, started, failed=True, load=load)
            self._note_try(context, stats, Outcome.UNKNOWN, ErrorCode.find(head.header(CODE_HEADER)), head.status)
            body = self._read_refusal(response)
            answer = Answer(head.status, head.reason, _strip_daemon_headers(head), [body or b""])
            if is_lost or body is None:
                answer = self._make_unknown_outcome(
                    ErrorCode.find(head.header(CODE_HEADER)) or ErrorCode.ANSWER_LOST, ""
                )
            return AttemptResult(answer, self._note_crashes(head) >= CRASHES_ENDING_RETRIES, may_have_run=True)
        return self._pass_answer(response, context, stats, load, is_lost, started)

    def _note_crashes(self, head: Message) -> int:
        """Record the crashes that an answer reports, and return how many are known for its request."""
        suspicions = read_suspicions(head)
        if not suspicions:
            return 0
        self._quarantine.merge(suspicions, monotonic())
        return self._quarantine.count(Fingerprint(suspicions[0].head, suspicions[0].whole))

    def _log_end(
        self, context: RequestContext, stats, outcome: str, code: ErrorCode | None = None, status: int | None = None
    ) -> None:
        """Log an attempt whose answer is not passed on."""
        context.log.note(
            Event.REQUEST_TRY_ENDED,
            upstream=stats.endpoint.instance,
            incarnation=stats.endpoint.upstream,
            outcome=outcome,
            code=code.code if code else "",
            status=status,
        )

    def _note_try(
        self, context: RequestContext, stats, outcome: str, code: ErrorCode | None, status: int | None = None
    ) -> None:
        """Log and count an attempt whose answer is not passed on."""
        self._log_end(context, stats, outcome, code, status)
        self._metrics.count(Metric.TRIES, 1, (stats.endpoint.service, outcome))

    def _make_unknown_outcome(self, code: ErrorCode, detail: str) -> Answer:
        return self._dialect.make_refusal(code, Outcome.UNKNOWN, 0.0, detail)

    def _on_lost(self, exc: ExchangeError, stats, route: Route, request: Request) -> AttemptResult:
        if exc.outcome == Outcome.NOT_RUN:
            wait = 0.0 if exc.code is ErrorCode.DEADLINE else DEFAULT_RETRY_AFTER
            answer = self._dialect.make_refusal(exc.code, Outcome.NOT_RUN, wait, str(exc))
            return AttemptResult(answer, False, has_arrived=False)
        self._metrics.count(Metric.UNKNOWN)
        self._events.emit(
            Event.ANSWER_LOST,
            request=self._dialect.read_request(request.headers).request_id,
            upstream=stats.endpoint.instance,
            target=request.path,
            error=exc,
        )
        answer = self._make_unknown_outcome(exc.code, str(exc))
        return AttemptResult(answer, not route.repeatable, may_have_run=True)

    def _on_refused(self, response, balancer, stats, load, started: float) -> AttemptResult:
        """Handle a refusal by the upstream's daemon; the request has not run."""
        head = response.message
        code = ErrorCode.find(head.header(CODE_HEADER)) or ErrorCode.OVERLOADED
        is_fault = code not in _FAULTLESS_REFUSALS
        self._note_end(balancer, stats, started, failed=is_fault, load=load)
        if code is ErrorCode.NOT_HELD:
            # The address was reassigned, or another incarnation of the application uses it;
            # the mesh's view doesn't show that yet, but will soon.
            balancer.note_leaving(stats)
        self._metrics.count(Metric.NOT_RUN)
        self._read_refusal(response)
        wait_ms = parse_int(head.header(RETRY_AFTER_MS_HEADER))
        wait = wait_ms / 1000 if wait_ms is not None else DEFAULT_RETRY_AFTER
        answer = self._dialect.make_refusal(code, Outcome.NOT_RUN, 0.0 if code is ErrorCode.DEADLINE else wait)
        is_final = code in (ErrorCode.DEADLINE, ErrorCode.QUARANTINED)
        return AttemptResult(answer, is_final, bool(head.header(REACHED_APPLICATION_HEADER)), code=code)

    def _note_end(
        self,
        balancer,
        stats,
        started: float,
        failed: bool,
        load=None,
        taken=None,
        unreachable: bool = False,
        kind: str = "",
        body_taken=None,
    ) -> None:
        if balancer.end(stats, failed, monotonic(), load, taken, unreachable, kind, body_taken, sent_at=started):
            self._metrics.count(Metric.EJECTED)
            self._events.emit(
                Event.EJECTED,
                upstream=stats.endpoint.instance,
                incarnation=stats.endpoint.upstream,
                ejections=stats.ejections,
                unreachable=unreachable,
            )
            if unreachable:
                self._pool.close_idle(stats.address)
                gevent.spawn(self._prober.run, balancer, stats)

    def _read_refusal(self, response: UpstreamAnswer) -> bytes | None:
        """Read the short body of a refusal; return None if it breaks off, is late or is too long.

        For a refusal by a daemon the head is enough.
        """
        try:
            return response.read_all(REFUSAL_BODY_TIMEOUT)
        except (OSError, MalformedMessage):
            return None
        finally:
            response.close()

    def _pass_answer(
        self, response, context: RequestContext, stats, load, is_lost: bool, started: float
    ) -> AttemptResult:
        """Pass an answer on: a short one when it is complete, a long one as it comes.

        If an answer is not complete by the deadline and at most `ANSWER_BUFFER_LIMIT` bytes of it have
        come, the outcome is unknown. Passing it on from then would hold the caller past the
        time that the route allows.
        """
        head = response.message
        taken = monotonic() - started
        if is_lost:
            return self._on_answer_lost(response, context, stats, load, started)
        outcome = "failed" if head.status >= 500 else "answered"
        self._metrics.count(Metric.TRIES, 1, (stats.endpoint.service, outcome))
        pieces: list[bytes] = []
        body_taken = 0.0
        if not head.is_complete:
            try:
                pieces = response.read_prefix(ANSWER_BUFFER_LIMIT)
            except (OSError, MalformedMessage) as exc:
                response.close()
                return self._on_broken_off(exc, head, context, stats, load, started, taken)
            except BaseException:
                response.close()
                context.balancer.cancel(stats, monotonic())
                raise
            body_taken = monotonic() - started - taken
        if head.is_complete:
            return self._pass_whole(head, pieces, context, stats, load, started, taken, body_taken)
        return self._pass_pieces(response, pieces, context, stats, load, started, taken)

    def _on_answer_lost(self, response, context: RequestContext, stats, load, started: float) -> AttemptResult:
        """Handle the statement of the upstream's daemon that the outcome is unknown."""
        head = response.message
        code = ErrorCode.find(head.header(CODE_HEADER)) or ErrorCode.ANSWER_LOST
        self._note_crashes(head)
        self._note_end(context.balancer, stats, started, failed=True, load=load)
        self._note_try(context, stats, Outcome.UNKNOWN, code)
        self._read_refusal(response)
        return AttemptResult(self._make_unknown_outcome(code, ""), True, may_have_run=True)

    def _on_broken_off(
        self, exc: Exception, head: Message, context: RequestContext, stats, load, started: float, taken: float
    ) -> AttemptResult:
        """Handle an answer that broke off, or was late, before any of it was passed on."""
        # A late body is not the upstream's fault: its head came in time, and the link may be slow.
        is_late = monotonic() >= context.deadline
        code = ErrorCode.ANSWER_TIMEOUT if is_late else ErrorCode.ANSWER_LOST
        failed = head.status >= 500 or not is_late
        known_time = taken if is_late else None
        self._note_end(context.balancer, stats, started, failed, load, known_time, kind=context.route.name)
        self._note_try(context, stats, Outcome.UNKNOWN, code)
        return AttemptResult(self._make_unknown_outcome(code, str(exc)), not context.route.repeatable, True, True)

    def _pass_whole(
        self,
        head: Message,
        pieces: list[bytes],
        context: RequestContext,
        stats,
        load,
        started: float,
        taken: float,
        body_taken: float,
    ) -> AttemptResult:
        """Pass on an answer that has come whole."""
        failed = head.status >= 500
        # A quick failure must not make an upstream look fast.
        known_time, known_body_time = (None, None) if failed else (taken, body_taken)
        self._note_end(
            context.balancer,
            stats,
            started,
            failed=failed,
            load=load,
            taken=known_time,
            kind=context.route.name,
            body_taken=known_body_time,
        )
        body = [*pieces, *head.pieces]
        return AttemptResult(Answer(head.status, head.reason, _strip_daemon_headers(head), body), True)

    def _pass_pieces(
        self, response, pieces: list[bytes], context: RequestContext, stats, load, started: float, taken: float
    ) -> AttemptResult:
        """Pass on an answer as it comes, of which `pieces` have come; its end is recorded then."""
        head = response.message
        failed = head.status >= 500

        def end(exc: Exception | None) -> None:
            broke_off = exc is not None
            if broke_off:
                self._events.emit(
                    Event.ANSWER_LOST, upstream=stats.endpoint.instance, request=context.log.request_id, error=exc
                )
            is_whole = head.is_complete and not (failed or broke_off)
            known_body_time = monotonic() - started - taken if is_whole else None
            self._note_end(
                context.balancer,
                stats,
                started,
                failed=failed or broke_off,
                load=load,
                taken=taken,
                kind=context.route.name,
                body_taken=known_body_time,
            )

        ends_at = context.deadline + DELIVERY_TIME
        rest = AnswerPieces(response, end, pieces, context.deadline - started, ends_at)
        return AttemptResult(Answer(head.status, head.reason, _strip_daemon_headers(head), rest), True)


def _strip_daemon_headers(head: Message) -> list[tuple[str, str]]:
    """Return the headers of an answer without daemon-to-daemon and hop-by-hop headers."""
    return public_headers(head.headers, _DAEMON_HEADERS)
