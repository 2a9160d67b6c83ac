# SPDX-License-Identifier: BSD-3-Clause
"""Writing of events as JSON lines: bounded in volume, and never waiting for a reader."""

import logging
import os
import select
import sys
from collections import deque
from datetime import datetime

from lanedock.clock import monotonic
from lanedock.telemetry.events import Event

__all__ = ["EventLogger", "LineWriter", "configure_logging"]

# Lines of one event in a second; what is a failure may be four times as many.
DEFAULT_LINES_PER_SECOND = 50
FAILURE_FACTOR = 4
# Lines that wait for a reader. Beyond it the oldest are left out.
MAX_WAITING = 2000
# A pipe that is ready takes this much without waiting (POSIX, PIPE_BUF).
ATOMIC_BYTES = 4096


class EventLogger:
    """Writes numbered events with named particulars.

    Parameters
    ----------
    name : str
        Of the logger; the process's own name is a good one.
    lines_per_second : int
        Lines of one event in a second; more are counted and left out. Failures
        (level warning and above) may be four times as many.
    """

    def __init__(self, name: str, lines_per_second: int = DEFAULT_LINES_PER_SECOND):
        self._logger = logging.getLogger(name)
        self._limit = lines_per_second
        self._second = 0
        self._counts: dict[Event, int] = {}

    def __repr__(self) -> str:
        return f"<EventLogger {self._logger.name}>"

    def emit(self, event: Event, **particulars: object) -> None:
        """Log an event."""
        if not self._logger.isEnabledFor(event.level) or not self._has_room(event, event.level):
            return
        self._write(event, particulars)

    def emit_decision(self, event: Event, decided_at: float, failed: bool, particulars: dict) -> None:
        """Log what was decided earlier on.

        Parameters
        ----------
        event : Event
        decided_at : float
            Seconds since the epoch; the line has this time.
        failed : bool
            Whether it belongs to a failure, and stands under the failures' bound.
        particulars : dict
        """
        bound = logging.WARNING if failed else event.level
        if self._logger.isEnabledFor(event.level) and self._has_room(event, bound):
            self._write(event, particulars, decided_at)

    def _write(self, event: Event, particulars: dict, decided_at: float | None = None) -> None:
        fields = {"message": event.name, "event": f"E{event.number}", "process": self._logger.name}
        for key, value in particulars.items():
            fields[key] = value if isinstance(value, (int, float, str, bool)) or value is None else str(value)
        # The formatter puts a message that is a dict into the line, field by field.
        record = self._logger.makeRecord(self._logger.name, event.level, "", 0, fields, (), None)
        if decided_at is not None:
            record.created = decided_at
        self._logger.handle(record)

    def _has_room(self, event: Event, level: int) -> bool:
        second = int(monotonic())
        if second != self._second:
            self._second = second
            counts, self._counts = self._counts, {}
            self._report_limited(counts)
        count = self._counts.get(event, 0) + 1
        self._counts[event] = count
        return count <= self._limit * (FAILURE_FACTOR if level >= logging.WARNING else 1)

    def _report_limited(self, counts: dict[Event, int]) -> None:
        for event, count in counts.items():
            limit = self._limit * (FAILURE_FACTOR if event.level >= logging.WARNING else 1)
            if count > limit and self._logger.isEnabledFor(Event.LOG_LIMITED.level):
                self._write(Event.LOG_LIMITED, {"limited": event.name, "left_out": count - limit})


class LineWriter(logging.Handler):
    """Writes lines to a descriptor as far as it takes them without waiting.

    What it does not take waits, up to a bound, for the next line or `flush`.

    Parameters
    ----------
    descriptor : int
    """

    def __init__(self, descriptor: int):
        super().__init__()
        self._descriptor = descriptor
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)
        self._waiting: deque[bytes] = deque()
        self._left_out = 0

    def emit(self, record: logging.LogRecord) -> None:
        try:
            line = self.format(record).encode("utf-8", "replace") + b"\n"
        except Exception:
            self.handleError(record)
            return
        if len(self._waiting) >= MAX_WAITING:
            self._waiting.popleft()
            self._left_out += 1
        # A line that a pipe would not take at once is cut, so that none waits.
        self._waiting.append(line if len(line) <= ATOMIC_BYTES else line[: ATOMIC_BYTES - 2] + b"\n")
        # Lines on requests come in numbers and may wait for one another.
        is_on_request = isinstance(record.msg, dict) and "request" in record.msg
        if not is_on_request or record.levelno >= logging.WARNING or len(self._waiting) >= MAX_WAITING // 4:
            self.flush()

    def flush(self) -> None:
        """Write what the descriptor takes now."""
        while self._waiting:
            if not any(mask & select.POLLOUT for _, mask in self._poll.poll(0)):
                return
            batch, size = [], 0
            while self._waiting and size + len(self._waiting[0]) <= ATOMIC_BYTES:
                batch.append(self._waiting.popleft())
                size += len(batch[-1])
            try:
                os.write(self._descriptor, b"".join(batch))
            except OSError:
                # Nobody can read any more, and there is nowhere to say so.
                self._left_out += len(batch)
                return

    @property
    def left_out(self) -> int:
        """Lines that nobody took, since the start."""
        return self._left_out


def configure_logging(level: str, descriptor: int | None = None) -> LineWriter:
    """Log JSON lines to standard output.

    Parameters
    ----------
    level : str
        One of the names that `logging` knows.
    descriptor : int, optional
        Where to instead.

    Returns
    -------
    LineWriter
        To be flushed at intervals.
    """
    writer = LineWriter(sys.stdout.fileno() if descriptor is None else descriptor)
    writer.setFormatter(_make_formatter())
    root = logging.getLogger()
    root.handlers[:] = [writer]
    root.setLevel(level.upper())
    # hpack tells every header it decodes at DEBUG; grpclib each cancelled call.
    logging.getLogger("hpack").setLevel(logging.WARNING)
    logging.getLogger("grpclib").setLevel(logging.WARNING)
    return writer


def _make_formatter() -> logging.Formatter:
    from pythonjsonlogger.json import JsonFormatter

    class LineFormatter(JsonFormatter):
        """Formats lines of JSON with times in microseconds: several decisions fall into a millisecond."""

        def formatTime(self, record: logging.LogRecord, datefmt: str | None = None) -> str:
            return datetime.fromtimestamp(record.created).strftime("%Y-%m-%d %H:%M:%S,%f")

    fields = "%(asctime)s %(levelname)s %(message)s"
    return LineFormatter(fields, rename_fields={"asctime": "time", "levelname": "level"})
