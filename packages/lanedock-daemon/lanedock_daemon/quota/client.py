# SPDX-License-Identifier: BSD-3-Clause
"""A daemon's requests for credits: streams to control instances, opened while credits are needed."""

from collections.abc import Callable

import gevent
from gevent.event import Event as Signal

from lanedock.clock import monotonic
from lanedock.kernel import Kernel, Service
from lanedock.quota import ANSWER_TIMEOUT, CreditAccount
from lanedock.settings import Address
from lanedock.telemetry import Event, EventLogger
from lanedock.wire import messages
from lanedock_daemon.agent.view import LocalView
from lanedock_daemon.quota.customers import CustomerQuotas
from lanedock_daemon.quota.instances import InstanceChoice
from lanedock_daemon.transport import QUOTA_IDLE_LIMIT, QuotaStream, Transport

__all__ = ["WAIT_LIMIT", "QuotaClient"]

# Seconds for which a request waits for a credit at most.
WAIT_LIMIT = 0.6
# Seconds until instances are asked again, once all of them have failed or declined, as they do between two
# leaders. Shared by all requests that arrive meanwhile, so that each doesn't open connections of its own.
ROUND_PAUSE = 0.1
# Seconds between two checks for requests without an answer, while there are any.
CHECK_INTERVAL = 0.02
# Seconds between two checks for credits that end soon and are given back.
RETURN_INTERVAL = 0.05
# Seconds without a need for credits after which the streams are closed, so that the control instance
# does not close them first.
IDLE_LIMIT = QUOTA_IDLE_LIMIT / 3
# Minimum number of seconds between two events of whether credits are granted.
EVENT_INTERVAL = 1.0


class _Batch:
    """The needs of one moment, and the requests that wait for them.

    Attributes
    ----------
    asked : set of Address
        Instances that have failed or declined to answer.
    stream : QuotaStream or None
        Stream over which an answer is expected; None until `retry_at`.
    began_at, sent_at, retry_at : float
        Monotonic times, in seconds.
    """

    __slots__ = ("asked", "began_at", "needs", "number", "retry_at", "sent_at", "stream", "waiters")

    def __init__(self, number: int, needs: list[messages.CreditNeed], waiters: list[Signal], now: float):
        self.number = number
        self.needs = needs
        self.waiters = waiters
        self.asked: set[Address] = set()
        self.stream: QuotaStream | None = None
        self.began_at = self.sent_at = self.retry_at = now


