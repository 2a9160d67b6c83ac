# SPDX-License-Identifier: BSD-3-Clause
"""Comparison of two configurations."""

__all__ = ["Difference", "compare"]

_NAMED_LISTS = ("traffic_classes", "services", "routes")
_TOP_LEVEL_KEYS = ("mesh", "version", "zones", "endpoint_window_ms")


class Difference:
    """One difference between two configurations.

    Parameters
    ----------
    kind : str
        ``added``, ``removed`` or ``changed``.
    path : str
        ``LIST/NAME`` of an item, ``LIST/NAME/KEY`` of a key in an item, or a top-level key.
    before, after : object
        The values; None if the item or key is absent.
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
    for key in _NAMED_LISTS:
        old = {item["name"]: item for item in before.get(key, ())}
        new = {item["name"]: item for item in after.get(key, ())}
        differences += _compare_items(key, old, new)
    return differences


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
