# SPDX-License-Identifier: BSD-3-Clause
"""The framed transport: protobuf messages with a length in front, on gevent sockets.

A connection begins with one byte that says what it is for; frames follow.
"""

import gevent
from gevent.server import StreamServer

from lanedock.errors import ErrorCode, LanedockError
from lanedock.kernel import Kernel, TaskService
from lanedock.settings import Address
from lanedock.wire import messages
from lanedock_daemon.framed_links import FOR_REPLICAS, FramedLinks, serve_replica
from lanedock_daemon.frames import FrameWriter, connect, run_both, tune
from lanedock_daemon.sessions import ChildArrived, ChildLeft, ChildReported
from lanedock_daemon.transport import (
    Listener,
    PeerLinks,
    Session,
    SourceEnded,
    SourceSent,
    SourceStream,
    Transport,
)

__all__ = ["FramedTransport"]

# What a connection's first byte says that it is for.
_FOR_DAEMONS = b"D"
BACKLOG = 1024


class _FramedSource(SourceStream):
    """A stream from a source."""

    def __init__(self, owner: TaskService, address: Address, context):
        super().__init__(owner, address)
        self._context = context
        self._writer: FrameWriter | None = None
        self._early: list[bytes] = []
        self._task = None
        self._is_closed = False

    def open(self, first: messages.DaemonMessage) -> None:
        self._task = gevent.spawn(self._run, first.SerializeToString())

    def _run(self, first: bytes) -> None:
        reason = "closed"
        try:
            conn = connect(self.address, _FOR_DAEMONS, self._context, self.connect_limit)
            self._writer = FrameWriter(conn)
            for data in (first, *self._early):
                self._writer.put(data)
            if not self._is_closed:
                reason = run_both(conn, self._writer, self._take)
        except OSError as exc:
            reason = repr(exc)
        self._owner.post(SourceEnded(self, reason))

    def _take(self, data: bytes) -> None:
        self._owner.post(SourceSent(self, messages.ControlMessage.FromString(data)))

    def send(self, message: messages.DaemonMessage) -> None:
        data = message.SerializeToString()
        if self._writer is None:
            # Sent once there is a connection: whoever sends it takes it for sent.
            self._early.append(data)
        else:
            self._writer.put(data)

    def close(self) -> None:
        self._is_closed = True
        if self._writer is not None:
            self._writer.close()


class _FramedSession(Session):
    """A daemon's stream, on the server's side."""

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
    """Frames on gevent sockets; mutual TLS where settings have it."""

    def start(self, kernel: Kernel) -> None:
        """Nothing to do."""

    def stop(self) -> None:
        """Nothing to do: streams end with their owners."""

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

    def peer_links(self, addresses: dict[str, Address]) -> PeerLinks:
        return FramedLinks(addresses, self._client_context())

    def serve_daemons(self, owner: TaskService, address: Address) -> Listener:
        return self._serve(owner, address, {_FOR_DAEMONS: _serve_daemon})

    def serve_control(self, owner: TaskService, address: Address) -> Listener:
        return self._serve(owner, address, {_FOR_DAEMONS: _serve_daemon, FOR_REPLICAS: serve_replica})

    def _serve(self, owner: TaskService, address: Address, handlers: dict) -> Listener:
        context = self._server_context()

        def accept(conn, peer) -> None:
            try:
                tune(conn)
                if context is not None:
                    conn = context.wrap_socket(conn, server_side=True)
                handler = handlers.get(conn.recv(1))
                if handler is not None:
                    handler(owner, conn)
            except OSError:
                pass  # the peer has gone; it comes back by itself
            finally:
                conn.close()

        server = StreamServer((address.host, address.port), accept, backlog=BACKLOG)
        try:
            server.start()
        except OSError as exc:
            raise LanedockError(ErrorCode.ADDRESS_TAKEN, f"{address}: {exc}") from exc
        return _FramedListener(server)


def _serve_daemon(owner: TaskService, conn) -> None:
    """Turn a daemon's stream into messages to the task that owns the sessions."""
    writer = FrameWriter(conn)
    session = _FramedSession(writer)
    has_arrived = False

    def take(data: bytes) -> None:
        nonlocal has_arrived
        message = messages.DaemonMessage.FromString(data)
        owner.post(ChildReported(session, message) if has_arrived else ChildArrived(session, message))
        has_arrived = True

    try:
        run_both(conn, writer, take)
    finally:
        if has_arrived:
            owner.post(ChildLeft(session))
