# SPDX-License-Identifier: BSD-3-Clause
"""Tests of the replicated state, the leader's decisions and the leader's view of the daemons."""

import pytest

from lanedock.config import Version, split_config
from lanedock.errors import ErrorCode
from lanedock.membership import Instance, InstanceState
from lanedock.rollout import FleetView, MeshState, RolloutCoordinator, RolloutPolicy, Verdict, fill_content
from lanedock.wire import messages


def make_tree(version: int, slots: int = 1, routes: int = 0):
    """Return a version; with more than seven routes, versions differ in route 7."""
    return split_config(
        {
            "mesh": "m",
            "version": version,
            "zones": ["z"],
            "traffic_classes": [{"name": "c", "share": 0.5}],
            "services": [{"name": "s", "zones": ["z"], "slots": slots}, {"name": "t", "zones": ["z"]}],
            "routes": [make_route(number, version if number == 7 else 0) for number in range(routes)],
        }
    )


def make_route(number: int, variant: int) -> dict:
    return {"name": f"r{number}", "path": f"/{number}/{variant}", "service": "s", "traffic_class": "c"}


def make_command(tree, base=None) -> messages.Command:
    """Return a command that submits a version, as a delta if a base is given."""
    command = messages.Command()
    command.submit.version = tree.number
    command.submit.digest = tree.version.digest
    fill_content(command.submit, tree, base)
    return command


def submit(state: MeshState, version: int, slots: int = 1, allow: tuple = ()):
    tree = make_tree(version, slots)
    command = messages.Command()
    command.submit.version = version
    command.submit.digest = tree.version.digest
    command.submit.content = tree.pack()
    command.submit.allow_cut_off.extend(allow)
    return state.apply(command)


def decide_version(state: MeshState, version: int, kind: str = "accept", slots: int = 1, routes: int = 0):
    command = messages.Command()
    getattr(command, kind).version = version
    getattr(command, kind).digest = make_tree(version, slots, routes).version.digest
    state.apply(command)


