# SPDX-License-Identifier: BSD-3-Clause
"""Instances as the platform lists them."""

from abc import ABC, abstractmethod
from enum import Enum

from lanedock.errors import ErrorCode, LanedockError
from lanedock.findings import FieldReader, Finding, FindingsError, read_text

__all__ = ["Instance", "InstanceState", "PlatformList", "parse_instances"]


class InstanceState(Enum):
    """What the platform reports of an instance."""

    LIVE = "live"
    LEAVING = "leaving"


# Largest port that TCP has (16 bits).
MAX_PORT = 65535
_STATES = {state.value: state for state in InstanceState}


class Instance:
    """An instance with a daemon in its slot.

    Parameters
    ----------
    name : str
        Id, unique in the mesh.
    zone : str
    service : str
        Empty for an entry instance.
    host : str
        IP number.
    port : int
        Where its daemon takes requests.
    state : InstanceState
    incarnation : int
        Grows when the instance is replaced under the same name.
    version : str
        Of its application's software; empty where it isn't listed.
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
    """The platform's list of live and leaving instances. It lags.

    Attributes
    ----------
    findings : list of Finding
        Of the entries that could not be read at the last read, and were left out.
    """

    def __init__(self):
        self.findings: list[Finding] = []

    @abstractmethod
    def read(self) -> list[Instance]:
        """Return the list as it is now.

        Raises
        ------
        LanedockError
            `ErrorCode.PLATFORM_UNREADABLE`
        """


def parse_instances(text: str, source: str, findings: list[Finding] | None = None) -> list[Instance]:
    """Parse a list: ``{"instances": [{"name", "zone", "service", "host", "port", "state"}]}``.

    Another writer may have written an entry: one that can't be read names no instance, and
    the others hold.

    Parameters
    ----------
    text : str
    source : str
        Named in findings.
    findings : list of Finding, optional
        Collects what is wrong with the entries that are left out.

    Raises
    ------
    LanedockError
        `ErrorCode.PLATFORM_UNREADABLE`: there is no list, or no entry of it can be read.
    """
    refused: list[Finding] = []
    try:
        top = FieldReader(source, read_text(text, source).value, "", [])
        entries = top.objects("instances", is_apart=True)
        top.finish()
    except (LanedockError, RecursionError) as exc:
        raise LanedockError(ErrorCode.PLATFORM_UNREADABLE, f"{source}: {exc!r}") from exc
    instances = []
    for entry in entries:
        instance = _parse_instance(entry)
        if entry.findings:
            refused += entry.findings
        else:
            instances.append(instance)
    if refused and not instances:
        raise LanedockError(ErrorCode.PLATFORM_UNREADABLE, str(FindingsError(refused)))
    if findings is not None:
        findings += refused
    return instances


def _parse_instance(item: FieldReader) -> Instance:
    return Instance(
        name=item.text("name"),
        zone=item.text("zone"),
        service=item.text("service", ""),
        host=item.text("host"),
        port=item.count("port", 1, MAX_PORT),
        state=item.word("state", _STATES, "live"),
        incarnation=item.count("incarnation", 0, default=1),
        version=item.text("version", ""),
    )
