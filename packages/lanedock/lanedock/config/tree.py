# SPDX-License-Identifier: BSD-3-Clause
"""Hash tree of a version's content, with slices and deltas.

The content of a version is split into groups: one for the settings of the whole
mesh and one for each service, with the service and its routes. If a service has
many routes, they are stored in separate groups of a few routes each. The hash of
a route's name determines its group, so a change of one route changes one group,
regardless of the number of routes.

Customers are stored in groups of their own, divided in the same way. A file that has the list
of customers, even an empty one, has an empty list in the mesh's group.

The digest of a version covers its number and the digest of every group, as a
hash tree of two levels [1]_. A daemon that holds only the groups that it needs
can therefore verify that they belong to the version.

References
----------
.. [1] Merkle, "A Digital Signature Based on a Conventional Encryption Function",
   1987.
"""

import hashlib
import json
import struct
import zlib
from bisect import bisect_left
from operator import itemgetter

from lanedock.config.core import Version
from lanedock.errors import ErrorCode, LanedockError
from lanedock.wire import messages

__all__ = [
    "MESH_GROUP",
    "ConfigTree",
    "find_needed_groups",
    "is_customer_group",
    "is_service_group",
    "pack_groups",
    "split_config",
    "unpack_groups",
]

MESH_GROUP = ""
# Separates the service's name from the hash prefix in the name of a route group. Names of
# services contain no control characters.
_ROUTE_GROUP_SEPARATOR = "\x1f"
# Maximum number of routes, or of customers, in one group. A change of a route resends its whole
# group. Smaller groups mean more digests, and thus more work to build and compare every version.
MAX_GROUP_ITEMS = 16
# Begins the name of a group of customers; the hash prefix follows. No service's name is empty.
_CUSTOMER_GROUP_PREFIX = _ROUTE_GROUP_SEPARATOR
_ENCODER = json.JSONEncoder(sort_keys=True, separators=(",", ":"), ensure_ascii=False)
# Length of a name's hash, in bits: enough to distinguish millions of names.
_HASH_BITS = 64
# Maximum size of decompressed content, in bytes; larger content is refused.
MAX_CONTENT_BYTES = 16 * 1024 * 1024
_CUSTOMERS = "customers"
_MESH_KEYS = ("mesh", "zones", "traffic_classes", "endpoint_window_ms", "limits")


