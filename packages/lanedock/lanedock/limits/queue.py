# SPDX-License-Identifier: BSD-3-Clause
"""Requests that wait for a slot: their order, and which of them makes room for another."""

from lanedock.config import TrafficClass

__all__ = ["AdmissionQueue", "AdmissionRequest", "QueuedRequest"]


class AdmissionRequest:
    """What decides whether and when a request is admitted.

    Parameters
    ----------
    deadline : float
        Monotonic, seconds.
    target_time : float, optional
        Monotonic, seconds; an answer later than this is worth little, so what
        would have to wait past it is refused while there is time to go
        elsewhere. Counted from the caller's first attempt: a retry's may have
        passed already, and then it takes a free slot but waits for none. The
        deadline where left out.
    kind : str
        Such as its route's name: its own time is estimated by that of others of
        its kind.
    start_by : float, optional
        Monotonic, seconds; not admitted later, for whoever has sent it has ended when
        its answer comes. The deadline where left out.
    """

    __slots__ = ("deadline", "kind", "start_by", "target_time")

    def __init__(
        self, deadline: float, target_time: float | None = None, kind: str = "", start_by: float | None = None
    ):
        self.start_by = deadline if start_by is None else min(start_by, deadline)
        self.deadline = deadline
        self.target_time = target_time
        self.kind = kind

    def __repr__(self) -> str:
        return f"<AdmissionRequest {self.kind} deadline={self.deadline:.3f} target_time={self.target_time}>"

    @property
    def queue_priority(self) -> float:
        """Its place within its class; the least is admitted first."""
        return self.deadline if self.target_time is None else self.target_time


class QueuedRequest:
    """A request that waits for a slot.

    Attributes
    ----------
    traffic_class : str
    request : AdmissionRequest
    on_admitted : callable
        Called without arguments once the slot is the request's, or once it has
        been evicted.
    is_evicted : bool
        Whether it had to make room for one of a higher priority.
    expires_at : float
        Monotonic, seconds; until then it waits.
    """

    __slots__ = ("expires_at", "is_evicted", "on_admitted", "request", "traffic_class")

    def __init__(self, traffic_class: str, request: AdmissionRequest, on_admitted, expires_at: float):
        self.is_evicted = False
        self.traffic_class = traffic_class
        self.request = request
        self.on_admitted = on_admitted
        self.expires_at = expires_at

    def __repr__(self) -> str:
        return f"<QueuedRequest {self.traffic_class} {self.request!r}>"


class AdmissionQueue:
    """The queued requests of all classes. Pure.

    Classes go strictly by priority. Within a class the earliest target time goes
    first, so that a short call that a request in progress elsewhere waits for isn't
    held up by long ones.

    Parameters
    ----------
    limit : int
        Requests that may wait.
    classes : dict of str to TrafficClass
    """

    def __init__(self, limit: int, classes: dict[str, TrafficClass]):
        self._by_class: dict[str, list[QueuedRequest]] = {}
        self._length = 0
        self.configure(limit, classes)

    def __repr__(self) -> str:
        return f"<AdmissionQueue {self._length}/{self.limit}>"

    def __len__(self) -> int:
        return self._length

    def configure(self, limit: int, classes: dict[str, TrafficClass]) -> None:
        """Take over another version's numbers; what waits stays."""
        self.limit = limit
        self._shares = {name: int(item.share * limit) for name, item in classes.items()}
        # The name breaks ties the same way everywhere.
        self._order = sorted(classes, key=lambda name: (classes[name].priority, name))

    def classes(self) -> list[str]:
        """Return the classes, the most urgent first; those of former versions come last."""
        return [*self._order, *(name for name in self._by_class if name not in self._order)]

    def add(self, queued: QueuedRequest) -> None:
        """Let a request wait."""
        self._by_class.setdefault(queued.traffic_class, []).append(queued)
        self._length += 1

    def remove(self, queued: QueuedRequest) -> bool:
        """Let a request wait no more; False where it does not wait."""
        waiting = self._by_class.get(queued.traffic_class, [])
        if queued not in waiting:
            return False
        waiting.remove(queued)
        self._length -= 1
        return True

    def has_any(self, traffic_class: str) -> bool:
        """Tell whether requests of a class wait."""
        return bool(self._by_class.get(traffic_class))

    def pop_first(self, traffic_class: str) -> QueuedRequest:
        """Take the request of a class that is to be admitted first."""
        waiting = self._by_class[traffic_class]
        position = min(range(len(waiting)), key=lambda number: waiting[number].request.queue_priority)
        self._length -= 1
        return waiting.pop(position)

    def list_ahead(self, traffic_class: str, request: AdmissionRequest) -> list[QueuedRequest]:
        """Return the queued requests that would be admitted before another one, in no order."""
        ahead: list[QueuedRequest] = []
        for name in self._order:
            if name == traffic_class:
                break
            ahead += self._by_class.get(name, ())
        priority = request.queue_priority
        same_class = self._by_class.get(traffic_class, ())
        return ahead + [queued for queued in same_class if queued.request.queue_priority <= priority]

    def count_ahead(self, traffic_class: str, request: AdmissionRequest) -> int:
        """Count the queued requests that would be admitted before another one."""
        return len(self.list_ahead(traffic_class, request))

    def has_room(self, traffic_class: str) -> bool:
        """Tell whether another request of a class may wait."""
        if self._length >= self.limit:
            return False
        lengths = {name: len(waiting) for name, waiting in self._by_class.items()}
        if lengths.get(traffic_class, 0) < self._shares.get(traffic_class, 0):
            return True
        unused = 0
        for name, share in self._shares.items():
            if name != traffic_class:
                unused += max(0, share - lengths.get(name, 0))
        return self.limit - self._length > unused

    def evict_for(self, traffic_class: str, request: AdmissionRequest) -> bool:
        """Make room in a full queue, if a request goes before the last one there.

        The last one is that of the least urgent class which holds more than its
        share of the queue. Without this, less urgent requests that wait keep more
        urgent ones out of a short queue.
        """
        for name in reversed(self.classes()):
            waiting = self._by_class.get(name, [])
            if name == traffic_class:
                return self._evict_last(waiting, request)
            if len(waiting) > self._shares.get(name, 0):
                return self._evict_last(waiting, None)
        return False

    def _evict_last(self, waiting: list[QueuedRequest], request: AdmissionRequest | None) -> bool:
        """Evict the last of a class's requests, where another of its class goes before it."""
        if not waiting:
            return False
        last = max(waiting, key=lambda queued: queued.request.queue_priority)
        if request is not None and last.request.queue_priority <= request.queue_priority:
            return False
        self.remove(last)
        last.is_evicted = True
        last.on_admitted()
        return True
