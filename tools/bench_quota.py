# SPDX-License-Identifier: BSD-3-Clause
"""Comparison of ways to enforce a customer's limit over all daemons, in virtual time.

Control instances, daemons, their network and its faults are simulated
(`lanedock.quota.tests.fleet`); equal seeds give equal results. The ways:

- ``leader``: `lanedock.quota`; the leader grants credits, and reserves the shares of silent zones;
- ``gossip``: each daemon has an equal share of the limit. Daemons tell random others what they and
  others use, and take the shares that others don't use;
- ``owners``: credits from the control instance that comes first by rendezvous hashing among
  those that answer; no instance leads.

Columns: the largest number of requests admitted in 5 s, relative to the allowed number
((rate x 5 + burst) x 1.1 + 20), and the used part of the rate, both at three times the limit; refused
requests per 1,000 at 0.9 of the limit in random arrivals, less those that one exact bucket would refuse;
messages sent per second and daemon at 0.9 of the limit. All are measured from the moment of the failure.

    python tools/bench_quota.py --out docs/measurements/quota.json
"""

import argparse
import hashlib
import json
from abc import ABC, abstractmethod
from pathlib import Path

from lanedock.quota import Quota, TokenBucket
from lanedock.quota.tests.fleet import WINDOW, ControlInstance, Daemon, Fleet, Request
from lanedock.quota.tests.network import Process
from lanedock.wire import messages

CUSTOMER = "x"
ZONES = ["a", "b", "c", "d"]
# Seconds before the failure, and measured after it.
SETTLE, MEASURE = 15.0, 15.0
# Gossip: seconds between rounds, receivers of each, and age in seconds from which a daemon's use isn't known.
GOSSIP_INTERVAL, GOSSIP_RECEIVERS, GOSSIP_AGE = 0.25, 3, 2.0
# Seconds without requests after which an owner takes its bucket for unknown.
OWNER_IDLE = 2.0


class Way(ABC):
    """Way to enforce a limit."""

    control_class: type = ControlInstance
    daemon_class: type = Daemon

    def make_fleet(self, quota: Quota, cfg, seed: int) -> Fleet:
        """Create the processes."""
        zones = [ZONES[number % len(ZONES)] for number in range(cfg.daemons)]
        quotas = {CUSTOMER: quota}
        return Fleet(ZONES, zones, quotas, seed, self.control_class, self.daemon_class, cfg.election)

    @abstractmethod
    def granter(self, fleet: Fleet) -> ControlInstance:
        """Return the control instance that grants at the moment, or any if daemons decide alone."""


class LeaderWay(Way):
    """Credits from the leader."""

    def granter(self, fleet: Fleet) -> ControlInstance:
        return fleet.leader()


# ------------------------------------------------------------------------ gossip


class Gossip:
    """Uses of daemons, in requests per second, with the times of their statements."""

    __slots__ = ("uses",)

    def __init__(self, uses: dict[str, tuple[float, float]]):
        self.uses = uses


class GossipDaemon(Daemon):
    """A daemon with a share of the limit."""

    def start(self) -> None:
        quota = self.fleet.quotas[CUSTOMER]
        self.peers = len([item for item in self.network.processes.values() if isinstance(item, GossipDaemon)])
        self.bucket = TokenBucket(0.0, 1.0, self.now)
        self.bucket.configure(quota.rate / self.peers, max(1.0, quota.burst / self.peers), self.now)
        self.demand, self.uses = 0, {}
        self.after(self.network.rng.uniform(0.0, GOSSIP_INTERVAL), self._tick)

    def request(self, customer: str, may_run=True) -> None:
        if not self.is_up or self.is_paused:
            return
        request = Request(customer, self.now)
        self.fleet.requests.append(request)
        self.demand += 1
        if self.bucket.available(self.now):
            self.bucket.take(1)
            request.was_admitted = True
            self.fleet.note_admitted(customer, self.now)

    def receive(self, sender: str, message: Gossip) -> None:
        for name, use in message.uses.items():
            if use[1] > self.uses.get(name, (0.0, -1.0))[1]:
                self.uses[name] = use

    def _tick(self) -> None:
        former = self.uses.get(self.name, (0.0, 0.0))[0]
        self.uses[self.name] = (0.7 * former + 0.3 * self.demand / GOSSIP_INTERVAL, self.now)
        self.demand = 0
        self._apply_share()
        names = sorted(self.fleet.daemons.keys() - {self.name})
        for name in self.network.rng.sample(names, min(GOSSIP_RECEIVERS, len(names))):
            self.send(name, Gossip(dict(self.uses)))
        self.after(GOSSIP_INTERVAL, self._tick)

    def _apply_share(self) -> None:
        """Take the equal share, and this daemon's part of the shares that others don't use."""
        quota = self.fleet.quotas[CUSTOMER]
        equal = quota.rate / self.peers
        known = [use for use, stated_at in self.uses.values() if stated_at > self.now - GOSSIP_AGE]
        left = quota.rate - equal * (self.peers - len(known))
        level = equal
        for number, use in enumerate(sorted(known)):
            level = left / (len(known) - number)
            if use >= level:
                break
            left -= use
        rate = max(equal, level)
        self.bucket.configure(rate, max(1.0, quota.burst * rate / quota.rate), self.now)


