# SPDX-License-Identifier: BSD-3-Clause
"""Tests of a control instance's grants."""

import pytest

from lanedock.quota import Quota, QuotaLedger
from lanedock.quota.ledger import CREDIT_LIFETIME, SILENCE_VALIDITY
from lanedock.wire import messages

ZONES = {"a": 1, "b": 1, "c": 1, "d": 1}
QUOTA = Quota(100, 200)


def _make(zone="a", zones=None, quotas=None) -> QuotaLedger:
    ledger = QuotaLedger(zone)
    ledger.set_zones(zones or ZONES, 0.0)
    ledger.configure(quotas or {"x": QUOTA}, 0.0)
    return ledger


def _make_leader(**options) -> QuotaLedger:
    """Return a leader that has heard all others, at time 0."""
    ledger = _make(**options)
    ledger.lead(0.0)
    ledger.set_silent_instances({}, 0.0)
    return ledger


def _draw(ledger: QuotaLedger, now: float, needed=10_000, customer="x", zone="a", silent=None) -> int:
    """Return the credits granted to a daemon that needs more than there are."""
    ledger.set_silent_instances(silent or {}, now)
    return ledger.grant(customer, zone, needed, 0, now).credits


def _use(ledger: QuotaLedger, followers: list[QuotaLedger], zone: str, start: int, end: int) -> None:
    """Let daemons of a zone use the rate from one second to another, with reports."""
    for tenth in range(start * 10, end * 10):
        now = tenth / 10
        _draw(ledger, now, needed=10, zone=zone)
        if ledger.is_report_due(now):
            report = ledger.make_report(now)
            for follower in followers:
                follower.follow(now)
                follower.apply_report(report, now)


def test_leader_grants_burst_and_rate():
    ledger = _make_leader()
    assert _draw(ledger, 0.0) == 0
    assert _draw(ledger, 10.0) == 200
    assert _draw(ledger, 10.5) == 50


def test_instance_that_neither_leads_nor_is_alone_grants_nothing():
    ledger = _make()
    assert not ledger.is_granting
    assert ledger.grant("x", "a", 1, 0, 10.0).credits == 0


@pytest.mark.parametrize("customer", ["y", ""])
def test_customer_without_quota_gets_no_credits(customer):
    grant = _make_leader().grant(customer, "a", 1, 0, 0.1)
    assert grant.credits == 0
    assert grant.retry_after > 0


def test_instance_that_knows_no_zones_grants_nothing():
    ledger = QuotaLedger("a")
    ledger.configure({"x": QUOTA}, 0.0)
    ledger.lead(0.0)
    assert _draw(ledger, 5.0) == 0


# --------------------------------------------------------------------- grants


def test_refusals_get_consecutive_times():
    ledger = _make_leader(quotas={"x": Quota(10, 10)})
    _draw(ledger, 5.0)
    times = [ledger.grant("x", "a", 1, 0, 5.0).retry_after for _ in range(4)]
    assert times == pytest.approx([0.2, 0.3, 0.4, 0.5])


def test_retry_times_are_bounded_however_many_daemons_ask():
    ledger = _make_leader(quotas={"x": Quota(10, 10)})
    _draw(ledger, 5.0)
    assert max(ledger.grant("x", "a", 1, 0, 5.0).retry_after for _ in range(100)) <= 1.2


def test_credits_granted_ahead_are_bounded():
    ledger = _make_leader()
    ledger.set_silent_instances({}, 10.0)
    grants = [ledger.grant("x", "a", 0, 10, 10.0).credits for _ in range(10)]
    assert sum(grants) == int(0.05 * QUOTA.admitted(5.0))
    ledger.set_silent_instances({}, 10.21)
    assert ledger.grant("x", "a", 0, 10, 10.21).credits == 10


def test_the_last_tokens_are_not_granted_ahead():
    ledger = _make_leader(quotas={"x": Quota(1, 4)})
    ledger.set_silent_instances({}, 10.0)
    assert ledger.grant("x", "a", 3, 10, 10.0).credits == 3
    assert ledger.grant("x", "b", 1, 0, 10.0).credits == 1


def test_credits_given_back_are_granted_again():
    ledger = _make_leader()
    assert _draw(ledger, 10.0) == 200
    ledger.give_back("x", "a", 50, 10.1)
    assert _draw(ledger, 10.1) == 60


def test_credits_given_back_too_late_are_lost():
    """A late return would add tokens in a window in which their grant isn't counted."""
    ledger = _make_leader()
    assert _draw(ledger, 10.0) == 200
    ledger.give_back("x", "a", 50, 10.0 + CREDIT_LIFETIME)
    assert _draw(ledger, 10.0 + CREDIT_LIFETIME) == 40


# -------------------------------------------------------------------- changes


def test_lower_limit_applies_at_once():
    ledger = _make_leader()
    ledger.configure({"x": Quota(10, 20)}, 10.0)
    assert _draw(ledger, 10.0) == 20
    assert _draw(ledger, 11.0) == 10


