# SPDX-License-Identifier: BSD-3-Clause
"""The command group ``lanedock canary``: canary releases of a service."""

import asyncio
import getpass
import sys
import time
from datetime import datetime
from typing import Annotated

import typer
from rich.console import Console
from rich.table import Table

from lanedock.errors import ErrorCode
from lanedock.wire import messages
from lanedock_cli.client import ControlClient
from lanedock_cli.connection import CLIENT_GRACE, ControlOption, JsonOption, TlsOption, make_client
from lanedock_cli.render import print_json

__all__ = ["app"]

EXIT_COMPLETED = 0
EXIT_NOT_RUN = 3
EXIT_NOT_KNOWN = 4
EXIT_ROLLED_BACK = 6
# Seconds between two polls of a canary with --follow.
FOLLOW_INTERVAL = 0.5
_PHASES = {
    messages.CANARY_RUNNING: "running",
    messages.CANARY_COMPLETED: "completed",
    messages.CANARY_ROLLED_BACK: "rolled back",
}
# Error codes of a command that certainly was not executed.
_NOT_RUN = (
    ErrorCode.CANARY_RUNS,
    ErrorCode.CANARY_NOT_NEW,
    ErrorCode.CANARY_UNKNOWN,
    ErrorCode.SERVICE_UNKNOWN,
)

app = typer.Typer(
    no_args_is_help=True,
    rich_markup_mode=None,
    help="Moves a service's traffic to a new software version step by step, as its error rates and times allow.",
)
_console = Console()

ServiceArgument = Annotated[str, typer.Argument(help="Name of the service.", metavar="SERVICE")]


@app.command(epilog="example: lanedock canary start checklists v2 --duration 600 --follow")
def start(
    service: ServiceArgument,
    version: Annotated[str, typer.Argument(help="Version, as its upstreams report it.", metavar="VERSION")],
    control: ControlOption = "",
    tls: TlsOption = "",
    duration: Annotated[
        float, typer.Option(min=1, max=86400, help="Seconds within which it is completed or rolled back.")
    ] = 600.0,
    follow: Annotated[bool, typer.Option(help="Wait until it is completed or rolled back.")] = False,
    as_json: JsonOption = False,
) -> None:
    """Start a canary release; repeating the command is safe.

    Exit codes: 0 started, or completed; 3 not run; 4 not known yet, repeat the command; 6 rolled back.
    """
    request = messages.CanaryRequest(
        action=messages.CANARY_START,
        service=service,
        version=version,
        duration_ms=int(1000 * duration),
        operator=getpass.getuser(),
    )
    client = make_client(control, tls, CLIENT_GRACE)
    reply = _send_request(client, request)
    if follow:
        reply = _wait_for_end(client, service, as_json)
    _print_and_exit(reply, as_json)


@app.command(epilog="example: lanedock canary status checklists")
def status(
    service: Annotated[str, typer.Argument(help="Name of a service; all if left out.", metavar="SERVICE")] = "",
    control: ControlOption = "",
    tls: TlsOption = "",
    as_json: JsonOption = False,
) -> None:
    """Show the newest canary release of each service: its share, its counts of answers, and what it waits for."""
    reply = _list_canaries(make_client(control, tls, CLIENT_GRACE), service)
    newest: dict[str, messages.CanaryProgress] = {}
    for item in reply.canaries:
        newest.setdefault(item.record.service, item)
    _print_canaries(list(newest.values()), as_json)


@app.command(epilog="example: lanedock canary history checklists")
def history(
    service: Annotated[str, typer.Argument(help="Name of a service; all if left out.", metavar="SERVICE")] = "",
    control: ControlOption = "",
    tls: TlsOption = "",
    as_json: JsonOption = False,
) -> None:
    """List canary releases, the newest first, and why they ended."""
    _print_canaries(list(_list_canaries(make_client(control, tls, CLIENT_GRACE), service).canaries), as_json)


