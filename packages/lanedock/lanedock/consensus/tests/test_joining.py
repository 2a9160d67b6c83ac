# SPDX-License-Identifier: BSD-3-Clause
"""Tests of how a replica that does not vote asks to be admitted."""

from random import Random

from lanedock.consensus import LogSnapshot, RaftLog, RaftReplica, Timing
from lanedock.wire import messages


def _newcomer(contacts: tuple[str, ...]) -> RaftReplica:
    log = RaftLog(LogSnapshot(0, 0, messages.Membership(), b""), [])
    return RaftReplica("d@1", log, 0, "", Timing(), Random(0), 0.0, contacts)


def _asked(replica: RaftReplica) -> list[tuple[str, str]]:
    return [(message.receiver, message.join_request.joiner) for message in replica.take_ready().late]


def test_a_newcomer_asks_its_contacts_at_once():
    replica = _newcomer(("a", "b"))
    replica.tick(0.0)
    assert _asked(replica) == [("a", "d@1"), ("b", "d@1")]


def test_contacts_that_are_found_later_are_asked_from_then_on():
    replica = _newcomer(())
    replica.tick(0.0)
    assert _asked(replica) == []
    replica.contacts = ("a",)
    assert replica.contacts == ("a",)
    replica.tick(2 * Timing().election_max)
    assert _asked(replica) == [("a", "d@1")]
