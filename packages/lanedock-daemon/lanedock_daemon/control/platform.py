# SPDX-License-Identifier: BSD-3-Clause
"""The task that reads the platform's list."""

import gevent

from lanedock.errors import LanedockError
from lanedock.kernel import Kernel, Service, TaskService
from lanedock.membership import PlatformList
from lanedock.telemetry import Event, EventLogger
from lanedock_daemon.control.requests import ListRead

__all__ = ["PlatformReader"]


class PlatformReader(Service):
    """Reads the list at intervals and posts it to a task.

    Parameters
    ----------
    source : PlatformList
    task : TaskService
        Takes ListRead.
    interval : float
        Seconds.
    events : EventLogger
    """

    name = "platform"

    def __init__(self, source: PlatformList, task: TaskService, interval: float, events: EventLogger):
        self._source = source
        self._target = task
        self._interval = interval
        self._events = events
        self._was_readable = True
        self._refused = ""
        self._task = None

    def start(self, kernel: Kernel) -> None:
        self._task = gevent.spawn(self._run)

    def stop(self) -> None:
        self._task.kill()

    def _run(self) -> None:
        while True:
            try:
                self._target.post(ListRead(self._source.read()))
                self._was_readable = True
                self._note_refused()
            except LanedockError as exc:
                if self._was_readable:
                    self._events.emit(Event.PLATFORM_UNREADABLE, error=exc)
                self._was_readable = False
            gevent.sleep(self._interval)

    def _note_refused(self) -> None:
        """Log entries that are left out, once as long as they stay the same."""
        findings = self._source.findings
        refused = str(findings[0]) if findings else ""
        if refused and refused != self._refused:
            self._events.emit(Event.PLATFORM_ENTRIES_REFUSED, count=len(findings), first=refused)
        self._refused = refused
