# SPDX-License-Identifier: BSD-3-Clause
"""Instances as the platform lists them."""

from abc import ABC, abstractmethod
from enum import Enum

from lanedock.errors import ErrorCode, LanedockError
from lanedock.findings import read_text

__all__ = ["Instance", "InstanceState", "PlatformList", "parse_instances"]


class InstanceState(Enum):
    """What the platform reports of an instance."""

    LIVE = "live"
    LEAVING = "leaving"


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
    """

    __slots__ = ("host", "incarnation", "name", "port", "service", "state", "zone")

    def __init__(self, name, zone, service, host, port, state=InstanceState.LIVE, incarnation=1):
        self.name = name
        self.zone = zone
        self.service = service
        self.host = host
        self.port = port
        self.state = state
        self.incarnation = incarnation

    def __repr__(self) -> str:
        return (
            f"<Instance {self.name} {self.zone} {self.service or 'entry'} {self.host}:{self.port} {self.state.value}>"
        )


class PlatformList(ABC):
    """The platform's list of live and leaving instances. It lags."""

    @abstractmethod
    def read(self) -> list[Instance]:
        """Return the list as it is now.

        Raises
        ------
        LanedockError
            `ErrorCode.PLATFORM_UNREADABLE`
        """


def parse_instances(text: str, source: str) -> list[Instance]:
    """Parse a list: ``{"instances": [{"name", "zone", "service", "host", "port", "state"}]}``.

    Raises
    ------
    LanedockError
        `ErrorCode.PLATFORM_UNREADABLE`; a list is taken whole or not at all.
    """
    try:
        value = read_text(text, source).value
        return [_parse_instance(item) for item in value["instances"]]
    except (LanedockError, KeyError, TypeError, ValueError) as exc:
        raise LanedockError(ErrorCode.PLATFORM_UNREADABLE, f"{source}: {exc!r}") from exc


def _parse_instance(item: dict) -> Instance:
    return Instance(
        name=str(item["name"]),
        zone=str(item["zone"]),
        service=str(item.get("service", "")),
        host=str(item["host"]),
        port=int(item["port"]),
        state=InstanceState(item.get("state", "live")),
        incarnation=int(item.get("incarnation", 1)),
    )
