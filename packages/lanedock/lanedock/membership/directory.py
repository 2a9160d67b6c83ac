# SPDX-License-Identifier: BSD-3-Clause
"""Directory of endpoints, built from the platform's list and from drains that daemons report.

The platform's list may be out of date. Once either source (the list or the instance's own
daemon) has reported that an instance leaves, the instance counts as leaving until it is
replaced or its daemon is restarted.
"""

from lanedock.membership.changes import EndpointChanges
from lanedock.membership.core import Instance, InstanceState
from lanedock.wire import messages

__all__ = ["Directory"]


class Directory(EndpointChanges):
    """Endpoints of the instances on the platform's list.

    Parameters
    ----------
    window : float
        Seconds for which changes are batched. An instance that leaves or is removed is sent
        immediately.
    """

    def __init__(self, window: float):
        super().__init__(window)
        self._drained: dict[str, int] = {}
        # Incarnations that the list has shown as leaving: an outdated list may show them as live again.
        self._listed_leaving: dict[str, int] = {}

    def apply_instance_list(self, instances: list[Instance], now: float) -> None:
        """Update the endpoints from the platform's list.

        Parameters
        ----------
        instances : list of Instance
        now : float
            Monotonic time, in seconds.
        """
        listed = set()
        for instance in instances:
            listed.add(instance.name)
            self._update_endpoint(self._make_endpoint(instance), now)
        for name in list(self._endpoints):
            if name not in listed:
                self._queue_change(name, None, now)

    def drain(self, name: str, incarnation: int, now: float) -> bool:
        """Record that an instance leaves, as its daemon reports.

        Parameters
        ----------
        name : str
        incarnation : int
            Incarnation of the instance's daemon.
        now : float
            Monotonic time, in seconds.

        Returns
        -------
        bool
            False if a drain of this or a later incarnation was already recorded.
        """
        if self._drained.get(name, -1) >= incarnation:
            return False
        self._drained[name] = incarnation
        current = self._pending.get(name) or self._endpoints.get(name)
        if current is not None and not current.leaving:
            leaving = messages.Endpoint()
            leaving.CopyFrom(current)
            leaving.leaving = True
            self._queue_change(name, leaving, now)
        return True

    def clear_drain(self, name: str, incarnation: int) -> None:
        """Clear a recorded drain when a later incarnation of the instance's daemon takes requests."""
        if self._drained.get(name, incarnation) < incarnation:
            del self._drained[name]

    def _make_endpoint(self, instance: Instance) -> messages.Endpoint:
        drained = instance.name in self._drained
        return messages.Endpoint(
            instance=instance.name,
            service=instance.service,
            zone=instance.zone,
            host=instance.host,
            port=instance.port,
            leaving=drained or instance.state is InstanceState.LEAVING,
            incarnation=instance.incarnation,
            version=instance.version,
        )

    def _update_endpoint(self, endpoint: messages.Endpoint, now: float) -> None:
        if endpoint.leaving and endpoint.instance not in self._drained:
            self._listed_leaving[endpoint.instance] = endpoint.incarnation
        current = self._pending.get(endpoint.instance) or self._endpoints.get(endpoint.instance)
        if current is not None:
            if endpoint.incarnation < current.incarnation:
                return
            if self._listed_leaving.get(endpoint.instance) == endpoint.incarnation:
                endpoint.leaving = True
        if current != endpoint:
            self._queue_change(endpoint.instance, endpoint, now)
