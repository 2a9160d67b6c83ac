# SPDX-License-Identifier: BSD-3-Clause
"""The interface of the transports between lanedock's processes.

Two transports carry the same protobuf messages: gRPC on asyncio
(`lanedock_daemon.grpc_transport`) and length-prefixed frames on gevent sockets
(`lanedock_daemon.framed`). ``docs/design/transport.md`` compares them.
"""

from abc import ABC, abstractmethod

from lanedock.kernel import Service, TaskService
from lanedock.settings import Address
from lanedock.wire import messages

__all__ = [
    "CONFIRMATIONS",
    "CONNECT_TIMEOUT",
    "QUOTA_IDLE_LIMIT",
    "SILENCE_LIMIT",
    "CreditsRequested",
    "Listener",
    "PeerLinks",
    "PeerMessageArrived",
    "QuotaSession",
    "QuotaStream",
    "Session",
    "SourceEnded",
    "SourceSent",
    "SourceStream",
    "Transport",
]

# Seconds without a confirmation from the peer after which a link between control instances is
# replaced: its connection may have been cut without a reset. A leader sends every 0.15 s.
SILENCE_LIMIT = 1.5
# Maximum number of confirmations of received data within `SILENCE_LIMIT`, of 60 bytes each. In
# gRPC a confirmation answers a ping, which takes as many bytes again.
CONFIRMATIONS = 5
# Seconds for establishing a connection when its round-trip time is unknown. The SYN packet to a
# machine without power is lost, and the kernel sends it again only after a second: without this
# limit, daemons that all reconnect wait up to 0.8 s longer for control instances that have a
# leader again. A round trip takes at most tens of milliseconds, also between regions.
CONNECT_TIMEOUT = 0.2
# Seconds without a request after which a control instance closes a daemon's quota stream, as its
# daemon may be gone without a reset. Daemons close streams that they don't use after a third of this.
QUOTA_IDLE_LIMIT = 30.0


class PeerMessageArrived:
    """Another replica sent a message."""

    __slots__ = ("message",)

    def __init__(self, message: messages.PeerMessage):
        self.message = message


class SourceSent:
    """The source sent a message."""

    __slots__ = ("message", "stream")

    def __init__(self, stream: "SourceStream", message: messages.ControlMessage):
        self.stream = stream
        self.message = message


class SourceEnded:
    """The stream has ended."""

    __slots__ = ("reason", "stream")

    def __init__(self, stream: "SourceStream", reason: str):
        self.stream = stream
        self.reason = reason


class SourceStream(ABC):
    """A stream from a source; posts the messages that it receives to its owner.

    Parameters
    ----------
    owner : TaskService
        Receives SourceSent and SourceEnded.
    address : Address

    Attributes
    ----------
    connect_limit : float
        Seconds for establishing the connection; used by the framed transport only.
    heard_at : float
        Monotonic time, in seconds, at which the source last sent something.
    is_serving : bool
        Whether the source has admitted this daemon.
    """

    def __init__(self, owner: TaskService, address: Address):
        self.address = address
        self.connect_limit = CONNECT_TIMEOUT
        self.heard_at = 0.0
        self.is_serving = False
        self._owner = owner

    def __repr__(self) -> str:
        return f"<{type(self).__name__} {self.address}>"

    @abstractmethod
    def open(self, first: messages.DaemonMessage) -> None:
        """Start connecting, and send a first message once connected."""

    @abstractmethod
    def send(self, message: messages.DaemonMessage) -> None:
        """Queue a message to be sent; may be called from any greenlet."""

    @abstractmethod
    def close(self) -> None:
        """End the stream; SourceEnded is posted afterwards."""


class Session(ABC):
    """The server's side of one daemon's stream.

    Attributes
    ----------
    child : Subscriber or None
        Set by the task that owns the session.
    heard_at : float
        Monotonic time, in seconds, at which the daemon last sent something.
    bytes_sent : int
        Bytes of the messages sent, without framing.
    """

    def __init__(self):
        self.child = None
        self.heard_at = 0.0
        self.bytes_sent = 0

    @abstractmethod
    def send(self, batch: list[messages.ControlMessage]) -> None:
        """Queue messages to be sent; may be called from any greenlet."""

    @abstractmethod
    def close(self) -> None:
        """End the stream; may be called from any greenlet."""


