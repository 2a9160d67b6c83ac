# SPDX-License-Identifier: BSD-3-Clause
"""The admission queue: the order of the requests that wait, and which of them is evicted for another."""

from collections import Counter
from collections.abc import Callable

from lanedock.config import TrafficClass

__all__ = ["CALL_PRIORITY", "AdmissionQueue", "AdmissionRequest", "QueuedRequest"]

# Customer's priority of calls that are admitted before all requests that have not begun.
CALL_PRIORITY = -1


class AdmissionRequest:
    """The properties of a request that decide whether and when it is admitted.

    Parameters
    ----------
    deadline : float
        Monotonic, seconds.
    target_time : float, optional
        Monotonic, seconds; `deadline` if left out. An answer after this time is worth
        little, so a request that would wait past it is refused while there is still time
        to send it to another instance. The target time counts from the caller's first
        attempt: that of a retry may have passed already, and then the retry takes a free
        slot but does not wait for one.
    kind : str
        Such as the name of the request's route. The service time of a request is estimated
        from other requests of its kind.
    start_by : float, optional
        Monotonic, seconds; `deadline` if left out. The request is not admitted later, as its
        sender will have ended before the answer arrives.
    customer : str, optional
        Name of the customer who sent the request; empty if it is from none.
    customer_priority : int, optional
        Priority of the customer, or the one that a call inherits; 0 is served first.
    """

    __slots__ = ("customer", "customer_priority", "deadline", "kind", "start_by", "target_time")

    def __init__(
        self,
        deadline: float,
        target_time: float | None = None,
        kind: str = "",
        start_by: float | None = None,
        customer: str = "",
        customer_priority: int = 0,
    ):
        self.start_by = deadline if start_by is None else min(start_by, deadline)
        self.deadline = deadline
        self.target_time = target_time
        self.kind = kind
        self.customer = customer
        self.customer_priority = customer_priority

    def __repr__(self) -> str:
        return f"<AdmissionRequest {self.kind} deadline={self.deadline:.3f} target_time={self.target_time}>"

    @property
    def target_or_deadline(self) -> float:
        """Target time, or deadline if there is none; the earliest of a class is admitted first."""
        return self.deadline if self.target_time is None else self.target_time


class QueuedRequest:
    """A request that waits for a slot.

    Parameters
    ----------
    traffic_class : str
    request : AdmissionRequest
    on_decided : callable
        Called without arguments when the request stops waiting: it got a slot or was evicted,
        see `is_evicted`.
    expires_at : float
        Monotonic, seconds; the request waits until then.

    Attributes
    ----------
    is_evicted : bool
        Whether the request was removed in favor of one of a higher priority.
    """

    __slots__ = ("expires_at", "is_evicted", "on_decided", "request", "traffic_class")

    def __init__(self, traffic_class: str, request: AdmissionRequest, on_decided, expires_at: float):
        self.is_evicted = False
        self.traffic_class = traffic_class
        self.request = request
        self.on_decided = on_decided
        self.expires_at = expires_at

    def __repr__(self) -> str:
        return f"<QueuedRequest {self.traffic_class} {self.request!r}>"


