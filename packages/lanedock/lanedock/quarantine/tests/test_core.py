# SPDX-License-Identifier: BSD-3-Clause
"""Tests of suspicions: counting, clearing, merging, time."""

import tracemalloc
from random import Random

import pytest

from lanedock.quarantine import MAX_CRASHES, MAX_CRASHES_KEPT, SUSPECT_PAUSE, Fingerprint, Quarantine
from lanedock.quarantine.core import MAX_SUSPECTS, QUARANTINE_TIME
from lanedock.wire import messages


def _fingerprint(name: str) -> Fingerprint:
    return Fingerprint(name.encode().ljust(16), name.encode().ljust(16))


KILLER, OTHER = _fingerprint("killer"), _fingerprint("other")


def _crash(quarantine: Quarantine, count: int, now: float = 0.0) -> None:
    for number in range(count):
        quarantine.note_crash(f"u{number}", [KILLER], now)


@pytest.mark.parametrize("count, left", [(1, 0.0), (2, SUSPECT_PAUSE), (3, QUARANTINE_TIME)])
def test_a_request_is_held_back_by_the_crashes_under_it(count, left):
    quarantine = Quarantine()
    _crash(quarantine, count)
    assert quarantine.time_left(KILLER, 0.0) == left
    assert quarantine.time_left(KILLER, left) == 0.0
    assert quarantine.has_head(KILLER.head) is (count >= 2)
    assert quarantine.time_left(OTHER, 0.0) == 0.0


def test_one_crash_counts_once_however_often_it_is_reported():
    quarantine = Quarantine()
    for _ in range(5):
        quarantine.note_crash("u0", [KILLER], 0.0)
    assert quarantine.count(KILLER) == 1


def test_only_the_crash_that_makes_it_three_reports_it_as_quarantined():
    quarantine = Quarantine()
    fresh = [quarantine.note_crash(f"u{number}", [KILLER, OTHER], 0.0) for number in range(4)]
    assert fresh == [[], [], [KILLER, OTHER], []]


def test_a_request_that_is_served_is_cleared_of_all_before_and_of_nothing_after():
    quarantine = Quarantine()
    _crash(quarantine, MAX_CRASHES)
    assert quarantine.clear(KILLER) and not quarantine.clear(KILLER)
    quarantine.note_crash("u0", [KILLER], 1.0)
    assert quarantine.count(KILLER) == 0
    quarantine.note_crash("later", [KILLER], 1.0)
    assert quarantine.count(KILLER) == 1


def test_halves_of_a_mesh_that_were_cut_apart_count_together_afterwards():
    """One has counted one crash and the other two."""
    first, second = Quarantine(), Quarantine()
    first.note_crash("a", [KILLER], 0.0)
    second.note_crash("b", [KILLER], 0.0)
    second.note_crash("c", [KILLER], 0.0)
    first.merge(second.whole_news(5.0), 5.0)
    second.merge(first.whole_news(5.0), 5.0)
    assert first.quarantined() == second.quarantined() == [KILLER]
    assert first.time_left(KILLER, 5.0) == pytest.approx(QUARANTINE_TIME - 5.0)


@pytest.mark.parametrize("seed", range(20))
def test_news_in_any_order_and_number_lead_to_the_same(seed):
    rng = Random(seed)
    sources = [Quarantine() for _ in range(3)]
    outboxes = [source.add_outbox() for source in sources]
    news = []
    for number in range(12):
        at = rng.randrange(3)
        if rng.random() < 0.3:
            sources[at].clear(KILLER)
        else:
            sources[at].note_crash(f"u{number % 7}", [KILLER], 0.0)
        news += sources[at].take_news(outboxes[at], 0.0)
        if rng.random() < 0.5:
            sources[at].merge(rng.sample(news, rng.randrange(len(news) + 1)), 0.0)
    readers = [Quarantine() for _ in range(4)]
    for reader in readers:
        for item in rng.sample(news, len(news)) + rng.choices(news, k=5):
            reader.merge([item], 0.0)
    assert len({tuple(sorted(reader.crashes(KILLER))) for reader in readers}) == 1


