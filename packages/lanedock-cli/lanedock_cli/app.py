# SPDX-License-Identifier: BSD-3-Clause
"""The command ``lanedock``."""

import asyncio
import getpass
import sys
import time
from pathlib import Path
from typing import Annotated

import typer
from rich.console import Console
from rich.progress import BarColumn, MofNCompleteColumn, Progress, TextColumn

from lanedock.config import ConfigTree, compare, load_config
from lanedock.errors import ErrorCode, LanedockError
from lanedock.findings import FindingsError
from lanedock.settings import load_settings
from lanedock.wire import messages
from lanedock_cli import canary
from lanedock_cli.client import ControlClient
from lanedock_cli.connection import (
    CLIENT_GRACE,
    CONTROL_VARIABLE,
    ControlOption,
    JsonOption,
    TlsOption,
    make_client,
)
from lanedock_cli.doctor import run_checks
from lanedock_cli.explain import collect_timeline, print_timeline
from lanedock_cli.render import (
    ANSWER_NAMES,
    answer_value,
    customers_value,
    history_value,
    print_customers,
    print_differences,
    print_findings,
    print_history,
    print_json,
    print_quarantine,
    print_status,
    quarantine_value,
    status_value,
)
from lanedock_cli.stops import collect_stops, print_stop
from lanedock_cli.summary import print_summary, summarize
from lanedock_cli.traces import print_traces

__all__ = ["app", "main"]

EXIT_APPLIED = 0
EXIT_FAILED = 1
EXIT_FINDINGS = 2
EXIT_NOT_RUN = 3
EXIT_NOT_KNOWN = 4
EXIT_ACCEPTED = 5

app = typer.Typer(
    no_args_is_help=True,
    rich_markup_mode=None,
    # Local variables may hold customers' keys.
    pretty_exceptions_show_locals=False,
    help="Applies configurations to a lanedock mesh, each as a whole, and shows the version in force on each daemon.",
    epilog=f"--control or ${CONTROL_VARIABLE} gives the addresses of the control instances.",
)
app.add_typer(canary.app, name="canary")
_console = Console()

FileArgument = Annotated[Path, typer.Argument(help="The operators' file, JSON with comments.", metavar="FILE")]


def _load(file: Path, as_json: bool) -> ConfigTree:
    try:
        return load_config(str(file))
    except FindingsError as exc:
        print_findings(exc.findings, as_json)
        raise typer.Exit(EXIT_FINDINGS) from exc


@app.command(epilog="example: lanedock check kijani.jsonc")
def check(file: FileArgument, as_json: JsonOption = False) -> None:
    """Check a file without network access and print all findings. Exit code 2 if there are any."""
    tree = _load(file, as_json)
    if as_json:
        print_json({"findings": [], "version": tree.number, "digest": tree.version.digest.hex()})
    else:
        print(f"{file}: version {tree.number}, digest {tree.version.digest.hex()[:12]}, no findings")


@app.command(epilog="example: lanedock apply kijani.jsonc --control 10.0.0.1:7000,10.0.1.1:7000")
def apply(
    file: FileArgument,
    control: ControlOption = "",
    tls: TlsOption = "",
    allow_cut_off: Annotated[
        list[str], typer.Option(help="A zone that may be cut off; repeat the option for several.", metavar="ZONE")
    ] = [],  # noqa: B006 - typer requires the literal default
    timeout: Annotated[float, typer.Option(help="Seconds to wait for the outcome.")] = 10.0,
    as_json: JsonOption = False,
) -> None:
    """Apply a file as a whole.

    Exit codes: 0 applied everywhere; 2 the file has findings; 3 not run, and
    it never will be; 4 not known yet, submit the same file again; 5 accepted
    permanently, but not in force everywhere yet.
    """
    tree = _load(file, as_json)
    request = messages.SubmitRequest(
        version=tree.number,
        content=file.read_bytes(),
        file=str(file),
        operator=getpass.getuser(),
        timeout_ms=int(timeout * 1000),
    )
    request.allow_cut_off.extend(allow_cut_off)
    client = make_client(control, tls, timeout + CLIENT_GRACE)
    reply = _submit(client, request, show=sys.stderr.isatty() and not as_json)
    if as_json:
        print_json(answer_value(reply))
    else:
        _print_answer(reply)
    raise typer.Exit(_EXIT_CODES[reply.answer])


