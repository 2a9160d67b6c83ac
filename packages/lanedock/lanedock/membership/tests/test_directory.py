# SPDX-License-Identifier: BSD-3-Clause
"""Tests of the endpoint directory and of the platform's list."""

import pytest

from lanedock.errors import ErrorCode, LanedockError
from lanedock.membership import Directory, FilePlatformList, Instance, InstanceState, parse_instances

WINDOW = 0.5


def _instance(name: str, state=InstanceState.LIVE, incarnation: int = 1, port: int = 1) -> Instance:
    return Instance(name, "z", "s", "h", port, state, incarnation)


def _leaving_by_instance(update) -> dict[str, bool]:
    return {endpoint.instance: endpoint.leaving for endpoint in update.changed} if update else {}


@pytest.fixture
def directory():
    filled = Directory(WINDOW)
    filled.apply_instance_list([_instance("a"), _instance("b")], 0.0)
    assert _leaving_by_instance(filled.take_update(WINDOW)) == {"a": False, "b": False}
    return filled


def test_changes_are_batched_within_the_window(directory):
    directory.apply_instance_list([_instance("a"), _instance("b"), _instance("c")], 1.0)
    directory.apply_instance_list([_instance("a", port=2), _instance("b"), _instance("c")], 1.2)
    assert directory.take_update(1.4) is None
    assert _leaving_by_instance(directory.take_update(1.5)) == {"a": False, "c": False}
    assert directory.take_update(9.0) is None


@pytest.mark.parametrize("cause", ["list", "drain", "gone"])
def test_leaving_or_removed_instance_is_sent_immediately(directory, cause):
    if cause == "list":
        directory.apply_instance_list([_instance("a", InstanceState.LEAVING), _instance("b")], 1.0)
    elif cause == "drain":
        assert directory.drain("a", 7, 1.0)
    else:
        directory.apply_instance_list([_instance("b")], 1.0)
    update = directory.take_update(1.0)
    assert _leaving_by_instance(update) == ({} if cause == "gone" else {"a": True})
    assert list(update.gone) == (["a"] if cause == "gone" else [])


def test_outdated_list_does_not_revive_a_leaving_instance(directory):
    directory.apply_instance_list([_instance("a", InstanceState.LEAVING), _instance("b")], 1.0)
    directory.take_update(1.0)
    directory.apply_instance_list([_instance("a"), _instance("b")], 2.0)
    assert directory.take_update(9.0) is None
    directory.apply_instance_list([_instance("a", incarnation=2), _instance("b")], 10.0)
    assert _leaving_by_instance(directory.take_update(11.0)) == {"a": False}


def test_drained_instance_returns_after_its_daemon_restarts(directory):
    assert directory.drain("a", 7, 1.0)
    assert not directory.drain("a", 7, 1.0)
    directory.take_update(1.0)
    directory.clear_drain("a", 7)
    directory.apply_instance_list([_instance("a"), _instance("b")], 2.0)
    assert directory.take_update(9.0) is None
    directory.clear_drain("a", 8)
    directory.apply_instance_list([_instance("a"), _instance("b")], 10.0)
    assert _leaving_by_instance(directory.take_update(11.0)) == {"a": False}


def test_whole_update_contains_all_sent_endpoints(directory):
    directory.drain("b", 1, 1.0)
    directory.take_update(1.0)
    assert _leaving_by_instance(directory.whole_update()) == {"a": False, "b": True}


@pytest.mark.parametrize("text", ["", "{}", '{"instances": [{"name": "a"}]}', '{"instances": 7}', '{"instances": [7]}'])
def test_list_without_valid_entries_is_rejected(tmp_path, text):
    path = tmp_path / "list.json"
    path.write_text(text, encoding="utf-8")
    with pytest.raises(LanedockError) as caught:
        FilePlatformList(str(path)).read()
    assert caught.value.code is ErrorCode.PLATFORM_UNREADABLE


def test_valid_list_is_parsed():
    text = '{"instances": [{"name": "a", "zone": "z", "host": "1.2.3.4", "port": 5, "state": "leaving"}]}'
    (instance,) = parse_instances(text, "l")
    assert (instance.service, instance.state, instance.incarnation) == ("", InstanceState.LEAVING, 1)


@pytest.mark.parametrize(
    "entry",
    [
        "7",
        "null",
        '{"name": "b", "zone": "z", "host": "1.2.3.4"}',
        '{"name": "b", "zone": "z", "host": "1.2.3.4", "port": "5"}',
        '{"name": "b", "zone": "z", "host": "1.2.3.4", "port": 70000}',
        '{"name": 7, "zone": "z", "host": "1.2.3.4", "port": 5}',
        '{"name": "b", "zone": "z", "host": "1.2.3.4", "port": 5, "state": "asleep"}',
        '{"name": "b", "zone": "z", "host": "1.2.3.4", "port": 5, "incarnation": -1}',
        '{"name": "b", "zone": "z", "host": "1.2.3.4", "port": 5, "service": []}',
        '{"name": "b\\ud800", "zone": "z", "host": "1.2.3.4", "port": 5}',
    ],
)
def test_invalid_entry_is_skipped_and_the_others_are_used(tmp_path, entry):
    path = tmp_path / "list.json"
    valid = '{"name": "a", "zone": "z", "host": "1.2.3.4", "port": 5}'
    path.write_text(f'{{"instances": [{entry}, {valid}]}}', encoding="utf-8")
    source = FilePlatformList(str(path))
    assert [instance.name for instance in source.read()] == ["a"]
    assert source.findings[0].place.path.startswith("/instances/0")
