# SPDX-License-Identifier: BSD-3-Clause
"""Endpoints by instance, with changes batched before they are sent to daemons."""

from lanedock.wire import messages

__all__ = ["EndpointChanges"]


class EndpointChanges:
    """Endpoints that daemons have been sent, and the changes still to send.

    Parameters
    ----------
    window : float
        Seconds for which changes are batched. An instance that leaves or is removed is sent
        immediately.

    Attributes
    ----------
    sequence : int
        Sequence number of the last update.
    """

    def __init__(self, window: float):
        self.window = window
        self.sequence = 0
        self._endpoints: dict[str, messages.Endpoint] = {}
        self._pending: dict[str, messages.Endpoint | None] = {}
        self._flush_at: float | None = None

    def __repr__(self) -> str:
        return f"<{type(self).__name__} endpoints={len(self._endpoints)} pending={len(self._pending)}>"

    def endpoints(self) -> list[messages.Endpoint]:
        """Return all endpoints, without pending changes."""
        return list(self._endpoints.values())

    def _latest(self, name: str) -> messages.Endpoint | None:
        """Return an endpoint including pending changes, or None if it does not exist."""
        if name in self._pending:
            return self._pending[name]
        return self._endpoints.get(name)

    def _queue_change(self, name: str, endpoint: messages.Endpoint | None, now: float) -> None:
        self._pending[name] = endpoint
        flush_at = now if endpoint is None or endpoint.leaving else now + self.window
        self._flush_at = flush_at if self._flush_at is None else min(self._flush_at, flush_at)

    def take_update(self, now: float) -> messages.EndpointUpdate | None:
        """Return the batched changes when they are due, or None.

        Parameters
        ----------
        now : float
            Monotonic time, in seconds.
        """
        if self._flush_at is None or now < self._flush_at:
            return None
        self.sequence += 1
        update = messages.EndpointUpdate(sequence=self.sequence)
        for name, endpoint in self._pending.items():
            if endpoint is None:
                self._endpoints.pop(name, None)
                update.gone.append(name)
            else:
                self._endpoints[name] = endpoint
                update.changed.append(endpoint)
        self._pending = {}
        self._flush_at = None
        return update

    def whole_update(self) -> messages.EndpointUpdate:
        """Return an update with all endpoints, for a daemon that has just connected."""
        update = messages.EndpointUpdate(sequence=self.sequence, whole=True)
        update.changed.extend(self._endpoints.values())
        return update
