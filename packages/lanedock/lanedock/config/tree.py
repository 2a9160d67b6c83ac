# SPDX-License-Identifier: BSD-3-Clause
"""A version as a set of digested groups, its slices and its deltas.

A version is split into one group for each service (the service and the routes
that lead to it) and one for what holds for the whole mesh. Where many routes lead to a
service, they stand in groups of their own, of a few routes each: which of them a route
stands in follows from the hash of its name, so a change of one route changes one group,
however many others there are. The version's
digest covers its number and every group's digest, a hash tree of two levels
(Merkle, "A Digital Signature Based on a Conventional Encryption Function",
1987). A daemon that holds only the groups it needs can so still verify that
they belong to the whole version.
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
    "is_service_group",
    "needed_groups",
    "pack_groups",
    "split_config",
    "unpack_groups",
]

MESH_GROUP = ""
# Between a service's name and the bits of its routes' hashes in the name of a group of
# routes; no service's name has a control character.
_ROUTES_MARK = "\x1f"
# Routes in one group. A change of a route sends those of its group: with fewer, the digests
# that each version is made of and compared by grow, and with them the work on any change.
MAX_GROUP_ROUTES = 16
_ENCODER = json.JSONEncoder(sort_keys=True, separators=(",", ":"), ensure_ascii=False)
# Bits of a route's hash: enough to tell millions of names apart.
_HASH_BITS = 64
# A content that unpacks to more than this is refused, not unpacked.
MAX_CONTENT_BYTES = 16 * 1024 * 1024
_MESH_KEYS = ("mesh", "zones", "traffic_classes", "endpoint_window_ms", "limits")


class ConfigTree:
    """The groups of one version; some may be known by digest only.

    Parameters
    ----------
    number : int
        The version's number.
    digests : dict of str to bytes
        Each group's SHA-256, 32 bytes.
    contents : dict of str to bytes
        Canonical JSON of the groups held.
    """

    __slots__ = ("contents", "digests", "number", "version")

    def __init__(self, number: int, digests: dict[str, bytes], contents: dict[str, bytes]):
        self.number = number
        self.digests = digests
        self.contents = contents
        self.version = Version(number, _digest_root(number, digests))

    def __repr__(self) -> str:
        return f"<ConfigTree {self.version} held={len(self.contents)}/{len(self.digests)}>"

    @property
    def is_partial(self) -> bool:
        """Whether some groups are known by digest only."""
        return len(self.contents) < len(self.digests)

    def group(self, name: str) -> dict:
        """Parse a held group."""
        return json.loads(self.contents[name])

    def value(self) -> dict:
        """Join the held groups to a parsed file.

        Returns
        -------
        dict
            With `version`; services are ordered by name, routes by their service and name.
        """
        value = dict(self.group(MESH_GROUP))
        value["version"] = self.number
        groups = [self.group(name) for name in sorted(self.contents) if name != MESH_GROUP]
        value["services"] = [group["service"] for group in groups if "service" in group]
        routes = [route for group in groups for route in group["routes"]]
        value["routes"] = sorted(routes, key=lambda route: (_first_service(route), route["name"]))
        return value

    def held_changes(self, base: "ConfigTree") -> tuple[set[str], set[str]]:
        """Compare the groups that are held here with those that a base holds.

        Returns
        -------
        changed : set of str
            Held here, and not with this content there.
        dropped : set of str
            Held there, and not here.
        """
        changed = {name for name, content in self.contents.items() if base.contents.get(name) != content}
        return changed, base.contents.keys() - self.contents.keys()

    def slice(self, names: set[str]) -> "ConfigTree":
        """Return the same version with only the named groups held."""
        contents = {name: self.contents[name] for name in names if name in self.contents}
        return ConfigTree(self.number, self.digests, contents)

    def pack(self) -> bytes:
        """Serialize the held groups, as `from_packed` reads them."""
        return pack_groups(self._groups(self.contents, set(self.contents)))

    @classmethod
    def from_packed(cls, number: int, packed: bytes) -> "ConfigTree":
        """Make a whole version's tree from what `pack` returned.

        Raises
        ------
        LanedockError
            `ErrorCode.DIGEST_MISMATCH`: these are not packed groups.
        """
        contents = {group.name: group.content for group in unpack_groups(packed)}
        digests = {name: hashlib.sha256(content).digest() for name, content in contents.items()}
        return cls(number, digests, contents)

    def whole_push(self, names: set[str]) -> messages.ConfigPush:
        """Make a message that carries the named groups and all digests."""
        push = messages.ConfigPush(version=self.number, digest=self.version.digest)
        push.groups = pack_groups(self._groups(self.digests, names))
        return push

    def delta_push(self, names: set[str], base: "ConfigTree", base_names: set[str]) -> messages.ConfigPush:
        """Make a message that leads from a base to this version.

        Parameters
        ----------
        names : set of str
            Groups that the daemon needs of this version.
        base : ConfigTree
            What the daemon holds.
        base_names : set of str
            Groups that it holds of the base.
        """
        changed = {name for name, digest in self.digests.items() if base.digests.get(name) != digest}
        fresh = names - base_names
        # Told by digest alone, which makes the receiver let go of the content.
        unneeded = (base_names - names) & self.digests.keys()
        push = messages.ConfigPush(version=self.number, digest=self.version.digest)
        push.base_digest = base.version.digest
        push.groups = pack_groups(self._groups(sorted(changed | fresh | unneeded), names))
        push.removed.extend(sorted(base.digests.keys() - self.digests.keys()))
        return push

    def _groups(self, digests, names: set[str]) -> list:
        groups = []
        for name in sorted(digests):
            content = self.contents.get(name, b"") if name in names else b""
            # A content carries its digest in itself, so it isn't sent twice.
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
            What the receiver holds.

        Raises
        ------
        LanedockError
            `ErrorCode.DIGEST_MISMATCH`: the base is unknown, or the result is
            not the version that the push names.
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
            raise LanedockError(ErrorCode.DIGEST_MISMATCH, f"version {push.version} came with another content")
        return tree


def _find_base(bases: list, digest: bytes) -> ConfigTree:
    for base in bases:
        if base is not None and base.version.digest == digest:
            return base
    raise LanedockError(ErrorCode.DIGEST_MISMATCH, "the base of a delta is not held")


def _digest_root(number: int, digests: dict[str, bytes]) -> bytes:
    root = hashlib.sha256(struct.pack(">Q", number))
    for name in sorted(digests):
        encoded = name.encode()
        root.update(struct.pack(">H", len(encoded)) + encoded + digests[name])
    return root.digest()


def split_config(value: dict) -> ConfigTree:
    """Split a checked, parsed file into its groups.

    Parameters
    ----------
    value : dict
        As `check_document` accepts it.
    """
    parts = {MESH_GROUP: {key: value[key] for key in _MESH_KEYS if key in value}}
    routes: dict[str, list[dict]] = {service["name"]: [] for service in value["services"]}
    for route in sorted(value["routes"], key=lambda item: item["name"]):
        routes[_first_service(route)].append(route)
    for service in value["services"]:
        name = service["name"]
        own, groups = _group_routes(name, routes[name])
        parts[name] = {"service": service, "routes": own}
        parts.update(groups)
    contents = {name: _canonical(part) for name, part in parts.items()}
    digests = {name: hashlib.sha256(content).digest() for name, content in contents.items()}
    return ConfigTree(value["version"], digests, contents)


def _group_routes(service: str, routes: list[dict]) -> tuple[list[dict], dict[str, dict]]:
    """Divide a service's routes into those of its own group and further groups of them.

    A binary trie over the hashes of their names: what a group holds depends on the routes
    alone, not on the order in which they were added.
    """
    if len(routes) <= MAX_GROUP_ROUTES:
        return routes, {}
    members = sorted(((_hash_name(route["name"]), route) for route in routes), key=itemgetter(0))
    hashes = [digest for digest, _ in members]
    groups: dict[str, dict] = {}
    # Bits of the prefix, and the members that begin with them.
    pending = [(0, 0, 0, len(members))]
    while pending:
        depth, prefix, first, last = pending.pop()
        if depth and (last - first <= MAX_GROUP_ROUTES or depth == _HASH_BITS):
            if last > first:
                own = sorted((route for _, route in members[first:last]), key=itemgetter("name"))
                groups[f"{service}{_ROUTES_MARK}{prefix:0{depth}b}"] = {"routes": own}
            continue
        middle = bisect_left(hashes, (2 * prefix + 1) << (_HASH_BITS - depth - 1), first, last)
        pending.append((depth + 1, 2 * prefix, first, middle))
        pending.append((depth + 1, 2 * prefix + 1, middle, last))
    return [], groups


def _hash_name(name: str) -> int:
    return int.from_bytes(hashlib.sha256(name.encode()).digest()[: _HASH_BITS // 8])


def is_service_group(name: str) -> bool:
    """Tell whether a group is a service's own: neither the mesh's nor one of routes alone."""
    return name != MESH_GROUP and _ROUTES_MARK not in name


def _first_service(route: dict) -> str:
    """Return the service in whose group a route stands."""
    return route["split"][0]["service"] if "split" in route else route["service"]


def _canonical(value: dict) -> bytes:
    return _ENCODER.encode(value).encode()


def needed_groups(tree: ConfigTree, is_entry: bool, service: str) -> set[str]:
    """Tell which groups a daemon needs.

    Parameters
    ----------
    tree : ConfigTree
        Whole.
    is_entry : bool
        An entry daemon takes requests for any service.
    service : str
        The service of the daemon's upstream; empty for an entry daemon.

    Returns
    -------
    set of str
        For an upstream's daemon: its own service and those it may call.
    """
    if is_entry:
        return set(tree.digests)
    if service not in tree.contents:
        return {MESH_GROUP}
    services = {service, *tree.group(service)["service"].get("calls", ())}
    needed = {name for name in tree.digests if name.partition(_ROUTES_MARK)[0] in services}
    # A called service that there is not is a finding of the receiver's own check.
    return {MESH_GROUP, *services, *needed}


def pack_groups(groups: list) -> bytes:
    """Serialize and compress groups."""
    return zlib.compress(messages.ConfigContent(groups=groups).SerializeToString(), 6)


def unpack_groups(packed: bytes) -> list:
    """Take packed groups apart.

    Raises
    ------
    LanedockError
        `ErrorCode.DIGEST_MISMATCH`: not packed groups, or far too large.
    """
    unpacker = zlib.decompressobj()
    try:
        data = unpacker.decompress(packed, MAX_CONTENT_BYTES)
        groups = list(messages.ConfigContent.FromString(data).groups)
    except Exception as exc:  # zlib.error or protobuf's DecodeError, both mean the same here
        raise LanedockError(ErrorCode.DIGEST_MISMATCH, f"content can't be unpacked: {exc}") from exc
    if unpacker.unconsumed_tail:
        raise LanedockError(ErrorCode.DIGEST_MISMATCH, f"content unpacks to over {MAX_CONTENT_BYTES} bytes")
    return groups