class ConfigTree:
    """The content groups of one version; some may be known by digest only.

    Parameters
    ----------
    number : int
        Version number.
    digests : dict of str to bytes
        SHA-256 digest of each group, 32 bytes.
    contents : dict of str to bytes
        Canonical JSON of each group that is held.
    """

    __slots__ = ("contents", "digests", "number", "version")

    def __init__(self, number: int, digests: dict[str, bytes], contents: dict[str, bytes]):
        self.number = number
        self.digests = digests
        self.contents = contents
        self.version = Version(number, _compute_root_digest(number, digests))

    def __repr__(self) -> str:
        return f"<ConfigTree {self.version} held={len(self.contents)}/{len(self.digests)}>"

    @property
    def is_partial(self) -> bool:
        """Whether some groups are known by digest only."""
        return len(self.contents) < len(self.digests)

    def group(self, name: str) -> dict:
        """Return the parsed content of a group that is held."""
        return json.loads(self.contents[name])

    def value(self) -> dict:
        """Merge the held groups into a parsed operators' file.

        Returns
        -------
        dict
            The file with its `version`; services and customers are sorted by name, routes by
            service and name.
        """
        value = dict(self.group(MESH_GROUP))
        value["version"] = self.number
        names = sorted(self.contents.keys() - {MESH_GROUP})
        if _CUSTOMERS in value:
            customers = [item for name in names if is_customer_group(name) for item in self.group(name)[_CUSTOMERS]]
            value[_CUSTOMERS] = sorted(customers, key=itemgetter("name"))
        groups = [self.group(name) for name in names if not is_customer_group(name)]
        value["services"] = [group["service"] for group in groups if "service" in group]
        routes = [route for group in groups for route in group["routes"]]
        value["routes"] = sorted(routes, key=lambda route: (_owning_service(route), route["name"]))
        return value

    def compare_contents(self, base: "ConfigTree") -> tuple[set[str], set[str]]:
        """Compare the contents held by this tree with those held by a base.

        Returns
        -------
        changed : set of str
            Groups held by this tree that the base lacks or holds with other content.
        dropped : set of str
            Groups held by the base but not by this tree.
        """
        changed = {name for name, content in self.contents.items() if base.contents.get(name) != content}
        return changed, base.contents.keys() - self.contents.keys()

    def slice(self, names: set[str]) -> "ConfigTree":
        """Return a tree of the same version that holds only the named groups."""
        contents = {name: self.contents[name] for name in names if name in self.contents}
        return ConfigTree(self.number, self.digests, contents)

    def pack(self) -> bytes:
        """Serialize the held groups for `from_packed`."""
        return pack_groups(self._make_groups(self.contents, set(self.contents)))

    @classmethod
    def from_packed(cls, number: int, packed: bytes) -> "ConfigTree":
        """Deserialize the tree of a complete version from the output of `pack`.

        Raises
        ------
        LanedockError
            `ErrorCode.DIGEST_MISMATCH`: the bytes are not packed groups.
        """
        contents = {group.name: group.content for group in unpack_groups(packed)}
        digests = {name: hashlib.sha256(content).digest() for name, content in contents.items()}
        return cls(number, digests, contents)

    def make_full_push(self, names: set[str]) -> messages.ConfigPush:
        """Make a message with the content of the named groups and the digests of all others."""
        push = messages.ConfigPush(version=self.number, digest=self.version.digest)
        push.groups = pack_groups(self._make_groups(self.digests, names))
        return push

    def make_delta_push(self, names: set[str], base: "ConfigTree", base_names: set[str]) -> messages.ConfigPush:
        """Make a message with the delta from a base to this version.

        Parameters
        ----------
        names : set of str
            Groups of this version that the daemon needs.
        base : ConfigTree
            Version that the daemon holds.
        base_names : set of str
            Groups of the base that the daemon holds.
        """
        changed = {name for name, digest in self.digests.items() if base.digests.get(name) != digest}
        newly_needed = names - base_names
        # Sent as digests only, so that the receiver discards their content.
        unneeded = (base_names - names) & self.digests.keys()
        push = messages.ConfigPush(version=self.number, digest=self.version.digest)
        push.base_digest = base.version.digest
        push.groups = pack_groups(self._make_groups(sorted(changed | newly_needed | unneeded), names))
        push.removed.extend(sorted(base.digests.keys() - self.digests.keys()))
        return push

    def _make_groups(self, digests, names: set[str]) -> list:
        groups = []
        for name in sorted(digests):
            content = self.contents.get(name, b"") if name in names else b""
            # The receiver computes the digest from the content, so it isn't sent as well.
            digest = b"" if content else self.digests[name]
            groups.append(messages.Group(name=name, digest=digest, content=content))
        return groups

    @classmethod
    def from_push(cls, push: messages.ConfigPush, bases: list["ConfigTree"]) -> "ConfigTree":
        """Verify a push and apply it to its base.

        Parameters
        ----------
        push : ConfigPush
        bases : list of ConfigTree
            Trees that the receiver holds.

        Raises
        ------
        LanedockError
            `ErrorCode.DIGEST_MISMATCH`: the base is not held, or the digest of the
            result is not the one in the push.
        """
        digests, contents = {}, {}
        if push.base_digest:
            base = _find_base(bases, push.base_digest)
            digests.update(base.digests)
            contents.update(base.contents)
        for name in push.removed:
            digests.pop(name, None)
            contents.pop(name, None)
        for group in unpack_groups(push.groups):
            contents.pop(group.name, None)
            if group.content:
                contents[group.name] = group.content
                digests[group.name] = hashlib.sha256(group.content).digest()
            else:
                digests[group.name] = group.digest
        tree = cls(push.version, digests, contents)
        if tree.version.digest != push.digest:
            raise LanedockError(
                ErrorCode.DIGEST_MISMATCH, f"content of version {push.version} does not match its digest"
            )
        return tree


def _find_base(bases: list, digest: bytes) -> ConfigTree:
    for base in bases:
        if base is not None and base.version.digest == digest:
            return base
    raise LanedockError(ErrorCode.DIGEST_MISMATCH, "the base of the delta is not held")


def _compute_root_digest(number: int, digests: dict[str, bytes]) -> bytes:
    root = hashlib.sha256(struct.pack(">Q", number))
    for name in sorted(digests):
        encoded = name.encode()
        root.update(struct.pack(">H", len(encoded)) + encoded + digests[name])
    return root.digest()


def split_config(value: dict) -> ConfigTree:
    """Split a validated operators' file into its content groups.

    Parameters
    ----------
    value : dict
        Parsed file that `check_document` accepts.
    """
    parts = {MESH_GROUP: {key: value[key] for key in _MESH_KEYS if key in value}}
    routes: dict[str, list[dict]] = {service["name"]: [] for service in value["services"]}
    for route in sorted(value["routes"], key=lambda item: item["name"]):
        routes[_owning_service(route)].append(route)
    if _CUSTOMERS in value:
        parts[MESH_GROUP][_CUSTOMERS] = []
        for prefix, customers in _divide(value[_CUSTOMERS]).items():
            parts[_CUSTOMER_GROUP_PREFIX + prefix] = {_CUSTOMERS: customers}
    for service in value["services"]:
        name = service["name"]
        main_routes, groups = _group_routes(name, routes[name])
        parts[name] = {"service": service, "routes": main_routes}
        parts.update(groups)
    contents = {name: _encode_canonical(part) for name, part in parts.items()}
    digests = {name: hashlib.sha256(content).digest() for name, content in contents.items()}
    return ConfigTree(value["version"], digests, contents)


