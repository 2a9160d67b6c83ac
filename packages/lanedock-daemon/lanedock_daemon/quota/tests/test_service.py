# SPDX-License-Identifier: BSD-3-Clause
"""Tests of the task that grants credits, on a fake replica and a clock that the tests set."""

from types import SimpleNamespace

import pytest

from lanedock.config import split_config
from lanedock.errors import ErrorCode
from lanedock.quota import ALONE_AFTER
from lanedock.telemetry import Event
from lanedock.wire import messages
from lanedock_daemon.path.tests.chain import make_value
from lanedock_daemon.quota import service as service_module
from lanedock_daemon.quota.requests import CustomersRequested, QuotaReportArrived, VersionAccepted
from lanedock_daemon.quota.service import PAUSE_LIMIT, TICK, QuotaService
from lanedock_daemon.transport import CreditsRequested

ME, OTHER, THIRD = "a@1", "b@1", "c@1"
LEADER_ADDRESS = "10.0.0.2:7000"


class _Replica:
    """A replica whose role the tests set."""

    def __init__(self, clock):
        self._clock = clock
        self.me = ME
        self.term = 3
        self.leader = ""
        self.membership = messages.Membership(voters=[ME, OTHER, THIRD])
        self.heard_at = 0.0
        self.unreached: dict[str, float] = {}

    def leader_silence(self, now: float) -> float:
        return now - self.heard_at

    def unreached_time(self, replica: str, now: float) -> float:
        return self.unreached.get(replica, 0.0)


class _Call:
    def __init__(self):
        self.replies = []

    def reply(self, message) -> None:
        self.replies.append(message)


class _Granter:
    """A quota service with its surroundings."""

    def __init__(self, monkeypatch):
        self.now = 1000.0
        monkeypatch.setattr(service_module, "monotonic", lambda: self.now)
        self.events: list[tuple] = []
        self.sent: list[messages.PeerMessage] = []
        self.replies: list[messages.CreditReply] = []
        self.log = SimpleNamespace(replica=_Replica(self), is_suspended=False, is_current_leader=False)
        self.log.replica.heard_at = self.now
        self.leader_address = ""
        self.refused: dict[str, float] = {}
        self.service = QuotaService("z1", self)
        self.service.attach(
            self.log,
            SimpleNamespace(send=self.sent.extend, refused_at=lambda name: self.refused.get(name, float("-inf"))),
            lambda: {"a": "z1", "b": "z2", "c": "z3"},
            lambda: self.leader_address,
        )

    def emit(self, event, **fields) -> None:
        self.events.append((event, fields))

    def accept(self, version: int, customers: list[dict] | None) -> None:
        value = make_value(version)
        if customers is not None:
            value["customers"] = customers
        self.service.on_messages([VersionAccepted(split_config(value))])

    def run(self, seconds: float) -> None:
        """Tick as the task does."""
        until = self.now + seconds
        while self.now < until - TICK / 2:
            self.now += TICK
            self.service.on_tick()

    def lead(self) -> None:
        self.log.is_current_leader = True
        self.log.replica.leader = ME
        self.log.replica.heard_at = float("inf")
        self.leader_address = "10.0.0.1:7000"

    def follow(self) -> None:
        self.log.is_current_leader = False
        self.log.replica.leader = OTHER
        self.log.replica.heard_at = self.now
        self.leader_address = LEADER_ADDRESS

    def ask(self, *needs: messages.CreditNeed, zone: str = "z1") -> messages.CreditReply:
        session = SimpleNamespace(send=self.replies.append)
        request = messages.CreditRequest(number=len(self.replies) + 1, zone=zone, needs=needs)
        self.service.on_messages([CreditsRequested(session, request)])
        assert self.replies[-1].number == request.number
        return self.replies[-1]

    def draw(self, seconds: float, customer: str = "c") -> int:
        """Ask for more than the quota every tick; return the credits granted."""
        granted = 0
        until = self.now + seconds
        while self.now < until - TICK / 2:
            self.run(TICK)
            granted += sum(grant.credits for grant in self.ask(_need(100, customer)).grants)
        return granted


