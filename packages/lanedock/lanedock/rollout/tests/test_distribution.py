# SPDX-License-Identifier: BSD-3-Clause
"""Tests of version holders with sources whose messages are lost, duplicated or reordered."""

from random import Random

import pytest

from lanedock.config import Version
from lanedock.rollout import Distributor, Subscriber, VersionHolder, VersionSource
from lanedock.rollout.tests.test_rollout import make_tree
from lanedock.wire import messages


class Daemon:
    """A version holder that is connected to one of several sources."""

    def __init__(self, name: str, service: str):
        self.holder = VersionHolder()
        self.name = name
        self.service = service
        self.child: Subscriber | None = None
        self.source: Distributor | None = None
        self.inbox: list[messages.ControlMessage] = []
        self.newest = 0

    def state(self) -> messages.DaemonState:
        holder = self.holder
        return messages.DaemonState(
            daemon=self.name,
            role=messages.ROLE_UPSTREAM if self.service else messages.ROLE_ENTRY,
            service=self.service,
            in_force_version=holder.in_force_version.number,
            in_force_digest=holder.in_force_version.digest,
            staged_version=holder.staged_version.number,
            staged_digest=holder.staged_version.digest,
            want_whole=holder.wants_whole,
        )

    def connect(self, source: Distributor) -> None:
        if self.source is not None:
            self.source.disconnect(self.child)
        self.source = source
        self.child = source.connect(self.state())

    def report(self) -> None:
        self.source.update(self.child, self.state())

    def pull(self) -> None:
        self.inbox += self.source.due_messages(self.child)

    def take(self, message: messages.ControlMessage) -> None:
        holder = self.holder
        body = message.WhichOneof("body")
        if body == "in_force":
            holder.put_in_force(message.in_force)
        elif body == "stage":
            holder.stage(message.stage)
        elif body == "activate":
            holder.activate(message.activate.version, message.activate.digest)
        elif body == "discard":
            holder.discard(message.discard.version, message.discard.digest)
        number = holder.in_force_version.number
        assert number >= self.newest, "the version in force went back to an older one"
        self.newest = number


def _source(accepted=None, candidate=None, bases=()):
    distributor = Distributor()
    distributor.set_versions(VersionSource(accepted, candidate, {tree.version.digest: tree for tree in bases}))
    return distributor


def _exchange_messages(daemon: Daemon) -> None:
    for _ in range(6):
        daemon.report()
        daemon.pull()
        while daemon.inbox:
            daemon.take(daemon.inbox.pop(0))


def test_version_is_staged_and_activated_with_one_message_each():
    source = _source(None, make_tree(1))
    daemon = Daemon("d", "s")
    daemon.connect(source)
    _exchange_messages(daemon)
    assert daemon.holder.staged_version == make_tree(1).version
    assert daemon.holder.in_force is None
    source.set_versions(VersionSource(make_tree(1)))
    daemon.report()
    (message,) = source.due_messages(daemon.child)
    assert message.HasField("activate")
    assert source.due_messages(daemon.child) == []
    daemon.take(message)
    assert daemon.holder.in_force_version == make_tree(1).version


def test_aborted_candidate_is_discarded():
    source = _source(make_tree(1), make_tree(2))
    daemon = Daemon("d", "")
    daemon.connect(source)
    _exchange_messages(daemon)
    assert daemon.holder.staged_version.number == 2
    source.set_versions(VersionSource(make_tree(1)))
    _exchange_messages(daemon)
    assert daemon.holder.staged is None
    assert daemon.holder.in_force_version.number == 1


def test_unknown_base_leads_to_a_whole_version_without_a_refusal():
    daemon = Daemon("d", "s")
    daemon.connect(_source(make_tree(1)))
    _exchange_messages(daemon)
    other = _source(make_tree(3), None, [make_tree(1), make_tree(2)])
    daemon.connect(other)
    delta = make_tree(3).make_delta_push({""}, make_tree(2), {""})
    daemon.holder.put_in_force(delta)
    assert daemon.holder.wants_whole
    assert daemon.holder.refused == Version()
    _exchange_messages(daemon)
    assert daemon.holder.in_force_version.number == 3
    assert not daemon.holder.wants_whole


def test_holder_is_ready_only_with_the_confirmed_version():
    holder = VersionHolder()
    holder.put_in_force(make_tree(1).make_full_push({"", "s", "t"}))
    assert not holder.is_ready
    holder.confirm_floor(2)
    assert not holder.is_ready
    holder.put_in_force(make_tree(2).make_full_push({"", "s", "t"}))
    assert holder.is_ready
    holder.suspend()
    assert not holder.is_ready


def test_daemons_with_equal_needs_share_one_message():
    source = _source(make_tree(1))
    pushes = []
    for name, service in [("a", "s"), ("b", "s"), ("c", "t"), ("d", "")]:
        daemon = Daemon(name, service)
        daemon.connect(source)
        pushes += source.due_messages(daemon.child)
    assert pushes[0] is pushes[1]
    assert len({id(push) for push in pushes}) == 3


def test_reports_contain_changed_and_removed_daemons():
    source = _source()
    daemons = [Daemon(name, "s") for name in "ab"]
    for daemon in daemons:
        daemon.connect(source)
    assert {state.daemon for state in source.make_report(True).changed} == {"a", "b"}
    relayed = messages.FleetReport(whole=True)
    relayed.changed.add(daemon="x")
    source.process_relay_report(daemons[0].child, relayed)
    assert [state.daemon for state in source.make_report(False).changed] == ["x"]
    source.disconnect(daemons[0].child)
    assert sorted(source.make_report(False).gone) == ["a", "x"]
    assert not source.is_report_due()


@pytest.mark.parametrize("seed", range(25))
def test_version_in_force_never_decreases_with_unreliable_messages(seed):
    """Sources know different versions, and messages are lost, duplicated and delayed."""
    rng = Random(seed)
    trees = {0: None, **{number: make_tree(number, slots=rng.randint(1, 3)) for number in range(1, 9)}}
    accepted = 0
    sources = [_source() for _ in range(3)]
    source_versions = [0, 0, 0]
    daemons = [Daemon(str(number), service) for number, service in enumerate(["s", "t", ""])]
    for daemon in daemons:
        daemon.connect(rng.choice(sources))
    for _ in range(400):
        action = rng.random()
        daemon = rng.choice(daemons)
        if action < 0.08 and accepted < 8:
            accepted += 1
        elif action < 0.25:
            number = rng.randrange(3)
            source_versions[number] = rng.randint(source_versions[number], accepted)
            newest = source_versions[number]
            candidate = trees.get(newest + 1) if rng.random() < 0.7 else None
            bases = {trees[base].version.digest: trees[base] for base in range(max(1, newest - 2), newest + 1)}
            sources[number].set_versions(VersionSource(trees[newest], candidate, bases))
        elif action < 0.32:
            daemon.connect(rng.choice(sources))
        elif action < 0.5:
            daemon.report()
        elif action < 0.7:
            daemon.pull()
        elif daemon.inbox:
            position = rng.randrange(len(daemon.inbox))
            message = daemon.inbox[position]
            if rng.random() < 0.8:
                del daemon.inbox[position]
            if rng.random() < 0.9:
                daemon.take(message)
    final = _source(trees[accepted])
    for daemon in daemons:
        daemon.inbox.clear()
        daemon.connect(final)
        _exchange_messages(daemon)
        assert daemon.holder.in_force_version == (trees[accepted].version if accepted else Version())