@app.command(epilog="example: lanedock canary promote checklists")
def promote(
    service: ServiceArgument, control: ControlOption = "", tls: TlsOption = "", as_json: JsonOption = False
) -> None:
    """Send all requests to the canary now; it completes once every daemon does so, unless it fails first."""
    _send_decision(messages.CANARY_PROMOTE, service, control, tls, as_json)


@app.command(epilog="example: lanedock canary abort checklists")
def abort(
    service: ServiceArgument, control: ControlOption = "", tls: TlsOption = "", as_json: JsonOption = False
) -> None:
    """Roll a canary back now: its version receives no more requests."""
    _send_decision(messages.CANARY_ABORT, service, control, tls, as_json)


def _send_decision(action: int, service: str, control: str, tls: str, as_json: bool) -> None:
    client = make_client(control, tls, CLIENT_GRACE)
    request = messages.CanaryRequest(action=action, service=service, operator=getpass.getuser())
    _print_canaries(list(_send_request(client, request).canaries)[:1], as_json)


def _send_request(client: ControlClient, request: messages.CanaryRequest) -> messages.CanaryReply:
    """Send a request; exits the program if the request is refused or its outcome is unknown."""
    reply = asyncio.run(client.ask("Canary", request))
    if reply.code:
        code = ErrorCode.find(reply.code)
        print(f"[{reply.code}] {reply.message}", file=sys.stderr)
        print(f"next: {code.remedy}", file=sys.stderr)
        raise typer.Exit(EXIT_NOT_RUN if code in _NOT_RUN else EXIT_NOT_KNOWN)
    return reply


def _list_canaries(client: ControlClient, service: str) -> messages.CanaryReply:
    return _send_request(client, messages.CanaryRequest(action=messages.CANARY_LIST, service=service))


def _wait_for_end(client: ControlClient, service: str, as_json: bool) -> messages.CanaryReply:
    last_line = ""
    while True:
        reply = _list_canaries(client, service)
        item = reply.canaries[0]
        line = f"{item.record.share_permille / 10:.0f} %: {item.waits_for or item.record.reason}"
        if line != last_line and not as_json:
            last_line = line
            print(line, file=sys.stderr)
        if item.record.phase != messages.CANARY_RUNNING:
            return reply
        time.sleep(FOLLOW_INTERVAL)


def _print_and_exit(reply: messages.CanaryReply, as_json: bool) -> None:
    _print_canaries(list(reply.canaries)[:1], as_json)
    is_rolled_back = reply.canaries[0].record.phase == messages.CANARY_ROLLED_BACK
    raise typer.Exit(EXIT_ROLLED_BACK if is_rolled_back else EXIT_COMPLETED)


def _canary_value(item: messages.CanaryProgress) -> dict:
    record = item.record
    return {
        "canary": record.number,
        "service": record.service,
        "version": record.version,
        "phase": _PHASES[record.phase],
        "share": record.share_permille / 1000,
        "step": record.step,
        "reason": record.reason,
        "waits_for": item.waits_for,
        "left_ms": item.left_ms,
        "canary_answered": item.canary_answered,
        "canary_failed": item.canary_failed,
        "stable_answered": item.stable_answered,
        "stable_failed": item.stable_failed,
        "operator": record.operator,
        "started_at": record.started_at,
        "decided_at": record.decided_at,
    }


def _print_canaries(items: list[messages.CanaryProgress], as_json: bool) -> None:
    values = [_canary_value(item) for item in items]
    if as_json:
        print_json(values)
        return
    if not values:
        _console.print("no canary release")
        return
    table = Table(
        "service", "version", "phase", "share", "answers (failed)", "stable (failed)", "left", "started", "why"
    )
    for value in values:
        table.add_row(
            value["service"],
            value["version"],
            value["phase"],
            f"{100 * value['share']:.0f} %",
            f"{value['canary_answered']} ({value['canary_failed']})",
            f"{value['stable_answered']} ({value['stable_failed']})",
            f"{value['left_ms'] / 1000:.0f} s",
            datetime.fromtimestamp(value["started_at"]).strftime("%Y-%m-%d %H:%M:%S"),
            value["waits_for"] or value["reason"],
        )
    _console.print(table)
