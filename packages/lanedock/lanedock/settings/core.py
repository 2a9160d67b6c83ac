# SPDX-License-Identifier: BSD-3-Clause
"""Data classes of a process's settings, with defaults filled in."""

__all__ = [
    "Address",
    "ControlSettings",
    "DaemonSettings",
    "EntrySettings",
    "Settings",
    "TlsSettings",
    "TraceSettings",
    "UpstreamSettings",
]


class Address:
    """An IP address and a port.

    Parameters
    ----------
    host : str
    port : int
    """

    __slots__ = ("host", "port")

    def __init__(self, host: str, port: int):
        self.host = host
        self.port = port

    @classmethod
    def parse(cls, text: str) -> "Address":
        """Parse an address of the form ``host:port`` or ``[host]:port``."""
        host, _, port = text.rpartition(":")
        return cls(host.strip("[]"), int(port))

    def __str__(self) -> str:
        host = f"[{self.host}]" if ":" in self.host else self.host
        return f"{host}:{self.port}"

    def __repr__(self) -> str:
        return f"<Address {self}>"

    def __eq__(self, other: object) -> bool:
        return isinstance(other, Address) and (self.host, self.port) == (other.host, other.port)

    def __hash__(self) -> int:
        return hash((self.host, self.port))


class _Section:
    """Base class of a settings section; requires a keyword argument for each name in `__slots__`."""

    __slots__ = ()

    def __init__(self, **values):
        for name in self.__slots__:
            setattr(self, name, values.pop(name))
        if values:
            raise TypeError(f"unknown settings {sorted(values)}")

    def __repr__(self) -> str:
        fields = " ".join(f"{name}={getattr(self, name)}" for name in self.__slots__)
        return f"<{type(self).__name__} {fields}>"


class TraceSettings(_Section):
    """Settings of traces: `file` (str) and `sample` (float, 0 to 1)."""

    __slots__ = ("file", "sample")


class TlsSettings(_Section):
    """Settings of mutual TLS: `certificate`, `key` and `authority` (paths of PEM files)."""

    __slots__ = ("authority", "certificate", "key")


class ControlSettings(_Section):
    """Settings of a control instance; names and units as in the schema."""

    __slots__ = (
        "admissions_per_second",
        "bootstrap",
        "canary_share",
        "canary_slack",
        "compact_bytes",
        "data_folder",
        "dead_after_ms",
        "election_ms",
        "listen",
        "operators",
        "platform_interval_ms",
        "platform_list",
        "relay_threshold",
        "relays_per_zone",
        "replace_after_ms",
        "replicas",
        "rollout",
        "seeds",
        "settle_ms",
        "stage_timeout_ms",
        "whole_files",
    )


class DaemonSettings(_Section):
    """Settings of a daemon's configuration source and retries; names and units as in the schema."""

    __slots__ = (
        "any_service",
        "control",
        "ready",
        "relay",
        "retry_share",
        "retry_slack",
        "retry_window_s",
        "staleness_limit_ms",
        "stall_limit_ms",
    )


class EntrySettings(_Section):
    """Settings of an entry daemon: `listen` (Address)."""

    __slots__ = ("listen",)


class UpstreamSettings(_Section):
    """Settings of an upstream's daemon; names and units as in the schema."""

    __slots__ = ("application", "egress", "heartbeat_s", "link_mbps", "listen", "load_port", "registration", "service")


class Settings(_Section):
    """All settings of a process; a missing section is None."""

    __slots__ = (
        "control",
        "daemon",
        "entry",
        "http_server",
        "log_level",
        "log_lines_per_second",
        "log_sample",
        "max_descriptors",
        "memory_mb",
        "mesh_port",
        "metrics",
        "name",
        "statsd",
        "stop_grace_s",
        "stop_timeout_ms",
        "tls",
        "trace",
        "transport",
        "upstream",
        "zone",
    )