def test_raised_limit_adds_no_burst_at_once():
    ledger = _make_leader()
    _draw(ledger, 10.0)
    ledger.configure({"x": Quota(200, 1000)}, 10.0)
    assert _draw(ledger, 10.0) == 0
    assert _draw(ledger, 11.0) == 200


def test_quota_that_is_removed_and_added_again_is_no_second_burst():
    ledger = _make_leader()
    assert _draw(ledger, 10.0) == 200
    ledger.configure({}, 10.1)
    ledger.configure({"x": QUOTA}, 10.2)
    assert _draw(ledger, 10.2) == 20


def test_removed_quota_is_granted_from_until_daemons_have_the_version():
    ledger = _make_leader()
    ledger.configure({}, 10.0)
    assert _draw(ledger, 12.0) == 200
    assert _draw(ledger, 15.0) == 0


# ------------------------------------------------- silence and other granters


def test_new_leader_begins_with_an_empty_bucket():
    ledger = _make_leader()
    _draw(ledger, 10.0)
    ledger.follow(10.0)
    ledger.lead(20.0)
    assert _draw(ledger, 20.0) == 0
    assert _draw(ledger, 21.0) == 100


def test_new_leader_takes_all_others_for_silent():
    ledger = _make()
    ledger.lead(0.0)
    assert ledger.grant("x", "a", 1000, 0, 0.16).credits == 100 * 0.125 * 0.16 // 1
    ledger.set_silent_instances({"b": 1, "c": 1, "d": 1}, 10.0)
    assert ledger.grant("x", "a", 1000, 0, 10.0).credits == 25


def test_leader_that_has_not_looked_at_silence_takes_all_others_for_silent():
    """A leader that is suspended for less than its lease would otherwise grant what others grant by then."""
    ledger = _make_leader()
    _use(ledger, [], "b", 0, 20)
    _draw(ledger, 20.0)
    assert ledger.grant("x", "a", 1000, 0, 20.0 + SILENCE_VALIDITY + 0.8).credits < 40


def test_share_of_a_silent_zone_is_reserved():
    ledger = _make_leader()
    _use(ledger, [], "b", 0, 20)
    _draw(ledger, 20.0, silent={"b": 1})
    assert _draw(ledger, 21.0, silent={"b": 1}) == pytest.approx(37.5, abs=1)
    # The share stays while the zone is silent, though others use the rest.
    for tenth in range(211, 400):
        _draw(ledger, tenth / 10, silent={"b": 1})
    _draw(ledger, 40.0, silent={"b": 1})
    assert _draw(ledger, 41.0, silent={"b": 1}) == pytest.approx(37.5, abs=1)


@pytest.mark.parametrize(("silent", "part"), [({"a": 1}, 0.875), ({"b": 1}, 0.875), ({"b": 2}, 0.75), ({}, 1.0)])
def test_part_of_each_silent_instance_is_reserved(silent, part):
    ledger = _make_leader(zones={"a": 2, "b": 2, "c": 1, "d": 1})
    for tenth in range(200):
        ledger.set_silent_instances({}, tenth / 10)
    _draw(ledger, 20.0, silent=silent)
    assert _draw(ledger, 21.0, silent=silent) == int(100 * part)


def test_set_silent_zones_means_all_other_instances():
    by_zone, by_instance = (_make_leader(zones={"a": 2, "b": 2, "c": 1}) for _ in range(2))
    by_zone.set_silent_zones({"a", "b"}, 0.0)
    by_instance.set_silent_instances({"a": 1, "b": 2}, 0.0)
    assert by_zone.grant("x", "a", 1000, 0, 0.19).credits == by_instance.grant("x", "a", 1000, 0, 0.19).credits


def test_instance_alone_begins_empty_and_grants_its_part():
    leader, follower = _make_leader(), _make("b")
    _use(leader, [follower], "b", 0, 20)
    follower.stand_alone(21.0)
    assert follower.is_alone
    assert follower.grant("x", "c", 1000, 0, 21.0).credits == 0
    assert follower.grant("x", "c", 1000, 0, 22.0).credits == pytest.approx(62, abs=1)
    assert follower.grant("x", "c", 1000, 0, 60.0).credits == pytest.approx(125, abs=1)


def test_instances_of_a_zone_have_equal_parts():
    leader, follower = _make_leader(zones={"a": 1, "b": 2}), _make("b", zones={"a": 1, "b": 2})
    _use(leader, [follower], "b", 0, 20)
    follower.stand_alone(21.0)
    assert follower.grant("x", "b", 1000, 0, 22.0).credits == pytest.approx(37, abs=1)


@pytest.mark.parametrize("missed", ["restart", "gap", "silence"])
def test_instance_that_does_not_know_the_use_takes_the_smallest_share(missed):
    leader, follower = _make_leader(), _make("b")
    _use(leader, [follower], "b", 0, 20)
    alone_at = 21.0
    if missed == "restart":
        follower = _make("b")
    elif missed == "gap":
        leader.make_report(20.0)
        follower.apply_report(leader.make_report(20.1), 20.1)
    else:
        alone_at = 22.0
    follower.stand_alone(alone_at)
    assert follower.grant("x", "b", 1000, 0, alone_at + 2).credits == 25


