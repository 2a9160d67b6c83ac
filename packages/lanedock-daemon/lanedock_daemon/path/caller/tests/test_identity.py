# SPDX-License-Identifier: BSD-3-Clause
"""Tests of the identification of customers."""

import pytest

from lanedock.config import CustomerTable, Route
from lanedock_daemon.path.caller.identity import identify
from lanedock_daemon.path.http.headers import CUSTOMER_HEADER, CUSTOMER_PRIORITY_HEADER
from lanedock_daemon.path.shared.dialect import OwnDialect, RequestFacts

TABLE = CustomerTable().evolve({"": [{"name": "a b", "keys": ["k-1", "klíč"], "priority": 4}]})
CLOSED, PUBLIC = Route("r", "/"), Route("p", "/", public=True)


def _identify(customers, route: Route, credentials: str):
    return identify(customers, route, RequestFacts(customer=credentials), OwnDialect())


@pytest.mark.parametrize(
    ("customers", "route", "credentials", "name", "is_refused", "fingerprint_customer"),
    [
        (None, CLOSED, "Bearer k-1", None, False, "Bearer k-1"),
        (None, PUBLIC, "", None, False, ""),
        (TABLE, PUBLIC, "Bearer k-1", None, False, ""),
        (TABLE, PUBLIC, "Bearer k-2", None, False, ""),
        (TABLE, CLOSED, "Bearer k-1", "a b", False, "a b"),
        (TABLE, CLOSED, "Bearer k-2", None, True, ""),
        (TABLE, CLOSED, "k-1", None, True, ""),
        (TABLE, CLOSED, "", None, True, ""),
        (CustomerTable(), CLOSED, "Bearer k-1", None, True, ""),
        # Heads are read as Latin-1. A key in UTF-8 is known; other bytes are no key, and no error.
        (TABLE, CLOSED, "Bearer " + "klíč".encode().decode("latin-1"), "a b", False, "a b"),
        (TABLE, CLOSED, "Bearer kl\xed\xe8", None, True, ""),
    ],
)
def test_identity_follows_from_version_route_and_key(
    customers, route, credentials, name, is_refused, fingerprint_customer
):
    identity = _identify(customers, route, credentials)
    assert (identity.customer and identity.customer.name) == name
    assert (identity.is_refused, identity.fingerprint_customer) == (is_refused, fingerprint_customer)
    assert (identity.make_headers() == []) == (name is None)
    assert "k-1" not in repr(identity)


def test_headers_between_daemons_state_encoded_name_and_priority():
    headers = _identify(TABLE, CLOSED, "Bearer k-1").make_headers()
    assert headers == [(CUSTOMER_HEADER, "a%20b"), (CUSTOMER_PRIORITY_HEADER, "4")]
