# SPDX-License-Identifier: BSD-3-Clause
"""Customers, and the look-up of a customer by a key."""

from collections.abc import Iterator
from hashlib import blake2b

__all__ = ["Customer", "CustomerTable", "digest_key"]

DEFAULT_CUSTOMER_PRIORITY = 1
# Length of a key's digest, in bytes: two keys don't share one by chance.
_DIGEST_BYTES = 16
# BLAKE2b personalization (RFC 7693): keeps these digests distinct from other uses of the hash.
_PERSONALIZATION = b"lanedock-key"


class Customer:
    """A customer, without its keys.

    Parameters
    ----------
    name : str
    priority : int
        Priority of the customer's requests; 0 is served first.
    rate : float
        Requests a second that the customer may send; 0 for no limit.
    burst : float
        Requests above the rate that the customer may send at once.
    """

    __slots__ = ("burst", "name", "priority", "rate")

    def __init__(self, name: str, priority: int = DEFAULT_CUSTOMER_PRIORITY, rate: float = 0, burst: float = 0):
        self.name = name
        self.priority = priority
        self.rate = rate
        self.burst = burst

    def __repr__(self) -> str:
        return f"<Customer {self.name} priority={self.priority} rate={self.rate:g} burst={self.burst:g}>"


class _Entry:
    """A customer with the digests of its keys."""

    __slots__ = ("customer", "digests")

    def __init__(self, customer: Customer, digests: tuple[bytes, ...]):
        self.customer = customer
        self.digests = digests


class CustomerTable:
    """The customers of one version, by name and by key. Immutable.

    Holds digests of the keys and not the keys, so that no output of the table has a key.

    Parameters
    ----------
    base : CustomerTable, optional
        Table whose customers are copied.

    Attributes
    ----------
    groups : dict of str to tuple
        Customers of each content group; versions that have an identical group share them.
    """

    __slots__ = ("_by_digest", "_by_name", "groups")

    def __init__(self, base: "CustomerTable | None" = None):
        self.groups: dict[str, tuple[_Entry, ...]] = base.groups.copy() if base else {}
        self._by_digest: dict[bytes, Customer] = base._by_digest.copy() if base else {}
        self._by_name: dict[str, Customer] = base._by_name.copy() if base else {}

    def __repr__(self) -> str:
        return f"<CustomerTable customers={len(self)}>"

    def __len__(self) -> int:
        return len(self._by_name)

    def __iter__(self) -> Iterator[Customer]:
        return iter(self._by_name.values())

    def find(self, key: str) -> Customer | None:
        """Return the customer to whom a key belongs, or None if the key is unknown."""
        return self._by_digest.get(digest_key(key))

    def get(self, name: str) -> Customer | None:
        """Return a customer by name, or None if there is none."""
        return self._by_name.get(name)

    def evolve(self, changed: dict[str, list[dict] | None]) -> "CustomerTable | None":
        """Return the table of another version, sharing the unchanged groups with this one.

        Only the changed groups are decoded, so that a small change costs little, however many customers there are.

        Parameters
        ----------
        changed : dict of str to list of dict, or None
            Customers of each group that differs, as in the operators' file; None for a group that
            the other version lacks.

        Returns
        -------
        CustomerTable or None
            None if two customers would share a name or a key.

        Raises
        ------
        KeyError, TypeError, AttributeError
            A customer is malformed.
        """
        table = CustomerTable(self)
        by_name, by_digest = table._by_name, table._by_digest
        for group in changed:
            for entry in table.groups.pop(group, ()):
                del by_name[entry.customer.name]
                for digest in entry.digests:
                    del by_digest[digest]
        for group, items in changed.items():
            if items is None:
                continue
            entries = table.groups[group] = tuple(_read_entry(item) for item in items)
            for entry in entries:
                if entry.customer.name in by_name or not by_digest.keys().isdisjoint(entry.digests):
                    return None
                by_name[entry.customer.name] = entry.customer
                by_digest.update(dict.fromkeys(entry.digests, entry.customer))
        return table


def digest_key(key: str) -> bytes:
    """Return the digest by which a key is looked up and shown."""
    # A header's value that isn't UTF-8 has surrogates, which no key of a customer has.
    return blake2b(key.encode("utf-8", "surrogatepass"), digest_size=_DIGEST_BYTES, person=_PERSONALIZATION).digest()


def _read_entry(item: dict) -> _Entry:
    fields = {name: value for name, value in item.items() if name != "keys"}
    # A key that is listed twice for the same customer has one digest.
    return _Entry(Customer(**fields), tuple({digest_key(key): None for key in item.get("keys", ())}))
