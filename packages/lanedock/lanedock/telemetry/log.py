# SPDX-License-Identifier: BSD-3-Clause
"""Rate-limited, non-blocking logging of events as JSON lines."""

import logging
import os
import select
import sys
from collections import deque
from datetime import datetime

from gevent.monkey import get_original

from lanedock.clock import monotonic
from lanedock.telemetry.events import Event

__all__ = ["EventLogger", "LineWriter", "configure_logging"]

# Maximum lines per second of one event. Failures may have four times as many.
DEFAULT_LINES_PER_SECOND = 50
FAILURE_FACTOR = 4
# Decisions on requests that end in a stop may have this many times as many, since all of them are logged.
STOP_FACTOR = 20
# Maximum lines per second of one event that is logged for each request or connection. More than a process answers.
REQUEST_LINES_PER_SECOND = 4000
# Maximum number of buffered lines; beyond it the oldest are dropped.
MAX_PENDING_LINES = 2000
# Maximum size of a write that does not block on a writable pipe, in bytes (POSIX, PIPE_BUF).
MAX_ATOMIC_WRITE_BYTES = 4096
# The system's own poll: gevent's lets other greenlets run, in the middle of whatever logs a line.
_poll = get_original("select", "poll")


class EventLogger:
    """Logs numbered events with named fields.

    Parameters
    ----------
    name : str
        Name of the logger, usually the name of the process.
    lines_per_second : int
        Maximum lines per second of one event; further lines are counted and dropped. Failures
        (level warning and above) are counted apart and may have four times as many, decisions of a stop twenty times.
        Lines of `emit_each` have a limit of their own.
    """

    def __init__(self, name: str, lines_per_second: int = DEFAULT_LINES_PER_SECOND):
        self._logger = logging.getLogger(name)
        self._limit = lines_per_second
        self._second = 0
        # Lines of the current second by event and limit.
        self._counts: dict[tuple[Event, int], int] = {}
        self._dropped: dict[Event, int] = {}
        # Lines that were dropped by writers, as far as they are reported.
        self._reported_unwritten = 0

    def __repr__(self) -> str:
        return f"<EventLogger {self._logger.name}>"

    def emit(self, event: Event, **fields: object) -> None:
        """Log an event."""
        if self._logger.isEnabledFor(event.level) and self._admit(event, self._limit * _find_factor(event)):
            self._write(event, fields)

    def emit_decision(
        self, event: Event, decided_at: float, failed: bool, fields: dict, during_stop: bool = False
    ) -> None:
        """Log a decision that was made earlier.

        Parameters
        ----------
        event : Event
        decided_at : float
            Time of the decision, in seconds since the epoch, which becomes the time of the line.
        failed : bool
            Whether the request failed; the line then has the higher limit of failures.
        fields : dict
            Fields of the line.
        during_stop : bool
            Whether the request ended while the process stops; the line then has the limit of such lines.
        """
        factor = STOP_FACTOR if during_stop else FAILURE_FACTOR if failed else _find_factor(event)
        if self._logger.isEnabledFor(event.level) and self._admit(event, self._limit * factor):
            self._write(event, fields, decided_at)

    def emit_each(self, event: Event, **fields: object) -> None:
        """Log an event of which each line counts, at any load, within a limit that other lines don't share."""
        if self._logger.isEnabledFor(event.level) and self._admit(event, REQUEST_LINES_PER_SECOND):
            self._write(event, fields)

    def _write(self, event: Event, fields: dict, decided_at: float | None = None) -> None:
        line = {"message": event.name, "event": f"E{event.number}", "process": self._logger.name}
        for key, value in fields.items():
            line[key] = value if isinstance(value, (int, float, str, bool)) or value is None else str(value)
        # The formatter adds each item of a message that is a dict to the line as a field.
        record = self._logger.makeRecord(self._logger.name, event.level, "", 0, line, (), None)
        if decided_at is not None:
            record.created = decided_at
        self._logger.handle(record)

    def _admit(self, event: Event, limit: int) -> bool:
        """Count a line of an event and tell whether it is within a limit of the current second."""
        second = int(monotonic())
        if second != self._second:
            self._second = second
            self._counts.clear()
            self.report_dropped()
        count = self._counts.get((event, limit), 0) + 1
        self._counts[event, limit] = count
        if count <= limit:
            return True
        self._dropped[event] = self._dropped.get(event, 0) + 1
        return False

    def report_dropped(self) -> None:
        """Log how many lines of each event were dropped since the last report."""
        dropped, self._dropped = self._dropped, {}
        if self._logger.isEnabledFor(Event.LOG_LIMITED.level):
            for event, count in dropped.items():
                self._write(Event.LOG_LIMITED, {"limited": event.name, "left_out": count})

    def report_unwritten(self, writer: "LineWriter") -> None:
        """Log how many lines, of any event, a writer dropped since the last report because nothing reads the log."""
        count = writer.left_out - self._reported_unwritten
        if count and self._logger.isEnabledFor(Event.LOG_LIMITED.level):
            self._reported_unwritten = writer.left_out
            self._write(Event.LOG_LIMITED, {"limited": "", "left_out": count})


