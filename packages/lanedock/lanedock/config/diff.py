# SPDX-License-Identifier: BSD-3-Clause
"""Comparison of two configurations."""

from lanedock.config.customers import digest_key

__all__ = ["Difference", "compare"]

_NAMED_LISTS = ("traffic_classes", "services", "routes", "customers")
_TOP_LEVEL_KEYS = ("mesh", "version", "zones", "endpoint_window_ms")
# Hexadecimal digits of a key's digest that are shown instead of the key.
_SHOWN_DIGITS = 8


class Difference:
    """One difference between two configurations.

    Parameters
    ----------
    kind : str
        ``added``, ``removed`` or ``changed``.
    path : str
        ``LIST/NAME`` of an item, ``LIST/NAME/KEY`` of a key in an item, or a top-level key.
    before, after : object
        The values; None if the item or key is absent. A key of a customer is replaced by the
        first 8 hexadecimal digits of its digest.
    """

    __slots__ = ("after", "before", "kind", "path")

    def __init__(self, kind: str, path: str, before: object, after: object):
        self.kind = kind
        self.path = path
        self.before = before
        self.after = after

    def __repr__(self) -> str:
        return f"<Difference {self.kind} {self.path}>"


def compare(before: dict, after: dict) -> list[Difference]:
    """Compare two parsed operators' files.

    Parameters
    ----------
    before, after : dict

    Returns
    -------
    list of Difference
        Items of lists are matched by name, so a change of order is not a difference.
    """
    differences = _compare_keys("", before, after, _TOP_LEVEL_KEYS)
    # A file with an empty list requires keys, and one without the list doesn't.
    if "customers" in after and "customers" not in before:
        differences.append(Difference("added", "customers", None, []))
    elif "customers" in before and "customers" not in after:
        differences.append(Difference("removed", "customers", [], None))
    for key in _NAMED_LISTS:
        old = {item["name"]: item for item in before.get(key, ())}
        new = {item["name"]: item for item in after.get(key, ())}
        found = _compare_items(key, old, new)
        differences += [_mask_keys(item) for item in found] if key == "customers" else found
    return differences


def _mask_keys(difference: Difference) -> Difference:
    """Return a difference between customers without their keys."""
    is_keys = difference.kind == "changed" and difference.path.endswith("/keys")
    mask = _show_digests if is_keys else _mask_customer
    return Difference(difference.kind, difference.path, mask(difference.before), mask(difference.after))


def _mask_customer(value: object) -> object:
    if not isinstance(value, dict) or "keys" not in value:
        return value
    return {**value, "keys": _show_digests(value["keys"])}


def _show_digests(keys: list[str] | None) -> list[str] | None:
    return keys and [digest_key(key).hex()[:_SHOWN_DIGITS] for key in keys]


def _compare_items(key: str, old: dict, new: dict) -> list[Difference]:
    differences = []
    for name in sorted(old.keys() | new.keys()):
        path = f"{key}/{name}"
        if name not in new:
            differences.append(Difference("removed", path, old[name], None))
        elif name not in old:
            differences.append(Difference("added", path, None, new[name]))
        else:
            keys = sorted(old[name].keys() | new[name].keys())
            differences += _compare_keys(path + "/", old[name], new[name], keys)
    return differences


def _compare_keys(prefix: str, before: dict, after: dict, keys) -> list[Difference]:
    differences = []
    for key in keys:
        old, new = before.get(key), after.get(key)
        if old != new:
            differences.append(Difference("changed", prefix + key, old, new))
    return differences
