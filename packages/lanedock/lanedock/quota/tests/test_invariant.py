# SPDX-License-Identifier: BSD-3-Clause
"""The bound on admitted requests holds under faults and changes, and the test finds mistakes that break it."""

import itertools

import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule, run_state_machine_as_test

from lanedock.quota import CreditAccount, Quota, QuotaLedger, ledger
from lanedock.quota.tests.fleet import ControlInstance, Daemon, Fleet

# A rate beside which the burst is small, a burst beside which the rate is small, and a small customer.
QUOTAS = {"steady": Quota(120, 30), "bursty": Quota(40, 300), "small": Quota(5, 5)}
CHANGED = {"steady": [Quota(60, 15), Quota(200, 200)], "bursty": [Quota(40, 40), Quota(60, 450)], "small": []}
ZONES = ["a", "b", "c", "d"]
# Two control instances in one zone; a zone without; one in each.
CONTROLS = [["a", "b", "c"], ["a", "a", "b", "c"], ["a", "b", "c", "d"]]
DAEMONS = ["a", "a", "b", "b", "c", "d"]
WINDOW = 5.0
# Seconds after a change for which a window may still be judged by the former limit: a quota that was
# removed is granted from for 5 s, credits at hand end within 0.4 s, and a window is 5 s long.
GRACE = 5.5
# Seconds in which a leader is elected and the buckets fill.
FILL_TIME = 10.0

zones = st.sampled_from(ZONES)
customers = st.sampled_from(sorted(QUOTAS))
large_customers = st.sampled_from(["bursty", "steady"])
# Directions of a link that are cut: outgoing, incoming.
directions = st.sampled_from([(True, True), (True, False), (False, True)])
seconds = st.sampled_from([0.05, 0.3, 0.7, 1.0, 2.0, 4.0])


