# SPDX-License-Identifier: BSD-3-Clause
"""Makes the tables of docs/CAPACITY.md from the JSON results of the benchmarks.

A block between ``<!-- table:NAME -->`` and ``<!-- end -->`` is replaced by the
table of that name; slopes are least-squares fits over the measured numbers of
daemons.
"""

import json
import re
import statistics
from pathlib import Path

__all__ = ["fill_tables"]

UPSTREAMS = 760
ZONES = 8
ENTRIES = 16  # assumed: two entry instances in each zone
CONTROLS = 7
RELAYS = 2
CHANGES_PER_DAY = 500
CALLS = 85_000
DAEMONS = UPSTREAMS + ENTRIES
PER_CONTROL = DAEMONS / CONTROLS
SECONDS_PER_DAY = 86_400
# Heartbeats per second of a source to each daemon (1 / `HEARTBEAT_INTERVAL`).
SOURCE_BEATS = 1 / 0.3


def fill_tables(text: str, folder: Path) -> str:
    """Return a page with regenerated tables.

    Parameters
    ----------
    text : str
        The page.
    folder : Path
        Contains rollout.json, press.json, memory.json, changes.json and path.json.
    """
    rollout = json.loads((folder / "rollout.json").read_text(encoding="utf-8"))
    path = json.loads((folder / "path.json").read_text(encoding="utf-8"))
    press = json.loads((folder / "press.json").read_text(encoding="utf-8"))
    memory = json.loads((folder / "memory.json").read_text(encoding="utf-8"))
    changes = json.loads((folder / "changes.json").read_text(encoding="utf-8"))
    tables = {
        "changes": _make_changes(changes),
        "memory": _make_memory(memory, _select(rollout, "delta")[-1]["daemon_rss_mb"]),
        "press": _make_press(press[0]),
        "measured": _make_measured(rollout),
        "slopes": _make_slopes(rollout),
        "roles": _make_roles(rollout, path),
        "path": _make_path(path),
        "plot": _make_plot(rollout),
    }

    def replace(match: re.Match) -> str:
        return f"<!-- table:{match.group(1)} -->\n{tables[match.group(1)]}\n<!-- end -->"

    return re.sub(r"<!-- table:(\w+) -->.*?<!-- end -->", replace, text, flags=re.DOTALL)


def _select(rollout: list[dict], way: str) -> list[dict]:
    return sorted((item for item in rollout if item["way"] == way), key=lambda item: item["daemons"])


def _fit(rollout: list[dict], value, way: str = "delta") -> tuple[float, float]:
    """Fit a line over the number of daemons; return slope and intercept."""
    items = _select(rollout, way)
    line = statistics.linear_regression([item["daemons"] for item in items], [value(item) for item in items])
    return line.slope, line.intercept


def _make_measured(rollout: list[dict]) -> str:
    lines = [
        "| daemons | way | submit to in force, ms (median / max) | accepted to in force, ms "
        "| bytes a change and daemon "
        "| bytes from control a change | at rest, bytes/s and daemon |",
        "| --- | --- | --- | --- | --- | --- | --- |",
    ]
    for item in sorted(rollout, key=lambda item: (item["daemons"], item["way"])):
        whole, converge = item["submit_to_force_ms"], item["accept_to_force_ms"]
        lines.append(
            f"| {item['daemons']} | {item['way']} | {whole['median']} / {whole['max']} "
            f"| {converge['median']} / {converge['max']} | {item['bytes_per_change_and_daemon']} "
            f"| {item['source_bytes_per_change']} | {item['rest_bytes_per_second_and_daemon']} |"
        )
    return "\n".join(lines)


