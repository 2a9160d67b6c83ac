# SPDX-License-Identifier: BSD-3-Clause
"""Tests of the replicated state of canary releases: starts, steps, races, snapshots."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lanedock.canary import CanaryState, StartVerdict, make_step
from lanedock.errors import ErrorCode
from lanedock.rollout import MeshState
from lanedock.wire import messages

RUNNING, COMPLETED, ROLLED_BACK = messages.CANARY_RUNNING, messages.CANARY_COMPLETED, messages.CANARY_ROLLED_BACK


def _start(version="v2", service="s", duration_ms=16_000, at=100.0) -> messages.CanaryStart:
    return messages.CanaryStart(service=service, version=version, duration_ms=duration_ms, started_at=at)


def _end(state: CanaryState, phase: int, displaced=("v1",)) -> None:
    step = make_step(state.newest("s"), phase, 0, "for a test")
    step.displaced.extend(displaced)
    assert state.step(step)


def test_a_resent_start_returns_the_existing_canary_even_after_its_rollback():
    state = CanaryState()
    assert state.start(_start()).verdict is StartVerdict.STARTED
    assert state.start(_start(at=102.0)).verdict is StartVerdict.KNOWN
    _end(state, ROLLED_BACK)
    again = state.start(_start(at=104.0))
    assert again.verdict is StartVerdict.KNOWN
    assert again.record.phase == ROLLED_BACK
    assert len(state.records) == 1


def test_a_rolled_back_version_may_be_started_again_after_its_duration():
    state = CanaryState()
    state.start(_start())
    _end(state, ROLLED_BACK)
    assert list(state.rule("s").withheld) == ["v2"]
    result = state.start(_start(at=116.0))
    assert result.verdict is StartVerdict.STARTED
    assert result.record.number == 2
    assert list(state.rule("s").withheld) == []
    assert state.rule("s").share_permille == 0


@pytest.mark.parametrize(
    ("order", "code"),
    [
        (_start("v3"), ErrorCode.CANARY_RUNS),
        (_start("v2", duration_ms=20_000), ErrorCode.CANARY_RUNS),
    ],
)
def test_a_different_start_is_refused_while_a_canary_runs(order, code):
    state = CanaryState()
    state.start(_start())
    before = state.plan()
    assert state.start(order).code is code
    assert state.plan() == before


def test_the_stable_version_cannot_be_started_as_a_canary():
    state = CanaryState()
    state.start(_start())
    _end(state, COMPLETED)
    assert state.start(_start(at=500.0)).verdict is StartVerdict.KNOWN
    assert state.start(_start(at=500.0, duration_ms=60_000)).code is ErrorCode.CANARY_NOT_NEW


def test_two_services_can_have_canaries_at_the_same_time():
    state = CanaryState()
    assert state.start(_start(service="a")).verdict is StartVerdict.STARTED
    assert state.start(_start(service="b")).verdict is StartVerdict.STARTED
    assert [record.service for record in state.running()] == ["a", "b"]


def test_a_step_decided_on_an_outdated_state_is_ignored():
    state = CanaryState()
    state.start(_start())
    record = messages.CanaryRecord()
    record.CopyFrom(state.newest("s"))
    assert state.step(make_step(record, RUNNING, 80, "trial"))
    revision = state.revision
    # The step of a former leader that was decided on the previous state.
    assert not state.step(make_step(record, COMPLETED, 1000, "late"))
    assert state.newest("s").phase == RUNNING
    assert state.revision == revision


@pytest.mark.parametrize("first", [COMPLETED, ROLLED_BACK])
@pytest.mark.parametrize("second", [RUNNING, COMPLETED, ROLLED_BACK])
def test_no_step_is_applied_after_the_end_of_a_canary(first, second):
    state = CanaryState()
    state.start(_start())
    _end(state, first)
    assert not state.step(make_step(state.newest("s"), second, 1000, "again"))
    assert state.newest("s").phase == first


def test_a_step_of_a_former_canary_is_not_applied_to_the_next():
    state = CanaryState()
    state.start(_start())
    former = make_step(state.newest("s"), COMPLETED, 1000, "late")
    _end(state, ROLLED_BACK)
    state.start(_start(at=200.0))
    assert not state.step(former)


def test_a_completed_canary_withholds_the_displaced_version_until_its_next_start():
    state = CanaryState()
    state.start(_start())
    _end(state, COMPLETED, displaced=("v1", "v2"))
    assert list(state.rule("s").withheld) == ["v1"]
    state.start(_start("v1", at=500.0))
    assert (state.rule("s").canary, list(state.rule("s").withheld)) == ("v1", [])


def test_a_snapshot_of_the_mesh_contains_canaries():
    mesh = MeshState()
    mesh.apply(messages.Command(canary_start=_start()))
    mesh.apply(messages.Command(canary_step=make_step(mesh.canaries.newest("s"), RUNNING, 80, "trial")))
    restored = MeshState.restore(mesh.snapshot())
    assert restored.canaries.plan() == mesh.canaries.plan()
    assert restored.canaries.records == mesh.canaries.records
    assert restored.apply(messages.Command(canary_start=_start("v3"))).code is ErrorCode.CANARY_RUNS


_ENTRIES = st.lists(
    st.tuples(
        st.sampled_from(["start", "step"]),
        st.sampled_from(["v1", "v2", "v3"]),
        st.integers(0, 3),
        st.integers(0, 4),
        st.sampled_from([RUNNING, COMPLETED, ROLLED_BACK]),
        st.floats(0, 60),
    ),
    max_size=30,
)


@given(_ENTRIES)
def test_ends_are_final_and_rules_stay_consistent_for_any_entries(entries):
    state, ended, revision = CanaryState(), {}, 0
    for kind, version, number, step, phase, at in entries:
        if kind == "start":
            state.start(_start(version, at=at))
        else:
            command = messages.CanaryStep(service="s", number=number, step=step, phase=phase, share_permille=500)
            command.displaced.extend(["v1", "v2", "v3"])
            state.step(command)
        assert state.revision >= revision
        revision = state.revision
        for record in state.records:
            if record.phase != RUNNING:
                assert ended.setdefault(record.number, record.phase) == record.phase
        rule = state.rule("s")
        if rule is not None:
            assert rule.canary not in rule.withheld
        newest = state.newest("s")
        if newest is not None and newest.phase == ROLLED_BACK:
            assert newest.version in rule.withheld
        if newest is not None and newest.phase == COMPLETED:
            assert newest.version not in rule.withheld