class QuotaStream(ABC):
    """A daemon's stream to a control instance, over which it requests credits.

    Parameters
    ----------
    address : Address
    on_reply : callable
        Takes the stream and a CreditReply. Must not block.
    on_end : callable
        Takes the stream and the reason, a str; called once. Must not block.
    """

    def __init__(self, address: Address, on_reply, on_end):
        self.address = address
        self._on_reply = on_reply
        self._on_end = on_end

    def __repr__(self) -> str:
        return f"<{type(self).__name__} {self.address}>"

    @abstractmethod
    def open(self) -> None:
        """Start connecting."""

    @abstractmethod
    def send(self, request: messages.CreditRequest) -> None:
        """Queue a request to be sent, also while the stream is connecting; may be called from any greenlet."""

    @abstractmethod
    def close(self) -> None:
        """End the stream; `on_end` is called afterwards."""


class QuotaSession(ABC):
    """A control instance's side of one daemon's quota stream."""

    @abstractmethod
    def send(self, reply: messages.CreditReply) -> None:
        """Queue a reply to be sent; may be called from any greenlet."""


class CreditsRequested:
    """A daemon requests credits."""

    __slots__ = ("request", "session")

    def __init__(self, session: QuotaSession, request: messages.CreditRequest):
        self.session = session
        self.request = request


class PeerLinks(ABC):
    """Links to other control replicas, by name."""

    @abstractmethod
    def start(self) -> None:
        """Start connecting to the replicas."""

    @abstractmethod
    def send(self, batch: list[messages.PeerMessage]) -> None:
        """Queue messages to be sent; may be called from any greenlet. The oldest may be lost."""

    @abstractmethod
    def note_heard(self, sender: str, now: float) -> None:
        """Record that a message of a replica was received at `now`, monotonic, in seconds."""

    def refused_at(self, name: str) -> float:
        """Return when a replica's host last refused a connection, as no process listens there.

        Monotonic time, in seconds, at which the connection was attempted. Minus infinity if none
        was refused, or if the transport doesn't try often enough to tell.
        """
        return float("-inf")


class Listener(ABC):
    """An address at which connections are accepted."""

    @abstractmethod
    def close(self) -> None:
        """Accept no more connections; may be called from any greenlet."""


class Transport(Service):
    """Makes the streams, links and listeners of a process.

    Parameters
    ----------
    tls : TlsSettings or None
    """

    name = "transport"

    def __init__(self, tls):
        self._tls = tls

    @abstractmethod
    def open_source(self, owner: TaskService, address: Address) -> SourceStream:
        """Make a stream from a source, without opening it."""

    @abstractmethod
    def open_quota_stream(self, address: Address, on_reply, on_end) -> QuotaStream:
        """Make a stream to a control instance for credits, without opening it; see `QuotaStream`."""

    @abstractmethod
    def peer_links(self, addresses: dict[str, Address]) -> PeerLinks:
        """Make links to other replicas, without starting them."""

    @abstractmethod
    def serve_daemons(self, owner: TaskService, address: Address) -> Listener:
        """Accept daemons' streams.

        Raises
        ------
        LanedockError
            `ErrorCode.ADDRESS_TAKEN`
        """

    @abstractmethod
    def serve_control(self, owner: TaskService, address: Address, quotas: TaskService | None = None) -> Listener:
        """Accept daemons' streams, other replicas' messages, and all other calls to a control instance.

        Parameters
        ----------
        owner : TaskService
        address : Address
        quotas : TaskService, optional
            Receives CreditsRequested and CustomersRequested; without it, no credits are served.

        Raises
        ------
        LanedockError
            `ErrorCode.ADDRESS_TAKEN`
        """