class FleetMachine(RuleBasedStateMachine):
    """Load, faults and changes of limits in any order."""

    control_class, daemon_class = ControlInstance, Daemon

    @initialize(controls=st.sampled_from(CONTROLS), seed=st.integers(0, 1000), election_min=st.sampled_from([0.3, 1.0]))
    def begin(self, controls, seed, election_min):
        self.fleet = Fleet(controls, DAEMONS, QUOTAS, seed, self.control_class, self.daemon_class, election_min)
        self.limits = {name: [(0.0, quota)] for name, quota in QUOTAS.items()}
        self.fleet.run(FILL_TIME)

    # ------------------------------------------------------------------- load

    def _begin(self, is_recovered):
        """Let a fault occur in a fleet without others, or beside those that there are."""
        if is_recovered:
            self.recover()

    def _press(self, customer, times, seconds, zone=""):
        names = [name for name, daemon in self.fleet.daemons.items() if zone in ("", daemon.zone)]
        rate = times * QUOTAS[customer].rate / len(names)
        self.fleet.press(customer, dict.fromkeys(names, rate), seconds)

    def _burst(self, customer, requests=900, share=0.0):
        daemons = itertools.cycle(self.fleet.daemons.values())
        for _, daemon in zip(range(requests), daemons, strict=False):
            daemon.request(customer, may_run=self.fleet.network.rng.random() >= share)

    @rule(customer=customers, zone=st.sampled_from(["", *ZONES]), times=st.sampled_from([0.5, 3.0]), seconds=seconds)
    def press(self, customer, zone, times, seconds):
        """Let the daemons of a zone, or of all zones, bring a multiple of the limit."""
        self._press(customer, times, seconds, zone)

    @rule(customer=customers, requests=st.sampled_from([30, 600]), share=st.sampled_from([0.0, 0.5]))
    def burst(self, customer, requests, share):
        """Send requests at one moment to all daemons; some end not run."""
        self._burst(customer, requests, share)
        self.fleet.run(0.01)

    @rule(seconds=seconds)
    def advance(self, seconds):
        self.fleet.run(seconds)

    # ----------------------------------------------------------------- faults

    def _cut(self, names, outgoing, incoming, only_controls=False):
        links = self.fleet.network.links(names, outgoing, incoming)
        self.fleet.network.cut |= {
            link for link in links if not only_controls or set(link) <= self.fleet.controls.keys()
        }

    @rule(
        zone=zones,
        customer=large_customers,
        directions=directions,
        has_use=st.booleans(),
        is_recovered=st.booleans(),
    )
    def cut_zone(self, zone, customer, directions, has_use, is_recovered):
        """Cut a zone off that has most of the use, or a usual part of it, while all zones go on."""
        self._begin(is_recovered)
        if has_use:
            self._press(customer, 1.2, 11.0, zone)
        processes = self.fleet.network.processes
        self._cut({name for name, process in processes.items() if process.zone == zone}, *directions)
        self._press(customer, 3.0, 7.0)

    @rule(number=st.integers(0, 3), customer=large_customers, directions=directions, is_recovered=st.booleans())
    def cut_control_instance(self, number, customer, directions, is_recovered):
        """Cut a control instance off from the others; daemons still reach it."""
        self._begin(is_recovered)
        self._cut({f"c{number % len(self.fleet.controls)}"}, *directions, only_controls=True)
        self._press(customer, 3.0, 4.0)

    @rule(
        customer=large_customers,
        way=st.sampled_from(["cut", "kill", "restart", "suspend"]),
        seconds=st.sampled_from([1.8, 3.0]),
        is_recovered=st.booleans(),
    )
    def change_leader(self, customer, way, seconds, is_recovered):
        """Use a burst up, end the leader, and send another burst to the next one."""
        self._begin(is_recovered)
        leader = self.fleet.leader()
        if leader is None:
            return
        self._burst(customer)
        self.fleet.run(0.3)
        if way == "cut":
            self._cut({leader.name}, True, True, only_controls=True)
        elif way == "kill":
            leader.kill()
        elif way == "restart":
            leader.restart()
        else:
            leader.pause()
        self._press(customer, 0.2, seconds)
        leader.resume()
        self._burst(customer)
        self._press(customer, 2.0, 2.0)

    @rule(customer=large_customers, seconds=st.sampled_from([0.3, 0.7, 1.2]), is_recovered=st.booleans())
    def suspend_leader(self, customer, seconds, is_recovered):
        """Suspend the leader for about as long as its lease, or as others wait for it."""
        self._begin(is_recovered)
        leader = self.fleet.leader()
        if leader is None:
            return
        leader.pause()
        self._press(customer, 3.0, seconds)
        leader.resume()

    @rule(
        customer=large_customers,
        delay=st.sampled_from([0.0005, 0.002]),
        seconds=st.sampled_from([0.3, 1.0, 10.0]),
        is_recovered=st.booleans(),
    )
    def suspend_daemons_with_credits(self, customer, delay, seconds, is_recovered):
        """Suspend all daemons while the answers to a burst are on their way within a zone, or between zones."""
        self._begin(is_recovered)
        self._burst(customer)
        self.fleet.run(delay)
        for daemon in self.fleet.daemons.values():
            daemon.pause()
        self.fleet.run(seconds)
        for daemon in self.fleet.daemons.values():
            daemon.resume()
        self._burst(customer)
        self._press(customer, 2.0, 4.0)

    @rule(customer=large_customers, seconds=st.sampled_from([0.3, 0.5, 3.0, 10.0]), is_recovered=st.booleans())
    def hold_answers(self, customer, seconds, is_recovered):
        """Deliver the answers to a burst late."""
        self._begin(is_recovered)
        network = self.fleet.network
        network.hold(network.links(set(self.fleet.daemons), outgoing=False))
        self._burst(customer)
        self._press(customer, 0.5, seconds)
        network.release()
        self._burst(customer)
        self._press(customer, 2.0, 4.0)

    @rule(loss=st.sampled_from([0.0, 0.05, 0.3]), late=st.sampled_from([0.0, 0.1]))
    def disturb(self, loss, late):
        self.fleet.network.loss, self.fleet.network.late = loss, late

    @rule(number=st.integers(0, 3), seconds=st.sampled_from([0.0, 0.5, 2.0]))
    def restart_control_instance(self, number, seconds):
        process = self.fleet.controls[f"c{number % len(self.fleet.controls)}"]
        process.kill()
        self.fleet.run(seconds)
        process.restart()

    @rule(number=st.integers(0, 3))
    def kill_control_instance(self, number):
        self.fleet.controls[f"c{number % len(self.fleet.controls)}"].kill()

    @rule(number=st.integers(0, 5), is_paused=st.booleans())
    def suspend_or_resume_daemon(self, number, is_paused):
        daemon = self.fleet.daemons[f"d{number}"]
        if is_paused:
            daemon.pause()
        else:
            daemon.resume()

    @rule(number=st.integers(0, 5))
    def restart_daemon(self, number):
        self.fleet.daemons[f"d{number}"].restart()

    @rule()
    def heal(self):
        """End the faults of the network."""
        self.fleet.network.heal()
        self.fleet.run(0.3)

    @rule()
    def recover(self):
        """End all faults, and wait for a leader."""
        self.fleet.network.heal()
        for process in self.fleet.network.processes.values():
            process.resume()
            if not process.is_up:
                process.restart()
        self.fleet.run(FILL_TIME)

    # ---------------------------------------------------------------- changes

    @rule(customer=st.sampled_from(["steady", "bursty"]), number=st.sampled_from([-1, 0, 1]))
    def change_limit(self, customer, number):
        """Put another limit in force everywhere, or remove the customer and add it again."""
        quota = CHANGED[customer][number] if number >= 0 else QUOTAS[customer]
        self.limits[customer].append((self.fleet.network.now, quota))
        if number < 0:
            self._configure({name: kept for name, kept in self.fleet.quotas.items() if name != customer})
            self.fleet.run(0.2)
        self._configure({**self.fleet.quotas, customer: quota})

    def _configure(self, quotas):
        self.fleet.quotas = quotas
        for control in self.fleet.controls.values():
            if control.is_up:
                control.ledger.configure(dict(quotas), self.fleet.network.now)
        for daemon in self.fleet.daemons.values():
            if daemon.is_up:
                daemon.account.configure(dict(quotas))

    # ------------------------------------------------------------------ check

    def _allowed(self, customer, start, end):
        """Return the bound for a window: by the largest limit in force in it or shortly before."""
        changes = self.limits[customer]
        ends = [time for time, _ in changes[1:]] + [float("inf")]
        quotas = [
            quota for (time, quota), until in zip(changes, ends, strict=True) if time <= end and until > start - GRACE
        ]
        rate, burst = max(quota.rate for quota in quotas), max(quota.burst for quota in quotas)
        return (rate * WINDOW + burst) * 1.1 + 20

    def teardown(self):
        if hasattr(self, "fleet"):
            for customer in QUOTAS:
                excess = self.fleet.worst_excess(
                    customer, lambda start, end, name=customer: self._allowed(name, start, end)
                )
                assert excess <= 0, (customer, excess)


