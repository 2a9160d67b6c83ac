# SPDX-License-Identifier: BSD-3-Clause
"""Tests of which ends of requests count as failures of a canary."""

import gevent
import pytest

from lanedock_daemon.path.tests.chain import Chain, Gate, make_value, wait_until


class _Account:
    """Records what is counted of the requests."""

    def __init__(self):
        self.sent = 0
        self.failed: list[bool] = []

    def note_sent(self) -> None:
        self.sent += 1

    def note_answer(self, failed: bool, taken: float) -> None:
        self.failed.append(failed)


@pytest.fixture
def make_chain():
    chains = []

    def make(script) -> Chain:
        chains.append(Chain(script, value=make_value()))
        return chains[-1]

    yield make
    for chain in chains:
        chain.stop()


def _count(chain: Chain, monkeypatch) -> _Account:
    account = _Account()
    monkeypatch.setattr(chain.upstreams[0].side, "_make_account", lambda route: account)
    return account


def test_stop_of_the_daemon_is_no_failure_of_the_canary(make_chain, monkeypatch):
    gate = Gate()
    chain = make_chain(gate)
    account = _count(chain, monkeypatch)
    caller = gevent.spawn(chain.request, "POST", "/x", b"x")
    wait_until(lambda: gate.begun)
    gevent.sleep(chain.upstreams[0].limiter.tail_service_time("post") + 0.1)
    chain.upstreams[0].server._force_final_answers()
    assert caller.get(timeout=5)[0] == 502
    assert (account.sent, account.failed) == (1, [])


def test_caller_that_leaves_within_its_upload_is_no_failure_of_the_canary(make_chain, monkeypatch):
    chain = make_chain(None)
    account = _count(chain, monkeypatch)
    with chain.connect() as conn:
        conn.sendall(b"POST /p HTTP/1.1\r\nHost: h\r\nContent-Length: 8000\r\n\r\n" + b"x" * 100)
        wait_until(lambda: account.sent)
    wait_until(lambda: not chain.upstreams[0].limiter.in_use)
    assert True not in account.failed
