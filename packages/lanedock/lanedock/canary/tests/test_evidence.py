# SPDX-License-Identifier: BSD-3-Clause
"""Tests of the counts of daemons and of the sums that the leader computes from them."""

import pytest

from lanedock.canary import CanaryCounter, Evidence
from lanedock.canary.counts import BUCKETS, MAX_ROUTES, OTHER_ROUTES, time_bucket
from lanedock.wire import messages

PLAN = messages.CanaryPlan(revision=1, rules=[messages.CanaryRule(service="s", canary="v2", number=1)])


class _Daemon:
    def __init__(self, incarnation=1):
        self.counter = CanaryCounter()
        self.counter.follow(PLAN)
        self.incarnation = incarnation

    def state(self) -> messages.DaemonState:
        state = messages.DaemonState(daemon="d", incarnation=self.incarnation)
        state.canary_counts.extend(self.counter.take_changed() or [])
        return state


def test_repeated_late_or_lost_reports_do_not_distort_the_sums():
    daemon, evidence = _Daemon(), Evidence(1)
    daemon.counter.note_sent("s", "r", "new1")
    daemon.counter.note_answer("s", "r", "new1", True, 0.1)
    first = daemon.state()
    daemon.counter.note_answer("s", "r", "new1", False, 0.2)
    second = daemon.state()
    evidence.take({"d": second})
    assert evidence.take({"d": second}) == []
    assert evidence.take({"d": first}) == []
    assert (evidence.canary.sent, evidence.canary.answered, evidence.canary.failed) == (1, 2, 1)


def test_counts_of_a_restarted_daemon_start_from_0_and_are_added():
    evidence = Evidence(1)
    for incarnation in (1, 2):
        daemon = _Daemon(incarnation)
        daemon.counter.note_answer("s", "r", "", False, 0.1)
        evidence.take({"d": daemon.state()})
    assert evidence.stable.answered == 2
    # A late report from before the restart.
    late = _Daemon(1)
    for _ in range(5):
        late.counter.note_answer("s", "r", "", False, 0.1)
    evidence.take({"d": late.state()})
    assert evidence.stable.answered == 2


def test_counts_of_another_canary_are_ignored():
    daemon = _Daemon()
    daemon.counter.note_answer("s", "r", "", False, 0.1)
    evidence = Evidence(2)
    assert evidence.take({"d": daemon.state()}) == []


def test_nothing_is_counted_without_a_canary():
    counter = CanaryCounter()
    counter.note_sent("s", "r", "")
    assert counter.take_changed() is None


def test_counts_are_dropped_when_the_canary_ends():
    daemon = _Daemon()
    daemon.counter.note_answer("s", "r", "", False, 0.1)
    assert len(daemon.counter.take_changed()) == 1
    daemon.counter.follow(messages.CanaryPlan(revision=2))
    assert daemon.counter.take_changed() == []


def test_the_size_of_a_report_is_bounded():
    daemon = _Daemon()
    for number in range(500):
        daemon.counter.note_answer("s", f"route-{number}", "", False, 0.1)
    counts = daemon.counter.take_changed()
    assert len(counts) == MAX_ROUTES + 1
    assert OTHER_ROUTES in {row.route for row in counts}
    assert sum(row.answered for row in counts) == 500


@pytest.mark.parametrize(("seconds", "bucket"), [(0.0, 0), (0.0019, 0), (0.002, 1), (0.0029, 2), (1e9, BUCKETS - 1)])
def test_a_time_falls_into_the_expected_bucket(seconds, bucket):
    assert time_bucket(seconds) == bucket
