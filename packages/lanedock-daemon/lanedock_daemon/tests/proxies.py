# SPDX-License-Identifier: BSD-3-Clause
"""Loopback proxies that reproduce faults of networks."""

import gevent
from gevent import socket
from gevent.server import StreamServer

__all__ = ["SilencingProxy"]

HOST = "127.0.0.1"
# Maximum number of bytes forwarded at once.
CHUNK = 16 * 1024


class SilencingProxy:
    """Forwards connections; on request, discards or stops reading the data of the existing ones.

    Parameters
    ----------
    target : tuple of (str, int)
    rate : float, optional
        Bytes per second that are forwarded in each direction of each connection.

    Attributes
    ----------
    accepted : int
        Number of connections accepted so far.
    passed : int
        Bytes forwarded so far, in both directions.
    """

    def __init__(self, target: tuple[str, int], rate: float = float("inf")):
        self._target = target
        self._rate = rate
        self._generation = 0
        self._last_paused = 0
        self.accepted = 0
        self.passed = 0
        self.server = StreamServer((HOST, 0), self._serve)
        self.server.start()

    @property
    def address(self) -> tuple[str, int]:
        return (HOST, self.server.server_port)

    def silence(self) -> None:
        """Discard the data of the existing connections; new connections work."""
        self._generation += 1

    def stop_reading(self) -> None:
        """Stop reading from the existing connections, so that the sender's buffer fills up."""
        self._last_paused = self.accepted

    def _serve(self, conn, address) -> None:
        self.accepted += 1
        number = self.accepted
        with socket.create_connection(self._target) as other:
            generation = self._generation
            gevent.joinall(
                [
                    gevent.spawn(self._forward, conn, other, generation, number),
                    gevent.spawn(self._forward, other, conn, generation, number),
                ]
            )

    def _forward(self, source, target, generation: int, number: int) -> None:
        try:
            while data := source.recv(CHUNK):
                gevent.sleep(len(data) / self._rate)
                while number <= self._last_paused:
                    gevent.sleep(0.01)
                if generation == self._generation:
                    target.sendall(data)
                    self.passed += len(data)
            target.shutdown(socket.SHUT_WR)
        except OSError:
            pass
