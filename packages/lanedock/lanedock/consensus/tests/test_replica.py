# SPDX-License-Identifier: BSD-3-Clause
"""Tests of the consensus core."""

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from lanedock.consensus.replica import NEVER_LED
from lanedock.consensus.tests.replicas import Cluster
from lanedock.wire import messages

NAMES = ("a", "b", "c")


def _payloads(node) -> list[bytes]:
    return [payload for _, payload in node.applied if payload]


def _elect(cluster: Cluster):
    cluster.run(5)
    (leader,) = cluster.leaders()
    return leader


def _lead_and_crash_all(cluster: Cluster):
    """Apply an entry, crash all replicas, and return the former leader."""
    leader = _elect(cluster)
    cluster.propose(leader, b"x")
    cluster.run(1)
    for node in cluster.nodes.values():
        node.crash()
    return leader


@pytest.mark.parametrize("names", [("a",), NAMES, ("a", "b", "c", "d", "e")])
def test_a_proposal_is_applied_on_all_replicas(names):
    cluster = Cluster(names, seed=1)
    leader = _elect(cluster)
    cluster.propose(leader, b"x")
    cluster.run(1)
    assert all(_payloads(node) == [b"x"] for node in cluster.nodes.values())


def test_the_lease_of_an_isolated_leader_expires_before_another_leader_is_elected():
    cluster = Cluster(NAMES, seed=2)
    old = _elect(cluster)
    cluster.isolate(old.id[0])
    saw_no_leader = False
    while True:
        cluster.run(0.05)
        leaders = cluster.leaders()
        assert len(leaders) <= 1
        saw_no_leader = saw_no_leader or not leaders
        if leaders and leaders[0] is not old:
            break
    assert saw_no_leader
    assert cluster.propose(old, b"lost") is None


def test_silence_counts_from_the_last_message_or_lease_of_a_leader():
    cluster = Cluster(NAMES, seed=2)
    assert all(node.replica.leader_silence(cluster.now) == NEVER_LED for node in cluster.nodes.values())
    old = _elect(cluster)
    # An isolated leader counts from the end of its lease, not from its election.
    cluster.run(60)
    cluster.isolate(old.id[0])
    cluster.run(1)
    assert old.replica.leader_silence(cluster.now) < 1.0
    # Votes and candidacies of replicas without a quorum are no evidence of a leader.
    follower = next(node for node in cluster.nodes.values() if node is not old)
    cluster.run(5)
    assert follower.replica.leader_silence(cluster.now) < 1.0
    for node in cluster.nodes.values():
        cluster.isolate(node.id[0])
    cluster.run(30)
    assert all(29.0 < node.replica.leader_silence(cluster.now) < 40.0 for node in cluster.nodes.values())


def test_a_leader_knows_for_how_long_each_follower_may_have_heard_no_leader():
    """Guards against a follower that grants quotas alone while the leader takes it for connected.

    Messages of a follower don't show that it hears the leader: only its replies do, from the
    time at which the leader sent what they answer.
    """
    cluster = Cluster(NAMES, seed=2)
    leader = _elect(cluster)
    follower, other = (node for node in cluster.nodes.values() if node is not leader)
    cluster.propose(leader, b"x")
    cluster.run(5)
    for node in (follower, other):
        silence = node.replica.leader_silence(cluster.now)
        assert silence <= leader.replica.unreached_time(node.id, cluster.now) < 0.3
    cluster.isolate(follower.id[0])
    cluster.run(2)
    assert follower.replica.leader_silence(cluster.now) <= leader.replica.unreached_time(follower.id, cluster.now)
    assert 2.0 <= leader.replica.unreached_time(follower.id, cluster.now) < 2.3
    assert leader.replica.unreached_time(other.id, cluster.now) < 0.3
    cluster.heal()
    cluster.run(0.5)
    assert leader.replica.unreached_time(follower.id, cluster.now) < 0.3
    assert follower.replica.unreached_time(leader.id, cluster.now) == float("inf")