class QuotaClient(Service):
    """Requests credits from control instances.

    Without needs it has no connection and no task.

    Parameters
    ----------
    zone : str
        Availability zone of the daemon.
    account : CreditAccount
    instances : callable
        Returns the addresses of the control instances, those of the own zone first.
    view : LocalView
    events : EventLogger
    """

    name = "quota-client"

    def __init__(
        self,
        zone: str,
        account: CreditAccount,
        instances: Callable[[], list[Address]],
        view: LocalView,
        events: EventLogger,
    ):
        self._zone = zone
        self._account = account
        self._instances = instances
        self._view = view
        self._events = events
        self._transport: Transport | None = None
        self._choice = InstanceChoice()
        self._streams: dict[Address, QuotaStream] = {}
        self._batches: dict[int, _Batch] = {}
        self._arrivals: list[Signal] = []
        self._number = 0
        self._version = 0
        self._used_at = 0.0
        self._next_round_at = float("-inf")
        self._is_flush_due = False
        self._watch_task = None
        self._is_granted = True
        self._event_at = float("-inf")

    def __repr__(self) -> str:
        return f"<QuotaClient streams={len(self._streams)} batches={len(self._batches)}>"

    def start(self, kernel: Kernel) -> None:
        self._transport = kernel.find("transport")

    def stop(self) -> None:
        if self._watch_task is not None:
            self._watch_task.kill()
            self._watch_task = None
        self._close_streams()

    # ------------------------------------------------------------- for the gate

    def wait(self, until: float) -> bool:
        """Wait until the needs of this moment are answered.

        Parameters
        ----------
        until : float
            Monotonic time, in seconds.

        Returns
        -------
        bool
            False if there was no answer in time.
        """
        waiter = Signal()
        self._arrivals.append(waiter)
        self.request_soon()
        return waiter.wait(timeout=max(0.0, until - monotonic()))

    def request_soon(self) -> None:
        """Request what the account needs, once all requests of this moment have taken their credits."""
        if not self._is_flush_due:
            self._is_flush_due = True
            gevent.spawn(self._flush)
        if self._watch_task is None or self._watch_task.ready():
            self._used_at = monotonic()
            self._apply_version()
            self._watch_task = gevent.spawn(self._watch)

    def note_unanswered(self) -> None:
        """Record that a request got no answer in time."""
        self._note_granted(False)

    def _note_granted(self, is_granted: bool) -> None:
        now = monotonic()
        if is_granted != self._is_granted and now - self._event_at >= EVENT_INTERVAL:
            self._is_granted = is_granted
            self._event_at = now
            self._events.emit(Event.QUOTA_UNAVAILABLE, is_granted=is_granted)

    # ----------------------------------------------------------------- requests

    def _flush(self) -> None:
        """Send the needs of this moment in one message."""
        self._is_flush_due = False
        now = monotonic()
        needs = self._account.make_needs(now)
        waiters, self._arrivals = self._arrivals, []
        if not needs:
            # The customers of these requests are gone from the account: they take again.
            _wake(waiters)
            return
        self._used_at = now
        self._number += 1
        batch = self._batches[self._number] = _Batch(self._number, needs, waiters, now)
        if now < self._next_round_at:
            batch.retry_at = self._next_round_at
        else:
            self._ask(batch, now)

    def _ask(self, batch: _Batch, now: float) -> None:
        """Send a batch to the next instance, or plan to begin again once all have been asked."""
        address = self._choice.choose(self._instances(), batch.asked, now)
        if address is None:
            batch.stream = None
            batch.asked.clear()
            if now >= self._next_round_at:
                self._next_round_at = now + ROUND_PAUSE
            batch.retry_at = self._next_round_at
            return
        batch.stream = self._streams.get(address) or self._open(address)
        batch.sent_at = now
        batch.stream.send(messages.CreditRequest(number=batch.number, zone=self._zone, needs=batch.needs))

    def _ask_again(self, batch: _Batch, now: float) -> None:
        """Ask the next instance, unless no request waits any more."""
        if not batch.waiters or now >= batch.began_at + WAIT_LIMIT:
            del self._batches[batch.number]
            return
        for need in batch.needs:
            # They may have been given back already. The first instance may have granted the rest, too, but
            # its credits are lost with its answer.
            need.returned = 0
        self._ask(batch, now)

    def _open(self, address: Address) -> QuotaStream:
        stream = self._streams[address] = self._transport.open_quota_stream(address, self._on_reply, self._on_end)
        stream.open()
        return stream

    def _on_reply(self, stream: QuotaStream, reply: messages.CreditReply) -> None:
        if self._streams.get(stream.address) is not stream:
            return
        self._choice.note_reply(stream.address, _parse_address(reply.leader_address))
        batch = self._batches.get(reply.number)
        if batch is None or batch.stream is not stream:
            return
        now = monotonic()
        if reply.code:
            batch.asked.add(stream.address)
            self._ask_again(batch, now)
            return
        del self._batches[batch.number]
        self._next_round_at = float("-inf")
        self._account.add_grants(list(reply.grants), now, batch.sent_at)
        self._note_granted(True)
        _wake(batch.waiters)

    def _on_end(self, stream: QuotaStream, reason: str) -> None:
        if self._streams.get(stream.address) is stream:
            self._fail(stream, monotonic())

    def _fail(self, stream: QuotaStream, now: float) -> None:
        """Ask other instances, after a stream has ended or has been silent for too long."""
        del self._streams[stream.address]
        self._choice.note_failure(stream.address, now)
        stream.close()
        for batch in [batch for batch in self._batches.values() if batch.stream is stream]:
            batch.asked.add(stream.address)
            self._ask_again(batch, now)

    # ------------------------------------------------------------------- checks

    def _watch(self) -> None:
        """Check the batches and the account until no credits have been needed for `IDLE_LIMIT`."""
        while True:
            gevent.sleep(CHECK_INTERVAL if self._batches else RETURN_INTERVAL)
            now = monotonic()
            if now - self._used_at > IDLE_LIMIT and not self._batches:
                break
            self._apply_version()
            self._check_batches(now)
            # The account gives credits back that end soon.
            self._flush()
        self._watch_task = None
        self._close_streams()

    def _check_batches(self, now: float) -> None:
        silent = {
            batch.stream: None
            for batch in self._batches.values()
            if batch.stream is not None and now >= batch.sent_at + ANSWER_TIMEOUT
        }
        for stream in silent:
            self._fail(stream, now)
        for batch in list(self._batches.values()):
            if batch.stream is None and now >= batch.retry_at:
                self._ask_again(batch, now)

    def _apply_version(self) -> None:
        """Apply the quotas of the version in force, if it has changed."""
        holder = self._view.holder
        if holder.in_force is None or holder.in_force_version.number == self._version:
            return
        self._version = holder.in_force_version.number
        self._account.configure(CustomerQuotas(holder.in_force.config.customers))
        self._choice.keep(self._instances())

    def _close_streams(self) -> None:
        streams, self._streams = self._streams, {}
        for stream in streams.values():
            stream.close()


def _wake(waiters: list[Signal]) -> None:
    """Wake requests in the order of their arrival."""
    for waiter in waiters:
        waiter.set()


def _parse_address(text: str) -> Address | None:
    try:
        return Address.parse(text) if text else None
    except ValueError:
        return None
