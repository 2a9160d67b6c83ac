# SPDX-License-Identifier: BSD-3-Clause
"""Validation of the operators' file and decoding of a `ConfigTree` to a `MeshConfig`."""

import re

from lanedock.config.core import (
    DEFAULT_ENDPOINT_WINDOW_MS,
    CallerLimits,
    MeshConfig,
    Route,
    Service,
    TrafficClass,
)
from lanedock.config.customers import CustomerTable, digest_key
from lanedock.config.tree import MESH_GROUP, ConfigTree, is_customer_group, is_service_group, split_config
from lanedock.errors import ErrorCode
from lanedock.findings import Document, Finding, FindingsError, Place, read_document

__all__ = ["check_document", "check_generated_config", "decode_config", "load_config"]

SHARE_TOLERANCE = 1e-9
# Same limit as in the schema: every JSON reader represents integers up to it exactly (RFC 8259, section 6).
MAX_VERSION = 2**53 - 1
# Maximum length of a name, in bytes of UTF-8. Daemons add up to six names to a request's head, and
# percent-encoding triples their length: together they use 18 of the 32 KB that a head may have
# between daemons. The rest is for the caller's own headers.
MAX_NAME_BYTES = 1024
# Control characters (category Cc) could end a header line; a lone surrogate can't be encoded in UTF-8.
_FORBIDDEN_CHARACTERS = r"\x00-\x1f\x7f-\x9f\ud800-\udfff"
_NAME = re.compile(f"[^{_FORBIDDEN_CHARACTERS}]+")
_KEY = re.compile(r"[^\ud800-\udfff]+")
_HEALTH_PATH = re.compile(rf"[^{_FORBIDDEN_CHARACTERS}\s]*")


def load_config(path: str) -> ConfigTree:
    """Read and validate an operators' file.

    Parameters
    ----------
    path : str

    Returns
    -------
    ConfigTree

    Raises
    ------
    FindingsError
        The file is unreadable or invalid; the error has all findings.
    """
    return check_document(read_document(path))


def check_document(document: Document) -> ConfigTree:
    """Validate the schema and the references of a parsed operators' file.

    Raises
    ------
    FindingsError
        The file is invalid; the error has all findings.
    """
    from lanedock.findings.schema import check_schema

    findings = check_schema(document, "lanedock.config")
    if findings:
        raise FindingsError(findings)
    findings = _check_references(document)
    if findings:
        raise FindingsError(findings)
    return split_config(document.value)


def check_generated_config(value: dict, source: str) -> ConfigTree:
    """Validate a version whose types are already known to be correct.

    The schema is not checked: the schema library takes milliseconds for each
    route, and more memory than a small control instance has.

    Parameters
    ----------
    value : dict
        Operators' file that was made by a program.
    source : str
        Name of the source in findings.

    Raises
    ------
    FindingsError
        The version is invalid; the error has all findings.
    """
    document = Document(source, value, "")
    findings = _check_version(document) + _check_text_syntax(document) + _check_references(document)
    if findings:
        raise FindingsError(findings)
    return split_config(value)


def decode_config(tree: ConfigTree, base=None) -> MeshConfig:
    """Validate the held groups of a version and build the model.

    A daemon runs this on content that it receives, without the schema library:
    types are checked before a version is proposed, and a wrong type raises an
    error here too.

    Parameters
    ----------
    tree : ConfigTree
    base : HeldVersion, optional
        A version decoded before, with attributes `tree` and `config`. Routes and customers
        of groups that are identical in both versions are reused, so a change of one
        route of 5,560 is decoded and checked in 2 ms instead of 55 ms.

    Raises
    ------
    FindingsError
        The content is malformed, or references among the held groups are invalid.
    """
    source = f"version {tree.number}"
    try:
        config = _decode(tree, base)
        if config is not None:
            return config
        # Repeats the check on the merged file to get findings with their paths.
        findings = _check_references(Document(source, tree.value(), ""), tree.is_partial)
        findings = findings or [Finding(ErrorCode.SCHEMA, "the content is inconsistent", Place(source))]
    except (KeyError, TypeError, AttributeError, ValueError) as exc:
        finding = Finding(ErrorCode.SCHEMA, f"malformed content: {exc!r}", Place(source))
        raise FindingsError([finding]) from exc
    raise FindingsError(findings)


