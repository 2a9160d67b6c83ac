# SPDX-License-Identifier: BSD-3-Clause
"""The replicated state of canary releases: starts, steps, races, snapshots."""

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


def test_an_order_sent_again_is_the_same_one_whatever_became_of_it():
    state = CanaryState()
    assert state.start(_start()).verdict is StartVerdict.STARTED
    assert state.start(_start(at=102.0)).verdict is StartVerdict.KNOWN
    _end(state, ROLLED_BACK)
    again = state.start(_start(at=104.0))
    assert again.verdict is StartVerdict.KNOWN
    assert again.record.phase == ROLLED_BACK
    assert len(state.records) == 1


def test_a_version_that_was_rolled_back_may_be_tried_again_once_its_time_is_over():
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
def test_a_second_order_is_refused_while_one_runs(order, code):
    state = CanaryState()
    state.start(_start())
    before = state.plan()
    assert state.start(order).code is code
    assert state.plan() == before


def test_the_stable_version_can_not_be_started():
    state = CanaryState()
    state.start(_start())
    _end(state, COMPLETED)
    assert state.start(_start(at=500.0)).verdict is StartVerdict.KNOWN
    assert state.start(_start(at=500.0, duration_ms=60_000)).code is ErrorCode.CANARY_NOT_NEW


def test_two_services_have_canaries_at_once():
    state = CanaryState()
    assert state.start(_start(service="a")).verdict is StartVerdict.STARTED
    assert state.start(_start(service="b")).verdict is StartVerdict.STARTED
    assert [record.service for record in state.running()] == ["a", "b"]


def test_a_step_decided_on_a_state_of_the_past_changes_nothing():
    state = CanaryState()
    state.start(_start())
    record = messages.CanaryRecord()
    record.CopyFrom(state.newest("s"))
    assert state.step(make_step(record, RUNNING, 80, "trial"))
    revision = state.revision
    # A deposed leader's, which has seen the state before.
    assert not state.step(make_step(record, COMPLETED, 1000, "late"))
    assert state.newest("s").phase == RUNNING
    assert state.revision == revision


@pytest.mark.parametrize("first", [COMPLETED, ROLLED_BACK])
@pytest.mark.parametrize("second", [RUNNING, COMPLETED, ROLLED_BACK])
def test_an_end_is_final(first, second):
    state = CanaryState()
    state.start(_start())
    _end(state, first)
    assert not state.step(make_step(state.newest("s"), second, 1000, "again"))
    assert state.newest("s").phase == first


def test_a_step_of_a_former_canary_is_not_one_of_the_next():
    state = CanaryState()
    state.start(_start())
    former = make_step(state.newest("s"), COMPLETED, 1000, "late")
    _end(state, ROLLED_BACK)
    state.start(_start(at=200.0))
    assert not state.step(former)


def test_completion_withholds_what_was_displaced_and_it_may_come_back_as_a_canary():
    state = CanaryState()
    state.start(_start())
    _end(state, COMPLETED, displaced=("v1", "v2"))
    assert list(state.rule("s").withheld) == ["v1"]
    state.start(_start("v1", at=500.0))
    assert (state.rule("s").canary, list(state.rule("s").withheld)) == ("v1", [])


def test_a_snapshot_of_the_mesh_holds_canaries():
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
def test_whatever_is_applied_ends_are_final_and_rules_are_whole(entries):
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
