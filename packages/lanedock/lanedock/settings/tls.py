# SPDX-License-Identifier: BSD-3-Clause
"""TLS contexts made from settings."""

import ssl

from lanedock.errors import ErrorCode, LanedockError
from lanedock.settings.core import TlsSettings

__all__ = ["make_client_context", "make_server_context"]


def make_server_context(tls: TlsSettings | None) -> ssl.SSLContext | None:
    """Make the TLS context of a server that wants its peers' certificates."""
    if tls is None:
        return None
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.verify_mode = ssl.CERT_REQUIRED
    return _load(context, tls)


def make_client_context(tls: TlsSettings | None) -> ssl.SSLContext | None:
    """Make the TLS context of a client. Peers are known by their authority."""
    if tls is None:
        return None
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    # Addresses are IP numbers that change hands; the authority signs lanedock's
    # own processes only, so its signature is what counts.
    context.check_hostname = False
    return _load(context, tls)


def _load(context: ssl.SSLContext, tls: TlsSettings) -> ssl.SSLContext:
    try:
        context.load_cert_chain(tls.certificate, tls.key)
        context.load_verify_locations(tls.authority)
    except (OSError, ssl.SSLError) as exc:
        raise LanedockError(ErrorCode.NOT_AUTHENTIC, f"{tls!r}: {exc}") from exc
    context.set_alpn_protocols(["h2"])
    return context
