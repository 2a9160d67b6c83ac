# SPDX-License-Identifier: BSD-3-Clause
"""The headers with which a request is passed on to the application."""

from collections.abc import Container

from lanedock.membership import UpstreamRegistration
from lanedock.telemetry import Span
from lanedock_daemon.agent.view import LocalView
from lanedock_daemon.path.http.headers import (
    ATTEMPT_HEADER,
    CALLER_HEADER,
    CUSTOMER_HEADER,
    DEADLINE_HEADER,
    TRACE_HEADER,
    UPSTREAM_HEADER,
    decode_name,
    public_headers,
)
from lanedock_daemon.path.http.messages import Request
from lanedock_daemon.path.shared.dialect import Dialect

__all__ = ["RequestHeaders"]

# By how much a daemon's deadline may lie after the caller's: daemons round up, and the application's own answer at its
# deadline has to come in time.
DEADLINE_ROUNDING_MS = 1
# Headers that the upstream's side sets itself and therefore doesn't pass on.
_REPLACED_HEADERS = (ATTEMPT_HEADER, DEADLINE_HEADER, TRACE_HEADER)


class RequestHeaders:
    """Makes the headers of requests to the application.

    Parameters
    ----------
    dialect : Dialect
    view : LocalView
    registration : UpstreamRegistration
    """

    def __init__(self, dialect: Dialect, view: LocalView, registration: UpstreamRegistration):
        self._dialect = dialect
        self._view = view
        self._registration = registration
        self._customer_request_names = frozenset((*_REPLACED_HEADERS, *dialect.key_names, *dialect.customer_names))

    def __repr__(self) -> str:
        return f"<RequestHeaders {self._registration!r}>"

    def make(self, request: Request, remaining: float, span: Span) -> list[tuple[str, str]]:
        """Make the headers of a request that has `remaining` seconds left."""
        customer = decode_name(request.header(CUSTOMER_HEADER))
        headers = public_headers(request.headers, self._list_removed_names(customer))
        left_ms = max(1, int(remaining * 1000) - DEADLINE_ROUNDING_MS)
        attempt = request.header(ATTEMPT_HEADER)
        headers += self._dialect.request_headers(
            left_ms,
            request.header(UPSTREAM_HEADER) or self._registration.upstream,
            decode_name(request.header(CALLER_HEADER)),
            int(attempt) if attempt.isdigit() else 1,
            customer,
        )
        if span.traceparent:
            headers.append((TRACE_HEADER, span.traceparent))
        return headers

    def _list_removed_names(self, customer: str) -> Container[str]:
        """Return the request headers that aren't passed on.

        The caller's daemon has removed keys and names of customers already, unless its version has
        no customers yet. Then the application must not take a name that a caller sent for a customer's.
        """
        binding = self._view.bind()
        if not customer and (binding is None or binding.config.customers is None):
            return _REPLACED_HEADERS
        return self._customer_request_names
