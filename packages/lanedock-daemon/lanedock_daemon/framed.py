# SPDX-License-Identifier: BSD-3-Clause
"""The framed transport: protobuf messages with a length in front, on gevent sockets.

A connection begins with one byte that says what it is for. Each frame is a
length of four bytes, big endian, and a serialized message.
"""

import random
import socket as plain_socket
import struct
import time

import gevent
from gevent import socket
from gevent.event import Event as Signal
from gevent.server import StreamServer

from lanedock.consensus.core import replica_name
from lanedock.errors import ErrorCode, LanedockError
from lanedock.kernel import Kernel, TaskService
from lanedock.settings import Address
from lanedock.wire import messages
from lanedock_daemon.sessions import ChildArrived, ChildLeft, ChildReported
from lanedock_daemon.transport import (
    Listener,
    PeerLinks,
    PeerMessageArrived,
    Session,
    SourceEnded,
    SourceSent,
    SourceStream,
    Transport,
)

__all__ = ["FramedTransport"]

_LENGTH = struct.Struct(">I")
_FOR_DAEMONS = b"D"
_FOR_REPLICAS = b"R"
# A longer frame is no message of lanedock's: versions are at most 16 MB.
MAX_FRAME = 64 * 1024 * 1024
RECEIVE = 64 * 1024
# Seconds in which a connection has to be made. A machine without power drops the
# opening packet, which the kernel sends again after a second: without this limit a
# herd that came back waited up to 0.8 s longer for control that had a leader again.
# A round trip takes tens of milliseconds at the most, between regions too.
CONNECT_TIMEOUT = 0.2
# Seconds for a connection's first messages, of which TLS has several: both sides
# may be starting, on a part of a core.
HANDSHAKE_TIMEOUT = 1.0
# A reader that has not taken this many bytes is cut off; it comes back and is
# then sent only what it lacks.
MAX_BACKLOG = 8 * 1024 * 1024
BACKLOG = 1024
RECONNECT_MIN = 0.05
# Replicas that were killed together come back within tenths of a second of each
# other; there are seven of them at the most.
RECONNECT_MAX = 0.2
# A link is opened anew when the peer is silent for this long, in seconds: its
# connection may have been cut without a sign. Leaders speak every 0.15 s.
SILENCE_LIMIT = 1.5
# A link that nothing was sent over for this long, in seconds, is to a replica that
# was replaced: those that take part are sent something every second.
UNUSED_LIMIT = 30.0
# Messages to a replica that can't be reached now; older ones are dropped.
MAX_QUEUED = 256


class _Writer:
    """Sends frames from a queue, several at once where several wait."""

    def __init__(self, conn):
        self._conn = conn
        self._queue: list[bytes] = []
        self._size = 0
        self._wake = Signal()
        self._is_closed = False

    def put(self, data: bytes) -> bool:
        """Queue a message; False where the other side takes nothing any more."""
        if self._is_closed or self._size > MAX_BACKLOG:
            return False
        self._queue.append(_LENGTH.pack(len(data)) + data)
        self._size += len(data)
        self._wake.set()
        return True

    def close(self) -> None:
        """Stop once all that is queued was sent."""
        self._is_closed = True
        self._wake.set()

    def run(self) -> None:
        """Send until closed or the connection breaks."""
        while True:
            if not self._queue:
                if self._is_closed:
                    return
                self._wake.clear()
                self._wake.wait()
                continue
            batch, self._queue, self._size = self._queue, [], 0
            self._conn.sendall(b"".join(batch))


def _read_frames(conn, take) -> None:
    """Read frames until the connection ends, and hand each to `take`."""
    buffer = bytearray()
    while data := conn.recv(RECEIVE):
        buffer += data
        start = 0
        while len(buffer) - start >= _LENGTH.size:
            (length,) = _LENGTH.unpack_from(buffer, start)
            if length > MAX_FRAME:
                raise ConnectionError(f"a frame of {length} bytes")
            end = start + _LENGTH.size + length
            if len(buffer) < end:
                break
            take(bytes(buffer[start + _LENGTH.size : end]))
            start = end
        del buffer[:start]


def _run_both(conn, writer: _Writer, take) -> str:
    """Read and write until either ends; returns the reason."""
    reading = gevent.spawn(_guarded, _read_frames, conn, take)
    writing = gevent.spawn(_guarded, writer.run)
    try:
        done = gevent.wait([reading, writing], count=1)
        return done[0].value
    finally:
        writer.close()
        gevent.killall([reading, writing])
        conn.close()


def _guarded(function, *arguments) -> str:
    try:
        function(*arguments)
    except (OSError, ValueError) as exc:
        return repr(exc)
    except Exception as exc:  # protobuf's DecodeError has no common base here
        return f"not a message: {exc!r}"
    return "closed"


def _connect(address: Address, purpose: bytes, context):
    """Connect, and say what for.

    Raises
    ------
    OSError
    """
    conn = socket.create_connection((address.host, address.port), timeout=CONNECT_TIMEOUT)
    try:
        conn.settimeout(HANDSHAKE_TIMEOUT)
        conn.setsockopt(plain_socket.IPPROTO_TCP, plain_socket.TCP_NODELAY, 1)
        if context is not None:
            conn = context.wrap_socket(conn)
        conn.settimeout(None)
        conn.sendall(purpose)
    except BaseException:
        conn.close()
        raise
    return conn


