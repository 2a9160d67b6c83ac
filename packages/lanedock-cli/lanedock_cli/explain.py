# SPDX-License-Identifier: BSD-3-Clause
"""The account of one request, gathered from several processes' logs."""

import json
from datetime import datetime, timedelta
from pathlib import Path

from rich.console import Console

from lanedock.errors import ErrorCode, LanedockError
from lanedock.telemetry import Event

__all__ = ["Account", "Line", "gather", "print_account", "read_log"]

# Lines of the processes concerned that are shown around the request.
AROUND = timedelta(seconds=2)
MAX_AROUND = 30
_REQUEST_EVENTS = {
    f"E{event.number}" for event in Event if event.name.startswith("REQUEST_") or event in (Event.ANSWER_LOST,)
}
_LEFT_OUT = f"E{Event.LOG_LIMITED.number}"
_PLAIN = ("time", "level", "message", "event", "process", "request", "after_ms")


class Line:
    """One line of a log.

    Attributes
    ----------
    time : datetime
    event, process, request : str
    fields : dict
    """

    __slots__ = ("event", "fields", "process", "request", "time")

    def __init__(self, value: dict):
        self.time = datetime.fromisoformat(value["time"].replace(",", "."))
        self.event = value["event"]
        self.process = value["process"]
        self.request = value.get("request", "")
        self.fields = value

    def text(self) -> str:
        """Return it as a person reads it."""
        fields = " ".join(f"{key}={value}" for key, value in self.fields.items() if key not in _PLAIN and value != "")
        after = self.fields.get("after_ms")
        since = f"+{after:g} ms" if after is not None else ""
        return f"{self.time:%H:%M:%S.%f}"[:-3] + f"  {self.process:<18} {since:>11}  {self.fields['message']}  {fields}"


class Account:
    """What the logs say of one request.

    Attributes
    ----------
    lines : list of Line
        Of the request, in order of time.
    around : list of Line
        Of the same processes, shortly before and after.
    missing : list of str
        What the logs should hold and don't.
    causes : list of ErrorCode
        Codes that the request met, the last one first.
    """

    __slots__ = ("around", "causes", "lines", "missing")

    def __init__(self, lines: list[Line], around: list[Line], missing: list[str], causes: list[ErrorCode]):
        self.lines = lines
        self.around = around
        self.missing = missing
        self.causes = causes


def gather(request: str, paths: list[Path]) -> Account:
    """Gather the account of a request.

    Parameters
    ----------
    request : str
        Its id.
    paths : list of Path
        Logs of the processes that it may have met.

    Raises
    ------
    LanedockError
        `ErrorCode.FILE_UNREADABLE`
    """
    known = [line for path in paths for line in read_log(path)]
    lines = [line for line in known if line.request == request]
    lines.sort(key=lambda line: line.time)
    if not lines:
        return Account([], [], [f"no line names {request}: it was answered well and not sampled, or not here"], [])
    first, last = lines[0].time - AROUND, lines[-1].time + AROUND
    met = {line.process for line in lines} | {str(line.fields.get("upstream", "")) for line in lines}
    around = [
        line
        for line in known
        if line.process in met and first <= line.time <= last and line.event not in _REQUEST_EVENTS
    ]
    around.sort(key=lambda line: line.time)
    causes = []
    for line in reversed(lines):
        code = ErrorCode.find(str(line.fields.get("code", "")))
        if code is not None and code not in causes:
            causes.append(code)
    return Account(lines, around, _find_missing(lines, around), causes)


def read_log(path: Path) -> list[Line]:
    """Read a log; what stands before a line's object, such as a collector's stamp, is passed over."""
    try:
        text = path.read_text(encoding="utf-8", errors="replace")
    except OSError as exc:
        raise LanedockError(ErrorCode.FILE_UNREADABLE, str(exc)) from exc
    found = []
    for raw in text.splitlines():
        start = raw.find("{")
        if start < 0:
            continue
        try:
            found.append(Line(json.loads(raw[start:])))
        except (ValueError, KeyError, TypeError, AttributeError):
            continue  # another program's line
    return found


def _find_missing(lines: list[Line], around: list[Line]) -> list[str]:
    """Name the processes that the request was sent to and that wrote nothing of it."""
    missing = []
    wrote = {line.process for line in lines}
    for line in lines:
        upstream = line.fields.get("upstream", "")
        if line.fields["message"] == Event.REQUEST_SENT.name and upstream not in wrote:
            text = f"{upstream} was sent it and wrote nothing: it went well there, its log is not here, or it ended"
            if text not in missing:
                missing.append(text)
    if lines[-1].fields["message"] not in (Event.REQUEST_ANSWERED.name, Event.REQUEST_DONE.name):
        missing.append("no line says how it was answered: that process ended first, or its log is not here")
    left_out = [line for line in around if line.event == _LEFT_OUT]
    missing += [
        f"{line.process} left out {line.fields.get('left_out')} lines at {line.time:%H:%M:%S}" for line in left_out
    ]
    return missing


def print_account(account: Account, console: Console) -> None:
    """Print an account."""
    for line in account.lines:
        console.print(line.text(), markup=False, highlight=False, soft_wrap=True)
    for code in account.causes:
        console.print(f"{code.code}: {code.meaning} {code.remedy}", markup=False, highlight=False, soft_wrap=True)
    for text in account.missing:
        console.print(f"missing: {text}", markup=False, highlight=False, soft_wrap=True)
    if account.around:
        console.print("around it, in the same processes:", markup=False, highlight=False)
    for line in account.around[:MAX_AROUND]:
        console.print(line.text(), markup=False, highlight=False, soft_wrap=True)
    if len(account.around) > MAX_AROUND:
        console.print(f"and {len(account.around) - MAX_AROUND} more", markup=False, highlight=False)
