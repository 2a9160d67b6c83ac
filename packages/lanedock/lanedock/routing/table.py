# SPDX-License-Identifier: BSD-3-Clause
"""Matching of requests to routes."""

from lanedock.config import MeshConfig, Route

__all__ = ["RouteTable"]

ANY = "*"


class RouteTable:
    """The routes of one version, indexed for matching.

    An exact host goes before any host, then the longest path, then a named
    method before any; the order in the file does not matter.

    Parameters
    ----------
    config : MeshConfig
    """

    def __init__(self, config: MeshConfig):
        self._hosts: dict[str, dict[str, dict[str, Route]]] = {}
        self._size = len(config.routes)
        for route in config.routes:
            methods = self._hosts.setdefault(route.host, {}).setdefault(route.path.rstrip("/"), {})
            for method in route.methods or (ANY,):
                methods[method] = route

    def __repr__(self) -> str:
        return f"<RouteTable routes={self._size} hosts={len(self._hosts)}>"

    def match(self, host: str, path: str, method: str) -> Route | None:
        """Return the route of a request, or None.

        Parameters
        ----------
        host : str
            In lower case, without a port.
        path : str
            Without a query.
        method : str
        """
        for name in (host, ANY):
            paths = self._hosts.get(name)
            if paths is None:
                continue
            route = _match_path(paths, path, method)
            if route is not None:
                return route
        return None


def _match_path(paths: dict, path: str, method: str) -> Route | None:
    prefix = path.rstrip("/")
    while True:
        methods = paths.get(prefix)
        if methods is not None:
            route = methods.get(method) or methods.get(ANY)
            if route is not None:
                return route
        if not prefix:
            return None
        prefix = prefix.rpartition("/")[0]
