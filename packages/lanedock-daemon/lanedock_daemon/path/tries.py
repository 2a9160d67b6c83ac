# SPDX-License-Identifier: BSD-3-Clause
"""One try of a request at one upstream: what is sent, and what its end shows."""

import gevent

from lanedock.clock import monotonic
from lanedock.config import Route
from lanedock.errors import ErrorCode
from lanedock.quarantine import Fingerprint, Quarantine
from lanedock.routing import UpstreamStats
from lanedock.telemetry import Event, EventLogger, Metric, Metrics
from lanedock_daemon.path.answers import AnswerPieces, UpstreamAnswer
from lanedock_daemon.path.dialect import Dialect
from lanedock_daemon.path.exchange import Consent, PendingAnswer, note_late, send_request
from lanedock_daemon.path.headers import (
    ARRIVED_HEADER,
    ATTEMPT_HEADER,
    CODE_HEADER,
    DEADLINE_HEADER,
    HOP_HEADERS,
    KNOWN_LIMIT_HEADER,
    LEAVING_HEADER,
    LOAD_HEADER,
    OUTCOME_HEADER,
    RETURN_HEADER,
    START_BY_HEADER,
    TARGET_HEADER,
    TURN_HEADER,
    UPSTREAM_HEADER,
    public_headers,
    read_int,
)
from lanedock_daemon.path.hedges import drop_unless, first_of
from lanedock_daemon.path.http import RETRY_AFTER, Answer, Leaving, Outcome, Request
from lanedock_daemon.path.job import Job, Try
from lanedock_daemon.path.parser import MalformedMessage, Message
from lanedock_daemon.path.pool import ConnectionPool, ExchangeError
from lanedock_daemon.path.prober import UpstreamProber
from lanedock_daemon.path.suspicions import read_suspicions

__all__ = ["Tries"]

# Answers up to this many bytes are read whole before they are passed on, so
# that one that breaks off can still be asked for elsewhere.
BUFFER_LIMIT = 64 * 1024
# Added to what an upstream's daemon is given, so that its refusal arrives
# before the caller's side gives up on it.
GRACE = 0.05
# Upstreams that have ended under a request by which it isn't sent again here. A first end
# may be anything's; of what ran there, hardly anything but its cause ran beside a second.
CRASHES_RETRIED = 2
# Refusals that say nothing against an upstream.
_NO_FAULTS = (
    ErrorCode.OVERLOADED,
    ErrorCode.RATE_LIMITED,
    ErrorCode.DRAINING,
    ErrorCode.DEADLINE,
    ErrorCode.QUARANTINED,
)
_DAEMON_HEADERS = HOP_HEADERS | {OUTCOME_HEADER, CODE_HEADER}


