"""Hold for a voter when each customer changed, so that nodes are sent only what they lack."""

from collections.abc import Iterator

import msgspec

from bendwind_core.customers import CustomersChange
from bendwind_core.membership.digest import digest_record
from bendwind_core.world import Customer

# Names of removed customers that are remembered: a node that has not heard of one forgotten since
# is sent all customers. A day of changes removes far fewer.
MAX_REMOVED = 4_096


class CustomerLedger(msgspec.Struct):
    """Hold the customers in force, None if no key is needed, and the version of each one's change.

    `changed_at` and `removed_at` are in the order of the versions. What changed since a version
    before `oldest_base` is not known any more. `digest` sums up all customers.
    """

    customers: dict[str, Customer] | None = None
    changed_at: dict[str, int] = msgspec.field(default_factory=dict)
    removed_at: dict[str, int] = msgspec.field(default_factory=dict)
    oldest_base: int = 0
    newest_change: int = 0
    digest: int = 0


def take_customers(
    ledger: CustomerLedger, customers: tuple[Customer, ...] | None, version: int
) -> bool:
    """Take over the customers of a newer version and tell whether any differ."""
    if (customers is None) is not (ledger.customers is None):
        _start_again(ledger, customers, version)
        return True
    if customers is None:
        return False
    wanted = {customer.name: customer for customer in customers}
    changed = [
        customer for customer in customers if ledger.customers.get(customer.name) != customer
    ]
    removed = [name for name in ledger.customers if name not in wanted]
    for customer in changed:
        _put(ledger, customer, version)
    for name in removed:
        _remove(ledger, name, version)
    if changed or removed:
        ledger.newest_change = version
    return bool(changed or removed)


def _start_again(
    ledger: CustomerLedger, customers: tuple[Customer, ...] | None, version: int
) -> None:
    """Begin with customers, or end with them: every node is to hear of all."""
    ledger.customers = None if customers is None else {}
    ledger.changed_at.clear()
    ledger.removed_at.clear()
    ledger.oldest_base = ledger.newest_change = version
    ledger.digest = 0
    for customer in customers or ():
        _put(ledger, customer, version)


def _put(ledger: CustomerLedger, customer: Customer, version: int) -> None:
    held = ledger.customers.get(customer.name)
    if held is not None:
        ledger.digest ^= digest_record(held)
    ledger.customers[customer.name] = customer
    ledger.digest ^= digest_record(customer)
    # Removed first, so that the newest change stands at the end of the dict.
    ledger.changed_at.pop(customer.name, None)
    ledger.changed_at[customer.name] = version
    ledger.removed_at.pop(customer.name, None)


def _remove(ledger: CustomerLedger, name: str, version: int) -> None:
    ledger.digest ^= digest_record(ledger.customers.pop(name))
    del ledger.changed_at[name]
    ledger.removed_at[name] = version
    if len(ledger.removed_at) > MAX_REMOVED:
        oldest = next(iter(ledger.removed_at))
        ledger.oldest_base = ledger.removed_at.pop(oldest)


def make_change(ledger: CustomerLedger, base: int) -> CustomersChange:
    """Return what changed since a version that this voter held; base 0 asks for all customers."""
    is_needed = ledger.customers is not None
    if base == 0 or base < ledger.oldest_base:
        put = tuple((ledger.customers or {}).values())
        return CustomersChange(0, put, (), is_needed, ledger.digest)
    put = tuple(ledger.customers[name] for name in _list_since(ledger.changed_at, base))
    removed = tuple(_list_since(ledger.removed_at, base))
    return CustomersChange(base, put, removed, is_needed, ledger.digest)


def _list_since(changed_at: dict[str, int], base: int) -> Iterator[str]:
    for name, version in reversed(changed_at.items()):
        if version <= base:
            return
        yield name
