# SPDX-License-Identifier: BSD-3-Clause
"""How the stops of a process went, and how requests ended at their callers in a stop."""

from datetime import datetime, timedelta
from pathlib import Path

from rich.console import Console

from lanedock.telemetry import Event
from lanedock_cli.explain import LogLine, read_log

__all__ = ["StopTimeline", "collect_stops", "print_stop"]

_SHOWN = (
    Event.NOTICE_BEGUN,
    Event.LISTENER_CLOSED,
    Event.CUT_SHORT,
    Event.CONNECTION_CUT,
    Event.STOP_SUMMARY,
    Event.LOG_LIMITED,
    Event.STOPPED,
)
_SHOWN_MESSAGES = {event.name for event in _SHOWN}
# What `RequestEnd` names so is in order; requests with other ends are listed, those that were not begun last.
_IN_ORDER = "received"
_NOT_BEGUN = "not begun"
MAX_LISTED_REQUESTS = 100


class StopTimeline:
    """One stop of a process.

    Attributes
    ----------
    process : str
    signalled_at : datetime
        When the process noted the signal.
    lines : list of LogLine
        The main lines of the stop, ordered by time.
    ends : list of LogLine
        Lines about the ends of requests, ordered by time.
    connections : int
        Number of callers' connections that ended.
    missing : list of str
        Descriptions of expected lines that the log lacks.
    """

    __slots__ = ("connections", "ends", "lines", "missing", "process", "signalled_at")

    def __init__(self, stopping: LogLine, later: list[LogLine]):
        self.process = stopping.process
        self.signalled_at = _find_signal_time(stopping)
        self.lines = [line for line in later if line.fields["message"] in _SHOWN_MESSAGES]
        self.ends = [line for line in later if line.fields["message"] == Event.REQUEST_END.name]
        self.connections = sum(line.fields["message"] == Event.CONNECTION_ENDED.name for line in later)
        self.missing = _find_missing(later, self.ends)

    @property
    def disturbed(self) -> list[LogLine]:
        """Lines about requests whose answers their callers have not received, those that were not begun last."""
        found = [line for line in self.ends if line.fields.get("end") != _IN_ORDER]
        return sorted(found, key=lambda line: line.fields.get("end") == _NOT_BEGUN)

    def offset_ms(self, time: datetime) -> float:
        """Return a time in milliseconds since the signal."""
        return (time - self.signalled_at) / timedelta(milliseconds=1)


def _find_signal_time(stopping: LogLine) -> datetime:
    return stopping.time - timedelta(milliseconds=stopping.fields.get("after_ms") or 0)


def collect_stops(process: str, paths: list[Path]) -> list[StopTimeline]:
    """Collect the stops of a process, in their order.

    Parameters
    ----------
    process : str
        Name of the process.
    paths : list of Path
        Logs of the process.

    Raises
    ------
    LanedockError
        `ErrorCode.FILE_UNREADABLE`: a log is not readable.
    """
    lines = [line for path in paths for line in read_log(path) if line.process == process]
    lines.sort(key=lambda line: line.time)
    stops: list[list[LogLine]] = []
    is_in_stop = False
    for line in lines:
        message = line.fields["message"]
        if message == Event.STOPPING.name:
            stops.append([])
            is_in_stop = True
        elif message == Event.STARTED.name:
            is_in_stop = False
        if is_in_stop:
            stops[-1].append(line)
    return [StopTimeline(found[0], found[1:]) for found in stops]


def _find_missing(later: list[LogLine], ends: list[LogLine]) -> list[str]:
    """Describe the lines that a whole stop has and this one lacks."""
    messages = {line.fields["message"] for line in later}
    missing = []
    if Event.STOPPED.name not in messages:
        missing.append("no line STOPPED: the process was ended early, or the log is cut off")
    summarized = {line.fields.get("server") for line in later if line.fields["message"] == Event.STOP_SUMMARY.name}
    missing += [
        f"no summary of the server {server}: it was not stopped to its end"
        for server in sorted({str(line.fields.get("server")) for line in ends} - summarized)
    ]
    reported = {line.request for line in ends}
    missing += [
        f"no line on the end of {line.request} at its caller, although it was answered"
        for line in later
        if line.fields["message"] == Event.REQUEST_ANSWERED.name and line.request and line.request not in reported
    ]
    return missing


def print_stop(stop: StopTimeline, console: Console) -> None:
    """Print a stop: its lines, the requests that were cut or left, and what is missing."""

    def show(text: str) -> None:
        console.print(text, markup=False, highlight=False, soft_wrap=True)

    show(f"{stop.signalled_at:%H:%M:%S.%f}"[:-3] + f"  {stop.process}: signal to stop")
    for line in stop.lines:
        fields = line.describe_fields()
        show(f"{stop.offset_ms(line.time):>+9.0f} ms  {line.fields['message']}  {fields}")
    received = len(stop.ends) - len(stop.disturbed)
    show(f"{received} answers received by callers, {stop.connections} connections ended")
    for line in stop.disturbed[:MAX_LISTED_REQUESTS]:
        show(f"{line.request}: {line.describe_end()}")
    if len(stop.disturbed) > MAX_LISTED_REQUESTS:
        show(f"and {len(stop.disturbed) - MAX_LISTED_REQUESTS} more")
    for text in stop.missing:
        show(f"missing: {text}")
