# SPDX-License-Identifier: BSD-3-Clause
"""Endpoints by instance, with changes gathered before they are sent to daemons."""

from lanedock.wire import messages

__all__ = ["EndpointChanges"]


class EndpointChanges:
    """Endpoints as daemons know them, and the changes that they are to learn.

    Parameters
    ----------
    window : float
        Seconds that changes are gathered; an instance that leaves is sent at once.

    Attributes
    ----------
    sequence : int
        Number of the last update.
    """

    def __init__(self, window: float):
        self.window = window
        self.sequence = 0
        self._endpoints: dict[str, messages.Endpoint] = {}
        self._pending: dict[str, messages.Endpoint | None] = {}
        self._due_at: float | None = None

    def __repr__(self) -> str:
        return f"<{type(self).__name__} endpoints={len(self._endpoints)} pending={len(self._pending)}>"

    def endpoints(self) -> list[messages.Endpoint]:
        """Return all endpoints as last sent."""
        return list(self._endpoints.values())

    def _current(self, name: str) -> messages.Endpoint | None:
        """Return an endpoint as it stands, sent or not."""
        if name in self._pending:
            return self._pending[name]
        return self._endpoints.get(name)

    def _change(self, name: str, endpoint: messages.Endpoint | None, now: float) -> None:
        self._pending[name] = endpoint
        due_at = now if endpoint is None or endpoint.leaving else now + self.window
        self._due_at = due_at if self._due_at is None else min(self._due_at, due_at)

    def take_update(self, now: float) -> messages.EndpointUpdate | None:
        """Return the gathered changes once their window is over."""
        if self._due_at is None or now < self._due_at:
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
        self._due_at = None
        return update

    def whole_update(self) -> messages.EndpointUpdate:
        """Return all endpoints, for a daemon that has just connected."""
        update = messages.EndpointUpdate(sequence=self.sequence, whole=True)
        update.changed.extend(self._endpoints.values())
        return update
