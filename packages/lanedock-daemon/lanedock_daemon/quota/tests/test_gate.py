# SPDX-License-Identifier: BSD-3-Clause
"""Tests of a daemon's admission by quotas, with fake control instances that fail in each way."""

import gevent
import pytest

from lanedock.clock import monotonic
from lanedock.errors import ErrorCode
from lanedock.quota import Taken
from lanedock.telemetry import Event
from lanedock_daemon.path.http.service import StopTimeout
from lanedock_daemon.quota import client as client_module
from lanedock_daemon.quota import gate as gate_module
from lanedock_daemon.quota.gate import QuotaRefusal
from lanedock_daemon.quota.tests.fakes import INSTANCES, QuotaDaemon, decline, grant

# Seconds; guards against a request that waits forever.
LONG = 10.0
SUSPENSION = 30.0
OWN, NEAR, FAR = INSTANCES


@pytest.fixture
def daemon():
    daemon = QuotaDaemon()
    yield daemon
    daemon.client.stop()


@pytest.fixture(autouse=True)
def _limit_time():
    with gevent.Timeout(LONG):
        yield


def _deadline() -> float:
    return monotonic() + LONG


def _admit_many(daemon, count: int) -> list:
    tasks = [gevent.spawn(daemon.admit, _deadline()) for _ in range(count)]
    gevent.joinall(tasks)
    return [task.get() for task in tasks]


def _wait_for(condition) -> None:
    while not condition():
        gevent.sleep(0.01)


def test_requests_that_wait_at_the_same_moment_share_one_message(daemon):
    daemon.behaviours[OWN] = grant()
    assert all(isinstance(result, Taken) for result in _admit_many(daemon, 30))
    (request,) = [request for _, request in daemon.requests if any(need.needed for need in request.needs)]
    assert request.zone == "z"
    assert [(need.customer, need.needed) for need in request.needs] == [("c", 30)]


def test_a_credit_at_hand_is_taken_without_a_request(daemon):
    daemon.behaviours[OWN] = grant(10)
    daemon.admit(_deadline())
    asked = len(daemon.requests)
    assert isinstance(daemon.admit(_deadline()), Taken)
    assert len(daemon.requests) == asked


def test_requests_beyond_the_quota_are_refused_at_consecutive_times(daemon):
    daemon.behaviours[OWN] = grant(2, retry_after_ms=300)
    results = _admit_many(daemon, 6)
    assert [type(result) for result in results] == [Taken] * 2 + [QuotaRefusal] * 4
    refusals = results[2:]
    assert {refusal.code for refusal in refusals} == {ErrorCode.QUOTA_EXCEEDED}
    times = [refusal.retry_after for refusal in refusals]
    assert times == sorted(set(times)) and times[0] > 0.2


def test_no_instance_is_asked_until_a_credit_is_due(daemon):
    daemon.behaviours[OWN] = grant(0, retry_after_ms=5000)
    daemon.admit(_deadline())
    asked = len(daemon.requests)
    for _ in range(100):
        assert daemon.admit(_deadline()).code is ErrorCode.QUOTA_EXCEEDED
    gevent.sleep(0.1)
    assert len(daemon.requests) == asked


def test_the_named_leader_is_asked_from_then_on(daemon):
    daemon.behaviours |= {OWN: decline(FAR), FAR: grant(leader=FAR)}
    for _ in range(2):
        assert isinstance(daemon.admit(_deadline()), Taken)
    assert daemon.asked()[:3] == [1, 3, 3]


@pytest.mark.parametrize("failure", ["silent", "reset"])
def test_a_leader_that_ended_or_is_cut_off_is_replaced_by_the_own_zones_instance(daemon, failure):
    """A paused leader is silent, too: the kernel accepts what is sent to it."""
    daemon.behaviours |= {OWN: decline(FAR), FAR: grant(leader=FAR)}
    daemon.admit(_deadline())
    daemon.behaviours |= {OWN: grant(), FAR: failure}
    daemon.requests.clear()
    assert isinstance(daemon.admit(_deadline()), Taken)
    assert daemon.asked()[:2] == [3, 1]
    # The failed instance isn't waited for again.
    daemon.requests.clear()
    assert isinstance(daemon.admit(_deadline()), Taken)
    assert daemon.asked()[0] == 1


