# SPDX-License-Identifier: BSD-3-Clause
"""Opening of TCP connections."""

from gevent import socket

__all__ = ["open_connection"]


def open_connection(address: tuple[str, int], timeout: float | None = None) -> socket.socket:
    """Connect to an address.

    Where its host is a number, as everywhere in a mesh, it isn't resolved: gevent's resolver
    is a thread with a heap of its own, which takes 2 MB of a daemon, and 0.14 ms of a core for
    each connection (RssAnon and process time, 1,000 connections).

    Parameters
    ----------
    address : tuple of (str, int)
    timeout : float, optional
        Seconds, for the connection and for what is done with it later on.

    Raises
    ------
    OSError
    """
    family = _find_family(address[0])
    if family is None:
        return socket.create_connection(address, timeout=timeout)
    conn = socket.socket(family, socket.SOCK_STREAM)
    try:
        conn.settimeout(timeout)
        conn.connect(address)
    except BaseException:
        conn.close()
        raise
    return conn


def _find_family(host: str) -> int | None:
    """Return the family that a host is a number of; None where it is a name."""
    for family in (socket.AF_INET, socket.AF_INET6):
        try:
            socket.inet_pton(family, host)
        except OSError:
            continue
        return family
    return None
