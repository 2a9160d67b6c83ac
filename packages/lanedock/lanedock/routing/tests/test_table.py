# SPDX-License-Identifier: BSD-3-Clause
"""Tests of the route table against a plain search of its definition."""

from hypothesis import given, settings
from hypothesis import strategies as st

from lanedock.config import MeshConfig, Route, Version
from lanedock.routing import RouteTable

METHODS = ("GET", "POST")
SEGMENTS = st.sampled_from(["", "", "a", "b", "ab", "%2F", "..", "."])
PATHS = st.lists(SEGMENTS, min_size=1, max_size=5).map(lambda parts: "/" + "/".join(parts))
ROUTES = st.lists(
    st.tuples(st.sampled_from(["h", "g", "*"]), PATHS, st.sampled_from([(), ("GET",), ("GET", "POST")])), max_size=8
)


def _begins_with(path: str, prefix: str) -> bool:
    if prefix.endswith("/"):
        return path.startswith(prefix)
    return path == prefix or path.startswith(prefix + "/")


def _search(routes: list[Route], host: str, path: str, method: str) -> Route | None:
    """Return the route of a request by the definition."""
    fitting = [
        (route.host == host, len(route.path), bool(route.methods), route.name, route)
        for route in routes
        if route.host in (host, "*") and _begins_with(path, route.path) and method in (route.methods or METHODS)
    ]
    return max(fitting)[-1] if fitting else None


def _make_routes(items, number: int) -> list[Route]:
    """Make routes, but none that has the host, the prefix and a method of another one, which are refused."""
    taken, routes = set(), []
    for place, (host, path, methods) in enumerate(items):
        keys = {(host, path, method) for method in methods or ("*",)}
        if keys.isdisjoint(taken):
            taken |= keys
            routes.append(Route(f"r{number}-{place}", path, "s", "c", host=host, methods=methods))
    return routes


def _make_config(routes: list[Route]) -> MeshConfig:
    return MeshConfig("m", Version(), (), {}, {}, {"": tuple(routes)}, 0)


@settings(max_examples=400, deadline=None, derandomize=True)
@given(data=st.data(), first=ROUTES, second=ROUTES, paths=st.lists(PATHS, max_size=8))
def test_any_table_finds_the_route_of_a_plain_search(data, first, second, paths):
    """A table that drops or merges slashes sends requests to services that may not run them."""
    routes = _make_routes(first, 1)
    table = RouteTable(_make_config(routes))
    kept = [route for route in routes if data.draw(st.booleans(), label=f"{route.name} kept")]
    taken = {(route.host, route.path) for route in kept}
    changed = kept + [route for route in _make_routes(second, 2) if (route.host, route.path) not in taken]
    evolved = table.evolve(_make_config(changed))
    for path in [*paths, *(route.path for route in routes + changed), *(route.path.rstrip("/") for route in routes)]:
        for host in ("h", "g", "x"):
            for method in METHODS:
                assert table.match(host, path or "/", method) is _search(routes, host, path or "/", method)
                assert evolved.match(host, path or "/", method) is _search(changed, host, path or "/", method)
