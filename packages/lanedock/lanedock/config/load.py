# SPDX-License-Identifier: BSD-3-Clause
"""From the operators' file to a `ConfigTree`, and from a tree to a `MeshConfig`."""

import re

from lanedock.config.core import (
    DEFAULT_ENDPOINT_WINDOW_MS,
    CallerLimits,
    MeshConfig,
    Route,
    Service,
    TrafficClass,
)
from lanedock.config.tree import MESH_GROUP, ConfigTree, is_service_group, split_config
from lanedock.errors import ErrorCode
from lanedock.findings import Document, Finding, FindingsError, Place, read_document

__all__ = ["check_document", "check_value", "decode_config", "load_config"]

SHARE_TOLERANCE = 1e-9
# As the schema has it: each JSON reader keeps such a number whole (RFC 8259, section 6).
MAX_VERSION = 2**53 - 1
# Bytes of a name in UTF-8. Quoted they take three times as many, and up to five names go
# with a request between daemons, whose heads may have 32 KB: half is for the caller's own.
MAX_NAME_BYTES = 1024
# Control characters (category Cc) would end a head's line; a lone surrogate can't be sent.
_CONTROLS = r"\x00-\x1f\x7f-\x9f\ud800-\udfff"
_NAME = re.compile(f"[^{_CONTROLS}]+")
_HEALTH_PATH = re.compile(rf"[^{_CONTROLS}\s]*")


def load_config(path: str) -> ConfigTree:
    """Read and check an operators' file.

    Returns
    -------
    ConfigTree

    Raises
    ------
    FindingsError
        With every finding.
    """
    return check_document(read_document(path))


def check_document(document: Document) -> ConfigTree:
    """Check a parsed file against the schema and for its references.

    Raises
    ------
    FindingsError
        With every finding.
    """
    from lanedock.findings.schema import check_schema

    findings = check_schema(document, "lanedock.config")
    if findings:
        raise FindingsError(findings)
    findings = _check_references(document)
    if findings:
        raise FindingsError(findings)
    return split_config(document.value)


def check_value(value: dict, source: str) -> ConfigTree:
    """Check a version that a program has made, whose types hold already, for its references.

    The schema library takes milliseconds for each route, and memory that a
    small control instance has not.

    Parameters
    ----------
    value : dict
        As a parsed file.
    source : str
        Named in findings.

    Raises
    ------
    FindingsError
        With every finding.
    """
    document = Document(source, value, "")
    findings = _check_version(document) + _check_texts(document) + _check_references(document)
    if findings:
        raise FindingsError(findings)
    return split_config(value)


def decode_config(tree: ConfigTree, base=None) -> MeshConfig:
    """Check the held groups of a version and build the model.

    A daemon runs this on what it is sent, so it does without the schema
    library: types were checked before the version was proposed, and here a
    wrong one fails just the same.

    Parameters
    ----------
    tree : ConfigTree
    base : Held, optional
        With `tree` and `config`: a version that was decoded before. The routes of groups
        that both have are taken over from it, so one route of 5,560 is decoded
        and checked in 2 ms instead of 55 (tools/bench_changes.py).

    Raises
    ------
    FindingsError
        Where references among what is held do not hold.
    """
    source = f"version {tree.number}"
    try:
        config = _decode(tree, base)
        if config is not None:
            return config
        # Checked once more on the file, whose places the findings name.
        findings = _check_references(Document(source, tree.value(), ""), tree.is_partial)
        findings = findings or [Finding(ErrorCode.SCHEMA, "the content does not hold", Place(source))]
    except (KeyError, TypeError, AttributeError, ValueError) as exc:
        finding = Finding(ErrorCode.SCHEMA, f"malformed content: {exc!r}", Place(source))
        raise FindingsError([finding]) from exc
    raise FindingsError(findings)


