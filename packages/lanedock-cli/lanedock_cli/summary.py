# SPDX-License-Identifier: BSD-3-Clause
"""How all requests ended, by route, added up from several processes' totals."""

from collections.abc import Iterable
from datetime import datetime
from pathlib import Path

from rich.console import Console

from lanedock.telemetry import Event
from lanedock_cli.explain import Line, read_log

__all__ = ["Summary", "SummaryRow", "print_summary", "summarize"]

_TOTALS = f"E{Event.REQUEST_TOTALS.number}"
_HEADINGS = ("at", "side", "route", "outcome", "requests", "share", "mean ms", "mean wait ms")
_PLAIN = ("time", "level", "message", "event", "process", "side", "route")


class SummaryRow:
    """Requests of one side, route and span of time, by outcome.

    Attributes
    ----------
    at : datetime or None
        Beginning of the span; None where the logs are one span.
    side, route : str
    counts : dict of str to int
    taken_ms, waited_ms : dict of str to int
        Sums by outcome, in milliseconds.
    """

    __slots__ = ("at", "counts", "route", "side", "taken_ms", "waited_ms")

    def __init__(self, at: datetime | None, side: str, route: str):
        self.at = at
        self.side = side
        self.route = route
        self.counts: dict[str, int] = {}
        self.taken_ms: dict[str, int] = {}
        self.waited_ms: dict[str, int] = {}

    @property
    def total(self) -> int:
        """All requests."""
        return sum(self.counts.values())

    def add(self, fields: dict) -> None:
        """Add the totals of one line."""
        for name, value in fields.items():
            if name in _PLAIN or not isinstance(value, int):
                continue
            for suffix, sums in (("_waited_ms", self.waited_ms), ("_ms", self.taken_ms), ("", self.counts)):
                if name.endswith(suffix):
                    outcome = name.removesuffix(suffix)
                    sums[outcome] = sums.get(outcome, 0) + value
                    break


class Summary:
    """Rows in the order of their span, side and route.

    Attributes
    ----------
    rows : list of SummaryRow
    processes : int
        That wrote totals.
    """

    __slots__ = ("processes", "rows")

    def __init__(self, rows: list[SummaryRow], processes: int):
        self.rows = rows
        self.processes = processes


def summarize(paths: list[Path], every: float | None = None, process: str = "") -> Summary:
    """Add up the totals that processes wrote.

    Parameters
    ----------
    paths : list of Path
        Logs.
    every : float, optional
        Seconds of a span; one for all where left out.
    process : str
        Beginning of the names of the processes that count; empty for all.

    Raises
    ------
    LanedockError
        `ErrorCode.FILE_UNREADABLE`
    """
    lines = [line for path in paths for line in read_log(path)]
    lines = [line for line in lines if line.event == _TOTALS and line.process.startswith(process)]
    rows: dict[tuple, SummaryRow] = {}
    for line in lines:
        at = _begin_of_span(line, every)
        key = (at, line.fields["side"], line.fields["route"])
        if key not in rows:
            rows[key] = SummaryRow(*key)
        rows[key].add(line.fields)
    ordered = [rows[key] for key in sorted(rows, key=lambda key: (key[0] or datetime.min, *key[1:]))]
    return Summary(ordered, len({line.process for line in lines}))


def _begin_of_span(line: Line, every: float | None) -> datetime | None:
    if every is None:
        return None
    return datetime.fromtimestamp(line.time.timestamp() // every * every)


def print_summary(summary: Summary, console: Console) -> None:
    """Print a row for each outcome: its share, and its means in milliseconds."""
    rows = [_HEADINGS, *(cells for row in summary.rows for cells in _cells(row))]
    widths = [max(len(cells[number]) for cells in rows) for number in range(len(_HEADINGS))]
    for cells in rows:
        line = "  ".join(cell.ljust(width) for cell, width in zip(cells, widths, strict=True))
        console.print(line.rstrip(), markup=False, highlight=False, soft_wrap=True)
    console.print(f"from {summary.processes} processes", highlight=False)


def _cells(row: SummaryRow) -> Iterable[tuple[str, ...]]:
    at = f"{row.at:%H:%M:%S}" if row.at is not None else ""
    for outcome, count in sorted(row.counts.items(), key=lambda item: -item[1]):
        mean = row.taken_ms.get(outcome, 0) / count if count else 0.0
        wait = row.waited_ms.get(outcome, 0) / count if count else 0.0
        yield at, row.side, row.route, outcome, str(count), f"{count / row.total:.3f}", f"{mean:.1f}", f"{wait:.1f}"