class Tries:
    """Sends requests to upstreams.

    Parameters
    ----------
    pool : ConnectionPool
    dialect : Dialect
    events : EventLogger
    metrics : Metrics
    quarantine : Quarantine
        Learns which upstreams have ended under a request.
    """

    def __init__(
        self, pool: ConnectionPool, dialect: Dialect, events: EventLogger, metrics: Metrics, quarantine: Quarantine
    ):
        self._quarantine = quarantine
        self._pool = pool
        self._dialect = dialect
        self._events = events
        self._metrics = metrics
        self._prober = UpstreamProber(pool, events)

    def send_hedged(self, job: Job, stats: UpstreamStats, attempt: int) -> Try:
        """Send a request, and hedge it by sending it elsewhere, too, where its answer is later than nearly all others.

        Whichever answers first counts; the other one is cancelled.
        """
        started = monotonic()
        pending = self._begin(job, stats, attempt, started)
        if isinstance(pending, Try):
            return pending
        hedge_delay = started + job.balancer.hedge_delay(job.route.name) - monotonic()
        if self._is_answering(job, stats, pending, hedge_delay) or monotonic() >= job.deadline:
            return self._end(job, stats, pending, started)
        pending.note_late(started, self._events, stats.endpoint.instance)
        first = second = made = None
        try:
            first = gevent.spawn(self._end, job, stats, pending, started)
            now = monotonic()
            other = job.choose(now, may_wait=False) if job.budget.left(now) >= 1 else None
            if other is None:
                made = first.get()
                return made
            job.budget.spend(now)
            job.log.note(Event.REQUEST_SENT_AGAIN, sent=True, reason="late", budget=round(job.budget.left(now), 1))
            self._metrics.count(Metric.RETRIES)
            second = gevent.spawn(self.send, job, other, attempt + 1)
            made = first_of(first, second)
            return made
        finally:
            for task in (first, second):
                if task is not None:
                    # It may end with an answer before it is killed, as the chosen one did.
                    task.link_value(lambda ended: drop_unless(ended.value, made))
                    task.kill(block=False)
            if not pending.is_being_read:
                # The task that was to read it has never run.
                pending.close()
                job.balancer.end(stats, False, monotonic())

    def _is_answering(self, job: Job, stats, pending: PendingAnswer, timeout: float) -> bool:
        """Wait for an answer's beginning; False where it is late."""
        try:
            return pending.wait(timeout)
        except BaseException:
            job.balancer.end(stats, False, monotonic())
            raise

    def send(self, job: Job, stats: UpstreamStats, attempt: int) -> Try:
        """Send a request to one upstream, and wait for its answer."""
        started = monotonic()
        pending = self._begin(job, stats, attempt, started)
        if isinstance(pending, Try):
            return pending
        timeout = started + job.balancer.hedge_delay(job.route.name) - monotonic()
        if not self._is_answering(job, stats, pending, min(timeout, job.deadline - monotonic())):
            pending.note_late(started, self._events, stats.endpoint.instance)
        return self._end(job, stats, pending, started)

    def _begin(self, job: Job, stats: UpstreamStats, attempt: int, started: float) -> PendingAnswer | Try:
        """Send a request to one upstream; a `Try` where it could not be sent."""
        request, balancer = job.request, job.balancer
        left = job.deadline - started
        sent = [
            *job.headers,
            (ATTEMPT_HEADER, str(attempt)),
            (DEADLINE_HEADER, str(max(1, int(left * 1000)))),
        ]
        if job.target_time < job.deadline:
            sent.append((TARGET_HEADER, str(max(0, int((job.target_time - started) * 1000)))))
        if job.start_by is not None:
            sent.append((START_BY_HEADER, str(max(0, int((job.start_by - started) * 1000)))))
        if stats.endpoint.upstream:
            sent.append((UPSTREAM_HEADER, stats.endpoint.upstream))
            if stats.endpoint.HasField("rate_limit"):
                sent.append((KNOWN_LIMIT_HEADER, f"{stats.endpoint.rate_limit:g}"))
        job.log.note(
            Event.REQUEST_SENT,
            upstream=stats.endpoint.instance,
            incarnation=stats.endpoint.upstream,
            zone=stats.endpoint.zone,
            own_in_progress=stats.in_progress,
            others=stats.others,
            others_age_ms=round(1000 * (started - stats.reported_at)) if stats.reported_at is not None else None,
            slowness=round(stats.slowness, 2),
            software=stats.endpoint.version,
            pool=stats.pool.value,
        )
        consent = None
        if request.body.is_asked_for:
            late_after = min(balancer.hedge_delay(job.route.name), left)
            consent = Consent(
                late_after,
                lambda: note_late(self._pool, stats.address, started, self._events, stats.endpoint.instance),
            )
        balancer.begin(stats, started)
        try:
            return send_request(self._pool, stats.address, request, sent, job.deadline + GRACE, consent)
        except ExchangeError as exc:
            return self._on_failed(job, stats, exc)
        except BaseException:
            balancer.end(stats, False, monotonic())
            raise

    def _on_failed(self, job: Job, stats, exc: ExchangeError) -> Try:
        """No answer has come to a try."""
        self._note_end(job.balancer, stats, failed=not exc.is_body_late, unreachable=exc.is_unreachable)
        self._note_try(job, stats, exc.outcome, exc.code)
        return self._on_lost(exc, stats, job.route, job.request)

    def _end(self, job: Job, stats, pending: PendingAnswer, started: float) -> Try:
        """Wait for the answer of a try."""
        route, balancer = job.route, job.balancer
        try:
            response = pending.read()
        except ExchangeError as exc:
            return self._on_failed(job, stats, exc)
        except BaseException:
            balancer.end(stats, False, monotonic())
            raise
        head = response.message
        load = read_int(head.header(LOAD_HEADER))
        balancer.note_turn(stats, (read_int(head.header(TURN_HEADER)) or 0) / 1000, monotonic())
        leaving = head.header(LEAVING_HEADER)
        if leaving:
            balancer.note_leaving(stats, leaving == Leaving.APPLICATION)
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
            body = self._read_refusal(response)
            answer = Answer(head.status, head.reason, _strip(head), [body or b""])
            if is_lost or body is None:
                answer = self._make_unknown(ErrorCode.find(head.header(CODE_HEADER)) or ErrorCode.ANSWER_LOST, "")
            return Try(answer, self._note_crashes(head) >= CRASHES_RETRIED, may_have_run=True)
        return self._pass_answer(response, job, stats, load, is_lost, started)

    def _note_crashes(self, head: Message) -> int:
        """Learn of the upstreams that have ended under a request; returns how many have."""
        suspicions = read_suspicions(head)
        if not suspicions:
            return 0
        self._quarantine.merge(suspicions, monotonic())
        return self._quarantine.count(Fingerprint(suspicions[0].head, suspicions[0].whole))

    def _note_try(self, job: Job, stats, outcome: str, code: ErrorCode | None, status: int = 0) -> None:
        """Note a try whose answer does not stand."""
        job.log.note(
            Event.REQUEST_TRY_ENDED,
            upstream=stats.endpoint.instance,
            incarnation=stats.endpoint.upstream,
            outcome=outcome,
            code=code.code if code else "",
            status=status,
        )
        self._metrics.count(Metric.TRIES, 1, (stats.endpoint.service, outcome))

    def _make_unknown(self, code: ErrorCode, detail: str) -> Answer:
        return self._dialect.make_refusal(code, Outcome.UNKNOWN, 0.0, detail)

    def _on_lost(self, exc: ExchangeError, stats, route: Route, request: Request) -> Try:
        if exc.outcome == Outcome.NOT_RUN:
            wait = 0.0 if exc.code is ErrorCode.DEADLINE else RETRY_AFTER
            answer = self._dialect.make_refusal(exc.code, Outcome.NOT_RUN, wait, str(exc))
            return Try(answer, False, has_arrived=False)
        self._metrics.count(Metric.UNKNOWN)
        self._events.emit(
            Event.ANSWER_LOST,
            request=self._dialect.read_request(request.headers).request_id,
            upstream=stats.endpoint.instance,
            target=request.path,
            error=exc,
        )
        answer = self._make_unknown(exc.code, str(exc))
        return Try(answer, not route.repeatable, may_have_run=True)

    def _on_refused(self, response, balancer, stats, load) -> Try:
        """The upstream's daemon refused: the request has not run."""
        head = response.message
        code = ErrorCode.find(head.header(CODE_HEADER)) or ErrorCode.OVERLOADED
        is_fault = code not in _NO_FAULTS
        self._note_end(balancer, stats, failed=is_fault, load=load)
        if code is ErrorCode.NOT_HELD:
            # The address was reassigned, or another incarnation of the application
            # is there: the mesh learns of it soon.
            balancer.note_leaving(stats)
        self._metrics.count(Metric.NOT_RUN)
        self._read_refusal(response)
        wait_ms = read_int(head.header(RETURN_HEADER))
        wait = wait_ms / 1000 if wait_ms is not None else RETRY_AFTER
        answer = self._dialect.make_refusal(code, Outcome.NOT_RUN, 0.0 if code is ErrorCode.DEADLINE else wait)
        is_final = code in (ErrorCode.DEADLINE, ErrorCode.QUARANTINED)
        return Try(answer, is_final, bool(head.header(ARRIVED_HEADER)), code=code)

    def _note_end(
        self,
        balancer,
        stats,
        failed: bool,
        load=None,
        taken=None,
        unreachable: bool = False,
        kind: str = "",
        body_taken=None,
    ) -> None:
        if balancer.end(stats, failed, monotonic(), load, taken, unreachable, kind, body_taken):
            self._metrics.count(Metric.EJECTED)
            self._events.emit(
                Event.EJECTED,
                upstream=stats.endpoint.instance,
                incarnation=stats.endpoint.upstream,
                ejections=stats.ejections,
                unreachable=unreachable,
            )
            if unreachable:
                self._pool.forget(stats.address)
                gevent.spawn(self._prober.run, balancer, stats)

    def _read_refusal(self, response: UpstreamAnswer) -> bytes | None:
        """Read a refusal's short body; None where it breaks off: of a daemon's own the head says enough."""
        try:
            return response.read_all()
        except (OSError, MalformedMessage):
            return None
        finally:
            response.close()

    def _pass_answer(self, response, job: Job, stats, load, is_lost: bool, started: float) -> Try:
        """Pass an answer on: a short one once it is whole, a long one as it comes.

        One that is neither whole nor long by the deadline is unknown: begun then, it would
        end later still, and its caller would be held past the time that the route allows.
        """
        head = response.message
        route, balancer = job.route, job.balancer
        taken = monotonic() - started
        if is_lost:
            code = ErrorCode.find(head.header(CODE_HEADER)) or ErrorCode.ANSWER_LOST
            self._note_crashes(head)
            self._note_end(balancer, stats, failed=True, load=load)
            self._note_try(job, stats, Outcome.UNKNOWN, code)
            self._read_refusal(response)
            return Try(self._make_unknown(code, ""), True, may_have_run=True)
        failed = head.status >= 500
        self._metrics.count(Metric.TRIES, 1, (stats.endpoint.service, "failed" if failed else "answered"))
        pieces: list[bytes] = []
        body_taken = 0.0
        if not head.is_complete:
            try:
                pieces = response.read_some(BUFFER_LIMIT)
            except (OSError, MalformedMessage) as exc:
                response.close()
                # A late one is not the upstream's fault: it answered in time, and links may be narrow.
                is_late = monotonic() >= job.deadline
                code = ErrorCode.ANSWER_TIMEOUT if is_late else ErrorCode.ANSWER_LOST
                self._note_end(
                    balancer, stats, failed or not is_late, load, taken if is_late else None, kind=route.name
                )
                self._note_try(job, stats, Outcome.UNKNOWN, code)
                return Try(self._make_unknown(code, str(exc)), not route.repeatable, True, True)
            except BaseException:
                response.close()
                balancer.end(stats, False, monotonic())
                raise
            body_taken = monotonic() - started - taken
        if head.is_complete:
            # A failure that comes at once must not make an upstream look quick.
            known, body_known = (None, None) if failed else (taken, body_taken)
            self._note_end(
                balancer, stats, failed=failed, load=load, taken=known, kind=route.name, body_taken=body_known
            )
            return Try(Answer(head.status, head.reason, _strip(head), [*pieces, *head.pieces]), True)

        def end(broke_off: bool) -> None:
            if broke_off:
                self._events.emit(Event.ANSWER_LOST, upstream=stats.endpoint.instance)
            is_whole = head.is_complete and not (failed or broke_off)
            body_known = monotonic() - started - taken if is_whole else None
            self._note_end(
                balancer,
                stats,
                failed=failed or broke_off,
                load=load,
                taken=taken,
                kind=route.name,
                body_taken=body_known,
            )

        rest = AnswerPieces(response, end, pieces, job.deadline - started)
        return Try(Answer(head.status, head.reason, _strip(head), rest), True)


def _strip(head: Message) -> list[tuple[str, str]]:
    """Return an answer's headers without those between daemons or of one connection."""
    return public_headers(head.headers, _DAEMON_HEADERS)
