# SPDX-License-Identifier: BSD-3-Clause
"""Comparison of ways to enforce the rate limits that upstreams advertise, in virtual time.

Callers send requests at random to the upstreams of one service, some of which advertise a
limit. `SlotLimiter` and `Balancer` are the production classes; hops, work and callers are events
of a virtual clock, so equal seeds give equal results. The ways differ in which daemon enforces
the rate, and in the information that callers receive with an answer:

- ``callers``: each caller's daemon enforces the rate divided by the number of callers;
- ``upstream``: the upstream's daemon enforces the rate, and callers receive refusals only;
- ``turns``: the upstream's daemon enforces the rate, and tells each caller the time of its next turn.

Columns: the largest number of requests that a limited upstream receives in 4 s, relative to the
allowed number (1.5 times the rate, plus 5); the used share of the limits; refused hops per
request; the served share of the requests.

    python tools/bench_rate_limit.py --seeds 2
"""

import argparse
import heapq
import itertools
from abc import ABC, abstractmethod
from random import Random

from lanedock.errors import ErrorCode
from lanedock.limits import AdmissionRequest, RateLimiter, Refused, SlotLimiter
from lanedock.routing import Balancer, BalancerPolicy
from lanedock.wire import messages

SLOTS, QUEUE = 18, 36
# Seconds: a hop between two daemons, the work of a request, its target time and its deadline.
HOP, WORK, TARGET, DEADLINE = 0.002, 0.12, 0.4, 2.5
# Refusals of one request for the rate, and for overload, after which its caller's daemon gives up.
MAX_REFUSALS, MAX_OVERLOADS = 4, 2
# Length of the window in which arrivals are counted, and start of the measurement, in seconds.
WINDOW, MEASURE_FROM = 4.0, 3.0
CLASS = "any"


class Enforcement(ABC):
    """Way to enforce the rates, and information that callers receive."""

    def __init__(self, callers: int):
        self.callers = callers

    def limit_upstream(self, limiter: SlotLimiter, rate: float | None) -> None:
        """Configure the rate that an upstream's daemon enforces; None for no limit."""
        limiter.rate.configure(rate, 0.0)

    def may_send(self, caller: "Caller", stats, now: float) -> bool:
        """Return whether a caller's daemon may send a request to the chosen upstream."""
        return True

    @abstractmethod
    def note_answer(self, stats, limiter: SlotLimiter, now: float) -> None:
        """Process the information that an answer or a refusal gives the caller."""


class UpstreamEnforcement(Enforcement):
    """Enforces the rate at the upstream's daemon only."""

    def note_answer(self, stats, limiter: SlotLimiter, now: float) -> None:
        pass


class TurnEnforcement(Enforcement):
    """Enforces the rate at the upstream's daemon, which tells callers their next turns."""

    def note_answer(self, stats, limiter: SlotLimiter, now: float) -> None:
        stats.caller.balancer.add_send_time(stats, limiter.next_send_delay(now), now)


class CallerEnforcement(Enforcement):
    """Enforces an equal share of the rate at each caller's daemon, from the first answer that states the limit."""

    def __init__(self, callers: int):
        super().__init__(callers)
        self.rates: dict[SlotLimiter, float] = {}

    def limit_upstream(self, limiter: SlotLimiter, rate: float | None) -> None:
        if rate is not None:
            self.rates[limiter] = rate

    def may_send(self, caller: "Caller", stats, now: float) -> bool:
        share = caller.shares.get(stats.endpoint.instance)
        if share is None:
            return True
        if share.wait(now):
            return False
        share.admit()
        return True

    def note_answer(self, stats, limiter: SlotLimiter, now: float) -> None:
        rate = self.rates.get(limiter)
        if rate is not None:
            shares = stats.caller.shares
            if stats.endpoint.instance not in shares:
                shares[stats.endpoint.instance] = RateLimiter()
            shares[stats.endpoint.instance].configure(rate / self.callers, now)