def test_the_former_leader_is_reelected_without_delay_after_all_replicas_crash():
    cluster = Cluster(NAMES, seed=2)
    old = _lead_and_crash_all(cluster)
    for node in cluster.nodes.values():
        node.start()
    # 0.2 s is well below the time for which a follower supports no other leader.
    cluster.run(0.2)
    assert [node.id for node in cluster.leaders()] == [old.id]


def test_the_former_leader_is_reelected_soon_when_the_others_restart_later():
    # Guards against a former leader that stops retrying before the others are reachable, as
    # with a retry period of 0.3 s.
    cluster = Cluster(NAMES, seed=2)
    old = _lead_and_crash_all(cluster)
    old.start()
    cluster.run(1.5)
    for node in cluster.nodes.values():
        if node is not old:
            node.start()
    cluster.run(0.4)
    assert [node.id for node in cluster.leaders()] == [old.id]


def test_followers_do_not_wait_for_the_lease_of_a_leader_that_returns_without_its_disk():
    # After a power failure in which the leader loses its disk, the others must not wait for the
    # rest of its lease, which took 0.4 s.
    cluster = Cluster(NAMES, seed=2)
    old = _lead_and_crash_all(cluster)
    for node in cluster.nodes.values():
        if node is not old:
            node.start()
    cluster.lose_disk(old.id[0], "2")
    # Half of the time for which a follower would support no other leader.
    cluster.run(0.5 * cluster.timing.election_min)
    (new,) = cluster.leaders()
    assert new.id != old.id


def test_a_delayed_message_of_an_earlier_incarnation_does_not_end_a_lease():
    cluster = Cluster(NAMES, seed=2)
    old = _elect(cluster)
    cluster.propose(old, b"x")
    cluster.run(1)
    name = old.id[0]
    cluster.isolate(name)
    others = [node for node in cluster.nodes.values() if node is not old]
    for node in others:
        node.crash()
        node.start()
        delayed = messages.PeerMessage(sender=f"{name}@0", receiver=node.id)
        delayed.join_request.joiner = f"{name}@0"
        node.replica.step(delayed, cluster.now)
        node.process_ready()
        # A reply to a challenge that was never sent to this incarnation.
        answer = messages.PeerMessage(sender=f"{name}@0", receiver=node.id, term=node.replica.term)
        answer.read_index_reply.token = 7
        node.replica.step(answer, cluster.now)
        node.process_ready()
    while cluster.now < 6.0 + 0.8 * cluster.timing.election_min:
        cluster.run(0.05)
        assert cluster.leaders() in ([old], [])
    assert cluster.leaders() != []


def test_a_restarted_follower_votes_for_no_other_candidate_during_its_leaders_lease():
    cluster = Cluster(NAMES, seed=2)
    old = _elect(cluster)
    cluster.propose(old, b"x")
    cluster.run(1)
    others = [node for node in cluster.nodes.values() if node is not old]
    cluster.isolate(old.id[0])
    others[0].crash()
    others[0].start()
    cluster.run(0.2)
    # The lease of the isolated leader may not have expired.
    others[1].replica._start_election(cluster.now, trial=True)
    others[1].process_ready()
    cluster.run(0.1)
    assert [node.id for node in cluster.leaders()] in ([old.id], [])


def test_an_uncommitted_entry_of_an_isolated_leader_is_replaced():
    cluster = Cluster(NAMES, seed=3)
    old = _elect(cluster)
    cluster.isolate(old.id[0])
    assert cluster.propose(old, b"lost") is not None
    cluster.run(5)
    (new,) = cluster.leaders()
    cluster.propose(new, b"kept")
    cluster.heal()
    cluster.run(5)
    assert all(_payloads(node) == [b"kept"] for node in cluster.nodes.values())


def test_a_replica_that_lags_behind_the_snapshot_catches_up():
    cluster = Cluster(NAMES, seed=4)
    leader = _elect(cluster)
    isolated = next(node for node in cluster.nodes.values() if node is not leader)
    cluster.isolate(isolated.id[0])
    for number in range(300):
        cluster.propose(leader, b"%d" % number)
        cluster.run(0.05)
    leader.compact()
    assert not leader.replica.log.entries
    cluster.heal()
    cluster.run(5)
    assert _payloads(isolated) == [b"%d" % number for number in range(300)]


