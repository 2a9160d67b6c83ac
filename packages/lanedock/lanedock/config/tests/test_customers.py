# SPDX-License-Identifier: BSD-3-Clause
"""Tests of customers in the operators' file, in the configuration tree and in the model."""

import json

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lanedock.config import (
    ConfigTree,
    CustomerTable,
    check_document,
    check_generated_config,
    compare,
    decode_config,
    find_needed_groups,
    split_config,
)
from lanedock.config.customers import digest_key
from lanedock.config.tests.test_load import VALUE
from lanedock.config.tree import MAX_GROUP_ITEMS, is_customer_group
from lanedock.errors import ErrorCode
from lanedock.findings import Document, FindingsError

KEY, OTHER_KEY = "k-5b1f0c77", "k-e2900a4d"


def _make_value(customers: list, **fields) -> dict:
    return {**VALUE, "customers": customers, **fields}


def _make_customers(count: int) -> list[dict]:
    return [{"name": f"c{number}", "keys": [digest_key(str(number)).hex()], "rate": 5} for number in range(count)]


def _find_errors(value: object) -> list:
    try:
        check_document(Document("f", value, json.dumps(value)))
    except FindingsError as exc:
        return exc.findings
    return []


class _Decoded:
    def __init__(self, tree: ConfigTree, base=None):
        self.tree = tree
        self.config = decode_config(tree, base)


def _list_customers(table: CustomerTable) -> list[tuple]:
    return sorted((item.name, item.priority, item.rate, item.burst) for item in table)


@pytest.mark.parametrize(
    ("customers", "code", "place"),
    [
        (
            [{"name": "a", "keys": [KEY]}, {"name": "b", "keys": [OTHER_KEY, KEY]}],
            ErrorCode.SHARED_KEY,
            "/customers/1/keys/1",
        ),
        ([{"name": "a"}, {"name": "a"}], ErrorCode.DUPLICATE_NAME, "/customers/1/name"),
        ([{"name": "a", "keys": [""]}], ErrorCode.SCHEMA, "/customers/0/keys/0"),
        ([{"name": "a", "keys": ["a b"]}], ErrorCode.SCHEMA, "/customers/0/keys/0"),
        ([{"name": "a", "keys": ["a\ud800"]}], ErrorCode.SCHEMA, "/customers/0/keys/0"),
        ([{"name": "a", "rate": -1}], ErrorCode.SCHEMA, "/customers/0/rate"),
        ([{"name": "a", "rate": "1"}], ErrorCode.SCHEMA, "/customers/0/rate"),
        ([{"name": "a", "rate": 1, "burst": -1}], ErrorCode.SCHEMA, "/customers/0/burst"),
        ([{"name": "a", "rate": 1, "burst": None}], ErrorCode.SCHEMA, "/customers/0/burst"),
        ([{"name": "a", "burst": 1}], ErrorCode.SCHEMA, "/customers/0"),
        ([{"name": "a", "burst": 1, "rate": 0}], ErrorCode.SCHEMA, "/customers/0/rate"),
        ([{"name": "a", "priority": 0.5}], ErrorCode.SCHEMA, "/customers/0/priority"),
        ([{"keys": [KEY]}], ErrorCode.SCHEMA, "/customers/0"),
    ],
)
def test_invalid_customer_gives_a_finding_at_the_path_of_the_error(customers, code, place):
    assert [(finding.code, finding.place.path) for finding in _find_errors(_make_value(customers))] == [(code, place)]


def test_all_findings_about_customers_are_reported_together():
    customers = [{"name": "a", "keys": [KEY, OTHER_KEY]}, {"name": "b", "keys": [OTHER_KEY]}]
    customers += [{"name": "a"}, {"name": "c", "keys": [KEY]}]
    assert sorted(finding.place.path for finding in _find_errors(_make_value(customers))) == [
        "/customers/1/keys/0",
        "/customers/2/name",
        "/customers/3/keys/0",
    ]


def test_finding_of_a_shared_key_names_both_customers():
    finding = _find_errors(_make_value([{"name": "ann", "keys": [KEY]}, {"name": "bob", "keys": [KEY]}]))[0]
    assert "'ann'" in finding.message and "'bob'" in finding.message