def _make_changes(changes: list[dict]) -> str:
    lines = [
        "| routes | added | groups | delta to a daemon, bytes | whole, bytes | entry, bytes "
        "| check of the file, ms | daemon, ms |",
        "| --- | --- | --- | --- | --- | --- | --- | --- |",
    ]
    for item in changes:
        daemon = item["verify_ms"] + item["decode_ms"] + item["table_ms"]
        lines.append(
            f"| {item['routes']} | {item['added']} | {item['groups']} | {item['delta_bytes']} "
            f"| {item['whole_bytes']} | {item['entry_bytes']} | {item['check_ms']} "
            f"| {daemon:.2f} ({item['decode_whole_ms']}) |"
        )
    return "\n".join(lines)


def _make_press(press: dict) -> str:
    converge, submit = press["accept_to_force_ms"], press["submit_to_force_ms"]
    daemon, control = press["daemon_rss_mb"], press["control_rss_mb"]
    return "\n".join(
        [
            f"{press['changes']} changes without a pause on {press['daemons']} daemons took {press['seconds']} s:",
            "",
            f"- submit to in force {submit['median']} ms at the median, {submit['max']} at most; accepted to in force",
            f"  {converge['median']} and {converge['max']} ms;",
            f"- a daemon used {press['daemon_core_percent']} % of a core, a control instance "
            f"{press['control_core_percent']} %;",
            f"- a daemon's memory went from {daemon[0]} to {daemon[1]} MB, a control instance's from {control[0]} "
            f"to {control[1]}.",
        ]
    )


def _make_memory(memory: dict[str, float], running: float) -> str:
    lines = ["| a process that holds | resident MB | more than the line above |", "| --- | --- | --- |"]
    before = 0.0
    for name, size in memory.items():
        lines.append(f"| {name} | {size} | {size - before:.1f} |")
        before = size
    lines.append(f"| a running daemon, at 48 daemons | {running} | {running - before:.1f} |")
    share = running - memory["request path's parser, pool, server"]
    lines += ["", f"Control's share over the bare request path is {share:.1f} MB, of 32 MB allowed."]
    return "\n".join(lines)


_SLOPES = {
    "submit to in force, ms": lambda item: item["submit_to_force_ms"]["median"],
    "accepted to in force, ms": lambda item: item["accept_to_force_ms"]["median"],
    "bytes a change and daemon": lambda item: item["bytes_per_change_and_daemon"],
    "bytes from control a change": lambda item: item["source_bytes_per_change"],
    "control: processor ms a change": lambda item: item["control_cpu_ms_per_change"],
    "control: % of a core at rest": lambda item: item["control_rest_core_percent"],
    "control: resident MB": lambda item: item["control_rss_mb"],
    "daemon: processor ms a change": lambda item: item["daemon_cpu_ms_per_change"],
    "daemon: % of a core at rest": lambda item: item["daemon_rest_core_percent"],
    "daemon: resident MB": lambda item: item["daemon_rss_mb"],
}


def _make_slopes(rollout: list[dict]) -> str:
    lines = ["| figure | at 0 daemons (fit) | for each daemon more |", "| --- | --- | --- |"]
    for name, value in _SLOPES.items():
        slope, intercept = _fit(rollout, value)
        lines.append(f"| {name} | {intercept:.4g} | {slope:.3g} |")
    return "\n".join(lines)


def _predict(rollout: list[dict], name: str, daemons: float) -> float:
    slope, intercept = _fit(rollout, _SLOPES[name])
    return max(0.0, intercept + slope * daemons)


