# SPDX-License-Identifier: BSD-3-Clause
"""Rendering of recorded spans as trees."""

import json
from datetime import datetime
from pathlib import Path

from rich.console import Console
from rich.tree import Tree

from lanedock.errors import ErrorCode, LanedockError

__all__ = ["print_traces"]


class _Span:
    __slots__ = ("duration_ms", "name", "parent_id", "process", "span_id", "start", "status", "trace_id")

    def __init__(self, value: dict):
        self.trace_id = value["context"]["trace_id"]
        self.span_id = value["context"]["span_id"]
        self.parent_id = value.get("parent_id")
        self.name = value["name"]
        self.process = value["resource"]["attributes"].get("service.name", "")
        self.status = value["attributes"].get("http.status_code", "")
        self.start = datetime.fromisoformat(value["start_time"])
        self.duration_ms = (datetime.fromisoformat(value["end_time"]) - self.start).total_seconds() * 1000


def print_traces(path: Path, console: Console) -> None:
    """Draw each trace of a file of JSON lines as a tree.

    Raises
    ------
    LanedockError
        The file is not readable, or a line is not a span.
    """
    traces: dict[str, list[_Span]] = {}
    for span in _read(path):
        traces.setdefault(span.trace_id, []).append(span)
    for name, spans in traces.items():
        console.print(_draw(name, sorted(spans, key=lambda span: span.start)))


def _read(path: Path) -> list[_Span]:
    spans = []
    try:
        lines = path.read_text(encoding="utf-8").splitlines()
    except (OSError, UnicodeDecodeError) as exc:
        raise LanedockError(ErrorCode.FILE_UNREADABLE, str(exc)) from exc
    for number, line in enumerate(lines, 1):
        try:
            spans.append(_Span(json.loads(line)))
        except (KeyError, TypeError, ValueError) as exc:
            raise LanedockError(ErrorCode.NOT_JSON, f"{path}:{number}: not a span: {exc!r}") from exc
    return spans


def _draw(name: str, spans: list[_Span]) -> Tree:
    tree = Tree(f"trace {name}")
    branches = {}
    for span in spans:
        parent = branches.get(span.parent_id, tree)
        offset = (span.start - spans[0].start).total_seconds() * 1000
        label = f"{span.process}: {span.name} {span.status}  +{offset:.1f} ms, {span.duration_ms:.1f} ms"
        branches[span.span_id] = parent.add(label)
    return tree
