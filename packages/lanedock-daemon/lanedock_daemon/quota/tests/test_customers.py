# SPDX-License-Identifier: BSD-3-Clause
"""Tests of reading the customers of versions."""

import pytest

from lanedock.config import CustomerTable, split_config
from lanedock_daemon.path.tests.chain import make_value
from lanedock_daemon.quota.customers import CustomerQuotas, CustomerReader


def _tree(version: int, customers: list[dict] | None):
    value = make_value(version)
    if customers is not None:
        value["customers"] = customers
    return split_config(value)


@pytest.mark.parametrize("customers", [None, []])
def test_a_version_without_customers_has_none(customers):
    assert CustomerReader().read(_tree(1, customers)) == {}


def test_customers_are_read_without_their_keys_and_follow_each_version():
    reader = CustomerReader()
    many = [{"name": f"c{number}", "keys": [f"key-{number}"], "rate": number} for number in range(100)]
    first = reader.read(_tree(1, many))
    assert {name: customer.rate for name, customer in first.items()} == {f"c{number}": number for number in range(100)}
    many[7] = {"name": "c7", "rate": 2.5, "burst": 8, "priority": 0}
    del many[20]
    second = reader.read(_tree(2, many))
    assert second.keys() == first.keys() - {"c20"}
    changed = second["c7"]
    assert (changed.rate, changed.burst, changed.priority) == (2.5, 8, 0)
    # Groups that did not change are not decoded again.
    assert sum(second[name] is first[name] for name in second) >= 68


def test_a_version_with_the_same_customers_gives_the_same_object():
    """Otherwise each change of a route costs a control instance with 10,000 customers 20 ms."""
    reader = CustomerReader()
    customers = [{"name": "c", "keys": ["k"], "rate": 1}]
    assert reader.read(_tree(1, customers)) is reader.read(_tree(2, customers))


def test_quotas_are_those_of_the_customers_with_a_rate():
    table = CustomerTable().evolve({"": [{"name": "c", "rate": 3, "burst": 4}, {"name": "free"}]})
    quotas = CustomerQuotas(table)
    assert ("c" in quotas, "free" in quotas, "other" in quotas) == (True, False, False)
    assert (quotas.get("c").rate, quotas.get("c").burst, quotas.get("free")) == (3, 4, None)
    assert "c" not in CustomerQuotas(None)