def _decode(tree: ConfigTree, base) -> MeshConfig | None:
    """Build the model, reusing the groups that a base has in common; return None if it is invalid."""
    names = set(tree.contents)
    config = None
    if base is not None and tree.is_partial == base.tree.is_partial:
        changed, dropped = tree.compare_contents(base.tree)
        if _differs_only_in_routes(tree, base.tree, changed | dropped):
            names, config = changed | dropped, base.config
    if config is None:
        config = _build_without_routes(tree)
        if config is None:
            return None
    customers = config.customers
    customer_names = {name for name in names if is_customer_group(name)}
    if customer_names:
        customers = _evolve_customers(tree, customers, customer_names)
        if customers is None:
            return None
    route_groups = {name: routes for name, routes in config.route_groups.items() if name in tree.contents}
    added: list[Route] = []
    # Parses one group at a time: all parsed groups together take several times the memory of the model.
    for name in sorted(names - customer_names - {MESH_GROUP}):
        if name not in tree.contents:
            continue
        items = tree.group(name)["routes"]
        if not _has_known_targets(config, items, tree.is_partial):
            return None
        route_groups[name] = tuple(Route(**item) for item in items)
        added += route_groups[name]
    config = config.with_groups(tree.version, route_groups, customers)
    return config if _is_unambiguous(config, added) else None


def _evolve_customers(tree: ConfigTree, table: CustomerTable | None, names: set[str]) -> CustomerTable | None:
    """Return a table with the customers of the named groups replaced; None if the content is inconsistent."""
    if table is None:
        return None
    return table.evolve({name: tree.group(name)["customers"] if name in tree.contents else None for name in names})


def _differs_only_in_routes(tree: ConfigTree, base: ConfigTree, names: set[str]) -> bool:
    """Return whether two versions differ only in routes and customers within the named groups."""
    if MESH_GROUP in names:
        return False
    for name in filter(is_service_group, names):
        new_service = tree.group(name).get("service") if name in tree.contents else None
        old_service = base.group(name).get("service") if name in base.contents else None
        if new_service != old_service:
            return False
    return True


def _build_without_routes(tree: ConfigTree) -> MeshConfig | None:
    """Build the model without its routes; return None if it is invalid."""
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
        CustomerTable() if "customers" in value else None,
    )


def _has_known_targets(config: MeshConfig, items: list[dict], is_partial: bool) -> bool:
    """Return whether routes name only known traffic classes and services; see `_check_references`."""
    document = Document("", {}, "")
    services = config.services.keys()
    for item in items:
        if item["traffic_class"] not in config.traffic_classes:
            return False
        if _check_targets(document, item, services, "", is_partial):
            return False
    return True


def _is_unambiguous(config: MeshConfig, added: list[Route]) -> bool:
    """Return whether all routes have unique names, and no added route is shadowed by or shadows another."""
    if len({route.name for route in config.routes}) < len(config.routes):
        return False
    hosts = {route.host for route in added}
    keys = {(route.host, route.path) for route in added}
    taken = set()
    for route in config.routes:
        if route.host not in hosts:
            continue
        key = (route.host, route.path)
        if key not in keys:
            continue
        for method in set(route.methods) or {"*"}:
            if (*key, method) in taken:
                return False
            taken.add((*key, method))
    return True


def _check_references(document: Document, is_partial: bool = False) -> list[Finding]:
    """Check names, shares and references.

    With `is_partial`, the calls of services are not checked: a slice includes the services that
    its own service calls, but not the services that those call.
    """
    value = document.value
    findings = []
    findings += _check_duplicate_names(document, "traffic_classes")
    findings += _check_duplicate_names(document, "services")
    findings += _check_duplicate_names(document, "routes")
    findings += _check_shares(document)
    services = {item["name"] for item in value["services"]}
    for number, item in enumerate(value["services"]):
        findings += _check_known_names(
            document, item["zones"], set(value["zones"]), ErrorCode.UNKNOWN_ZONE, f"/services/{number}/zones"
        )
        if is_partial:
            continue
        findings += _check_known_names(
            document, item.get("calls", ()), services, ErrorCode.UNKNOWN_SERVICE, f"/services/{number}/calls"
        )
    classes = {item["name"] for item in value["traffic_classes"]}
    for number, item in enumerate(value["routes"]):
        path = f"/routes/{number}"
        findings += _check_targets(document, item, services, path, is_partial)
        if item["traffic_class"] not in classes:
            message = f"route {item['name']!r} names the unknown traffic class {item['traffic_class']!r}"
            findings.append(Finding(ErrorCode.UNKNOWN_CLASS, message, document.place(path + "/traffic_class")))
    return findings + _check_shadowed_routes(document) + _check_customers(document)


def _check_customers(document: Document) -> list[Finding]:
    """Find customers that share a name or a key; no finding has a key."""
    if "customers" not in document.value:
        return []
    findings = _check_duplicate_names(document, "customers")
    owners: dict[bytes, tuple[int, str]] = {}
    for number, item in enumerate(document.value["customers"]):
        for position, key in enumerate(item.get("keys", ())):
            owner, owner_name = owners.setdefault(digest_key(key), (number, item["name"]))
            if owner != number:
                message = f"customers {owner_name!r} and {item['name']!r} share a key"
                place = document.place(f"/customers/{number}/keys/{position}")
                findings.append(Finding(ErrorCode.SHARED_KEY, message, place))
    return findings


