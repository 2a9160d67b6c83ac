# SPDX-License-Identifier: BSD-3-Clause
"""gRPC channels and servers between lanedock's processes."""

import ssl

from grpclib.client import Channel
from grpclib.config import Configuration
from grpclib.server import Server

from lanedock.errors import ErrorCode, LanedockError
from lanedock.settings import Address

__all__ = ["make_channel", "start_server"]

# HTTP/2 flow-control window of a server, in bytes; the protocol's initial size (RFC 9113, section
# 6.9.2) is the minimum. A ping waits behind this much unread data, 0.26 s on a link of 2 Mbit/s;
# behind grpclib's default of 4 MB, a link that carries a long message would count as silent.
FLOW_CONTROL_WINDOW = 64 * 1024 - 1


def make_channel(
    address: Address, context: ssl.SSLContext | None, silence_limit: float | None = None, pings: int = 1
) -> Channel:
    """Make a channel, which connects at its first call.

    Parameters
    ----------
    address : Address
    context : ssl.SSLContext or None
    silence_limit : float, optional
        Seconds without a confirmation from the server after which the connection is closed.
    pings : int, optional
        Number of pings within `silence_limit` while a call is open.
    """
    config = None if silence_limit is None else _make_ping_configuration(silence_limit, pings)
    return Channel(address.host, address.port, ssl=context, config=config)


def _make_ping_configuration(silence_limit: float, pings: int) -> Configuration:
    """Make grpclib close a connection whose server answers no HTTP/2 ping (RFC 9113, section 6.7)."""
    interval = silence_limit / pings
    return Configuration(
        _keepalive_time=interval,
        # Counted from the first unanswered ping.
        _keepalive_timeout=max(interval, silence_limit - interval),
        # Sending data does not show that anything arrives, so pings are limited neither in
        # number nor to grpclib's default of one in 300 s.
        _http2_max_pings_without_data=0,
        _http2_min_sent_ping_interval_without_data=interval / 2,
    )


async def start_server(handlers: list, address: Address, context: ssl.SSLContext | None) -> Server:
    """Start a gRPC server at an address.

    Raises
    ------
    LanedockError
        `ErrorCode.ADDRESS_TAKEN`
    """
    config = Configuration(
        http2_connection_window_size=FLOW_CONTROL_WINDOW, http2_stream_window_size=FLOW_CONTROL_WINDOW
    )
    server = Server(handlers, config=config)
    try:
        await server.start(address.host, address.port, ssl=context)
    except OSError as exc:
        raise LanedockError(ErrorCode.ADDRESS_TAKEN, f"cannot listen on {address}: {exc}") from exc
    return server
