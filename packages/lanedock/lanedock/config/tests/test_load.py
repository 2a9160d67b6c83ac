# SPDX-License-Identifier: BSD-3-Clause
"""Tests of the operators' file."""

import copy
import json

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lanedock.config import ConfigTree, check_document, check_value, compare, decode_config, needed_groups, split_config
from lanedock.config.tree import MAX_GROUP_ROUTES
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


def _changed(path: str, new: object) -> dict:
    value = copy.deepcopy(VALUE)
    *parents, last = [int(part) if part.isdigit() else part for part in path.split("/")]
    target = value
    for part in parents:
        target = target[part]
    target[last] = new
    return value


def _findings(value: dict) -> list:
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
def test_each_mistake_is_found_at_its_place(path, new, code, place):
    findings = _findings(_changed(path, new))
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
def test_what_a_program_has_made_is_checked_without_the_schema(path, new, place):
    with pytest.raises(FindingsError) as caught:
        check_value(_changed(path, new), "f")
    assert [finding.place.path for finding in caught.value.findings] == [place]


@pytest.mark.parametrize("name", ["řeka", " r 1/2%", "R:" + 511 * "ř"])
def test_names_of_programs_may_have_any_signs(name):
    assert check_value(_changed("routes/0/name", name), "f").value()["routes"][0]["name"] == name


def test_all_findings_come_at_once():
    value = _changed("routes/0/service", "none")
    value["routes"][1]["traffic_class"] = "none"
    value["services"][2]["zones"] = ["z8", "z9"]
    assert len(_findings(value)) == 4


def test_layout_and_order_make_no_other_version():
    other = copy.deepcopy(VALUE)
    other["services"].reverse()
    other["routes"].reverse()
    assert split_config(other).version == split_config(VALUE).version
    assert split_config(_changed("routes/0/path", "/uno")).version != split_config(VALUE).version


def test_a_slice_is_verified_against_the_whole_version():
    whole = split_config(VALUE)
    names = needed_groups(whole, False, "one")
    assert names == {"", "one", "two"}
    tree = ConfigTree.from_push(whole.whole_push(names), [])
    assert tree.version == whole.version
    assert set(decode_config(tree).services) == {"one", "two"}
    forged = whole.whole_push(names)
    forged.groups = split_config(_changed("routes/0/path", "/uno")).whole_push(names).groups
    with pytest.raises(LanedockError) as caught:
        ConfigTree.from_push(forged, [])
    assert caught.value.code is ErrorCode.DIGEST_MISMATCH


def _make_routes(names: list, path: str = "/", service: str = "one") -> list[dict]:
    return [
        {"name": f"r{name}", "path": f"{path}{name}", "service": service, "traffic_class": "fast"} for name in names
    ]


def test_a_service_with_many_routes_has_them_in_groups_of_few():
    whole = split_config({**VALUE, "routes": _make_routes(range(1000))})
    sizes = [len(whole.group(name)["routes"]) for name in whole.contents if name]
    assert max(sizes) <= MAX_GROUP_ROUTES
    assert sum(sizes) == 1000
    assert len(sizes) < 3 * 1000 / MAX_GROUP_ROUTES
    assert whole.value()["routes"] == sorted(_make_routes(range(1000)), key=lambda route: route["name"])
    # A daemon of the service, and one of a service that calls it, need them all.
    assert needed_groups(whole, False, "one") == set(whole.contents) - {"three"}
    assert needed_groups(whole, False, "two") == {"", "two"}


def test_a_change_of_one_route_of_many_changes_one_group():
    routes = _make_routes(range(1000))
    before = split_config({**VALUE, "routes": routes})
    after = split_config({**VALUE, "version": 4, "routes": [{**routes[0], "path": "/else"}, *routes[1:]]})
    (changed,), dropped = (set(part) for part in after.compare_contents(before))
    assert changed.startswith("one") and not dropped
    push = after.delta_push(set(after.digests), before, set(before.digests))
    assert len(push.SerializeToString()) < 1024
    assert len(push.SerializeToString()) < len(before.pack()) / 20


def test_the_groups_do_not_depend_on_the_order_in_which_routes_came():
    grown = split_config({**VALUE, "routes": _make_routes(range(100))})
    shrunk = split_config({**VALUE, "routes": _make_routes(reversed(range(100)))})
    assert grown.version == shrunk.version


class _Decoded:
    def __init__(self, tree: ConfigTree, base=None):
        self.tree = tree
        self.config = decode_config(tree, base)