class TestState:
    def test_log_order_decides_between_submissions(self):
        state = MeshState()
        assert submit(state, 2).verdict is Verdict.STAGING
        assert submit(state, 2).verdict is Verdict.KNOWN
        assert submit(state, 2, slots=9).code is ErrorCode.VERSION_CONFLICT
        assert submit(state, 3).code is ErrorCode.SUBMISSION_BUSY
        decide_version(state, 2)
        assert submit(state, 2).verdict is Verdict.KNOWN
        assert submit(state, 1).code is ErrorCode.VERSION_STALE
        assert submit(state, 3).verdict is Verdict.STAGING

    def test_number_of_an_aborted_version_is_not_reused(self):
        state = MeshState()
        submit(state, 5)
        decide_version(state, 5, "abort")
        assert submit(state, 5).record.outcome == messages.OUTCOME_ABORTED
        assert submit(state, 5, slots=2).code is ErrorCode.VERSION_CONFLICT
        assert submit(state, 4).verdict is Verdict.STAGING

    @pytest.mark.parametrize("slots", [1, 2])
    def test_decision_on_another_digest_or_number_is_ignored(self, slots):
        state = MeshState()
        submit(state, 2, slots=slots)
        decide_version(state, 2, "accept", slots=3)
        decide_version(state, 1, "accept", slots=slots)
        assert (state.accepted_version.number, state.candidate_version.number) == (0, 2)

    def test_numbers_of_deleted_records_are_not_reused(self, monkeypatch):
        monkeypatch.setattr("lanedock.rollout.state.MAX_RECORDS", 3)
        state = MeshState()
        for number in range(1, 9):
            submit(state, 2 * number)
            decide_version(state, 2 * number, "accept" if number < 3 else "abort")
        assert len(state.records) == 3
        assert submit(state, 6).code is ErrorCode.VERSION_STALE
        restored = MeshState.restore(state.snapshot())
        assert submit(restored, 6).code is ErrorCode.VERSION_STALE
        assert submit(restored, 17).verdict is Verdict.STAGING

    def test_snapshot_restores_the_whole_state(self):
        state = MeshState()
        submit(state, 1)
        decide_version(state, 1)
        submit(state, 2)
        restored = MeshState.restore(state.snapshot())
        assert restored.snapshot() == state.snapshot()
        assert restored.tree(1).version == make_tree(1).version
        assert restored.candidate_version == make_tree(2).version

    def test_each_replica_rebuilds_a_version_from_its_delta(self):
        state, other = MeshState(), MeshState()
        base = None
        for number in range(1, 12):
            tree = make_tree(number, slots=number)
            command = make_command(tree, base)
            for replica in (state, other):
                assert replica.apply(command).verdict is Verdict.STAGING
                decide_version(replica, number, slots=number)
                assert replica.tree(number).version == tree.version
                assert replica.tree(number).contents == tree.contents
            base = tree
            # A replica may restart from a snapshot at any time.
            other = MeshState.restore(other.snapshot())
            assert other.snapshot() == state.snapshot()
        assert state.kept_versions() == list(range(4, 12))

    def test_delta_with_a_base_that_is_not_kept_is_refused(self):
        state = MeshState()
        assert submit(state, 1).verdict is Verdict.STAGING
        decide_version(state, 1)
        late = make_command(make_tree(100), state.tree(1))
        for number in range(2, 12):
            submit(state, number)
            decide_version(state, number)
        before = state.snapshot()
        result = state.apply(late)
        assert (result.verdict, result.code) == (Verdict.BUSY, ErrorCode.SUBMISSION_BUSY)
        assert state.snapshot() == before

    def test_delta_that_does_not_match_its_digest_is_refused(self):
        state = MeshState()
        submit(state, 1)
        decide_version(state, 1)
        forged = make_command(make_tree(2, slots=2), state.tree(1))
        forged.submit.digest = make_tree(2, slots=3).version.digest
        assert state.apply(forged).verdict is Verdict.BUSY
        assert state.candidate is None and state.tree(2) is None

    def test_change_of_one_route_adds_little_to_the_log_and_to_snapshots(self):
        state = MeshState()
        base = None
        for number in range(1, 9):
            tree = make_tree(number, routes=2000)
            command = make_command(tree, base)
            if base is not None:
                assert len(command.SerializeToString()) < 2048
            state.apply(command)
            decide_version(state, number, routes=2000)
            base = tree
        # Eight whole contents would take 8 times the size of one.
        assert len(state.snapshot()) < 1.5 * len(base.pack())

    def test_only_the_latest_contents_are_kept(self):
        state = MeshState()
        for number in range(1, 13):
            submit(state, number)
            decide_version(state, number)
        assert [number for number in state.records if state.tree(number)] == list(range(5, 13))


class Fleet:
    """A coordinator with three listed and connected daemons."""

    def __init__(self):
        self.state = MeshState()
        self.view = FleetView(dead_after=1.5, silent_after=3.0)
        self.listed = [Instance(name, "z", "s", "h", 1) for name in "abc"]
        self.view.apply_instance_list(self.listed, 0.0)
        self.sequence = 0
        self.coordinator = RolloutCoordinator(self.state, self.view, RolloutPolicy(2.5, 1.5))
        self.report({name: {} for name in "abc"}, whole=True)

    def report(self, changed: dict, gone=(), whole=False, attested=(), now=0.0) -> bool:
        self.sequence += 1
        report = messages.FleetReport(sequence=self.sequence, whole=whole)
        for name, fields in changed.items():
            report.changed.add(daemon=name, zone="z", **fields)
        report.gone.extend(gone)
        for attester, instance, reachable in attested:
            report.attestations.add(attester=attester, instance=instance, reachable=reachable)
        return self.view.process_report("r@1", report, now)

    def stage(self, names: str, version: int, slots: int = 1):
        digest = make_tree(version, slots).version.digest
        self.report({name: {"staged_version": version, "staged_digest": digest} for name in names})

    def decide(self, now: float) -> str | None:
        command = self.coordinator.decide(now, 0.0)
        return command.WhichOneof("body") if command else None


@pytest.fixture
def fleet():
    new_fleet = Fleet()
    submit(new_fleet.state, 1)
    return new_fleet


