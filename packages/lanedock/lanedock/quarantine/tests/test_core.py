# SPDX-License-Identifier: BSD-3-Clause
"""Tests of suspicions: counting, clearing, merging, expiry."""

import tracemalloc
from random import Random

import pytest

from lanedock.quarantine import MAX_CRASHES, MAX_STORED_CRASHES, SUSPECT_PAUSE, Fingerprint, Quarantine
from lanedock.quarantine.core import MAX_SUSPECTS, QUARANTINE_TIME
from lanedock.wire import messages


def _fingerprint(name: str) -> Fingerprint:
    return Fingerprint(name.encode().ljust(16), name.encode().ljust(16))


CRASHING, OTHER = _fingerprint("killer"), _fingerprint("other")


def _crash(quarantine: Quarantine, count: int, now: float = 0.0) -> None:
    for number in range(count):
        quarantine.note_crash(f"u{number}", [CRASHING], now)


@pytest.mark.parametrize("count, left", [(1, 0.0), (2, SUSPECT_PAUSE), (3, QUARANTINE_TIME)])
def test_a_request_is_blocked_for_longer_with_each_crash(count, left):
    quarantine = Quarantine()
    _crash(quarantine, count)
    assert quarantine.time_left(CRASHING, 0.0) == left
    assert quarantine.time_left(CRASHING, left) == 0.0
    assert quarantine.has_head(CRASHING.head) is (count >= 2)
    assert quarantine.time_left(OTHER, 0.0) == 0.0


def test_a_crash_that_is_reported_repeatedly_counts_once():
    quarantine = Quarantine()
    for _ in range(5):
        quarantine.note_crash("u0", [CRASHING], 0.0)
    assert quarantine.count(CRASHING) == 1


def test_only_the_third_crash_reports_the_request_as_quarantined():
    quarantine = Quarantine()
    newly_quarantined = [quarantine.note_crash(f"u{number}", [CRASHING, OTHER], 0.0) for number in range(4)]
    assert newly_quarantined == [[], [], [CRASHING, OTHER], []]


def test_a_served_request_is_cleared_of_earlier_crashes_only():
    quarantine = Quarantine()
    _crash(quarantine, MAX_CRASHES)
    assert quarantine.clear(CRASHING) and not quarantine.clear(CRASHING)
    quarantine.note_crash("u0", [CRASHING], 1.0)
    assert quarantine.count(CRASHING) == 0
    quarantine.note_crash("later", [CRASHING], 1.0)
    assert quarantine.count(CRASHING) == 1


def test_crashes_seen_on_both_sides_of_a_partition_are_added_up_after_it():
    """One side has counted one crash and the other side two."""
    first, second = Quarantine(), Quarantine()
    first.note_crash("a", [CRASHING], 0.0)
    second.note_crash("b", [CRASHING], 0.0)
    second.note_crash("c", [CRASHING], 0.0)
    first.merge(second.all_suspicions(5.0), 5.0)
    second.merge(first.all_suspicions(5.0), 5.0)
    assert first.quarantined() == second.quarantined() == [CRASHING]
    assert first.time_left(CRASHING, 5.0) == pytest.approx(QUARANTINE_TIME - 5.0)


@pytest.mark.parametrize("seed", range(20))
def test_changes_merged_in_any_order_and_repeatedly_give_the_same_state(seed):
    rng = Random(seed)
    sources = [Quarantine() for _ in range(3)]
    outboxes = [source.add_outbox() for source in sources]
    changes = []
    for number in range(12):
        at = rng.randrange(3)
        if rng.random() < 0.3:
            sources[at].clear(CRASHING)
        else:
            sources[at].note_crash(f"u{number % 7}", [CRASHING], 0.0)
        changes += sources[at].take_changes(outboxes[at], 0.0)
        if rng.random() < 0.5:
            sources[at].merge(rng.sample(changes, rng.randrange(len(changes) + 1)), 0.0)
    readers = [Quarantine() for _ in range(4)]
    for reader in readers:
        for item in rng.sample(changes, len(changes)) + rng.choices(changes, k=5):
            reader.merge([item], 0.0)
    assert len({tuple(sorted(reader.crashes(CRASHING))) for reader in readers}) == 1