def _group_routes(service: str, routes: list[dict]) -> tuple[list[dict], dict[str, dict]]:
    """Divide a service's routes into those in its own group and separate route groups."""
    if len(routes) <= MAX_GROUP_ITEMS:
        return routes, {}
    groups = _divide(routes)
    return [], {f"{service}{_ROUTE_GROUP_SEPARATOR}{prefix}": {"routes": part} for prefix, part in groups.items()}


def _divide(items: list[dict]) -> dict[str, list[dict]]:
    """Divide named items into groups of at most `MAX_GROUP_ITEMS`, by hash prefix in binary digits.

    The groups are the leaves of a binary trie over the hashes of the items' names, so they
    do not depend on the order in which items were added.
    """
    members = sorted(((_hash_name(item["name"]), item) for item in items), key=itemgetter(0))
    hashes = [digest for digest, _ in members]
    groups: dict[str, list[dict]] = {}
    # Subtrees: depth in bits, prefix, and the range of the members with that prefix.
    pending = [(0, 0, 0, len(members))]
    while pending:
        depth, prefix, first, last = pending.pop()
        if last - first <= MAX_GROUP_ITEMS or depth == _HASH_BITS:
            if last > first:
                digits = f"{prefix:0{depth}b}" if depth else ""
                groups[digits] = sorted((item for _, item in members[first:last]), key=itemgetter("name"))
            continue
        middle = bisect_left(hashes, (2 * prefix + 1) << (_HASH_BITS - depth - 1), first, last)
        pending.append((depth + 1, 2 * prefix, first, middle))
        pending.append((depth + 1, 2 * prefix + 1, middle, last))
    return groups


def _hash_name(name: str) -> int:
    return int.from_bytes(hashlib.sha256(name.encode()).digest()[: _HASH_BITS // 8])


def is_service_group(name: str) -> bool:
    """Return whether a group is the main group of a service, not the mesh group, a route group or customers' group."""
    return name != MESH_GROUP and _ROUTE_GROUP_SEPARATOR not in name


def is_customer_group(name: str) -> bool:
    """Return whether a group has customers."""
    return name.startswith(_CUSTOMER_GROUP_PREFIX)


def _owning_service(route: dict) -> str:
    """Return the service whose groups contain a route: the first one of a split."""
    return route["split"][0]["service"] if "split" in route else route["service"]


def _encode_canonical(value: dict) -> bytes:
    return _ENCODER.encode(value).encode()


def find_needed_groups(tree: ConfigTree, is_entry: bool, service: str) -> set[str]:
    """Return the names of the groups that a daemon needs.

    Parameters
    ----------
    tree : ConfigTree
        Tree that holds all groups.
    is_entry : bool
        Whether it is an entry daemon, which accepts requests for any service.
    service : str
        The service of the daemon's upstream; empty for an entry daemon.

    Returns
    -------
    set of str
        All groups for an entry daemon. For an upstream's daemon, those of the
        mesh, its own service and the services that it may call; none of customers,
        as an application's calls carry no key.
    """
    if is_entry:
        return set(tree.digests)
    if service not in tree.contents:
        return {MESH_GROUP}
    services = {service, *tree.group(service)["service"].get("calls", ())}
    needed = {name for name in tree.digests if name.partition(_ROUTE_GROUP_SEPARATOR)[0] in services}
    # Includes called services that don't exist: the receiver's validation reports them.
    return {MESH_GROUP, *services, *needed}


def pack_groups(groups: list) -> bytes:
    """Serialize and compress groups."""
    return zlib.compress(messages.ConfigContent(groups=groups).SerializeToString(), 6)


def unpack_groups(packed: bytes) -> list:
    """Decompress and parse groups that `pack_groups` returned.

    Raises
    ------
    LanedockError
        `ErrorCode.DIGEST_MISMATCH`: the bytes are not packed groups, or their content exceeds
        `MAX_CONTENT_BYTES`.
    """
    unpacker = zlib.decompressobj()
    try:
        data = unpacker.decompress(packed, MAX_CONTENT_BYTES)
        groups = list(messages.ConfigContent.FromString(data).groups)
    except Exception as exc:  # zlib.error or protobuf's DecodeError: the bytes are corrupt
        raise LanedockError(ErrorCode.DIGEST_MISMATCH, f"content can't be decompressed or parsed: {exc}") from exc
    if unpacker.unconsumed_tail:
        raise LanedockError(ErrorCode.DIGEST_MISMATCH, f"decompressed content exceeds {MAX_CONTENT_BYTES} bytes")
    return groups
