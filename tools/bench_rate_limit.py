# SPDX-License-Identifier: BSD-3-Clause
"""Ways to keep the rate limits that upstreams advertise, in virtual time.

Callers send requests at random to the upstreams of one service, of which some advertise a
limit. `SlotLimiter` and `Balancer` are those of production; hops, work and callers are events
of a virtual clock, so a seed always gives the same figures. The ways differ in where the rate
is kept, and in what callers learn with an answer:

- ``callers``: each caller's daemon keeps the rate, divided by the daemons that it knows;
- ``upstream``: the upstream's daemon keeps it, callers learn of refusals alone;
- ``turns``: the upstream's daemon keeps it, and gives each caller its next turn.

Columns: the worst 4 s of a limited upstream as a part of what may come in them (1.5 times the
rate, and 5); the part of the limits that is used; hops that were refused for each request;
the part of the requests that was served.

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
# Upstreams that may refuse one request for their rate, and for their load.
MAX_REFUSALS, MAX_OVERLOADS = 4, 2
# Span in which arrivals are counted, and from when on, in seconds.
WINDOW, FROM = 4.0, 3.0
CLASS = "any"


class Keeping(ABC):
    """Where the rates are kept, and what callers learn."""

    def __init__(self, callers: int):
        self.callers = callers

    def limit_upstream(self, limiter: SlotLimiter, rate: float | None) -> None:
        """Set what the upstream's daemon keeps."""
        limiter.rate.configure(rate, 0.0)

    def may_send(self, caller: "Caller", stats, now: float) -> bool:
        """Tell whether a caller's daemon may send a request to the upstream chosen."""
        return True

    @abstractmethod
    def note_answer(self, stats, limiter: SlotLimiter, now: float) -> None:
        """Take what an answer, or a refusal, tells the caller."""


class ByUpstream(Keeping):
    """The upstream's daemon alone."""

    def note_answer(self, stats, limiter: SlotLimiter, now: float) -> None:
        pass


class ByTurns(Keeping):
    """The upstream's daemon, which gives callers their turns."""

    def note_answer(self, stats, limiter: SlotLimiter, now: float) -> None:
        stats.caller.balancer.note_turn(stats, limiter.next_turn(now), now)


class ByCallers(Keeping):
    """Each caller's daemon, its equal share; a caller learns of the limit with the first answer."""

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
    """A caller's daemon."""

    def __init__(self, endpoints, rng: Random):
        self.shares: dict[str, RateLimiter] = {}
        self.balancer = Balancer("z", rng, BalancerPolicy())
        self.balancer.set_endpoints(endpoints, 0.0)


class Play:
    """One play: callers, upstreams, and the virtual clock."""

    def __init__(self, cfg, keeping: Keeping, seed: int):
        self.rng = Random(seed)
        self.keeping = keeping
        self.now = 0.0
        self._events: list = []
        self._order = itertools.count()
        names = [f"u{number}" for number in range(cfg.upstreams)]
        endpoints = [messages.Endpoint(instance=name, service="s", zone="z", slots=SLOTS) for name in names]
        self.limiters = {name: SlotLimiter(SLOTS, QUEUE, {}, self.rng) for name in names}
        self.limited = names[: cfg.limited]
        for name in self.limited:
            keeping.limit_upstream(self.limiters[name], cfg.rate)
        self.callers = [Caller(endpoints, self.rng) for _ in range(cfg.callers)]
        self.arrivals: dict[str, list[float]] = {name: [] for name in names}
        self.sent = self.served = self.refused_hops = 0

    def at(self, time: float, action, *arguments) -> None:
        """Have something done at a time."""
        heapq.heappush(self._events, (time, next(self._order), action, arguments))

    def run(self, rate: float, seconds: float) -> None:
        """Play requests at a rate until so many seconds have passed."""
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
        """Send a request to the next upstream, if there is one."""
        caller = attempt.caller
        while True:
            may_wait = not attempt.refusals
            stats = caller.balancer.choose(SLOTS, self.now, frozenset(attempt.tried), may_wait=may_wait)
            if stats is None:
                return
            attempt.tried.add(stats.endpoint.instance)
            if self.keeping.may_send(caller, stats, self.now):
                break
        caller.balancer.begin(stats, self.now)
        self.at(self.now + HOP, self._come, attempt, stats)

    def _come(self, attempt: "Attempt", stats) -> None:
        """A request comes to an upstream's daemon."""
        limiter = self.limiters[stats.endpoint.instance]
        wanted = AdmissionRequest(attempt.began + DEADLINE, attempt.began + TARGET, "r")
        result = limiter.acquire(CLASS, wanted, self.now, lambda: self._work(attempt, stats))
        if result is None:
            self._work(attempt, stats)
        elif isinstance(result, Refused):
            self._refuse(attempt, stats, result.code)
        else:
            self.at(result.expires_at, self._expire, attempt, stats, result)
            self._poll(limiter)

    def _poll(self, limiter: SlotLimiter) -> None:
        if limiter.waiting and limiter.rate.is_limited:
            self.at(self.now + max(0.005, limiter.rate.wait(self.now)), self._admit, limiter)

    def _admit(self, limiter: SlotLimiter) -> None:
        limiter.admit_queued(self.now)
        self._poll(limiter)

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
        """The caller's daemon gets an answer."""
        load = limiter.in_use + limiter.waiting
        attempt.caller.balancer.end(stats, False, self.now, load, kind="r")
        self.keeping.note_answer(StatsOf(stats, attempt.caller), limiter, self.now)


class StatsOf:
    """What one caller knows of one upstream."""

    def __init__(self, stats, caller: Caller):
        self.caller = caller
        self.endpoint = stats.endpoint
        self.turns = stats.turns


class Attempt:
    """One request on its way."""

    def __init__(self, caller: Caller, began: float):
        self.caller = caller
        self.began = began
        self.tried: set[str] = set()
        self.refusals = self.overloads = 0


def worst_part(arrivals: list[float], rate: float) -> float:
    """Return the fullest window, as a part of what may come in it."""
    times = [time for time in arrivals if time >= FROM]
    most = max((sum(first <= time < first + WINDOW for time in times) for first in times), default=0)
    return most / (1.5 * rate * WINDOW + 5)


WAYS = {"callers": ByCallers, "upstream": ByUpstream, "turns": ByTurns}


def play(way: str, seed: int, cfg) -> dict[str, float]:
    """Play one seed; returns the figures by the columns' names."""
    it = Play(cfg, WAYS[way](cfg.callers), seed)
    it.run(cfg.offered, cfg.seconds)
    used = [sum(time >= FROM for time in it.arrivals[name]) / (cfg.seconds - FROM) / cfg.rate for name in it.limited]
    return {
        "worst": max(worst_part(it.arrivals[name], cfg.rate) for name in it.limited),
        "used": min(used),
        "refused hops": it.refused_hops / it.sent,
        "served": it.served / it.sent,
    }


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--seeds", type=int, default=2)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--upstreams", type=int, default=6)
    parser.add_argument("--offered", type=float, default=240.0, help="requests a second")
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
