# SPDX-License-Identifier: BSD-3-Clause
"""What a control instance does while its disk refuses writes: it tries again, and reports the outage."""

import gevent

from lanedock.consensus import StorageError
from lanedock.errors import ErrorCode
from lanedock.kernel import TaskService
from lanedock.telemetry import Event, EventLogger, Metric, Metrics
from lanedock.wire import messages
from lanedock_daemon.control.disk_thread import run_in_thread
from lanedock_daemon.control.storage_opening import OpenedStorage, StorageOpener

__all__ = ["REPORT_INTERVAL", "StorageLost", "StorageRecovery", "StorageReopened"]

# Bounds of the wait between two attempts, in seconds. An attempt writes the whole log, of some megabytes,
# if the disk has room for it.
RETRY_MIN, RETRY_MAX = 0.1, 1.0
# Seconds without a failure after which the wait starts at its minimum again, as a disk that is
# nearly full may take one write and refuse the next.
STABLE_TIME = 10.0
# Seconds between two reports of the outage to the other control instances.
REPORT_INTERVAL = 1.0


class StorageReopened:
    """The storage can be written again; sent to the control task."""

    __slots__ = ("opened",)

    def __init__(self, opened: OpenedStorage):
        self.opened = opened


class StorageLost:
    """The storage is corrupt or belongs to another replica; sent to the control task."""

    __slots__ = ("error",)

    def __init__(self, error: StorageError):
        self.error = error


class StorageRecovery:
    """Opens the storage, and opens it again after a failure until that succeeds.

    Parameters
    ----------
    opener : StorageOpener
    task : TaskService
        Receives StorageReopened.
    events : EventLogger
    metrics : Metrics

    Attributes
    ----------
    error : str
        The error because of which the storage can't be written; empty if it can.
    """

    def __init__(self, opener: StorageOpener, task: TaskService, events: EventLogger, metrics: Metrics):
        self.error = ""
        self._opener = opener
        self._task = task
        self._events = events
        self._metrics = metrics
        self._code: ErrorCode | None = None
        self._failed_at = 0.0
        self._ended_at = float("-inf")
        self._wait = RETRY_MIN
        self._report_at = 0.0
        self._greenlet = None

    def __repr__(self) -> str:
        return f"<StorageRecovery {self.error or 'usable'}>"

    @property
    def is_active(self) -> bool:
        """Whether the storage can't be written."""
        return bool(self.error)

    def open(self) -> OpenedStorage:
        """Open the storage once.

        Raises
        ------
        StorageError
        """
        return run_in_thread(self._opener.open)

    def begin(self, exc: StorageError, now: float) -> None:
        """Log the failure, and try from now on to open the storage again."""
        if not self.is_active:
            self._failed_at = now
            if now - self._ended_at > STABLE_TIME:
                self._wait = RETRY_MIN
        self._note(exc)
        self._report_at = now
        self._greenlet = gevent.spawn(self._retry)

    def _note(self, exc: StorageError) -> None:
        """Record an error, and log it unless the same kind of error was logged in this outage."""
        self.error = exc.args[0]
        if exc.code is self._code:
            return
        self._code = exc.code
        if exc.code is ErrorCode.DISK_FAILED:
            self._events.emit(Event.DISK_FAILED, error=exc)
        else:
            self._events.emit(Event.LOG_CORRUPT, error=exc)
            self._task.post(StorageLost(exc))

    def _retry(self) -> None:
        while True:
            gevent.sleep(self._wait)
            self._wait = min(2 * self._wait, RETRY_MAX)
            try:
                opened = self.open()
            except StorageError as exc:
                self._note(exc)
            else:
                self._task.post(StorageReopened(opened))
                return

    def end(self, now: float) -> None:
        """Log the end of the outage, once the control instance participates again."""
        self._events.emit(Event.DISK_RECOVERED, outage_ms=self.outage_ms(now))
        self._metrics.gauge(Metric.DISK_OUTAGE, 0)
        self.error = ""
        self._code = None
        self._ended_at = now

    def stop(self) -> None:
        """Stop trying."""
        if self._greenlet is not None:
            self._greenlet.kill(block=False)

    def outage_ms(self, now: float) -> int:
        """Return the milliseconds for which the storage could not be written; 0 if it can."""
        return round(1000 * (now - self._failed_at)) if self.is_active else 0

    def measure(self, now: float) -> None:
        """Update the gauge of the outage."""
        if self.is_active:
            self._metrics.gauge(Metric.DISK_OUTAGE, self.outage_ms(now) / 1000)

    def take_report(self, now: float) -> messages.DiskReport | None:
        """Return the report to send to the other control instances now; None if none is due."""
        if not self.is_active or now < self._report_at:
            return None
        self._report_at = now + REPORT_INTERVAL
        return messages.DiskReport(error=self.error, outage_ms=self.outage_ms(now))
