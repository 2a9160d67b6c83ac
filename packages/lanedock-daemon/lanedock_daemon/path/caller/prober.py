# SPDX-License-Identifier: BSD-3-Clause
"""Probing of unreachable upstreams until they are reachable again.

Requests must not serve as probes: they would spend their callers' time waiting for a
connection that can't be made.
"""

import random
from collections.abc import Callable

import gevent

from lanedock.clock import monotonic
from lanedock.routing import Balancer, UpstreamStats
from lanedock.telemetry import Event, EventLogger
from lanedock_daemon.path.shared.pool import ConnectionPool, ExchangeError

__all__ = ["UpstreamProber"]

# Seconds before the first probe, short because a single lost packet may be the cause, and
# the maximum between two probes, so that a recovered upstream is used again within a second.
INITIAL_INTERVAL = 0.1
MAX_INTERVAL = 1.0


class UpstreamProber:
    """Tries to connect to an unreachable upstream's daemon until it succeeds.

    Parameters
    ----------
    pool : ConnectionPool
        Receives the connection of the successful probe.
    events : EventLogger
    idle_time : callable
        Returns the seconds after which daemons close idle connections.
    """

    def __init__(self, pool: ConnectionPool, events: EventLogger, idle_time: Callable[[], float]):
        self._pool = pool
        self._idle_time = idle_time
        self._events = events

    def run(self, balancer: Balancer, stats: UpstreamStats) -> None:
        """Probe until the upstream is reached, or until the balancer no longer needs probes of it."""
        interval = INITIAL_INTERVAL
        while True:
            gevent.sleep(interval * random.uniform(0.75, 1.25))
            if not balancer.is_probing(stats):
                return
            if self._try_connect(stats.address):
                self._events.emit(Event.REACHED, upstream=stats.endpoint.instance, failed_probes=stats.failed_probes)
                balancer.note_probe(stats, True, monotonic())
                return
            balancer.note_probe(stats, False, monotonic())
            interval = min(2 * interval, MAX_INTERVAL)

    def _try_connect(self, address: tuple[str, int]) -> bool:
        try:
            reader = self._pool.connect(address)
        except ExchangeError:
            return False
        self._pool.put(address, reader, self._idle_time())
        return True
