# SPDX-License-Identifier: BSD-3-Clause
"""Output of the commands, as tables and text or as JSON."""

import json
from datetime import datetime

from rich.console import Console
from rich.table import Table

from lanedock.config import Difference
from lanedock.errors import ErrorCode
from lanedock.findings import Finding
from lanedock.wire import messages

__all__ = [
    "ANSWER_NAMES",
    "answer_value",
    "customers_value",
    "history_value",
    "print_customers",
    "print_differences",
    "print_findings",
    "print_history",
    "print_json",
    "print_quarantine",
    "print_status",
    "quarantine_value",
    "status_value",
]

ANSWER_NAMES = {
    messages.ANSWER_APPLIED: "applied",
    messages.ANSWER_NOT_RUN: "not run",
    messages.ANSWER_NOT_KNOWN: "not known",
    messages.ANSWER_ACCEPTED: "accepted, not yet everywhere",
}
_OUTCOME_NAMES = {
    messages.OUTCOME_STAGING: "staging",
    messages.OUTCOME_ACCEPTED: "accepted",
    messages.OUTCOME_ABORTED: "aborted",
}


def print_json(value: object) -> None:
    """Print a value as JSON, on one line."""
    print(json.dumps(value, sort_keys=True))


def _finding_value(code: str, message: str, file: str, line: int, column: int, path: str) -> dict:
    return {"code": code, "message": message, "file": file, "line": line, "column": column, "path": path}


def print_findings(findings: list[Finding], as_json: bool) -> None:
    """Print findings, one a line, or as one JSON object."""
    if as_json:
        values = []
        for finding in findings:
            place = finding.place
            values.append(
                _finding_value(finding.code.code, finding.message, place.file, place.line, place.column, place.path)
            )
        print_json({"findings": values})
        return
    for finding in findings:
        print(finding)


def answer_value(reply: messages.SubmitReply) -> dict:
    """Return the JSON value of the reply to a submission."""
    return {
        "answer": ANSWER_NAMES[reply.answer],
        "code": reply.code,
        "message": reply.message,
        "version": reply.version,
        "digest": reply.digest.hex(),
        "required": reply.required,
        "staged": reply.staged,
        "in_force": reply.in_force,
        "lagging": list(reply.lagging),
        "stage_ms": round(reply.stage_ms, 1),
        "converge_ms": round(reply.converge_ms, 1),
        "findings": [
            _finding_value(item.code, item.message, item.file, item.line, item.column, item.path)
            for item in reply.findings
        ],
    }


def status_value(reply: messages.StatusReply) -> dict:
    """Return the JSON value of a status."""
    daemons = []
    for state in reply.daemons:
        daemons.append(
            {
                "daemon": state.daemon,
                "zone": state.zone,
                "role": "entry" if state.role == messages.ROLE_ENTRY else "upstream",
                "service": state.service,
                "in_force": state.in_force_version,
                "staged": state.staged_version,
                "behind": state.in_force_version < reply.accepted_version,
                "draining": state.draining,
                "rate_limit": state.endpoint.rate_limit if state.endpoint.HasField("rate_limit") else None,
                "relay": state.parent,
            }
        )
    return {
        "accepted_version": reply.accepted_version,
        "accepted_digest": reply.accepted_digest.hex(),
        "candidate_version": reply.candidate_version,
        "confirmed": reply.confirmed,
        "answered_by": reply.answered_by,
        "term": reply.term,
        "daemons": daemons,
        "missing": list(reply.missing),
        "replicas": [
            {
                "replica": item.replica,
                "leader": item.leader,
                "reachable": item.reachable,
                "disk_error": item.disk_error or None,
                "disk_outage_s": item.disk_outage_ms / 1000,
            }
            for item in reply.replicas
        ],
    }


def print_status(reply: messages.StatusReply, console: Console) -> None:
    """Print the version in force on each daemon, and the control instances."""
    confirmed = "" if reply.confirmed else "  (no leader: last known state of the instance that answered)"
    console.print(f"accepted version {reply.accepted_version}{confirmed}", highlight=False)
    if reply.candidate_version:
        console.print(f"staging version {reply.candidate_version}", highlight=False)
    replicas = []
    for item in reply.replicas:
        role = "leader" if item.leader else "reachable" if item.reachable else "silent"
        replicas.append(f"{item.replica} {role}")
    console.print("control: " + ", ".join(replicas), highlight=False)
    for item in reply.replicas:
        if item.disk_error:
            outage = item.disk_outage_ms / 1000
            console.print(
                f"disk of {item.replica} refuses writes for {outage:.0f} s: {item.disk_error}", highlight=False
            )
    table = Table("zone", "daemon", "service", "in force", "staged", "note", box=None, header_style="bold")
    for state in reply.daemons:
        table.add_row(
            state.zone,
            state.daemon,
            state.service or "(entry)",
            str(state.in_force_version or "-"),
            str(state.staged_version or "-"),
            _note(state, reply.accepted_version),
        )
    console.print(table)
    if reply.missing:
        console.print("listed by the platform, not connected: " + ", ".join(reply.missing), highlight=False)


