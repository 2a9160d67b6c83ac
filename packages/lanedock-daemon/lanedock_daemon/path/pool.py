# SPDX-License-Identifier: BSD-3-Clause
"""Connections to daemons and applications, kept for the next exchange.

geventhttpclient's client sends a request again by itself when a pooled
connection turns out closed, which a request that may not be repeated must not
suffer. So connections are kept here, and `lanedock_daemon.path.exchange` sends
and reads over them.
"""

import socket
from weakref import WeakKeyDictionary

from lanedock.errors import ErrorCode, LanedockError
from lanedock_daemon.path.channel import Channel
from lanedock_daemon.path.http import Outcome
from lanedock_daemon.path.parser import AnswerReader
from lanedock_daemon.sockets import open_connection

__all__ = ["ConnectionPool", "ExchangeError"]

# Round trips between zones take milliseconds; whoever has not answered by then
# is gone or cut off, and there is time to go elsewhere.
CONNECT_TIMEOUT = 0.3
# A peer that acknowledges nothing for this long, in milliseconds, is gone or cut
# off: several round trips between zones, and two retransmissions (the kernel's
# first comes after 200 ms, the second after 400 more).
USER_TIMEOUT_MS = 700
# Whole seconds are the least that the kernel takes for its probes of silent peers.
KEEPALIVE_S = 1
KEEPALIVE_PROBES = 2


class ExchangeError(LanedockError):
    """A request got no answer.

    Attributes
    ----------
    outcome : str
        One of `Outcome`.
    is_unreachable : bool
        Whether the other side can't be reached, as far as that is known.
    is_body_late : bool
        Whether the request's own body did not come in time, or broke off: the other side is not at fault.
    is_broken : bool
        Whether the other side's end of the connection broke while the request may have been in progress there.
    """

    def __init__(
        self,
        code: ErrorCode,
        outcome: str,
        message: str = "",
        is_unreachable: bool = False,
        is_body_late: bool = False,
        is_broken: bool = False,
    ):
        super().__init__(code, message)
        self.is_broken = is_broken
        self.outcome = outcome
        self.is_unreachable = is_unreachable
        self.is_body_late = is_body_late


class ConnectionPool:
    """Idle connections by address.

    A connection is checked before it is used again: one that the other side
    has closed, or on which something unasked came, is dropped. One that has
    fallen silent without a reset isn't noticed so; `note_late` finds it.

    Parameters
    ----------
    max_idle : int
        Idle connections kept for one address.
    connect_timeout : float
        Seconds.
    """

    def __init__(self, max_idle: int = 32, connect_timeout: float = CONNECT_TIMEOUT):
        self._max_idle = max_idle
        self._connect_timeout = connect_timeout
        self._idle: dict[tuple[str, int], list] = {}
        # All that are held anywhere, in use or idle.
        self._addresses: WeakKeyDictionary[AnswerReader, tuple[str, int]] = WeakKeyDictionary()
        self._heard_at: dict[tuple[str, int], float] = {}

    def __repr__(self) -> str:
        return f"<ConnectionPool idle={sum(map(len, self._idle.values()))}>"

    def get(self, address: tuple[str, int], timeout: float) -> AnswerReader:
        """Return a connection with its reader.

        Raises
        ------
        ExchangeError
            None could be made; the request was not run.
        """
        idle = self._idle.get(address)
        while idle:
            reader = idle.pop()
            if reader.conn.is_clean():
                return reader
            reader.conn.close()
        return self.connect(address, timeout)

    def connect(self, address: tuple[str, int], timeout: float = CONNECT_TIMEOUT) -> AnswerReader:
        """Make a new connection.

        Raises
        ------
        ExchangeError
        """
        try:
            conn = open_connection(address, min(timeout, self._connect_timeout))
        except OSError as exc:
            message = f"{address}: {exc}"
            raise ExchangeError(ErrorCode.CONNECT_FAILED, Outcome.NOT_RUN, message, True) from exc
        _tune(conn)
        reader = AnswerReader(Channel(conn))
        self._addresses[reader] = address
        return reader

    def put(self, address: tuple[str, int], reader: AnswerReader) -> None:
        """Take back a connection whose answer was read to its end."""
        idle = self._idle.setdefault(address, [])
        if len(idle) < self._max_idle:
            idle.append(reader)
        else:
            reader.conn.close()

    def has_open(self, address: tuple[str, int]) -> bool:
        """Tell whether any connection to an address, in use or idle, is surely still open."""
        return any(known == address and reader.conn.is_clean() for reader, known in self._addresses.items())

    def note_heard(self, address: tuple[str, int], now: float) -> None:
        """Note that an answer has begun on a connection to an address."""
        self._heard_at[address] = now

    def note_late(self, address: tuple[str, int], sent_at: float) -> bool:
        """Note that an answer is later than nearly all others.

        Where nothing at all was heard from the address since the request was sent,
        its connections may have fallen silent: the idle ones are closed, so that the
        next request goes over a new one. An address that is merely busy answers others
        meanwhile.

        Parameters
        ----------
        address : tuple of (str, int)
        sent_at : float
            Monotonic, seconds: of the request.

        Returns
        -------
        bool
            Whether idle connections were closed.
        """
        if self._heard_at.get(address, float("-inf")) >= sent_at or not self._idle.get(address):
            return False
        self.forget(address)
        return True

    def forget(self, address: tuple[str, int]) -> None:
        """Close the idle connections to an address."""
        for reader in self._idle.pop(address, ()):
            reader.conn.close()

    def close(self) -> None:
        """Close all idle connections."""
        for address in list(self._idle):
            self.forget(address)


def _tune(conn) -> None:
    """Send at once, and notice a peer that is cut off in silence."""
    tcp = socket.IPPROTO_TCP
    conn.setsockopt(tcp, socket.TCP_NODELAY, 1)
    conn.setsockopt(tcp, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
    conn.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    conn.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEPALIVE_S)
    conn.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEPALIVE_S)
    conn.setsockopt(tcp, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
