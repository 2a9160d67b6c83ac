# SPDX-License-Identifier: BSD-3-Clause
"""Tests of requests whose paths nearly begin with a route's prefix: no service may run them."""

import pytest

from lanedock_daemon.path.tests.chain import make_value, parse_answer


@pytest.fixture
def chain(make_chain):
    value = make_value()
    value["routes"] = [
        {**route, "path": "/charges/", "host": "one.example"} for route in value["routes"] if route["name"] == "post"
    ]
    return make_chain(None, value=value)


def _send(chain, target: str, host: str = "one.example") -> int:
    head = f"POST {target} HTTP/1.1\r\nHost: {host}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
    return parse_answer(chain.send(head.encode()))[0]


@pytest.mark.parametrize(
    "target",
    ["/charges", "/charges?a=/charges/", "/", "//charges/", "/charges%2F", "/charges%2F7", "/%63harges/", "/Charges/"],
)
def test_a_path_that_does_not_begin_with_the_prefix_is_not_run(chain, target):
    assert _send(chain, target) == 404
    assert not chain.applications[0].runs


@pytest.mark.parametrize(
    "target", ["/charges/..", "/charges/../other", "*", "http://one.example/charges/", "one.example:80", "charges/"]
)
def test_a_target_that_is_not_a_plain_path_is_not_run(chain, target):
    assert _send(chain, target) == 400
    assert not chain.applications[0].runs


@pytest.mark.parametrize(
    "target", ["/charges/", "/charges/?a=b", "/charges//", "/charges/7/", "/charges/%2F", "/charges/."]
)
@pytest.mark.parametrize("host", ["one.example", "One.EXAMPLE", "one.example:8080"])
def test_a_path_that_begins_with_the_prefix_is_run_unchanged(chain, target, host):
    assert _send(chain, target, host) == 200
    assert chain.applications[0].runs == {target: 1}


def test_another_host_has_no_route(chain):
    assert _send(chain, "/charges/", "two.example") == 404
