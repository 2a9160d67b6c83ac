# SPDX-License-Identifier: BSD-3-Clause
"""A pool of persistent connections to daemons and applications.

geventhttpclient resends a request by itself when a pooled connection turns out to be
closed, which is not allowed for requests that must not be repeated. So connections are
pooled here, and `lanedock_daemon.path.shared.exchange` sends and reads over them.
"""

import socket
from weakref import WeakKeyDictionary

from lanedock.clock import monotonic
from lanedock.errors import ErrorCode, LanedockError
from lanedock_daemon.path.http.channel import Channel
from lanedock_daemon.path.http.messages import NEVER, Outcome
from lanedock_daemon.path.shared.answer_recovery import RecoveringAnswerReader
from lanedock_daemon.sockets import open_connection

__all__ = ["USER_TIMEOUT_MS", "ConnectionPool", "ExchangeError"]

# Seconds. Round trips between zones take milliseconds; a peer that has not accepted by then
# is down or unreachable, and the request's deadline leaves time for another upstream.
CONNECT_TIMEOUT = 0.3
# A peer that acknowledges no data for this time is considered unreachable. It covers
# several round trips between zones and two retransmissions (the kernel sends the first
# after 200 ms, the second 400 ms later). Long bodies are exempt: a peer that reads them late closes its
# window, which the kernel treats alike.
USER_TIMEOUT_MS = 700
# 1 s is the smallest keepalive time and interval that the kernel accepts.
KEEPALIVE_S = 1
KEEPALIVE_PROBES = 2
# Part of the time after which a peer closes an idle connection in which the connection is still used: a
# request that meets the close may have run.
USED_IDLE_PART = 0.8


class ExchangeError(LanedockError):
    """A request that got no answer.

    Attributes
    ----------
    outcome : str
        One of `Outcome`.
    is_unreachable : bool
        Whether the peer is known to be unreachable.
    is_local : bool
        Whether the peer is not at fault: the request's body was late or broke off, or this process stops.
    is_broken : bool
        Whether the connection broke at the peer while the request may have been in progress there.
    """

    def __init__(
        self,
        code: ErrorCode,
        outcome: str,
        message: str = "",
        is_unreachable: bool = False,
        is_local: bool = False,
        is_broken: bool = False,
    ):
        super().__init__(code, message)
        self.is_broken = is_broken
        self.outcome = outcome
        self.is_unreachable = is_unreachable
        self.is_local = is_local


class ConnectionPool:
    """Idle connections by address.

    A connection is checked before it is reused and dropped if the peer has closed it
    or has sent unsolicited data. The check can't detect a connection that stopped
    delivering without a reset; `handle_late_answer` handles that case.

    Parameters
    ----------
    max_idle : int
        Maximum number of idle connections per address.
    connect_timeout : float
        Seconds.
    """

    def __init__(self, max_idle: int = 32, connect_timeout: float = CONNECT_TIMEOUT):
        self._max_idle = max_idle
        self._connect_timeout = connect_timeout
        self._idle: dict[tuple[str, int], list] = {}
        # All open connections, in use or idle.
        self._addresses: WeakKeyDictionary[RecoveringAnswerReader, tuple[str, int]] = WeakKeyDictionary()
        self._heard_at: dict[tuple[str, int], float] = {}

    def __repr__(self) -> str:
        return f"<ConnectionPool idle={sum(map(len, self._idle.values()))}>"

    def get(self, address: tuple[str, int], timeout: float) -> RecoveringAnswerReader:
        """Return the reader of an idle connection, or of a new one.

        Raises
        ------
        ExchangeError
            No connection could be made; the request was not run.
        """
        idle = self._idle.get(address)
        while idle:
            reader, expires_at = idle.pop()
            if monotonic() < expires_at and reader.conn.is_clean():
                return reader
            reader.conn.close()
        return self.connect(address, timeout)

    def connect(self, address: tuple[str, int], timeout: float = CONNECT_TIMEOUT) -> RecoveringAnswerReader:
        """Open a new connection and return its reader.

        Raises
        ------
        ExchangeError
        """
        try:
            conn = open_connection(address, min(timeout, self._connect_timeout), has_limited_buffer=True)
        except OSError as exc:
            message = f"{address}: {exc}"
            raise ExchangeError(ErrorCode.CONNECT_FAILED, Outcome.NOT_RUN, message, True) from exc
        _set_socket_options(conn)
        channel = Channel(conn)
        channel.set_user_timeout(USER_TIMEOUT_MS)
        reader = RecoveringAnswerReader(channel)
        self._addresses[reader] = address
        return reader

    def put(self, address: tuple[str, int], reader: RecoveringAnswerReader, idle_time: float = NEVER) -> None:
        """Return a connection to the pool after its answer was read to the end.

        Parameters
        ----------
        address : tuple of (str, int)
        reader : RecoveringAnswerReader
        idle_time : float
            Seconds after which the peer closes the connection if it is idle.
        """
        idle = self._idle.setdefault(address, [])
        if len(idle) < self._max_idle:
            idle.append((reader, monotonic() + USED_IDLE_PART * idle_time))
        else:
            reader.conn.close()

    def has_open(self, address: tuple[str, int]) -> bool:
        """Return whether any connection to an address, in use or idle, is known to be open."""
        return any(
            reader_address == address and reader.conn.is_clean() for reader, reader_address in self._addresses.items()
        )

    def record_answer_start(self, address: tuple[str, int], now: float) -> None:
        """Record that an answer from an address has begun to arrive."""
        self._heard_at[address] = now

    def handle_late_answer(self, address: tuple[str, int], sent_at: float) -> bool:
        """Record that an answer is later than nearly all others.

        If no answer has come from the address since the request was sent, its connections
        may have stopped delivering: the idle ones are closed, so that the next request uses
        a new one. An address that is only busy answers other requests in that time.

        Parameters
        ----------
        address : tuple of (str, int)
        sent_at : float
            Monotonic seconds at which the request was sent.

        Returns
        -------
        bool
            Whether idle connections were closed.
        """
        if self._heard_at.get(address, float("-inf")) >= sent_at or not self._idle.get(address):
            return False
        self.close_idle(address)
        return True

    def close_idle(self, address: tuple[str, int]) -> None:
        """Close the idle connections to an address."""
        for reader, _ in self._idle.pop(address, ()):
            reader.conn.close()

    def close(self) -> None:
        """Close all idle connections."""
        for address in list(self._idle):
            self.close_idle(address)


def _set_socket_options(conn) -> None:
    """Disable Nagle's algorithm, and detect peers that become unreachable without a reset."""
    tcp = socket.IPPROTO_TCP
    conn.setsockopt(tcp, socket.TCP_NODELAY, 1)
    conn.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    conn.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEPALIVE_S)
    conn.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEPALIVE_S)
    conn.setsockopt(tcp, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