class Caller:
    """A caller's daemon, with its balancer and its shares of the rates."""

    def __init__(self, endpoints, rng: Random):
        self.shares: dict[str, RateLimiter] = {}
        self.balancer = Balancer("z", rng, BalancerPolicy())
        self.balancer.set_endpoints(endpoints, 0.0)


class Simulation:
    """Simulation of callers and upstreams on a virtual clock."""

    def __init__(self, cfg, enforcement: Enforcement, seed: int):
        self.rng = Random(seed)
        self.enforcement = enforcement
        self.now = 0.0
        self._events: list = []
        self._order = itertools.count()
        names = [f"u{number}" for number in range(cfg.upstreams)]
        endpoints = [messages.Endpoint(instance=name, service="s", zone="z", slots=SLOTS) for name in names]
        self.limiters = {name: SlotLimiter(SLOTS, QUEUE, {}, self.rng) for name in names}
        self.limited = names[: cfg.limited]
        for name in self.limited:
            enforcement.limit_upstream(self.limiters[name], cfg.rate)
        self.callers = [Caller(endpoints, self.rng) for _ in range(cfg.callers)]
        self.arrivals: dict[str, list[float]] = {name: [] for name in names}
        self.sent = self.served = self.refused_hops = 0

    def at(self, time: float, action, *arguments) -> None:
        """Schedule an action."""
        heapq.heappush(self._events, (time, next(self._order), action, arguments))

    def run(self, rate: float, seconds: float) -> None:
        """Simulate requests at a mean rate per second for a number of seconds."""
        time = 0.0
        while (time := time + self.rng.expovariate(rate)) < seconds:
            self.at(time, self._begin, self.rng.choice(self.callers))
        while self._events:
            self.now, _, action, arguments = heapq.heappop(self._events)
            if self.now > seconds + DEADLINE:
                break
            action(*arguments)

    def _begin(self, caller: Caller) -> None:
        self.sent += 1
        self._send(Attempt(caller, self.now))

    def _send(self, attempt: "Attempt") -> None:
        """Send a request to the next upstream; drops the request if there is none."""
        caller = attempt.caller
        while True:
            may_wait = not attempt.refusals
            stats = caller.balancer.choose(SLOTS, self.now, frozenset(attempt.tried), may_wait=may_wait)
            if stats is None:
                return
            attempt.tried.add(stats.endpoint.instance)
            if self.enforcement.may_send(caller, stats, self.now):
                break
        caller.balancer.begin(stats, self.now)
        self.at(self.now + HOP, self._arrive, attempt, stats)

    def _arrive(self, attempt: "Attempt", stats) -> None:
        """Admit, queue or refuse a request at an upstream's daemon."""
        limiter = self.limiters[stats.endpoint.instance]
        wanted = AdmissionRequest(attempt.began + DEADLINE, attempt.began + TARGET, "r")
        result = limiter.acquire(CLASS, wanted, self.now, lambda: self._work(attempt, stats))
        if result is None:
            self._work(attempt, stats)
        elif isinstance(result, Refused):
            self._refuse(attempt, stats, result.code)
        else:
            self.at(result.expires_at, self._expire, attempt, stats, result)
            self._schedule_admission(limiter)

    def _schedule_admission(self, limiter: SlotLimiter) -> None:
        if limiter.waiting and limiter.rate.is_limited:
            self.at(self.now + max(0.005, limiter.rate.wait(self.now)), self._admit, limiter)

    def _admit(self, limiter: SlotLimiter) -> None:
        limiter.admit_queued(self.now)
        self._schedule_admission(limiter)

    def _expire(self, attempt: "Attempt", stats, queued) -> None:
        if self.limiters[stats.endpoint.instance].cancel(queued):
            self._refuse(attempt, stats, ErrorCode.RATE_LIMITED)

    def _work(self, attempt: "Attempt", stats) -> None:
        self.arrivals[stats.endpoint.instance].append(self.now)
        work = self.rng.uniform(0.5, 1.5) * WORK
        self.at(self.now + work, self._end, attempt, stats, work)

    def _end(self, attempt: "Attempt", stats, work: float) -> None:
        limiter = self.limiters[stats.endpoint.instance]
        limiter.release(CLASS, work, self.now, "r")
        self._answer(attempt, stats, limiter)
        self.served += 1

    def _refuse(self, attempt: "Attempt", stats, code: ErrorCode) -> None:
        self.refused_hops += 1
        attempt.refusals += code is ErrorCode.RATE_LIMITED
        attempt.overloads += code is ErrorCode.OVERLOADED
        self._answer(attempt, stats, self.limiters[stats.endpoint.instance])
        if attempt.refusals < MAX_REFUSALS and attempt.overloads < MAX_OVERLOADS:
            self.at(self.now + HOP, self._send, attempt)

    def _answer(self, attempt: "Attempt", stats, limiter: SlotLimiter) -> None:
        """Process an answer or a refusal at the caller's daemon."""
        load = limiter.in_use + limiter.waiting
        attempt.caller.balancer.end(stats, False, self.now, load, kind="r")
        self.enforcement.note_answer(CallerStats(stats, attempt.caller), limiter, self.now)


