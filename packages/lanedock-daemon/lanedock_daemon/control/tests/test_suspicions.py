# SPDX-License-Identifier: BSD-3-Clause
"""Tests that suspicions of requests spread between control instances, also after links were cut."""

from types import SimpleNamespace

import pytest

from lanedock.membership import EndpointRegistry
from lanedock.quarantine import Quarantine, RequestHasher
from lanedock_daemon.control.directories import ZONE_INTERVAL, ListedDirectory
from lanedock_daemon.control.endpoints import EndpointExchange

REQUEST = RequestHasher("GET", "shop.example", "/x", "", 0).fingerprint()
NAMES = ("a#1", "b#1", "c#1")
TICK = 0.02
# Seconds from a crash, or from the repair of a link, within which all control instances have to
# know of it: daemons have to refuse within 3 s of the third crash, and need the rest of that time.
SPREAD_LIMIT = 1.0


class _Mesh:
    """Three control instances that exchange reports in virtual time."""

    def __init__(self):
        self.now = 100.0
        self.cut: set[frozenset[str]] = set()
        self.sent = 0
        self.quarantines = {name: Quarantine() for name in NAMES}
        self._exchanges = {
            name: EndpointExchange(EndpointRegistry(1.0, 5.0), f"z-{name}", 3.0, quarantine)
            for name, quarantine in self.quarantines.items()
        }

    def run(self, seconds: float) -> None:
        until = self.now + seconds
        while self.now < until:
            self.now += TICK
            for name, exchange in self._exchanges.items():
                exchange.expire(self.now)
                self._deliver_all(exchange.take_due([other for other in NAMES if other != name], name, self.now))

    def _deliver_all(self, batch: list) -> None:
        for message in batch:
            self.sent += len(message.endpoint_report.suspicions)
            if frozenset((message.sender, message.receiver)) not in self.cut:
                self._deliver_all(self._exchanges[message.receiver].receive(message, self.now))

    def counts(self) -> list[int]:
        return [quarantine.count(REQUEST) for quarantine in self.quarantines.values()]


@pytest.fixture
def mesh():
    mesh = _Mesh()
    mesh.run(2.0)
    return mesh


@pytest.mark.parametrize("name", NAMES)
def test_crash_reported_to_one_instance_becomes_known_to_all(mesh, name):
    mesh.quarantines[name].note_crash("u0", [REQUEST], mesh.now)
    mesh.run(SPREAD_LIMIT)
    assert mesh.counts() == [1, 1, 1]
    # Each of the three sends it once to both others.
    assert mesh.sent == 6


def test_instances_behind_a_cut_link_learn_suspicions_from_the_third(mesh):
    """Guards against suspicions that are not forwarded from one control instance to another.

    The link between two of three zones is cut; without forwarding, daemons in one of these zones
    keep sending upstream a request that has crashed upstreams in the other.
    """
    mesh.cut = {frozenset(("b#1", "c#1"))}
    mesh.run(5.0)
    mesh.quarantines["b#1"].note_crash("u0", [REQUEST], mesh.now)
    mesh.run(SPREAD_LIMIT)
    assert mesh.counts() == [1, 1, 1]


@pytest.mark.parametrize("seconds", [0.5, 2.0, 20.0])
def test_instances_merge_their_crash_counts_after_a_partition(mesh, seconds):
    """One instance has counted two crashes and another one: three in total."""
    mesh.cut = {frozenset(("a#1", "b#1")), frozenset(("a#1", "c#1"))}
    mesh.run(seconds)
    mesh.quarantines["a#1"].note_crash("u0", [REQUEST], mesh.now)
    mesh.quarantines["a#1"].note_crash("u1", [REQUEST], mesh.now)
    mesh.quarantines["c#1"].note_crash("u2", [REQUEST], mesh.now)
    mesh.run(seconds)
    assert mesh.counts() == [2, 1, 1]
    mesh.cut = set()
    mesh.run(SPREAD_LIMIT)
    assert mesh.counts() == [3, 3, 3]
    # Suspicions that are known everywhere are not sent again.
    assert not any(exchange._suspicion_outbox for exchange in mesh._exchanges.values())


class _ListedMesh:
    """Two control instances that are listed in the settings; their messages may be lost."""

    def __init__(self):
        self.now = 100.0
        self.is_cut = False
        self.sent = 0
        self.quarantines = {name: Quarantine() for name in NAMES[:2]}
        self.directories = {name: self._make(name) for name in self.quarantines}

    def _make(self, name: str) -> ListedDirectory:
        log = SimpleNamespace(replica=SimpleNamespace(me=name, term=1))
        sessions = SimpleNamespace(distributor=SimpleNamespace(known_daemons=lambda: ()))
        cfg = SimpleNamespace(replicas=dict.fromkeys(self.quarantines))
        return ListedDirectory(cfg, name, f"zone-{name}", None, None, sessions, self, log, self.quarantines[name])

    def send(self, batch: list) -> None:
        """Stand in for the links."""
        self.sent += len(batch)
        for message in batch:
            if not self.is_cut:
                self.directories[message.receiver].receive(message, self.now)

    def run(self, seconds: float) -> None:
        until = self.now + seconds
        while self.now < until:
            self.now += TICK
            for directory in self.directories.values():
                directory.tick(self.now)
                directory.advance(self.now)


def test_listed_instances_announce_their_zones_while_asked_to():
    """Guards against zones' shares of quotas that are unknown where control instances are listed in the settings."""
    mesh = _ListedMesh()
    mesh.run(10.0)
    sent = mesh.sent
    first, second = mesh.directories.values()
    for _ in range(100):
        mesh.now += TICK
        first.announce_zone(mesh.now)
    assert second.zones == {NAMES[0]: f"zone-{NAMES[0]}"} and first.zones == {}
    assert mesh.sent - sent <= 100 * TICK / ZONE_INTERVAL + 1


def test_listed_instances_repeat_suspicions_lost_on_the_link():
    """Guards against suspicions that are lost on the link and never repeated."""
    mesh = _ListedMesh()
    mesh.is_cut = True
    first, second = mesh.quarantines.values()
    first.note_crash("u0", [REQUEST], mesh.now)
    first.note_crash("u1", [REQUEST], mesh.now)
    mesh.run(5.0)
    mesh.is_cut = False
    mesh.run(2.1)
    assert second.count(REQUEST) == 2
    first.clear(REQUEST)
    mesh.run(0.1)
    assert second.count(REQUEST) == 0
    # No request is quarantined any more, so nothing is repeated.
    mesh.sent = 0
    mesh.run(5.0)
    assert mesh.sent == 0


def test_clearing_during_a_partition_spreads_after_it():
    mesh = _ListedMesh()
    first, second = mesh.quarantines.values()
    for crash in ("u0", "u1", "u2"):
        first.note_crash(crash, [REQUEST], mesh.now)
    mesh.run(0.1)
    mesh.is_cut = True
    first.clear(REQUEST)
    mesh.run(1.0)
    assert second.count(REQUEST) == 3
    mesh.is_cut = False
    mesh.run(2.1)
    assert second.count(REQUEST) == 0
