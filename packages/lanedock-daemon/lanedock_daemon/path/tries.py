# SPDX-License-Identifier: BSD-3-Clause
"""One try of a request at one upstream: what is sent, and what its end says."""

import time

import gevent

from lanedock.config import Route, Service
from lanedock.errors import ErrorCode
from lanedock.limits import RetryBudget
from lanedock.routing import Balancer, UpstreamStats
from lanedock.telemetry import Event, EventLogger, Metric, Metrics, RequestLog
from lanedock_daemon.path.dialect import Dialect
from lanedock_daemon.path.exchange import AnswerPieces, PendingAnswer, UpstreamAnswer, send_request
from lanedock_daemon.path.http import (
    ARRIVED_HEADER,
    ATTEMPT_HEADER,
    CODE_HEADER,
    DEADLINE_HEADER,
    HOP_HEADERS,
    LEAVING_HEADER,
    LOAD_HEADER,
    OUTCOME_HEADER,
    RETRY_AFTER,
    RETURN_HEADER,
    START_BY_HEADER,
    TARGET_HEADER,
    UPSTREAM_HEADER,
    Answer,
    Outcome,
    Request,
    public_headers,
    read_int,
)
from lanedock_daemon.path.parser import MalformedMessage, Message
from lanedock_daemon.path.pool import ConnectionPool, ExchangeError
from lanedock_daemon.path.prober import UpstreamProber

__all__ = ["Job", "Tries", "Try"]

# Answers up to this many bytes are read whole before they are passed on, so
# that one that breaks off can still be asked for elsewhere.
BUFFER_LIMIT = 64 * 1024
# Added to what an upstream's daemon is given, so that its refusal arrives
# before the caller's side gives up on it.
GRACE = 0.05
_DAEMON_HEADERS = HOP_HEADERS | {OUTCOME_HEADER, CODE_HEADER}


class Try:
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


class Job:
    """What all tries of one request have in common.

    Parameters
    ----------
    request : Request
        With a body that can be read again, as far as it is short.
    headers : list of tuple of (str, str)
        That go with every try.
    route : Route
    service : Service
        Where the request goes to.
    balancer : Balancer
        Of the service.
    budget : RetryBudget
        Towards the service.
    deadline, target_time : float
        Monotonic, seconds.
    log : RequestLog

    Attributes
    ----------
    start_by : float or None
        Monotonic, seconds: until when an application may begin on it, where the
        process stops.
    tried : set of str
        Instances that were tried.
    """

    __slots__ = (
        "balancer",
        "budget",
        "deadline",
        "headers",
        "log",
        "request",
        "route",
        "service",
        "start_by",
        "target_time",
        "tried",
    )

    def __init__(
        self,
        request: Request,
        headers: list[tuple[str, str]],
        route: Route,
        service: Service,
        balancer: Balancer,
        budget: RetryBudget,
        deadline: float,
        target_time: float,
        log: RequestLog,
    ):
        self.request = request
        self.headers = headers
        self.route = route
        self.service = service
        self.balancer = balancer
        self.budget = budget
        self.deadline = deadline
        self.target_time = target_time
        self.log = log
        self.start_by: float | None = None
        self.tried: set[str] = set()

    def choose(self, now: float) -> UpstreamStats | None:
        """Choose an upstream that was not tried yet, and note it as tried; None where there is none."""
        # Routes with long bodies, either way, are most of the bytes that go between
        # zones where there are any: uploads of 60 kB on average and answers of 90 kB.
        is_long = self.route.upload or self.route.download or self.request.body.is_long
        stats = self.balancer.choose(self.service.slots, now, frozenset(self.tried), is_long)
        if stats is not None:
            self.tried.add(stats.endpoint.instance)
        return stats


