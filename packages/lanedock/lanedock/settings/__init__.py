# SPDX-License-Identifier: BSD-3-Clause
"""Settings of a process, read from JSON with comments.

`lanedock.settings.tls` makes TLS contexts; it is imported only where TLS is used.
"""

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
]
