# SPDX-License-Identifier: BSD-3-Clause
"""Command-line options for the connection to the control instances."""

import os
from typing import Annotated

import typer

from lanedock.settings import Address, TlsSettings
from lanedock.settings.tls import make_client_context
from lanedock_cli.client import ControlClient

__all__ = ["CLIENT_GRACE", "CONTROL_VARIABLE", "ControlOption", "JsonOption", "TlsOption", "make_client"]

CONTROL_VARIABLE = "LANEDOCK_CONTROL"
# Seconds to look for a leader, in addition to the time that a command may wait for its outcome.
CLIENT_GRACE = 2.0

ControlOption = Annotated[
    str,
    typer.Option("--control", envvar=CONTROL_VARIABLE, help="Control instances: IP:PORT, separated by commas."),
]
TlsOption = Annotated[
    str, typer.Option("--tls", envvar="LANEDOCK_TLS", help="Folder with client.crt, client.key and authority.crt.")
]
JsonOption = Annotated[bool, typer.Option("--json", help="Print JSON.")]


def make_client(control: str, tls: str, retry_timeout: float) -> ControlClient:
    """Make a client of the control instances.

    Parameters
    ----------
    control : str
        Value of ``--control``: IP:PORT, separated by commas.
    tls : str
        Value of ``--tls``: the folder of the certificates; plain TCP if empty.
    retry_timeout : float
        Seconds during which a call is retried.

    Raises
    ------
    typer.BadParameter
        `control` has no address, or an invalid one.
    """
    try:
        addresses = [Address.parse(text.strip()) for text in control.split(",") if text.strip()]
    except ValueError as exc:
        raise typer.BadParameter(
            f"{control!r} is not a comma-separated list of IP:PORT", param_hint="--control"
        ) from exc
    if not addresses:
        raise typer.BadParameter(
            f"no control instance given; pass IP:PORT, separated by commas, or set {CONTROL_VARIABLE}",
            param_hint="--control",
        )
    return ControlClient(addresses, _make_context(tls), retry_timeout)


def _make_context(folder: str):
    if not folder:
        return None
    paths = {"certificate": "client.crt", "key": "client.key", "authority": "authority.crt"}
    return make_client_context(TlsSettings(**{key: os.path.join(folder, name) for key, name in paths.items()}))
