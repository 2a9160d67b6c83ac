# SPDX-License-Identifier: BSD-3-Clause
"""State shared by all attempts at one request, and the result of each attempt."""

from lanedock.canary import Pool
from lanedock.config import Customer, Route, Service
from lanedock.errors import ErrorCode
from lanedock.limits import RetryBudget
from lanedock.routing import Balancer, ProbePlan, UpstreamStats
from lanedock.telemetry import Event, RequestLog
from lanedock_daemon.path.http.messages import Answer, Request

__all__ = ["AttemptResult", "RequestContext"]


class AttemptResult:
    """Result of one attempt to send a request to an upstream.

    Parameters
    ----------
    answer : Answer
    is_final : bool
        False if another upstream may be tried.
    has_arrived : bool
        Whether the application may have received the request.
    may_have_run : bool
        Whether the application may have run the request.
    code : ErrorCode, optional
        Reason given by the upstream's daemon if it refused the request.

    Attributes
    ----------
    arrivals : int
        Number of applications that may have received the request.
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

    @property
    def is_refusal(self) -> bool:
        """Whether the upstream's daemon refused the request, which was not run."""
        return self.code is not None

    @property
    def is_success(self) -> bool:
        """Whether an application answered, and its answer states no failure of its own."""
        return self.is_final and not self.is_refusal and self.answer.status < 500


class RequestContext:
    """State shared by all attempts at one request.

    Parameters
    ----------
    request : Request
        Its body can be rewound if it is short enough to be kept.
    headers : list of tuple of (str, str)
        Sent with every attempt.
    route : Route
    service : Service
        Destination of the request.
    balancer : Balancer
        Balancer of the service.
    budget : RetryBudget
        Retry budget for the service.
    deadline, target_time : float
        Monotonic times, in seconds.
    log : RequestLog

    Attributes
    ----------
    customer : Customer or None
        Customer who sent the request; None if it is from none.
    is_suspect : bool
        Whether upstreams have crashed while they ran the request. A suspect request is
        never sent to two upstreams at once.
    start_by : float or None
        Monotonic time, in seconds, by which an application has to start the request
        because this process is stopping.
    tried : set of str
        Instances to which the request has been sent.
    is_rate_limited : bool
        Whether an upstream has refused the request because of its advertised rate limit.
        The request then waits for no other upstream's rate limit.
    goes_to_canary : bool
        Whether the first attempt prefers a canary.
    prefers_canary : bool
        Whether every attempt prefers a canary, because all traffic of the service is being
        moved to the new version.
    """

    __slots__ = (
        "balancer",
        "budget",
        "customer",
        "deadline",
        "goes_to_canary",
        "headers",
        "is_rate_limited",
        "is_suspect",
        "log",
        "prefers_canary",
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
        self.customer: Customer | None = None
        self.is_suspect = False
        self.is_rate_limited = False
        self.start_by: float | None = None
        self.tried: set[str] = set()
        self.goes_to_canary = False
        self.prefers_canary = False

    def plan_probes(self, now: float) -> ProbePlan:
        """Select the upstreams to probe before `choose`; `now` is a monotonic time, in seconds."""
        pool = Pool.CANARY if self._is_for_canary() else Pool.STABLE
        return self.balancer.plan_probes(now, frozenset(self.tried), pool)

    def plan_zone_probes(self, now: float) -> ProbePlan:
        """Select the upstreams of other zones to probe once the local ones have replied; see `plan_probes`."""
        pool = Pool.CANARY if self._is_for_canary() else Pool.STABLE
        return self.balancer.plan_zone_probes(now, frozenset(self.tried), self._is_long(), pool, self.target_time)

    def _is_long(self) -> bool:
        # Routes with long request or response bodies cause most of the traffic between availability zones.
        return self.route.upload or self.route.download or self.request.body.is_long

    def _is_for_canary(self) -> bool:
        return self.prefers_canary or (self.goes_to_canary and not self.tried)

    def _note_compared(self, stats: UpstreamStats) -> None:
        """Log the replies to load probes by which an upstream was chosen, if any."""
        choice = self.balancer.probed_choice
        if choice is not None and choice.compared:
            expected = {name: round(1000 * time, 1) for name, time in choice.compared}
            self.log.note(Event.REQUEST_LOADS_COMPARED, upstream=stats.endpoint.instance, expected_ms=expected)

    def choose(self, now: float, may_wait: bool = True) -> UpstreamStats | None:
        """Choose an upstream that has not been tried yet, and add it to `tried`.

        Parameters
        ----------
        now : float
            Monotonic time, in seconds.
        may_wait : bool
            See `Balancer.choose`.

        Returns
        -------
        UpstreamStats or None
            None if no upstream is left.
        """
        may_wait = may_wait and not self.is_rate_limited
        is_long = self._is_long()
        tried = frozenset(self.tried)
        slots, target = self.service.slots, self.target_time
        stats = None
        if self._is_for_canary():
            stats = self.balancer.choose(slots, now, tried, is_long, Pool.CANARY, may_wait=False, target_time=target)
        if stats is None:
            stats = self.balancer.choose(slots, now, tried, is_long, may_wait=may_wait, target_time=target)
        if stats is not None:
            self._note_compared(stats)
            self.tried.add(stats.endpoint.instance)
        return stats
