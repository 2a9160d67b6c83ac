# SPDX-License-Identifier: BSD-3-Clause
"""TLS contexts made from settings."""

import ssl

from lanedock.errors import ErrorCode, LanedockError
from lanedock.settings.core import TlsSettings

__all__ = ["make_client_context", "make_server_context"]


def make_server_context(tls: TlsSettings | None) -> ssl.SSLContext | None:
    """Make the TLS context of a server that requires client certificates; None without TLS."""
    if tls is None:
        return None
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.verify_mode = ssl.CERT_REQUIRED
    return _load_certificates(context, tls)


def make_client_context(tls: TlsSettings | None) -> ssl.SSLContext | None:
    """Make the TLS context of a client that verifies servers by their authority alone; None without TLS."""
    if tls is None:
        return None
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    # Host names are not checked: addresses are IP numbers that are reassigned between instances. The
    # authority signs only lanedock's own processes, so its signature is sufficient.
    context.check_hostname = False
    return _load_certificates(context, tls)


def _load_certificates(context: ssl.SSLContext, tls: TlsSettings) -> ssl.SSLContext:
    try:
        context.load_cert_chain(tls.certificate, tls.key)
        context.load_verify_locations(tls.authority)
    except (OSError, ssl.SSLError) as exc:
        raise LanedockError(ErrorCode.NOT_AUTHENTIC, f"{tls!r}: {exc}") from exc
    context.set_alpn_protocols(["h2"])
    return context
