# SPDX-License-Identifier: BSD-3-Clause
"""Service that reads the platform's list of instances at intervals."""

import gevent

from lanedock.errors import LanedockError
from lanedock.kernel import Kernel, Service, TaskService
from lanedock.membership import PlatformList
from lanedock.telemetry import Event, EventLogger
from lanedock_daemon.control.requests import ListRead

__all__ = ["PlatformReader"]


class PlatformReader(Service):
    """Reads the platform's list at intervals and posts it to a task.

    Parameters
    ----------
    source : PlatformList
    task : TaskService
        Receives `ListRead` messages.
    interval : float
        Time between two reads, in seconds.
    events : EventLogger
    """

    name = "platform"

    def __init__(self, source: PlatformList, task: TaskService, interval: float, events: EventLogger):
        self._source = source
        self._target = task
        self._interval = interval
        self._events = events
        self._was_readable = True
        self._first_refused = ""
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
                self._log_refused()
            except LanedockError as exc:
                if self._was_readable:
                    self._events.emit(Event.PLATFORM_UNREADABLE, error=exc)
                self._was_readable = False
            gevent.sleep(self._interval)

    def _log_refused(self) -> None:
        """Log the refused entries of the list, again only when the first of them changes."""
        findings = self._source.findings
        refused = str(findings[0]) if findings else ""
        if refused and refused != self._first_refused:
            self._events.emit(Event.PLATFORM_ENTRIES_REFUSED, count=len(findings), first=refused)
        self._first_refused = refused
