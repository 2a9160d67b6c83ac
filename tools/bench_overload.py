# SPDX-License-Identifier: BSD-3-Clause
"""Goodput of a call tree under overload, with the production decision code in virtual time.

A front service calls a shared service for most of its requests; the shared service also has
direct callers with more urgent requests. Callers wait until a deadline, retry a refused
request after the time that the refusal states, and value an answer by the time since their
first attempt. `SlotLimiter`, `Balancer` and `FirstAttempts` are the production classes; hops,
slots and callers are events of a virtual clock, so processor time has no influence and equal
seeds give equal results.

    python tools/bench_overload.py --short front --load 1.5 --seeds 3
"""

import argparse
import heapq
import itertools
import math
from random import Random
from types import SimpleNamespace

from lanedock.config import TrafficClass
from lanedock.limits import AdmissionRequest, FirstAttempts, Refused, SlotLimiter
from lanedock.routing import Balancer, BalancerPolicy
from lanedock.wire import messages

ZONES = ("a", "b", "c", "d")
SLOTS = 13
QUEUE = 2 * SLOTS
SPEEDS = (0.7, 1.0, 1.3, 1.0)
CLASSES = {name: TrafficClass(name, 0.0, number) for name, number in (("p1", 1), ("p2", 2))}
# Latency of a hop within a zone and between zones, in seconds.
HOP, FAR_HOP = 0.0012, 0.0028
# Refusals for overload after which a caller's daemon gives up a request: for first attempts, for retries.
OVERLOADS, OVERLOADS_RETRIED = 2, 1
# Penalty, as a share of its worth, for a request that is refused finally after a retry.
RETRY_FAILURE_PENALTY = 0.3
# Largest share of its remaining time that a caller waits before a retry.
MAX_WAIT_SHARE = 1 / 3


class Kind:
    """A kind of request, with its durations in seconds, its worth and the calls that it makes."""

    def __init__(self, name, service, work, spread, target, deadline, worth, late, retries, traffic_class, calls=()):
        self.name, self.service, self.work, self.spread = name, service, work, spread
        self.target, self.deadline, self.worth, self.late = target, deadline, worth, late
        self.retries, self.traffic_class, self.calls = retries, traffic_class, calls

    def duration(self, rng: Random) -> float:
        """Draw a random work time, in seconds, without the calls."""
        sigma = math.sqrt(math.log(1 + self.spread**2))
        return min(6 * self.work, rng.lognormvariate(math.log(self.work) - sigma**2 / 2, sigma))


CHECK = Kind("check", "shared", 0.016, 0.5, 0.060, 0.200, 0, 0, 0, "p2")
LOOKUP = Kind("lookup", "front", 0.063, 0.8, 0.200, 1.200, 1, 0.3, 2, "p2", ((CHECK, 2, 0.7),))
ORDER = Kind("order", "shared", 0.082, 0.5, 0.250, 1.500, 2, 0.6, 2, "p1")
DIRECT = (LOOKUP, ORDER)


class Upstream:
    """An upstream instance with its daemon's limiter."""

    def __init__(self, name, service, zone, speed, rng):
        self.name, self.service, self.zone, self.speed = name, service, zone, speed
        self.limiter = SlotLimiter(SLOTS, QUEUE, CLASSES, rng)
        self.endpoint = messages.Endpoint(instance=name, service=service, zone=zone, slots=SLOTS)


