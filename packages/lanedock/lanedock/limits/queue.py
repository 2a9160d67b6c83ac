# SPDX-License-Identifier: BSD-3-Clause
"""The admission queue: the order of the requests that wait, and which of them is evicted for another."""

from lanedock.config import TrafficClass

__all__ = ["AdmissionQueue", "AdmissionRequest", "QueuedRequest"]


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

    def __init__(self, limit: int, classes: dict[str, TrafficClass]):
        self._by_class: dict[str, list[QueuedRequest]] = {}
        self._length = 0
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

    def list_ahead(self, traffic_class: str, request: AdmissionRequest) -> list[QueuedRequest]:
        """Return the queued requests that would be admitted before a given one, in no particular order."""
        ahead: list[QueuedRequest] = []
        for name in self._class_order:
            if name == traffic_class:
                break
            ahead += self._by_class.get(name, ())
        latest = request.target_or_deadline
        same_class = self._by_class.get(traffic_class, ())
        return ahead + [queued for queued in same_class if queued.request.target_or_deadline <= latest]

    def count_ahead(self, traffic_class: str, request: AdmissionRequest) -> int:
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

    def evict_for(self, traffic_class: str, request: AdmissionRequest) -> bool:
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

    def _evict_last(self, waiting: list[QueuedRequest], request: AdmissionRequest | None) -> bool:
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
