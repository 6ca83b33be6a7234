"""Compute what changes for each customer, without showing a key."""

from collections.abc import Iterator

from bendwind_core.plans.customer_changes import CustomerChanges, apply_customer_changes
from bendwind_core.plans.difference import Difference, DifferenceKind, format_value
from bendwind_core.world import Customer

_FIELDS = ("rank", "rate_per_s", "burst")


def compute_customer_differences(
    current: tuple[Customer, ...] | None, changes: CustomerChanges
) -> Iterator[Difference]:
    """Yield every difference, grouped by customer and sorted by name."""
    if changes.are_keys_needed is not None:
        needed, free = "needed", "not needed"
        before, after = (free, needed) if changes.are_keys_needed else (needed, free)
        yield Difference(DifferenceKind.KEYS_NEEDED, "", "keys", before, after)
    before_by_name = {customer.name: customer for customer in current or ()}
    after = apply_customer_changes(current, changes) or ()
    after_by_name = {customer.name: customer for customer in after}
    for name in sorted(before_by_name.keys() | after_by_name.keys()):
        yield from _compare_customer(name, before_by_name.get(name), after_by_name.get(name))


def _compare_customer(
    name: str, before: Customer | None, after: Customer | None
) -> Iterator[Difference]:
    if before is None and after is not None:
        text = describe_customer(after)
        yield Difference(DifferenceKind.CUSTOMER_ADDED, "", "", "", text, name)
    elif before is not None and after is None:
        text = describe_customer(before)
        yield Difference(DifferenceKind.CUSTOMER_REMOVED, "", "", text, "", name)
    elif before is not None and after is not None and before != after:
        yield from _compare_keys(name, set(before.keys), set(after.keys))
        yield from _compare_fields(name, before, after)


def _compare_keys(name: str, before: set[bytes], after: set[bytes]) -> Iterator[Difference]:
    added, withdrawn = len(after - before), len(before - after)
    if added:
        text = _count_keys(added)
        yield Difference(DifferenceKind.KEYS_ADDED, "", "keys", "", text, name)
    if withdrawn:
        text = _count_keys(withdrawn)
        yield Difference(DifferenceKind.KEYS_WITHDRAWN, "", "keys", text, "", name)


def _compare_fields(name: str, before: Customer, after: Customer) -> Iterator[Difference]:
    for field in _FIELDS:
        old, new = getattr(before, field), getattr(after, field)
        if old != new:
            texts = format_value(old), format_value(new)
            yield Difference(DifferenceKind.CUSTOMER_CHANGED, "", field, *texts, name)


def describe_customer(customer: Customer) -> str:
    """Return a text with the number of keys, the rank and the limits of a customer.

    >>> describe_customer(Customer("norte", (b"1", b"2"), 1, 5.0, 2.0))
    '2 keys, rank 1, 5 requests/s, burst 2'
    """
    parts = [_count_keys(len(customer.keys))]
    if customer.rank is not None:
        parts.append(f"rank {customer.rank}")
    if customer.is_limited:
        parts.append(f"{format_value(customer.rate_per_s)} requests/s")
        parts.append(f"burst {format_value(customer.burst)}")
    return ", ".join(parts)


def _count_keys(count: int) -> str:
    return "1 key" if count == 1 else f"{count} keys"