class GossipWay(Way):
    """Equal shares, and gossip of use."""

    daemon_class = GossipDaemon

    def granter(self, fleet: Fleet) -> ControlInstance:
        return fleet.controls["c0"]


# ------------------------------------------------------------------------ owners


def rank_owners(names: list[str]) -> list[str]:
    """Return control instances by their rendezvous hashes with the customer."""
    return sorted(names, key=lambda name: hashlib.blake2b(f"{name} {CUSTOMER}".encode()).digest())


class OwnerInstance(ControlInstance):
    """A control instance that grants to whoever asks."""

    def start(self) -> None:
        self.bucket: TokenBucket | None = None
        self.asked_at = self.now

    def receive(self, sender: str, message: messages.CreditRequest) -> None:
        quota = self.fleet.quotas[CUSTOMER]
        if self.bucket is None or self.now > self.asked_at + OWNER_IDLE:
            self.bucket = TokenBucket(quota.rate, quota.capacity(), self.now)
        self.asked_at = self.now
        reply = messages.CreditReply(number=message.number)
        for need in message.needs:
            self.bucket.put_back(need.returned, self.now)
            available = self.bucket.available(self.now)
            credits = min(available, need.needed + need.ahead)
            self.bucket.take(credits)
            wait = max(0.02, self.bucket.wait(self.now)) if credits < need.needed else 0.0
            reply.grants.add(customer=need.customer, credits=credits, retry_after_ms=int(1000 * wait))
        self.send(sender, reply)


class OwnerDaemon(Daemon):
    """A daemon that asks the first owner that answers."""

    def _choose(self) -> str:
        names = rank_owners(list(self.fleet.controls))
        return min(names, key=lambda name: max(0.0, self.avoided.get(name, 0.0) - self.now))


class OwnerWay(Way):
    """Credits from owners."""

    control_class, daemon_class = OwnerInstance, OwnerDaemon

    def granter(self, fleet: Fleet) -> ControlInstance:
        return fleet.controls[rank_owners(list(fleet.controls))[0]]


WAYS: dict[str, Way] = {"leader": LeaderWay(), "gossip": GossipWay(), "owners": OwnerWay()}


# ----------------------------------------------------------------------- failures


def _cut(fleet: Fleet, names: set[str], only: set[str] | None = None) -> None:
    links = fleet.network.links(names)
    fleet.network.cut |= {link for link in links if only is None or set(link) <= only}


def _cut_zone(fleet: Fleet, granter: Process) -> None:
    zone = next(zone for zone in ZONES if zone != granter.zone)
    _cut(fleet, {name for name, process in fleet.network.processes.items() if process.zone == zone})


def _cut_granters_zone(fleet: Fleet, granter: Process) -> None:
    _cut(fleet, {name for name, process in fleet.network.processes.items() if process.zone == granter.zone})


def _restart_daemons(fleet: Fleet, granter: Process) -> None:
    for number, daemon in enumerate(fleet.daemons.values()):
        if number % 4 == 0:
            daemon.restart()


def _end_machine(fleet: Fleet, granter: Process) -> None:
    granter.kill()
    _cut(fleet, {granter.name})


def _suspend_granter(fleet: Fleet, granter: Process) -> None:
    granter.pause()
    fleet.network.at(fleet.network.now + 3.0, granter.resume)


FAILURES = {
    "none": lambda fleet, granter: None,
    "granter's process ends": lambda fleet, granter: granter.kill(),
    "granter's machine ends": _end_machine,
    "granter cut off from control": lambda fleet, granter: _cut(fleet, {granter.name}, set(fleet.controls)),
    "granter suspended for 3 s": _suspend_granter,
    "granter's zone cut off": _cut_granters_zone,
    "another zone cut off": _cut_zone,
    "a quarter of daemons restart": _restart_daemons,
}


