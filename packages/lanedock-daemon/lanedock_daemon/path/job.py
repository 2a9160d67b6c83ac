# SPDX-License-Identifier: BSD-3-Clause
"""What all tries of one request have in common, and what became of each."""

from lanedock.canary import Pool
from lanedock.config import Route, Service
from lanedock.errors import ErrorCode
from lanedock.limits import RetryBudget
from lanedock.routing import Balancer, UpstreamStats
from lanedock.telemetry import RequestLog
from lanedock_daemon.path.http import Answer, Request

__all__ = ["Job", "Try"]


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
    is_suspect : bool
        Whether upstreams have ended while they ran it: it isn't sent to two at once.
    start_by : float or None
        Monotonic, seconds: until when an application may begin on it, where the
        process stops.
    tried : set of str
        Instances that were tried.
    is_rate_limited : bool
        Whether an upstream has refused it by the rate that it advertises: it waits for no other's.
    goes_to_canary, is_moved : bool
        Whether its first try goes to an upstream of a version under trial; whether all
        tries do, since the service's traffic is being moved there.
    """

    __slots__ = (
        "balancer",
        "budget",
        "deadline",
        "goes_to_canary",
        "headers",
        "is_moved",
        "is_rate_limited",
        "is_suspect",
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
        self.is_suspect = False
        self.is_rate_limited = False
        self.start_by: float | None = None
        self.tried: set[str] = set()
        self.goes_to_canary = False
        self.is_moved = False

    def choose(self, now: float, may_wait: bool = True) -> UpstreamStats | None:
        """Choose an upstream that was not tried yet, and note it as tried; None where there is none.

        Parameters
        ----------
        now : float
            Monotonic, seconds.
        may_wait : bool
            See `Balancer.choose`.
        """
        may_wait = may_wait and not self.is_rate_limited
        # Routes with long bodies, either way, are most of the bytes that go between
        # zones where there are any: uploads of 60 kB on average and answers of 90 kB.
        is_long = self.route.upload or self.route.download or self.request.body.is_long
        tried = frozenset(self.tried)
        stats = None
        if self.is_moved or (self.goes_to_canary and not tried):
            stats = self.balancer.choose(self.service.slots, now, tried, is_long, Pool.CANARY, may_wait=False)
        if stats is None:
            stats = self.balancer.choose(self.service.slots, now, tried, is_long, may_wait=may_wait)
        if stats is not None:
            self.tried.add(stats.endpoint.instance)
        return stats
