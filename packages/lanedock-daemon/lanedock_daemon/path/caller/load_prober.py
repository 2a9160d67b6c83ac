# SPDX-License-Identifier: BSD-3-Clause
"""Load probes: one UDP datagram to each of a few upstreams' daemons before a request is sent."""

import random

import gevent
from gevent import socket
from gevent.event import Event as Signal
from google.protobuf.message import DecodeError

from lanedock.clock import monotonic
from lanedock.routing import ProbedChoice, ProbePlan, UpstreamStats
from lanedock.telemetry import Metric, Metrics
from lanedock.wire import messages
from lanedock_daemon.path.caller.request_context import RequestContext

__all__ = ["LoadProber"]

# Longest datagram that is read, in bytes; a reply has at most 70 and the id of an application.
MAX_DATAGRAM = 1024
# Numbers of probes have 32 bits.
NUMBER_MASK = 2**32 - 1
# Seconds after which a reply is no longer expected. Later than the longest wait, so that a round trip
# that has become longer is observed.
REPLY_EXPIRY = 1.0
# Largest part of the time left for a request that is spent waiting for replies.
MAX_WAIT_SHARE = 0.1
# Seconds until the next read after a failed one.
RETRY_INTERVAL = 0.1
# Replies that are read before other greenlets run again, if more are there already.
MAX_REPLIES = 64


class _Waiter:
    """A request that waits for replies.

    Attributes
    ----------
    numbers : set of int
        Numbers of the unanswered probes.
    done : gevent.event.Event
        Set when all are answered.
    """

    __slots__ = ("done", "numbers")

    def __init__(self):
        self.numbers: set[int] = set()
        self.done = Signal()

    def note_reply(self, number: int) -> None:
        """Record a reply."""
        self.numbers.discard(number)
        if not self.numbers:
            self.done.set()


class _Probe:
    """A probe that awaits its reply."""

    __slots__ = ("address", "choice", "is_missed", "sent_at", "stats", "waiters")

    def __init__(self, choice: ProbedChoice, stats: UpstreamStats, address: tuple[str, int], sent_at: float):
        self.choice = choice
        self.stats = stats
        self.address = address
        self.sent_at = sent_at
        self.is_missed = False
        self.waiters: list[_Waiter] = []


