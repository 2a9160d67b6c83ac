# SPDX-License-Identifier: BSD-3-Clause
"""The customers of versions at a control instance, and their quotas at a daemon."""

from collections.abc import Container

from lanedock.config import ConfigTree, Customer, CustomerTable, is_customer_group
from lanedock.quota import Quota

__all__ = ["CustomerQuotas", "CustomerReader"]


class CustomerQuotas(Container):
    """The quotas of a version's customers, made when they are looked up.

    Making all of them would cost time with every version, for customers that this daemon may never see.

    Parameters
    ----------
    table : CustomerTable or None
    """

    def __init__(self, table: CustomerTable | None):
        self._table = table if table is not None else CustomerTable()

    def __repr__(self) -> str:
        return f"<CustomerQuotas {self._table!r}>"

    def __contains__(self, name: object) -> bool:
        return self.get(name) is not None

    def get(self, name: str) -> Quota | None:
        """Return a customer's quota, or None if it has no rate or is unknown."""
        customer = self._table.get(name)
        return Quota(customer.rate, customer.burst) if customer is not None and customer.rate else None


class CustomerReader:
    """Reads the customers of one version after another, without their keys."""

    def __init__(self):
        self._groups: dict[str, tuple[bytes, list[Customer]]] = {}
        self._customers: dict[str, Customer] = {}

    def __repr__(self) -> str:
        return f"<CustomerReader groups={len(self._groups)}>"

    def read(self, tree: ConfigTree) -> dict[str, Customer]:
        """Return the customers of a complete version, by name; the same object if none has changed."""
        groups = {}
        for name, digest in tree.digests.items():
            if not is_customer_group(name):
                continue
            known = self._groups.get(name)
            groups[name] = known if known is not None and known[0] == digest else (digest, _read_group(tree, name))
        if groups != self._groups:
            self._groups = groups
            self._customers = {customer.name: customer for _, group in groups.values() for customer in group}
        return self._customers


def _read_group(tree: ConfigTree, name: str) -> list[Customer]:
    customers = []
    for item in tree.group(name)["customers"]:
        fields = {field: value for field, value in item.items() if field != "keys"}
        customers.append(Customer(**fields))
    return customers