def _need(needed: int, customer: str = "c", **fields) -> messages.CreditNeed:
    return messages.CreditNeed(customer=customer, needed=needed, **fields)


CUSTOMERS = [{"name": "c", "keys": ["secret"], "rate": 100, "burst": 50}, {"name": "free", "keys": ["other"]}]


@pytest.fixture
def granter(monkeypatch):
    granter = _Granter(monkeypatch)
    granter.accept(1, CUSTOMERS)
    return granter


@pytest.mark.parametrize("customers", [None, [], [{"name": "free", "keys": ["k"]}]])
def test_without_a_customer_with_a_rate_nothing_ticks_and_nothing_is_sent(monkeypatch, customers):
    granter = _Granter(monkeypatch)
    granter.accept(1, CUSTOMERS)
    assert granter.service._tick == TICK and granter.service.is_active
    granter.lead()
    granter.accept(2, customers)
    granter.sent.clear()
    assert granter.service._tick is None and not granter.service.is_active
    granter.accept(3, customers)
    assert granter.sent == []


def test_the_leader_grants_the_rate_and_the_burst(granter):
    granter.lead()
    granter.run(2.0)
    granted = granter.draw(4.0)
    assert 0.95 * (4 * 100 + 50) <= granted <= 4 * 100 + 50


def test_a_follower_declines_and_names_the_leader(granter):
    granter.follow()
    granter.run(TICK)
    reply = granter.ask(_need(1))
    assert (reply.code, reply.leader_address, list(reply.grants)) == (ErrorCode.NOT_LEADER.code, LEADER_ADDRESS, [])


def test_a_lease_that_ends_between_two_ticks_ends_the_grants(granter):
    """The role is checked before each grant: another instance may lead by the next tick."""
    granter.lead()
    granter.run(2.0)
    assert granter.ask(_need(1)).grants[0].credits == 1
    granter.follow()
    assert granter.ask(_need(1)).code == ErrorCode.NOT_LEADER.code


def test_a_leader_whose_lease_has_ended_does_not_name_itself(granter):
    """Otherwise the daemons of other zones go on asking a former leader that is cut off from a quorum."""
    granter.lead()
    granter.run(1.0)
    granter.log.is_current_leader = False
    granter.log.replica.heard_at = granter.now
    reply = granter.ask(_need(1))
    assert (reply.code, reply.leader_address) == (ErrorCode.NOT_LEADER.code, "")


def test_an_instance_without_a_leader_grants_alone_from_its_zones_part(granter):
    granter.follow()
    granter.run(0.5)
    granter.leader_address = ""
    # No leader was heard for half a second: it may still live.
    assert granter.ask(_need(1)).code == ErrorCode.NOT_LEADER.code
    granter.run(ALONE_AFTER)
    granted = granter.draw(10.0)
    # Three zones, of which each has at least half of an equal share.
    assert 0.9 * (10 * 100 / 6) <= granted <= (10 * 100 + 50) / 3
    assert [event for event, _ in granter.events if event in (Event.QUOTA_ALONE, Event.QUOTA_LED)] == [
        Event.QUOTA_ALONE
    ]
    assert granter.replies[-1].leader_address == ""
    granter.follow()
    granter.run(TICK)
    assert granter.ask(_need(1)).code == ErrorCode.NOT_LEADER.code
    assert granter.events[-1][0] is Event.QUOTA_LED


def test_an_instance_that_was_paused_first_listens_for_a_leader(granter):
    """A resumed instance has heard nothing, since it did not run. The others were served by a leader."""
    granter.follow()
    granter.run(1.0 - ALONE_AFTER)
    granter.now += 30.0
    assert PAUSE_LIMIT < 30.0
    granter.service.on_tick()
    assert granter.ask(_need(1)).code == ErrorCode.NOT_LEADER.code
    granter.run(ALONE_AFTER - TICK)
    assert granter.ask(_need(1)).code == ErrorCode.NOT_LEADER.code
    granter.run(2 * TICK)
    assert granter.ask(_need(1)).code == ""


