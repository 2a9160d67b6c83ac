# SPDX-License-Identifier: BSD-3-Clause
"""Data classes of a validated mesh configuration."""

from itertools import chain
from sys import intern

from lanedock.config.customers import CustomerTable

__all__ = ["CallerLimits", "MeshConfig", "Route", "Service", "Split", "TrafficClass", "Version"]

DEFAULT_SLOTS = 12
DEFAULT_CONNECTIONS = 130
DEFAULT_QUEUE = 24
DEFAULT_DEADLINE_MS = 5000
DEFAULT_PRIORITY = 5
DEFAULT_ENDPOINT_WINDOW_MS = 50
DEFAULT_ATTEMPTS = 3
DEFAULT_HEADER_BYTES = 32 * 1024
DEFAULT_BODY_BYTES = 1 << 40
DEFAULT_HEADER_TIMEOUT_MS = 10_000
DEFAULT_IDLE_TIMEOUT_MS = 300_000


class Version:
    """The identity of a version: its number and the digest of its content.

    Parameters
    ----------
    number : int
        Version number; 0 if there is no version yet.
    digest : bytes
        SHA-256 of the canonical content, 32 bytes; empty if there is no version yet.
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
    """A class of traffic with a guaranteed share of slots.

    Parameters
    ----------
    name : str
    share : float
        Fraction of an upstream's slots that is reserved for the class, 0 to 1.
    priority : int
        Priority in the queue; 0 is served first.
    """

    __slots__ = ("name", "priority", "share")

    def __init__(self, name: str, share: float, priority: int = DEFAULT_PRIORITY):
        self.name = name
        self.share = share
        self.priority = priority

    def __repr__(self) -> str:
        return f"<TrafficClass {self.name} share={self.share} priority={self.priority}>"


class Service:
    """A service, its zones and the limits of each of its upstreams.

    Parameters
    ----------
    name : str
    zones : tuple of str
        Availability zones in which the service may run.
    slots : int
        Requests that one upstream runs concurrently.
    connections : int
        Connections that one upstream accepts.
    queue : int
        Requests that may wait for a slot at one upstream.
    calls : tuple of str
        Services that this service may call.
    health_path : str
        Path of the application's health check; empty if it has none.
    """

    __slots__ = ("calls", "connections", "health_path", "name", "queue", "slots", "zones")

    def __init__(
        self,
        name,
        zones,
        slots=DEFAULT_SLOTS,
        connections=DEFAULT_CONNECTIONS,
        queue=DEFAULT_QUEUE,
        calls=(),
        health_path="",
    ):
        self.name = name
        self.zones = tuple(zones)
        self.slots = slots
        self.connections = connections
        self.queue = queue
        self.calls = tuple(calls)
        self.health_path = health_path

    def __repr__(self) -> str:
        return f"<Service {self.name} zones={','.join(self.zones)} slots={self.slots}>"


class Split:
    """A service that gets a weighted part of a route's requests.

    Parameters
    ----------
    service : str
    weight : float
        Weight relative to the sum of all weights of the route.
    """

    __slots__ = ("service", "weight")

    def __init__(self, service: str, weight: float):
        self.service = service
        self.weight = weight

    def __repr__(self) -> str:
        return f"<Split {self.service} {self.weight:g}>"


class CallerLimits:
    """Size limits and timeouts for callers' requests.

    Parameters
    ----------
    header_bytes, body_bytes : int
        Maximum size of a request's head and body, in bytes.
    header_timeout_ms : float
        Maximum time to receive a head once it has begun, in milliseconds.
    idle_timeout_ms : float
        Time for which an idle connection is kept open, in milliseconds.
    """

    __slots__ = ("body_bytes", "header_bytes", "header_timeout_ms", "idle_timeout_ms")

    def __init__(
        self,
        header_bytes=DEFAULT_HEADER_BYTES,
        body_bytes=DEFAULT_BODY_BYTES,
        header_timeout_ms=DEFAULT_HEADER_TIMEOUT_MS,
        idle_timeout_ms=DEFAULT_IDLE_TIMEOUT_MS,
    ):
        self.header_bytes = header_bytes
        self.body_bytes = body_bytes
        self.header_timeout_ms = header_timeout_ms
        self.idle_timeout_ms = idle_timeout_ms

    def __repr__(self) -> str:
        return f"<CallerLimits header={self.header_bytes} body={self.body_bytes}>"


class Route:
    """A rule that maps matching requests to a service.

    Parameters
    ----------
    name : str
    host : str
        Host to match, stored in lower case; ``*`` matches any host.
    path : str
        Path prefix; see `lanedock.config.matches_prefix`.
    methods : tuple of str
        HTTP methods to match; empty matches any method.
    service : str
        The target service; with a split, the service of its first part.
    traffic_class : str
    repeatable : bool
        Whether a request may run more than once.
    deadline_ms : float
        Maximum duration of a request, in milliseconds.
    target_ms : float
        Desired response time, in milliseconds; `deadline_ms` by default.
    max_attempts : int
        Maximum number of upstreams to which one request is sent.
    upload : bool
        Whether requests have large bodies.
    download : bool
        Whether answers have large bodies.
    split : tuple of Split
        Weighted services; empty if one service gets all requests.
    public : bool
        Whether requests need no key of a customer.
    """

    __slots__ = (
        "deadline_ms",
        "download",
        "host",
        "max_attempts",
        "methods",
        "name",
        "path",
        "public",
        "repeatable",
        "service",
        "split",
        "target_ms",
        "traffic_class",
        "upload",
    )

    def __init__(
        self,
        name,
        path,
        service="",
        traffic_class="",
        host="*",
        methods=(),
        repeatable=False,
        deadline_ms=DEFAULT_DEADLINE_MS,
        target_ms=None,
        max_attempts=DEFAULT_ATTEMPTS,
        upload=False,
        download=False,
        split=(),
        public=False,
    ):
        self.name = name
        # Interned to save memory: many routes share these strings.
        self.host = intern(host.lower())
        self.path = path
        self.methods = tuple(methods)
        self.split = tuple(Split(**part) for part in split)
        self.service = intern(self.split[0].service if self.split else service)
        self.traffic_class = intern(traffic_class)
        self.repeatable = repeatable
        self.deadline_ms = deadline_ms
        self.target_ms = deadline_ms if target_ms is None else target_ms
        self.max_attempts = max_attempts
        self.upload = upload
        self.download = download
        self.public = public

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
    route_groups : dict of str to tuple of Route
        Routes of each content group; see `lanedock.config.tree`. Versions that
        have an identical group share its routes.
    endpoint_window_ms : int
        Time for which endpoint changes are batched before they are sent, in milliseconds.
    limits : CallerLimits, optional
    customers : CustomerTable, optional
        None if the file has no list of customers. Empty also on a daemon that serves no callers
        and therefore holds no customers.

    Attributes
    ----------
    routes : tuple of Route
        The routes of all groups.
    """

    __slots__ = (
        "customers",
        "endpoint_window_ms",
        "limits",
        "mesh",
        "route_groups",
        "routes",
        "services",
        "traffic_classes",
        "version",
        "zones",
    )

    def __init__(
        self,
        mesh,
        version,
        zones,
        traffic_classes,
        services,
        route_groups,
        endpoint_window_ms,
        limits=None,
        customers: CustomerTable | None = None,
    ):
        self.mesh = mesh
        self.version = version
        self.zones = tuple(zones)
        self.traffic_classes = traffic_classes
        self.services = services
        self.route_groups = route_groups
        self.routes = tuple(chain.from_iterable(route_groups.values()))
        self.endpoint_window_ms = endpoint_window_ms
        self.limits = limits or CallerLimits()
        self.customers = customers

    def with_groups(
        self, version: Version, route_groups: dict[str, tuple[Route, ...]], customers: CustomerTable | None
    ) -> "MeshConfig":
        """Return a copy with another version, other routes and other customers."""
        return MeshConfig(
            self.mesh,
            version,
            self.zones,
            self.traffic_classes,
            self.services,
            route_groups,
            self.endpoint_window_ms,
            self.limits,
            customers,
        )

    def __repr__(self) -> str:
        return f"<MeshConfig {self.mesh} {self.version} services={len(self.services)} routes={len(self.routes)}>"