_EXIT_CODES = {
    messages.ANSWER_APPLIED: EXIT_APPLIED,
    messages.ANSWER_NOT_RUN: EXIT_NOT_RUN,
    messages.ANSWER_NOT_KNOWN: EXIT_NOT_KNOWN,
    messages.ANSWER_ACCEPTED: EXIT_ACCEPTED,
}


def _submit(client: ControlClient, request, show: bool) -> messages.SubmitReply:
    if not show:
        return asyncio.run(client.submit(request, lambda reply: None))
    columns = (TextColumn("{task.description}"), BarColumn(), MofNCompleteColumn())
    with Progress(*columns, console=Console(stderr=True), transient=True) as progress:
        task = progress.add_task("submitting", total=None)

        def show(reply: messages.SubmitReply) -> None:
            done = reply.in_force if reply.message == "in force" else reply.staged
            progress.update(task, description=reply.message, completed=done, total=reply.required)

        return asyncio.run(client.submit(request, show))


def _print_answer(reply: messages.SubmitReply) -> None:
    code = f" [{reply.code}]" if reply.code else ""
    print(f"version {reply.version}: {ANSWER_NAMES[reply.answer]}{code}: {reply.message}")
    if reply.answer == messages.ANSWER_APPLIED:
        print(
            f"in force on {reply.in_force} of {reply.required} daemons; staged in {reply.stage_ms:.0f} ms, "
            f"in force everywhere {reply.converge_ms:.0f} ms after it was accepted"
        )
    if reply.lagging:
        print("not in force yet on: " + ", ".join(reply.lagging))
    for item in reply.findings:
        place = f"{item.file}:{item.line}:{item.column} {item.path}: " if item.file else ""
        print(f"  {place}{item.code}: {item.message}")
    code = ErrorCode.find(reply.code)
    if code is not None:
        print(f"next: {code.remedy}")


@app.command(epilog="example: lanedock status --watch")
def status(
    control: ControlOption = "",
    tls: TlsOption = "",
    watch: Annotated[bool, typer.Option(help="Refresh every second, until interrupted.")] = False,
    as_json: JsonOption = False,
) -> None:
    """Show the version in force on each daemon, and which daemons are behind."""
    client = make_client(control, tls, CLIENT_GRACE)
    while True:
        reply = asyncio.run(client.ask("Status", messages.StatusRequest()))
        if as_json:
            print_json(status_value(reply))
        else:
            if watch:
                _console.clear()
            print_status(reply, _console)
        if not watch:
            return
        time.sleep(1)


@app.command(epilog="example: lanedock diff kijani.jsonc")
def diff(file: FileArgument, control: ControlOption = "", tls: TlsOption = "", as_json: JsonOption = False) -> None:
    """Show what a file would change in the accepted version."""
    tree = _load(file, as_json)
    client = make_client(control, tls, CLIENT_GRACE)
    reply = asyncio.run(client.ask("Show", messages.ShowRequest()))
    before = ConfigTree.from_packed(reply.version, reply.content).value() if reply.content else {}
    differences = compare(before, tree.value())
    if as_json:
        print_json(
            [{"kind": item.kind, "path": item.path, "before": item.before, "after": item.after} for item in differences]
        )
    else:
        print_differences(differences, _console)


@app.command(epilog="example: lanedock history --limit 5")
def history(
    control: ControlOption = "",
    tls: TlsOption = "",
    limit: Annotated[int, typer.Option(min=1, help="Maximum number of versions to list.")] = 20,
    as_json: JsonOption = False,
) -> None:
    """List the submitted versions and their outcomes, the newest first."""
    client = make_client(control, tls, CLIENT_GRACE)
    reply = asyncio.run(client.ask("History", messages.HistoryRequest(limit=limit)))
    if as_json:
        print_json(history_value(reply))
    else:
        print_history(reply, _console)


@app.command(epilog="example: lanedock quarantine --clear 4b259ea09c15145db1073bb9c11a3258")
def quarantine(
    control: ControlOption = "",
    tls: TlsOption = "",
    clear: Annotated[str, typer.Option(help="Digest of a request to release from quarantine.", metavar="DIGEST")] = "",
    as_json: JsonOption = False,
) -> None:
    """List the requests that are not forwarded because they crash upstreams. Exit code 1 if --clear found none."""
    try:
        digest = bytes.fromhex(clear)
    except ValueError as exc:
        raise typer.BadParameter("a digest consists of hexadecimal digits", param_hint="--clear") from exc
    client = make_client(control, tls, CLIENT_GRACE)
    reply = asyncio.run(client.ask("Quarantine", messages.QuarantineRequest(clear=digest)))
    if as_json:
        print_json(quarantine_value(reply))
    else:
        print_quarantine(reply, _console)
    if clear and not reply.cleared:
        raise typer.Exit(EXIT_FAILED)


