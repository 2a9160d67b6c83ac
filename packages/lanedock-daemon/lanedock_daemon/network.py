# SPDX-License-Identifier: BSD-3-Clause
"""Channels and servers between lanedock's processes."""

import ssl

from grpclib.client import Channel
from grpclib.server import Server

from lanedock.errors import ErrorCode, LanedockError
from lanedock.settings import Address, TlsSettings

__all__ = ["make_channel", "make_client_context", "make_server_context", "start_server"]


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


def make_channel(address: Address, context: ssl.SSLContext | None) -> Channel:
    """Make a channel; it connects with its first call."""
    return Channel(address.host, address.port, ssl=context)


async def start_server(handlers: list, address: Address, context: ssl.SSLContext | None) -> Server:
    """Start a server.

    Raises
    ------
    LanedockError
        `ErrorCode.ADDRESS_TAKEN`
    """
    server = Server(handlers)
    try:
        await server.start(address.host, address.port, ssl=context)
    except OSError as exc:
        raise LanedockError(ErrorCode.ADDRESS_TAKEN, f"{address}: {exc}") from exc
    return server
