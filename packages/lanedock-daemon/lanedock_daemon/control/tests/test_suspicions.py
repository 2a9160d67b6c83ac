# SPDX-License-Identifier: BSD-3-Clause
"""How suspicions of requests spread between control instances, over links that are cut."""

from types import SimpleNamespace

import pytest

from lanedock.membership import EndpointRegistry
from lanedock.quarantine import Quarantine, RequestHasher
from lanedock_daemon.control.directories import ListedDirectory
from lanedock_daemon.control.endpoints import EndpointExchange

REQUEST = RequestHasher("GET", "shop.example", "/x", "", 0).fingerprint()
NAMES = ("a#1", "b#1", "c#1")
TICK = 0.02
# Seconds from a link's return, or from the crash, within which all have to know: daemons
# are to refuse from 3 s after the third crash on, and take the rest.
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
                self._deliver(exchange.due([other for other in NAMES if other != name], name, self.now))

    def _deliver(self, out: list) -> None:
        for message in out:
            self.sent += len(message.endpoint_report.suspicions)
            if frozenset((message.sender, message.receiver)) not in self.cut:
                self._deliver(self._exchanges[message.receiver].take(message, self.now))

    def counts(self) -> list[int]:
        return [quarantine.count(REQUEST) for quarantine in self.quarantines.values()]


@pytest.fixture
def mesh():
    mesh = _Mesh()
    mesh.run(2.0)
    return mesh


@pytest.mark.parametrize("name", NAMES)
def test_a_crash_that_was_reported_to_one_is_known_to_all(mesh, name):
    mesh.quarantines[name].note_crash("u0", [REQUEST], mesh.now)
    mesh.run(SPREAD_LIMIT)
    assert mesh.counts() == [1, 1, 1]
    # Each of three sends it to both others, once.
    assert mesh.sent == 6


def test_two_that_cannot_reach_each_other_learn_from_the_third(mesh):
    """Found by reading: nobody passed on what another control instance had reported.

    A link between two of three zones is cut; the daemons of one of them went on passing on a
    request that had crashed upstreams of the other.
    """
    mesh.cut = {frozenset(("b#1", "c#1"))}
    mesh.run(5.0)
    mesh.quarantines["b#1"].note_crash("u0", [REQUEST], mesh.now)
    mesh.run(SPREAD_LIMIT)
    assert mesh.counts() == [1, 1, 1]


@pytest.mark.parametrize("seconds", [0.5, 2.0, 20.0])
def test_zones_that_were_cut_apart_add_up_what_each_has_counted(mesh, seconds):
    """One has counted two crashes and the others one: three in all."""
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
    # What is known to all is sent no more.
    assert not any(exchange._suspicions for exchange in mesh._exchanges.values())


class _ListedMesh:
    """Two control instances that are named in the settings; between them messages may be lost."""

    def __init__(self):
        self.now = 100.0
        self.is_cut = False
        self.sent = 0
        self.quarantines = {name: Quarantine() for name in NAMES[:2]}
        self._directories = {name: self._make(name) for name in self.quarantines}

    def _make(self, name: str) -> ListedDirectory:
        log = SimpleNamespace(replica=SimpleNamespace(me=name, term=1))
        sessions = SimpleNamespace(distributor=SimpleNamespace(known_daemons=lambda: ()))
        cfg = SimpleNamespace(replicas=dict.fromkeys(self.quarantines))
        return ListedDirectory(cfg, name, None, None, sessions, self, log, self.quarantines[name])

    def send(self, out: list) -> None:
        """Stand in for the links."""
        self.sent += len(out)
        for message in out:
            if not self.is_cut:
                self._directories[message.receiver].receive(message, self.now)

    def run(self, seconds: float) -> None:
        until = self.now + seconds
        while self.now < until:
            self.now += TICK
            for directory in self._directories.values():
                directory.tick(self.now)
                directory.advance(self.now)


def test_listed_control_instances_repeat_what_is_not_passed_on():
    """Found by reading: news that was lost on the link between them was never sent again."""
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
    # Nothing is held back any more, and nothing is sent.
    mesh.sent = 0
    mesh.run(5.0)
    assert mesh.sent == 0


def test_a_request_that_was_cleared_behind_a_cut_link_is_passed_on_again():
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