SETTINGS = settings(
    derandomize=True,
    max_examples=60,
    stateful_step_count=15,
    deadline=None,
    suppress_health_check=list(HealthCheck),
    print_blob=False,
)
# Faults are searched for, but not made small.
MISTAKE_SETTINGS = settings(SETTINGS, max_examples=300, phases=[Phase.generate])


def test_admitted_requests_stay_below_the_bound():
    run_state_machine_as_test(FleetMachine, settings=SETTINGS)


# ------------------------------------------------------------------- mistakes


class DaemonThatMissesSuspension(Daemon):
    """Measures the end of credits by a clock that stops while it is suspended."""

    @property
    def clock(self):
        return self.now - self.paused_time


class LedgerWithFullBuckets(QuotaLedger):
    """Begins with full buckets, once it has heard other instances."""

    is_new = False

    def lead(self, now):
        self.is_new = self.is_new or self._mode is not ledger._Mode.LEADING
        super().lead(now)

    def set_silent_instances(self, silent_by_zone, now):
        before = self._silent
        super().set_silent_instances(silent_by_zone, now)
        if self.is_new and sum(silent_by_zone.values()) <= sum(before.values()) / 2:
            self.is_new = False
            for book in self._books.values():
                book.bucket.put_back(10_000, now)


class LedgerWithoutReserve(QuotaLedger):
    """Grants the shares of silent instances."""

    def set_silent_instances(self, silent_by_zone, now):
        super().set_silent_instances({}, now)


class AccountWithoutEnd(CreditAccount):
    """Uses credits however late they come, and keeps them."""

    def add_grants(self, grants, now, asked_at):
        super().add_grants(grants, now, now + 1000.0)


def _control(ledger_class):
    return type("Control", (ControlInstance,), {"ledger_class": ledger_class})


def _daemon(account_class):
    return type("Forgetful", (Daemon,), {"account_class": account_class})


MISTAKES = {
    "credits kept through a suspension": (ControlInstance, DaemonThatMissesSuspension),
    "new leader with full buckets": (_control(LedgerWithFullBuckets), Daemon),
    "shares of silent zones not reserved": (_control(LedgerWithoutReserve), Daemon),
    "credits that don't end": (ControlInstance, _daemon(AccountWithoutEnd)),
}


@pytest.mark.parametrize("mistake", MISTAKES)
def test_mistakes_exceed_the_bound(mistake):
    control_class, daemon_class = MISTAKES[mistake]
    machine = type("Mistaken", (FleetMachine,), {"control_class": control_class, "daemon_class": daemon_class})
    with pytest.raises(AssertionError):
        run_state_machine_as_test(machine, settings=MISTAKE_SETTINGS)