class _FramedSource(SourceStream):
    """A stream from a source."""

    def __init__(self, owner: TaskService, address: Address, context):
        super().__init__(owner, address)
        self._context = context
        self._writer: _Writer | None = None
        self._early: list[bytes] = []
        self._task = None
        self._is_closed = False

    def open(self, first: messages.DaemonMessage) -> None:
        self._task = gevent.spawn(self._run, first.SerializeToString())

    def _run(self, first: bytes) -> None:
        reason = "closed"
        try:
            conn = _connect(self.address, _FOR_DAEMONS, self._context)
            self._writer = _Writer(conn)
            for data in (first, *self._early):
                self._writer.put(data)
            if not self._is_closed:
                reason = _run_both(conn, self._writer, self._take)
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

    def __init__(self, writer: _Writer):
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


class _Link:
    """The link to one replica: a queue and the connection that empties it."""

    def __init__(self, address: Address, context):
        self._address = address
        self._context = context
        self._queue: list[bytes] = []
        self._writer: _Writer | None = None
        self.heard_at = time.monotonic()
        self.used_at = time.monotonic()
        self.task = None

    def put(self, data: bytes) -> None:
        """Send a message, or keep it; the protocol bears the loss of the oldest."""
        self.used_at = time.monotonic()
        if self._writer is not None:
            self._writer.put(data)
            return
        self._queue.append(data)
        del self._queue[:-MAX_QUEUED]

    def run(self) -> None:
        """Keep a connection, and open it anew when it breaks; ends where the link is not used any more."""
        delay = RECONNECT_MIN
        while time.monotonic() - self.used_at < UNUSED_LIMIT:
            opened_at = time.monotonic()
            try:
                self._exchange(opened_at)
            except OSError:
                pass  # the peer is away: tried again below
            lasted = time.monotonic() - opened_at
            delay = RECONNECT_MIN if lasted > RECONNECT_MAX else min(delay * 2, RECONNECT_MAX)
            gevent.sleep(random.uniform(0, delay))

    def _exchange(self, opened_at: float) -> None:
        conn = _connect(self._address, _FOR_REPLICAS, self._context)
        writer = _Writer(conn)
        for data in self._queue:
            writer.put(data)
        self._queue = []
        self._writer = writer
        watching = gevent.spawn(self._watch, writer, opened_at)
        try:
            _run_both(conn, writer, lambda data: None)
        finally:
            self._writer = None
            watching.kill()

    def _watch(self, writer: _Writer, opened_at: float) -> None:
        """End the connection when it is used and nothing is heard from the peer."""
        while True:
            gevent.sleep(SILENCE_LIMIT / 2)
            now = time.monotonic()
            silent = now - max(self.heard_at, opened_at) > SILENCE_LIMIT
            if silent and now - self.used_at < SILENCE_LIMIT:
                writer.close()
                return


class _FramedLinks(PeerLinks):
    """Links to other replicas; one that is named by its address needs no entry."""

    def __init__(self, addresses: dict[str, Address], context):
        self._addresses = dict(addresses)
        self._context = context
        self._links: dict[str, _Link] = {}

    def start(self) -> None:
        for name in self._addresses:
            self._link(name)

    def _link(self, name: str) -> _Link | None:
        link = self._links.get(name)
        if link is not None:
            return link
        address = self._addresses.get(name)
        if address is None:
            try:
                address = Address.parse(name)
            except ValueError:
                return None
        link = self._links[name] = _Link(address, self._context)
        link.task = gevent.spawn(link.run)
        # One that has ended is made anew should it be wanted again.
        link.task.link(lambda task: self._links.pop(name, None))
        return link

    def send(self, batch: list[messages.PeerMessage]) -> None:
        for message in batch:
            link = self._link(replica_name(message.receiver))
            if link is not None:
                link.put(message.SerializeToString())

    def note_heard(self, sender: str, now: float) -> None:
        link = self._links.get(replica_name(sender))
        if link is not None:
            link.heard_at = now


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
        return _FramedLinks(addresses, self._client_context())

    def serve_daemons(self, owner: TaskService, address: Address) -> Listener:
        return self._serve(owner, address, {_FOR_DAEMONS: _serve_daemon})

    def serve_control(self, owner: TaskService, address: Address) -> Listener:
        return self._serve(owner, address, {_FOR_DAEMONS: _serve_daemon, _FOR_REPLICAS: _serve_replica})

    def _serve(self, owner: TaskService, address: Address, handlers: dict) -> Listener:
        context = self._server_context()

        def accept(conn, peer) -> None:
            try:
                conn.setsockopt(plain_socket.IPPROTO_TCP, plain_socket.TCP_NODELAY, 1)
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
    writer = _Writer(conn)
    session = _FramedSession(writer)
    has_arrived = False

    def take(data: bytes) -> None:
        nonlocal has_arrived
        message = messages.DaemonMessage.FromString(data)
        owner.post(ChildReported(session, message) if has_arrived else ChildArrived(session, message))
        has_arrived = True

    try:
        _run_both(conn, writer, take)
    finally:
        if has_arrived:
            owner.post(ChildLeft(session))


def _serve_replica(owner: TaskService, conn) -> None:
    """Turn a replica's stream into messages to the control task."""
    _read_frames(conn, lambda data: owner.post(PeerMessageArrived(messages.PeerMessage.FromString(data))))
