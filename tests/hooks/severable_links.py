# SPDX-License-Identifier: BSD-3-Clause
"""Routes a process's connections to other instances through a relay that can simulate network partitions.

A partition between machines drops packets, which cannot be done between loopback addresses
without the relay. See `links.py` for the relay.
"""

import os

__all__ = ["ACCEPTED", "RELAY_VARIABLE", "SOURCE_VARIABLE", "install"]

# Environment variables: address and port of the relay, and IP address of this instance.
RELAY_VARIABLE, SOURCE_VARIABLE = "LANEDOCK_TEST_RELAY", "LANEDOCK_TEST_SOURCE"
# Byte that the relay sends once the target has accepted; on refusal it closes the connection instead.
ACCEPTED = b"+"


def install() -> None:
    """Patch `socket.connect` if the environment names a relay."""
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
            raise ConnectionRefusedError(f"relay could not connect {source} to {address}")

    socket.socket.connect = connect_through