def _decode(tree: ConfigTree, base) -> MeshConfig | None:
    """Build the model, from a base's as far as both have groups in common; None where it does not hold."""
    groups = dict.fromkeys(tree.contents)
    config = None
    if base is not None and tree.is_partial == base.tree.is_partial:
        changed, dropped = tree.held_changes(base.tree)
        if _has_same_services(tree, base.tree, changed | dropped):
            groups, config = dict.fromkeys(changed), base.config
    if config is None:
        config = _build_without_routes(tree)
        if config is None:
            return None
    route_groups = {name: routes for name, routes in config.route_groups.items() if name in tree.contents}
    # One group at a time: parsed, all of them take several times the memory of the model.
    for name in sorted(groups):
        if name == MESH_GROUP:
            continue
        items = tree.group(name)["routes"]
        if not _has_targets(config, items, tree.is_partial):
            return None
        route_groups[name] = groups[name] = tuple(Route(**item) for item in items)
    config = config.with_routes(tree.version, route_groups)
    added = [route for routes in groups.values() if routes for route in routes]
    return config if _is_unambiguous(config, added) else None


def _has_same_services(tree: ConfigTree, base: ConfigTree, names: set[str]) -> bool:
    """Tell whether routes alone differ between two versions, in the groups named."""
    if MESH_GROUP in names:
        return False
    for name in filter(is_service_group, names):
        ours = tree.group(name).get("service") if name in tree.contents else None
        theirs = base.group(name).get("service") if name in base.contents else None
        if ours != theirs:
            return False
    return True


def _build_without_routes(tree: ConfigTree) -> MeshConfig | None:
    """Build the model of everything but the routes; None where that does not hold."""
    value = tree.group(MESH_GROUP)
    services = [tree.group(name)["service"] for name in sorted(tree.contents) if is_service_group(name)]
    value = {**value, "version": tree.number, "services": services, "routes": []}
    if _check_references(Document("", value, ""), tree.is_partial):
        return None
    return MeshConfig(
        value["mesh"],
        tree.version,
        value["zones"],
        {item["name"]: TrafficClass(**item) for item in value["traffic_classes"]},
        {item["name"]: Service(**item) for item in services},
        {},
        value.get("endpoint_window_ms", DEFAULT_ENDPOINT_WINDOW_MS),
        CallerLimits(**value.get("limits", {})),
    )


def _has_targets(config: MeshConfig, items: list[dict], is_partial: bool) -> bool:
    """Tell whether the classes and services that routes name are known; see `_check_references`."""
    document = Document("", {}, "")
    services = config.services.keys()
    for item in items:
        if item["traffic_class"] not in config.traffic_classes:
            return False
        if _check_targets(document, item, services, "", is_partial):
            return False
    return True


def _is_unambiguous(config: MeshConfig, added: list[Route]) -> bool:
    """Tell whether no route has the name of another, and none of those added the match of another."""
    if len({route.name for route in config.routes}) < len(config.routes):
        return False
    hosts = {route.host for route in added}
    keys = {(route.host, route.path.rstrip("/")) for route in added}
    taken = set()
    for route in config.routes:
        if route.host not in hosts:
            continue
        key = (route.host, route.path.rstrip("/"))
        if key not in keys:
            continue
        for method in set(route.methods) or {"*"}:
            if (*key, method) in taken:
                return False
            taken.add((*key, method))
    return True


def _check_references(document: Document, partial: bool = False) -> list[Finding]:
    """Check names and references.

    A slice holds a called service without what that one calls in turn, so
    `partial` leaves the calls out.
    """
    value = document.value
    findings = []
    findings += _check_names(document, "traffic_classes")
    findings += _check_names(document, "services")
    findings += _check_names(document, "routes")
    findings += _check_shares(document)
    services = {item["name"] for item in value["services"]}
    for number, item in enumerate(value["services"]):
        findings += _check_members(
            document, item["zones"], set(value["zones"]), ErrorCode.UNKNOWN_ZONE, f"/services/{number}/zones"
        )
        if partial:
            continue
        findings += _check_members(
            document, item.get("calls", ()), services, ErrorCode.UNKNOWN_SERVICE, f"/services/{number}/calls"
        )
    classes = {item["name"] for item in value["traffic_classes"]}
    for number, item in enumerate(value["routes"]):
        path = f"/routes/{number}"
        findings += _check_targets(document, item, services, path, partial)
        if item["traffic_class"] not in classes:
            message = f"route {item['name']!r} has the unknown class {item['traffic_class']!r}"
            findings.append(Finding(ErrorCode.UNKNOWN_CLASS, message, document.place(path + "/traffic_class")))
    return findings + _check_shadows(document)


