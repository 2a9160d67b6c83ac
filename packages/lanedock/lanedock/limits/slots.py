# SPDX-License-Identifier: BSD-3-Clause
"""The limit on one upstream's work: slots, shares for classes, a short queue.

An upstream's daemon is the only way in, so it knows the slots in use exactly.
It refuses early: a request that would wait past its deadline is told so before
it waits.
"""

import math
from random import Random

from lanedock.config import TrafficClass
from lanedock.errors import ErrorCode

__all__ = ["Refused", "SlotLimiter", "Waiter", "Wish"]

# Weight of the newest service time in the moving average.
_SMOOTHING = 0.1
# Time that a request is taken to need before any has ended, in seconds, where
# nothing says when its answer is wanted; else this part of that time.
_FIRST_ESTIMATE = 0.005
_FIRST_PART = 0.5
# A class whose requests take longer than this, in seconds, borrows no slots of
# other classes' shares: they would not be back soon.
_LENDING_LIMIT = 0.25
# Time constant, in seconds, by which a class's highest use is forgotten.
_PEAK_AGE = 5.0
# Highest use below which a class counts as not seen lately.
_SEEN_LATELY = 0.2
# Part of the time within which an answer is wanted after which a refused
# request may come back, and the longest such time, in seconds.
_RETURN_PART = 0.4
_RETURN_MAX = 1.0
# Part of the time within which its answer is wanted for which a request that was
# refused before waits at the most: it may soon be overtaken for good, and sooner
# told to come back it has more time left.
_RETURNING_WAIT_PART = 0.25
# Estimated waits are means, and what goes first comes in between: a request waits
# where this many times the estimate is in time. Callers are better refused at once
# than after they have waited in vain.
_WAIT_MARGIN = 1.5
# Kinds of requests whose times are kept.
_MAX_KINDS = 1024


class Refused:
    """A request was refused; it did not run.

    Parameters
    ----------
    code : ErrorCode
    retry_after : float
        Seconds after which it is worth asking again.
    """

    __slots__ = ("code", "retry_after")

    def __init__(self, code: ErrorCode, retry_after: float):
        self.code = code
        self.retry_after = retry_after

    def __repr__(self) -> str:
        return f"<Refused {self.code.code} retry_after={self.retry_after:.3f}>"


class Wish:
    """By when a request has to be answered, and what a refusal would mean to it.

    Parameters
    ----------
    deadline : float
        Monotonic, seconds.
    wanted_by : float, optional
        Monotonic, seconds; an answer later than this is worth little, so what
        would have to wait past it is refused while there is time to go
        elsewhere. The deadline where left out.
    kind : str
        Of the request, such as its route's name: its own time is estimated by
        that of others of its kind.
    is_returning : bool
        Whether it was refused before, here or elsewhere.
    is_patient : bool
        Whether a late answer is better for it than a refusal.
    """

    __slots__ = ("deadline", "is_patient", "is_returning", "kind", "wanted_by")

    def __init__(
        self,
        deadline: float,
        wanted_by: float | None = None,
        kind: str = "",
        is_returning: bool = False,
        is_patient: bool = False,
    ):
        self.deadline = deadline
        self.wanted_by = wanted_by
        self.kind = kind
        self.is_returning = is_returning
        self.is_patient = is_patient

    def __repr__(self) -> str:
        return f"<Wish {self.kind} deadline={self.deadline:.3f} wanted_by={self.wanted_by}>"

    @property
    def rank(self) -> float:
        """By when its answer is wanted, monotonic, seconds."""
        return self.deadline if self.wanted_by is None else self.wanted_by

    @property
    def order(self) -> tuple[bool, float]:
        """Its place within its class; the least goes first."""
        return (self.is_returning, self.rank)


class Waiter:
    """A request that waits for a slot.

    Attributes
    ----------
    traffic_class : str
    wish : Wish
        Within a class what was not refused before goes first, and of that what
        is wanted first, so that a short call that a request in progress waits
        for isn't held up by long ones.
    granted : object
        Called without arguments once the slot is the waiter's, or once it has
        been evicted.
    is_evicted : bool
        Whether it had to make room for one that goes before it.
    start_by : float
        Monotonic, seconds; with a slot later than this its answer would come
        later than wanted.
    expires_at : float
        Monotonic, seconds; until then it waits.
    """

    __slots__ = ("expires_at", "granted", "is_evicted", "start_by", "traffic_class", "wish")

    def __init__(self, traffic_class: str, wish: Wish, granted, start_by: float, expires_at: float):
        self.is_evicted = False
        self.traffic_class = traffic_class
        self.wish = wish
        self.granted = granted
        self.start_by = start_by
        self.expires_at = expires_at

    def order(self, now: float) -> tuple[bool, float]:
        """Return its place within its class; the least goes first.

        One that would be late anyway makes no other one late.
        """
        is_last, rank = self.wish.order
        return (is_last or now > self.start_by, rank)

    def __repr__(self) -> str:
        return f"<Waiter {self.traffic_class} {self.wish!r}>"


