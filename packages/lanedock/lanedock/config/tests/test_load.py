# SPDX-License-Identifier: BSD-3-Clause
"""Tests of the operators' file: validation, content groups, slices and deltas."""

import copy
import json

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lanedock.config import (
    ConfigTree,
    check_document,
    check_generated_config,
    compare,
    decode_config,
    find_needed_groups,
    split_config,
)
from lanedock.config.tree import MAX_GROUP_ITEMS
from lanedock.errors import ErrorCode, LanedockError
from lanedock.findings import Document, FindingsError, read_text
from lanedock.routing import RouteTable
from lanedock.wire import messages

VALUE = {
    "mesh": "m",
    "version": 3,
    "zones": ["z1", "z2"],
    "traffic_classes": [{"name": "fast", "share": 0.5}],
    "services": [
        {"name": "one", "zones": ["z1"], "calls": ["two"]},
        {"name": "two", "zones": ["z1", "z2"]},
        {"name": "three", "zones": ["z2"]},
    ],
    "routes": [
        {"name": "r1", "path": "/one", "service": "one", "traffic_class": "fast"},
        {"name": "r2", "path": "/two", "service": "two", "traffic_class": "fast", "methods": ["GET"]},
    ],
}


def _change_value(path: str, new: object) -> dict:
    value = copy.deepcopy(VALUE)
    *parents, last = [int(part) if part.isdigit() else part for part in path.split("/")]
    target = value
    for part in parents:
        target = target[part]
    target[last] = new
    return value


def _find_errors(value: dict) -> list:
    try:
        check_document(Document("f", value, json.dumps(value)))
    except FindingsError as exc:
        return exc.findings
    return []


@pytest.mark.parametrize(
    ("path", "new", "code", "place"),
    [
        ("routes/0/service", "none", ErrorCode.UNKNOWN_SERVICE, "/routes/0/service"),
        ("routes/1/traffic_class", "none", ErrorCode.UNKNOWN_CLASS, "/routes/1/traffic_class"),
        ("services/0/zones", ["z9"], ErrorCode.UNKNOWN_ZONE, "/services/0/zones/0"),
        ("services/0/calls", ["none"], ErrorCode.UNKNOWN_SERVICE, "/services/0/calls/0"),
        ("services/1/name", "one", ErrorCode.DUPLICATE_NAME, "/services/1/name"),
        ("routes/1", {**VALUE["routes"][0], "name": "r9"}, ErrorCode.SHADOWED_ROUTE, "/routes/1"),
        ("traffic_classes/0/share", 1.5, ErrorCode.SCHEMA, "/traffic_classes/0/share"),
        ("version", "3", ErrorCode.SCHEMA, "/version"),
        ("routes/0/path", "one", ErrorCode.SCHEMA, "/routes/0/path"),
    ],
)
def test_invalid_file_gives_a_finding_at_the_path_of_the_error(path, new, code, place):
    findings = _find_errors(_change_value(path, new))
    assert (code, place) in [(finding.code, finding.place.path) for finding in findings]
    assert all(finding.place.line == 1 for finding in findings)


@pytest.mark.parametrize(
    ("path", "new", "place"),
    [
        ("version", 0, "/version"),
        ("version", 2**64, "/version"),
        ("routes/0/name", "r\r\nx-evil: 1", "/routes/0/name"),
        ("routes/0/name", "r" * 1025, "/routes/0/name"),
        ("routes/0/name", "\ud800", "/routes/0/name"),
        ("routes/0/name", "", "/routes/0/name"),
        ("services/2/name", "s\x85", "/services/2/name"),
        ("services/2/health_path", "/health HTTP/1.1\r\n", "/services/2/health_path"),
        ("routes/0/split", [{"service": "none", "weight": 1}], "/routes/0/split/0/service"),
        (
            "routes/0",
            {**VALUE["routes"][0], "service": "none", "split": [{"service": "two", "weight": 1}]},
            "/routes/0/service",
        ),
    ],
)
def test_check_value_finds_errors_without_the_schema(path, new, place):
    with pytest.raises(FindingsError) as caught:
        check_generated_config(_change_value(path, new), "f")
    assert [finding.place.path for finding in caught.value.findings] == [place]


@pytest.mark.parametrize("name", ["řeka", " r 1/2%", "R:" + 511 * "ř"])
def test_check_value_accepts_names_with_any_characters_but_controls(name):
    assert check_generated_config(_change_value("routes/0/name", name), "f").value()["routes"][0]["name"] == name


def test_all_findings_are_reported_together():
    value = _change_value("routes/0/service", "none")
    value["routes"][1]["traffic_class"] = "none"
    value["services"][2]["zones"] = ["z8", "z9"]
    assert len(_find_errors(value)) == 4


