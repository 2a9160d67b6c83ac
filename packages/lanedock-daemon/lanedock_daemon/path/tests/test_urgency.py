# SPDX-License-Identifier: BSD-3-Clause
"""Tests that a call is not admitted as more urgent than the request for which it is made."""

import gevent
import pytest

from lanedock.limits import CALL_PRIORITY
from lanedock_daemon.path.http.headers import (
    CALLER_HEADER,
    CLASS_HEADER,
    CUSTOMER_PRIORITY_HEADER,
    PARENT_CLASS_HEADER,
    ROUTE_HEADER,
    SERVICE_HEADER,
)
from lanedock_daemon.path.http.messages import EmptyBody, Request
from lanedock_daemon.path.tests.chain import Gate, wait_until
from lanedock_daemon.path.upstream.slot_gate import FEW_SLOTS

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


@pytest.mark.parametrize(
    ("slots", "caller", "expected"),
    [(FEW_SLOTS, "front", CALL_PRIORITY), (FEW_SLOTS, "s", 3), (FEW_SLOTS + 1, "front", 3)],
)
def test_a_call_waits_behind_no_other_request_where_slots_are_few(make_chain, slots, caller, expected):
    """A call that is refused fails a request that has held a slot of its own upstream."""
    chain = make_chain(None)
    gate = chain.upstreams[0].side._gate
    gate.limiter.configure(slots, 0, {})
    request = _request("check", URGENT, "", caller)
    request.headers.append((CUSTOMER_PRIORITY_HEADER, "3"))
    for _ in range(100):
        gate.classify(request, None)
    assert gate.customer_priority(request) == expected


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
