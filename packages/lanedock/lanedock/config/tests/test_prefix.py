# SPDX-License-Identifier: BSD-3-Clause
"""Tests of what it means that a path begins with a prefix, and of what the operators' file may therefore hold."""

import pytest

from lanedock.config import check_generated_config, decode_config, matches_prefix, split_config
from lanedock.errors import ErrorCode
from lanedock.findings import FindingsError


@pytest.mark.parametrize(
    ("prefix", "matched", "other"),
    [
        ("/", ["/", "//", "/a", "/a/"], []),
        (
            "/a/",
            ["/a/", "/a/b", "/a//", "/a//b", "/a/../b", "/a/%2F"],
            ["/a", "/", "/ab", "/ab/", "/A/", "/a%2F", "//a/"],
        ),
        ("/a", ["/a", "/a/", "/a//", "/a/b"], ["/", "/ab", "/a%2F", "/a.", "//a", "/A"]),
        ("/a//", ["/a//", "/a//b", "/a///"], ["/a", "/a/", "/a/b"]),
        ("//", ["//", "//a"], ["/", "/a"]),
        ("/a//b", ["/a//b", "/a//b/c"], ["/a/b", "/a//bc"]),
    ],
)
def test_a_prefix_matches_by_its_last_slash(prefix, matched, other):
    assert [path for path in matched if not matches_prefix(path, prefix)] == []
    assert [path for path in other if matches_prefix(path, prefix)] == []


def _make_value(*prefixes: str, version: int = 1) -> dict:
    routes = [
        {"name": f"r{number}", "path": prefix, "service": "s", "traffic_class": "c"}
        for number, prefix in enumerate(prefixes)
    ]
    return {
        "mesh": "m",
        "version": version,
        "zones": ["z"],
        "traffic_classes": [{"name": "c", "share": 1}],
        "services": [{"name": "s", "zones": ["z"]}],
        "routes": routes,
    }


class _Held:
    """A version that a daemon holds."""

    def __init__(self, value: dict):
        self.tree = split_config(value)
        self.config = decode_config(self.tree)


@pytest.mark.parametrize(
    ("prefixes", "is_accepted"),
    [
        (("/charges", "/charges/"), True),
        (("/charges/", "/charges//"), True),
        (("/", "/charges/"), True),
        (("/charges/", "/charges/"), False),
        (("/charges", "/charges"), False),
    ],
)
def test_only_routes_with_equal_prefixes_are_refused_as_shadowed(prefixes, is_accepted):
    """Prefixes that match different paths were refused as equal, in a file and in an update."""
    base = _Held(_make_value(prefixes[0]))
    value = _make_value(*prefixes, version=2)
    # Only a source that does not validate sends the second one to a daemon.
    for check in (
        lambda: check_generated_config(value, "file"),
        lambda: decode_config(split_config(value)),
        lambda: decode_config(split_config(value), base),
    ):
        if is_accepted:
            check()
            continue
        with pytest.raises(FindingsError) as caught:
            check()
        assert [finding.code for finding in caught.value.findings] == [ErrorCode.SHADOWED_ROUTE]
