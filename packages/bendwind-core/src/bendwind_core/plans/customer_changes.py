"""Compute and apply the changes that turn one list of customers into another."""

from bendwind_core.core import Record
from bendwind_core.plans.intent import Intent
from bendwind_core.world import Customer


class CustomerChanges(Record, frozen=True, array_like=True):
    """Hold the customers to add or replace in `put`, and the names of those to remove.

    `are_keys_needed` says whether requests need a key from then on; None leaves this unchanged.
    """

    put: tuple[Customer, ...] = ()
    removed: tuple[str, ...] = ()
    are_keys_needed: bool | None = None


def compute_customer_changes(
    current: tuple[Customer, ...] | None, intent: Intent
) -> CustomerChanges:
    """Return the changes that make the customers match an intent, sorted by name."""
    if intent.end_customers:
        return CustomerChanges((), (), None if current is None else False)
    if intent.customers is None and not intent.remove_customers:
        return CustomerChanges()
    existing = {customer.name: customer for customer in current or ()}
    desired = {customer.name: customer for customer in intent.customers or ()}
    put = tuple(desired[name] for name in sorted(desired) if existing.get(name) != desired[name])
    to_remove = intent.remove_customers if intent.partial else existing.keys() - desired.keys()
    removed = tuple(sorted(name for name in to_remove if name in existing))
    is_first = current is None and intent.customers is not None
    return CustomerChanges(put, removed, True if is_first else None)


def apply_customer_changes(
    current: tuple[Customer, ...] | None, changes: CustomerChanges
) -> tuple[Customer, ...] | None:
    """Return the customers with the changes applied, sorted by name."""
    if changes.are_keys_needed is False or (current is None and changes.are_keys_needed is None):
        return None
    customers = {customer.name: customer for customer in current or ()}
    customers |= {customer.name: customer for customer in changes.put}
    for name in changes.removed:
        customers.pop(name, None)
    return tuple(customers[name] for name in sorted(customers))