class Mesh:
    """The upstreams, a daemon for the callers of each zone, and a daemon for the calls of each upstream."""

    def __init__(self, seed: int, counts: dict[str, int], rates: dict[str, float], seconds: float, pace: float = 1.0):
        self.rng = Random(seed)
        self.now = 0.0
        self._events: list = []
        self._order = itertools.count()
        self.seconds = seconds
        self.fixed_return: float | None = None
        self.slow_service = ""
        self.slow_from = 0.4 * seconds
        self.slow_until = 0.0
        self.upstreams = {}
        for service, count in counts.items():
            for number in range(count):
                name = f"{service}-{number}"
                zone = ZONES[number % len(ZONES)]
                speed = pace * SPEEDS[number % len(SPEEDS)]
                self.upstreams[name] = Upstream(name, service, zone, speed, self.rng)
        self.daemons = {zone: Daemon(self, zone, "") for zone in ZONES}
        self.egress_daemons = {up.name: Daemon(self, up.zone, up.name) for up in self.upstreams.values()}
        self.rates = rates
        self.totals = {
            kind.name: SimpleNamespace(asked=0, timely=0, late=0, refused=0, again=0, wasted=0) for kind in DIRECT
        }

    def pace(self, service: str) -> float:
        """Return the current speed of a service, relative to its normal speed."""
        is_slow = service == self.slow_service and self.slow_from <= self.now < self.slow_until
        return 0.5 if is_slow else 1.0

    def at(self, delay: float, call, *arguments) -> None:
        """Schedule a call `delay` seconds from now."""
        heapq.heappush(self._events, (self.now + delay, next(self._order), call, arguments))

    def run(self) -> None:
        """Simulate until all requests have ended."""
        for kind in DIRECT:
            self.at(self.rng.expovariate(self.rates[kind.name]), self._arrive, kind)
        while self._events:
            self.now, _, call, arguments = heapq.heappop(self._events)
            call(*arguments)

    def _arrive(self, kind: Kind) -> None:
        if self.now < self.seconds:
            self.at(self.rng.expovariate(self.rates[kind.name]), self._arrive, kind)
        Caller(self, kind, self.daemons[self.rng.choice(ZONES)])


class Caller:
    """A caller with one request and its retries."""

    def __init__(self, mesh: Mesh, kind: Kind, daemon: "Daemon"):
        self.mesh, self.kind, self.daemon = mesh, kind, daemon
        self.first_at = mesh.now
        self.retries = 0
        self.is_counted = mesh.now > 0.2 * mesh.seconds
        if self.is_counted:
            mesh.totals[kind.name].asked += 1
        self._send()

    def _remaining(self) -> float:
        return self.kind.deadline - (self.mesh.now - self.first_at)

    def _send(self) -> None:
        Request(self.mesh, self.daemon, self.kind, self._remaining(), self._answered)

    def _answered(self, outcome: str, retry_after: float) -> None:
        mesh, total = self.mesh, self.mesh.totals[self.kind.name]
        elapsed = mesh.now - self.first_at
        is_over = outcome in ("ok", "failed") and (outcome == "ok" or self.retries >= self.kind.retries)
        if outcome == "ok":
            if self.is_counted:
                total.timely += elapsed <= self.kind.target
                total.late += self.kind.target < elapsed <= self.kind.deadline
            return
        if mesh.fixed_return is not None:
            retry_after = mesh.fixed_return
        wait = min(retry_after, MAX_WAIT_SHARE * self._remaining()) if outcome == "refused" else 0.0
        if is_over or self.retries >= self.kind.retries or wait >= self._remaining():
            if self.is_counted:
                total.refused += 1
                total.again += self.retries > 0 and outcome == "refused"
            return
        self.retries += 1
        mesh.at(wait + 0.006, self._send)


class Daemon:
    """A caller's daemon, with a balancer for each service."""

    def __init__(self, mesh: Mesh, zone: str, name: str):
        self.mesh, self.zone, self.name = mesh, zone, name
        self.ages = FirstAttempts()
        self._balancers: dict[str, Balancer] = {}

    def balancer(self, service: str) -> Balancer:
        """Return the balancer of a service, which is made at its first use."""
        if service not in self._balancers:
            balancer = Balancer(self.zone, self.mesh.rng, BalancerPolicy())
            balancer.set_endpoints([up.endpoint for up in self.mesh.upstreams.values() if up.service == service], 0.0)
            self._balancers[service] = balancer
        return self._balancers[service]