def test_a_neighbour_is_not_sent_back_what_it_has_sent():
    quarantine = Quarantine()
    source, downstream = quarantine.add_outbox(), quarantine.add_outbox()
    other = Quarantine()
    other.note_crash("u0", [KILLER], 0.0)
    quarantine.merge(other.whole_news(0.0), 0.0, source)
    assert not source and downstream
    assert len(quarantine.take_news(downstream, 0.0)) == 1 and not downstream


def test_after_its_time_it_is_tried_and_one_crash_is_enough():
    quarantine = Quarantine()
    _crash(quarantine, MAX_CRASHES)
    quarantine.expire(QUARANTINE_TIME)
    assert quarantine.count(KILLER) == MAX_CRASHES - 1
    now = QUARANTINE_TIME + SUSPECT_PAUSE
    assert quarantine.time_left(KILLER, now) == 0.0
    assert quarantine.note_crash("trial", [KILLER], now) == [KILLER]


def test_suspicions_that_led_to_nothing_are_let_go():
    quarantine = Quarantine()
    _crash(quarantine, 1)
    quarantine.expire(QUARANTINE_TIME)
    assert quarantine.size == 0


def test_what_comes_too_late_is_not_taken_up_again():
    old, quarantine = Quarantine(), Quarantine()
    _crash(old, MAX_CRASHES)
    quarantine.merge(old.whole_news(QUARANTINE_TIME + 1.0), 0.0)
    assert quarantine.size == 0


def test_memory_is_bounded_and_what_is_quarantined_stays():
    quarantine = Quarantine()
    _crash(quarantine, MAX_CRASHES)
    for number in range(2 * MAX_SUSPECTS):
        quarantine.note_crash(f"c{number}", [_fingerprint(f"r{number}")], 1.0)
    assert quarantine.size == MAX_SUSPECTS
    assert quarantine.quarantined() == [KILLER]


def test_a_request_that_was_cleared_often_is_still_quarantined_when_it_comes_to_that():
    quarantine = Quarantine()
    for number in range(2 * MAX_CRASHES_KEPT):
        quarantine.note_crash(f"c{number}", [KILLER], 0.0)
        quarantine.clear(KILLER)
    _crash(quarantine, MAX_CRASHES)
    assert quarantine.quarantined() == [KILLER]
    for number in range(2 * MAX_CRASHES_KEPT):
        quarantine.note_crash(f"d{number}", [KILLER], 0.0)
    assert len(quarantine.crashes(KILLER)) == MAX_CRASHES_KEPT


def _crash_under(quarantine: Quarantine, count: int, crashes: int) -> None:
    """Note crashes, under as many requests each, named as long as instances and upstreams are."""
    fingerprints = [_fingerprint(f"r{number}") for number in range(count)]
    for number in range(crashes):
        quarantine.note_crash(f"sidecar-ncr-makati-3/i-f36268cec{number}/1764738000000", fingerprints, 0.0)


def test_a_crash_costs_each_daemon_a_packet_or_two():
    """Under 18 requests in progress 1,623 bytes: 0.3 MB in all in a mesh of 190 daemons."""
    quarantine = Quarantine()
    outbox = quarantine.add_outbox()
    _crash_under(quarantine, 18, 1)
    update = messages.Suspicions(changed=quarantine.take_news(outbox, 1.0))
    assert update.ByteSize() < 1700


def test_what_is_held_at_the_most_takes_half_a_megabyte():
    """0.33 MB, of the 32 that a daemon may take."""
    tracemalloc.start()
    quarantine = Quarantine()
    _crash_under(quarantine, MAX_SUSPECTS, MAX_CRASHES_KEPT)
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert quarantine.size == MAX_SUSPECTS
    assert held < 500_000