class CallerStats:
    """One caller's statistics of one upstream."""

    def __init__(self, stats, caller: Caller):
        self.caller = caller
        self.endpoint = stats.endpoint
        self.send_times = stats.send_times


class Attempt:
    """One request, with the upstreams that were tried and their refusals."""

    def __init__(self, caller: Caller, began: float):
        self.caller = caller
        self.began = began
        self.tried: set[str] = set()
        self.refusals = self.overloads = 0


def worst_window(arrivals: list[float], rate: float) -> float:
    """Return the largest number of arrivals in a window, relative to the allowed number."""
    times = [time for time in arrivals if time >= MEASURE_FROM]
    most = max((sum(first <= time < first + WINDOW for time in times) for first in times), default=0)
    return most / (1.5 * rate * WINDOW + 5)


WAYS = {"callers": CallerEnforcement, "upstream": UpstreamEnforcement, "turns": TurnEnforcement}


def play(way: str, seed: int, cfg) -> dict[str, float]:
    """Simulate one seed; return the results by column."""
    simulation = Simulation(cfg, WAYS[way](cfg.callers), seed)
    simulation.run(cfg.offered, cfg.seconds)
    used = [
        sum(time >= MEASURE_FROM for time in simulation.arrivals[name]) / (cfg.seconds - MEASURE_FROM) / cfg.rate
        for name in simulation.limited
    ]
    return {
        "worst": max(worst_window(simulation.arrivals[name], cfg.rate) for name in simulation.limited),
        "used": min(used),
        "refused hops": simulation.refused_hops / simulation.sent,
        "served": simulation.served / simulation.sent,
    }


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--seeds", type=int, default=2)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--upstreams", type=int, default=6)
    parser.add_argument("--offered", type=float, default=240.0, help="requests per second")
    args = parser.parse_args()
    print(f"{'callers':>7} {'limited':>7} {'rate':>5} {'way':>9} {'worst':>6} {'used':>6} {'hops':>6} {'served':>6}")
    for callers, (limited, rate) in itertools.product((6, 92, 190), ((1, 16.0), (1, 1.5), (2, 16.0), (6, 8.0))):
        for way in WAYS:
            cfg = argparse.Namespace(**vars(args), callers=callers, limited=limited, rate=rate)
            runs = [play(way, seed, cfg) for seed in range(args.seeds)]
            mean = {name: sum(run[name] for run in runs) / len(runs) for name in runs[0]}
            worst = max(run["worst"] for run in runs)
            row = f"{callers:>7} {limited:>7} {rate:>5} {way:>9} {worst:6.2f} {mean['used']:6.2f}"
            print(f"{row} {mean['refused hops']:6.2f} {mean['served']:6.3f}")


if __name__ == "__main__":
    main()
