# SPDX-License-Identifier: BSD-3-Clause
"""Tests of what the agent publishes: endpoints of two incarnations that cross."""

import pytest

from lanedock.clock import monotonic
from lanedock.config import split_config
from lanedock.wire import messages
from lanedock_daemon.agent.view import MISSING_ENDPOINT_RETENTION, LocalView


def _update(upstream, incarnation, revision, whole=False):
    endpoint = messages.Endpoint(
        instance="a", service="s", zone="z", upstream=upstream, incarnation=incarnation, revision=revision
    )
    return messages.EndpointUpdate(whole=whole, changed=[endpoint])


@pytest.mark.parametrize("whole", [False, True])
@pytest.mark.parametrize(("incarnation", "revision"), [(1, 9), (2, 2)])
def test_an_older_endpoint_from_another_source_does_not_come_back(whole, incarnation, revision):
    view = LocalView("z", 10.0)
    balancer = view.balancer("s")
    view.take_endpoints(_update("new", 2, 3))
    view.take_endpoints(_update("old", incarnation, revision, whole))
    assert balancer.choose(12, 0.0).endpoint.upstream == "new"


@pytest.mark.parametrize(("incarnation", "revision"), [(2, 4), (3, 1)])
def test_a_newer_endpoint_replaces_the_older(incarnation, revision):
    view = LocalView("z", 10.0)
    balancer = view.balancer("s")
    view.take_endpoints(_update("old", 2, 3))
    view.take_endpoints(_update("new", incarnation, revision))
    assert balancer.choose(12, 0.0).endpoint.upstream == "new"


def _named(*names: str, whole: bool = True) -> messages.EndpointUpdate:
    endpoints = [messages.Endpoint(instance=name, service="s", zone="z") for name in names]
    return messages.EndpointUpdate(whole=whole, changed=endpoints)


def _chosen(view: LocalView) -> set[str]:
    chosen = [view.balancer("s").choose(12, 0.0) for _ in range(30)]
    return {stats.endpoint.instance for stats in chosen if stats is not None}


def test_an_endpoint_that_a_whole_update_lacks_is_gone():
    view = LocalView("z", 10.0)
    view.take_endpoints(_named("a", "b"))
    view.take_endpoints(_named("b"))
    assert _chosen(view) == {"b"}


def test_a_service_that_a_whole_update_lacks_is_gone_unless_it_is_named_soon():
    view = LocalView("z", 10.0)
    view.take_endpoints(_named("a", "b"))
    # A source that was just started hears of them within a moment.
    view.take_endpoints(_named())
    assert _chosen(view) == {"a", "b"}
    view.expire_endpoints(monotonic())
    assert _chosen(view) == {"a", "b"}
    view.expire_endpoints(monotonic() + MISSING_ENDPOINT_RETENTION)
    assert _chosen(view) == set()


def test_a_service_is_that_of_the_source_once_it_names_some_of_it():
    view = LocalView("z", 10.0)
    view.take_endpoints(_named("a", "b"))
    view.take_endpoints(_named())
    view.take_endpoints(_named("c", whole=False))
    assert _chosen(view) == {"c"}


def test_an_endpoint_that_has_gone_is_gone_at_once():
    view = LocalView("z", 10.0)
    view.take_endpoints(_named("a", "b"))
    view.take_endpoints(_named())
    view.take_endpoints(messages.EndpointUpdate(gone=["a"]))
    assert _chosen(view) == {"b"}


def test_upstreams_of_the_version_that_a_service_has_moved_to_are_kept_beside_the_former_ones():
    view = LocalView("z", 10.0)
    former, new = _named("a"), _named("b", whole=False)
    former.changed[0].version, new.changed[0].version = "v1", "v2"
    view.take_endpoints(former)
    view.take_endpoints(new)
    view.follow_canaries(
        messages.CanaryPlan(revision=1, rules=[messages.CanaryRule(service="s", withheld=["v1"], number=1)])
    )
    view.take_endpoints(former)
    assert _chosen(view) == {"b"}


def test_services_of_the_version_are_known_though_its_slice_lacks_them():
    view = LocalView("z", 10.0)
    assert view.may_have_service("any")
    services = [{"name": name, "zones": ["z"]} for name in ("mine", "other")]
    value = {"mesh": "m", "version": 1, "zones": ["z"], "traffic_classes": [], "services": services, "routes": []}
    view.holder.put_in_force(split_config(value).whole_push({"", "mine"}))
    assert view.holder.in_force.config.services.keys() == {"mine"}
    assert [view.may_have_service(name) for name in ("mine", "other", "none", "")] == [True, True, False, False]