def _make_roles(rollout: list[dict], path: dict) -> str:
    """Make the table of roles at the target's size.

    A measured mesh has three control instances, so each of them serves a third of
    its daemons.
    """
    fleet = PER_CONTROL * 3
    leaf = _select(rollout, "delta")[-1]
    control_core = _predict(rollout, "control: % of a core at rest", fleet)
    control_change = _predict(rollout, "control: processor ms a change", fleet)
    control_memory = _predict(rollout, "control: resident MB", fleet)
    daemon_core = leaf["daemon_rest_core_percent"]
    daemon_change = leaf["daemon_cpu_ms_per_change"]
    per_day = CHANGES_PER_DAY / SECONDS_PER_DAY
    rest_bytes = leaf["rest_bytes_per_second_and_daemon"]
    change_bytes = leaf["bytes_per_change_and_daemon"]
    leaf_bytes = rest_bytes + change_bytes * per_day
    children = DAEMONS / ZONES / RELAYS
    calls = CALLS / UPSTREAMS
    cost = path["cpu_us_per_call"]["stream"]
    rows = [
        (
            "control instance (leader or not)",
            f"{PER_CONTROL:.0f} daemons, {RELAYS * 2} relays, 8 contents, the log",
            f"{PER_CONTROL * SOURCE_BEATS:.0f} heartbeats/s out and {PER_CONTROL:.0f} in, at most",
            f"{control_core + control_change * per_day / 10:.1f} %",
            f"{control_memory:.0f} MB",
            "relays, group commit, one message for equal needs",
        ),
        (
            "relay daemon",
            f"{children:.0f} daemons downstream, whole versions",
            f"{children * SOURCE_BEATS:.0f} heartbeats/s, {leaf_bytes * children / 1000:.1f} KB/s out",
            f"{daemon_core * (1 + children / 10):.1f} % (assumed: a tenth of a daemon's own for each)",
            f"{leaf['daemon_rss_mb']:.0f} MB",
            "rendezvous hash, the same distributor",
        ),
        (
            "leaf daemon, control's share",
            "a slice, digests of 67 groups, endpoints it may call",
            f"{SOURCE_BEATS:.1f} heartbeats/s, {leaf_bytes / 1000:.2f} KB/s in",
            f"{daemon_core + daemon_change * per_day / 10:.2f} %",
            f"{leaf['daemon_rss_mb']:.0f} MB in all",
            "deltas by digest, activation without content",
        ),
        (
            "upstream's daemon, calls",
            "slots, a short queue, idle connections",
            f"{calls:.0f} calls/s in, as many out through egress",
            f"{2 * calls * cost['upstream'] / 1e4:.1f} %",
            f"{cost['upstream_rss_mb']:.0f} MB in all",
            "one write a message, checked pooled connections",
        ),
    ]
    lines = ["| role | state | messages | processor | memory | mechanism |", "| --- | --- | --- | --- | --- | --- |"]
    lines += ["| " + " | ".join(row) + " |" for row in rows]
    return "\n".join(lines)


def _make_path(path: dict) -> str:
    lines = ["| way | p50, ms | p99, ms | added p50, ms | added p99, ms |", "| --- | --- | --- | --- | --- |"]
    for name in ("direct", "wsgi", "stream"):
        item = path[name]
        added = (f"{item['added_p50']:.2f}", f"{item['added_p99']:.2f}") if name != "direct" else ("", "")
        lines.append(f"| {name} | {item['p50']:.2f} | {item['p99']:.2f} | {added[0]} | {added[1]} |")
    cost = path["cpu_us_per_call"]
    lines.append("")
    for name in ("wsgi", "stream"):
        each = cost[name]
        lines.append(
            f"- {name}: {each['entry']} us a call in the entry daemon, {each['upstream']} us in the upstream's."
        )
    overload = path["overload"]
    for times in (1, 3):
        with_limits, without = overload[f"stream_{times}x_good_part"], overload[f"direct_{times}x_good_part"]
        lines.append(f"- at {times} times capacity {with_limits} of it is served in time, without limits {without}.")
    return "\n".join(lines)


def _make_plot(rollout: list[dict]) -> str:
    """Draw bar charts as text, which a diff can show."""
    lines = ["```"]
    for title, value in (
        ("accepted to in force, ms (median)", lambda item: item["accept_to_force_ms"]["median"]),
        ("bytes from control a change", lambda item: item["source_bytes_per_change"]),
    ):
        lines.append(title)
        longest = max(value(item) for item in rollout)
        for way in ("delta", "whole"):
            for item in _select(rollout, way):
                bar = "#" * max(1, round(value(item) / longest * 50))
                lines.append(f"  {way:5} {item['daemons']:3} {bar} {value(item):g}")
    return "\n".join([*lines, "```"])
