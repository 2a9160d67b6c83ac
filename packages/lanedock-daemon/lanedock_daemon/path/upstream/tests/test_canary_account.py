# SPDX-License-Identifier: BSD-3-Clause
"""Tests of the account of single requests while canaries run."""

from types import SimpleNamespace

from lanedock.canary import CanaryCounter
from lanedock.telemetry import NullMetrics
from lanedock.wire import messages
from lanedock_daemon.path.upstream.canary_account import CanaryAccount


def _plan(number: int) -> messages.CanaryPlan:
    return messages.CanaryPlan(revision=number, rules=[messages.CanaryRule(service="s", canary="v2", number=number)])


def _begin(counter: CanaryCounter) -> CanaryAccount:
    canaries = SimpleNamespace(rule=lambda service: _plan(1).rules[0])
    view = SimpleNamespace(canary_counter=counter, canaries=canaries, instance="new1")
    account = CanaryAccount(view, SimpleNamespace(service="s", version="v2"), NullMetrics(), "r")
    account.note_sent()
    return account


def test_answer_to_a_request_of_a_former_canary_is_not_counted_for_the_next_one():
    counter = CanaryCounter()
    counter.follow(_plan(1))
    former = _begin(counter)
    counter.follow(_plan(2))
    former.note_answer(True, 0.1)
    _begin(counter).note_answer(False, 0.1)
    (counts,) = counter.take_changed()
    assert (counts.number, counts.sent, counts.answered, counts.failed) == (2, 1, 1, 0)