@pytest.mark.parametrize(
    "value",
    [
        [{"keys": [KEY]}],
        _make_value({"a": KEY}),
        _make_value(KEY),
        _make_value([KEY]),
        _make_value([[KEY]]),
        _make_value([{"name": KEY * 20}]),
        _make_value([{"name": "a", "keys": KEY}]),
        _make_value([{"name": "a", "keys": {"b": KEY}}]),
        _make_value([{"name": "a", "keys": [[KEY]]}]),
        _make_value([{"name": "a", "keys": [KEY] * 65}]),
        _make_value([{"name": "a", "keys": [KEY * 500]}]),
        _make_value([{"name": "a", "rate": KEY, "burst": [KEY]}]),
        _make_value([{"name": "a", "key": KEY}]),
        _make_value([{"name": "a", "keys": [KEY]}, {"name": "b", "keys": [KEY]}]),
        {**VALUE, "customers": [{"name": "a", "keys": [KEY]}], "zones": 1},
    ],
)
def test_no_finding_has_a_key(value):
    """The schema library's messages quote invalid values."""
    findings = _find_errors(value)
    assert findings
    assert not any(KEY in f"{finding} {finding!r}" for finding in findings)


@pytest.mark.parametrize(
    ("customer", "place"),
    [
        ({"name": "a", "keys": [""]}, "/customers/0/keys/0"),
        ({"name": "a", "keys": ["\udfff"]}, "/customers/0/keys/0"),
        ({"name": ""}, "/customers/0/name"),
        ({"name": "a\n"}, "/customers/0/name"),
        ({"name": "a" * 1025}, "/customers/0/name"),
    ],
)
def test_check_of_a_generated_file_finds_wrong_customers_without_the_schema(customer, place):
    with pytest.raises(FindingsError) as caught:
        check_generated_config(_make_value([customer]), "f")
    assert [finding.place.path for finding in caught.value.findings] == [place]


@pytest.mark.parametrize("count", [1, MAX_GROUP_ITEMS, MAX_GROUP_ITEMS + 1, 500])
def test_customers_are_split_into_small_groups_that_only_entry_daemons_need(count):
    value = _make_value(_make_customers(count))
    whole = split_config(value)
    names = {name for name in whole.contents if is_customer_group(name)}
    sizes = [len(whole.group(name)["customers"]) for name in names]
    assert (max(sizes) <= MAX_GROUP_ITEMS, sum(sizes)) == (True, count)
    assert whole.value()["customers"] == sorted(value["customers"], key=lambda item: item["name"])
    assert names <= find_needed_groups(whole, True, "")
    assert find_needed_groups(whole, False, "one") == {"", "one", "two"}


@pytest.mark.parametrize("customers", [[], _make_customers(3)])
def test_daemon_without_callers_knows_that_the_version_has_customers(customers):
    whole = split_config(_make_value(customers))
    sliced = ConfigTree.from_push(whole.make_full_push(find_needed_groups(whole, False, "one")), [])
    assert len(decode_config(sliced).customers) == 0


def test_empty_list_of_customers_is_distinct_from_none():
    without, empty = split_config(VALUE), split_config(_make_value([]))
    assert without.version != empty.version
    assert "customers" not in without.value() and empty.value()["customers"] == []
    assert decode_config(without).customers is None
    assert len(decode_config(empty).customers) == 0


def test_file_without_customers_has_the_same_digest_as_before_customers_were_introduced():
    assert split_config(VALUE).version.digest.hex().startswith("317693cd54964f6b")


def test_customers_are_found_by_key_and_by_name():
    customers = [{"name": "a", "keys": [KEY, "é", KEY], "priority": 0, "rate": 5, "burst": 2.5}, {"name": "b"}]
    table = decode_config(split_config(_make_value(customers))).customers
    assert table.find(KEY) is table.find("é") is table.get("a")
    assert table.find(OTHER_KEY) is None and table.find("") is None and table.get("c") is None
    assert _list_customers(table) == [("a", 0, 5, 2.5), ("b", 1, 0, 0)]
    assert KEY not in repr(table) + repr(table.get("a"))


def test_change_of_one_customer_of_10000_gives_a_small_delta():
    customers = _make_customers(10_000)
    before = split_config(_make_value(customers))
    customers[0] = {**customers[0], "rate": 7}
    after = split_config(_make_value(customers, version=4))
    push = after.make_delta_push(set(after.digests), before, set(before.digests))
    assert len(push.SerializeToString()) < 1024
    received = ConfigTree.from_push(push, [before])
    changed, dropped = received.compare_contents(before)
    assert (len(changed), dropped) == (1, set())


