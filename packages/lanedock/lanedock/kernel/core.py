# SPDX-License-Identifier: BSD-3-Clause
"""The kernel and the base classes of its services."""

from abc import ABC, abstractmethod

import gevent
from gevent.event import Event
from gevent.queue import Empty, Queue

from lanedock.clock import monotonic
from lanedock.errors import ErrorCode, LanedockError

__all__ = ["Kernel", "KernelError", "Service", "TaskService"]


class KernelError(LanedockError):
    """A service is missing, or its name is taken."""


class Service(ABC):
    """A part of a process that others find by name.

    Attributes
    ----------
    name : str
        Unique in its kernel.
    """

    name = ""

    @abstractmethod
    def start(self, kernel: "Kernel") -> None:
        """Start; services added before are running already."""

    def begin_stop(self) -> None:
        """Begin to stop; all services do before the first of them stops."""

    @abstractmethod
    def stop(self) -> None:
        """Stop, and return when nothing of it runs any more."""


class Kernel:
    """Services by name.

    Attributes
    ----------
    failed : gevent.event.Event
        Set once a service has failed; `failure` then holds why.
    """

    def __init__(self):
        self.failed = Event()
        self.failure: BaseException | None = None
        self._services: dict[str, Service] = {}
        self._started: list[Service] = []

    def __repr__(self) -> str:
        return f"<Kernel {' '.join(self._services)}>"

    def add(self, service: Service) -> None:
        """Add a service.

        Raises
        ------
        KernelError
            The name is taken.
        """
        if service.name in self._services:
            raise KernelError(ErrorCode.SERVICE_MISSING, f"the name {service.name!r} is taken")
        self._services[service.name] = service

    def find(self, name: str) -> Service:
        """Return a service by name.

        Raises
        ------
        KernelError
            There is none.
        """
        service = self._services.get(name)
        if service is None:
            raise KernelError(ErrorCode.SERVICE_MISSING, f"there is no service {name!r}")
        return service

    def start(self) -> None:
        """Start all services in the order in which they were added.

        When one fails to start, those started before are stopped.
        """
        for service in list(self._services.values()):
            try:
                service.start(self)
            except BaseException:
                self.stop()
                raise
            self._started.append(service)

    def fail(self, exc: BaseException) -> None:
        """Note that a service can't go on; the process is to stop."""
        if self.failure is None:
            self.failure = exc
            self.failed.set()

    def stop(self) -> None:
        """Stop all started services in reverse order.

        All begin to stop first: were one waited for before the next one begins, the
        later ones would take up work that they have no time left for.
        """
        for service in reversed(self._started):
            service.begin_stop()
        while self._started:
            self._started.pop().stop()


class TaskService(Service):
    """A service that is one task: it owns its state and takes messages.

    Parameters
    ----------
    tick : float
        Longest time between two calls of `on_tick`, in seconds.
    """

    def __init__(self, tick: float):
        self._tick = tick
        self._mailbox: Queue = Queue()
        self._task = None

    def post(self, message: object) -> None:
        """Put a message into the task's mailbox; never waits."""
        self._mailbox.put(message)

    def start(self, kernel: Kernel) -> None:
        self.on_start(kernel)
        self._task = gevent.spawn(self._guard, kernel)

    def stop(self) -> None:
        if self._task is not None:
            self._task.kill()
            self._task = None
        self.on_stop()

    def _guard(self, kernel: Kernel) -> None:
        """Run; a task whose state may be half changed must not go on."""
        try:
            self._run()
        except Exception as exc:
            kernel.fail(exc)
            raise

    def _run(self) -> None:
        # Not the event loop's own time, which follows the time of day: a step back would
        # hold up ticks for as long, and with them a leader's heartbeats.
        next_tick = monotonic()
        while True:
            try:
                batch = [self._mailbox.get(timeout=max(0.0, next_tick - monotonic()))]
            except Empty:
                batch = []
            while not self._mailbox.empty():
                batch.append(self._mailbox.get_nowait())
            if batch:
                self.on_messages(batch)
            if monotonic() >= next_tick:
                next_tick = monotonic() + self._tick
                self.on_tick()

    def on_start(self, kernel: Kernel) -> None:
        """Prepare, before the task begins."""

    def on_stop(self) -> None:
        """Clean up, after the task has ended."""

    @abstractmethod
    def on_messages(self, batch: list[object]) -> None:
        """Handle all messages that were waiting, at least one."""

    def on_tick(self) -> None:
        """Act on the time."""
