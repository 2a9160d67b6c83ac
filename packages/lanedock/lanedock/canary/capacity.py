# SPDX-License-Identifier: BSD-3-Clause
"""Slots of a service's stable and canary upstreams."""

from lanedock.canary.pools import Pool, classify
from lanedock.wire import messages

__all__ = ["CanaryCapacity"]


class CanaryCapacity:
    """Slots of a service's stable and canary upstreams, and the versions that the canary displaces.

    Parameters
    ----------
    rule : CanaryRule
    endpoints : list of Endpoint
        Endpoints of all services.
    daemons : dict of str to DaemonState
        States of the connected daemons, by instance.

    Attributes
    ----------
    canary, stable : int
        Slots of the upstreams that take work.
    versions : set of str
        Stable versions.
    is_busy : bool
        Whether a stable upstream has requests in progress.
    """

    __slots__ = ("canary", "is_busy", "stable", "versions")

    def __init__(
        self,
        rule: messages.CanaryRule,
        endpoints: list[messages.Endpoint],
        daemons: dict[str, messages.DaemonState],
    ):
        self.canary = self.stable = 0
        self.versions: set[str] = set()
        self.is_busy = False
        for endpoint in endpoints:
            if endpoint.service != rule.service:
                continue
            pool = classify(rule, endpoint.version)
            if pool is Pool.STABLE:
                self.versions.add(endpoint.version)
                state = daemons.get(endpoint.instance)
                self.is_busy = self.is_busy or (state is not None and state.is_displaced_busy)
            if endpoint.leaving:
                continue
            slots = endpoint.slots or 1
            self.canary += slots if pool is Pool.CANARY else 0
            self.stable += slots if pool is Pool.STABLE else 0

    def __repr__(self) -> str:
        return f"<CanaryCapacity canary={self.canary} stable={self.stable}>"