def test_suspicions_are_not_sent_back_to_the_neighbour_that_sent_them():
    quarantine = Quarantine()
    source, downstream = quarantine.add_outbox(), quarantine.add_outbox()
    other = Quarantine()
    other.note_crash("u0", [CRASHING], 0.0)
    quarantine.merge(other.all_suspicions(0.0), 0.0, source)
    assert not source and downstream
    assert len(quarantine.take_changes(downstream, 0.0)) == 1 and not downstream


def test_an_expired_quarantine_allows_a_trial_and_one_crash_renews_it():
    quarantine = Quarantine()
    _crash(quarantine, MAX_CRASHES)
    quarantine.expire(QUARANTINE_TIME)
    assert quarantine.count(CRASHING) == MAX_CRASHES - 1
    now = QUARANTINE_TIME + SUSPECT_PAUSE
    assert quarantine.time_left(CRASHING, now) == 0.0
    assert quarantine.note_crash("trial", [CRASHING], now) == [CRASHING]


def test_a_suspicion_without_further_crashes_expires():
    quarantine = Quarantine()
    _crash(quarantine, 1)
    quarantine.expire(QUARANTINE_TIME)
    assert quarantine.size == 0


def test_expired_suspicions_are_not_merged():
    old, quarantine = Quarantine(), Quarantine()
    _crash(old, MAX_CRASHES)
    quarantine.merge(old.all_suspicions(QUARANTINE_TIME + 1.0), 0.0)
    assert quarantine.size == 0


def test_memory_is_bounded_and_quarantined_requests_are_not_evicted():
    quarantine = Quarantine()
    _crash(quarantine, MAX_CRASHES)
    for number in range(2 * MAX_SUSPECTS):
        quarantine.note_crash(f"c{number}", [_fingerprint(f"r{number}")], 1.0)
    assert quarantine.size == MAX_SUSPECTS
    assert quarantine.quarantined() == [CRASHING]


def test_a_request_that_was_cleared_often_can_still_be_quarantined():
    quarantine = Quarantine()
    for number in range(2 * MAX_STORED_CRASHES):
        quarantine.note_crash(f"c{number}", [CRASHING], 0.0)
        quarantine.clear(CRASHING)
    _crash(quarantine, MAX_CRASHES)
    assert quarantine.quarantined() == [CRASHING]
    for number in range(2 * MAX_STORED_CRASHES):
        quarantine.note_crash(f"d{number}", [CRASHING], 0.0)
    assert len(quarantine.crashes(CRASHING)) == MAX_STORED_CRASHES


def _note_crashes_under_requests(quarantine: Quarantine, count: int, crashes: int) -> None:
    """Add crashes with `count` requests each, with identifiers of realistic length."""
    fingerprints = [_fingerprint(f"r{number}") for number in range(count)]
    for number in range(crashes):
        quarantine.note_crash(f"sidecar-ncr-makati-3/i-f36268cec{number}/1764738000000", fingerprints, 0.0)


def test_a_crash_takes_each_daemon_one_or_two_packets():
    """A crash under 18 requests takes 1,623 bytes, or 0.3 MB in a mesh of 190 daemons."""
    quarantine = Quarantine()
    outbox = quarantine.add_outbox()
    _note_crashes_under_requests(quarantine, 18, 1)
    update = messages.Suspicions(changed=quarantine.take_changes(outbox, 1.0))
    assert update.ByteSize() < 1700


def test_the_maximum_of_suspicions_takes_less_than_half_a_megabyte():
    """It takes 0.33 MB of the 32 MB that a daemon may use."""
    tracemalloc.start()
    quarantine = Quarantine()
    _note_crashes_under_requests(quarantine, MAX_SUSPECTS, MAX_STORED_CRASHES)
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert quarantine.size == MAX_SUSPECTS
    assert held < 500_000
