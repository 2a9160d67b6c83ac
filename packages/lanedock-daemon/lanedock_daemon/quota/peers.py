# SPDX-License-Identifier: BSD-3-Clause
"""Numbers of control instances by zone, for the shares of zones in quotas. Does no I/O and reads no clock."""

from collections import Counter
from collections.abc import Callable, Iterable

from lanedock.consensus.core import replica_name
from lanedock.quota import SILENT_AFTER

__all__ = ["count_instances", "count_silent_instances"]


def count_instances(replicas: Iterable[str], me: str, zone: str, zones: dict[str, str]) -> dict[str, int]:
    """Return the number of control instances in each zone.

    Parameters
    ----------
    replicas : iterable of str
        Ids of the control instances, this one (`me`) included or not.
    me, zone : str
        Id and zone of this instance.
    zones : dict of str to str
        Known zones, by instance name. An instance without a known zone counts as a zone of its own:
        if it were left out, an instance that restarts while it is cut off would take its zone's
        share to be the whole quota.
    """
    counts = Counter(_zone_of(replica, zones) for replica in set(replicas) if replica != me)
    counts[zone] += 1
    return dict(counts)


def count_silent_instances(
    replicas: Iterable[str], me: str, zones: dict[str, str], unreached_time: Callable[[str], float]
) -> dict[str, int]:
    """Return the number of silent control instances in each zone, as the leader.

    Parameters
    ----------
    replicas, me, zones
        See `count_instances`.
    unreached_time : callable
        Takes an id; returns the seconds since the leader sent what this instance answered last.
    """
    others = set(replicas) - {me}
    return dict(Counter(_zone_of(replica, zones) for replica in others if unreached_time(replica) >= SILENT_AFTER))


def _zone_of(replica: str, zones: dict[str, str]) -> str:
    name = replica_name(replica)
    return zones.get(name) or f"zone of {name}"
