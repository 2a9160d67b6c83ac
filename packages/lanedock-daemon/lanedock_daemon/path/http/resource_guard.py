# SPDX-License-Identifier: BSD-3-Clause
"""Keeps what the connections of a process hold within its memory and descriptors."""

import os

from lanedock.clock import monotonic
from lanedock.errors import ErrorCode
from lanedock.kernel import StopPlan
from lanedock.limits import Holding, ResourceBudget
from lanedock.settings import Settings
from lanedock.telemetry import Event, EventLogger, Metric, Metrics, NullMetrics

__all__ = ["ResourceGuard", "make_resource_guard"]

# Memory that a process needs without connections: the interpreter, the configuration and the mesh.
RESERVED_BYTES = 64_000_000
# Part of the remaining memory that is given to connections. The rest is for what the allocator keeps of released
# memory, and for receive buffers of connections to upstreams.
BUDGET_SHARE = 0.4
# Below this a single request with a head of the shortest lines would have no room.
MIN_MEMORY_BYTES = 96_000_000
BYTES_PER_MB = 1_000_000
# Part of the descriptors that connections and their requests may use; the rest is for files and the mesh.
DESCRIPTOR_SHARE = 0.85
# Seconds without progress before which a connection does not make room for a request of another one: nearly all
# requests end earlier.
MIN_AGE = 2.0
# Characters of a request id in a log line.
MAX_LOGGED_ID = 64
# Seconds between two selections of connections that make room; each looks at all connections.
SELECTION_INTERVAL = 0.05


class ResourceGuard:
    """Admits requests by what they make the process hold, and ends connections that hold too much.

    Parameters
    ----------
    budget : ResourceBudget
    plan : StopPlan
        Stop plan of the process.
    events : EventLogger
    metrics : Metrics, optional
    """

    def __init__(self, budget: ResourceBudget, plan: StopPlan, events: EventLogger, metrics: Metrics | None = None):
        self._budget = budget
        self._plan = plan
        self._events = events
        self._metrics = metrics or NullMetrics()
        self._next_selection_at = 0.0

    def __repr__(self) -> str:
        return f"<ResourceGuard {self._budget}>"

    def open(self, holding: Holding) -> None:
        """Include a connection in the budget."""
        self._budget.add(holding)

    def close(self, holding: Holding) -> None:
        """Remove a connection that has ended from the budget."""
        self._budget.remove(holding)

    def update(self, holding: Holding, size: int, descriptors: int) -> None:
        """Set what a connection holds, in bytes and descriptors; ends connections if that is too much for all."""
        self._budget.update(holding, size, descriptors)
        if self._budget.is_exceeded() and self._may_select():
            # A planned stop cuts nothing that has begun.
            self._release(self._budget.select_excess(monotonic(), self._plan.is_begun), "exceeded")

    def is_pressed(self) -> bool:
        """Return whether connections are to read one request at a time."""
        return self._budget.is_pressed()

    def admit(self, size: int, descriptors: int, requester: Holding | None = None) -> bool:
        """Return whether something may begin that needs this many bytes and descriptors.

        Connections that have made no progress for `MIN_AGE` make room for it if there is none, but for the one whose
        request it is (`requester`).
        """
        if self._budget.has_room(size, descriptors):
            return True
        # What arrives during a planned stop is refused.
        if not self._plan.is_begun and self._may_select():
            self._release(self._budget.select_for(size, descriptors, monotonic(), MIN_AGE, requester), "needed")
        return self._budget.has_room(size, descriptors)

    def admit_connection(self, server: str, caller: tuple) -> bool:
        """Return whether there is a descriptor for one more connection; logs if there is none."""
        if self.admit(0, 1):
            return True
        self.note_refused(server, caller, "", 0)
        return False

    def record_use(self) -> None:
        """Record what the connections hold in the metrics."""
        self._metrics.gauge(Metric.HELD_BYTES, self._budget.size)
        self._metrics.gauge(Metric.HELD_DESCRIPTORS, self._budget.descriptors)

    def note_refused(self, server: str, caller: tuple, request_id: str, size: int) -> None:
        """Log that a request was refused since there was no room for the bytes that it would hold."""
        self._metrics.count(Metric.RESOURCE_REFUSALS)
        self._events.emit(
            Event.REQUEST_OUT_OF_RESOURCES,
            request=request_id[:MAX_LOGGED_ID],
            code=ErrorCode.RESOURCES_EXHAUSTED.code,
            server=server,
            caller=caller[0],
            request_bytes=size,
            held_bytes=self._budget.size,
            descriptors=self._budget.descriptors,
        )

    def _may_select(self) -> bool:
        """Return whether a selection is due; records it."""
        now = monotonic()
        if now < self._next_selection_at:
            return False
        self._next_selection_at = now + SELECTION_INTERVAL
        return True

    def _release(self, holdings: list[Holding], reason: str) -> None:
        for holding in holdings:
            held, descriptors, age = holding.size, holding.descriptors, monotonic() - holding.since
            # It no longer counts, although its memory is released only when its greenlets have run.
            self._budget.remove(holding)
            self._metrics.count(Metric.RESOURCE_EVICTIONS)
            self._events.emit(
                Event.CONNECTION_EVICTED,
                reason=reason,
                held_bytes=held,
                descriptors=descriptors,
                age_ms=round(1000 * age),
                **holding.owner.evict(),
            )


def make_resource_guard(settings: Settings, plan: StopPlan, events: EventLogger, metrics: Metrics) -> ResourceGuard:
    """Make the guard of a process from its settings; its memory is by default that of the machine."""
    memory = _machine_memory() if settings.memory_mb is None else settings.memory_mb * BYTES_PER_MB
    max_size = BUDGET_SHARE * (max(memory, MIN_MEMORY_BYTES) - RESERVED_BYTES)
    budget = ResourceBudget(max_size)
    if settings.max_descriptors is not None:
        budget = ResourceBudget(max_size, DESCRIPTOR_SHARE * settings.max_descriptors)
    return ResourceGuard(budget, plan, events, metrics)


def _machine_memory() -> int:
    """Return the machine's memory in bytes."""
    return os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE")
