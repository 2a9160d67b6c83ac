# SPDX-License-Identifier: BSD-3-Clause
"""Choice of an upstream where paces and demand change quickly, with the production decision code in virtual time.

One service has upstreams in four zones. Their paces differ for good, and at any time some of them
are slower for a moment. The demand of each zone swings, each zone at its own time. Every upstream's
daemon also sends requests of callers in its zone. `Balancer` with `PowerOfTwoChoice` or `ProbedChoice`
and `SlotLimiter` are the production classes; hops, probes and slots are events of a virtual clock,
so processor time has no influence and equal seeds give equal results.

    python tools/bench_load_choice.py --upstreams 14 --load 0.9 --seeds 2
    python tools/bench_load_choice.py --out docs/measurements/load-choice.json

Results: `timely`, the share of requests that are answered by their target; `p99`, seconds until the
answer; `datagrams` and `far_bytes`, load probes' datagrams and bytes between zones for each request;
`busiest`, the largest share of all requests that one upstream gets in any 0.1 s.
"""

import argparse
import heapq
import itertools
import json
import math
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from random import Random

from lanedock.config import TrafficClass
from lanedock.limits import AdmissionRequest, Refused, SlotLimiter
from lanedock.routing import Balancer, BalancerPolicy, PowerOfTwoChoice
from lanedock.wire import messages

ZONES = ("a", "b", "c", "d")
CLASSES = {"read": TrafficClass("read", 0.0, 1)}
# One-way latency within a zone and between zones, in seconds.
HOP, FAR_HOP = 0.0005, 0.0049
# Mean work of a request, its target and its deadline, in seconds, and the coefficient of variation.
WORK, TARGET, DEADLINE, SPREAD = 0.248, 1.166, 2.915, 0.5
# Upstreams that are slower for a moment: their share, by how much, and for how long, in seconds.
SLOW_SHARE, SLOWNESS, SPELL = 0.15, 2.5, 0.6
# Demand of a zone, relative to its mean, and the time of a swing in seconds.
SWING, SWING_TIME = 0.55, 17.0
# Refusals after which a caller's daemon gives up a request.
MAX_REFUSALS = 2
# Seconds for which a stated pace applies.
PACE_EXPIRY = 2.0
# Bytes on the wire: of a request and its answer with their headers, of a probe, of its reply (with IP and UDP headers).
EXCHANGE_BYTES, PROBE_BYTES, REPLY_BYTES = 1500, 34, 58
# Seconds of a window in which the requests of each upstream are counted, and between two windows.
WINDOW, WINDOW_STEP = 0.1, 0.02
# Time constant, in seconds, with which a pace that an answer stated loses its effect at callers.
PACE_AGE = 0.6
WARM_UP = 2.0


class Case:
    """Number of upstreams and slots, the permanent paces, whether paces switch, and the load."""

    def __init__(self, upstreams: int, slots: int, paces: tuple, has_spells: bool, load: float):
        self.upstreams, self.slots, self.paces = upstreams, slots, paces
        self.has_spells, self.load = has_spells, load

    def describe(self) -> dict:
        """Return the case as fields of a result."""
        return {"upstreams": self.upstreams, "slots": self.slots, "spells": self.has_spells, "load": self.load}


class PaceChoice(PowerOfTwoChoice):
    """Power of two choices with the pace that upstreams state in their answers in place of measured slowness."""

    def __init__(self, *parts):
        super().__init__(*parts)
        self.paces: dict[str, tuple[float, float]] = {}

    def score(self, stats, slots: int, now: float) -> float:
        """Return the load score, with the stated pace."""
        pace, stated_at = self.paces.get(stats.endpoint.instance, (1.0, 0.0))
        stats.slowness = pace ** (math.exp((stated_at - now) / PACE_AGE))
        return super().score(stats, slots, now)


