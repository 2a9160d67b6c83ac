# SPDX-License-Identifier: BSD-3-Clause
"""Tests of the use of quotas that operators are shown."""

import pytest

from lanedock.wire import messages
from lanedock_daemon.quota.usage import WINDOW, QuotaUsage


def _fill(usage: QuotaUsage, customer: str, now: float) -> messages.CustomerUse:
    use = messages.CustomerUse(customer=customer)
    usage.fill(use, now)
    return use


def test_credits_are_shown_by_zone_and_as_a_mean_per_second():
    usage = QuotaUsage()
    usage.note("c", "z1", 30, 0, 100.2)
    usage.note("c", "z2", 12, 5, 103.9)
    usage.note("c", "z2", -2, 1, 104.0)
    use = _fill(usage, "c", 104.5)
    assert [(item.zone, item.credits) for item in use.by_zone] == [("z1", 30), ("z2", 10)]
    assert use.granted_per_s == pytest.approx(40 / WINDOW)
    assert use.refused == 6


@pytest.mark.parametrize("later, expected", [(WINDOW - 1, 30), (WINDOW, 0), (100 * WINDOW, 0)])
def test_credits_are_counted_for_the_window_only(later, expected):
    usage = QuotaUsage()
    usage.note("c", "z", 30, 1, 100.0)
    use = _fill(usage, "c", 100.0 + later)
    assert sum(item.credits for item in use.by_zone) == expected
    assert use.refused == 1


def test_the_mean_follows_steady_use():
    usage = QuotaUsage()
    for step in range(300):
        usage.note("c", "z", 5, 0, 7.05 + step / 10)
    assert _fill(usage, "c", 36.95).granted_per_s == pytest.approx(50)


def test_customers_that_are_gone_are_removed():
    """Otherwise a mesh whose customers change keeps the counts of all that it ever had."""
    usage = QuotaUsage()
    for name in ("a", "b"):
        usage.note(name, "z", 1, 1, 0.0)
    usage.keep({"b"})
    assert "customers=1" in repr(usage)
    assert _fill(usage, "a", 0.0).refused == 0 and _fill(usage, "b", 0.0).refused == 1