def _check_version(document: Document) -> list[Finding]:
    number = document.value["version"]
    if 1 <= number <= MAX_VERSION:
        return []
    message = f"version number must be from 1 to {MAX_VERSION}, got {number}"
    return [Finding(ErrorCode.SCHEMA, message, document.place("/version"))]


def _check_text_syntax(document: Document) -> list[Finding]:
    """Check the syntax of names and health paths, which daemons send in headers and compare."""
    findings = []
    for key in ("traffic_classes", "services", "routes", "customers"):
        for number, item in enumerate(document.value.get(key, ())):
            if not _NAME.fullmatch(item["name"]) or len(item["name"].encode()) > MAX_NAME_BYTES:
                message = (
                    f"name must have 1 to {MAX_NAME_BYTES} bytes and no control characters, got {item['name'][:80]!r}"
                )
                findings.append(Finding(ErrorCode.SCHEMA, message, document.place(f"/{key}/{number}/name")))
            if not _HEALTH_PATH.fullmatch(item.get("health_path", "")):
                message = f"health path must have no blanks and no control characters, got {item['health_path'][:80]!r}"
                findings.append(Finding(ErrorCode.SCHEMA, message, document.place(f"/{key}/{number}/health_path")))
    for number, item in enumerate(document.value.get("customers", ())):
        for position, key in enumerate(item.get("keys", ())):
            if not _KEY.fullmatch(key):
                message = f"a key of customer {item['name'][:80]!r} is empty or has a lone surrogate"
                place = document.place(f"/customers/{number}/keys/{position}")
                findings.append(Finding(ErrorCode.SCHEMA, message, place))
    return findings


def _check_duplicate_names(document: Document, key: str) -> list[Finding]:
    findings = []
    seen = set()
    for number, item in enumerate(document.value[key]):
        name = item["name"]
        if name in seen:
            place = document.place(f"/{key}/{number}/name")
            findings.append(Finding(ErrorCode.DUPLICATE_NAME, f"duplicate name {name!r} in {key}", place))
        seen.add(name)
    return findings


def _check_targets(document: Document, route: dict, services: set[str], path: str, is_partial: bool) -> list[Finding]:
    """Check the services of a route and the weights of its split.

    A slice may lack services that a route with a split names, except the first one of the
    split, so with `is_partial` the services of such a route are not checked.
    """
    parts = route.get("split")
    names = [(route["service"], f"{path}/service")] if "service" in route else []
    names += [(part["service"], f"{path}/split/{number}/service") for number, part in enumerate(parts or ())]
    findings = []
    for name, place in names:
        if name not in services and not (is_partial and parts):
            message = f"route {route['name']!r} names the unknown service {name!r}"
            findings.append(Finding(ErrorCode.UNKNOWN_SERVICE, message, document.place(place)))
    if parts is not None and sum(part["weight"] for part in parts) <= 0:
        message = f"the weights of route {route['name']!r} must sum to more than 0"
        findings.append(Finding(ErrorCode.NO_WEIGHT, message, document.place(f"{path}/split")))
    return findings


def _check_known_names(document, names, known, code, path) -> list[Finding]:
    findings = []
    for number, name in enumerate(names):
        if name not in known:
            findings.append(Finding(code, f"unknown name {name!r}", document.place(f"{path}/{number}")))
    return findings


def _check_shares(document: Document) -> list[Finding]:
    total = sum(item["share"] for item in document.value["traffic_classes"])
    if total <= 1 + SHARE_TOLERANCE:
        return []
    message = f"the shares of the traffic classes sum to {total:g}, more than 1"
    return [Finding(ErrorCode.SHARES_EXCEED_ONE, message, document.place("/traffic_classes"))]


def _check_shadowed_routes(document: Document) -> list[Finding]:
    """Find routes with the host, the prefix and a method of an earlier route, which would get no requests by them."""
    findings = []
    taken = {}
    for number, item in enumerate(document.value["routes"]):
        key = (item.get("host", "*").lower(), item["path"])
        methods = set(item.get("methods", ())) or {"*"}
        for other_name, other_methods in taken.get(key, ()):
            overlap = ("*" in methods and "*" in other_methods) or methods & other_methods
            if overlap:
                message = f"route {item['name']!r} matches the same requests as route {other_name!r}"
                findings.append(Finding(ErrorCode.SHADOWED_ROUTE, message, document.place(f"/routes/{number}")))
                break
        taken.setdefault(key, []).append((item["name"], methods))
    return findings