@pytest.mark.parametrize("failure", ["silent", "reset", decline(), decline(OWN)])
def test_another_zones_instance_is_asked_where_the_own_ones_does_not_grant(daemon, failure):
    daemon.behaviours |= {OWN: failure, NEAR: grant()}
    assert isinstance(daemon.admit(_deadline()), Taken)
    assert daemon.asked()[:2] == [1, 2]


def test_requests_wait_on_while_all_instances_decline_until_one_grants_alone(daemon, monkeypatch):
    """After a leader has ended, no instance grants credits for 0.8 s."""
    monkeypatch.setattr(gate_module, "WAIT_LIMIT", LONG)
    monkeypatch.setattr(client_module, "WAIT_LIMIT", LONG)
    daemon.behaviours |= dict.fromkeys(INSTANCES, decline())
    waiting = gevent.spawn(daemon.admit, _deadline())
    _wait_for(lambda: len(daemon.requests) >= 7)
    assert not waiting.ready()
    daemon.behaviours[OWN] = grant()
    assert isinstance(waiting.get(), Taken)
    assert daemon.asked()[:6] == [1, 2, 3, 1, 2, 3]


@pytest.mark.parametrize("failure", ["silent", "reset", decline(), decline(OWN)])
def test_a_request_is_refused_in_time_where_no_instance_grants(daemon, failure):
    daemon.behaviours |= dict.fromkeys(INSTANCES, failure)
    refusal = daemon.admit(_deadline())
    assert refusal.code is ErrorCode.QUOTA_UNAVAILABLE and refusal.retry_after == 0.5
    assert {1, 2} <= set(daemon.asked())
    assert daemon.events == [(Event.QUOTA_UNAVAILABLE, {"is_granted": False})]


def test_requests_that_arrive_while_all_instances_fail_wait_for_the_next_round(daemon):
    """Otherwise a busy daemon opens hundreds of connections a second to instances that don't run."""
    daemon.behaviours |= dict.fromkeys(INSTANCES, "reset")
    tasks, began_at = [], monotonic()
    for _ in range(50):
        tasks.append(gevent.spawn(daemon.admit, _deadline()))
        gevent.sleep(0.01)
    gevent.joinall(tasks)
    rounds = (monotonic() - began_at) / client_module.ROUND_PAUSE
    # A request that arrives just before a round ends may have one of its own. With a round for each request in
    # each pause, there would be 900 streams.
    assert len(daemon.opened) <= 2 * len(INSTANCES) * (rounds + 2)


def test_needs_of_requests_that_no_longer_wait_are_not_asked_again(daemon):
    daemon.behaviours |= dict.fromkeys(INSTANCES, decline())
    daemon.admit(_deadline())
    _wait_for(lambda: not daemon.client._batches)
    asked = len(daemon.requests)
    gevent.sleep(3 * client_module.ROUND_PAUSE)
    assert len(daemon.requests) == asked


@pytest.mark.parametrize("left, expected", [(10.0, 0.6), (0.2, 0.2)])
def test_a_request_waits_no_longer_than_the_limit_and_its_deadline(daemon, monkeypatch, left, expected):
    limits = []
    monkeypatch.setattr(gate_module, "monotonic", lambda: 100.0)
    monkeypatch.setattr(daemon.client, "wait", lambda until: limits.append(until))
    daemon.admit(100.0 + left)
    assert limits == [pytest.approx(100.0 + expected)]


def test_a_request_whose_deadline_is_near_waits_no_longer_than_that(daemon):
    refusal = daemon.admit(monotonic() + 0.05)
    assert (refusal.code, refusal.retry_after) == (ErrorCode.DEADLINE, 0.0)


def test_a_request_that_waits_while_the_process_stops_is_refused(daemon):
    task = gevent.spawn(daemon.admit, _deadline())
    _wait_for(lambda: daemon.requests)
    task.kill(StopTimeout, block=False)
    assert task.get().code is ErrorCode.DRAINING


