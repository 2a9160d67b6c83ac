# SPDX-License-Identifier: BSD-3-Clause
"""Outcomes of all requests by route, summed over the totals that several processes log."""

from collections.abc import Iterable
from datetime import datetime
from pathlib import Path

from rich.console import Console

from lanedock.telemetry import Event
from lanedock_cli.explain import LogLine, read_log

__all__ = ["Summary", "SummaryRow", "print_summary", "summarize"]

_TOTALS_EVENT = f"E{Event.REQUEST_TOTALS.number}"
_HEADINGS = ("at", "side", "route", "outcome", "requests", "share", "mean ms", "mean wait ms")
_KEY_FIELDS = ("time", "level", "message", "event", "process", "side", "route")


class SummaryRow:
    """Requests of one side, route and interval, by outcome.

    Attributes
    ----------
    start : datetime or None
        Start of the interval; None if one row covers the whole logs.
    side, route : str
    counts : dict of str to int
        Requests by outcome.
    taken_ms, waited_ms : dict of str to int
        Total durations and total queue waits by outcome, in milliseconds.
    """

    __slots__ = ("counts", "route", "side", "start", "taken_ms", "waited_ms")

    def __init__(self, start: datetime | None, side: str, route: str):
        self.start = start
        self.side = side
        self.route = route
        self.counts: dict[str, int] = {}
        self.taken_ms: dict[str, int] = {}
        self.waited_ms: dict[str, int] = {}

    @property
    def total(self) -> int:
        """Number of requests with any outcome."""
        return sum(self.counts.values())

    def add(self, fields: dict) -> None:
        """Add the totals of one line."""
        for name, value in fields.items():
            if name in _KEY_FIELDS or not isinstance(value, int):
                continue
            for suffix, sums in (("_waited_ms", self.waited_ms), ("_ms", self.taken_ms), ("", self.counts)):
                if name.endswith(suffix):
                    outcome = name.removesuffix(suffix)
                    sums[outcome] = sums.get(outcome, 0) + value
                    break


class Summary:
    """Rows ordered by interval, side and route.

    Attributes
    ----------
    rows : list of SummaryRow
    processes : int
        Number of processes that logged totals.
    """

    __slots__ = ("processes", "rows")

    def __init__(self, rows: list[SummaryRow], processes: int):
        self.rows = rows
        self.processes = processes


def summarize(paths: list[Path], interval: float | None = None, process: str = "") -> Summary:
    """Sum the totals that processes logged.

    Parameters
    ----------
    paths : list of Path
        Logs.
    interval : float, optional
        Length of an interval, in seconds; if omitted, one row covers the whole logs.
    process : str
        Prefix of the names of the processes that are counted; empty for all.

    Raises
    ------
    LanedockError
        `ErrorCode.FILE_UNREADABLE`: a log is not readable.
    """
    lines = [line for path in paths for line in read_log(path)]
    lines = [line for line in lines if line.event == _TOTALS_EVENT and line.process.startswith(process)]
    rows: dict[tuple, SummaryRow] = {}
    for line in lines:
        start = _interval_start(line, interval)
        key = (start, line.fields["side"], line.fields["route"])
        if key not in rows:
            rows[key] = SummaryRow(*key)
        rows[key].add(line.fields)
    ordered = [rows[key] for key in sorted(rows, key=lambda key: (key[0] or datetime.min, *key[1:]))]
    return Summary(ordered, len({line.process for line in lines}))


def _interval_start(line: LogLine, interval: float | None) -> datetime | None:
    if interval is None:
        return None
    return datetime.fromtimestamp(line.time.timestamp() // interval * interval)


def print_summary(summary: Summary, console: Console) -> None:
    """Print a row for each outcome: count, share, mean duration and mean queue wait in milliseconds."""
    rows = [_HEADINGS, *(cells for row in summary.rows for cells in _cells(row))]
    widths = [max(len(cells[number]) for cells in rows) for number in range(len(_HEADINGS))]
    for cells in rows:
        line = "  ".join(cell.ljust(width) for cell, width in zip(cells, widths, strict=True))
        console.print(line.rstrip(), markup=False, highlight=False, soft_wrap=True)
    console.print(f"from {summary.processes} processes", highlight=False)


def _cells(row: SummaryRow) -> Iterable[tuple[str, ...]]:
    start = f"{row.start:%H:%M:%S}" if row.start is not None else ""
    for outcome, count in sorted(row.counts.items(), key=lambda item: -item[1]):
        mean = row.taken_ms.get(outcome, 0) / count if count else 0.0
        wait = row.waited_ms.get(outcome, 0) / count if count else 0.0
        yield start, row.side, row.route, outcome, str(count), f"{count / row.total:.3f}", f"{mean:.1f}", f"{wait:.1f}"
