# SPDX-License-Identifier: BSD-3-Clause
"""Makes a process's connections to other instances go through a relay that can sever them.

Between real machines a cut drops packets; loopback addresses know no such thing. See
`links.py` for the relay.
"""

import os

__all__ = ["ACCEPTED", "RELAY_VARIABLE", "SOURCE_VARIABLE", "install"]

# Port of the relay, at the same address for all, and the address of the own instance.
RELAY_VARIABLE, SOURCE_VARIABLE = "LANEDOCK_TEST_RELAY", "LANEDOCK_TEST_SOURCE"
# The relay's answer once the other end has accepted the connection; it closes where it hasn't.
ACCEPTED = b"+"


def install() -> None:
    """Replace how this process connects, if it was told of a relay."""
    if RELAY_VARIABLE not in os.environ:
        return
    from gevent import socket

    host, _, port = os.environ[RELAY_VARIABLE].rpartition(":")
    relay, source = (host, int(port)), os.environ[SOURCE_VARIABLE]
    connect = socket.socket.connect

    def connect_through(conn, address):
        if conn.family != socket.AF_INET or address[0] == source:
            return connect(conn, address)
        connect(conn, relay)
        conn.sendall(f"{source} {address[0]} {address[1]}\n".encode())
        if conn.recv(1) != ACCEPTED:
            raise ConnectionRefusedError(f"{address}: refused")

    socket.socket.connect = connect_through
