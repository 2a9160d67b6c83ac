# SPDX-License-Identifier: BSD-3-Clause
"""Timeline of one request, collected from the logs of several processes."""

import json
from datetime import datetime, timedelta
from pathlib import Path

from rich.console import Console

from lanedock.errors import ErrorCode, LanedockError
from lanedock.telemetry import Event

__all__ = ["LogLine", "RequestTimeline", "collect_timeline", "print_timeline", "read_log"]

# Other lines of the same processes are shown if they are at most this long before or after the request.
CONTEXT_SPAN = timedelta(seconds=2)
MAX_CONTEXT_LINES = 30
# Texts for the ends and stages that a line REQUEST_END states.
_ENDS = {
    "received": "its caller has received the whole answer",
    "cut": "this process closed the connection before its caller had the whole answer",
    "caller left": "its caller ended the connection before it had the whole answer",
    "not begun": "read behind the last answer of its connection, and not begun",
}
_STAGES = {
    "not begun": "it had not been begun",
    "waiting": "it had been sent to no application",
    "sent": "an application may have been working on it",
    "answered": "its answer had been made",
}
_REQUEST_EVENTS = {
    f"E{event.number}" for event in Event if event.name.startswith("REQUEST_") or event in (Event.ANSWER_LOST,)
}
# Lines about a request's end at its caller, which state no decision on it.
_END_MESSAGES = {Event.REQUEST_END.name, Event.REQUEST_CALLER_LEFT.name}
# Lines after which no decision on the request follows.
_FINAL_MESSAGES = {
    Event.REQUEST_ANSWERED.name,
    Event.REQUEST_DONE.name,
    Event.REQUEST_OUT_OF_RESOURCES.name,
    Event.CONNECTION_EVICTED.name,
}
_LOG_LIMITED_EVENT = f"E{Event.LOG_LIMITED.number}"
_COMMON_FIELDS = ("time", "level", "message", "event", "process", "request", "after_ms")


class LogLine:
    """One line of a log.

    Attributes
    ----------
    time : datetime
    event, process, request : str
    fields : dict
        The whole JSON object.
    """

    __slots__ = ("event", "fields", "process", "request", "time")

    def __init__(self, value: dict):
        self.time = datetime.fromisoformat(value["time"].replace(",", "."))
        self.event = value["event"]
        self.process = value["process"]
        self.request = value.get("request", "")
        self.fields = value

    def text(self) -> str:
        """Format the line for a terminal."""
        fields = self.describe_fields()
        after = self.fields.get("after_ms")
        offset = f"+{after:g} ms" if after is not None else ""
        return (
            f"{self.time:%H:%M:%S.%f}"[:-3] + f"  {self.process:<18} {offset:>11}  {self.fields['message']}  {fields}"
        )

    def describe_fields(self) -> str:
        """Format the fields that not each line has."""
        return " ".join(
            f"{key}={value}" for key, value in self.fields.items() if key not in _COMMON_FIELDS and value != ""
        )

    def describe_end(self) -> str:
        """Describe, for a line about the request's end at its caller, how and when it ended."""
        fields = self.fields
        how = f" ({fields['how']})" if fields.get("how") else ""
        stage = _STAGES.get(fields.get("stage"), "")
        if fields.get("upstream"):
            stage += f" (sent last to {fields['upstream']})"
        if fields["message"] == Event.REQUEST_CALLER_LEFT.name:
            silent = f"noticed {fields.get('silent_ms')} ms after its system was last heard"
            return f"its caller has left{how}, {silent}; {stage}, {fields.get('age_ms')} ms after it was read"
        if fields.get("status"):
            outcome = fields.get("outcome") or "by an application"
            stage += f", status {fields['status']}, {outcome}"
        if fields.get("stage") == "answered" and fields.get("written_ms") is None:
            stage += ", and not been written whole"
        end = _ENDS.get(fields.get("end"), fields.get("end"))
        return f"{end}{how}, {fields.get('ended_ms')} ms after the stop of {self.process} began; {stage}"


class RequestTimeline:
    """Lines, error codes and gaps that the logs hold for one request.

    Attributes
    ----------
    lines : list of LogLine
        Of the request, ordered by time.
    context : list of LogLine
        Of the same processes, within `CONTEXT_SPAN` of the request.
    missing : list of str
        Descriptions of expected lines that the logs lack.
    codes : list of ErrorCode
        Error codes on the request's lines, the last one first.
    """

    __slots__ = ("codes", "context", "lines", "missing")

    def __init__(self, lines: list[LogLine], context: list[LogLine], missing: list[str], codes: list[ErrorCode]):
        self.lines = lines
        self.context = context
        self.missing = missing
        self.codes = codes


