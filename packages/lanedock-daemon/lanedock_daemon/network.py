# SPDX-License-Identifier: BSD-3-Clause
"""Channels and servers between lanedock's processes."""

import ssl

from grpclib.client import Channel
from grpclib.config import Configuration
from grpclib.server import Server

from lanedock.errors import ErrorCode, LanedockError
from lanedock.settings import Address

__all__ = ["make_channel", "start_server"]

# What a client may send ahead of what was read here, in bytes: the least that HTTP/2 begins
# with (RFC 9113, section 6.9.2). A ping waits behind it, 0.26 s on a link of 2 Mbit/s; behind
# grpclib's usual 4 MB a link that brings a long message would count as silent.
WINDOW = 64 * 1024 - 1


def make_channel(
    address: Address, context: ssl.SSLContext | None, silence_limit: float | None = None, pings: int = 1
) -> Channel:
    """Make a channel; it connects with its first call.

    Parameters
    ----------
    address : Address
    context : ssl.SSLContext or None
    silence_limit : float, optional
        Seconds after which the connection ends where its other side confirms nothing over it.
    pings : int, optional
        How often within that limit a confirmation is asked for, while a call is open.
    """
    config = None if silence_limit is None else _watch(silence_limit, pings)
    return Channel(address.host, address.port, ssl=context, config=config)


def _watch(silence_limit: float, pings: int) -> Configuration:
    """Have grpclib end a connection whose other side answers no ping of HTTP/2 (RFC 9113, section 6.7)."""
    interval = silence_limit / pings
    return Configuration(
        _keepalive_time=interval,
        # Counts from the first ping without an answer.
        _keepalive_timeout=max(interval, silence_limit - interval),
        # What is sent meanwhile proves nothing of what arrives: pings are neither bounded in
        # number nor, by grpclib's limit of one in 300 s, in time.
        _http2_max_pings_without_data=0,
        _http2_min_sent_ping_interval_without_data=interval / 2,
    )


async def start_server(handlers: list, address: Address, context: ssl.SSLContext | None) -> Server:
    """Start a server.

    Raises
    ------
    LanedockError
        `ErrorCode.ADDRESS_TAKEN`
    """
    config = Configuration(http2_connection_window_size=WINDOW, http2_stream_window_size=WINDOW)
    server = Server(handlers, config=config)
    try:
        await server.start(address.host, address.port, ssl=context)
    except OSError as exc:
        raise LanedockError(ErrorCode.ADDRESS_TAKEN, f"{address}: {exc}") from exc
    return server