def _routes_of(config) -> dict[str, tuple]:
    return {
        route.name: tuple(getattr(route, name) for name in route.__slots__ if name != "split")
        for route in config.routes
    }


@settings(max_examples=60, deadline=None, derandomize=True)
@given(data=st.data())
def test_a_version_decoded_from_another_is_the_version(data):
    """Routes of two services come, go and change; a table of routes follows them."""
    held = table = None
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
        if held is not None:
            push = tree.delta_push(set(tree.digests), held.tree, set(held.tree.digests))
            tree = ConfigTree.from_push(push, [held.tree])
        whole = decode_config(tree)
        held = _Decoded(tree, held)
        assert _routes_of(held.config) == _routes_of(whole)
        assert held.config.services["one"].slots == slots
        table = RouteTable(held.config) if table is None else table.evolve(held.config)
        for route in routes.values():
            assert (
                table.match("h", route["path"], "GET").name == RouteTable(whole).match("h", route["path"], "GET").name
            )
        for name in range(60):
            for path in ("/one/a", "/one/b", "/two/a", "/two/b"):
                found, due = (
                    table.match("h", f"{path}{name}", "GET"),
                    RouteTable(whole).match("h", f"{path}{name}", "GET"),
                )
                assert (found and found.name) == (due and due.name)


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
def test_a_change_that_does_not_hold_is_found_by_a_daemon_too(change, code):
    routes = _make_routes(range(100))
    held = _Decoded(split_config({**VALUE, "routes": routes}))
    changed = {**routes[0], **change}
    names = {"one", "two", "three"}
    services = VALUE["services"]
    if changed["service"] not in names:
        # Only a source that does not check sends such a one.
        services = [*services, {"name": changed["service"], "zones": ["z1"]}]
    tree = split_config({**VALUE, "version": 4, "services": services, "routes": [changed, *routes[1:]]})
    if services is not VALUE["services"]:
        contents = {name: content for name, content in tree.contents.items() if name != "none"}
        group = json.dumps({"routes": [changed]}).encode()
        tree = ConfigTree(4, {**held.tree.digests, "one\x1fx": b"x"}, {**contents, "one\x1fx": group})
        tree.digests = dict.fromkeys(tree.contents, b"")
    if code is None:
        assert len(decode_config(tree, held).routes) == 100
        return
    with pytest.raises(FindingsError) as caught:
        decode_config(tree, held)
    assert caught.value.findings[0].code is code


@settings(max_examples=100, deadline=None, derandomize=True)
@given(data=st.data())
def test_a_delta_leads_from_any_slice_to_any_other(data):
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
    held = base.slice(needed_groups(base, False, service))
    needed = needed_groups(tree, False, service)
    push = tree.delta_push(needed, base, set(held.contents))
    got = ConfigTree.from_push(push, [held])
    assert (got.version, set(got.contents)) == (tree.version, needed)
    with pytest.raises(LanedockError):
        ConfigTree.from_push(push, [tree])


@settings(max_examples=200, deadline=None, derandomize=True)
@given(st.binary(max_size=100), st.binary(max_size=40))
def test_any_push_gives_a_version_or_a_coded_error(groups, digest):
    with pytest.raises(LanedockError):
        ConfigTree.from_push(messages.ConfigPush(version=1, digest=digest, groups=groups), [])


JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=5),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.sampled_from([*VALUE, "name"]), inner, max_size=4),
    max_leaves=12,
)


@settings(max_examples=200, deadline=None, derandomize=True)
@given(path=st.sampled_from(["zones", "services", "routes/0", "routes/0/methods", "services/1", "version"]), new=JSON)
def test_any_value_is_accepted_or_found(path, new):
    _findings(_changed(path, new))


def test_differences_are_paired_by_name():
    after = _changed("routes/0/deadline_ms", 5)
    del after["services"][2]
    after["services"].append({"name": "four", "zones": ["z1"]})
    after["services"].reverse()
    differences = {(item.kind, item.path) for item in compare(VALUE, after)}
    assert differences == {
        ("changed", "routes/r1/deadline_ms"),
        ("removed", "services/three"),
        ("added", "services/four"),
    }


def test_a_comment_keeps_places():
    with pytest.raises(FindingsError) as caught:
        check_document(read_text('// a comment\n{"mesh": "m",\n "version": 0}', "f"))
    assert [finding.place.line for finding in caught.value.findings][-1] == 3
