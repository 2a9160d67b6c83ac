# SPDX-License-Identifier: BSD-3-Clause
"""Simulated control instances and daemons with quotas, in virtual time.

The ledgers and accounts are the production classes. Elections are those of the replicated log in short:
a replica supports no other leader for `Timing.election_min` after it heard one or voted, and a leader acts
for 0.9 of this after sending a heartbeat that a quorum answered.
"""

from collections import deque

from lanedock.consensus import Timing
from lanedock.quota import (
    ALONE_AFTER,
    ANSWER_TIMEOUT,
    SILENT_AFTER,
    CreditAccount,
    Exhausted,
    Quota,
    QuotaLedger,
    Taken,
)
from lanedock.quota.tests.network import Network, Process
from lanedock.wire import messages

__all__ = ["ControlInstance", "Daemon", "Fleet"]

CONTROL_TICK, ACCOUNT_TICK = 0.05, 0.05
# Seconds: for a request's credit; without asking an instance that did not answer.
CREDIT_TIMEOUT, AVOID_TIME = 0.6, 1.0
WINDOW = 5.0


class Heartbeat:
    __slots__ = ("sent_at", "term")

    def __init__(self, term: int, sent_at: float):
        self.term = term
        self.sent_at = sent_at


class HeartbeatAnswer(Heartbeat):
    __slots__ = ()


class ControlInstance(Process):
    """A control instance: a replica of the log, and the grants of credits."""

    ledger_class = QuotaLedger

    def __init__(self, name: str, zone: str, fleet: "Fleet"):
        super().__init__(name, zone, fleet.network)
        self.fleet = fleet
        # Kept on disk.
        self.term = 0

    def start(self) -> None:
        self.ledger = self.ledger_class(self.zone)
        self.ledger.set_zones(self.fleet.instances_by_zone(), self.now)
        self.ledger.configure(dict(self.fleet.quotas), self.now)
        self.supports_until = self.heard_leader_at = self.now
        self.timing = self.fleet.timing
        self.supports_until += self.timing.election_min
        self.leader = ""
        self.leads = False
        self.lease_until = 0.0
        # Times of the newest heartbeats that others answered, and of those answered or refused by their hosts.
        self.answered: dict[str, float] = {}
        self.heard: dict[str, float] = {}
        self.after(self.network.rng.uniform(0.0, self.timing.heartbeat), self._beat)
        self.after(CONTROL_TICK, self._tick)

    # ------------------------------------------------------------- the log

    def others(self) -> list[str]:
        return [name for name in self.fleet.controls if name != self.name]

    def _beat(self) -> None:
        if self.leads:
            for name in self.others():
                self.send(name, Heartbeat(self.term, self.now))
            if len(self.fleet.controls) == 1:
                self.lease_until = self.now + self._lease
            self.after(self.timing.heartbeat, self._beat)
        else:
            if self.now >= self.supports_until:
                self._stand()
            delay = self.network.rng.uniform(0.05, 0.4) * self.timing.election_min
            self.after(self.timing.heartbeat if self.leads else delay, self._beat)

    @property
    def _lease(self) -> float:
        return self.timing.election_min * self.timing.lease_fraction

    def _stand(self) -> None:
        """Begin to lead if a quorum supports it; the votes are taken in one moment."""
        voters = [self]
        for name in self.others():
            peer = self.fleet.controls[name]
            is_reachable = not {(self.name, name), (name, self.name)} & (self.network.cut | self.network.held.keys())
            if is_reachable and peer.is_up and not peer.is_paused and self.now >= peer.supports_until:
                voters.append(peer)
        if 2 * len(voters) <= len(self.fleet.controls):
            return
        term = max(voter.term for voter in voters) + 1
        for voter in voters:
            voter.term, voter.supports_until = term, self.now + self.timing.election_min
            voter.leads = False
        self.leads, self.leader = True, self.name
        self.lease_until = self.now + self._lease
        self.answered, self.heard = {}, {}

    def is_current_leader(self) -> bool:
        return self.leads and self.now < self.lease_until

    def receive(self, sender: str, message) -> None:
        if isinstance(message, HeartbeatAnswer):
            self._note_answer(sender, message)
        elif isinstance(message, Heartbeat):
            self._follow(sender, message)
        elif isinstance(message, messages.QuotaReport):
            self.update()
            self.ledger.apply_report(message, self.now)
        else:
            self._serve(sender, message)

    def _follow(self, sender: str, message: Heartbeat) -> None:
        if message.term < self.term:
            return
        self.term, self.leader, self.leads = message.term, sender, False
        self.heard_leader_at = self.now
        self.supports_until = self.now + self.timing.election_min
        self.update()
        self.send(sender, HeartbeatAnswer(message.term, message.sent_at))

    def note_refused(self, receiver: str, message) -> None:
        """Take an instance that has ended for one that hears this leader: it grants nothing."""
        if isinstance(message, Heartbeat) and self.is_up and self.leads and message.term == self.term:
            self.heard[receiver] = max(message.sent_at, self.heard.get(receiver, 0.0))

    def _note_answer(self, sender: str, message: HeartbeatAnswer) -> None:
        if not self.leads or message.term != self.term:
            return
        self.answered[sender] = max(message.sent_at, self.answered.get(sender, 0.0))
        self.heard[sender] = max(message.sent_at, self.heard.get(sender, 0.0))
        times = sorted([self.now, *self.answered.values()], reverse=True)
        quorum = len(self.fleet.controls) // 2 + 1
        if len(times) >= quorum:
            self.lease_until = max(self.lease_until, times[quorum - 1] + self._lease)

    # ---------------------------------------------------------- the quotas

    def update(self) -> None:
        """Lead, follow or grant alone, by what is known now."""
        if self.is_current_leader():
            self.ledger.lead(self.now)
            self.ledger.set_silent_instances(self._silent(), self.now)
            return
        # A leader without a lease hasn't heard the others, which may have another leader by now.
        heard_at = max(self.heard_leader_at, self.lease_until)
        if self.now < heard_at + ALONE_AFTER:
            self.ledger.follow(self.now)
        else:
            self.ledger.stand_alone(self.now)

    def _silent(self) -> dict[str, int]:
        silent: dict[str, int] = {}
        for name in self.others():
            if self.now >= self.heard.get(name, float("-inf")) + SILENT_AFTER:
                zone = self.fleet.controls[name].zone
                silent[zone] = silent.get(zone, 0) + 1
        return silent

    def _tick(self) -> None:
        self.update()
        if self.ledger.is_report_due(self.now):
            report = self.ledger.make_report(self.now)
            for name in self.others():
                self.send(name, report)
        self.after(CONTROL_TICK, self._tick)

    def _serve(self, sender: str, request: messages.CreditRequest) -> None:
        self.update()
        # Daemons of other zones must not go on asking an instance that grants its own part only.
        leader = "" if self.ledger.is_alone else self.leader
        reply = messages.CreditReply(number=request.number, leader_address=leader)
        if not self.ledger.is_granting:
            reply.code = "not granting"
        for need in request.needs if self.ledger.is_granting else ():
            self.ledger.give_back(need.customer, request.zone, need.returned, self.now)
            grant = self.ledger.grant(need.customer, request.zone, need.needed, need.ahead, self.now)
            retry_ms = -int(-1000 * grant.retry_after)
            reply.grants.add(customer=need.customer, credits=grant.credits, retry_after_ms=retry_ms)
        self.send(sender, reply)


