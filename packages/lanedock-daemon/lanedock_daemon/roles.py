# SPDX-License-Identifier: BSD-3-Clause
"""The services of the daemon roles, put together from settings."""

import gevent

from lanedock.kernel import Kernel, Service
from lanedock.settings import Settings
from lanedock.telemetry import EventLogger, Metrics, Tracer
from lanedock_daemon.agent import AgentService, Board
from lanedock_daemon.agent.service import DrainAsked
from lanedock_daemon.path.caller import CallerSide
from lanedock_daemon.path.pool import ConnectionPool
from lanedock_daemon.path.server import PathServer
from lanedock_daemon.path.upstream import UpstreamSide
from lanedock_daemon.path.wsgi import WsgiPathServer

__all__ = ["add_daemon"]

# After a drain is told, new work may still be on its way for this long.
DRAIN_SETTLE = 0.3


class _DrainService(Service):
    """Tells the mesh, first of all when the process stops, that it takes no new work."""

    name = "drain"

    def __init__(self, agent: AgentService):
        self._agent = agent

    def start(self, kernel: Kernel) -> None:
        """Nothing to do."""

    def stop(self) -> None:
        self._agent.post(DrainAsked())
        gevent.sleep(DRAIN_SETTLE)


def add_daemon(kernel: Kernel, settings: Settings, events: EventLogger, metrics: Metrics, tracer: Tracer) -> None:
    """Add the services of an entry daemon or of an upstream's daemon."""
    board = Board(settings.zone, settings.daemon.stall_limit_ms / 1000)
    agent = AgentService(settings, board, events, metrics)
    kernel.add(agent)
    pool = ConnectionPool()
    stop_timeout = settings.stop_timeout_ms / 1000
    # Both take requests the same way; the second is the benches' baseline.
    server = WsgiPathServer if settings.http_server == "wsgi" else PathServer
    caller = CallerSide(board, pool, events, metrics, tracer)
    if settings.entry is not None:
        kernel.add(server("entry", settings.entry.listen, caller, stop_timeout, events))
    if settings.upstream is not None:
        cfg = settings.upstream
        application = (cfg.application.host, cfg.application.port)
        side = UpstreamSide(cfg.service, application, board, ConnectionPool(), events, metrics, tracer)
        if cfg.egress is not None:
            kernel.add(server("egress", cfg.egress, caller, stop_timeout, events))
        kernel.add(server("upstream", cfg.listen, side, stop_timeout, events))
    kernel.add(_DrainService(agent))
