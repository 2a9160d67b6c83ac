# SPDX-License-Identifier: BSD-3-Clause
"""Tests that a call is not admitted as more urgent than the request for which it is made."""

import gevent
import pytest

from lanedock_daemon.path.http.headers import (
    CALLER_HEADER,
    CLASS_HEADER,
    PARENT_CLASS_HEADER,
    ROUTE_HEADER,
    SERVICE_HEADER,
)
from lanedock_daemon.path.http.messages import EmptyBody, Request
from lanedock_daemon.path.tests.chain import Gate, wait_until

# In the configuration of the chain, "write" is more urgent than "read".
URGENT, LESS_URGENT = "write", "read"


def _request(route: str, own: str, parent: str, caller: str) -> Request:
    headers = [(ROUTE_HEADER, route), (CLASS_HEADER, own), (CALLER_HEADER, caller), (SERVICE_HEADER, "s")]
    if parent:
        headers.append((PARENT_CLASS_HEADER, parent))
    return Request("GET", "/x", "h", headers, EmptyBody())


@pytest.mark.parametrize(
    ("own", "parent", "caller", "expected"),
    [
        (URGENT, LESS_URGENT, "front", LESS_URGENT),
        (URGENT, URGENT, "front", URGENT),
        (LESS_URGENT, URGENT, "front", LESS_URGENT),
        (URGENT, "", "front", URGENT),
        (URGENT, "unknown", "front", URGENT),
        # The service itself sends this kind of request, too, so it is not a call of another service.
        (URGENT, LESS_URGENT, "s", URGENT),
    ],
)
def test_a_call_is_admitted_under_the_class_of_a_less_urgent_parent(make_chain, own, parent, caller, expected):
    chain = make_chain(None)
    side, binding = chain.upstreams[0].side, chain.upstreams[0].view.bind()
    for _ in range(100):
        side._gate.classify(_request("check", own, parent, caller), binding)
    assert side._gate.classify(_request("check", own, parent, "front"), binding) == expected


def test_the_parent_class_follows_the_requests_that_the_application_runs(make_chain):
    gate = Gate()
    chain = make_chain(gate)
    view = chain.upstreams[0].view
    assert view.inherited_traffic_class(view.bind()) == ""
    asked = [gevent.spawn(chain.request, "GET")]
    wait_until(lambda: view.inherited_traffic_class(view.bind()) == LESS_URGENT)
    asked.append(gevent.spawn(chain.request, "POST"))
    wait_until(lambda: view.inherited_traffic_class(view.bind()) == URGENT)
    gate.opened.set()
    assert [task.get()[0] for task in asked] == [200, 200]
    wait_until(lambda: view.inherited_traffic_class(view.bind()) == "")
