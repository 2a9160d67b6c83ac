# SPDX-License-Identifier: BSD-3-Clause
"""Decodes the customers of versions, whose unchanged groups are decoded once."""

from lanedock.config import ConfigTree, Customer, is_customer_group

__all__ = ["CustomerReader"]


class CustomerReader:
    """Reads the customers of one version after another, without their keys."""

    def __init__(self):
        self._groups: dict[str, tuple[bytes, list[Customer]]] = {}

    def __repr__(self) -> str:
        return f"<CustomerReader groups={len(self._groups)}>"

    def read(self, tree: ConfigTree) -> dict[str, Customer]:
        """Return the customers of a complete version, by name."""
        groups = {}
        for name, digest in tree.digests.items():
            if not is_customer_group(name):
                continue
            known = self._groups.get(name)
            groups[name] = known if known is not None and known[0] == digest else (digest, _read_group(tree, name))
        self._groups = groups
        return {customer.name: customer for _, customers in groups.values() for customer in customers}


def _read_group(tree: ConfigTree, name: str) -> list[Customer]:
    customers = []
    for item in tree.group(name)["customers"]:
        fields = {field: value for field, value in item.items() if field != "keys"}
        customers.append(Customer(**fields))
    return customers
