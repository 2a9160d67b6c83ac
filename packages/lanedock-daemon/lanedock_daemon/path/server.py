# SPDX-License-Identifier: BSD-3-Clause
"""HTTP servers of the request path: gevent's sockets and httptools' parser.

gevent's WSGI server stands in `lanedock_daemon.path.wsgi` as the baseline; a hop
over it costs several times as much, and it can't notice that a caller has gone.
"""

import gevent
from gevent import socket
from gevent.server import StreamServer

from lanedock.clock import monotonic
from lanedock.kernel import Kernel, StopPlan
from lanedock.settings import Address
from lanedock.telemetry import Event, EventLogger
from lanedock_daemon.path.channel import Channel
from lanedock_daemon.path.connection import IDLE_TIMEOUT, Connection
from lanedock_daemon.path.incoming import Worker
from lanedock_daemon.path.service import HttpService

__all__ = ["PathServer"]

HEAD_TIMEOUT = 10.0
BACKLOG = 1024
SWEEP_INTERVAL = 1.0


class PathServer(HttpService):
    """The server that runs; its first parameters are those of `HttpService`.

    Parameters
    ----------
    limits_of : callable, optional
        Returns the `CallerLimits` in force, or None.
    max_kept : int, optional
        Connections from which on each is closed after its answer.

    Attributes
    ----------
    limits : CallerLimits or None
        As they were in force at the last sweep.
    """

    def __init__(
        self,
        name: str,
        address: Address,
        side,
        plan: StopPlan,
        events: EventLogger,
        limits_of=lambda: None,
        max_kept=None,
        closes_last: bool = False,
    ):
        self._max_kept = max_kept
        super().__init__(name, address, side, plan, events, closes_last)
        self.limits = None
        self._limits_of = limits_of
        self._connections: dict[Connection, None] = {}
        self._sweeper = None
        self._idle_workers: list[Worker] = []

    def _make_server(self, listener: tuple[str, int]) -> StreamServer:
        return StreamServer(listener, self._accept, backlog=BACKLOG)

    def start(self, kernel: Kernel) -> None:
        super().start(kernel)
        self._sweeper = gevent.spawn(self._sweep)

    def stop(self) -> None:
        super().stop()
        self._sweeper.kill()

    def _answer_rest(self) -> None:
        """Have everything answered that has no answer yet.

        Cut with the process, a request that was read would leave its caller without
        a word on whether it ran.
        """
        count = sum(connection.answer_all() for connection in list(self._connections))
        if count:
            self._events.emit(Event.CUT_SHORT, requests=count)

    def _is_idle(self) -> bool:
        """End idle connections; tell whether none is left.

        Ended with the server they would take along a request that is just being
        read: its caller would get no answer, though it may have been passed on.
        """
        for connection in list(self._connections):
            connection.end_if_idle()
        return not (self.in_progress or self._connections)

    def read_timeouts(self) -> tuple[float, float]:
        """Return how long a head may take and an idle connection is kept, in seconds."""
        if self.limits is None:
            return HEAD_TIMEOUT, IDLE_TIMEOUT
        return self.limits.header_timeout_ms / 1000, self.limits.idle_timeout_ms / 1000

    def is_crowded(self) -> bool:
        """Tell whether there are more connections than are to be kept."""
        return self._max_kept is not None and len(self._connections) > self._max_kept

    def _end_oldest_idle(self) -> None:
        """End the oldest connection that has no request, so that new ones can be accepted.

        Without this, connections that callers keep and don't use hold all of the
        process's descriptors until they time out, and nobody new is served.
        """
        for connection in self._connections:
            if connection.is_idle():
                connection.expire()
                return

    @property
    def is_in_stop(self) -> bool:
        """Whether the process stops: answers that stream out then may be cut."""
        return self._plan.is_begun

    def is_over(self) -> bool:
        """Tell whether the process stops, and its final answers have been given."""
        return self._plan.is_begun and monotonic() >= self._plan.deadline

    def take_worker(self) -> Worker:
        """Return a worker that has nothing to do."""
        return self._idle_workers.pop() if self._idle_workers else Worker(self._idle_workers)

    def report(self, exc: Exception) -> None:
        """Log a failure of the side that nobody foresaw."""
        self._events.emit(Event.UNEXPECTED, error=repr(exc))

    def _sweep(self) -> None:
        while True:
            gevent.sleep(SWEEP_INTERVAL)
            self.limits = self._limits_of()
            now = monotonic()
            for connection in list(self._connections):
                if connection.expires_at < now:
                    connection.expire()
                elif self.is_stopping:
                    connection.end_if_idle()

    def _accept(self, conn, address) -> None:
        conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if self.is_crowded():
            self._end_oldest_idle()
        connection = Connection(self, Channel(conn))
        self._connections[connection] = None
        try:
            connection.run()
        finally:
            del self._connections[connection]
