# SPDX-License-Identifier: BSD-3-Clause
"""Service registry of a process, and base classes of services."""

from abc import ABC, abstractmethod
from collections.abc import Callable

import gevent
from gevent.event import Event
from gevent.queue import Empty, Queue

from lanedock.clock import monotonic
from lanedock.errors import ErrorCode, LanedockError

__all__ = ["Kernel", "KernelError", "Service", "TaskService"]


class KernelError(LanedockError):
    """A service is not registered, or its name is already in use."""


class Service(ABC):
    """A component of a process that other components look up by name.

    Attributes
    ----------
    name : str
        Name of the service, unique within its kernel.
    """

    name = ""

    @abstractmethod
    def start(self, kernel: "Kernel") -> None:
        """Start the service; services added before it are already running."""

    def begin_stop(self) -> None:
        """Prepare to stop; called on all started services before the first one is stopped."""

    @abstractmethod
    def stop(self) -> None:
        """Stop the service; return once none of its tasks runs."""


class Kernel:
    """Registry that starts and stops the services of a process.

    Attributes
    ----------
    failed : gevent.event.Event
        Set once a service has failed.
    failure : BaseException or None
        Exception of the first service that failed.
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
            A service of this name is already registered.
        """
        if service.name in self._services:
            raise KernelError(ErrorCode.SERVICE_MISSING, f"a service named {service.name!r} is already registered")
        self._services[service.name] = service

    def find(self, name: str) -> Service:
        """Return a service by name.

        Raises
        ------
        KernelError
            No service of this name is registered.
        """
        service = self._services.get(name)
        if service is None:
            raise KernelError(ErrorCode.SERVICE_MISSING, f"no service named {name!r} is registered")
        return service

    def start(self) -> None:
        """Start all services in the order in which they were added.

        If a service fails to start, the services started before it are stopped.
        """
        for service in list(self._services.values()):
            try:
                service.start(self)
            except BaseException as exc:
                for failure in self.stop():
                    exc.add_note(f"a service that had started failed to stop: {failure!r}")
                raise
            self._started.append(service)

    def fail(self, exc: BaseException) -> None:
        """Record the failure of a service, after which the process has to stop."""
        if self.failure is None:
            self.failure = exc
            self.failed.set()

    def stop(self) -> list[Exception]:
        """Stop all started services in reverse order; return the exceptions of those that failed to.

        `Service.begin_stop` is called on all of them first. Otherwise services that
        are stopped later would accept work, while the first ones stop, that they have no
        time left to finish. The failure of one doesn't keep the others from finishing their work.
        """
        failures: list[Exception] = []
        for service in reversed(self._started):
            _call(service.begin_stop, failures)
        while self._started:
            _call(self._started.pop().stop, failures)
        return failures


def _call(step: Callable[[], None], failures: list[Exception]) -> None:
    """Run a step of a stop; add its exception to the failures."""
    try:
        step()
    except Exception as exc:
        failures.append(exc)


class TaskService(Service):
    """A service that runs as one task, which owns its state and handles queued messages.

    Parameters
    ----------
    tick : float or None
        Interval between calls of `on_tick`, in seconds; longer while messages are handled. None
        for no calls. A subclass may change it in `on_messages`.
    """

    def __init__(self, tick: float | None):
        self._tick = tick
        self._mailbox: Queue = Queue()
        self._task = None

    def post(self, message: object) -> None:
        """Put a message into the task's mailbox without blocking."""
        self._mailbox.put(message)

    def start(self, kernel: Kernel) -> None:
        self.on_start(kernel)
        self._task = gevent.spawn(self._run_or_fail, kernel)

    def stop(self) -> None:
        if self._task is not None:
            self._task.kill()
            self._task = None
        self.on_stop()

    def _run_or_fail(self, kernel: Kernel) -> None:
        """Run the task; report an exception to the kernel, as the task's state may be inconsistent."""
        try:
            self._run()
        except Exception as exc:
            kernel.fail(exc)
            raise

    def _run(self) -> None:
        # The event loop's time follows the wall clock. A backward step of that clock would
        # delay ticks, and with them a leader's heartbeats, by as much.
        next_tick = monotonic()
        while True:
            timeout = None if self._tick is None else max(0.0, next_tick - monotonic())
            try:
                batch = [self._mailbox.get(timeout=timeout)]
            except Empty:
                batch = []
            while not self._mailbox.empty():
                batch.append(self._mailbox.get_nowait())
            if batch:
                self.on_messages(batch)
            if self._tick is not None and monotonic() >= next_tick:
                next_tick = monotonic() + self._tick
                self.on_tick()

    def on_start(self, kernel: Kernel) -> None:
        """Prepare the service before its task starts."""

    def on_stop(self) -> None:
        """Clean up after the task has ended."""

    @abstractmethod
    def on_messages(self, batch: list[object]) -> None:
        """Handle all queued messages; `batch` is never empty."""

    def on_tick(self) -> None:
        """Handle a tick, for example by checking timeouts."""