def _find_factor(event: Event) -> int:
    """Return the factor on the limit of an event's lines."""
    return FAILURE_FACTOR if event.level >= logging.WARNING else 1


class LineWriter(logging.Handler):
    """Logging handler that writes lines to a file descriptor without blocking.

    Lines that can't be written at once are buffered, up to `MAX_PENDING_LINES` lines, until
    the next line or call of `flush`.

    Parameters
    ----------
    descriptor : int
        File descriptor, such as that of a pipe.
    is_kept_open : bool
        Whether the descriptor stays open as long as the writer. Otherwise the writer has a duplicate, since the
        system gives the number of a closed descriptor to the next file or connection.
    """

    def __init__(self, descriptor: int, is_kept_open: bool = False):
        super().__init__()
        self._is_duplicate = not is_kept_open
        self._descriptor: int | None = descriptor if is_kept_open else os.dup(descriptor)
        self._poll = _poll()
        self._poll.register(self._descriptor, select.POLLOUT)
        self._pending: deque[bytes] = deque()
        self._dropped = 0

    def emit(self, record: logging.LogRecord) -> None:
        try:
            line = self.format(record).encode("utf-8", "replace") + b"\n"
        except Exception:
            self.handleError(record)
            return
        if len(self._pending) >= MAX_PENDING_LINES:
            self._pending.popleft()
            self._dropped += 1
        # A line that is too long for a non-blocking write to a pipe is truncated.
        self._pending.append(
            line if len(line) <= MAX_ATOMIC_WRITE_BYTES else line[: MAX_ATOMIC_WRITE_BYTES - 2] + b"\n"
        )
        # Lines about requests are frequent, so they are buffered and written in batches.
        is_on_request = isinstance(record.msg, dict) and "request" in record.msg
        if not is_on_request or record.levelno >= logging.WARNING or len(self._pending) >= MAX_PENDING_LINES // 4:
            self.flush()

    def flush(self, timeout: float = 0.0) -> None:
        """Write buffered lines until the descriptor would block; drop them after `close`.

        Parameters
        ----------
        timeout : float
            Seconds for which the call waits, in all, until the descriptor takes more.
        """
        until = monotonic() + timeout
        if self._descriptor is None:
            self._dropped += len(self._pending)
            self._pending.clear()
        while self._pending:
            if not any(mask & select.POLLOUT for _, mask in self._poll.poll(1000 * max(0.0, until - monotonic()))):
                return
            batch, size = [], 0
            while self._pending and size + len(self._pending[0]) <= MAX_ATOMIC_WRITE_BYTES:
                batch.append(self._pending.popleft())
                size += len(batch[-1])
            try:
                os.write(self._descriptor, b"".join(batch))
            except OSError:
                # The reader has closed the pipe, so the failure can't be logged either.
                self._dropped += len(batch)
                return

    def close(self) -> None:
        """Write the buffered lines that can be written at once, and close the writer's duplicate of the descriptor."""
        if self._descriptor is not None:
            self.flush()
            if self._is_duplicate:
                os.close(self._descriptor)
            self._descriptor = None
        super().close()

    @property
    def left_out(self) -> int:
        """Number of lines dropped since the start."""
        return self._dropped


def configure_logging(level: str, descriptor: int | None = None) -> LineWriter:
    """Configure the root logger to write JSON lines.

    Parameters
    ----------
    level : str
        Name of a level of `logging`, such as ``info``.
    descriptor : int, optional
        File descriptor to write to; standard output by default.

    Returns
    -------
    LineWriter
        The handler, which the caller has to flush at intervals.
    """
    is_standard = descriptor is None
    # Not a duplicate: platforms that intercept system calls see only what is written to standard output itself.
    writer = LineWriter(sys.stdout.fileno() if is_standard else descriptor, is_kept_open=is_standard)
    writer.setFormatter(_make_formatter())
    root = logging.getLogger()
    root.handlers[:] = [writer]
    root.setLevel(level.upper())
    # hpack logs every header that it decodes at DEBUG; grpclib logs each cancelled call.
    logging.getLogger("hpack").setLevel(logging.WARNING)
    logging.getLogger("grpclib").setLevel(logging.WARNING)
    return writer


def _make_formatter() -> logging.Formatter:
    from pythonjsonlogger.json import JsonFormatter

    class LineFormatter(JsonFormatter):
        """Formats JSON lines with times in microseconds, because several decisions may fall into one millisecond."""

        def formatTime(self, record: logging.LogRecord, datefmt: str | None = None) -> str:
            return datetime.fromtimestamp(record.created).strftime("%Y-%m-%d %H:%M:%S,%f")

    fields = "%(asctime)s %(levelname)s %(message)s"
    return LineFormatter(fields, rename_fields={"asctime": "time", "levelname": "level"})