def _note(state: messages.DaemonState, accepted: int) -> str:
    notes = []
    if state.in_force_version < accepted:
        notes.append("behind")
    if state.draining:
        notes.append("draining")
    if state.endpoint.HasField("rate_limit"):
        notes.append(f"at most {state.endpoint.rate_limit:g}/s")
    if state.parent:
        notes.append(f"by {state.parent}")
    return ", ".join(notes)


def history_value(reply: messages.HistoryReply) -> list[dict]:
    """Return the JSON value of a history, the newest version first."""
    values = []
    for record in reply.records:
        values.append(
            {
                "version": record.version,
                "digest": record.digest.hex(),
                "outcome": _OUTCOME_NAMES[record.outcome],
                "reason": record.reason,
                "operator": record.operator,
                "submitted_at": record.submitted_at,
                "accepted_at": record.accepted_at,
                "findings": [item.message for item in record.findings],
            }
        )
    return values


def print_history(reply: messages.HistoryReply, console: Console) -> None:
    """Print versions with their outcomes, the newest first."""
    table = Table("version", "digest", "outcome", "submitted", "by", "why", box=None, header_style="bold")
    for value in history_value(reply):
        submitted = datetime.fromtimestamp(value["submitted_at"]).strftime("%Y-%m-%d %H:%M:%S")
        why = "; ".join([value["reason"], *value["findings"]]).strip("; ")
        table.add_row(str(value["version"]), value["digest"][:12], value["outcome"], submitted, value["operator"], why)
    console.print(table)


def print_differences(differences: list[Difference], console: Console) -> None:
    """Print differences, one a line."""
    if not differences:
        console.print("no difference")
    marks = {"added": "+", "removed": "-", "changed": "~"}
    for item in differences:
        line = f"{marks[item.kind]} {item.path}"
        if item.kind == "changed":
            line += f": {json.dumps(item.before)} -> {json.dumps(item.after)}"
        console.print(line, highlight=False, markup=False)


def quarantine_value(reply: messages.QuarantineReply) -> dict:
    """Return the JSON value of the quarantined requests."""
    requests = [
        {"request": item.digest.hex(), "crashes": list(item.crashes), "left_ms": item.left_ms}
        for item in reply.requests
    ]
    return {"requests": requests, "cleared": reply.cleared}


def print_quarantine(reply: messages.QuarantineReply, console: Console) -> None:
    """Print the quarantined requests, one a row."""
    if reply.cleared:
        console.print("cleared")
    table = Table("request", "upstreams that ended under it", "tried again in")
    for item in reply.requests:
        table.add_row(item.digest.hex(), "\n".join(item.crashes), f"{item.left_ms / 1000:.0f} s")
    console.print(table if reply.requests else "no request is quarantined")


def customers_value(reply: messages.CustomersReply) -> dict:
    """Return the JSON value of the customers and their use of quotas."""
    customers = [
        {
            "customer": item.customer,
            "priority": item.priority,
            "rate": item.rate,
            "burst": item.burst,
            "granted_per_s": item.granted_per_s,
            "refused": item.refused,
            "granted_by_zone": {use.zone: use.credits for use in item.by_zone},
        }
        for item in reply.customers
    ]
    return {"customers": customers, "code": reply.code}


def print_customers(reply: messages.CustomersReply, console: Console) -> None:
    """Print the customers, one a row."""
    if reply.code == ErrorCode.NO_LEADER.code:
        console.print(f"{reply.code}: there is no leader; this is what one control instance grants alone")
    table = Table("customer", "priority", "rate", "burst", "granted a second", "refused", "granted in 10 s, by zone")
    for item in reply.customers:
        limit = (f"{item.rate:g}", f"{item.burst:g}") if item.rate else ("no limit", "")
        use = (f"{item.granted_per_s:.1f}", str(item.refused)) if item.rate else ("", "")
        zones = ", ".join(f"{use.zone} {use.credits}" for use in item.by_zone)
        table.add_row(item.customer, str(item.priority), *limit, *use, zones)
    console.print(table if reply.customers else "the version in force has no customers")