def test_a_paused_instance_that_is_asked_before_its_first_tick_does_not_grant(granter):
    granter.follow()
    granter.run(0.1)
    granter.now += 30.0
    assert granter.ask(_need(1)).code == ErrorCode.NOT_LEADER.code


def test_an_instance_whose_disk_failed_grants_nothing(granter):
    granter.follow()
    granter.run(5.0)
    granter.log.is_suspended = True
    assert granter.ask(_need(1)).code == ErrorCode.NOT_LEADER.code


def test_the_leader_leaves_the_shares_of_silent_instances_to_them(granter):
    granter.lead()
    granter.run(15.0)
    granter.draw(1.0)
    whole = granter.draw(10.0)
    granter.log.replica.unreached = {THIRD: 5.0}
    granter.draw(1.0)
    assert granter.draw(10.0) < 0.95 * whole


def test_a_late_tick_does_not_make_the_leader_reserve_the_shares_of_all_others(granter):
    granter.lead()
    granter.run(5.0)
    granter.now += 0.3
    assert granter.ask(_need(50)).grants[0].credits == 50
    granter.now += 0.3
    assert granter.ask(_need(30)).grants[0].credits >= 29


def test_the_share_of_an_instance_whose_process_ended_is_not_reserved(granter):
    """Its host refuses connections, so that nobody there grants. Otherwise each customer loses a zone's share."""
    granter.lead()
    granter.run(15.0)
    granter.draw(1.0)
    whole = granter.draw(5.0)
    granter.log.replica.unreached = {THIRD: float("inf")}
    granter.refused["c"] = granter.now + 100.0
    granter.draw(1.0)
    assert granter.draw(5.0) >= 0.98 * whole


def test_the_leader_reports_to_all_others_and_a_follower_reports_nothing(granter):
    granter.lead()
    granter.run(2.0)
    granter.sent.clear()
    granter.draw(1.0)
    receivers = {message.receiver for message in granter.sent}
    assert receivers == {OTHER, THIRD}
    to_other = [message.quota_report for message in granter.sent if message.receiver == OTHER]
    sequences = [report.sequence for report in to_other]
    assert sequences == list(range(sequences[0], sequences[0] + len(sequences))) and len(sequences) >= 3
    used = sum(use.credits for report in to_other for use in report.uses if use.customer == "c")
    assert used > 0
    granter.follow()
    granter.sent.clear()
    granter.run(1.0)
    assert granter.sent == []


@pytest.mark.parametrize("sender, is_applied", [(OTHER, True), (THIRD, False)])
def test_only_reports_of_the_leader_are_applied(granter, monkeypatch, sender, is_applied):
    applied = []
    monkeypatch.setattr(granter.service._ledger, "apply_report", lambda report, now: applied.append(report))
    granter.follow()
    message = messages.PeerMessage(sender=sender, receiver=ME, quota_report=messages.QuotaReport(sequence=1))
    granter.service.on_messages([QuotaReportArrived(message)])
    assert bool(applied) is is_applied


def test_a_customer_that_was_freed_of_its_limit_is_granted_what_its_daemons_still_ask(granter):
    """The daemon's version may be older by some seconds; no request is refused for a limit that is gone."""
    granter.lead()
    granter.run(1.0)
    granter.accept(2, [{"name": "c", "keys": ["secret"]}, {"name": "d", "rate": 1}])
    granter.ask(_need(40))
    assert granter.replies[-1].grants[0].credits == 40


def test_an_unknown_customer_is_granted_nothing(granter):
    granter.lead()
    granter.run(1.0)
    grant = granter.ask(_need(1, "gone")).grants[0]
    assert grant.credits == 0 and grant.retry_after_ms > 0


