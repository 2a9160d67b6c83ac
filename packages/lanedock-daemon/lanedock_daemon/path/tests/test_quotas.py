# SPDX-License-Identifier: BSD-3-Clause
"""Tests of requests of customers with a quota on the whole request path, with fake control instances."""

import json

import pytest

from lanedock.clock import monotonic
from lanedock.telemetry import EventLogger, NullMetrics, NullTracer
from lanedock_daemon.path.caller.caller import CallerSide
from lanedock_daemon.path.tests.chain import Chain, make_value, wait_until
from lanedock_daemon.quota.tests.fakes import INSTANCES, QuotaDaemon, grant

CUSTOMERS = [
    {"name": "c", "keys": ["key-c"], "rate": 100, "burst": 50},
    {"name": "free", "keys": ["key-free"]},
]
OWN = INSTANCES[0]


@pytest.fixture
def quotas():
    daemon = QuotaDaemon()
    daemon.behaviours[OWN] = grant()
    yield daemon
    daemon.client.stop()


@pytest.fixture
def make_limited_chain(make_chain, quotas):
    """Make chains whose entry enforces quotas."""

    def make(*scripts) -> Chain:
        chain = make_chain(*scripts, value={**make_value(), "customers": CUSTOMERS})
        parts = (EventLogger("caller"), NullMetrics(), NullTracer())
        chain.entry.side = CallerSide(chain.view, chain.pool, *parts, quotas=quotas.gate)
        return chain

    return make


def _send(chain: Chain, customer: str = "c", method: str = "GET") -> tuple[int, str, bytes]:
    return chain.request(method, headers=f"Authorization: Bearer key-{customer}\r\n")


def _needed(quotas: QuotaDaemon) -> int:
    """Return the number of credits that were asked for requests that waited."""
    return sum(need.needed for _, request in quotas.requests for need in request.needs)


def test_a_request_takes_one_credit_also_where_it_is_sent_again(make_limited_chain, quotas):
    """The daemon's own further attempts take none: the customer sent one request."""
    chain = make_limited_chain(lambda conn, head, body: None, lambda conn, head, body: None)
    _send(chain)
    assert chain.runs() > 1
    assert _needed(quotas) == 1 and quotas.account.held("c", monotonic()) == 0


def test_a_request_beyond_the_quota_is_refused_with_its_retry_time(make_limited_chain, quotas):
    quotas.behaviours[OWN] = grant(0, retry_after_ms=400)
    chain = make_limited_chain()
    status, head, body = _send(chain)
    fields = json.loads(body)
    assert (status, fields["code"], fields["outcome"]) == (429, "LD3018", "not-run")
    assert 200 < fields["retry_after_ms"] <= 400 and "retry-after: 1" in head.lower()
    assert chain.runs() == 0


def test_a_request_is_refused_where_no_control_instance_grants(make_limited_chain, quotas):
    quotas.behaviours |= dict.fromkeys(INSTANCES, "reset")
    chain = make_limited_chain()
    status, _, body = _send(chain)
    fields = json.loads(body)
    assert (status, fields["code"], fields["outcome"]) == (503, "LD3019", "not-run")
    assert fields["retry_after_ms"] == 500
    assert chain.runs() == 0


def test_a_request_that_ends_not_run_gives_its_credit_back(make_limited_chain, quotas):
    chain = make_limited_chain()
    chain.view.apply_endpoints(_no_endpoints())
    status, _, body = _send(chain)
    assert json.loads(body)["outcome"] == "not-run" and status == 503
    assert quotas.account.held("c", monotonic()) == 1


def test_credit_of_a_request_whose_caller_left_before_it_was_sent_is_given_back(
    make_limited_chain, quotas, monkeypatch
):
    chain = make_limited_chain()
    conn = chain.connect()
    admit = quotas.gate.admit

    def admit_and_leave(*args):
        credit = admit(*args)
        conn.close()
        return credit

    monkeypatch.setattr(quotas.gate, "admit", admit_and_leave)
    conn.sendall(b"GET /x HTTP/1.1\r\nhost: h\r\nauthorization: Bearer key-c\r\n\r\n")
    wait_until(lambda: _needed(quotas) == 1 and not chain.entry.in_progress)
    assert quotas.account.held("c", monotonic()) == 1
    assert chain.runs() == 0


@pytest.mark.parametrize("script", [None, lambda conn, head, body: None])
def test_a_request_that_ran_or_may_have_run_gives_nothing_back(make_limited_chain, quotas, script):
    chain = make_limited_chain(script)
    _send(chain, method="POST")
    assert chain.runs() == 1
    assert quotas.account.held("c", monotonic()) == 0


def test_requests_of_customers_without_a_rate_ask_for_nothing(make_limited_chain, quotas):
    chain = make_limited_chain()
    assert _send(chain, "free")[0] == 200
    assert quotas.requests == [] and quotas.opened == []


def _no_endpoints():
    from lanedock.wire import messages

    return messages.EndpointUpdate(whole=True, gone=["u0"])
