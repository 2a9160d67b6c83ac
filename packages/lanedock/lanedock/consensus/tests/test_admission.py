# SPDX-License-Identifier: BSD-3-Clause
"""Tests of the admission requests of a replica that is no voter."""

from random import Random

from lanedock.consensus import LogSnapshot, RaftLog, RaftReplica, Timing
from lanedock.wire import messages


def _non_voter(contacts: tuple[str, ...]) -> RaftReplica:
    log = RaftLog(LogSnapshot(0, 0, messages.Membership(), b""), [])
    return RaftReplica("d@1", log, 0, "", Timing(), Random(0), 0.0, contacts)


def _sent_join_requests(replica: RaftReplica) -> list[tuple[str, str]]:
    return [(message.receiver, message.join_request.joiner) for message in replica.take_ready().messages_after_sync]


def test_a_non_voter_sends_admission_requests_to_its_contacts_on_the_first_tick():
    replica = _non_voter(("a", "b"))
    replica.tick(0.0)
    assert _sent_join_requests(replica) == [("a", "d@1"), ("b", "d@1")]


def test_contacts_set_later_get_an_admission_request_on_the_next_due_tick():
    replica = _non_voter(())
    replica.tick(0.0)
    assert _sent_join_requests(replica) == []
    replica.contacts = ("a",)
    assert replica.contacts == ("a",)
    replica.tick(2 * Timing().election_max)
    assert _sent_join_requests(replica) == [("a", "d@1")]