class Request:
    """A request of a customer at a daemon."""

    __slots__ = ("began_at", "customer", "done_at", "retry_after", "was_admitted", "was_run")

    def __init__(self, customer: str, began_at: float):
        self.customer = customer
        self.began_at = began_at
        self.done_at = began_at
        self.was_admitted = False
        self.was_run = True
        self.retry_after: float | None = None


class Daemon(Process):
    """A daemon of an entry instance."""

    account_class = CreditAccount

    def __init__(self, name: str, zone: str, fleet: "Fleet"):
        super().__init__(name, zone, fleet.network)
        self.fleet = fleet

    def start(self) -> None:
        self.account = self.account_class()
        self.account.configure(dict(self.fleet.quotas))
        self.leader = ""
        self.number = 0
        self.asked: tuple[int, str] | None = None
        self.asked_at: dict[int, float] = {}
        self.waiting: deque[Request] = deque()
        self.avoided: dict[str, float] = {}
        self.after(self.network.rng.uniform(0.0, ACCOUNT_TICK), self._tick)

    @property
    def clock(self) -> float:
        """Time by which credits end, in seconds; it counts suspension."""
        return self.now

    def request(self, customer: str, may_run=True) -> None:
        """Admit a request, or let it wait for a credit, or refuse it."""
        if not self.is_up or self.is_paused:
            return
        request = Request(customer, self.now)
        request.was_run = may_run
        self.fleet.requests.append(request)
        if not self._decide(request):
            self.waiting.append(request)
        # Requests of the same moment share one message.
        self.after(0.0, self._flush)

    def _decide(self, request: Request) -> bool:
        """Return whether the request is decided; else it waits for the next answer."""
        result = self.account.take(request.customer, self.clock)
        request.done_at = self.now
        if isinstance(result, Taken):
            self._admit(request, result)
            return True
        if isinstance(result, Exhausted):
            request.retry_after = result.retry_after
            return True
        return self.now >= request.began_at + CREDIT_TIMEOUT

    def _admit(self, request: Request, taken: Taken) -> None:
        request.was_admitted = True
        if request.was_run:
            self.fleet.note_admitted(request.customer, self.now)
        else:
            delay = self.network.rng.uniform(0.0, 0.6)
            self.after(delay, lambda: self.account.give_back(request.customer, self.clock, taken))

    def _flush(self) -> None:
        """Send the needs unless an answer is awaited."""
        if self.asked is not None or not (self.waiting or self.account.has_needs):
            return
        needs = self.account.make_needs(self.clock)
        if needs:
            self._ask(needs)

    def _ask(self, needs: list) -> None:
        target = self._choose()
        self.number += 1
        self.asked, self.asked_at[self.number] = (self.number, target), self.clock
        self.send(target, messages.CreditRequest(number=self.number, zone=self.zone, needs=needs))
        self.after(ANSWER_TIMEOUT, self._give_up, self.number)

    def _choose(self) -> str:
        controls = self.fleet.controls
        local = [name for name in controls if controls[name].zone == self.zone]
        names = dict.fromkeys(([self.leader] if self.leader else []) + local + list(controls))
        return min(names, key=lambda name: max(0.0, self.avoided.get(name, 0.0) - self.now))

    def _give_up(self, number: int) -> None:
        if self.asked is not None and self.asked[0] == number:
            self._try_next(self.asked[1])

    def _try_next(self, target: str) -> None:
        self.avoided[target] = self.now + AVOID_TIME
        self.asked = None
        self._decide_waiting()

    def receive(self, sender: str, reply: messages.CreditReply) -> None:
        asked_at = self.asked_at.pop(reply.number, None)
        if asked_at is None:
            return  # to a request before the restart
        self.leader = reply.leader_address
        is_awaited = self.asked is not None and reply.number == self.asked[0]
        if reply.code:
            if is_awaited:
                self._try_next(sender)
            return
        if is_awaited:
            self.asked = None
        self.account.add_grants(list(reply.grants), self.clock, asked_at)
        self._decide_waiting()

    def _decide_waiting(self) -> None:
        waiting, self.waiting = self.waiting, deque()
        self.waiting.extend(request for request in waiting if not self._decide(request))
        self._flush()

    def _tick(self) -> None:
        if self.asked is None:
            needs = self.account.make_needs(self.clock) if not self.waiting else []
            if needs:
                self._ask(needs)
            self._flush()
        self.after(ACCOUNT_TICK, self._tick)


