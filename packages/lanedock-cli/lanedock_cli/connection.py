# SPDX-License-Identifier: BSD-3-Clause
"""Options of the commands that ask control instances, and the client that they make."""

import os
from typing import Annotated

import typer

from lanedock.settings import Address, TlsSettings
from lanedock.settings.tls import make_client_context
from lanedock_cli.client import ControlClient

__all__ = ["CLIENT_GRACE", "CONTROL_VARIABLE", "ControlOption", "JsonOption", "TlsOption", "make_client"]

CONTROL_VARIABLE = "LANEDOCK_CONTROL"
# Seconds to look for a leader, beyond those for which an order may wait.
CLIENT_GRACE = 2.0

ControlOption = Annotated[
    str,
    typer.Option("--control", envvar=CONTROL_VARIABLE, help="Control instances: IP:PORT, separated by commas."),
]
TlsOption = Annotated[
    str, typer.Option("--tls", envvar="LANEDOCK_TLS", help="Folder with client.crt, client.key and authority.crt.")
]
JsonOption = Annotated[bool, typer.Option("--json", help="Print JSON, for machines.")]


def make_client(control: str, tls: str, patience: float) -> ControlClient:
    """Make a client of the control instances that an option names.

    Parameters
    ----------
    control, tls : str
        Values of the options.
    patience : float
        Seconds to look for a leader.

    Raises
    ------
    typer.BadParameter
        No address is given, or one can't be read.
    """
    try:
        addresses = [Address.parse(text.strip()) for text in control.split(",") if text.strip()]
    except ValueError as exc:
        raise typer.BadParameter(f"{control!r} is not a list of IP:PORT", param_hint="--control") from exc
    if not addresses:
        raise typer.BadParameter(f"name the control instances, or set {CONTROL_VARIABLE}", param_hint="--control")
    return ControlClient(addresses, _make_context(tls), patience)


def _make_context(folder: str):
    if not folder:
        return None
    paths = {"certificate": "client.crt", "key": "client.key", "authority": "authority.crt"}
    return make_client_context(TlsSettings(**{key: os.path.join(folder, name) for key, name in paths.items()}))
