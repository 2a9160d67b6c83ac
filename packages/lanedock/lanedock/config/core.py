# SPDX-License-Identifier: BSD-3-Clause
"""The model of a mesh configuration: plain data, complete and checked."""

__all__ = ["MeshConfig", "Route", "Service", "TrafficClass", "Version"]

DEFAULT_SLOTS = 12
DEFAULT_CONNECTIONS = 130
DEFAULT_QUEUE = 24
DEFAULT_DEADLINE_MS = 5000
DEFAULT_PRIORITY = 5
DEFAULT_ENDPOINT_WINDOW_MS = 50


class Version:
    """A version's identity: its number and the digest of its content.

    Parameters
    ----------
    number : int
        0 for "none yet".
    digest : bytes
        SHA-256 of the canonical content, 32 bytes; empty for "none yet".
    """

    __slots__ = ("digest", "number")

    def __init__(self, number: int = 0, digest: bytes = b""):
        self.number = number
        self.digest = digest

    def __eq__(self, other: object) -> bool:
        if not isinstance(other, Version):
            return NotImplemented
        return self.number == other.number and self.digest == other.digest

    def __hash__(self) -> int:
        return hash((self.number, self.digest))

    def __repr__(self) -> str:
        return f"<Version {self.number} {self.digest.hex()[:8] or '-'}>"


class TrafficClass:
    """A kind of traffic with slots of its own.

    Parameters
    ----------
    name : str
    share : float
        Part of an upstream's slots kept for the class, 0 to 1.
    priority : int
        0 is served first when requests queue.
    """

    __slots__ = ("name", "priority", "share")

    def __init__(self, name: str, share: float, priority: int = DEFAULT_PRIORITY):
        self.name = name
        self.share = share
        self.priority = priority

    def __repr__(self) -> str:
        return f"<TrafficClass {self.name} share={self.share} priority={self.priority}>"


class Service:
    """A service: where it may run and what one upstream of it bears.

    Parameters
    ----------
    name : str
    zones : tuple of str
    slots : int
        Requests that one upstream works on at once.
    connections : int
        Connections that one upstream accepts.
    queue : int
        Requests that may wait for a slot of one upstream.
    calls : tuple of str
        Services that it may call.
    """

    __slots__ = ("calls", "connections", "name", "queue", "slots", "zones")

    def __init__(
        self, name, zones, slots=DEFAULT_SLOTS, connections=DEFAULT_CONNECTIONS, queue=DEFAULT_QUEUE, calls=()
    ):
        self.name = name
        self.zones = tuple(zones)
        self.slots = slots
        self.connections = connections
        self.queue = queue
        self.calls = tuple(calls)

    def __repr__(self) -> str:
        return f"<Service {self.name} zones={','.join(self.zones)} slots={self.slots}>"


class Route:
    """A rule that leads requests to a service.

    Parameters
    ----------
    name : str
    host : str
        ``*`` for any.
    path : str
        Prefix, matched by whole segments.
    methods : tuple of str
        Empty for any.
    service, traffic_class : str
    repeatable : bool
        Whether a request may run more than once.
    deadline_ms : int
        Longest time a request may take, in milliseconds.
    """

    __slots__ = ("deadline_ms", "host", "methods", "name", "path", "repeatable", "service", "traffic_class")

    def __init__(
        self,
        name,
        path,
        service,
        traffic_class,
        host="*",
        methods=(),
        repeatable=False,
        deadline_ms=DEFAULT_DEADLINE_MS,
    ):
        self.name = name
        self.host = host
        self.path = path
        self.methods = tuple(methods)
        self.service = service
        self.traffic_class = traffic_class
        self.repeatable = repeatable
        self.deadline_ms = deadline_ms

    def __repr__(self) -> str:
        return f"<Route {self.name} {self.host}{self.path} -> {self.service}>"


class MeshConfig:
    """One complete version of the configuration.

    Parameters
    ----------
    mesh : str
    version : Version
    zones : tuple of str
    traffic_classes, services : dict
        `TrafficClass` and `Service` objects by name.
    routes : tuple of Route
    endpoint_window_ms : int
        How long endpoint changes are gathered, in milliseconds.
    """

    __slots__ = ("endpoint_window_ms", "mesh", "routes", "services", "traffic_classes", "version", "zones")

    def __init__(self, mesh, version, zones, traffic_classes, services, routes, endpoint_window_ms):
        self.mesh = mesh
        self.version = version
        self.zones = tuple(zones)
        self.traffic_classes = traffic_classes
        self.services = services
        self.routes = tuple(routes)
        self.endpoint_window_ms = endpoint_window_ms

    def __repr__(self) -> str:
        return f"<MeshConfig {self.mesh} {self.version} services={len(self.services)} routes={len(self.routes)}>"