class Fleet:
    """Control instances and daemons by zone, and the requests that they admitted."""

    def __init__(
        self,
        controls: list[str],
        daemons: list[str],
        quotas: dict[str, Quota],
        seed: int,
        control_class=ControlInstance,
        daemon_class=Daemon,
        election_min=1.0,
    ):
        """Create processes; `controls` and `daemons` are the zones of each, `election_min` is in seconds."""
        self.network = Network(seed)
        self.timing = Timing.for_election(election_min)
        self.quotas = dict(quotas)
        # Times from which quotas were in force, and their values, by customer.
        self.history = {name: [(0.0, quota)] for name, quota in quotas.items()}
        self.admitted: dict[str, list[float]] = {name: [] for name in quotas}
        self.requests: list[Request] = []
        self.controls = {f"c{i}": control_class(f"c{i}", zone, self) for i, zone in enumerate(controls)}
        self.daemons = {f"d{i}": daemon_class(f"d{i}", zone, self) for i, zone in enumerate(daemons)}
        for process in self.network.processes.values():
            process.start()

    def instances_by_zone(self) -> dict[str, int]:
        zones = [control.zone for control in self.controls.values()]
        return {zone: zones.count(zone) for zone in zones}

    def leader(self) -> ControlInstance | None:
        """Return the instance that may act as the leader."""
        return next((item for item in self.controls.values() if item.is_up and item.is_current_leader()), None)

    def note_admitted(self, customer: str, now: float) -> None:
        self.admitted[customer].append(now)

    def run(self, seconds: float) -> None:
        """Advance the virtual time."""
        self.network.run(seconds)

    def press(self, customer: str, rates: dict[str, float], seconds: float) -> None:
        """Let daemons receive requests at these rates, at random times, while the virtual time advances."""
        for name, rate in rates.items():
            time = self.network.now
            while rate and (time := time + self.network.rng.expovariate(rate)) < self.network.now + seconds:
                self.network.at(time, self.daemons[name].request, customer)
        self.run(seconds)

    def worst_excess(self, customer: str, allowed) -> float:
        """Return by how much the admitted requests of any 5 s exceed what is allowed; negative if they never do.

        Parameters
        ----------
        customer : str
        allowed : callable
            Takes the start and the end of a window, in seconds; returns the allowed number.
        """
        times = self.admitted[customer]
        first, worst = 0, float("-inf")
        for number, time in enumerate(times):
            while times[first] <= time - WINDOW:
                first += 1
            worst = max(worst, number - first + 1 - allowed(time - WINDOW, time))
        return worst
