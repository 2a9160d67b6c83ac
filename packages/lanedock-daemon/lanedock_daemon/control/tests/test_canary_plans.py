# SPDX-License-Identifier: BSD-3-Clause
"""Tests that daemons receive the canary plan before they can use upstreams."""

from lanedock.wire import messages
from lanedock_daemon.control.tests.test_distribution import _arrive, _make_sessions

PLAN = messages.CanaryPlan(revision=3, rules=[messages.CanaryRule(service="s", withheld=["v2"])])


def test_connecting_daemon_receives_plan_before_endpoints():
    sessions = _make_sessions()
    sessions.set_canary_plan(PLAN)
    kinds = _arrive(sessions, "d").kinds()
    assert kinds.index("canary_plan") < kinds.index("endpoints")


def test_newer_plan_is_sent_to_all_daemons():
    sessions = _make_sessions()
    one, other = _arrive(sessions, "one"), _arrive(sessions, "other")
    assert "canary_plan" not in one.kinds()
    sessions.set_canary_plan(PLAN)
    assert one.sent[-1].canary_plan == other.sent[-1].canary_plan == PLAN