def test_version_digest_does_not_depend_on_the_order_of_items():
    other = copy.deepcopy(VALUE)
    other["services"].reverse()
    other["routes"].reverse()
    assert split_config(other).version == split_config(VALUE).version
    assert split_config(_change_value("routes/0/path", "/uno")).version != split_config(VALUE).version


def test_slice_is_verified_against_the_digest_of_the_whole_version():
    whole = split_config(VALUE)
    names = find_needed_groups(whole, False, "one")
    assert names == {"", "one", "two"}
    tree = ConfigTree.from_push(whole.make_full_push(names), [])
    assert tree.version == whole.version
    assert set(decode_config(tree).services) == {"one", "two"}
    forged = whole.make_full_push(names)
    forged.groups = split_config(_change_value("routes/0/path", "/uno")).make_full_push(names).groups
    with pytest.raises(LanedockError) as caught:
        ConfigTree.from_push(forged, [])
    assert caught.value.code is ErrorCode.DIGEST_MISMATCH


def _make_routes(names: list, path: str = "/", service: str = "one") -> list[dict]:
    return [
        {"name": f"r{name}", "path": f"{path}{name}", "service": service, "traffic_class": "fast"} for name in names
    ]


def test_many_routes_of_a_service_are_split_into_small_groups():
    whole = split_config({**VALUE, "routes": _make_routes(range(1000))})
    sizes = [len(whole.group(name)["routes"]) for name in whole.contents if name]
    assert max(sizes) <= MAX_GROUP_ITEMS
    assert sum(sizes) == 1000
    assert len(sizes) < 3 * 1000 / MAX_GROUP_ITEMS
    assert whole.value()["routes"] == sorted(_make_routes(range(1000)), key=lambda route: route["name"])
    # The daemon of the service needs all of its route groups; that of another service needs none.
    assert find_needed_groups(whole, False, "one") == set(whole.contents) - {"three"}
    assert find_needed_groups(whole, False, "two") == {"", "two"}


def test_change_of_one_route_changes_one_group_and_gives_a_small_delta():
    routes = _make_routes(range(1000))
    before = split_config({**VALUE, "routes": routes})
    after = split_config({**VALUE, "version": 4, "routes": [{**routes[0], "path": "/else"}, *routes[1:]]})
    (changed,), dropped = (set(part) for part in after.compare_contents(before))
    assert changed.startswith("one") and not dropped
    push = after.make_delta_push(set(after.digests), before, set(before.digests))
    assert len(push.SerializeToString()) < 1024
    assert len(push.SerializeToString()) < len(before.pack()) / 20


def test_groups_do_not_depend_on_the_order_of_routes():
    grown = split_config({**VALUE, "routes": _make_routes(range(100))})
    shrunk = split_config({**VALUE, "routes": _make_routes(reversed(range(100)))})
    assert grown.version == shrunk.version


class _Decoded:
    def __init__(self, tree: ConfigTree, base=None):
        self.tree = tree
        self.config = decode_config(tree, base)


def _routes_by_name(config) -> dict[str, tuple]:
    return {
        route.name: tuple(getattr(route, name) for name in route.__slots__ if name != "split")
        for route in config.routes
    }


@settings(max_examples=60, deadline=None, derandomize=True)
@given(data=st.data())
def test_version_decoded_with_a_base_equals_version_decoded_alone(data):
    """Routes of two services are added, removed and changed at random; an evolved route table must match as well."""
    decoded = table = None
    routes = {}
    for number in range(1, 5):
        for service in ("one", "two"):
            first, last = sorted(data.draw(st.tuples(st.integers(0, 60), st.integers(0, 60))))
            path = data.draw(st.sampled_from(["/a", "/b"]))
            for route in _make_routes(range(first, last), f"/{service}{path}", service):
                name = service + route["name"]
                if data.draw(st.booleans(), label="kept") or name not in routes:
                    routes[name] = {**route, "name": name}
                else:
                    del routes[name]
        slots = data.draw(st.integers(1, 2))
        services = [{**service, "slots": slots} for service in VALUE["services"]]
        tree = split_config({**VALUE, "version": number, "services": services, "routes": list(routes.values())})
        if decoded is not None:
            push = tree.make_delta_push(set(tree.digests), decoded.tree, set(decoded.tree.digests))
            tree = ConfigTree.from_push(push, [decoded.tree])
        whole = decode_config(tree)
        decoded = _Decoded(tree, decoded)
        assert _routes_by_name(decoded.config) == _routes_by_name(whole)
        assert decoded.config.services["one"].slots == slots
        table = RouteTable(decoded.config) if table is None else table.evolve(decoded.config)
        for route in routes.values():
            assert (
                table.match("h", route["path"], "GET").name == RouteTable(whole).match("h", route["path"], "GET").name
            )
        for name in range(60):
            for path in ("/one/a", "/one/b", "/two/a", "/two/b"):
                found, expected = (
                    table.match("h", f"{path}{name}", "GET"),
                    RouteTable(whole).match("h", f"{path}{name}", "GET"),
                )
                assert (found and found.name) == (expected and expected.name)


