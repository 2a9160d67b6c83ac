# SPDX-License-Identifier: BSD-3-Clause
"""The binary ``lanedock``."""

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
from lanedock_cli.doctor import examine
from lanedock_cli.explain import gather, print_account
from lanedock_cli.render import (
    ANSWER_NAMES,
    answer_value,
    history_value,
    print_differences,
    print_findings,
    print_history,
    print_json,
    print_quarantine,
    print_status,
    quarantine_value,
    status_value,
)
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
    help="Applies configurations to a lanedock mesh, as a whole, and tells which version is in force where.",
    epilog=f"The control instances are named by --control or by ${CONTROL_VARIABLE}.",
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
    """Check a file without any network; print all findings. Exit code 2 if there are some."""
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
        list[str], typer.Option(help="A zone that may be cut off; say it once for each.", metavar="ZONE")
    ] = [],  # noqa: B006 - typer wants the plain default
    timeout: Annotated[float, typer.Option(help="Seconds to wait for the outcome.")] = 10.0,
    as_json: JsonOption = False,
) -> None:
    """Apply a file as a whole.

    Exit codes: 0 applied everywhere; 2 the file has findings; 3 not run, and
    never will be; 4 not known yet, submit the same file again; 5 accepted for
    good, but not in force everywhere yet.
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
    watch: Annotated[bool, typer.Option(help="Show it again every second, until interrupted.")] = False,
    as_json: JsonOption = False,
) -> None:
    """Tell which version is in force where, by zone, and who is behind."""
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
    """Tell what a file would change in the accepted version."""
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
    limit: Annotated[int, typer.Option(min=1, help="Most versions to list.")] = 20,
    as_json: JsonOption = False,
) -> None:
    """List the submitted versions and what became of them, the newest first."""
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
    clear: Annotated[str, typer.Option(help="Digest of a request to pass on again.", metavar="DIGEST")] = "",
    as_json: JsonOption = False,
) -> None:
    """List the requests that are not passed on since upstreams end under them. Exit code 1 if none was cleared."""
    try:
        digest = bytes.fromhex(clear)
    except ValueError as exc:
        raise typer.BadParameter("a digest is hexadecimal", param_hint="--clear") from exc
    client = make_client(control, tls, CLIENT_GRACE)
    reply = asyncio.run(client.ask("Quarantine", messages.QuarantineRequest(clear=digest)))
    if as_json:
        print_json(quarantine_value(reply))
    else:
        print_quarantine(reply, _console)
    if clear and not reply.cleared:
        raise typer.Exit(EXIT_FAILED)


@app.command(epilog="example: lanedock doctor --settings entry-nbo-a.jsonc")
def doctor(
    settings: Annotated[Path, typer.Option("--settings", help="Settings of a process.", metavar="FILE")],
    as_json: JsonOption = False,
) -> None:
    """Check addresses, folder, disk, clock and peers of an instance. Exit code 2 if something is wrong."""
    try:
        loaded = load_settings(str(settings))
    except FindingsError as exc:
        print_findings(exc.findings, as_json)
        raise typer.Exit(EXIT_FINDINGS) from exc
    checks = examine(loaded)
    if as_json:
        print_json([{"what": item.what, "good": item.good, "told": item.finding} for item in checks])
    else:
        for item in checks:
            code = f" [{item.code.code}: {item.code.remedy}]" if item.code else ""
            print(f"{'ok ' if item.good else 'BAD'} {item.what}: {item.finding}{code}")
    if not all(item.good for item in checks):
        raise typer.Exit(EXIT_FINDINGS)


@app.command(epilog="example: lanedock trace spans.jsonl")
def trace(file: FileArgument) -> None:
    """Draw the calls of a file of spans as trees."""
    print_traces(file, _console)


@app.command(epilog="example: lanedock explain 9c41d07be2a35f68 logs/*.log")
def explain(
    request: Annotated[str, typer.Argument(help="The request's id, from the caller's report.", metavar="ID")],
    files: Annotated[list[Path], typer.Argument(help="Logs of the processes it may have met.", metavar="FILE...")],
) -> None:
    """Gather what several processes' logs say of one request."""
    account = gather(request, files)
    print_account(account, _console)
    if not account.lines:
        raise typer.Exit(EXIT_FAILED)


@app.command(epilog="example: lanedock summary logs/*.log --every 2")
def summary(
    files: Annotated[list[Path], typer.Argument(help="Logs of daemons.", metavar="FILE...")],
    every: Annotated[float | None, typer.Option(help="Seconds of a span; without it all is one.", min=0.1)] = None,
    process: Annotated[str, typer.Option(help="Beginning of the names of the processes that count.")] = "",
) -> None:
    """Show how all requests ended, by route: shares, times, and waits in queues."""
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
