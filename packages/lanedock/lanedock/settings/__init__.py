# SPDX-License-Identifier: BSD-3-Clause
"""A process's settings, read from JSON with comments."""

from lanedock.settings.core import (
    Address,
    ControlSettings,
    DaemonSettings,
    EntrySettings,
    Settings,
    TlsSettings,
    TraceSettings,
    UpstreamSettings,
)
from lanedock.settings.load import load_settings
from lanedock.settings.tls import make_client_context, make_server_context

__all__ = [
    "Address",
    "ControlSettings",
    "DaemonSettings",
    "EntrySettings",
    "Settings",
    "TlsSettings",
    "TraceSettings",
    "UpstreamSettings",
    "load_settings",
    "make_client_context",
    "make_server_context",
]
