"""Find warnings about what a plan can take away from customers."""

from collections.abc import Iterator

from bendwind_core.plans.customer_changes import CustomerChanges, apply_customer_changes
from bendwind_core.plans.difference import format_value
from bendwind_core.plans.warning import PlanWarning, WarningKind
from bendwind_core.world import Customer


def find_customer_warnings(
    current: tuple[Customer, ...] | None, changes: CustomerChanges
) -> tuple[PlanWarning, ...]:
    """Return the warnings, grouped by customer."""
    return tuple(_find_warnings(current, changes))


def _find_warnings(
    current: tuple[Customer, ...] | None, changes: CustomerChanges
) -> Iterator[PlanWarning]:
    match changes.are_keys_needed:
        case True:
            text = (
                "requests without a known key are refused from then on, except those of open rules"
            )
            yield PlanWarning(WarningKind.KEYS_NEEDED, "", text)
        case False:
            text = "requests are accepted from anybody from then on, without a rate limit"
            yield PlanWarning(WarningKind.KEYS_NOT_NEEDED, "", text)
    before = {customer.name: customer for customer in current or ()}
    after = apply_customer_changes(current, changes) or ()
    for customer in after:
        yield from _check_customer(before.get(customer.name), customer)
    if changes.are_keys_needed is not False:
        kept = {customer.name for customer in after}
        for name in sorted(before.keys() - kept):
            text = "its keys are refused from then on"
            yield PlanWarning(WarningKind.CUSTOMER_ENDED, "", text, name)


def _check_customer(before: Customer | None, after: Customer) -> Iterator[PlanWarning]:
    if before == after:
        return
    if not after.keys:
        text = "it has no key left" if before and before.keys else "it has no key"
        yield PlanWarning(WarningKind.NO_KEY, "", text, after.name)
    if before is None:
        return
    if _is_limit_lowered(before, after):
        texts = [_describe_limit(customer) for customer in (before, after)]
        yield PlanWarning(WarningKind.RATE_LOWERED, "", " -> ".join(texts), after.name)


def _is_limit_lowered(before: Customer, after: Customer) -> bool:
    if not after.is_limited:
        return False
    if not before.is_limited:
        return True
    return after.rate_per_s < before.rate_per_s or after.burst < before.burst


def _describe_limit(customer: Customer) -> str:
    if not customer.is_limited:
        return "no limit"
    rate, burst = format_value(customer.rate_per_s), format_value(customer.burst)
    return f"{rate} requests/s, burst {burst}"
