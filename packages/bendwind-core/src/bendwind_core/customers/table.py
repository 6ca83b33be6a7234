"""Find the customer that a key belongs to."""

from collections.abc import Iterable

import msgspec

from bendwind_core.world import Customer, digest_key


class CustomerTable(msgspec.Struct):
    """Hold customers by their names and by the digests of their keys."""

    by_name: dict[str, Customer] = msgspec.field(default_factory=dict)
    by_key: dict[bytes, Customer] = msgspec.field(default_factory=dict)


def create_customer_table(customers: Iterable[Customer]) -> CustomerTable:
    """Create a table of these customers."""
    table = CustomerTable()
    change_customers(table, customers, ())
    return table


def change_customers(table: CustomerTable, put: Iterable[Customer], removed: Iterable[str]) -> None:
    """Put customers in place, new or changed, and take others out."""
    put = tuple(put)
    # A key may go from one of these customers to another: all are taken out first.
    for name in (*removed, *(customer.name for customer in put)):
        _remove_customer(table, name)
    for customer in put:
        table.by_name[customer.name] = customer
        table.by_key |= dict.fromkeys(customer.keys, customer)


def _remove_customer(table: CustomerTable, name: str) -> None:
    customer = table.by_name.pop(name, None)
    for key in customer.keys if customer else ():
        table.by_key.pop(key, None)


def find_customer(table: CustomerTable, key: bytes) -> Customer | None:
    """Return the customer whose key this is, None for a key that is not known.

    >>> table = create_customer_table([Customer("acme", (digest_key(b"k1"),))])
    >>> find_customer(table, b"k1").name, find_customer(table, b"k2")
    ('acme', None)
    """
    return table.by_key.get(digest_key(key))
