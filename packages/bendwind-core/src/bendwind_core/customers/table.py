"""Find the customer to which a key belongs."""

from collections.abc import Iterable

import msgspec

from bendwind_core.world import Customer, digest_key


class CustomerTable(msgspec.Struct):
    """Index customers by name and by the digests of their keys."""

    by_name: dict[str, Customer] = msgspec.field(default_factory=dict)
    by_key: dict[bytes, Customer] = msgspec.field(default_factory=dict)


def create_customer_table(customers: Iterable[Customer]) -> CustomerTable:
    """Create a table of these customers."""
    table = CustomerTable()
    change_customers(table, customers, ())
    return table


def change_customers(table: CustomerTable, put: Iterable[Customer], removed: Iterable[str]) -> None:
    """Add or replace the customers `put`, and remove the customers named `removed`."""
    put = tuple(put)
    # A key may move from one of these customers to another, so all of them are removed first.
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
    """Return the customer to which a key belongs, None for an unknown key.

    >>> table = create_customer_table([Customer("acme", (digest_key(b"k1"),))])
    >>> find_customer(table, b"k1").name, find_customer(table, b"k2")
    ('acme', None)
    """
    return table.by_key.get(digest_key(key))
