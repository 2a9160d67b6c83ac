# SPDX-License-Identifier: BSD-3-Clause
"""Which kinds of requests are calls that other services make, by who sends them."""

__all__ = ["CallKinds"]

# Requests of a kind that have to come from elsewhere, and none from the own service,
# for it to be one that only other services make. Callers sit beside the upstreams of
# all services: where a tenth of them sits beside the own one's, one kind in 850 that
# callers make directly passes for a call.
_KNOWN = 64
# Kinds of requests that are kept; a bound on memory, not a tuning.
_MAX_KINDS = 1024


class CallKinds:
    """Recognizes kinds of requests that only other services' applications make. Pure.

    Callers send all kinds of requests from beside the upstreams of every service,
    the own one among them. A call that another service's application makes comes
    from beside that application only.
    """

    def __init__(self):
        self._foreign: dict[str, int] = {}

    def __repr__(self) -> str:
        return f"<CallKinds known={sum(count >= _KNOWN for count in self._foreign.values())}>"

    def note(self, kind: str, is_from_own_service: bool) -> bool:
        """Count a request.

        Parameters
        ----------
        kind : str
            Such as its route's name.
        is_from_own_service : bool
            Whether it started beside an upstream of the service that it is for.

        Returns
        -------
        bool
            Whether its kind is a call.
        """
        if is_from_own_service:
            # For good, as far as the memory reaches: the next ones count from below.
            self._foreign[kind] = -_KNOWN
            return False
        count = self._foreign.get(kind)
        if count is None:
            if len(self._foreign) >= _MAX_KINDS:
                self._foreign.clear()
            count = 0
        if count < _KNOWN:
            self._foreign[kind] = count + 1
        return count >= _KNOWN