def test_an_answer_that_comes_after_its_stream_was_given_up_is_ignored(daemon):
    daemon.behaviours[NEAR] = grant()
    assert isinstance(daemon.admit(_deadline()), Taken)
    late = daemon.opened[0]
    assert late.address == OWN and late.is_closed
    late.reply(grant(40)(daemon.requests[0][1]))
    assert daemon.account.held("c", monotonic()) == 0


def test_credits_that_are_given_back_serve_another_request(daemon):
    daemon.behaviours[OWN] = grant(1)
    credit = daemon.admit(_deadline())
    daemon.behaviours[OWN] = "silent"
    daemon.gate.give_back(_customer(), credit)
    assert isinstance(daemon.admit(_deadline()), Taken)
    assert len([request for _, request in daemon.requests if request.needs[0].needed]) == 1


def _customer():
    return next(iter(QuotaDaemon().holder.in_force.config.customers))


@pytest.fixture
def suspend(monkeypatch):
    """Make a function that advances the clock of the daemon, as a suspension does."""
    passed = 0.0
    for module in (gate_module, client_module):
        monkeypatch.setattr(module, "monotonic", lambda: monotonic() + passed)

    def advance(seconds: float) -> None:
        nonlocal passed
        passed += seconds

    return advance


def test_credits_at_hand_are_not_used_after_a_suspension(daemon, suspend):
    """Their granter has granted others meanwhile: both together would exceed the limit."""
    daemon.behaviours[OWN] = grant(20)
    daemon.admit(_deadline())
    assert daemon.account.held("c", monotonic()) > 0
    daemon.behaviours[OWN] = "silent"
    suspend(SUSPENSION)
    assert daemon.admit(_deadline() + SUSPENSION).code is ErrorCode.QUOTA_UNAVAILABLE


def test_credits_that_are_received_after_a_suspension_are_not_used(daemon, suspend):
    """The answer may be read after a suspension that began just after the request was sent."""
    waiting = gevent.spawn(daemon.admit, _deadline() + 2 * SUSPENSION)
    _wait_for(lambda: daemon.requests)
    suspend(SUSPENSION)
    daemon.opened[0].reply(grant(20)(daemon.requests[0][1]))
    assert waiting.get().code is ErrorCode.QUOTA_UNAVAILABLE
    assert daemon.account.held("c", monotonic() + SUSPENSION) == 0


def test_grants_end_the_event_of_missing_ones_at_most_once_a_second(daemon):
    for _ in range(3):
        daemon.client.note_unanswered()
    daemon.behaviours[OWN] = grant()
    daemon.admit(_deadline())
    assert [fields["is_granted"] for _, fields in daemon.events] == [False]
    daemon.client._event_at -= client_module.EVENT_INTERVAL
    daemon.admit(_deadline())
    assert [fields["is_granted"] for _, fields in daemon.events] == [False, True]


def test_streams_and_the_task_end_when_no_credits_are_needed(daemon, monkeypatch):
    """A mesh without customers, or without their requests, must have no connection and no task for quotas."""
    assert daemon.opened == [] and daemon.client._watch_task is None
    monkeypatch.setattr(client_module, "IDLE_LIMIT", 0.2)
    daemon.behaviours[OWN] = grant()
    daemon.admit(_deadline())
    assert [stream.is_closed for stream in daemon.opened] == [False]
    _wait_for(lambda: daemon.client._watch_task is None)
    assert [stream.is_closed for stream in daemon.opened] == [True]
    assert isinstance(daemon.admit(_deadline()), Taken)
    assert len(daemon.opened) == 2


def test_customers_that_are_removed_lose_their_credits(daemon):
    daemon.behaviours[OWN] = grant(20)
    daemon.admit(_deadline())
    daemon.holder.in_force.config.customers = None
    daemon.holder.in_force_version.number = 2
    _wait_for(lambda: daemon.account.held("c", monotonic()) == 0)