def collect_timeline(request: str, paths: list[Path]) -> RequestTimeline:
    """Collect the timeline of a request.

    Parameters
    ----------
    request : str
        Id of the request.
    paths : list of Path
        Logs of the processes that may have handled it.

    Raises
    ------
    LanedockError
        `ErrorCode.FILE_UNREADABLE`: a log is not readable.
    """
    all_lines = [line for path in paths for line in read_log(path)]
    lines = [line for line in all_lines if _concerns(line, request)]
    lines.sort(key=lambda line: line.time)
    if not lines:
        return RequestTimeline([], [], [f"no line names {request}: it succeeded unsampled, or a log is not given"], [])
    first, last = lines[0].time - CONTEXT_SPAN, lines[-1].time + CONTEXT_SPAN
    processes = {line.process for line in lines} | {str(line.fields.get("upstream", "")) for line in lines}
    context = [
        line
        for line in all_lines
        if line.process in processes and first <= line.time <= last and line.event not in _REQUEST_EVENTS
    ]
    context.sort(key=lambda line: line.time)
    codes = []
    for line in reversed(lines):
        code = ErrorCode.find(str(line.fields.get("code", "")))
        if code is not None and code not in codes:
            codes.append(code)
    return RequestTimeline(lines, context, _find_missing(lines, context), codes)


def _concerns(line: LogLine, request: str) -> bool:
    """Return whether a line is about a request: its own, or of the end of its connection for lack of resources."""
    if line.fields["message"] == Event.CONNECTION_EVICTED.name:
        return request in str(line.fields.get("ids", "")).split()
    return line.request == request


def read_log(path: Path) -> list[LogLine]:
    """Read a log of JSON objects, one a line; skips text before an object, such as a log collector's prefix."""
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
            found.append(LogLine(json.loads(raw[start:])))
        except (ValueError, KeyError, TypeError, AttributeError):
            continue  # not a line of lanedock
    return found


def _find_missing(lines: list[LogLine], context: list[LogLine]) -> list[str]:
    """Describe the lines that the logs of the request's processes should hold but don't."""
    missing = []
    wrote = {line.process for line in lines}
    for line in lines:
        upstream = line.fields.get("upstream", "")
        if line.fields["message"] == Event.REQUEST_SENT.name and upstream not in wrote:
            text = f"no line of {upstream}: the request succeeded there, its log is not given, or the process ended"
            if text not in missing:
                missing.append(text)
    decisions = [line for line in lines if line.fields["message"] not in _END_MESSAGES]
    if not decisions:
        missing.append("no line states a decision on the request: it ended before one was made, or a log is not given")
    elif decisions[-1].fields["message"] not in _FINAL_MESSAGES:
        missing.append("no line says how the request was answered: the process ended first, or its log is not given")
    limited = [line for line in context if line.event == _LOG_LIMITED_EVENT]
    missing += [
        f"{line.process} suppressed {line.fields.get('left_out')} log lines at {line.time:%H:%M:%S}" for line in limited
    ]
    return missing


def describe_link_limits(lines: list[LogLine]) -> list[str]:
    """Describe the links that made an upstream's daemon refuse the request, and what occupied them."""
    described = []
    for line in lines:
        fields = line.fields
        if fields["message"] != Event.REQUEST_REFUSED.name or fields.get("limit") != "link":
            continue
        loads = []
        if fields.get("link_ms") is not None:
            loads.append(f"long answers occupy it for {fields['link_ms']} ms")
        if fields.get("body_bytes"):
            loads.append(f"{fields['body_bytes']} bytes of request bodies are in flight")
        described.append(f"the link of {line.process} was the limit: {'; '.join(loads) or 'no load is logged'}")
    return described


def print_timeline(timeline: RequestTimeline, console: Console) -> None:
    """Print the request's lines, its error codes, the gaps, and the context."""
    for line in timeline.lines:
        console.print(line.text(), markup=False, highlight=False, soft_wrap=True)
    for line in timeline.lines:
        if line.fields["message"] in _END_MESSAGES:
            text = f"at the server {line.fields.get('server')}: {line.describe_end()}"
            console.print(text, markup=False, highlight=False, soft_wrap=True)
    for code in timeline.codes:
        console.print(f"{code.code}: {code.meaning} {code.remedy}", markup=False, highlight=False, soft_wrap=True)
    for text in describe_link_limits(timeline.lines):
        console.print(text, markup=False, highlight=False, soft_wrap=True)
    for text in timeline.missing:
        console.print(f"missing: {text}", markup=False, highlight=False, soft_wrap=True)
    if timeline.context:
        console.print("other lines of the same processes:", markup=False, highlight=False)
    for line in timeline.context[:MAX_CONTEXT_LINES]:
        console.print(line.text(), markup=False, highlight=False, soft_wrap=True)
    if len(timeline.context) > MAX_CONTEXT_LINES:
        console.print(f"and {len(timeline.context) - MAX_CONTEXT_LINES} more", markup=False, highlight=False)
