# SPDX-License-Identifier: BSD-3-Clause
"""Generates the reference pages from the code: ``python tools/make_docs.py [--check]``.

The sources are the enumerations of errors, events and metrics, the schemas of the
settings and of the operators' file, and, for the tables of docs/CAPACITY.md, the
JSON results of the benchmarks in docs/measurements. With ``--check``, writes nothing
and exits with 1 if a page is out of date.
"""

import argparse
import json
import logging
import sys
from pathlib import Path

from lanedock.errors import ErrorCode
from lanedock.findings.schema import load_schema
from lanedock.telemetry import Event, Metric

DOCS = Path(__file__).parent.parent / "docs"
NOTE = "<!-- Made by tools/make_docs.py; change the code, not this page. -->\n"


def make_errors() -> str:
    """Make the catalogue of error codes."""
    lines = ["# Error codes", "", NOTE]
    lines += ["1xxx files, 2xxx submissions, 3xxx requests, 4xxx the replicated log, 5xxx a process.", ""]
    lines += ["| code | name | meaning | what to do |", "| --- | --- | --- | --- |"]
    for code in sorted(ErrorCode, key=lambda item: item.code):
        lines.append(f"| {code.code} | {code.name} | {code.meaning} | {code.remedy} |")
    return "\n".join(lines) + "\n"


def make_events() -> str:
    """Make the catalogue of log events."""
    lines = ["# Log events", "", NOTE]
    lines += [
        "A line is a JSON object: `time`, `level`, `message` (the name), `event` (the number), `process`, particulars.",
        "",
    ]
    lines += ["| event | name | level | meaning | what to do |", "| --- | --- | --- | --- | --- |"]
    for event in sorted(Event, key=lambda item: item.number):
        level = logging.getLevelName(event.level).lower()
        lines.append(f"| E{event.number} | {event.name} | {level} | {event.meaning} | {event.remedy} |")
    return "\n".join(lines) + "\n"


def make_metrics() -> str:
    """Make the list of metrics."""
    kinds = {"c": "counter", "ms": "timer", "g": "gauge"}
    lines = ["# Metrics", "", NOTE]
    lines += ["By statsd, names are sent as `lanedock.ZONE.PROCESS.NAME`, once a second, labels' values behind."]
    lines += ["At the address `metrics` of the settings they are served as `lanedock_NAME`, dots as underlines,"]
    lines += ["counters with `_total`, timers as histograms with `_seconds`.", ""]
    lines += ["| name | kind | labels | meaning |", "| --- | --- | --- | --- |"]
    for metric in Metric:
        labels = ", ".join(metric.labels)
        lines.append(f"| `{metric.path}` | {kinds[metric.kind]} | {labels} | {metric.meaning} |")
    return "\n".join(lines) + "\n"


def make_reference(title: str, package: str) -> str:
    """Make the reference page of a package's schema."""
    schema = load_schema(package, "schema.json")
    lines = [f"# {title}", "", NOTE, schema["description"], ""]
    lines += ["| key | type | default | meaning |", "| --- | --- | --- | --- |"]
    lines += _list_properties(schema, schema["properties"], "", set(schema["required"]))
    return "\n".join(lines) + "\n"


def _list_properties(schema: dict, properties: dict, prefix: str, required: set) -> list[str]:
    lines = []
    for name, item in properties.items():
        path = f"{prefix}{name}"
        resolved = {**schema["$defs"].get(item.get("$ref", "").rpartition("/")[2], {}), **item}
        kind = resolved.get("type") or " ".join(map(str, resolved.get("enum", ["list of names"])))
        default = "required" if name in required else json.dumps(item["default"]) if "default" in item else ""
        lines.append(f"| `{path}` | {kind} | {default} | {resolved.get('description', '')} |")
        inner = item.get("items", item) if kind == "array" else item
        if "properties" in inner:
            mark = "[]." if kind == "array" else "."
            lines += _list_properties(schema, inner["properties"], path + mark, set(inner.get("required", ())))
    return lines


def make_pages() -> dict[str, str]:
    """Make all pages, by their paths relative to docs."""
    pages = {
        "errors.md": make_errors(),
        "events.md": make_events(),
        "metrics.md": make_metrics(),
        "settings.md": make_reference("Settings of a process", "lanedock.settings"),
        "operators-file.md": make_reference("The operators' file", "lanedock.config"),
    }
    for package in ("config", "settings"):
        schema = load_schema(f"lanedock.{package}", "schema.json")
        pages[f"schemas/{package}.schema.json"] = json.dumps(schema, indent=2) + "\n"
    capacity = DOCS / "CAPACITY.md"
    if capacity.exists():
        from capacity import fill_tables

        pages["CAPACITY.md"] = fill_tables(capacity.read_text(encoding="utf-8"), DOCS / "measurements")
    return pages


def main() -> int:
    """Write or check the pages; return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--check", action="store_true")
    is_check = parser.parse_args().check
    outdated = []
    for name, text in make_pages().items():
        path = DOCS / name
        if path.exists() and path.read_text(encoding="utf-8") == text:
            continue
        outdated.append(name)
        if not is_check:
            path.parent.mkdir(parents=True, exist_ok=True)
            path.write_text(text, encoding="utf-8")
    print(f"{'out of date' if is_check else 'written'}: {', '.join(outdated) or 'none'}")
    return 1 if is_check and outdated else 0


if __name__ == "__main__":
    sys.exit(main())
