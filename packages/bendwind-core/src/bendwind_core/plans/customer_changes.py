"""Work out and apply the changes that turn some customers into others."""

from bendwind_core.core import Record
from bendwind_core.plans.intent import Intent
from bendwind_core.world import Customer


class CustomerChanges(Record, frozen=True, array_like=True):
    """Hold the customers to put in place, new or changed, and the names of those to remove.

    `are_keys_needed` says what requests need from then on, None where that stays as it is.
    """

    put: tuple[Customer, ...] = ()
    removed: tuple[str, ...] = ()
    are_keys_needed: bool | None = None


def compute_customer_changes(held: tuple[Customer, ...] | None, intent: Intent) -> CustomerChanges:
    """Return what has to change for the intent to hold, in the order of names."""
    if intent.end_customers:
        return CustomerChanges((), (), None if held is None else False)
    if intent.customers is None and not intent.remove_customers:
        return CustomerChanges()
    present = {customer.name: customer for customer in held or ()}
    wanted = {customer.name: customer for customer in intent.customers or ()}
    put = tuple(wanted[name] for name in sorted(wanted) if present.get(name) != wanted[name])
    ended = intent.remove_customers if intent.partial else present.keys() - wanted.keys()
    removed = tuple(sorted(name for name in ended if name in present))
    is_first = held is None and intent.customers is not None
    return CustomerChanges(put, removed, True if is_first else None)


def apply_customer_changes(
    held: tuple[Customer, ...] | None, changes: CustomerChanges
) -> tuple[Customer, ...] | None:
    """Return the customers with the changes made, in the order of names."""
    if changes.are_keys_needed is False or (held is None and changes.are_keys_needed is None):
        return None
    customers = {customer.name: customer for customer in held or ()}
    customers |= {customer.name: customer for customer in changes.put}
    for name in changes.removed:
        customers.pop(name, None)
    return tuple(customers[name] for name in sorted(customers))