@app.command(epilog="example: lanedock customers --json")
def customers(control: ControlOption = "", tls: TlsOption = "", as_json: JsonOption = False) -> None:
    """List the customers with their limits, and the requests granted and refused, by zone. Shows no keys."""
    client = make_client(control, tls, CLIENT_GRACE)
    reply = asyncio.run(client.ask("Customers", messages.CustomersRequest()))
    if as_json:
        print_json(customers_value(reply))
    else:
        print_customers(reply, _console)


@app.command(epilog="example: lanedock doctor --settings entry-nbo-a.jsonc")
def doctor(
    settings: Annotated[Path, typer.Option("--settings", help="Settings file of a process.", metavar="FILE")],
    as_json: JsonOption = False,
) -> None:
    """Check an instance's clock, addresses, peers, data folder and TLS files. Exit code 2 if a check fails."""
    try:
        loaded = load_settings(str(settings))
    except FindingsError as exc:
        print_findings(exc.findings, as_json)
        raise typer.Exit(EXIT_FINDINGS) from exc
    checks = run_checks(loaded)
    if as_json:
        print_json([{"what": item.subject, "good": item.passed, "told": item.detail} for item in checks])
    else:
        for item in checks:
            code = f" [{item.code.code}: {item.code.remedy}]" if item.code else ""
            print(f"{'ok ' if item.passed else 'BAD'} {item.subject}: {item.detail}{code}")
    if not all(item.passed for item in checks):
        raise typer.Exit(EXIT_FINDINGS)


@app.command(epilog="example: lanedock trace spans.jsonl")
def trace(file: FileArgument) -> None:
    """Draw the traces in a file of spans as trees."""
    print_traces(file, _console)


@app.command(epilog="example: lanedock explain 9c41d07be2a35f68 logs/*.log")
def explain(
    request: Annotated[str, typer.Argument(help="The request's id, from the caller's report.", metavar="ID")],
    files: Annotated[
        list[Path], typer.Argument(help="Logs of the processes that may have handled it.", metavar="FILE...")
    ],
) -> None:
    """Print the timeline of one request, from the logs of several processes."""
    timeline = collect_timeline(request, files)
    print_timeline(timeline, _console)
    if not timeline.lines:
        raise typer.Exit(EXIT_FAILED)


@app.command(epilog="example: lanedock explain-stop entry-nbo-a-0 logs/entry-nbo-a-0.log")
def explain_stop(
    process: Annotated[str, typer.Argument(help="Name of the process.", metavar="PROCESS")],
    files: Annotated[list[Path], typer.Argument(help="Its logs.", metavar="FILE...")],
) -> None:
    """Print how the stops of a process went: times, sums, requests without a received answer, missing lines."""
    stops = collect_stops(process, files)
    for stop in stops:
        print_stop(stop, _console)
    if not stops:
        print(f"no line states that {process} was asked to stop: it was ended at once, or its log is not given")
        raise typer.Exit(EXIT_FAILED)


@app.command(epilog="example: lanedock summary logs/*.log --every 2")
def summary(
    files: Annotated[list[Path], typer.Argument(help="Logs of daemons.", metavar="FILE...")],
    every: Annotated[
        float | None, typer.Option(help="Seconds of an interval; if omitted, the whole logs are one.", min=0.1)
    ] = None,
    process: Annotated[str, typer.Option(help="Prefix of the names of the processes to count.")] = "",
) -> None:
    """Show the outcomes of all requests by route: shares, mean durations and mean queue waits."""
    found = summarize(files, every, process)
    print_summary(found, _console)
    if not found.rows:
        raise typer.Exit(EXIT_FAILED)


def main() -> None:
    """Run the command line."""
    try:
        app()
    except LanedockError as exc:
        print(f"{exc}", file=sys.stderr)
        print(f"next: {exc.code.remedy}", file=sys.stderr)
        sys.exit(EXIT_NOT_KNOWN if exc.code is ErrorCode.NO_LEADER else EXIT_FAILED)


if __name__ == "__main__":
    main()