# -------------------------------------------------------------------- measurement


def _rates(fleet: Fleet, total: float) -> dict[str, float]:
    """Return uneven rates of daemons: the n-th brings 1/n of the first's."""
    weights = {name: 1 / (number + 1) for number, name in enumerate(fleet.daemons)}
    return {name: total * weight / sum(weights.values()) for name, weight in weights.items()}


def _exact_refusals(requests: list[Request], quota: Quota, since: float) -> int:
    """Return how many requests begun since a time one bucket for all daemons would refuse."""
    bucket, refused = TokenBucket(quota.rate, quota.capacity(), 0.0), 0
    for request in sorted(requests, key=lambda request: request.began_at):
        if bucket.available(request.began_at):
            bucket.take(1)
        elif request.began_at >= since:
            refused += 1
    return refused


class Run:
    """One run of a way with a failure, at a multiple of the limit."""

    __slots__ = ("began_at", "fleet", "messages", "quota")

    def __init__(self, way: Way, failure: str, cfg, seed: int, times: float):
        self.quota = Quota(cfg.rate, cfg.burst)
        self.fleet = way.make_fleet(self.quota, cfg, seed)
        rates = _rates(self.fleet, times * self.quota.rate)
        self.fleet.run(5.0)
        self.fleet.press(CUSTOMER, rates, SETTLE)
        self.began_at = self.fleet.network.now
        sent = self.fleet.network.sent.total()
        FAILURES[failure](self.fleet, way.granter(self.fleet))
        self.fleet.press(CUSTOMER, rates, MEASURE)
        self.messages = (self.fleet.network.sent.total() - sent) / MEASURE / cfg.daemons
        self.fleet.run(1.0)

    def worst(self) -> float:
        """Return the largest number of admitted requests in a window, relative to the allowed number."""
        allowed = self.quota.admitted(WINDOW) * 1.1 + 20
        return (self.fleet.worst_excess(CUSTOMER, lambda start, end: allowed) + allowed) / allowed

    def used(self) -> float:
        """Return the used part of the rate since the failure."""
        admitted = sum(time >= self.began_at for time in self.fleet.admitted[CUSTOMER])
        return admitted / MEASURE / self.quota.rate

    def refused(self) -> float:
        """Return the requests refused wrongly since the failure, per 1,000."""
        since = [request for request in self.fleet.requests if request.began_at >= self.began_at]
        refused = sum(not request.was_admitted for request in since)
        wrongly = refused - _exact_refusals(self.fleet.requests, self.quota, self.began_at)
        return 1000 * max(0, wrongly) / len(since)


def play(way: Way, failure: str, cfg) -> dict[str, float]:
    """Run all seeds; return the means, and the greatest of the worst windows."""
    high = [Run(way, failure, cfg, seed, 3.0) for seed in range(cfg.seeds)]
    low = [Run(way, failure, cfg, seed, 0.9) for seed in range(cfg.seeds)]
    return {
        "worst": round(max(run.worst() for run in high), 3),
        "used": round(sum(run.used() for run in high) / cfg.seeds, 3),
        "refused": round(sum(run.refused() for run in low) / cfg.seeds, 1),
        "messages": round(sum(run.messages for run in low) / cfg.seeds, 2),
    }


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--daemons", type=int, default=79)
    parser.add_argument("--rate", type=float, default=138.0, help="requests per second")
    parser.add_argument("--burst", type=float, default=138.0)
    parser.add_argument("--election", type=float, default=0.3, help="minimum election timeout, in seconds")
    parser.add_argument("--out", type=Path, help="file for the results as JSON")
    cfg = parser.parse_args()
    results: dict[str, dict] = {}
    print(f"{'failure':<30} {'way':<7} {'worst':>6} {'used':>6} {'refused':>8} {'messages':>9}")
    for failure in FAILURES:
        results[failure] = {}
        for name, way in WAYS.items():
            row = results[failure][name] = play(way, failure, cfg)
            figures = f"{row['worst']:6.2f} {row['used']:6.2f} {row['refused']:8.1f} {row['messages']:9.2f}"
            print(f"{failure:<30} {name:<7} {figures}", flush=True)
    if cfg.out is not None:
        options = {key: value for key, value in vars(cfg).items() if key != "out"}
        cfg.out.write_text(json.dumps({"options": options, "results": results}, indent=2) + "\n", encoding="utf-8")


if __name__ == "__main__":
    main()