class TestCoordinator:
    def test_version_is_accepted_once_all_daemons_have_staged_it(self, fleet):
        fleet.stage("ab", 1)
        assert fleet.decide(0.1) is None
        fleet.stage("c", 1, slots=7)
        assert fleet.decide(0.2) is None
        fleet.stage("c", 1)
        assert fleet.decide(0.3) == "accept"
        assert fleet.decide(0.4) is None

    def test_one_refusal_aborts_the_version_with_the_findings(self, fleet):
        fleet.stage("ab", 1)
        digest = make_tree(1).version.digest
        finding = messages.FindingRecord(code="LD1004", message="too many")
        fleet.report({"c": {"refused_version": 1, "refused_digest": digest, "findings": [finding]}})
        command = fleet.coordinator.decide(0.1, 0.0)
        assert command.abort.reason == ErrorCode.STAGING_REFUSED.code
        assert [item.message for item in command.abort.findings] == ["daemon c: too many"]

    def test_timeout_names_the_daemons_that_have_not_staged(self, fleet):
        fleet.stage("ab", 1)
        assert fleet.decide(0.0) is None
        assert fleet.decide(2.4) is None
        command = fleet.coordinator.decide(2.6, 0.0)
        assert command.abort.reason == ErrorCode.STAGING_TIMEOUT.code
        assert ["daemon c in z" in item.message for item in command.abort.findings] == [True]

    def test_no_version_is_accepted_before_the_list_has_been_read(self):
        fleet = Fleet()
        fleet.view._instances = None
        submit(fleet.state, 1)
        fleet.stage("abc", 1)
        assert fleet.decide(0.1) is None
        assert fleet.coordinator.decide(3.0, 0.0).abort.findings[0].code == ErrorCode.PLATFORM_UNREADABLE.code

    @pytest.mark.parametrize(
        ("attested", "expected"),
        [
            ([], None),
            ([("a", "c", False)], None),
            ([("a", "c", False), ("b", "c", True)], None),
            ([("a", "c", False), ("x", "c", False)], None),
            ([("a", "c", False), ("b", "c", False)], "accept"),
        ],
    )
    def test_dead_daemon_blocks_until_two_daemons_of_its_zone_attest_it(self, fleet, attested, expected):
        fleet.stage("ab", 1)
        fleet.report({}, gone=["c"], now=1.0)
        assert fleet.decide(1.1) is None
        fleet.report({}, attested=attested, now=2.4)
        assert fleet.decide(2.49) is None
        assert fleet.decide(2.55) == expected

    def test_daemons_of_a_zone_without_connected_daemons_do_not_count_as_dead(self, fleet):
        fleet.report({}, gone=["a", "b", "c"], attested=[("a", "c", False), ("b", "c", False)], now=1.0)
        assert fleet.view.required(set(), 9.0) == {"a", "b", "c"}
        assert fleet.view.required({"z"}, 9.0) == set()

    def test_disconnected_leaving_instance_does_not_block(self, fleet):
        fleet.listed[2].state = InstanceState.LEAVING
        fleet.stage("ab", 1)
        fleet.report({}, gone=["c"], now=0.0)
        assert fleet.decide(2.0) == "accept"

    def test_reports_of_a_silent_control_instance_do_not_count(self, fleet):
        fleet.stage("abc", 1)
        fleet.view.drop_silent(3.5)
        assert fleet.decide(3.5) is None

    def test_missing_report_is_detected(self, fleet):
        fleet.sequence += 1
        assert not fleet.report({"a": {}})
        assert fleet.report({"a": {}}, whole=True)

    def test_progress_counts_daemons_until_the_version_is_in_force(self, fleet):
        fleet.stage("abc", 1)
        decide_version(fleet.state, 1)
        progress = fleet.coordinator.progress(1, set(), 0.1)
        assert (progress.staged, progress.in_force, progress.lagging) == (3, 0, ["a", "b", "c"])
        fleet.report({name: {"in_force_version": 1} for name in "ab"})
        assert fleet.coordinator.progress(1, set(), 0.2).lagging == ["c"]


def test_versions_are_equal_by_number_and_digest():
    assert Version(1, b"x") == Version(1, b"x") != Version(1, b"y")
