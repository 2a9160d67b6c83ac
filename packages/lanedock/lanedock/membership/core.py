# SPDX-License-Identifier: BSD-3-Clause
"""Instances on the platform's list."""

from abc import ABC, abstractmethod
from enum import Enum

from lanedock.errors import ErrorCode, LanedockError
from lanedock.findings import FieldReader, Finding, FindingsError, read_text

__all__ = ["Instance", "InstanceState", "PlatformList", "parse_instances"]


class InstanceState(Enum):
    """State of an instance on the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


# Largest TCP port number (16 bits).
MAX_PORT = 65535
_STATES_BY_NAME = {state.value: state for state in InstanceState}


class Instance:
    """An instance that runs a daemon.

    Parameters
    ----------
    name : str
        Id, unique in the mesh.
    zone : str
        Availability zone.
    service : str
        Service that the instance belongs to; empty for an entry instance.
    host : str
        IP address.
    port : int
        Port on which its daemon accepts requests.
    state : InstanceState
    incarnation : int
        Increases when the instance is replaced under the same name.
    version : str
        Version of its application's software; empty if the list does not state it.
    """

    __slots__ = ("host", "incarnation", "name", "port", "service", "state", "version", "zone")

    def __init__(self, name, zone, service, host, port, state=InstanceState.LIVE, incarnation=1, version=""):
        self.name = name
        self.zone = zone
        self.service = service
        self.host = host
        self.port = port
        self.state = state
        self.incarnation = incarnation
        self.version = version

    def __repr__(self) -> str:
        return (
            f"<Instance {self.name} {self.zone} {self.service or 'entry'} {self.host}:{self.port} {self.state.value}>"
        )


class PlatformList(ABC):
    """The platform's list of live and leaving instances, which may be out of date.

    Attributes
    ----------
    findings : list of Finding
        Errors in the entries that the last read skipped because they were invalid.
    """

    def __init__(self):
        self.findings: list[Finding] = []

    @abstractmethod
    def read(self) -> list[Instance]:
        """Read and return the current list.

        Raises
        ------
        LanedockError
            `ErrorCode.PLATFORM_UNREADABLE`: the list cannot be read or has no valid entry.
        """


def parse_instances(text: str, source: str, findings: list[Finding] | None = None) -> list[Instance]:
    """Parse a list: ``{"instances": [{"name", "zone", "service", "host", "port", "state"}]}``.

    Different writers may contribute entries to one list, so an invalid entry is skipped and
    the others are used.

    Parameters
    ----------
    text : str
        JSON text.
    source : str
        Path or URL of the list, for findings and error messages.
    findings : list of Finding, optional
        Receives the errors in the skipped entries.

    Returns
    -------
    list of Instance

    Raises
    ------
    LanedockError
        `ErrorCode.PLATFORM_UNREADABLE`: the text is not a list, or all its entries are invalid.
    """
    rejected: list[Finding] = []
    try:
        document = FieldReader(source, read_text(text, source).value, "", [])
        entries = document.objects("instances", has_own_findings=True)
        document.raise_findings()
    except (LanedockError, RecursionError) as exc:
        raise LanedockError(ErrorCode.PLATFORM_UNREADABLE, f"{source}: {exc!r}") from exc
    instances = []
    for entry in entries:
        instance = _parse_instance(entry)
        if entry.findings:
            rejected += entry.findings
        else:
            instances.append(instance)
    if rejected and not instances:
        raise LanedockError(ErrorCode.PLATFORM_UNREADABLE, str(FindingsError(rejected)))
    if findings is not None:
        findings += rejected
    return instances


def _parse_instance(item: FieldReader) -> Instance:
    return Instance(
        name=item.text("name"),
        zone=item.text("zone"),
        service=item.text("service", ""),
        host=item.text("host"),
        port=item.count("port", 1, MAX_PORT),
        state=item.choice("state", _STATES_BY_NAME, "live"),
        incarnation=item.count("incarnation", 0, default=1),
        version=item.text("version", ""),
    )
