# SPDX-License-Identifier: BSD-3-Clause
"""Proxies on loopback that do to connections what networks do."""

import gevent
from gevent import socket
from gevent.server import StreamServer

__all__ = ["SilencingProxy"]

HOST = "127.0.0.1"
# Bytes that are passed on at once at the most.
CHUNK = 16 * 1024


class SilencingProxy:
    """Passes connections on, and swallows both directions of those it has, when it is asked to.

    Parameters
    ----------
    target : tuple of (str, int)
    rate : float, optional
        Bytes a second that it passes on, in each direction of each connection.

    Attributes
    ----------
    accepted : int
        Connections so far.
    passed : int
        Bytes passed on so far, of both directions.
    """

    def __init__(self, target: tuple[str, int], rate: float = float("inf")):
        self._target = target
        self._rate = rate
        self._era = 0
        self._paused_before = 0
        self.accepted = 0
        self.passed = 0
        self.server = StreamServer((HOST, 0), self._serve)
        self.server.start()

    @property
    def address(self) -> tuple[str, int]:
        return (HOST, self.server.server_port)

    def silence(self) -> None:
        """Swallow what comes on the connections there are; new ones work."""
        self._era += 1

    def stop_reading(self) -> None:
        """Read nothing more from the connections there are: what is sent there fills the sender's buffer."""
        self._paused_before = self.accepted

    def _serve(self, conn, address) -> None:
        self.accepted += 1
        number = self.accepted
        with socket.create_connection(self._target) as other:
            era = self._era
            gevent.joinall(
                [
                    gevent.spawn(self._pass, conn, other, era, number),
                    gevent.spawn(self._pass, other, conn, era, number),
                ]
            )

    def _pass(self, source, target, era: int, number: int) -> None:
        try:
            while data := source.recv(CHUNK):
                gevent.sleep(len(data) / self._rate)
                while number <= self._paused_before:
                    gevent.sleep(0.01)
                if era == self._era:
                    target.sendall(data)
                    self.passed += len(data)
            target.shutdown(socket.SHUT_WR)
        except OSError:
            pass