@pytest.mark.parametrize(
    ("change", "code"),
    [
        ({"service": "none"}, ErrorCode.UNKNOWN_SERVICE),
        ({"traffic_class": "none"}, ErrorCode.UNKNOWN_CLASS),
        ({"name": "r7"}, ErrorCode.DUPLICATE_NAME),
        ({"path": "/7"}, ErrorCode.SHADOWED_ROUTE),
        ({"path": "/7/", "methods": ["GET", "GET"], "service": "two"}, None),
        ({"split": [{"service": "one", "weight": 0}]}, ErrorCode.NO_WEIGHT),
        ({"deadline": 1}, ErrorCode.SCHEMA),
    ],
)
def test_decoding_with_a_base_finds_an_invalid_change(change, code):
    routes = _make_routes(range(100))
    decoded = _Decoded(split_config({**VALUE, "routes": routes}))
    changed = {**routes[0], **change}
    names = {"one", "two", "three"}
    services = VALUE["services"]
    if changed["service"] not in names:
        # Removes the service's group again: only a source that does not validate sends such content.
        services = [*services, {"name": changed["service"], "zones": ["z1"]}]
    tree = split_config({**VALUE, "version": 4, "services": services, "routes": [changed, *routes[1:]]})
    if services is not VALUE["services"]:
        contents = {name: content for name, content in tree.contents.items() if name != "none"}
        group = json.dumps({"routes": [changed]}).encode()
        tree = ConfigTree(4, {**decoded.tree.digests, "one\x1fx": b"x"}, {**contents, "one\x1fx": group})
        tree.digests = dict.fromkeys(tree.contents, b"")
    if code is None:
        assert len(decode_config(tree, decoded).routes) == 100
        return
    with pytest.raises(FindingsError) as caught:
        decode_config(tree, decoded)
    assert caught.value.findings[0].code is code


@settings(max_examples=100, deadline=None, derandomize=True)
@given(data=st.data())
def test_delta_from_any_slice_gives_the_needed_slice_of_the_new_version(data):
    trees = []
    for number in (1, 2):
        names = data.draw(st.lists(st.sampled_from("abcd"), min_size=1, unique=True))
        services = []
        for name in names:
            calls = data.draw(st.lists(st.sampled_from(names), unique=True))
            services.append({"name": name, "zones": ["z1"], "calls": calls, "slots": data.draw(st.integers(1, 3))})
        trees.append(split_config({**VALUE, "version": number, "services": services, "routes": []}))
    base, tree = trees
    service = data.draw(st.sampled_from("abcd"))
    held = base.slice(find_needed_groups(base, False, service))
    needed = find_needed_groups(tree, False, service)
    push = tree.make_delta_push(needed, base, set(held.contents))
    received = ConfigTree.from_push(push, [held])
    assert (received.version, set(received.contents)) == (tree.version, needed)
    with pytest.raises(LanedockError):
        ConfigTree.from_push(push, [tree])


@settings(max_examples=200, deadline=None, derandomize=True)
@given(st.binary(max_size=100), st.binary(max_size=40))
def test_push_of_random_bytes_raises_an_error_with_a_code(groups, digest):
    with pytest.raises(LanedockError):
        ConfigTree.from_push(messages.ConfigPush(version=1, digest=digest, groups=groups), [])


JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=5),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.sampled_from([*VALUE, "name"]), inner, max_size=4),
    max_leaves=12,
)


@settings(max_examples=200, deadline=None, derandomize=True)
@given(path=st.sampled_from(["zones", "services", "routes/0", "routes/0/methods", "services/1", "version"]), new=JSON)
def test_any_value_is_accepted_or_gives_findings(path, new):
    _find_errors(_change_value(path, new))


def test_compare_matches_items_by_name():
    after = _change_value("routes/0/deadline_ms", 5)
    del after["services"][2]
    after["services"].append({"name": "four", "zones": ["z1"]})
    after["services"].reverse()
    differences = {(item.kind, item.path) for item in compare(VALUE, after)}
    assert differences == {
        ("changed", "routes/r1/deadline_ms"),
        ("removed", "services/three"),
        ("added", "services/four"),
    }


def test_comment_does_not_change_the_positions_of_findings():
    with pytest.raises(FindingsError) as caught:
        check_document(read_text('// a comment\n{"mesh": "m",\n "version": 0}', "f"))
    assert [finding.place.line for finding in caught.value.findings][-1] == 3
