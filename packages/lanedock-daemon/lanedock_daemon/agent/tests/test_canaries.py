# SPDX-License-Identifier: BSD-3-Clause
"""Tests of how a daemon applies canary plans and what it reports about canaries."""

import pytest

from lanedock.canary import Pool
from lanedock.membership import UNKNOWN_VERSION, Heartbeat, UpstreamRegistration
from lanedock.wire import messages
from lanedock_daemon.agent.view import LocalView


class _Work:
    in_use = 1


def _view(version: str = "v1") -> LocalView:
    registration = UpstreamRegistration("s", True, 1.0)
    registration.process_heartbeat(Heartbeat("i-1", "s", 1, False, 4, 0.0, 0, version), 0.0)
    return LocalView("z", 3.0, registration)


def _plan(revision: int, **rule) -> messages.CanaryPlan:
    return messages.CanaryPlan(revision=revision, rules=[messages.CanaryRule(service="s", number=1, **rule)])


def _endpoint(name: str, version: str) -> messages.Endpoint:
    return messages.Endpoint(instance=name, service="s", zone="z", version=version, host="h", port=1)


def _chosen(view: LocalView, pool: Pool = Pool.STABLE) -> set[str]:
    chosen = [view.balancer("s").choose(4, 0.0, pool=pool) for _ in range(30)]
    return {stats.endpoint.instance for stats in chosen if stats is not None}


def test_a_plan_applies_to_upstreams_known_before_and_after_it():
    view = _view()
    view.apply_endpoints(messages.EndpointUpdate(changed=[_endpoint("old", "v1"), _endpoint("new", "v2")]))
    assert _chosen(view) == {"old", "new"}
    assert view.follow_canaries(_plan(1, canary="v2", share_permille=80, step=1))
    assert (_chosen(view), _chosen(view, Pool.CANARY)) == ({"old"}, {"new"})
    view.apply_endpoints(messages.EndpointUpdate(changed=[_endpoint("newer", "v2"), _endpoint("restarted", "?")]))
    assert (_chosen(view), len(_chosen(view, Pool.CANARY))) == ({"old"}, 1)
    assert view.follow_canaries(_plan(2, withheld=["v2"]))
    assert (_chosen(view), _chosen(view, Pool.CANARY)) == ({"old"}, set())


def test_an_older_plan_is_ignored():
    view = _view()
    assert view.follow_canaries(_plan(5, withheld=["v2"]))
    assert not view.follow_canaries(_plan(4, canary="v2", share_permille=1000))
    assert not view.canaries.assign_request("s")


@pytest.mark.parametrize(
    ("version", "rule", "is_busy"),
    [
        ("v1", {"canary": "v2", "share_permille": 1000}, True),
        ("v1", {"canary": "v2", "share_permille": 80}, False),
        ("v2", {"canary": "v2", "share_permille": 1000}, False),
        ("v1", {"withheld": ["v1"]}, False),
    ],
)
def test_only_a_displaced_upstream_with_requests_in_progress_is_reported_as_busy(version, rule, is_busy):
    view = _view(version)
    view.set_slot_limiter(_Work())
    view.follow_canaries(_plan(1, **rule))
    assert view.is_displaced_busy() is is_busy


def test_the_version_of_an_upstream_adopted_without_one_is_unknown_until_reported():
    registration = UpstreamRegistration("s", True, 1.0)
    assert registration.adopt("i-1", "s", False, 4, 0.0)
    assert registration.version == UNKNOWN_VERSION
    before = registration.revision
    assert registration.adopt("i-1", "s", False, 4, 0.1, 0, "v2")
    assert (registration.version, registration.revision > before) == ("v2", True)


def test_a_heartbeat_with_a_new_version_is_a_change():
    registration = UpstreamRegistration("s", True, 1.0)
    registration.adopt("i-1", "s", False, 4, 0.0)
    assert registration.process_heartbeat(Heartbeat("i-1", "s", 1, False, 4, 0.0, 0, "v2"), 0.1)
    assert not registration.process_heartbeat(Heartbeat("i-1", "s", 2, False, 4, 0.0, 0, "v2"), 0.2)