class Upstream:
    """An upstream with its daemon's limiter and its pace, which changes every `SPELL` seconds."""

    def __init__(self, number: int, case: Case, mode: str, seed: int, rng: Random):
        self.name, self.zone = f"u{number}", ZONES[number % len(ZONES)]
        self.usual_pace = case.paces[(number // len(ZONES)) % len(case.paces)]
        self.limiter = SlotLimiter(case.slots, 2 * case.slots, CLASSES, rng)
        self.endpoint = messages.Endpoint(
            instance=self.name, zone=self.zone, incarnation=1, host="h", port=1, slots=case.slots, upstream=self.name
        )
        self._has_spells = case.has_spells
        self._states_pace = mode != "statistics"
        self._spells = Random(1000 * seed + number)
        self._paces: list[float] = []
        self._stated, self._stated_at = None, 0.0

    def pace(self, spell: int) -> float:
        """Return the pace in the spell of that number."""
        while len(self._paces) <= spell:
            is_slow = self._has_spells and self._spells.random() < SLOW_SHARE
            self._paces.append(self.usual_pace * (SLOWNESS if is_slow else 1.0))
        return self._paces[spell]

    def end_of(self, work: float, now: float) -> float:
        """Return the time at which work that begins now ends."""
        spell = int(now / SPELL)
        while True:
            left = (spell + 1) * SPELL - now
            pace = self.pace(spell)
            if work * pace <= left:
                return now + work * pace
            work -= left / pace
            now, spell = (spell + 1) * SPELL, spell + 1

    def state_pace(self, now: float) -> None:
        """Take the pace that the application states in an answer now."""
        self._stated, self._stated_at = self.pace(int(now / SPELL)), now

    def known_pace(self, now: float) -> float | None:
        """Return the pace that the daemon knows; None if the application stated none lately."""
        return self._stated if self._states_pace and now - self._stated_at <= PACE_EXPIRY else None

    def reply(self, number: int, now: float) -> messages.LoadReply:
        """Return the reply to a load probe."""
        limiter = self.limiter
        limiter.pace.state(self.known_pace(now))
        return messages.LoadReply(
            number=number,
            upstream=self.name,
            in_use=limiter.in_use,
            waiting=limiter.waiting,
            slots=limiter.slots,
            pace_percent=round(100 * limiter.pace.factor),
            service_ms=round(1000 * limiter.usual_service_time(now)),
        )


class Mesh:
    """All upstreams, and the callers' daemons beside them."""

    def __init__(self, case: Case, mode: str, policy: BalancerPolicy, seed: int, seconds: float):
        self.rng = Random(seed)
        # All ways of choosing get the same requests.
        self.demand = Random(seed + 1_000_000)
        self.case, self.mode, self.seconds = case, mode, seconds
        self.now = 0.0
        self._events: list = []
        self._order = itertools.count()
        self.upstreams = {
            up.name: up for up in (Upstream(n, case, mode, seed, self.rng) for n in range(case.upstreams))
        }
        self.daemons = [Daemon(self, up.zone, policy) for up in self.upstreams.values()]
        self.asked = self.timely = self.far = 0
        self.datagrams = self.far_bytes = 0
        self.times: list[float] = []
        self.arrivals: list[tuple[float, str]] = []
        spell_speed = 1 - SLOW_SHARE + SLOW_SHARE / SLOWNESS if case.has_spells else 1.0
        self.capacity = sum(case.slots * spell_speed / (WORK * up.usual_pace) for up in self.upstreams.values())

    def at(self, delay: float, call, *arguments) -> None:
        """Schedule a call `delay` seconds from now."""
        heapq.heappush(self._events, (self.now + delay, next(self._order), call, arguments))

    def run(self) -> None:
        """Simulate until all requests have ended."""
        for number, zone in enumerate(ZONES):
            daemons = [daemon for daemon in self.daemons if daemon.zone == zone]
            mean = self.case.load * self.capacity * len(daemons) / len(self.daemons)
            self.at(0.0, self._arrive, daemons, mean, 2 * math.pi * number / len(ZONES), False)
        while self._events:
            self.now, _, call, arguments = heapq.heappop(self._events)
            call(*arguments)

    def _arrive(self, daemons: list, mean: float, phase: float, is_request: bool) -> None:
        """Send a request of a zone with the rate of the moment, by thinning of the largest rate."""
        if self.now < self.seconds:
            largest = mean * (1 + SWING)
            rate = mean * (1 + SWING * math.sin(2 * math.pi * self.now / SWING_TIME + phase))
            self.at(self.demand.expovariate(largest), self._arrive, daemons, mean, phase, True)
            if is_request and self.demand.random() < rate / largest:
                Request(self, self.demand.choice(daemons))

    def hop(self, first: str, second: str) -> float:
        """Return the one-way latency between two zones, in seconds."""
        return HOP if first == second else FAR_HOP

    def count_bytes(self, first: str, second: str, size: int) -> None:
        """Count bytes that are sent from one zone to another."""
        if first != second:
            self.far_bytes += size


class Daemon:
    """A caller's daemon."""

    def __init__(self, mesh: Mesh, zone: str, policy: BalancerPolicy):
        self.zone = zone
        self.numbers = itertools.count(1)
        self.balancer = Balancer(zone, mesh.rng, policy)
        endpoints = []
        for up in mesh.upstreams.values():
            endpoint = messages.Endpoint()
            endpoint.CopyFrom(up.endpoint)
            endpoint.load_port = 9 if mesh.mode == "probes" else 0
            endpoints.append(endpoint)
        self.balancer.set_endpoints(endpoints, 0.0)
        self.pace_choice = None
        if mesh.mode == "pace":
            balancer = self.balancer
            self.pace_choice = balancer._choice = PaceChoice(mesh.rng, policy, balancer._times)


class Request:
    """One request at a caller's daemon, with its probes and its attempts at upstreams."""

    def __init__(self, mesh: Mesh, daemon: Daemon):
        self.mesh, self.daemon = mesh, daemon
        self.first_at = mesh.now
        self.tried: set[str] = set()
        sigma = math.sqrt(math.log(1 + SPREAD**2))
        self.work = min(6 * WORK, mesh.demand.lognormvariate(math.log(WORK) - sigma**2 / 2, sigma))
        self.is_counted = mesh.now > WARM_UP
        if self.is_counted:
            mesh.asked += 1
        self._prepare()

    # ------------------------------------------------------------------ probes

    def _prepare(self) -> None:
        if self.daemon.balancer.probed_choice is None:
            self._try()
            return
        excluded = frozenset(self.tried)
        self._probe(self.daemon.balancer.plan_probes(self.mesh.now, excluded), self._prepare_zones)

    def _prepare_zones(self) -> None:
        excluded, target = frozenset(self.tried), self.first_at + TARGET
        plan = self.daemon.balancer.plan_zone_probes(self.mesh.now, excluded, target_time=target)
        self._probe(plan, self._try)

    def _probe(self, plan, then) -> None:
        """Send the probes of a plan, and go on when all replies have come or the wait is over."""
        mesh, choice = self.mesh, self.daemon.balancer.probed_choice
        wait = 0.0
        for stats in plan.targets:
            zone, number = stats.endpoint.zone, next(self.daemon.numbers)
            choice.note_probe(stats, number, mesh.now)
            hop = mesh.hop(self.daemon.zone, zone)
            if self.is_counted:
                mesh.datagrams += 2
                mesh.count_bytes(self.daemon.zone, zone, PROBE_BYTES + REPLY_BYTES)
            mesh.at(hop, self._receive_probe, stats, number, hop, mesh.now)
            wait = max(wait, min(2 * hop, choice.wait_limit({zone})))
        if plan.awaited:
            wait = max(wait, 2 * HOP)
        # The replies of this moment come before the choice.
        mesh.at(wait + 1e-9, then) if wait else then()

    def _receive_probe(self, stats, number: int, hop: float, sent_at: float) -> None:
        reply = self.mesh.upstreams[stats.endpoint.instance].reply(number, self.mesh.now)
        self.mesh.at(hop, self._receive_reply, stats, reply, sent_at)

    def _receive_reply(self, stats, reply, sent_at: float) -> None:
        now = self.mesh.now
        self.daemon.balancer.probed_choice.note_reply(stats, reply, now - sent_at, now)

    # ---------------------------------------------------------------- attempts

    def _try(self) -> None:
        mesh = self.mesh
        balancer = self.daemon.balancer
        excluded = frozenset(self.tried)
        self.stats = balancer.choose(mesh.case.slots, mesh.now, excluded, target_time=self.first_at + TARGET)
        if self.stats is None:
            return
        self.tried.add(self.stats.endpoint.instance)
        self.upstream = mesh.upstreams[self.stats.endpoint.instance]
        self.started = mesh.now
        balancer.begin(self.stats, mesh.now)
        self.hop = mesh.hop(self.daemon.zone, self.upstream.zone)
        if self.is_counted:
            mesh.far += self.daemon.zone != self.upstream.zone
            mesh.count_bytes(self.daemon.zone, self.upstream.zone, EXCHANGE_BYTES)
            mesh.arrivals.append((mesh.now, self.upstream.name))
        mesh.at(self.hop, self._arrive_at_upstream)

    def _arrive_at_upstream(self) -> None:
        mesh = self.mesh
        limiter = self.upstream.limiter
        limiter.pace.state(self.upstream.known_pace(mesh.now))
        self.wanted = AdmissionRequest(self.first_at + DEADLINE, self.first_at + TARGET, "read")
        result = limiter.acquire("read", self.wanted, mesh.now, self._admitted)
        if result is None:
            self._work()
        elif isinstance(result, Refused):
            mesh.at(self.hop, self._refused)
        else:
            self.queued = result
            mesh.at(max(0.0, result.expires_at - mesh.now), self._expire)

    def _admitted(self) -> None:
        if self.queued.is_evicted:
            self.mesh.at(self.hop, self._refused)
        else:
            self.mesh.at(0.0, self._work)

    def _expire(self) -> None:
        if self.upstream.limiter.cancel(self.queued):
            self.mesh.at(self.hop, self._refused)

    def _work(self) -> None:
        mesh = self.mesh
        self.slot_at = mesh.now
        mesh.at(self.upstream.end_of(self.work, mesh.now) - mesh.now, self._end)

    def _end(self) -> None:
        mesh, up = self.mesh, self.upstream
        up.state_pace(mesh.now)
        up.limiter.pace.state(up.known_pace(mesh.now))
        up.limiter.release("read", mesh.now - self.slot_at, mesh.now, "read")
        mesh.at(self.hop, self._answered, up.limiter.in_use + up.limiter.waiting, up.known_pace(mesh.now))

    def _answered(self, load: int, pace: float | None) -> None:
        mesh, now = self.mesh, self.mesh.now
        self.daemon.balancer.end(self.stats, False, now, load, now - self.started, kind="read")
        if self.daemon.pace_choice is not None:
            self.daemon.pace_choice.paces[self.upstream.name] = (pace, now)
        if self.is_counted:
            mesh.timely += now - self.first_at <= TARGET
            mesh.times.append(now - self.first_at)

    def _refused(self) -> None:
        limiter = self.upstream.limiter
        self.daemon.balancer.end(self.stats, False, self.mesh.now, limiter.in_use + limiter.waiting)
        if len(self.tried) < MAX_REFUSALS:
            self._prepare()


def find_busiest(arrivals: list[tuple[float, str]], seconds: float) -> float:
    """Return the largest share of the requests of a window of `WINDOW` seconds that one upstream got."""
    busiest, first, last = 0.0, 0, 0
    counts: dict[str, int] = {}
    for step in range(int(WARM_UP / WINDOW_STEP), int((seconds - WINDOW) / WINDOW_STEP)):
        begin = step * WINDOW_STEP
        while last < len(arrivals) and arrivals[last][0] < begin + WINDOW:
            counts[arrivals[last][1]] = counts.get(arrivals[last][1], 0) + 1
            last += 1
        while first < last and arrivals[first][0] < begin:
            counts[arrivals[first][1]] -= 1
            first += 1
        if last > first:
            busiest = max(busiest, max(counts.values()) / (last - first))
    return busiest


def play(case: Case, name: str, mode: str, options: dict, seed: int, seconds: float) -> dict:
    """Simulate one case with one way of choosing; return the figures."""
    mesh = Mesh(case, mode, BalancerPolicy(**options), seed, seconds)
    mesh.run()
    times = sorted(mesh.times)
    return {
        **case.describe(),
        "way": name,
        "seed": seed,
        "asked": mesh.asked,
        "timely": mesh.timely / mesh.asked,
        "p99": times[int(0.99 * len(times))],
        "mean": sum(times) / len(times),
        "datagrams": mesh.datagrams / mesh.asked,
        "far": mesh.far / mesh.asked,
        "far_bytes": mesh.far_bytes / mesh.asked,
        "busiest": find_busiest(mesh.arrivals, seconds),
    }


def make_ways() -> list[tuple[str, str, dict]]:
    """Return the ways of choosing, with their names."""
    ways = [("statistics", "statistics", {}), ("pace on answers", "pace", {})]
    ways += [(f"{count} probes", "probes", {"probes": count}) for count in (2, 3, 4)]
    return ways


def make_cases(cfg: argparse.Namespace) -> list[Case]:
    """Return the cases that the options select."""
    cases = []
    for slots, paces, has_spells in ((7, (0.6, 1.0, 1.4), True), (3, (0.5, 1.0, 1.0, 1.5), False)):
        if cfg.slots and slots not in cfg.slots:
            continue
        for upstreams in cfg.upstreams or (14, 90, 190):
            cases += [Case(upstreams, slots, paces, has_spells, load) for load in cfg.load or (0.7, 0.9, 1.1)]
    return cases


def average(runs: list[dict]) -> dict:
    """Return the means of the figures over seeds; of `busiest`, the largest."""
    mean = dict(runs[0])
    for name in ("timely", "p99", "mean", "datagrams", "far", "far_bytes"):
        mean[name] = round(sum(run[name] for run in runs) / len(runs), 4)
    mean["busiest"] = round(max(run["busiest"] for run in runs), 4)
    mean["asked"] = sum(run["asked"] for run in runs)
    del mean["seed"]
    return mean | {"seeds": len(runs)}


def main() -> None:
    """Simulate all cases with all ways, and print or write the means over the seeds."""
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--upstreams", type=int, action="append")
    parser.add_argument("--slots", type=int, action="append", choices=(3, 7))
    parser.add_argument("--load", type=float, action="append", help="multiple of all upstreams' capacity")
    parser.add_argument("--way", action="append", help="only the ways of these names")
    parser.add_argument("--policy", type=json.loads, default={}, help="settings of the balancer, as JSON")
    parser.add_argument("--seeds", type=int, default=2)
    parser.add_argument("--seconds", type=float, default=SWING_TIME + WARM_UP)
    parser.add_argument("--jobs", type=int, default=3)
    parser.add_argument("--out", type=Path)
    cfg = parser.parse_args()
    ways = [way for way in make_ways() if not cfg.way or way[0] in cfg.way]
    results = []
    with ProcessPoolExecutor(cfg.jobs) as pool:
        tasks = []
        for case in make_cases(cfg):
            for name, mode, options in ways:
                merged = {**cfg.policy, **options}
                runs = [pool.submit(play, case, name, mode, merged, seed, cfg.seconds) for seed in range(cfg.seeds)]
                tasks.append(runs)
        for runs in tasks:
            results.append(average([run.result() for run in runs]))
            print(" ".join(f"{name}={value}" for name, value in results[-1].items()), flush=True)
    if cfg.out is not None:
        cfg.out.write_text(json.dumps(results, indent=1) + "\n", encoding="utf-8")


if __name__ == "__main__":
    main()