class Request:
    """One request at a caller's daemon, with its attempts at upstreams."""

    def __init__(self, mesh: Mesh, daemon: Daemon, kind: Kind, left: float, done):
        self.mesh, self.daemon, self.kind, self.done = mesh, daemon, kind, done
        self.deadline = mesh.now + left
        self.age = daemon.ages.note(kind.name, round(1000 * left))
        self.tried: set[str] = set()
        self._try()

    def _try(self) -> None:
        mesh = self.mesh
        self.stats = self.daemon.balancer(self.kind.service).choose(SLOTS, mesh.now, frozenset(self.tried))
        if self.stats is None:
            self._refuse(0.05)
            return
        self.tried.add(self.stats.endpoint.instance)
        self.upstream = mesh.upstreams[self.stats.endpoint.instance]
        self.started = mesh.now
        self.daemon.balancer(self.kind.service).begin(self.stats, mesh.now)
        self.hop = HOP if self.upstream.zone == self.daemon.zone else FAR_HOP
        mesh.at(self.hop, self._arrive_at_upstream)

    def _arrive_at_upstream(self) -> None:
        mesh, kind = self.mesh, self.kind
        self.wanted = make_request(self)
        result = self.upstream.limiter.acquire(kind.traffic_class, self.wanted, mesh.now, self._admitted)
        if result is None:
            self.queued = None
            self._work()
        elif isinstance(result, Refused):
            mesh.at(self.hop, self._refused, result.retry_after)
        else:
            self.queued = result
            mesh.at(max(0.0, result.expires_at - mesh.now), self._expire, result)

    def _admitted(self) -> None:
        if self.queued.is_evicted:
            self.mesh.at(self.hop, self._refused, self._return_after())
        else:
            self.mesh.at(0.0, self._work)

    def _expire(self, queued) -> None:
        if self.upstream.limiter.cancel(queued):
            self.mesh.at(self.hop, self._refused, self._return_after())

    def _return_after(self) -> float:
        return self.upstream.limiter.retry_delay(self.wanted, self.mesh.now)

    def _work(self) -> None:
        self.slot_at = self.mesh.now
        rng = self.mesh.rng
        self.calls_left = []
        for kind, times, share in self.kind.calls:
            self.calls_left += [kind for _ in range(times) if rng.random() < share]
        # The application makes its calls between equal parts of its own work.
        self.work_part = (
            self.kind.duration(rng)
            / self.upstream.speed
            / self.mesh.pace(self.kind.service)
            / (len(self.calls_left) + 1)
        )
        self.mesh.at(self.work_part, self._continue)

    def _continue(self) -> None:
        if self.mesh.now >= self.deadline:
            self._end("failed")
        elif self.calls_left:
            kind = self.calls_left.pop()
            left = min(kind.deadline, self.deadline - self.mesh.now)
            Request(self.mesh, self.mesh.egress_daemons[self.upstream.name], kind, left, self._call_ended)
        else:
            self._end("ok")

    def _call_ended(self, outcome: str, retry_after: float) -> None:
        if outcome == "ok":
            self.mesh.at(self.work_part, self._continue)
        else:
            self._end("failed")

    def _end(self, outcome: str) -> None:
        mesh = self.mesh
        self.upstream.limiter.release(self.kind.traffic_class, mesh.now - self.slot_at, mesh.now, self.kind.name)
        load = self.upstream.limiter.in_use + self.upstream.limiter.waiting
        mesh.at(self.hop, self._answered, outcome, load)

    def _answered(self, outcome: str, load: int) -> None:
        now = self.mesh.now
        taken = now - self.started if outcome == "ok" else None
        balancer = self.daemon.balancer(self.kind.service)
        balancer.end(self.stats, False, now, load, taken, kind=self.kind.name)
        self.done(outcome, 0.0)

    def _refused(self, retry_after: float) -> None:
        limiter = self.upstream.limiter
        balancer = self.daemon.balancer(self.kind.service)
        balancer.end(self.stats, False, self.mesh.now, limiter.in_use + limiter.waiting)
        if len(self.tried) < (OVERLOADS_RETRIED if self.age else OVERLOADS) and self.mesh.now < self.deadline:
            self._try()
        else:
            self._refuse(retry_after)

    def _refuse(self, retry_after: float) -> None:
        self.done("refused", retry_after)