class LoadProber:
    """Sends load probes and receives their replies, over one UDP socket for each address family.

    The sockets are opened with the first probe.

    Parameters
    ----------
    metrics : Metrics
    """

    def __init__(self, metrics: Metrics):
        self._metrics = metrics
        self._sockets: dict[int, socket.socket] = {}
        self._readers: list[gevent.Greenlet] = []
        self._probes: dict[int, _Probe] = {}
        self._number = random.getrandbits(32)

    def __repr__(self) -> str:
        return f"<LoadProber unanswered={len(self._probes)}>"

    def close(self) -> None:
        """Close the sockets."""
        gevent.killall(self._readers)
        for sock in self._sockets.values():
            sock.close()
        self._readers, self._sockets = [], {}

    def prepare_choice(self, context: RequestContext, now: float) -> None:
        """Probe upstreams for a request: those of the own zone, then those of other zones if the answer would be late.

        Parameters
        ----------
        context : RequestContext
            Its balancer must have a `probed_choice`.
        now : float
            Monotonic time, in seconds.
        """
        left = context.deadline - now
        choice = context.balancer.probed_choice
        self.probe(choice, context.plan_probes(now), left)
        # Meanwhile the last upstream that answers probes may have left.
        if context.balancer.probed_choice is choice:
            self.probe(choice, context.plan_zone_probes(monotonic()), left)

    def probe(self, choice: ProbedChoice, plan: ProbePlan, left: float) -> None:
        """Send the probes of a plan, and wait until all replies have come or the time for them is over.

        Parameters
        ----------
        choice : ProbedChoice
            Receives the replies.
        plan : ProbePlan
        left : float
            Seconds until the request's deadline.
        """
        now = monotonic()
        self._expire(now)
        waiter = _Waiter()
        for stats in plan.targets:
            self._send(choice, stats, waiter, now)
        for number in plan.awaited:
            if number in self._probes:
                self._add_waiter(number, waiter)
        if not waiter.numbers:
            return
        zones = {self._probes[number].stats.endpoint.zone for number in waiter.numbers}
        if not waiter.done.wait(min(choice.wait_limit(zones), MAX_WAIT_SHARE * left)):
            # Where this process was late itself, replies are there that have not been read.
            for sock in self._sockets.values():
                self._read_replies(sock)
        for number in waiter.numbers:
            self._note_missed(number)

    def _add_waiter(self, number: int, waiter: _Waiter) -> None:
        self._probes[number].waiters.append(waiter)
        waiter.numbers.add(number)

    def _send(self, choice: ProbedChoice, stats: UpstreamStats, waiter: _Waiter, now: float) -> None:
        number = self._number = (self._number + 1) & NUMBER_MASK
        address = (_normalize(stats.endpoint.host), stats.endpoint.load_port)
        self._probes[number] = _Probe(choice, stats, address, now)
        if choice.note_probe(stats, number, now):
            self._add_waiter(number, waiter)
        self._metrics.count(Metric.PROBES_SENT)
        try:
            self._open(address[0]).sendto(messages.LoadProbe(number=number).SerializeToString(), address)
        except OSError:
            pass  # counts as lost once the wait for its reply is over

    def _open(self, host: str) -> socket.socket:
        """Return the socket of a host's address family."""
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        sock = self._sockets.get(family)
        if sock is None:
            sock = self._sockets[family] = socket.socket(family, socket.SOCK_DGRAM)
            sock.setblocking(False)
            self._readers.append(gevent.spawn(self._receive, sock))
        return sock

    def _receive(self, sock: socket.socket) -> None:
        """Receive replies until the socket is closed."""
        while True:
            socket.wait_read(sock.fileno())
            if not self._read_replies(sock):
                gevent.sleep(RETRY_INTERVAL)

    def _read_replies(self, sock: socket.socket) -> bool:
        """Read the replies that have come, up to `MAX_REPLIES`; return False if the socket has failed."""
        for _ in range(MAX_REPLIES):
            try:
                data, address = sock.recvfrom(MAX_DATAGRAM)
            except BlockingIOError:
                return True
            except OSError:
                return False
            try:
                reply = messages.LoadReply.FromString(data)
            except DecodeError:
                continue
            self._note_reply(reply, address[:2])
        return True

    def _note_reply(self, reply: messages.LoadReply, address: tuple[str, int]) -> None:
        """Hand a reply to its choice, unless it is not from the address that was probed."""
        probe = self._probes.get(reply.number)
        if probe is None or probe.address != address:
            return
        del self._probes[reply.number]
        now = monotonic()
        probe.choice.note_reply(probe.stats, reply, now - probe.sent_at, now)
        for waiter in probe.waiters:
            waiter.note_reply(reply.number)

    def _note_missed(self, number: int) -> None:
        """Record that a reply has not come in time; it may still come."""
        probe = self._probes.get(number)
        if probe is None or probe.is_missed:
            return
        probe.is_missed = True
        probe.choice.note_missed(probe.stats)
        self._metrics.count(Metric.PROBES_LOST)

    def _expire(self, now: float) -> None:
        """Forget the probes whose replies are no longer expected."""
        while self._probes:
            number, probe = next(iter(self._probes.items()))
            if now - probe.sent_at < REPLY_EXPIRY:
                break
            self._note_missed(number)
            del self._probes[number]


def _normalize(host: str) -> str:
    """Return the form of an IP address that replies from it have."""
    if ":" not in host:
        return host
    return socket.inet_ntop(socket.AF_INET6, socket.inet_pton(socket.AF_INET6, host))
