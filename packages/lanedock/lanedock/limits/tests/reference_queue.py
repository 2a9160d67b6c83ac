# SPDX-License-Identifier: BSD-3-Clause
"""The admission queue as it was before customers, as a reference for tests: ordered by class, then by target time."""

from lanedock.limits import QueuedRequest

__all__ = ["ReferenceQueue"]


class ReferenceQueue:
    """The queued requests of all classes, in order of priority.

    Does no I/O and reads no clock. Classes are served strictly by priority. Within a class
    the request with the earliest target time is first, so that long requests don't delay a
    short call for which another request in progress waits.

    Parameters
    ----------
    limit : int
        Requests that may wait.
    classes : dict of str to TrafficClass
    """

    def __init__(self, limit: int, classes: dict):
        self._by_class: dict[str, list[QueuedRequest]] = {}
        self._length = 0
        self.configure(limit, classes)

    def __repr__(self) -> str:
        return f"<ReferenceQueue {self._length}/{self.limit}>"

    def __len__(self) -> int:
        return self._length

    def configure(self, limit: int, classes: dict) -> None:
        """Apply the limits of another configuration version; queued requests are kept."""
        self.limit = limit
        self._shares = {name: int(item.share * limit) for name, item in classes.items()}
        # The name breaks ties, so that all daemons use the same order.
        self._class_order = sorted(classes, key=lambda name: (classes[name].priority, name))

    def list_classes(self) -> list[str]:
        """Return the classes, the most urgent first and those of former configuration versions last."""
        return [*self._class_order, *(name for name in self._by_class if name not in self._class_order)]

    def add(self, queued: QueuedRequest) -> None:
        """Add a request to the queue."""
        self._by_class.setdefault(queued.traffic_class, []).append(queued)
        self._length += 1

    def remove(self, queued: QueuedRequest) -> bool:
        """Remove a request from the queue; return False if it is not there."""
        waiting = self._by_class.get(queued.traffic_class, [])
        if queued not in waiting:
            return False
        waiting.remove(queued)
        self._length -= 1
        return True

    def has_queued(self, traffic_class: str) -> bool:
        """Return whether requests of a class wait."""
        return bool(self._by_class.get(traffic_class))

    def pop_first(self, traffic_class: str) -> QueuedRequest:
        """Remove and return the request of a class that is to be admitted first."""
        waiting = self._by_class[traffic_class]
        position = min(range(len(waiting)), key=lambda number: waiting[number].request.target_or_deadline)
        self._length -= 1
        return waiting.pop(position)

    def list_ahead(self, traffic_class: str, request) -> list[QueuedRequest]:
        """Return the queued requests that would be admitted before a given one, in no particular order."""
        ahead: list[QueuedRequest] = []
        for name in self._class_order:
            if name == traffic_class:
                break
            ahead += self._by_class.get(name, ())
        latest = request.target_or_deadline
        same_class = self._by_class.get(traffic_class, ())
        return ahead + [queued for queued in same_class if queued.request.target_or_deadline <= latest]

    def count_ahead(self, traffic_class: str, request) -> int:
        """Count the queued requests that would be admitted before a given one."""
        return len(self.list_ahead(traffic_class, request))

    def has_room(self, traffic_class: str) -> bool:
        """Return whether another request of a class may wait."""
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

    def evict_for(self, traffic_class: str, request) -> bool:
        """Evict the last request of a full queue if a given request precedes it.

        The last request belongs to the least urgent class that holds more than its share
        of the queue, or to the request's own class if no less urgent class does. Without
        eviction, less urgent requests that wait would keep more urgent ones out of a short
        queue.

        Returns
        -------
        bool
            Whether a request was evicted.
        """
        for name in reversed(self.list_classes()):
            waiting = self._by_class.get(name, [])
            if name == traffic_class:
                return self._evict_last(waiting, request)
            if len(waiting) > self._shares.get(name, 0):
                return self._evict_last(waiting, None)
        return False

    def _evict_last(self, waiting: list[QueuedRequest], request) -> bool:
        """Evict the last of a class's requests; where `request` is of that class, only if it precedes the last."""
        if not waiting:
            return False
        last = max(waiting, key=lambda queued: queued.request.target_or_deadline)
        if request is not None and last.request.target_or_deadline <= request.target_or_deadline:
            return False
        self.remove(last)
        last.is_evicted = True
        last.on_decided()
        return True
