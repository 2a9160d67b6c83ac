# SPDX-License-Identifier: BSD-3-Clause
"""Tests of a daemon and two control instances, connected by the framed transport through a proxy that fails."""

from types import SimpleNamespace

import gevent
import pytest

from lanedock.clock import monotonic
from lanedock.config import Customer, CustomerTable, split_config
from lanedock.errors import ErrorCode
from lanedock.quota import CreditAccount, Taken
from lanedock.settings import Address
from lanedock.telemetry import EventLogger, NullMetrics
from lanedock.wire import messages
from lanedock_daemon.framed import FramedTransport
from lanedock_daemon.path.tests.chain import make_value
from lanedock_daemon.quota.client import QuotaClient
from lanedock_daemon.quota.gate import QuotaGate
from lanedock_daemon.quota.requests import VersionAccepted
from lanedock_daemon.quota.service import QuotaService
from lanedock_daemon.tests.links import Owner, free_port
from lanedock_daemon.tests.proxies import SilencingProxy

CUSTOMER = {"name": "c", "rate": 200, "burst": 100}
LONG = 10.0


class _Instance:
    """A control instance's quota task on a fake replica, listening on a port."""

    def __init__(self, is_leader: bool, leader: Address | None = None):
        replica = SimpleNamespace(
            me="a@1" if is_leader else "b@1",
            leader="a@1",
            term=1,
            membership=messages.Membership(voters=["a@1", "b@1"]),
            leader_silence=lambda now: 0.0,
            unreached_time=lambda replica, now: 0.0,
        )
        log = SimpleNamespace(replica=replica, is_suspended=False, is_current_leader=is_leader)
        self.address = Address("127.0.0.1", free_port())
        self.leader = leader
        self.service = QuotaService("z", EventLogger(replica.me))
        self.service.attach(
            log,
            SimpleNamespace(send=lambda batch: None, refused_at=lambda name: float("-inf")),
            dict,
            lambda: str(self.leader) if self.leader else "",
        )
        self.service.start(None)
        self.service.post(VersionAccepted(split_config({**make_value(), "customers": [CUSTOMER]})))
        self.listen()

    def listen(self) -> None:
        self.listener = FramedTransport(None).serve_control(Owner(), self.address, self.service)

    def stop(self) -> None:
        self.listener.close()
        self.service.stop()


class _Mesh:
    """A leader behind a proxy, a follower, and a daemon that knows the follower first."""

    def __init__(self):
        self.leading = _Instance(True)
        self.proxy = SilencingProxy((self.leading.address.host, self.leading.address.port))
        leader = Address(*self.proxy.address)
        self.leading.leader = leader
        self.following = _Instance(False, leader)
        account = CreditAccount()
        config = SimpleNamespace(customers=CustomerTable().evolve({"": [CUSTOMER]}))
        in_force = SimpleNamespace(config=config)
        view = SimpleNamespace(holder=SimpleNamespace(in_force=in_force, in_force_version=SimpleNamespace(number=1)))
        instances = [self.following.address, leader]
        self.client = QuotaClient("z", account, lambda: instances, view, EventLogger("daemon"))
        self.client.start(SimpleNamespace(find=lambda name: FramedTransport(None)))
        self.gate = QuotaGate(account, self.client, NullMetrics())

    def admit(self):
        return self.gate.admit(Customer(**CUSTOMER), monotonic() + LONG)

    def wait_admitted(self) -> None:
        while not isinstance(self.admit(), Taken):
            gevent.sleep(0.02)

    def use_credits_at_hand(self) -> None:
        """Wait until the credits at hand have ended."""
        gevent.sleep(0.5)

    def stop(self) -> None:
        self.client.stop()
        self.leading.stop()
        self.following.stop()
        self.proxy.server.stop()


@pytest.fixture
def mesh():
    mesh = _Mesh()
    with gevent.Timeout(LONG):
        yield mesh
    mesh.stop()


def test_credits_come_from_the_leader_that_a_follower_names(mesh):
    mesh.wait_admitted()
    # The bucket fills.
    gevent.sleep(0.3)
    results = [gevent.spawn(mesh.admit) for _ in range(20)]
    gevent.joinall(results)
    assert sum(isinstance(result.get(), Taken) for result in results) >= 10
    assert mesh.proxy.accepted == 1


@pytest.mark.parametrize("fault", ["silence", "stop_reading"])
def test_a_stream_that_falls_silent_without_a_reset_is_replaced(mesh, fault):
    """A connection may be cut while new ones work; TCP would try to deliver its data for 10 s."""
    mesh.wait_admitted()
    getattr(mesh.proxy, fault)()
    mesh.use_credits_at_hand()
    # A request waits for less than its limit: the stream is given up after less than half of that.
    assert isinstance(mesh.admit(), Taken)
    assert mesh.proxy.accepted == 2


def test_a_leader_that_does_not_run_is_found_again_once_it_does(mesh):
    mesh.wait_admitted()
    mesh.leading.listener.close()
    mesh.proxy.silence()
    mesh.use_credits_at_hand()
    assert mesh.admit().code is ErrorCode.QUOTA_UNAVAILABLE
    mesh.leading.listen()
    mesh.wait_admitted()