class AdmissionQueue:
    """The queued requests, in order of priority.

    Does no I/O and reads no clock. Requests are divided into groups by the priority of their
    customers and by class. Groups are served strictly by the customers' priority, then by that
    of the class. Within a group the request with the earliest target time is first, so that
    long requests don't delay a short call for which another request in progress waits.

    Parameters
    ----------
    limit : int
        Requests that may wait.
    classes : dict of str to TrafficClass
    count_held : callable, optional
        Returns how many requests of a customer, given by name, have been admitted and not ended.
    """

    def __init__(
        self, limit: int, classes: dict[str, TrafficClass], count_held: Callable[[str], int] = lambda customer: 0
    ):
        # Groups with queued requests, by customers' priority and class.
        self._groups: dict[tuple[int, str], list[QueuedRequest]] = {}
        # All classes that have had queued requests, in the order of the first one.
        self._seen_classes: dict[str, None] = {}
        self._length = 0
        self._count_held = count_held
        self.configure(limit, classes)

    def __repr__(self) -> str:
        return f"<AdmissionQueue {self._length}/{self.limit}>"

    def __len__(self) -> int:
        return self._length

    def configure(self, limit: int, classes: dict[str, TrafficClass]) -> None:
        """Apply the limits of another configuration version; queued requests are kept."""
        self.limit = limit
        self._shares = {name: int(item.share * limit) for name, item in classes.items()}
        # The name breaks ties, so that all daemons use the same order.
        order = sorted(classes, key=lambda name: (classes[name].priority, name))
        self._class_ranks = {name: rank for rank, name in enumerate(order)}

    def list_groups(self) -> list[tuple[int, str]]:
        """Return the groups with queued requests, the most urgent first.

        Classes of former configuration versions are last among those of the same customers' priority.

        Returns
        -------
        list of tuple of (int, str)
            Priority of the customers, and class.
        """
        return self._sort_groups(self._groups) if len(self._groups) > 1 else list(self._groups)

    def _sort_groups(self, groups) -> list[tuple[int, str]]:
        ranks = self._class_ranks
        former = [name for name in self._seen_classes if name not in ranks]
        if former:
            ranks = ranks | {name: len(ranks) + number for number, name in enumerate(former)}
        return sorted(groups, key=lambda group: (group[0], ranks[group[1]]))

    def add(self, queued: QueuedRequest) -> None:
        """Add a request to the queue."""
        self._seen_classes[queued.traffic_class] = None
        self._groups.setdefault(_find_group(queued), []).append(queued)
        self._length += 1

    def remove(self, queued: QueuedRequest) -> bool:
        """Remove a request from the queue; return False if it is not there."""
        group = _find_group(queued)
        waiting = self._groups.get(group, [])
        if queued not in waiting:
            return False
        waiting.remove(queued)
        self._note_removed(group)
        return True

    def _note_removed(self, group: tuple[int, str]) -> None:
        self._length -= 1
        if not self._groups[group]:
            del self._groups[group]

    def has_queued(self, group: tuple[int, str]) -> bool:
        """Return whether requests of a group wait."""
        return group in self._groups

    def pop_first(self, group: tuple[int, str]) -> QueuedRequest:
        """Remove and return the request of a group that is to be admitted first."""
        waiting = self._groups[group]
        position = min(range(len(waiting)), key=lambda number: waiting[number].request.target_or_deadline)
        queued = waiting.pop(position)
        self._note_removed(group)
        return queued

    def list_ahead(self, traffic_class: str, request: AdmissionRequest) -> list[QueuedRequest]:
        """Return the queued requests that would be admitted before a given one, in no particular order."""
        ahead: list[QueuedRequest] = []
        ranks, last_rank = self._class_ranks, len(self._class_ranks)
        own_rank = ranks.get(traffic_class, last_rank)
        latest = request.target_or_deadline
        for (priority, name), waiting in self._groups.items():
            if priority > request.customer_priority:
                continue
            if priority < request.customer_priority or ranks.get(name, last_rank) < own_rank:
                ahead += waiting
            elif name == traffic_class:
                ahead += [queued for queued in waiting if queued.request.target_or_deadline <= latest]
        return ahead

    def count_ahead(self, traffic_class: str, request: AdmissionRequest) -> int:
        """Count the queued requests that would be admitted before a given one."""
        return len(self.list_ahead(traffic_class, request))

    def has_room(self, traffic_class: str) -> bool:
        """Return whether another request of a class may wait."""
        if self._length >= self.limit:
            return False
        lengths = self._count_by_class()
        if lengths.get(traffic_class, 0) < self._shares.get(traffic_class, 0):
            return True
        unused = 0
        for name, share in self._shares.items():
            if name != traffic_class:
                unused += max(0, share - lengths.get(name, 0))
        return self.limit - self._length > unused

    def _count_by_class(self) -> dict[str, int]:
        lengths: dict[str, int] = {}
        for (_, name), waiting in self._groups.items():
            lengths[name] = lengths.get(name, 0) + len(waiting)
        return lengths

    def evict_for(self, traffic_class: str, request: AdmissionRequest) -> bool:
        """Evict the last request of a full queue if a given request precedes it.

        The last request belongs to the least urgent group whose class holds more than its share
        of the queue or is the request's own class, or to the request's own group if no less
        urgent group does. Without eviction, less urgent requests that wait would keep more
        urgent ones out of a short queue.

        Returns
        -------
        bool
            Whether a request was evicted.
        """
        own = (request.customer_priority, traffic_class)
        is_known = traffic_class in self._class_ranks or traffic_class in self._seen_classes
        lengths = self._count_by_class()
        for group in reversed(self._sort_groups({*self._groups, own} if is_known else self._groups)):
            if group == own:
                return self._evict_last(self._groups.get(own, []), request)
            priority, name = group
            if priority < request.customer_priority:
                return False
            if name == traffic_class or lengths.get(name, 0) > self._shares.get(name, 0):
                return self._evict_last(self._groups.get(group, []), None)
        return False

    def _evict_last(self, waiting: list[QueuedRequest], request: AdmissionRequest | None) -> bool:
        """Evict the last of a group's requests; where `request` is of that group, only if it precedes the last.

        The last request is that of the customer who holds or awaits most, so that one customer
        does not keep others of the same priority out of the queue. Requests of no customer, such as
        calls, count as those of one who holds nothing.
        """
        if not waiting:
            return False
        counts = self._count_by_customer(request)

        def order(item: AdmissionRequest) -> tuple[int, float]:
            return counts[item.customer], item.target_or_deadline

        last = max(waiting, key=lambda queued: order(queued.request))
        if request is not None and order(last.request) <= order(request):
            return False
        self.remove(last)
        last.is_evicted = True
        last.on_decided()
        return True

    def _count_by_customer(self, request: AdmissionRequest | None) -> Counter[str]:
        """Count the requests that each customer holds or awaits, including a given request."""
        requests = [queued.request for waiting in self._groups.values() for queued in waiting]
        if request is not None:
            requests.append(request)
        counts = Counter(item.customer for item in requests if item.customer)
        for customer in counts:
            counts[customer] += self._count_held(customer)
        return counts


def _find_group(queued: QueuedRequest) -> tuple[int, str]:
    return queued.request.customer_priority, queued.traffic_class
