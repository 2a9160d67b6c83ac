# SPDX-License-Identifier: BSD-3-Clause
"""The directory of endpoints: what is sent to daemons, and when.

The platform's list lags, so it alone is not believed: once any source (the
list or the instance's own daemon) has reported that an instance leaves, it leaves
until it is replaced or its daemon is started anew.
"""

from lanedock.membership.changes import EndpointChanges
from lanedock.membership.core import Instance, InstanceState
from lanedock.wire import messages

__all__ = ["Directory"]


class Directory(EndpointChanges):
    """Endpoints by instance, with their changes gathered in a window.

    Parameters
    ----------
    window : float
        Seconds that changes are gathered; an instance that leaves is reported at once.
    """

    def __init__(self, window: float):
        super().__init__(window)
        self._drained: dict[str, int] = {}
        # A list that lags may show a leaving instance as live again.
        self._listed_leaving: dict[str, int] = {}

    def take_list(self, instances: list[Instance], now: float) -> None:
        """Accept the platform's list."""
        listed = set()
        for instance in instances:
            listed.add(instance.name)
            self._offer(self._make(instance), now)
        for name in list(self._endpoints):
            if name not in listed:
                self._change(name, None, now)

    def drain(self, name: str, incarnation: int, now: float) -> bool:
        """Note that an instance leaves.

        Parameters
        ----------
        name : str
        incarnation : int
            Of its daemon.
        now : float
            Monotonic, seconds.

        Returns
        -------
        bool
            Whether that is news.
        """
        if self._drained.get(name, -1) >= incarnation:
            return False
        self._drained[name] = incarnation
        current = self._pending.get(name) or self._endpoints.get(name)
        if current is not None and not current.leaving:
            leaving = messages.Endpoint()
            leaving.CopyFrom(current)
            leaving.leaving = True
            self._change(name, leaving, now)
        return True

    def revive(self, name: str, incarnation: int) -> None:
        """Note that an instance's daemon was started anew and takes work."""
        if self._drained.get(name, incarnation) < incarnation:
            del self._drained[name]

    def _make(self, instance: Instance) -> messages.Endpoint:
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

    def _offer(self, endpoint: messages.Endpoint, now: float) -> None:
        if endpoint.leaving and endpoint.instance not in self._drained:
            self._listed_leaving[endpoint.instance] = endpoint.incarnation
        current = self._pending.get(endpoint.instance) or self._endpoints.get(endpoint.instance)
        if current is not None:
            if endpoint.incarnation < current.incarnation:
                return
            if self._listed_leaving.get(endpoint.instance) == endpoint.incarnation:
                endpoint.leaving = True
        if current != endpoint:
            self._change(endpoint.instance, endpoint, now)