def _check_version(document: Document) -> list[Finding]:
    number = document.value["version"]
    if 1 <= number <= MAX_VERSION:
        return []
    message = f"a version's number is from 1 to {MAX_VERSION}, not {number}"
    return [Finding(ErrorCode.SCHEMA, message, document.place("/version"))]


def _check_texts(document: Document) -> list[Finding]:
    """Check the texts that daemons send on in heads and hold against each other."""
    findings = []
    for key in ("traffic_classes", "services", "routes"):
        for number, item in enumerate(document.value[key]):
            if not _NAME.fullmatch(item["name"]) or len(item["name"].encode()) > MAX_NAME_BYTES:
                message = f"a name has 1 to {MAX_NAME_BYTES} bytes and no control characters: {item['name'][:80]!r}"
                findings.append(Finding(ErrorCode.SCHEMA, message, document.place(f"/{key}/{number}/name")))
            if not _HEALTH_PATH.fullmatch(item.get("health_path", "")):
                message = f"a health path has no blanks and no control characters, unlike {item['health_path'][:80]!r}"
                findings.append(Finding(ErrorCode.SCHEMA, message, document.place(f"/{key}/{number}/health_path")))
    return findings


def _check_names(document: Document, key: str) -> list[Finding]:
    findings = []
    seen = set()
    for number, item in enumerate(document.value[key]):
        name = item["name"]
        if name in seen:
            place = document.place(f"/{key}/{number}/name")
            findings.append(Finding(ErrorCode.DUPLICATE_NAME, f"the name {name!r} stands twice in {key}", place))
        seen.add(name)
    return findings


def _check_targets(document: Document, route: dict, services: set[str], path: str, partial: bool) -> list[Finding]:
    """Check the services that a route names, its own and those of a split's parts.

    A slice may lack the services of a split's later parts, and the one named beside it.
    """
    parts = route.get("split")
    names = [(route["service"], f"{path}/service")] if "service" in route else []
    names += [(part["service"], f"{path}/split/{number}/service") for number, part in enumerate(parts or ())]
    findings = []
    for name, place in names:
        if name not in services and not (partial and parts):
            message = f"route {route['name']!r} leads to the unknown service {name!r}"
            findings.append(Finding(ErrorCode.UNKNOWN_SERVICE, message, document.place(place)))
    if parts is not None and sum(part["weight"] for part in parts) <= 0:
        message = f"the weights of route {route['name']!r} add up to nothing"
        findings.append(Finding(ErrorCode.NO_WEIGHT, message, document.place(f"{path}/split")))
    return findings


def _check_members(document, names, known, code, path) -> list[Finding]:
    findings = []
    for number, name in enumerate(names):
        if name not in known:
            findings.append(Finding(code, f"unknown name {name!r}", document.place(f"{path}/{number}")))
    return findings


def _check_shares(document: Document) -> list[Finding]:
    total = sum(item["share"] for item in document.value["traffic_classes"])
    if total <= 1 + SHARE_TOLERANCE:
        return []
    message = f"the shares add up to {total:g}"
    return [Finding(ErrorCode.SHARES_EXCEED_ONE, message, document.place("/traffic_classes"))]


def _check_shadows(document: Document) -> list[Finding]:
    """Find routes whose whole match an equal host and path covers already."""
    findings = []
    taken = {}
    for number, item in enumerate(document.value["routes"]):
        key = (item.get("host", "*").lower(), item["path"].rstrip("/"))
        methods = set(item.get("methods", ())) or {"*"}
        for other_name, other_methods in taken.get(key, ()):
            overlap = ("*" in methods and "*" in other_methods) or methods & other_methods
            if overlap:
                message = f"route {item['name']!r} matches what {other_name!r} matches already"
                findings.append(Finding(ErrorCode.SHADOWED_ROUTE, message, document.place(f"/routes/{number}")))
                break
        taken.setdefault(key, []).append((item["name"], methods))
    return findings
