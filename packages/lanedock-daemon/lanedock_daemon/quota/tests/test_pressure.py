# SPDX-License-Identifier: BSD-3-Clause
"""Tests of the events about quotas that are reached."""

from itertools import pairwise

from lanedock.telemetry import Event
from lanedock_daemon.quota.pressure import EVENT_INTERVAL, QuotaPressure


class _Events:
    def __init__(self):
        self.emitted = []

    def emit(self, event, **fields) -> None:
        self.emitted.append((event, fields))

    def take(self) -> list:
        emitted, self.emitted = self.emitted, []
        return [(event, fields["customer"]) for event, fields in emitted]


def test_a_quota_is_reported_once_while_it_is_reached_and_once_when_it_is_not():
    events = _Events()
    pressure = QuotaPressure(events)
    for step in range(100):
        pressure.note_refused("c", 0.05, step / 100, rate=5, burst=5)
        pressure.expire(step / 100)
    assert events.emitted[0][1] == {"customer": "c", "rate": 5, "burst": 5}
    assert events.take() == [(Event.QUOTA_REACHED, "c")]
    pressure.expire(0.99 + 0.05 + EVENT_INTERVAL - 0.01)
    assert events.take() == []
    pressure.expire(0.99 + 0.05 + EVENT_INTERVAL)
    assert events.take() == [(Event.QUOTA_FREE, "c")]


def test_a_quota_stays_reached_while_daemons_refuse_without_asking():
    events = _Events()
    pressure = QuotaPressure(events)
    pressure.note_refused("c", 5.0, 0.0)
    events.take()
    pressure.expire(5.0)
    assert events.take() == []


def test_a_customer_has_at_most_one_event_a_second():
    """A customer right at its limit would otherwise fill the log."""
    events = _Events()
    pressure = QuotaPressure(events)
    times = []
    for step in range(3000):
        now = step / 100
        if step % 101 == 0:
            pressure.note_refused("c", 0.0, now)
        pressure.expire(now)
        times += [now] * len(events.take())
    assert len(times) > 10
    assert all(later - earlier >= EVENT_INTERVAL - 1e-9 for earlier, later in pairwise(times))


def test_customers_do_not_share_their_intervals_and_are_forgotten():
    events = _Events()
    pressure = QuotaPressure(events)
    pressure.note_refused("a", 0.0, 0.0)
    pressure.note_refused("b", 0.0, 0.0)
    assert events.take() == [(Event.QUOTA_REACHED, "a"), (Event.QUOTA_REACHED, "b")]
    pressure.expire(EVENT_INTERVAL)
    pressure.expire(2 * EVENT_INTERVAL)
    assert repr(pressure) == "<QuotaPressure customers=0>"