def test_a_removed_customer_is_granted_credits_while_daemons_may_have_the_version_before(granter):
    granter.lead()
    granter.run(1.0)
    granter.accept(2, [{"name": "d", "keys": ["k"], "rate": 1}])
    assert granter.ask(_need(1)).grants[0].credits == 1
    granter.run(6.0)
    assert granter.ask(_need(1)).grants[0].credits == 0


def test_a_leader_that_had_no_quotas_for_a_time_begins_with_empty_buckets(granter):
    """Another instance may have led meanwhile, which is not noticed without ticks."""
    granter.lead()
    granter.run(2.0)
    granter.accept(2, None)
    granter.now += 1.0
    granter.accept(3, CUSTOMERS)
    granter.run(TICK)
    assert granter.ask(_need(50)).grants[0].credits <= 100 * TICK + 1


def test_a_lowered_limit_is_in_force_at_once(granter):
    granter.lead()
    granter.run(5.0)
    granter.accept(2, [{"name": "c", "keys": ["secret"], "rate": 10, "burst": 5}])
    assert granter.draw(2.0) <= 5 + 2 * 10


def test_returned_credits_are_granted_again(granter):
    granter.lead()
    granter.run(2.0)
    assert granter.ask(_need(50)).grants[0].credits == 50
    assert granter.ask(_need(10, returned=10)).grants[0].credits == 10


def test_needs_of_several_customers_are_answered_in_their_order(granter):
    granter.lead()
    granter.run(2.0)
    reply = granter.ask(_need(2), _need(1, "free"), _need(3))
    assert [(grant.customer, grant.credits) for grant in reply.grants] == [("c", 2), ("free", 1), ("c", 3)]


def test_a_reached_quota_is_reported_with_its_limit(granter):
    granter.lead()
    granter.run(1.0)
    reply = granter.ask(_need(1000))
    assert reply.grants[0].retry_after_ms > 0
    assert (Event.QUOTA_REACHED, {"customer": "c", "rate": 100, "burst": 50}) in granter.events
    granter.run(5.0)
    assert granter.events[-1][0] is Event.QUOTA_FREE


def test_a_tiny_rate_gives_a_retry_time_that_fits_the_message(granter):
    """A time beyond 32 bits of milliseconds would end the task, and with it the control instance."""
    granter.lead()
    granter.accept(2, [{"name": "c", "keys": ["secret"], "rate": 1e-12, "burst": 1}])
    granter.run(1.0)
    assert granter.ask(_need(5)).grants[0].retry_after_ms == 1000 * service_module.MAX_RETRY_AFTER


def test_operators_see_limits_and_use_but_no_keys(granter):
    granter.lead()
    granter.run(2.0)
    granter.ask(_need(20), zone="z2")
    granter.ask(_need(100))
    call = _Call()
    granter.service.on_messages([CustomersRequested(call, messages.CustomersRequest())])
    (reply,) = call.replies
    used, free = reply.customers
    assert (used.customer, used.rate, used.burst, free.customer, free.rate) == ("c", 100, 50, "free", 0)
    assert {use.zone: use.credits for use in used.by_zone} == {"z1": 30, "z2": 20}
    assert used.refused == 70
    assert b"secret" not in reply.SerializeToString()


def test_operators_are_sent_to_the_leader_and_without_one_see_what_is_granted_alone(granter):
    call = _Call()
    granter.follow()
    granter.run(TICK)
    granter.service.on_messages([CustomersRequested(call, messages.CustomersRequest())])
    assert (call.replies[0].code, call.replies[0].leader_address) == (ErrorCode.NOT_LEADER.code, LEADER_ADDRESS)
    assert not call.replies[0].customers
    granter.leader_address = ""
    granter.run(2.0)
    granter.service.on_messages([CustomersRequested(call, messages.CustomersRequest())])
    assert call.replies[1].code == ErrorCode.NO_LEADER.code
    assert [use.customer for use in call.replies[1].customers] == ["c", "free"]
