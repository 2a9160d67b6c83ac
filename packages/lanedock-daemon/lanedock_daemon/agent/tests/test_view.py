# SPDX-License-Identifier: BSD-3-Clause
"""Tests of what the agent publishes: endpoints of two incarnations that cross."""

import pytest

from lanedock.config import split_config
from lanedock.wire import messages
from lanedock_daemon.agent.view import LocalView


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


def test_an_endpoint_that_a_whole_update_lacks_is_gone():
    view = LocalView("z", 10.0)
    balancer = view.balancer("s")
    view.take_endpoints(_update("new", 2, 3))
    view.take_endpoints(messages.EndpointUpdate(whole=True))
    assert balancer.choose(12, 0.0) is None


def test_services_of_the_version_are_known_though_its_slice_lacks_them():
    view = LocalView("z", 10.0)
    assert view.may_have_service("any")
    services = [{"name": name, "zones": ["z"]} for name in ("mine", "other")]
    value = {"mesh": "m", "version": 1, "zones": ["z"], "traffic_classes": [], "services": services, "routes": []}
    view.holder.put_in_force(split_config(value).whole_push({"", "mine"}))
    assert view.holder.in_force.config.services.keys() == {"mine"}
    assert [view.may_have_service(name) for name in ("mine", "other", "none", "")] == [True, True, False, False]
