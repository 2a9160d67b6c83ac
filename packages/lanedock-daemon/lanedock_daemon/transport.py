# SPDX-License-Identifier: BSD-3-Clause
"""How lanedock's processes talk to each other: what every transport offers.

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
    "SILENCE_LIMIT",
    "Listener",
    "PeerLinks",
    "PeerMessageArrived",
    "Session",
    "SourceEnded",
    "SourceSent",
    "SourceStream",
    "Transport",
]

# A link between control instances is opened anew when the peer confirms nothing over it for
# this long, in seconds: its connection may have been cut without a sign. Leaders speak every
# 0.15 s.
SILENCE_LIMIT = 1.5
# What comes over a link is confirmed so many times within the limit above at the most, for 60
# bytes each; in gRPC, whose confirmations are asked for, for as many more.
CONFIRMATIONS = 5
# Seconds in which a connection has to be made, where nothing is known of its way. A machine
# without power drops the opening packet, which the kernel sends again after a second:
# without this limit a herd that came back waited up to 0.8 s longer for control that had a
# leader again. A round trip takes tens of milliseconds at the most, between regions too.
CONNECT_TIMEOUT = 0.2


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
    """One stream from a source; it posts what it receives to its owner.

    Parameters
    ----------
    owner : TaskService
        Takes SourceSent and SourceEnded.
    address : Address

    Attributes
    ----------
    connect_limit : float
        Seconds in which its connection has to be made, by the framed transport.
    heard_at : float
        Monotonic; when the source last sent something.
    is_serving : bool
        Whether it has taken this daemon in.
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
        """Start to connect, and send a first message."""

    @abstractmethod
    def send(self, message: messages.DaemonMessage) -> None:
        """Send a message, soon; from any greenlet."""

    @abstractmethod
    def close(self) -> None:
        """End the stream; SourceEnded follows."""


class Session(ABC):
    """The server's side of one daemon's stream.

    Attributes
    ----------
    child : Child or None
        Set by the task that owns the session.
    heard_at : float
        Monotonic; when the daemon last sent something.
    bytes_sent : int
        Of messages, without framing.
    """

    def __init__(self):
        self.child = None
        self.heard_at = 0.0
        self.bytes_sent = 0

    @abstractmethod
    def send(self, batch: list[messages.ControlMessage]) -> None:
        """Send messages, soon; from any greenlet."""

    @abstractmethod
    def close(self) -> None:
        """End the stream; from any greenlet."""


class PeerLinks(ABC):
    """Links to other control replicas, by name."""

    @abstractmethod
    def start(self) -> None:
        """Start to connect."""

    @abstractmethod
    def send(self, batch: list[messages.PeerMessage]) -> None:
        """Send messages, soon; from any greenlet. The oldest may be lost."""

    @abstractmethod
    def note_heard(self, sender: str, now: float) -> None:
        """Note that a replica was heard from."""


class Listener(ABC):
    """An address that is listened on."""

    @abstractmethod
    def close(self) -> None:
        """Take no more connections; from any greenlet."""


class Transport(Service):
    """Makes streams, links and listeners. One for a process.

    Parameters
    ----------
    tls : TlsSettings or None
    """

    name = "transport"

    def __init__(self, tls):
        self._tls = tls

    @abstractmethod
    def open_source(self, owner: TaskService, address: Address) -> SourceStream:
        """Make a stream from a source, not yet opened."""

    @abstractmethod
    def peer_links(self, addresses: dict[str, Address]) -> PeerLinks:
        """Make links to other replicas, not yet started."""

    @abstractmethod
    def serve_daemons(self, owner: TaskService, address: Address) -> Listener:
        """Take daemons' streams.

        Raises
        ------
        LanedockError
            `ErrorCode.ADDRESS_TAKEN`
        """

    @abstractmethod
    def serve_control(self, owner: TaskService, address: Address) -> Listener:
        """Take daemons' streams and other replicas' messages, and what else control serves.

        Raises
        ------
        LanedockError
            `ErrorCode.ADDRESS_TAKEN`
        """