def make_request(request: Request) -> AdmissionRequest:
    """Return the admission request that a caller's daemon sends for a request."""
    left = request.kind.target - request.age / 1000
    target_time = min(request.started + max(0.0, left), request.deadline)
    return AdmissionRequest(request.deadline, target_time, request.kind.name)


def rates_at(load: float, short: str, pace: float) -> tuple[dict[str, int], dict[str, float]]:
    """Return upstream counts and request rates that load the service `short` to `load` times its capacity."""
    counts = {"front": 4, "shared": 4}
    speed = {name: pace * sum(SPEEDS[n % len(SPEEDS)] for n in range(count)) for name, count in counts.items()}
    calls = 1.4
    if short == "front":
        # A request holds its slot during its work and during its calls with their hops.
        held = LOOKUP.work / (speed["front"] / counts["front"]) + calls * (CHECK.work + 2 * FAR_HOP)
        lookups = load * counts["front"] * SLOTS / held
        return counts, {"lookup": lookups, "order": 0.25 * lookups}
    lookups = load * speed["shared"] * SLOTS / (calls * CHECK.work + 0.3 * ORDER.work)
    counts["front"] = math.ceil(1.5 * lookups * (LOOKUP.work + calls * 0.05) / SLOTS)
    return counts, {"lookup": lookups, "order": 0.3 * lookups}


def best_share(load: float) -> float:
    """Return the share of the possible credit that the short service's capacity allows."""
    return min(1.0, 1 / load)


def play(seed: int, short: str, load: float, cfg: argparse.Namespace) -> dict[str, float]:
    """Simulate one seed; return shares of requests by kind and outcome, and shares of the possible credit."""
    counts, rates = rates_at(load, short, cfg.pace)
    mesh = Mesh(seed, counts, rates, cfg.seconds, cfg.pace)
    mesh.fixed_return = cfg.fixed_return
    mesh.slow_service, mesh.slow_until = short, mesh.slow_from + cfg.slow_for
    mesh.run()
    figures: dict[str, float] = {}
    possible = earned = penalties = 0.0
    for kind in DIRECT:
        total = mesh.totals[kind.name]
        possible += kind.worth * total.asked
        earned += kind.worth * total.timely + kind.late * total.late
        penalties += RETRY_FAILURE_PENALTY * kind.worth * total.again
        for name in ("timely", "late", "refused", "again"):
            figures[f"{kind.name}.{name}"] = getattr(total, name) / total.asked
    figures["goodput"] = earned / possible
    figures["after prices"] = (earned - penalties) / possible
    return figures


def main() -> None:
    """Simulate all cases, and print the mean results."""
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--load", type=float, action="append", help="multiple of the short service's capacity")
    parser.add_argument("--short", choices=("front", "shared"), action="append")
    parser.add_argument("--seeds", type=int, default=2)
    parser.add_argument("--seconds", type=float, default=5.0)
    parser.add_argument("--pace", type=float, default=1.0, help="relative speed of all upstreams")
    parser.add_argument(
        "--slow-for", type=float, default=0.0, help="seconds during which the short service works at half its speed"
    )
    parser.add_argument(
        "--fixed-return", type=float, help="retry-after of every refusal in seconds, in place of the limiter's"
    )
    cfg = parser.parse_args()
    for short in cfg.short or ("front", "shared"):
        for load in cfg.load or (0.9, 1.2, 1.5, 2.0):
            runs = [play(seed, short, load, cfg) for seed in range(cfg.seeds)]
            means = {name: sum(run[name] for run in runs) / len(runs) for name in runs[0]}
            means["of the best"] = means["goodput"] / best_share(load)
            text = " ".join(f"{name}={value:.3f}" for name, value in means.items())
            print(f"short={short} load={load} {text}")


if __name__ == "__main__":
    main()
