# SPDX-License-Identifier: BSD-3-Clause
"""Tests of the state shared by all attempts at one request."""

import pytest

from lanedock.config import Route
from lanedock_daemon.path.caller.request_context import RequestContext
from lanedock_daemon.path.http.messages import EmptyBody, ReplayBody, Request


class _Balancer:
    """Records whether an upstream was chosen for a request with a long body."""

    def choose(self, slots, now, excluded, is_long, may_wait=True, target_time=None):
        self.is_long = is_long


class _Service:
    slots = 4


@pytest.mark.parametrize(
    ("flags", "limit", "expected"),
    [
        ({}, 10, False),
        ({"upload": True}, 10, True),
        ({"download": True}, 10, True),
        # The body is longer than the replay limit.
        ({}, -1, True),
    ],
)
def test_the_balancer_is_told_of_routes_and_requests_with_long_bodies(flags, limit, expected):
    request = Request("GET", "/x", "h", [], ReplayBody(EmptyBody(), limit))
    balancer = _Balancer()
    context = RequestContext(request, [], Route("r", "/", "s", **flags), _Service(), balancer, None, 1.0, 1.0, None)
    context.choose(0.0)
    assert balancer.is_long is expected
