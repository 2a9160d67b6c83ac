# SPDX-License-Identifier: BSD-3-Clause
"""The framed transport: protobuf messages with a length in front, on gevent sockets.

The first byte of a connection names its purpose; frames follow.
"""

import gevent
from gevent.server import StreamServer

from lanedock.errors import ErrorCode, LanedockError
from lanedock.kernel import Kernel, TaskService
from lanedock.settings import Address
from lanedock.wire import messages
from lanedock_daemon.framed_links import PURPOSE_REPLICAS, FramedLinks, serve_replica
from lanedock_daemon.framed_quotas import PURPOSE_QUOTAS, FramedQuotaStream, serve_quotas
from lanedock_daemon.frames import MAX_DAEMON_FRAME, FrameWriter, connect, exchange_frames, set_socket_options
from lanedock_daemon.sessions import ChildArrived, ChildLeft, ChildReported
from lanedock_daemon.transport import (
    Listener,
    PeerLinks,
    QuotaStream,
    Session,
    SourceEnded,
    SourceSent,
    SourceStream,
    Transport,
)

__all__ = ["FramedTransport"]

# First byte of a connection that carries a daemon's stream.
_PURPOSE_DAEMONS = b"D"
# Connections that the kernel queues until they are accepted.
BACKLOG = 1024


class _FramedSource(SourceStream):
    """A daemon's stream from a source, over frames."""

    def __init__(self, owner: TaskService, address: Address, context):
        super().__init__(owner, address)
        self._context = context
        self._writer: FrameWriter | None = None
        self._unsent: list[bytes] = []
        self._task = None
        self._is_closed = False

    def open(self, first: messages.DaemonMessage) -> None:
        self._task = gevent.spawn(self._run, first.SerializeToString())

    def _run(self, first: bytes) -> None:
        reason = "closed"
        try:
            conn = connect(self.address, _PURPOSE_DAEMONS, self._context, self.connect_limit)
            self._writer = FrameWriter(conn)
            for data in (first, *self._unsent):
                self._writer.put(data)
            if not self._is_closed:
                reason = exchange_frames(conn, self._writer, self._handle_message)
        except OSError as exc:
            reason = repr(exc)
        self._owner.post(SourceEnded(self, reason))

    def _handle_message(self, data: bytes) -> None:
        self._owner.post(SourceSent(self, messages.ControlMessage.FromString(data)))

    def send(self, message: messages.DaemonMessage) -> None:
        data = message.SerializeToString()
        if self._writer is None:
            # Kept until the connection is established: the caller does not send it again.
            self._unsent.append(data)
        else:
            self._writer.put(data)

    def close(self) -> None:
        self._is_closed = True
        if self._writer is not None:
            self._writer.close()


class _FramedSession(Session):
    """The server's side of a daemon's stream, over frames."""

    def __init__(self, writer: FrameWriter):
        super().__init__()
        self._writer = writer

    def send(self, batch: list[messages.ControlMessage]) -> None:
        for message in batch:
            data = message.SerializeToString()
            self.bytes_sent += len(data)
            if not self._writer.put(data):
                self.close()
                return

    def close(self) -> None:
        self._writer.close()


class _FramedListener(Listener):
    def __init__(self, server: StreamServer):
        self._server = server

    def close(self) -> None:
        self._server.stop(timeout=0)


class FramedTransport(Transport):
    """Transport of frames over gevent sockets, with mutual TLS if the settings configure it."""

    def start(self, kernel: Kernel) -> None:
        """Do nothing: this transport needs no other service."""

    def stop(self) -> None:
        """Do nothing: each stream is closed by the task that owns it."""

    def _client_context(self):
        if self._tls is None:
            return None
        from lanedock.settings.tls import make_client_context

        return make_client_context(self._tls)

    def _server_context(self):
        if self._tls is None:
            return None
        from lanedock.settings.tls import make_server_context

        return make_server_context(self._tls)

    def open_source(self, owner: TaskService, address: Address) -> SourceStream:
        return _FramedSource(owner, address, self._client_context())

    def open_quota_stream(self, address: Address, on_reply, on_end) -> QuotaStream:
        return FramedQuotaStream(address, on_reply, on_end, self._client_context())

    def peer_links(self, addresses: dict[str, Address]) -> PeerLinks:
        return FramedLinks(addresses, self._client_context())

    def serve_daemons(self, owner: TaskService, address: Address) -> Listener:
        return self._serve(address, {_PURPOSE_DAEMONS: (_serve_daemon, owner)})

    def serve_control(self, owner: TaskService, address: Address, quotas: TaskService | None = None) -> Listener:
        handlers = {_PURPOSE_DAEMONS: (_serve_daemon, owner), PURPOSE_REPLICAS: (serve_replica, owner)}
        if quotas is not None:
            handlers[PURPOSE_QUOTAS] = (serve_quotas, quotas)
        return self._serve(address, handlers)

    def _serve(self, address: Address, handlers: dict) -> Listener:
        """Accept connections; `handlers` maps a purpose to a function and to the task that it posts to."""
        context = self._server_context()

        def accept(conn, peer) -> None:
            try:
                set_socket_options(conn)
                if context is not None:
                    conn = context.wrap_socket(conn, server_side=True)
                handler, owner = handlers.get(conn.recv(1), (None, None))
                if handler is not None:
                    handler(owner, conn)
            except OSError:
                pass  # the peer has disconnected, and reconnects on its own
            finally:
                conn.close()

        server = StreamServer((address.host, address.port), accept, backlog=BACKLOG)
        try:
            server.start()
        except OSError as exc:
            raise LanedockError(ErrorCode.ADDRESS_TAKEN, f"cannot listen on {address}: {exc}") from exc
        return _FramedListener(server)


def _serve_daemon(owner: TaskService, conn) -> None:
    """Post a daemon's messages to the task that owns the sessions."""
    writer = FrameWriter(conn)
    session = _FramedSession(writer)
    has_arrived = False

    def handle_message(data: bytes) -> None:
        nonlocal has_arrived
        message = messages.DaemonMessage.FromString(data)
        owner.post(ChildReported(session, message) if has_arrived else ChildArrived(session, message))
        has_arrived = True

    try:
        exchange_frames(conn, writer, handle_message, MAX_DAEMON_FRAME)
    finally:
        if has_arrived:
            owner.post(ChildLeft(session))
