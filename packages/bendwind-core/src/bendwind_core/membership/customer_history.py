"""Record at which version each customer changed, so that nodes are sent only what they lack."""

from collections.abc import Iterator

import msgspec

from bendwind_core.customers import CustomersChange
from bendwind_core.membership.digest import digest_record
from bendwind_core.world import Customer

# Maximum number of removed customers whose names are kept. A node that missed the removal of a
# customer no longer kept is sent all customers. A day of changes removes far fewer.
MAX_REMEMBERED_REMOVALS = 4_096


class CustomerHistory(msgspec.Struct):
    """Hold the applied customers, None if no key is needed, and the version of each one's change.

    `changed_at` and `removed_at` are ordered by version. The changes since a version before
    `oldest_base` are no longer known. `digest` covers all customers.
    """

    customers: dict[str, Customer] | None = None
    changed_at: dict[str, int] = msgspec.field(default_factory=dict)
    removed_at: dict[str, int] = msgspec.field(default_factory=dict)
    oldest_base: int = 0
    newest_change: int = 0
    digest: int = 0


def update_customers(
    history: CustomerHistory, customers: tuple[Customer, ...] | None, version: int
) -> bool:
    """Replace the customers by those of a newer version and return whether any differ."""
    if (customers is None) is not (history.customers is None):
        _replace_all(history, customers, version)
        return True
    if customers is None:
        return False
    wanted = {customer.name: customer for customer in customers}
    changed = [
        customer for customer in customers if history.customers.get(customer.name) != customer
    ]
    removed = [name for name in history.customers if name not in wanted]
    for customer in changed:
        _put(history, customer, version)
    for name in removed:
        _remove(history, name, version)
    if changed or removed:
        history.newest_change = version
    return bool(changed or removed)


def _replace_all(
    history: CustomerHistory, customers: tuple[Customer, ...] | None, version: int
) -> None:
    """Start or stop requiring keys, after which every node has to be sent all customers."""
    history.customers = None if customers is None else {}
    history.changed_at.clear()
    history.removed_at.clear()
    history.oldest_base = history.newest_change = version
    history.digest = 0
    for customer in customers or ():
        _put(history, customer, version)


def _put(history: CustomerHistory, customer: Customer, version: int) -> None:
    held = history.customers.get(customer.name)
    if held is not None:
        history.digest ^= digest_record(held)
    history.customers[customer.name] = customer
    history.digest ^= digest_record(customer)
    # Removed first, so that the newest change is at the end of the dict.
    history.changed_at.pop(customer.name, None)
    history.changed_at[customer.name] = version
    history.removed_at.pop(customer.name, None)


def _remove(history: CustomerHistory, name: str, version: int) -> None:
    history.digest ^= digest_record(history.customers.pop(name))
    del history.changed_at[name]
    history.removed_at[name] = version
    if len(history.removed_at) > MAX_REMEMBERED_REMOVALS:
        oldest = next(iter(history.removed_at))
        history.oldest_base = history.removed_at.pop(oldest)


def make_customers_change(history: CustomerHistory, base: int) -> CustomersChange:
    """Return the changes since a version that this voter held; base 0 means all customers."""
    is_needed = history.customers is not None
    if base == 0 or base < history.oldest_base:
        put = tuple((history.customers or {}).values())
        return CustomersChange(0, put, (), is_needed, history.digest)
    put = tuple(history.customers[name] for name in _list_since(history.changed_at, base))
    removed = tuple(_list_since(history.removed_at, base))
    return CustomersChange(base, put, removed, is_needed, history.digest)


def _list_since(changed_at: dict[str, int], base: int) -> Iterator[str]:
    for name, version in reversed(changed_at.items()):
        if version <= base:
            return
        yield name
