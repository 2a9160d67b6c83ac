# SPDX-License-Identifier: BSD-3-Clause
"""Tests of a daemon's credits."""

import pytest

from lanedock.quota import CreditAccount, Exhausted, MustWait, Quota, Taken
from lanedock.quota.ledger import CREDIT_LIFETIME
from lanedock.wire import messages


def _make(rate=100.0) -> CreditAccount:
    account = CreditAccount()
    account.configure({"x": Quota(rate, rate)})
    return account


def _grant(credits=0, retry_ms=0, customer="x") -> list:
    return [messages.CreditGrant(customer=customer, credits=credits, retry_after_ms=retry_ms)]


def _make_with(credits: int, now=0.0) -> CreditAccount:
    """Return an account with credits that were asked for now."""
    account = _make()
    account.take("x", now)
    account.make_needs(now)
    account.add_grants(_grant(credits), now, now)
    return account


def test_requests_of_the_same_moment_share_one_message():
    account = _make()
    assert not account.has_needs
    for customer in ("x", "y", "x"):
        assert isinstance(account.take(customer, 0.0), MustWait)
    assert account.has_needs
    assert {need.customer: need.needed for need in account.make_needs(0.0)} == {"x": 2, "y": 1}
    assert account.make_needs(0.0) == []
    assert not account.has_needs


def test_waiting_requests_take_what_was_granted_and_the_others_are_refused():
    account = _make()
    for _ in range(4):
        account.take("x", 0.0)
    account.make_needs(0.0)
    account.add_grants(_grant(2, retry_ms=50), 0.01, 0.0)
    results = [account.take("x", 0.01) for _ in range(4)]
    assert [type(result) for result in results] == [Taken, Taken, Exhausted, Exhausted]
    # The retry times of further refusals follow at the rate.
    assert [result.retry_after for result in results[2:]] == pytest.approx([0.05, 0.06])


def test_daemon_refuses_without_asking_until_a_credit_is_due():
    account = _make()
    account.take("x", 0.0)
    account.make_needs(0.0)
    account.add_grants(_grant(0, retry_ms=50), 0.0, 0.0)
    assert isinstance(account.take("x", 0.049), Exhausted)
    assert account.make_needs(0.049) == []
    assert isinstance(account.take("x", 0.051), MustWait)


def test_retry_times_are_bounded():
    account = _make(rate=1.0)
    account.take("x", 0.0)
    account.add_grants(_grant(0, retry_ms=100), 0.0, 0.0)
    assert max(account.take("x", 0.0).retry_after for _ in range(100)) <= 5.1


def test_credits_end_after_their_lifetime():
    account = _make_with(3)
    assert account.held("x", CREDIT_LIFETIME - 0.01) == 3
    assert account.held("x", CREDIT_LIFETIME) == 0
    assert isinstance(account.take("x", CREDIT_LIFETIME), MustWait)


def test_lifetime_counts_from_the_request_for_the_credits():
    """An answer that lay in the socket of a suspended daemon would otherwise bring credits granted long ago."""
    account = _make()
    account.take("x", 0.0)
    account.make_needs(0.0)
    account.add_grants(_grant(3), CREDIT_LIFETIME - 0.1, 0.0)
    assert account.held("x", CREDIT_LIFETIME - 0.1) == 3
    assert account.held("x", CREDIT_LIFETIME) == 0
    account.add_grants(_grant(3), 1.0, 0.5)
    assert account.held("x", 1.0) == 0


def test_answer_that_comes_too_late_refuses_nothing():
    account = _make()
    account.take("x", 0.0)
    account.make_needs(0.0)
    account.add_grants(_grant(0, retry_ms=500), CREDIT_LIFETIME, 0.0)
    assert isinstance(account.take("x", CREDIT_LIFETIME), MustWait)


def test_credits_that_end_first_are_taken_first():
    account = _make_with(1, now=0.1)
    account.add_grants(_grant(1), 0.15, 0.0)
    assert account.take("x", 0.2).expires_at == pytest.approx(CREDIT_LIFETIME)
    assert account.take("x", 0.2).expires_at == pytest.approx(0.1 + CREDIT_LIFETIME)


def test_unused_credits_are_given_back_before_they_end():
    account = _make_with(3)
    assert account.make_needs(0.1) == []
    (need,) = account.make_needs(CREDIT_LIFETIME - 0.1)
    assert (need.needed, need.returned) == (0, 3)
    assert account.held("x", CREDIT_LIFETIME - 0.1) == 0
    assert account.make_needs(CREDIT_LIFETIME - 0.1) == []


def test_credits_that_have_ended_are_not_given_back():
    account = _make_with(3)
    assert all(not need.returned for need in account.make_needs(CREDIT_LIFETIME + 0.1))


def test_request_that_ended_not_run_gives_its_credit_back():
    account = _make_with(1)
    taken = account.take("x", 0.1)
    account.give_back("x", 0.2, taken)
    assert account.held("x", 0.2) == 1
    assert account.take("x", 0.2).expires_at == taken.expires_at


def test_credit_that_has_ended_is_not_given_back():
    account = _make_with(1)
    taken = account.take("x", 0.1)
    account.give_back("x", CREDIT_LIFETIME, taken)
    assert account.held("x", CREDIT_LIFETIME) == 0


def _use_steadily(account: CreditAccount, rate: float, seconds: float) -> list:
    """Take credits at a rate, with each need answered at once; return the needs."""
    needs = []
    for step in range(int(rate * seconds)):
        now = step / rate
        account.take("x", now)
        if account.has_needs:
            made = account.make_needs(now)
            account.add_grants(_grant(sum(need.needed + need.ahead for need in made)), now, now)
            needs += made
    return needs


def test_steady_use_is_asked_ahead_for():
    account = _make()
    needs = _use_steadily(account, 200.0, 3.0)
    late = needs[len(needs) // 2 :]
    assert sum(need.needed for need in late) == 0
    assert max(need.ahead for need in needs) <= 200 * 0.1 * 1.2
    # One message for a tenth of a second's use, half of which is left when it is sent.
    assert len(late) < 3.0 / 0.04


def test_rare_use_is_not_asked_ahead_for():
    assert all(need.ahead == 0 for need in _use_steadily(_make(), 5.0, 10.0))


def test_idle_accounts_are_removed():
    account = _make_with(1)
    account.take("x", 0.0)
    for tenth in range(100):
        account.make_needs(tenth / 10)
    assert repr(account) == "<CreditAccount customers=0>"


def test_credits_of_removed_customers_are_void():
    account = _make_with(3)
    account.configure({"y": Quota(1, 1)})
    assert account.held("x", 0.0) == 0
    account.add_grants(_grant(3), 0.0, 0.0)
    assert account.held("x", 0.0) == 0


@pytest.mark.parametrize(("grants", "kind"), [(_grant(1), Taken), (_grant(retry_ms=500), Exhausted)])
def test_answer_is_not_lost_when_needs_of_others_are_made_before_it_comes(grants, kind):
    """Otherwise the request asks again until it gives up, and each credit that it was granted is lost."""
    account = _make()
    account.take("x", 0.0)
    account.make_needs(0.0)
    account.take("y", 0.001)
    account.make_needs(0.001)
    account.add_grants(grants, 0.002, 0.0)
    assert isinstance(account.take("x", 0.002), kind)