def test_a_replica_without_its_disk_returns_as_a_learner_and_becomes_a_voter():
    cluster = Cluster(NAMES, seed=5)
    leader = _elect(cluster)
    cluster.propose(leader, b"x")
    cluster.run(1)
    lost_name = next(node.id[0] for node in cluster.nodes.values() if node is not leader)
    cluster.lose_disk(lost_name, "2")
    assert not cluster.nodes[lost_name].replica.can_vote()
    cluster.run(8)
    assert cluster.nodes[lost_name].replica.can_vote()
    assert f"{lost_name}@1" not in leader.replica.membership.voters
    # Right after that replica votes again, a second one loses its disk.
    second_name = next(name for name in NAMES if name not in (lost_name, leader.id[0]))
    cluster.lose_disk(second_name, "3")
    cluster.run(10)
    assert all(_payloads(node) == [b"x"] for node in cluster.nodes.values())
    assert cluster.nodes[second_name].replica.can_vote()


def test_a_read_is_answered_only_after_a_quorum_confirms_it():
    cluster = Cluster(NAMES, seed=6)
    leader = _elect(cluster)
    follower = next(node for node in cluster.nodes.values() if node is not leader)
    index = cluster.propose(leader, b"x")
    cluster.run(0.2)
    follower.replica.request_read(7, cluster.now)
    follower.process_ready()
    cluster.run(0.2)
    assert [(token, at >= index) for _, token, at in cluster.reads] == [(7, True)]
    cluster.isolate(leader.id[0])
    leader.replica.request_read(8, cluster.now)
    leader.process_ready()
    cluster.run(5)
    assert all(token != 8 for _, token, _ in cluster.reads)


@pytest.mark.parametrize("seed", range(10))
def test_the_others_elect_at_once_when_the_disk_of_the_leader_is_full(seed):
    # The others waited until the lease of the leader had run out unheard.
    cluster = Cluster(NAMES, seed)
    old = _elect(cluster)
    old.is_full = True
    cluster.propose(old, b"x")
    assert not old.replica.is_leader(cluster.now)
    # Less than the time for which a follower supports no other leader, in steps of a round trip.
    cluster.run(0.5, step=0.005)
    (leader,) = cluster.leaders()
    assert leader is not old
    cluster.propose(leader, b"y")
    cluster.run(0.5)
    old.free()
    cluster.run(2.5)
    assert all(_payloads(node)[-1] == b"y" for node in cluster.nodes.values())
    assert len({tuple(_payloads(node)) for node in cluster.nodes.values()}) == 1


def test_a_resignation_that_arrives_late_does_not_end_the_lease_of_a_later_term():
    cluster = Cluster(NAMES, seed=3)
    old = _elect(cluster)
    term = old.replica.term
    for node in cluster.nodes.values():
        node.crash()
        node.start()
    cluster.run(5)
    (leader,) = cluster.leaders()
    assert leader.replica.term > term
    follower = next(node for node in cluster.nodes.values() if node is not leader)
    follower.replica.handle_resignation(leader.id, term, cluster.now)
    assert follower.replica.leader == leader.id
    follower.replica.handle_resignation(leader.id, leader.replica.term, cluster.now)
    assert not follower.replica.leader


def test_a_replica_whose_disk_is_full_neither_votes_nor_acknowledges():
    cluster = Cluster(NAMES, seed=4)
    leader = _elect(cluster)
    first, second = (node for node in cluster.nodes.values() if node is not leader)
    for node in (first, second):
        node.is_full = True
    index = cluster.propose(leader, b"x")
    cluster.run(5)
    assert leader.replica.commit_index < index
    assert not cluster.leaders()
    assert not any(first.id == message.sender for message in cluster.wire)
    first.free()
    cluster.run(5)
    (new,) = cluster.leaders()
    cluster.propose(new, b"y")
    cluster.run(1)
    assert _payloads(new)[-1] == b"y"