def test_instance_knows_the_use_again_after_its_smoothing_time():
    leader, follower = _make_leader(), _make("b")
    _use(leader, [follower], "b", 0, 20)
    leader.make_report(20.0)
    _use(leader, [follower], "b", 20, 32)
    follower.stand_alone(32.8)
    assert follower.grant("x", "b", 1000, 0, 33.8).credits == pytest.approx(62, abs=1)


def test_leader_that_does_not_know_a_silent_zones_share_reserves_the_greatest():
    """After a restart the leader doesn't know by which share a zone grants that was cut off before."""
    ledger = _make()
    ledger.lead(0.0)
    for tenth in range(300):
        ledger.set_silent_instances({"b": 1}, tenth / 10)
    _draw(ledger, 30.0, silent={"b": 1})
    assert _draw(ledger, 31.0, silent={"b": 1}) == 37


def test_long_silence_costs_a_leader_without_knowledge_an_equal_share_only():
    """With one machine missing from the start on, three eighths of each limit would be granted for ever."""
    ledger = _make()
    ledger.lead(0.0)
    for step in range(3120):
        ledger.set_silent_instances({"b": 1}, step / 10)
    _draw(ledger, 312.0, silent={"b": 1})
    assert _draw(ledger, 313.0, silent={"b": 1}) == 75


def test_instance_alone_for_long_takes_no_more_than_an_equal_share():
    leader, follower = _make_leader(), _make("b")
    _use(leader, [follower], "b", 0, 20)
    follower.stand_alone(21.0)
    follower.grant("x", "b", 1000, 0, 321.0)
    assert follower.grant("x", "b", 1000, 0, 322.0).credits == 25


def test_followers_reserve_shares_of_zones_that_the_leader_reported_silent():
    """Otherwise two zones would grant alone from shares that add up to more than 1, one cut off before the other."""
    leader, follower = _make_leader(), _make("c")
    _use(leader, [follower], "b", 0, 20)
    for tenth in range(200, 400):
        now = tenth / 10
        _draw(leader, now, zone="c", silent={"b": 1})
        follower.apply_report(leader.make_report(now), now)
    follower.stand_alone(40.8)
    assert follower.grant("x", "c", 1000, 0, 41.8).credits <= 13


def test_report_of_a_former_leader_is_without_effect_on_a_leader():
    leader, former = _make_leader(), _make_leader()
    _draw(former, 1.0)
    leader.apply_report(former.make_report(1.0), 1.0)
    assert leader.make_report(1.0) == messages.QuotaReport(sequence=1)


# -------------------------------------------------------------------- reports


def test_report_has_what_was_granted_less_what_was_given_back():
    leader = _make_leader()
    _draw(leader, 1.0, needed=7, zone="a")
    _draw(leader, 1.0, needed=5, zone="b")
    leader.give_back("x", "b", 2, 1.0)
    uses = {(use.customer, use.zone): use.credits for use in leader.make_report(1.0).uses}
    assert uses == {("x", "a"): 7, ("x", "b"): 3}
    assert not leader.make_report(1.25).uses


def test_usage_has_the_credits_by_zone_and_the_refusals():
    leader = _make_leader()
    _draw(leader, 5.0, needed=40, zone="a")
    _draw(leader, 5.0, needed=20, zone="b")
    _draw(leader, 5.0, needed=1000, zone="b")
    usage = leader.usage("x", 5.0)
    assert usage.by_zone == {"a": 40, "b": 160}
    assert (usage.granted_per_s, usage.refused) == (20.0, 860)
    assert not leader.usage("x", 30.0).by_zone
    assert leader.usage("y", 5.0) is None


def test_reports_are_due_at_intervals_and_when_silence_changes():
    leader = _make_leader()
    leader.make_report(1.0)
    assert not leader.is_report_due(1.2)
    assert leader.is_report_due(1.25)
    leader.set_silent_instances({"b": 1}, 1.1)
    assert leader.is_report_due(1.1)
    assert not _make().is_report_due(10.0)


def test_report_names_silent_instances():
    leader = _make_leader()
    leader.set_silent_instances({"b": 1}, 1.0)
    assert list(leader.make_report(1.0).uses) == [messages.QuotaUse(customer="", zone="b", credits=1)]


def test_report_that_names_a_silent_zone_before_the_membership_is_known_is_survived():
    """An instance that has just started hears the leader before it knows the zones; its process ended by it."""
    ledger = QuotaLedger("a")
    ledger.configure({"x": Quota(100, 100)}, 0.0)
    report = messages.QuotaReport(sequence=5, uses=[messages.QuotaUse(zone="b", credits=1)])
    ledger.apply_report(report, 0.1)
    ledger.set_zones({"a": 1, "b": 1}, 0.2)
    report.sequence = 6
    ledger.apply_report(report, 0.3)
    ledger.stand_alone(1.2)
    # The zones' shares of the use aren't known, so it grants from the smallest share that a zone may have.
    granted = sum(ledger.grant("x", "a", 1, 0, 1.2 + 0.01 * step).credits for step in range(101))
    assert 0 < granted <= 50
