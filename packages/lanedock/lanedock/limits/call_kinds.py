# SPDX-License-Identifier: BSD-3-Clause
"""Recognition of requests that other services' applications make, by where they start."""

__all__ = ["CallKinds"]

# Requests of a kind that have to start beside other services, with none beside the own
# service, before the kind counts as a call. Callers run beside the upstreams of all services.
# If a tenth of them run beside the own service's upstreams, one in 850 kinds that they send
# directly is wrongly taken for a call.
_MIN_REQUESTS = 64
# Kinds of requests that are kept, to bound the memory used.
_MAX_KINDS = 1024


class CallKinds:
    """Recognizes the kinds of requests that only other services' applications make.

    Does no I/O and reads no clock. Callers send all kinds of requests from beside the
    upstreams of every service, including the own service. A call that another service's
    application makes starts only beside that application.
    """

    def __init__(self):
        self._foreign_counts: dict[str, int] = {}

    def __repr__(self) -> str:
        return f"<CallKinds known={sum(count >= _MIN_REQUESTS for count in self._foreign_counts.values())}>"

    def is_call(self, kind: str) -> bool:
        """Return whether requests of a kind are calls."""
        return self._foreign_counts.get(kind, 0) >= _MIN_REQUESTS

    def note(self, kind: str, is_from_own_service: bool) -> bool:
        """Count a request.

        Parameters
        ----------
        kind : str
            Kind of the request, such as its route's name.
        is_from_own_service : bool
            Whether the request started beside an upstream of the service that receives it.

        Returns
        -------
        bool
            Whether requests of this kind are calls.
        """
        if is_from_own_service:
            # The count restarts below 0, so the kind needs twice as many requests from other services
            # as a new kind to count as a call.
            self._foreign_counts[kind] = -_MIN_REQUESTS
            return False
        count = self._foreign_counts.get(kind)
        if count is None:
            if len(self._foreign_counts) >= _MAX_KINDS:
                self._foreign_counts.clear()
            count = 0
        if count < _MIN_REQUESTS:
            self._foreign_counts[kind] = count + 1
        return count >= _MIN_REQUESTS
