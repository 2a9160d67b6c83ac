# SPDX-License-Identifier: BSD-3-Clause
"""An asyncio event loop in a greenlet, for `grpclib`.

grpclib needs asyncio. With gevent's monkey patches the loop uses gevent's selector
and runs in a greenlet of the same thread as all others. State shared with them
therefore needs no locks; only waking the loop needs `call_soon_threadsafe`.
"""

import asyncio

import gevent
from gevent.event import AsyncResult, Event

from lanedock.kernel.core import Kernel, Service

__all__ = ["LoopService"]


class LoopService(Service):
    """The asyncio event loop of a process."""

    name = "loop"

    def __init__(self):
        self._loop: asyncio.AbstractEventLoop | None = None
        self._task = None
        self._tasks: set[asyncio.Task] = set()

    def start(self, kernel: Kernel) -> None:
        running = Event()
        self._task = gevent.spawn(self._run, running)
        running.wait()

    def _run(self, running: Event) -> None:
        self._loop = asyncio.new_event_loop()
        asyncio.set_event_loop(self._loop)
        self._loop.call_soon(running.set)
        self._loop.run_forever()
        self._loop.close()

    def stop(self) -> None:
        self._loop.call_soon_threadsafe(self._cancel_all)
        self._task.join(timeout=2)

    def _cancel_all(self) -> None:
        for task in self._tasks:
            task.cancel()
        self._loop.call_later(0.05, self._loop.stop)

    def call(self, function, *args) -> None:
        """Schedule a function call inside the loop; may be called from any greenlet."""
        self._loop.call_soon_threadsafe(function, *args)

    def spawn(self, coroutine) -> None:
        """Run a coroutine inside the loop until it ends or the loop stops."""
        self._loop.call_soon_threadsafe(self._start_task, coroutine, None)

    def wait(self, coroutine, timeout: float | None = None):
        """Run a coroutine inside the loop and block the calling greenlet until its result is available.

        Raises
        ------
        Exception
            Any exception of the coroutine; `gevent.Timeout` after `timeout`
            seconds.
        """
        result = AsyncResult()
        self._loop.call_soon_threadsafe(self._start_task, coroutine, result)
        return result.get(timeout=timeout)

    def _start_task(self, coroutine, result: AsyncResult | None) -> None:
        task = self._loop.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(lambda done: self._finish(done, result))

    def _finish(self, task: asyncio.Task, result: AsyncResult | None) -> None:
        self._tasks.discard(task)
        if task.cancelled():
            if result is not None:
                result.set_exception(asyncio.CancelledError())
            return
        exc = task.exception()
        if result is not None:
            if exc is not None:
                result.set_exception(exc)
            else:
                result.set(task.result())
        elif exc is not None:
            self._loop.call_exception_handler(
                {"message": "asyncio task failed with an unhandled exception", "exception": exc, "task": task}
            )
