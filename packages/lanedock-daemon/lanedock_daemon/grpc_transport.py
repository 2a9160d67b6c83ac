# SPDX-License-Identifier: BSD-3-Clause
"""The gRPC transport: grpclib on an asyncio loop in the process's main thread."""

from lanedock.kernel import Kernel, TaskService
from lanedock.kernel.loop import LoopService
from lanedock.settings import Address
from lanedock.settings.tls import make_client_context, make_server_context
from lanedock_daemon.agent.grpc_source import GrpcSource
from lanedock_daemon.control.grpc_links import GrpcLinks
from lanedock_daemon.grpc_sessions import DistributionServer
from lanedock_daemon.network import start_server
from lanedock_daemon.quota.grpc_streams import GrpcQuotaStream
from lanedock_daemon.transport import Listener, PeerLinks, QuotaStream, SourceStream, Transport

__all__ = ["GrpcTransport"]


class _GrpcListener(Listener):
    def __init__(self, loop: LoopService, server):
        self._loop = loop
        self._server = server

    def close(self) -> None:
        self._loop.call(self._server.close)


class GrpcTransport(Transport):
    """Transport of gRPC streams; control instances serve operators' calls at the same address."""

    def start(self, kernel: Kernel) -> None:
        self._loop: LoopService = kernel.find("loop")

    def stop(self) -> None:
        """Do nothing: each stream is closed by the task that owns it."""

    def open_source(self, owner: TaskService, address: Address) -> SourceStream:
        return GrpcSource(owner, self._loop, address, make_client_context(self._tls))

    def open_quota_stream(self, address: Address, on_reply, on_end) -> QuotaStream:
        return GrpcQuotaStream(self._loop, address, on_reply, on_end, make_client_context(self._tls))

    def peer_links(self, addresses: dict[str, Address]) -> PeerLinks:
        return GrpcLinks(self._loop, addresses, make_client_context(self._tls))

    def serve_daemons(self, owner: TaskService, address: Address) -> Listener:
        return self._serve([DistributionServer(owner, self._loop)], address)

    def serve_control(self, owner: TaskService, address: Address, quotas: TaskService | None = None) -> Listener:
        from lanedock_daemon.control.server import OperatorsServer, ReplicationServer
        from lanedock_daemon.quota.grpc_server import QuotasServer

        handlers = [ReplicationServer(owner), DistributionServer(owner, self._loop), OperatorsServer(owner, self._loop)]
        if quotas is not None:
            handlers.append(QuotasServer(quotas, self._loop))
        return self._serve(handlers, address)

    def _serve(self, handlers: list, address: Address) -> Listener:
        server = self._loop.wait(start_server(handlers, address, make_server_context(self._tls)))
        return _GrpcListener(self._loop, server)