class _KindTime:
    """Averages of the time that requests of a kind take, in seconds."""

    __slots__ = ("deviation", "mean")

    def __init__(self, duration: float):
        self.mean = duration
        self.deviation = duration / 2

    def note(self, duration: float) -> None:
        """Take in another duration."""
        deviation = abs(duration - self.mean)
        self.mean += _SMOOTHING * (duration - self.mean)
        self.deviation += _SMOOTHING * (deviation - self.deviation)


class SlotLimiter:
    """Slots of one upstream, shared among traffic classes.

    A class may use slots beyond its own share as long as what is free covers
    what is kept for the other classes. For a class of long requests that is
    the whole of their unused shares. A class of short requests gives a slot
    back soon, so for it only as much is kept as the others have used lately,
    and one more.

    Parameters
    ----------
    slots : int
    queue : int
        Requests that may wait.
    classes : dict of str to TrafficClass
    rng : random.Random, optional
        Spreads the times to come back.
    """

    def __init__(self, slots: int, queue: int, classes: dict[str, TrafficClass], rng: Random | None = None):
        self._rng = rng or Random()
        self._in_use: dict[str, int] = {}
        self._waiting: dict[str, list[Waiter]] = {}
        self._service_time: float | None = None
        self._class_times: dict[str, float] = {}
        self._kind_times: dict[str, _KindTime] = {}
        self._peaks: dict[str, tuple[float, float]] = {}
        self.in_use = 0
        self.waiting = 0
        self.configure(slots, queue, classes)

    def __repr__(self) -> str:
        return f"<SlotLimiter {self.in_use}/{self.slots} waiting={self.waiting}/{self.queue}>"

    def configure(self, slots: int, queue: int, classes: dict[str, TrafficClass]) -> None:
        """Take over another version's numbers; work in progress is kept."""
        self.slots = slots
        self.queue = queue
        self._shares = {name: int(item.share * slots) for name, item in classes.items()}
        self._queue_shares = {name: int(item.share * queue) for name, item in classes.items()}
        # Strictly by priority; the name breaks ties the same way everywhere.
        self._order = sorted(classes, key=lambda name: (classes[name].priority, name))

    def acquire(self, traffic_class: str, wish: Wish, now: float, granted) -> Waiter | Refused | None:
        """Ask for a slot.

        Parameters
        ----------
        traffic_class : str
        wish : Wish
        now : float
            Monotonic, seconds.
        granted : callable
            Called once a slot is free, where the answer is a Waiter.

        Returns
        -------
        None
            The slot is the caller's.
        Waiter
            It has to wait.
        Refused
            It can't be served in time.
        """
        if now >= wish.deadline:
            return Refused(ErrorCode.DEADLINE, 0.0)
        if self._has_room(traffic_class, now):
            self._take(traffic_class, now)
            return None
        first_estimate = self._first_estimate(wish, now)
        wait = self._estimate_wait(traffic_class, wish.order, first_estimate, now)
        start_by = expires_at = wish.deadline
        if wish.wanted_by is not None:
            start_by = min(start_by, wish.wanted_by - self._time_of(wish.kind, first_estimate))
            expires_at = self._expiry(wish, start_by, now)
        is_late = now + _WAIT_MARGIN * wait >= expires_at
        if is_late or not (self._has_queue_room(traffic_class) or self._evict_for(traffic_class, wish.order, now)):
            return Refused(ErrorCode.OVERLOADED, max(wait, self.return_after(wish.rank, now)))
        waiter = Waiter(traffic_class, wish, granted, start_by, expires_at)
        self._waiting.setdefault(traffic_class, []).append(waiter)
        self.waiting += 1
        return waiter

    def release(self, traffic_class: str, duration: float, now: float, kind: str = "") -> None:
        """Give a slot back, which may go to a waiter.

        Parameters
        ----------
        duration : float
            How long the slot was used, seconds.
        """
        if self._service_time is None:
            self._service_time = duration
        self._service_time += _SMOOTHING * (duration - self._service_time)
        known = self._class_times.get(traffic_class, duration)
        self._class_times[traffic_class] = known + _SMOOTHING * (duration - known)
        if kind:
            self._note_kind(kind, duration)
        self._in_use[traffic_class] -= 1
        self.in_use -= 1
        self._grant(now)

    def _note_kind(self, kind: str, duration: float) -> None:
        known = self._kind_times.get(kind)
        if known is not None:
            known.note(duration)
            return
        if len(self._kind_times) >= _MAX_KINDS:
            self._kind_times.clear()
        self._kind_times[kind] = _KindTime(duration)

    def cancel(self, waiter: Waiter) -> bool:
        """Stop waiting; False where the slot was granted already."""
        queue = self._waiting.get(waiter.traffic_class, [])
        if waiter not in queue:
            return False
        queue.remove(waiter)
        self.waiting -= 1
        return True

    def _take(self, traffic_class: str, now: float) -> None:
        used = self._in_use.get(traffic_class, 0) + 1
        self._in_use[traffic_class] = used
        self.in_use += 1
        if used >= self._peak(traffic_class, now):
            self._peaks[traffic_class] = (used, now)

    def _peak(self, traffic_class: str, now: float) -> float:
        value, seen_at = self._peaks.get(traffic_class, (0.0, now))
        return value * math.exp((seen_at - now) / _PEAK_AGE)

    def _has_room(self, traffic_class: str, now: float) -> bool:
        if self.in_use >= self.slots:
            return False
        if self._in_use.get(traffic_class, 0) < self._shares.get(traffic_class, 0):
            return True
        return self.slots - self.in_use > self._kept_for_others(traffic_class, now)

    def _kept_for_others(self, traffic_class: str, now: float) -> int:
        is_short = self._class_times.get(traffic_class, 0.0) <= _LENDING_LIMIT
        kept = 0
        for name, share in self._shares.items():
            if name == traffic_class:
                continue
            if is_short:
                peak = self._peak(name, now)
                share = min(share, math.ceil(peak) + 1) if peak >= _SEEN_LATELY else 0
            kept += max(0, share - self._in_use.get(name, 0))
        return kept

    def _has_queue_room(self, traffic_class: str) -> bool:
        if self.waiting >= self.queue:
            return False
        lengths = {name: len(queue) for name, queue in self._waiting.items()}
        if lengths.get(traffic_class, 0) < self._queue_shares.get(traffic_class, 0):
            return True
        unused = 0
        for name, share in self._queue_shares.items():
            if name != traffic_class:
                unused += max(0, share - lengths.get(name, 0))
        return self.queue - self.waiting > unused

    def _expiry(self, wish: Wish, start_by: float, now: float) -> float:
        """Return until when a request waits whose answer is wanted by some time."""
        if wish.is_patient:
            return wish.deadline
        if wish.is_returning:
            return min(start_by, now + _RETURNING_WAIT_PART * (wish.wanted_by - now))
        return start_by

    def _first_estimate(self, wish: Wish, now: float) -> float:
        """Estimate what a request takes before any has ended.

        Callers want answers within a few times what they take; to take in more
        would make a whole queue late after a start under load.
        """
        return _FIRST_ESTIMATE if wish.wanted_by is None else _FIRST_PART * max(0.0, wish.wanted_by - now)

    def _time_of(self, kind: str, first_estimate: float) -> float:
        """Return the time that a request of a kind takes, longer than most of them."""
        known = self._kind_times.get(kind)
        if known is not None:
            return known.mean + known.deviation
        return first_estimate if self._service_time is None else self._service_time

    def return_after(self, rank: float, now: float) -> float:
        """Return when a refused request may come back, in seconds.

        Those that come back at once meet the same load; a part of the time
        within which their answer is wanted lets a burst pass, and its spread
        keeps them from coming together.
        """
        part = _RETURN_PART * (rank - now) * self._rng.uniform(0.5, 1.5)
        return max(self._service_time or _FIRST_ESTIMATE, min(part, _RETURN_MAX))

    def _evict_for(self, traffic_class: str, order: tuple[bool, float], now: float) -> bool:
        """Make room in a full queue for a request that goes before the last one of its class.

        Long requests that wait must not keep out the short calls that requests
        in progress elsewhere wait for: their work would be lost.
        """
        queue = self._waiting.get(traffic_class)
        if not queue:
            return False
        last = max(queue, key=lambda waiter: waiter.order(now))
        if last.order(now) <= order:
            return False
        queue.remove(last)
        self.waiting -= 1
        last.is_evicted = True
        last.granted()
        return True

    def _estimate_wait(self, traffic_class: str, order: tuple[bool, float], first_estimate: float, now: float) -> float:
        """Estimate the wait from the requests that would be served before."""
        ahead = 1
        for name in self._order:
            if name == traffic_class:
                break
            ahead += len(self._waiting.get(name, ()))
        ahead += sum(waiter.order(now) <= order for waiter in self._waiting.get(traffic_class, ()))
        service_time = first_estimate if self._service_time is None else self._service_time
        return ahead * service_time / self.slots

    def _grant(self, now: float) -> None:
        for name in [*self._order, *(set(self._waiting) - set(self._order))]:
            queue = self._waiting.get(name)
            while queue and self._has_room(name, now):
                waiter = self._pop_next(queue, now)
                self._take(name, now)
                waiter.granted()

    def _pop_next(self, queue: list[Waiter], now: float) -> Waiter:
        """Take the waiter that is wanted first."""
        position = min(range(len(queue)), key=lambda number: queue[number].order(now))
        self.waiting -= 1
        return queue.pop(position)
