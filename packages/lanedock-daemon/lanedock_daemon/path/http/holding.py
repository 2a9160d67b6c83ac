# SPDX-License-Identifier: BSD-3-Clause
"""What one connection's requests make the process hold, in bytes and descriptors."""

from collections import deque

from lanedock.clock import monotonic
from lanedock.limits import Holding
from lanedock_daemon.path.http.incoming import Exchange
from lanedock_daemon.path.http.parsed_message import Message
from lanedock_daemon.path.http.parser import RequestReader
from lanedock_daemon.path.http.resource_guard import ResourceGuard

__all__ = ["CONNECTION_BYTES", "ConnectionHolding", "count_request_bytes"]

# Memory of a connection without a request: its channel, parser and greenlet.
CONNECTION_BYTES = 12 * 1024
# Memory of a request in progress: its worker's stack, its state, and a connection to an upstream.
REQUEST_BYTES = 32 * 1024
# Memory of a header line of a request in progress: a tuple with a name, in the lists and look-up tables of each step.
HEADER_LINE_BYTES = 512
# Times that the bytes of a head stand in memory while its request is passed on.
HEAD_COPIES = 3
# Descriptors of a request in progress: a connection to an upstream, and another one for a hedged request or a retry.
REQUEST_DESCRIPTORS = 2


def count_request_bytes(message: Message) -> int:
    """Return how many bytes a request makes the process hold while it is in progress, without its body."""
    return REQUEST_BYTES + HEAD_COPIES * message.head_bytes + HEADER_LINE_BYTES * message.line_count


class ConnectionHolding:
    """Keeps the account of one connection in the budget of its process.

    Parameters
    ----------
    guard : ResourceGuard
    owner : Connection
    reader : RequestReader
    exchanges : deque of Exchange
        The connection's requests in progress, as they are at each call.
    """

    __slots__ = ("_exchanges", "_guard", "_holding", "_reader", "_request_bytes", "_unread_input")

    def __init__(self, guard: ResourceGuard, owner, reader: RequestReader, exchanges: deque[Exchange]):
        self._guard = guard
        self._reader = reader
        self._exchanges = exchanges
        # Bytes of the requests in progress, without their bodies.
        self._request_bytes = 0
        self._unread_input = 0
        self._holding = Holding(owner, monotonic())
        guard.open(self._holding)
        self.update()

    def __repr__(self) -> str:
        return f"<ConnectionHolding {self._holding}>"

    def may_begin(self, message: Message) -> bool:
        """Return whether the process has room for a request of this connection; others may make room for it."""
        return self._guard.admit(count_request_bytes(message), REQUEST_DESCRIPTORS, self._holding)

    def note_begun(self, exchange: Exchange) -> None:
        """Record that a request begins."""
        exchange.held_bytes = count_request_bytes(exchange.message)
        self._request_bytes += exchange.held_bytes
        self.update()

    def note_ended(self, exchange: Exchange) -> None:
        """Record that a request has ended, after it was removed from the requests in progress."""
        self._request_bytes -= exchange.held_bytes
        self._holding.since = self._exchanges[0].message.read_at if self._exchanges else monotonic()
        self.update()

    def count_unread_body_bytes(self) -> int:
        """Return how many bytes of bodies of the requests in progress were received and not consumed."""
        return sum(exchange.message.count_unread_bytes() for exchange in self._exchanges)

    def note_unread_input(self, size: int) -> None:
        """Set how many bytes have arrived that were not read."""
        self._unread_input = size
        self.update()

    def note_input_read(self) -> None:
        """Record that what had arrived was read; a request that begins reports itself."""
        self._unread_input = 0
        if self._reader.has_unread_data() or self.count_unread_body_bytes():
            self.update()

    def update(self) -> None:
        """Report to the guard what the connection holds now."""
        size = CONNECTION_BYTES + self._unread_input + self._reader.count_held_bytes() + self._request_bytes
        for exchange in self._exchanges:
            size += exchange.message.count_unread_bytes() + exchange.message.kept_bytes
        if self._holding.size <= CONNECTION_BYTES < size:
            # The time for which it was idle before doesn't count.
            self._holding.since = monotonic()
        self._holding.has_requests = bool(self._exchanges)
        self._guard.update(self._holding, size, 1 + REQUEST_DESCRIPTORS * len(self._exchanges))

    def close(self) -> None:
        """Remove the connection from the budget."""
        self._guard.close(self._holding)
