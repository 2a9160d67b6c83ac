# SPDX-License-Identifier: BSD-3-Clause
"""Answers load probes of other daemons."""

import gevent
from gevent import socket
from google.protobuf.message import DecodeError

from lanedock.kernel import Kernel, Service
from lanedock.settings import Address
from lanedock.wire import messages

__all__ = ["LoadResponder"]

# Longest datagram that is read, in bytes; a probe has at most 6.
MAX_DATAGRAM = 64
# Seconds until the next read after a failed one.
RETRY_INTERVAL = 0.1


class LoadResponder(Service):
    """Answers each load probe with the present load, in one UDP datagram.

    Parameters
    ----------
    address : Address
        Address at which probes are received.
    is_answering : callable
        Called without arguments; returns whether probes are answered at the moment.
    measure_load : callable
        Called without arguments; returns the load as a `LoadReply` without a number.
    """

    name = "load"

    def __init__(self, address: Address, is_answering, measure_load):
        self._address = address
        self._is_answering = is_answering
        self._measure_load = measure_load
        self._socket: socket.socket | None = None
        self._task = None

    def __repr__(self) -> str:
        return f"<LoadResponder {self._address}>"

    @property
    def port(self) -> int:
        """UDP port at which probes are received."""
        return self._socket.getsockname()[1]

    def start(self, kernel: Kernel | None) -> None:
        family = socket.AF_INET6 if ":" in self._address.host else socket.AF_INET
        self._socket = socket.socket(family, socket.SOCK_DGRAM)
        self._socket.bind((self._address.host, self._address.port))
        self._task = gevent.spawn(self._run)

    def stop(self) -> None:
        self._task.kill()
        self._socket.close()

    def _run(self) -> None:
        while True:
            try:
                self._answer(*self._socket.recvfrom(MAX_DATAGRAM))
                # A socket with unread datagrams doesn't wait, so nothing else would run while they keep coming.
                gevent.sleep(0)
            except OSError:
                gevent.sleep(RETRY_INTERVAL)

    def _answer(self, data: bytes, sender: tuple) -> None:
        try:
            probe = messages.LoadProbe.FromString(data)
        except DecodeError:
            return
        if not self._is_answering():
            return
        reply = self._measure_load()
        reply.number = probe.number
        self._socket.sendto(reply.SerializeToString(), sender)
