# SPDX-License-Identifier: BSD-3-Clause
"""Tests of single failures in the simulated fleet, in virtual time."""

import pytest

from lanedock.quota import Quota
from lanedock.quota.tests.fleet import Fleet

QUOTA = Quota(100, 50)
ZONES = ["a", "b", "c", "d"]


def _make(controls=ZONES) -> Fleet:
    """Return a fleet that has a leader, known use and full buckets."""
    fleet = Fleet(controls, ZONES, {"x": QUOTA}, seed=4, election_min=0.3)
    fleet.run(2.0)
    fleet.press("x", dict.fromkeys(fleet.daemons, 20.0), 12.0)
    return fleet


def _admitted_per_s(fleet: Fleet, seconds: float, times=3.0) -> float:
    before = len(fleet.admitted["x"])
    fleet.press("x", dict.fromkeys(fleet.daemons, times * QUOTA.rate / len(fleet.daemons)), seconds)
    return (len(fleet.admitted["x"]) - before) / seconds


def _within_bound(fleet: Fleet) -> bool:
    return fleet.worst_excess("x", lambda start, end: QUOTA.admitted(5.0) * 1.1 + 20) <= 0


def _cut(fleet: Fleet, names: set[str], **directions) -> None:
    fleet.network.cut |= fleet.network.links(names, **directions)


def test_former_leader_that_is_cut_off_goes_on_with_its_share():
    fleet = _make()
    leader = fleet.leader()
    _cut(fleet, {leader.name, *(name for name, daemon in fleet.daemons.items() if daemon.zone == leader.zone)})
    fleet.run(2.0)
    assert leader.ledger.is_alone
    assert fleet.leader() is not leader
    assert _admitted_per_s(fleet, 10.0) == pytest.approx(QUOTA.rate, rel=0.1)
    assert _within_bound(fleet)


def test_process_that_ended_costs_no_share():
    fleet = _make()
    fleet.leader().kill()
    fleet.run(2.0)
    assert _admitted_per_s(fleet, 10.0) >= 0.97 * QUOTA.rate


def test_machine_that_ended_costs_its_share_only():
    fleet = _make()
    leader = fleet.leader()
    leader.kill()
    _cut(fleet, {leader.name})
    fleet.run(2.0)
    assert _admitted_per_s(fleet, 10.0) == pytest.approx(0.75 * QUOTA.rate, rel=0.05)


@pytest.mark.parametrize("directions", [{"outgoing": False}, {"incoming": False}])
def test_link_that_is_cut_off_in_one_direction_does_not_exceed_the_bound(directions):
    """An instance that is heard but doesn't hear the leader grants on its own."""
    fleet = _make()
    follower = next(control for control in fleet.controls.values() if control is not fleet.leader())
    links = fleet.network.links({follower.name}, **directions)
    fleet.network.cut |= {link for link in links if set(link) <= fleet.controls.keys()}
    fleet.press("x", dict.fromkeys(fleet.daemons, 100.0), 10.0)
    assert _within_bound(fleet)


def test_instances_without_a_quorum_grant_the_whole_together():
    fleet = _make()
    names = set(fleet.controls)
    for name in names:
        links = fleet.network.links({name})
        fleet.network.cut |= {link for link in links if set(link) <= names}
    fleet.run(2.0)
    assert all(control.ledger.is_alone for control in fleet.controls.values())
    assert _admitted_per_s(fleet, 10.0) == pytest.approx(QUOTA.rate, rel=0.1)
    assert _within_bound(fleet)


def test_grants_go_on_after_everything_is_healed():
    fleet = _make()
    _cut(fleet, {fleet.leader().name})
    fleet.run(5.0)
    fleet.network.heal()
    fleet.run(2.0)
    assert _admitted_per_s(fleet, 10.0) >= 0.97 * QUOTA.rate
    assert _within_bound(fleet)


def test_lower_limit_holds_for_the_next_window():
    fleet = _make()
    lower = Quota(20, 10)
    for control in fleet.controls.values():
        control.ledger.configure({"x": lower}, fleet.network.now)
    fleet.run(0.5)
    changed_at = fleet.network.now
    fleet.press("x", dict.fromkeys(fleet.daemons, 50.0), 10.0)
    allowed = lower.admitted(5.0) * 1.1 + 20
    assert fleet.worst_excess("x", lambda start, end: allowed if start >= changed_at else 10_000) <= 0
