# SPDX-License-Identifier: BSD-3-Clause
"""What it means that a request's path begins with the prefix of a route."""

__all__ = ["matches_prefix"]


def matches_prefix(path: str, prefix: str) -> bool:
    """Return whether a path begins with a prefix.

    A prefix that ends with a slash matches the paths that begin with it, so ``/a/`` doesn't match
    ``/a``. Any other prefix matches whole segments: ``/a`` matches ``/a`` and ``/a/b``, not ``/ab``.
    Both are compared character by character: nothing is decoded, and slashes are not merged.

    Parameters
    ----------
    path : str
        Path of a request, without the query.
    prefix : str
        Begins with a slash.
    """
    if not path.startswith(prefix):
        return False
    return len(path) == len(prefix) or prefix.endswith("/") or path[len(prefix)] == "/"
