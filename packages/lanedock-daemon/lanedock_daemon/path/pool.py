# SPDX-License-Identifier: BSD-3-Clause
"""Connections to daemons and applications, and one exchange over one of them.

geventhttpclient's own client sends a request again by itself when a pooled
connection turns out closed, which a request that may not be repeated must not
suffer. So its parser is used on connections that are kept here.
"""

import socket as plain_socket

import gevent
from gevent import socket
from geventhttpclient.response import HTTPParseError, HTTPSocketPoolResponse

from lanedock.errors import ErrorCode, LanedockError
from lanedock_daemon.path.http import HOP_HEADERS, Outcome, Request

__all__ = ["ConnectionPool", "ExchangeError", "exchange"]

CONNECT_TIMEOUT = 1.0
CHUNK = 64 * 1024


class ExchangeError(LanedockError):
    """A request got no answer.

    Attributes
    ----------
    outcome : str
        One of `Outcome`.
    """

    def __init__(self, code: ErrorCode, outcome: str, message: str = ""):
        super().__init__(code, message)
        self.outcome = outcome


class ConnectionPool:
    """Idle connections by address.

    A connection is checked before it is used again: one that the other side
    has closed, or on which something unasked came, is dropped.

    Parameters
    ----------
    max_idle : int
        Idle connections kept for one address.
    """

    def __init__(self, max_idle: int = 32):
        self._max_idle = max_idle
        self._idle: dict[tuple[str, int], list] = {}

    def __repr__(self) -> str:
        return f"<ConnectionPool idle={sum(map(len, self._idle.values()))}>"

    def get(self, address: tuple[str, int], timeout: float):
        """Return a connection.

        Raises
        ------
        ExchangeError
            None could be made; the request was not run.
        """
        idle = self._idle.get(address)
        while idle:
            conn = idle.pop()
            if _is_clean(conn):
                return conn
            conn.close()
        try:
            conn = socket.create_connection(address, timeout=min(timeout, CONNECT_TIMEOUT))
        except OSError as exc:
            raise ExchangeError(ErrorCode.CONNECT_FAILED, Outcome.NOT_RUN, f"{address}: {exc}") from exc
        conn.setsockopt(plain_socket.IPPROTO_TCP, plain_socket.TCP_NODELAY, 1)
        return conn

    def put(self, address: tuple[str, int], conn) -> None:
        """Take back a connection whose answer was read to its end."""
        idle = self._idle.setdefault(address, [])
        if len(idle) < self._max_idle:
            idle.append(conn)
        else:
            conn.close()

    def forget(self, address: tuple[str, int]) -> None:
        """Close the idle connections to an address."""
        for conn in self._idle.pop(address, ()):
            conn.close()

    def close(self) -> None:
        """Close all idle connections."""
        for address in list(self._idle):
            self.forget(address)


def _is_clean(conn) -> bool:
    """Tell whether an idle connection is open and silent."""
    try:
        # The plain call: a readable idle connection is closed or has bytes
        # on it that nobody asked for.
        conn._sock.recv(1, plain_socket.MSG_PEEK | plain_socket.MSG_DONTWAIT)
    except BlockingIOError:
        return True
    except OSError:
        return False
    return False


class _Return:
    """Gives a connection back to its pool once its answer was read to the end."""

    def __init__(self, pool: ConnectionPool, address: tuple[str, int]):
        self._pool = pool
        self._address = address

    def return_socket(self, conn) -> None:
        self._pool.put(self._address, conn)

    def release_socket(self, conn) -> None:
        conn.close()


def exchange(
    pool: ConnectionPool, address: tuple[str, int], request: Request, headers: list[tuple[str, str]], timeout: float
) -> HTTPSocketPoolResponse:
    """Send a request and read the head of its answer.

    Parameters
    ----------
    pool : ConnectionPool
    address : tuple of (str, int)
    request : Request
    headers : list of tuple of (str, str)
        Sent instead of the request's own.
    timeout : float
        Seconds for everything up to the answer's head.

    Returns
    -------
    HTTPSocketPoolResponse
        Its body is still to be read.

    Raises
    ------
    ExchangeError
        With what is known of the outcome.
    """
    deadline = gevent.get_hub().loop.now() + timeout
    conn = pool.get(address, timeout)
    sent = False
    try:
        with gevent.Timeout(timeout):
            sent = True
            _send(conn, request, headers)
            conn.settimeout(max(0.001, deadline - gevent.get_hub().loop.now()))
            return HTTPSocketPoolResponse(conn, _Return(pool, address), block_size=CHUNK, method=request.method)
    except gevent.Timeout as exc:
        conn.close()
        raise ExchangeError(ErrorCode.ANSWER_TIMEOUT, Outcome.UNKNOWN, f"{address}: no answer in time") from exc
    except (OSError, HTTPParseError) as exc:
        conn.close()
        outcome = Outcome.UNKNOWN if sent else Outcome.NOT_RUN
        raise ExchangeError(ErrorCode.ANSWER_LOST, outcome, f"{address}: {exc!r}") from exc
    except BaseException:
        conn.close()
        raise


def _send(conn, request: Request, headers: list[tuple[str, str]]) -> None:
    """Write a request: its head, and a small body with it, in one piece."""
    body = request.body
    lines = [f"{request.method} {request.target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers if name not in HOP_HEADERS and name != "content-length"]
    if body.length is None:
        lines.append("transfer-encoding: chunked")
    elif body.length or request.method in ("POST", "PUT", "PATCH"):
        lines.append(f"content-length: {body.length}")
    head = ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")
    if body.length == 0:
        conn.sendall(head)
        return
    piece = body.read(CHUNK)
    if body.length is not None:
        conn.sendall(head + piece)
        left = body.length - len(piece)
        while left > 0 and (piece := body.read(min(CHUNK, left))):
            conn.sendall(piece)
            left -= len(piece)
        if left:
            raise ConnectionError("the caller went away before the end of the body")
        return
    conn.sendall(head)
    while piece:
        conn.sendall(b"%x\r\n%b\r\n" % (len(piece), piece))
        piece = body.read(CHUNK)
    conn.sendall(b"0\r\n\r\n")
