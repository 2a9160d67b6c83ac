# SPDX-License-Identifier: BSD-3-Clause
"""Identification of the customer who sends a request."""

from lanedock.config import Customer, CustomerTable, Route
from lanedock_daemon.path.http.headers import CUSTOMER_HEADER, CUSTOMER_PRIORITY_HEADER, encode_name
from lanedock_daemon.path.shared.dialect import Dialect, RequestFacts

__all__ = ["Identity", "identify"]


class Identity:
    """Who a request is from.

    Parameters
    ----------
    customer : Customer or None
        None if the version has no customers, the route is public or the key is unknown.
    is_refused : bool
        Whether the request needs a key and has none that is known.
    fingerprint_customer : str
        Customer for the request's fingerprint: the name, or the caller's credentials if the
        version has no customers.
    """

    __slots__ = ("customer", "fingerprint_customer", "is_refused")

    def __init__(self, customer: Customer | None, is_refused: bool, fingerprint_customer: str):
        self.customer = customer
        self.is_refused = is_refused
        self.fingerprint_customer = fingerprint_customer

    def __repr__(self) -> str:
        # The fingerprint's customer may be a key.
        return f"<Identity {self.customer} is_refused={self.is_refused}>"

    def log_fields(self) -> dict[str, str]:
        """Return the fields of a log line."""
        return {} if self.customer is None else {"customer": self.customer.name}

    def make_headers(self) -> list[tuple[str, str]]:
        """Return the headers that tell the upstream's daemon the customer."""
        customer = self.customer
        if customer is None:
            return []
        return [
            (CUSTOMER_HEADER, encode_name(customer.name)),
            (CUSTOMER_PRIORITY_HEADER, str(customer.priority)),
        ]


def identify(customers: CustomerTable | None, route: Route, facts: RequestFacts, dialect: Dialect) -> Identity:
    """Decide who a request is from.

    Parameters
    ----------
    customers : CustomerTable or None
        Customers of the version that the request is bound to; None if it has no list of them.
    route : Route
    facts : RequestFacts
    dialect : Dialect
    """
    if customers is None:
        return Identity(None, False, facts.customer)
    if route.public:
        return Identity(None, False, "")
    customer = customers.find(_decode(dialect.read_key(facts.customer)))
    if customer is None:
        return Identity(None, True, "")
    return Identity(customer, False, customer.name)


def _decode(key: str) -> str:
    """Decode a key in UTF-8 from a header's value, which is read as Latin-1."""
    return key if key.isascii() else key.encode("latin-1").decode("utf-8", "surrogateescape")
