# SPDX-License-Identifier: BSD-3-Clause
"""Tests of the state shared by all attempts at one request."""

import pytest

from lanedock.config import Route
from lanedock_daemon.path.caller.request_context import RequestContext
from lanedock_daemon.path.http.messages import EmptyBody, ReplayBody, Request


class _Balancer:
    """Records whether an upstream was chosen for a request with a long body, and for one with a long answer."""

    def __init__(self, long_kinds=()):
        self._long_kinds = long_kinds

    def has_long_answers(self, kind):
        return kind in self._long_kinds

    def choose(self, slots, now, excluded, is_long, may_wait=True, time_left=None):
        self.is_long = is_long
        self.time_left = time_left


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


@pytest.mark.parametrize(
    ("flags", "long_kinds", "time_left"),
    [({}, (), None), ({"upload": True}, (), None), ({"download": True}, (), 0.75), ({}, ("r",), 0.75)],
)
def test_the_balancer_is_told_the_time_left_for_a_long_answer(flags, long_kinds, time_left):
    """By the route, or by the answers that were observed."""
    request = Request("GET", "/x", "h", [], ReplayBody(EmptyBody(), 10))
    balancer = _Balancer(long_kinds)
    context = RequestContext(request, [], Route("r", "/", "s", **flags), _Service(), balancer, None, 2.0, 1.0, None)
    context.choose(0.25)
    assert balancer.time_left == time_left
