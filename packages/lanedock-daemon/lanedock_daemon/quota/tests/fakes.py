# SPDX-License-Identifier: BSD-3-Clause
"""Fake control instances for tests of a daemon's requests for credits."""

from types import SimpleNamespace

import gevent

from lanedock.config import Customer, CustomerTable
from lanedock.errors import ErrorCode
from lanedock.quota import CreditAccount
from lanedock.settings import Address
from lanedock.telemetry import NullMetrics
from lanedock.wire import messages
from lanedock_daemon.quota.client import QuotaClient
from lanedock_daemon.quota.gate import QuotaGate
from lanedock_daemon.transport import QuotaStream

__all__ = ["INSTANCES", "FakeStream", "QuotaDaemon"]

INSTANCES = [Address("10.0.0.1", port) for port in (1, 2, 3)]


class FakeStream(QuotaStream):
    """A stream whose control instance answers as the daemon's tests set."""

    def __init__(self, daemon: "QuotaDaemon", address: Address, on_reply, on_end):
        super().__init__(address, on_reply, on_end)
        self._daemon = daemon
        self.is_closed = False

    def open(self) -> None:
        self._daemon.opened.append(self)

    def send(self, request: messages.CreditRequest) -> None:
        copy = messages.CreditRequest.FromString(request.SerializeToString())
        self._daemon.requests.append((self.address, copy))
        gevent.spawn(self._answer, copy)

    def _answer(self, request: messages.CreditRequest) -> None:
        behaviour = self._daemon.behaviours[self.address]
        if behaviour == "reset":
            self._on_end(self, "reset")
        elif behaviour != "silent" and not self.is_closed:
            self._on_reply(self, behaviour(request))

    def reply(self, reply: messages.CreditReply) -> None:
        """Reply later than the behaviour does."""
        self._on_reply(self, reply)

    def close(self) -> None:
        self.is_closed = True


class QuotaDaemon:
    """A quota gate and its client, which are connected to fake control instances.

    Attributes
    ----------
    behaviours : dict of Address to callable or str
        Makes the reply to a request; ``silent`` for none, ``reset`` ends the stream.
    requests : list of tuple of (Address, CreditRequest)
    """

    def __init__(self):
        self.behaviours = dict.fromkeys(INSTANCES, "silent")
        self.requests: list[tuple[Address, messages.CreditRequest]] = []
        self.opened: list[FakeStream] = []
        self.events: list[tuple] = []
        self.account = CreditAccount()
        config = SimpleNamespace(customers=CustomerTable().evolve({"": [{"name": "c", "rate": 100, "burst": 50}]}))
        self.holder = SimpleNamespace(
            in_force=SimpleNamespace(config=config), in_force_version=SimpleNamespace(number=1)
        )
        view = SimpleNamespace(holder=self.holder)
        self.client = QuotaClient("z", self.account, lambda: INSTANCES, view, self)
        self.gate = QuotaGate(self.account, self.client, NullMetrics())
        self.client.start(self)

    def find(self, name: str) -> "QuotaDaemon":
        """Return this as the kernel's transport."""
        return self

    def open_quota_stream(self, address: Address, on_reply, on_end) -> FakeStream:
        return FakeStream(self, address, on_reply, on_end)

    def emit(self, event, **fields) -> None:
        self.events.append((event, fields))

    def asked(self) -> list[int]:
        """Return the numbers (1 to 3) of the instances that were asked, in order."""
        return [address.port for address, _ in self.requests]

    def admit(self, deadline: float, name: str = "c"):
        return self.gate.admit(Customer(name, 1, 100, 50), deadline)


def grant(credits: int | None = None, retry_after_ms: int = 0, leader: Address | None = None):
    """Return a behaviour that grants a number of credits to each customer, or as many as needed."""

    def reply(request: messages.CreditRequest) -> messages.CreditReply:
        answer = messages.CreditReply(number=request.number, leader_address=str(leader) if leader else "")
        for need in request.needs:
            amount = need.needed if credits is None else credits
            answer.grants.add(customer=need.customer, credits=amount, retry_after_ms=retry_after_ms)
        return answer

    return reply


def decline(leader: Address | None = None):
    """Return a behaviour that declines and may name a leader."""

    def reply(request: messages.CreditRequest) -> messages.CreditReply:
        address = str(leader) if leader else ""
        return messages.CreditReply(number=request.number, code=ErrorCode.NOT_LEADER.code, leader_address=address)

    return reply
