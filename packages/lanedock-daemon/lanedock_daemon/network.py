# SPDX-License-Identifier: BSD-3-Clause
"""Channels and servers between lanedock's processes."""

import ssl

from grpclib.client import Channel
from grpclib.server import Server

from lanedock.errors import ErrorCode, LanedockError
from lanedock.settings import Address

__all__ = ["make_channel", "start_server"]


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