def test_silence_counts_on_after_a_disk_was_full():
    # A replica that had just heard the leader would otherwise grant quotas as if it were cut off.
    cluster = Cluster(NAMES, seed=5)
    leader = _elect(cluster)
    follower = next(node for node in cluster.nodes.values() if node is not leader)
    follower.is_full = True
    cluster.propose(leader, b"x")
    cluster.run(0.3)
    assert follower.is_suspended
    follower.free()
    assert follower.replica.leader_silence(cluster.now) < 1.0


class ReplicaMachine(RuleBasedStateMachine):
    """Loss, doubling, reordering, cuts, crashes, restarts and a lost disk."""

    def __init__(self):
        super().__init__()
        self.committed: dict[int, bytes] = {}
        self.leaders: dict[int, str] = {}
        self.proposed = 0
        self.incarnation = 1

    @initialize(seed=st.integers(0, 2**16))
    def start(self, seed):
        self.cluster = Cluster(NAMES, seed)
        self.cluster.run(4)

    @rule(seconds=st.sampled_from([0.05, 0.3, 1.1]))
    def pass_time_without_delivery(self, seconds):
        self.cluster.tick(seconds)
        del self.cluster.wire[400:]

    @rule(seconds=st.sampled_from([0.2, 1.0, 3.0]))
    def pass_time(self, seconds):
        self.cluster.run(seconds)

    @rule(data=st.data(), keep=st.booleans())
    def deliver_any(self, data, keep):
        if self.cluster.wire:
            position = data.draw(st.integers(0, len(self.cluster.wire) - 1))
            self.cluster.deliver(position, keep)

    @rule(data=st.data())
    def lose_any(self, data):
        if self.cluster.wire:
            del self.cluster.wire[data.draw(st.integers(0, len(self.cluster.wire) - 1)) :]

    @rule(name=st.sampled_from(NAMES))
    def isolate(self, name):
        self.cluster.heal()
        self.cluster.isolate(name)

    @rule()
    def heal(self):
        self.cluster.heal()

    @rule(name=st.sampled_from(NAMES))
    def crash(self, name):
        self.cluster.nodes[name].crash()

    @rule(name=st.sampled_from(NAMES))
    def crash_before_sync(self, name):
        self.cluster.crash_next = name

    @rule()
    def restart_all(self):
        self.cluster.crash_next = ""
        for node in self.cluster.nodes.values():
            if node.replica is None:
                node.start()

    @rule(name=st.sampled_from(NAMES))
    def lose_a_disk(self, name):
        # One disk at a time, and only after the replacement of an earlier one is complete.
        voters = {replica for node in self._alive() for replica in node.replica.membership.voters}
        settled = all(node.replica.can_vote() for node in self._alive())
        if len(self._alive()) == 3 and len(voters) == 3 and settled:
            self.incarnation += 1
            self.cluster.lose_disk(name, str(self.incarnation))

    @rule()
    def propose(self):
        self.proposed += 1
        for node in self.cluster.leaders():
            self.cluster.propose(node, b"%d" % self.proposed)

    @rule(name=st.sampled_from(NAMES))
    def compact(self, name):
        if self.cluster.nodes[name].replica is not None:
            self.cluster.nodes[name].compact()

    def _alive(self):
        return [node for node in self.cluster.nodes.values() if node.replica is not None]

    @invariant()
    def what_is_applied_is_the_same_everywhere(self):
        for node in self.cluster.nodes.values():
            for index, payload in node.applied:
                assert self.committed.setdefault(index, payload) == payload

    @invariant()
    def a_term_has_one_leader(self):
        for node in self.cluster.leaders():
            assert self.leaders.setdefault(node.replica.term, node.id) == node.id

    @invariant()
    def there_is_one_leader_at_a_time(self):
        assert len(self.cluster.leaders()) <= 1

    def teardown(self):
        if not hasattr(self, "cluster"):
            return
        self.restart_all()
        self.cluster.heal()
        self.cluster.run(15)
        assert len(self.cluster.leaders()) == 1
        (leader,) = self.cluster.leaders()
        applied = dict(leader.applied)
        assert all(applied[index] == payload for index, payload in self.committed.items())


TestReplicaMachine = ReplicaMachine.TestCase
TestReplicaMachine.settings = settings(max_examples=60, stateful_step_count=40, deadline=None, derandomize=True)