@settings(max_examples=60, deadline=None, derandomize=True)
@given(data=st.data())
def test_customers_decoded_with_a_base_equal_customers_decoded_alone(data):
    """Customers and keys are added, removed, changed and moved at random, and the list may be absent."""
    decoded = None
    for number in range(1, 5):
        value = {**VALUE, "version": number}
        if data.draw(st.integers(0, 4)):
            names = data.draw(st.lists(st.integers(0, 60), unique=True, max_size=60))
            shift = data.draw(st.integers(0, 2))
            rates = data.draw(st.integers(1, 2))
            value["customers"] = [
                {"name": f"c{name}", "keys": [f"k{name + shift}"], "rate": rates + name % 2} for name in names
            ]
        tree = split_config(value)
        if decoded is not None:
            push = tree.make_delta_push(set(tree.digests), decoded.tree, set(decoded.tree.digests))
            tree = ConfigTree.from_push(push, [decoded.tree])
        whole = decode_config(tree).customers
        decoded = _Decoded(tree, decoded)
        table = decoded.config.customers
        if "customers" not in value:
            assert table is whole is None
            continue
        assert _list_customers(table) == _list_customers(whole)
        for key in (f"k{name}" for name in range(64)):
            found, expected = table.find(key), whole.find(key)
            assert (found and found.name) == (expected and expected.name)


def _forge(customers: list[dict]) -> ConfigTree:
    """Make a tree with a second group of customers, as no source that validates sends it."""
    tree = split_config(_make_value(_make_customers(2), version=4))
    contents = {**tree.contents, "\x1f1": json.dumps({"customers": customers}).encode()}
    return ConfigTree(4, dict.fromkeys(contents, b""), contents)


@pytest.mark.parametrize("is_incremental", [False, True])
@pytest.mark.parametrize(
    ("customers", "code"),
    [
        ([{"name": "c1"}], ErrorCode.DUPLICATE_NAME),
        ([{"name": "x", "keys": _make_customers(1)[0]["keys"]}], ErrorCode.SHARED_KEY),
        ([{"name": "x", "key": "k"}], ErrorCode.SCHEMA),
        ([{"keys": ["k"]}], ErrorCode.SCHEMA),
        ([3], ErrorCode.SCHEMA),
        (3, ErrorCode.SCHEMA),
    ],
)
def test_decoding_finds_invalid_customers(customers, code, is_incremental):
    base = _Decoded(split_config(_make_value(_make_customers(2)))) if is_incremental else None
    with pytest.raises(FindingsError) as caught:
        decode_config(_forge(customers), base)
    assert caught.value.findings[0].code is code


def test_customers_in_a_version_without_the_list_are_refused():
    tree = _forge([])
    contents = {**tree.contents, "": split_config(VALUE).contents[""]}
    with pytest.raises(FindingsError):
        decode_config(ConfigTree(4, dict.fromkeys(contents, b""), contents))


def test_compare_shows_digests_instead_of_keys():
    before = _make_value([{"name": "a", "keys": [KEY]}, {"name": "b", "keys": [OTHER_KEY]}, {"name": "d"}])
    after = _make_value(
        [{"name": "a", "keys": [KEY, "new"]}, {"name": "c", "keys": ["other"]}, {"name": "d", "rate": 2}]
    )
    differences = compare(before, after)
    assert [(item.kind, item.path) for item in differences] == [
        ("changed", "customers/a/keys"),
        ("removed", "customers/b"),
        ("added", "customers/c"),
        ("changed", "customers/d/rate"),
    ]
    shown = json.dumps([(item.before, item.after) for item in differences])
    assert not any(json.dumps(key) in shown for key in (KEY, OTHER_KEY, "new", "other"))
    assert differences[0].after == [digest_key(KEY).hex()[:8], digest_key("new").hex()[:8]]
    assert differences[1].before["keys"] == [digest_key(OTHER_KEY).hex()[:8]]


@pytest.mark.parametrize(
    ("before", "after", "kind"), [({}, [], "added"), ([], {}, "removed"), ([], [], None), ({}, {}, None)]
)
def test_compare_tells_an_empty_list_of_customers_from_none(before, after, kind):
    files = [VALUE if part == {} else _make_value(part) for part in (before, after)]
    assert [(item.kind, item.path) for item in compare(*files)] == ([(kind, "customers")] if kind else [])