class Tries:
    """Sends requests to upstreams.

    Parameters
    ----------
    pool : ConnectionPool
    dialect : Dialect
    events : EventLogger
    metrics : Metrics
    """

    def __init__(self, pool: ConnectionPool, dialect: Dialect, events: EventLogger, metrics: Metrics):
        self._pool = pool
        self._dialect = dialect
        self._events = events
        self._metrics = metrics
        self._prober = UpstreamProber(pool, events)

    def send_with_reserve(self, job: Job, stats: UpstreamStats, attempt: int) -> Try:
        """Send a request, and once more elsewhere where its answer is later than nearly all others.

        Whichever answers first counts; the other one is cancelled.
        """
        started = time.monotonic()
        pending = self._begin(job, stats, attempt, started)
        if isinstance(pending, Try):
            return pending
        late_after = started + job.balancer.late_after(job.route.name) - time.monotonic()
        if self._is_answering(job, stats, pending, late_after) or time.monotonic() >= job.deadline:
            return self._end(job, stats, pending, started)
        self._note_late(stats, started)
        first = second = None
        try:
            first = gevent.spawn(self._end, job, stats, pending, started)
            now = time.monotonic()
            other = job.choose(now) if job.budget.left(now) >= 1 else None
            if other is None:
                return first.get()
            job.budget.spend(now)
            job.log.note(Event.REQUEST_SENT_AGAIN, sent=True, reason="late", budget=round(job.budget.left(now), 1))
            self._metrics.count(Metric.RETRIES)
            second = gevent.spawn(self.send, job, other, attempt + 1)
            return _first_of(first, second)
        finally:
            gevent.killall([task for task in (first, second) if task is not None], block=False)
            if not pending.is_being_read:
                # The task that was to read it has never run.
                pending.close()
                job.balancer.end(stats, False, time.monotonic())

    def _is_answering(self, job: Job, stats, pending: PendingAnswer, timeout: float) -> bool:
        """Wait for an answer's beginning; False where it is late."""
        try:
            return pending.wait(timeout)
        except BaseException:
            job.balancer.end(stats, False, time.monotonic())
            raise

    def _note_late(self, stats: UpstreamStats, sent_at: float) -> None:
        """Note that an answer is late: its connection may have fallen silent, and others with it."""
        if self._pool.note_late(stats.address, sent_at):
            self._events.emit(Event.CONNECTIONS_SILENT, upstream=stats.endpoint.instance)

    def send(self, job: Job, stats: UpstreamStats, attempt: int) -> Try:
        """Send a request to one upstream, and wait for its answer."""
        started = time.monotonic()
        pending = self._begin(job, stats, attempt, started)
        if isinstance(pending, Try):
            return pending
        late_after = started + job.balancer.late_after(job.route.name) - time.monotonic()
        if not self._is_answering(job, stats, pending, min(late_after, job.deadline - time.monotonic())):
            self._note_late(stats, started)
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
        job.log.note(
            Event.REQUEST_SENT,
            upstream=stats.endpoint.instance,
            incarnation=stats.endpoint.upstream,
            zone=stats.endpoint.zone,
            own_in_progress=stats.in_progress,
            others=stats.others,
            others_age_ms=round(1000 * (started - stats.reported_at)) if stats.reported_at is not None else None,
            slowness=round(stats.slowness, 2),
        )
        balancer.begin(stats, started)
        try:
            until = job.deadline + GRACE
            return send_request(self._pool, stats.address, request, sent, until, request.body.is_asked_for)
        except ExchangeError as exc:
            return self._on_failed(job, stats, exc)
        except BaseException:
            balancer.end(stats, False, time.monotonic())
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
            balancer.end(stats, False, time.monotonic())
            raise
        head = response.message
        load = read_int(head.header(LOAD_HEADER))
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
            return Try(answer, False, may_have_run=True)
        return self._pass_answer(response, job, stats, load, is_lost, started)

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
        is_fault = code not in (ErrorCode.OVERLOADED, ErrorCode.DRAINING, ErrorCode.DEADLINE)
        self._note_end(balancer, stats, failed=is_fault, load=load)
        if code is ErrorCode.NOT_HELD:
            # The address was reassigned, or another incarnation of the application
            # is there: the mesh learns of it soon.
            balancer.note_leaving(stats.endpoint.instance)
        self._metrics.count(Metric.NOT_RUN)
        self._read_refusal(response)
        wait_ms = read_int(head.header(RETURN_HEADER))
        wait = wait_ms / 1000 if wait_ms is not None else RETRY_AFTER
        answer = self._dialect.make_refusal(code, Outcome.NOT_RUN, 0.0 if code is ErrorCode.DEADLINE else wait)
        return Try(answer, code is ErrorCode.DEADLINE, bool(head.header(ARRIVED_HEADER)), code=code)

    def _note_end(
        self, balancer, stats, failed: bool, load=None, taken=None, unreachable: bool = False, kind: str = ""
    ) -> None:
        if balancer.end(stats, failed, time.monotonic(), load, taken, unreachable, kind):
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

    def _read_refusal(self, response: UpstreamAnswer) -> bytes:
        """Read a refusal's short body; where it breaks off, the head says enough."""
        try:
            return response.read_all()
        except (OSError, MalformedMessage):
            return b""
        finally:
            response.close()

    def _pass_answer(self, response, job: Job, stats, load, is_lost: bool, started: float) -> Try:
        """Pass an answer on: a short one once it is whole, a long one as it comes.

        One that is neither whole nor long by the deadline is unknown: begun then, it would
        end later still, and its caller would be held past the time that the route allows.
        """
        head = response.message
        route, balancer = job.route, job.balancer
        taken = time.monotonic() - started
        if is_lost:
            code = ErrorCode.find(head.header(CODE_HEADER)) or ErrorCode.ANSWER_LOST
            self._note_end(balancer, stats, failed=True, load=load)
            self._note_try(job, stats, Outcome.UNKNOWN, code)
            self._read_refusal(response)
            return Try(self._make_unknown(code, ""), True, may_have_run=True)
        failed = head.status >= 500
        self._metrics.count(Metric.TRIES, 1, (stats.endpoint.service, "failed" if failed else "answered"))
        pieces: list[bytes] = []
        if not head.is_complete:
            try:
                pieces = response.read_some(BUFFER_LIMIT)
            except (OSError, MalformedMessage) as exc:
                response.close()
                # A late one is not the upstream's fault: it answered in time, and links may be narrow.
                is_late = time.monotonic() >= job.deadline
                code = ErrorCode.ANSWER_TIMEOUT if is_late else ErrorCode.ANSWER_LOST
                self._note_end(
                    balancer, stats, failed or not is_late, load, taken if is_late else None, kind=route.name
                )
                self._note_try(job, stats, Outcome.UNKNOWN, code)
                return Try(self._make_unknown(code, str(exc)), not route.repeatable, True, True)
            except BaseException:
                response.close()
                balancer.end(stats, False, time.monotonic())
                raise
        if head.is_complete:
            # A failure that comes at once must not make an upstream look quick.
            known = None if failed else taken
            self._note_end(balancer, stats, failed=failed, load=load, taken=known, kind=route.name)
            return Try(Answer(head.status, head.reason, _strip(head), [*pieces, *head.pieces]), True)

        def end(broke_off: bool) -> None:
            if broke_off:
                self._events.emit(Event.ANSWER_LOST, upstream=stats.endpoint.instance)
            self._note_end(balancer, stats, failed=failed or broke_off, load=load, taken=taken, kind=route.name)

        return Try(Answer(head.status, head.reason, _strip(head), AnswerPieces(response, end, pieces)), True)


def _first_of(first: gevent.Greenlet, second: gevent.Greenlet) -> Try:
    """Return what became of two tries at once: the first that is final, or the one that says more."""
    done = gevent.wait([first, second], count=1)[0].get()
    if not done.is_final:
        made = (second if first.ready() else first).get()
        done = made if made.is_final or made.may_have_run else done
    # Both were sent: what an application may have seen counts twice.
    done.arrivals = 2
    return done


def _strip(head: Message) -> list[tuple[str, str]]:
    """Return an answer's headers without those between daemons or of one connection."""
    return public_headers(head.headers, _DAEMON_HEADERS)
