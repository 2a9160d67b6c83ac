# SPDX-License-Identifier: BSD-3-Clause
"""Tests of the admission queue's order with customers, and of its equality with the order without them."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lanedock.config import TrafficClass
from lanedock.limits import AdmissionRequest, BodyAdmission, QueuedRequest, SlotLimiter
from lanedock.limits.queue import AdmissionQueue
from lanedock.limits.tests.reference_queue import ReferenceQueue

CLASSES = {
    "order": TrafficClass("order", 0.4, 0),
    "browse": TrafficClass("browse", 0.3, 1),
    "photo": TrafficClass("photo", 0.0, 5),
}
FAR = 100.0


def _queued(traffic_class: str, target: float = FAR, priority: int = 0, customer: str = "") -> QueuedRequest:
    request = AdmissionRequest(FAR, target, customer=customer, customer_priority=priority)
    return QueuedRequest(traffic_class, request, lambda: None, FAR)


def _make_queue(*waiting: QueuedRequest, limit: int = 3, held: dict | None = None) -> AdmissionQueue:
    queue = AdmissionQueue(limit, CLASSES, lambda customer: (held or {}).get(customer, 0))
    for queued in waiting:
        queue.add(queued)
    return queue


def _pop_all(queue: AdmissionQueue) -> list[QueuedRequest]:
    popped = []
    for group in queue.list_groups():
        while queue.has_queued(group):
            popped.append(queue.pop_first(group))
    return popped


_ACTIONS = st.tuples(
    st.sampled_from(["add", "pop", "remove", "configure"]),
    st.sampled_from([*CLASSES, "former", "other"]),
    st.integers(0, 6),
)


@settings(max_examples=400, deadline=None, derandomize=True)
@given(
    priority=st.integers(0, 2),
    customer=st.sampled_from(["", "ann"]),
    limit=st.integers(0, 6),
    actions=st.lists(_ACTIONS, max_size=40),
)
def test_queue_with_equal_priorities_decides_as_it_did_before_customers(priority, customer, limit, actions):
    """Compares every decision with the reference: room, evictions, requests ahead, and the order of admissions."""
    queue, reference = _make_queue(limit=limit, held={"ann": 2}), ReferenceQueue(limit, CLASSES)
    pairs: list[tuple[QueuedRequest, QueuedRequest]] = []
    for action, name, number in actions:
        if action == "add":
            pair = (_queued(name, number, priority, customer), _queued(name, number, priority, customer))
            ahead = queue.list_ahead(name, pair[0].request)
            assert len(ahead) == reference.count_ahead(name, pair[1].request)
            assert queue.has_room(name) == reference.has_room(name)
            if queue.has_room(name) or (
                queue.evict_for(name, pair[0].request) | reference.evict_for(name, pair[1].request)
            ):
                queue.add(pair[0])
                reference.add(pair[1])
                pairs.append(pair)
        elif action == "pop":
            groups = [group for group in reference.list_classes() if reference.has_queued(group)]
            assert [group[1] for group in queue.list_groups()] == groups
            if groups:
                first = queue.pop_first(queue.list_groups()[0]), reference.pop_first(groups[0])
                assert first in pairs
        elif action == "remove" and pairs:
            ours, other = pairs[number % len(pairs)]
            assert queue.remove(ours) == reference.remove(other)
        elif action == "configure":
            classes = {key: CLASSES[key] for key in list(CLASSES)[: 1 + number % 3]}
            queue.configure(number, classes)
            reference.configure(number, classes)
        assert len(queue) == len(reference)
        assert [ours.is_evicted for ours, _ in pairs] == [other.is_evicted for _, other in pairs]


def test_order_is_by_customers_priority_then_class_then_target_time():
    expected = [
        _queued("order", 2.0, 0),
        _queued("order", 3.0, 0),
        _queued("photo", 1.0, 0),
        _queued("order", 1.0, 1),
        _queued("browse", 0.5, 1),
        _queued("order", 0.1, 2),
    ]
    queue = _make_queue(*(expected[number] for number in (3, 1, 5, 0, 4, 2)), limit=10)
    ahead = [queue.count_ahead(queued.traffic_class, queued.request) for queued in expected]
    # A request counts itself, as one with the same target time.
    assert ahead == [1, 2, 3, 4, 5, 6]
    assert _pop_all(queue) == expected
    assert len(queue) == 0


@pytest.mark.parametrize(
    ("limit", "waiting", "newcomer", "evicted"),
    [
        # The least urgent priority goes first, however urgent its class and target time are.
        (2, [("order", 1.0, 2), ("photo", 9.0, 1)], ("photo", 9.5, 0), 0),
        (2, [("photo", 1.0, 2), ("photo", 9.0, 1)], ("order", 9.5, 1), 0),
        # A less urgent customer's request evicts no more urgent one.
        (2, [("photo", 9.0, 0), ("photo", 9.0, 1)], ("order", 0.5, 2), None),
        # Within one priority, the class decides, then the target time.
        (2, [("photo", 1.0, 1), ("order", 9.0, 1)], ("order", 9.5, 1), 0),
        (2, [("browse", 9.0, 1), ("browse", 5.0, 1)], ("browse", 8.0, 1), 0),
        (2, [("browse", 9.0, 1), ("browse", 5.0, 1)], ("browse", 9.0, 1), None),
        # A class within its share of the queue is kept from others, but not from its own.
        (4, [("browse", 9.0, 1)], ("order", 1.0, 0), None),
        (4, [("browse", 9.0, 1)], ("browse", 9.9, 0), 0),
    ],
)
def test_a_full_queue_evicts_by_customers_priority_then_class_then_target_time(limit, waiting, newcomer, evicted):
    # No class has a share of a queue of 2; "browse" has one place of 4.
    queued = [_queued(*item) for item in waiting]
    queue = _make_queue(*queued, limit=limit)
    assert queue.evict_for(newcomer[0], _queued(*newcomer).request) == (evicted is not None)
    assert [item.is_evicted for item in queued] == [number == evicted for number in range(len(queued))]


@pytest.mark.parametrize(
    ("held", "waiting", "newcomer", "evicted"),
    [
        # The customer with the most slots and requests loses one, the one with the latest target time.
        ({"ann": 5}, [("ann", 1.0), ("bob", 9.0), ("ann", 0.5)], ("eve", 10.0), 0),
        ({}, [("ann", 1.0), ("bob", 9.0), ("ann", 2.0)], ("eve", 10.0), 2),
        # The largest customer evicts no other's request, but its own with a later target time.
        ({"ann": 5}, [("bob", 9.0), ("eve", 9.0)], ("ann", 1.0), None),
        ({"ann": 5}, [("ann", 9.0), ("bob", 9.5)], ("ann", 1.0), 0),
        # Between customers with as much, and with one more, the target time decides.
        ({}, [("ann", 9.0)], ("bob", 8.0), 0),
        ({}, [("ann", 9.0)], ("bob", 9.5), None),
        ({}, [("ann", 9.0), ("ann", 9.0)], ("bob", 9.5), 0),
        ({"ann": 1, "bob": 1}, [("ann", 9.0)], ("bob", 9.5), None),
        # Requests of no customer go last.
        ({}, [("", 9.0), ("ann", 1.0)], ("bob", 9.5), None),
        ({}, [("", 9.0), ("ann", 1.0)], ("", 9.5), 1),
    ],
)
def test_among_equals_the_customer_that_holds_or_awaits_most_is_evicted_first(held, waiting, newcomer, evicted):
    queued = [_queued("photo", target, 1, customer) for customer, target in waiting]
    queue = _make_queue(*queued, limit=len(queued), held=held)
    request = _queued("photo", newcomer[1], 1, newcomer[0]).request
    assert queue.evict_for("photo", request) == (evicted is not None)
    assert [item.is_evicted for item in queued] == [number == evicted for number in range(len(queued))]


def test_two_customers_do_not_evict_each_other_in_turn():
    queue = _make_queue(*(_queued("photo", 9.0, 1, "ann") for _ in range(4)), limit=4)
    evictions = 0
    for number in range(20):
        newcomer = _queued("photo", 9.0, 1, ("bob", "ann")[number % 2])
        if queue.evict_for("photo", newcomer.request):
            evictions += 1
            queue.add(newcomer)
    # Two of four places pass to the other customer, and no more.
    assert evictions == 2


def _make_limiter(slots: int, queue: int) -> SlotLimiter:
    """Make a limiter that has observed the service time of one request."""
    limiter = SlotLimiter(slots, queue, {"photo": TrafficClass("photo", 0.0)})
    limiter.acquire("photo", AdmissionRequest(FAR), 0.0, None)
    limiter.release("photo", 0.005, 0.0)
    return limiter


def _acquire(limiter: SlotLimiter, customer: str, priority: int, decided: list, target: float = FAR):
    request = AdmissionRequest(FAR, target, "", None, customer, priority)
    return request, limiter.acquire("photo", request, 0.0, lambda: decided.append(customer))


def test_slot_limiter_admits_by_customers_priority_and_forgets_released_customers():
    limiter = _make_limiter(1, 10)
    decided: list[str] = []
    held = _acquire(limiter, "ann", 2, decided)[0]
    assert limiter.most_urgent_customer_priority() == 2
    requests = {
        name: _acquire(limiter, name, priority, decided)[0] for name, priority in (("c", 3), ("b", 1), ("a", 0))
    }
    for name in ("a", "b", "c"):
        limiter.release("photo", None, 0.0, request=held)
        assert decided[-1] == name
        held = requests[name]
        assert limiter.most_urgent_customer_priority() == held.customer_priority
    limiter.release("photo", None, 0.0, request=held)
    assert limiter.most_urgent_customer_priority() is None
    assert (limiter.in_use, limiter.waiting) == (0, 0)


def test_slot_limiter_evicts_the_request_of_the_customer_that_holds_most_slots():
    limiter = _make_limiter(3, 2)
    decided: list[str] = []
    for customer in ("ann", "ann", "bob"):
        assert _acquire(limiter, customer, 1, decided)[1] is None
    first, second = (_acquire(limiter, name, 1, decided, 50.0)[1] for name in ("ann", "bob"))
    assert isinstance(_acquire(limiter, "eve", 1, decided, 60.0)[1], QueuedRequest)
    assert (first.is_evicted, second.is_evicted) == (True, False)


def test_bodies_are_admitted_by_customers_priority():
    bodies = BodyAdmission(10, CLASSES, 250_000.0)
    decided: list[int] = []

    def acquire(priority: int):
        request = AdmissionRequest(FAR, FAR, customer_priority=priority)
        return bodies.acquire("photo", request, 60_000, FAR, 0.0, lambda: decided.append(priority))

    first = acquire(1)
    assert first.is_admitted
    assert not any(acquire(priority).is_admitted for priority in (2, 0, 1))
    bodies.begin(first, 0.0)
    bodies.end(first, 0.1)
    assert decided == [0]
