"""Measure the work done recently for each customer, to serve customers in turn.

The work decays, so that requests of some seconds ago do not count against a customer. Of the
waiting customers, the one for which the least work was done is served first; each further request
of the same customer counts the work of its requests before it.
"""

import collections

import msgspec

from bendwind_core.core import Milliseconds, Seconds

# Half-life of a customer's work: about the run time of a few requests, so that a customer that was
# just served comes after others, and a burst stops counting soon after its end.
WORK_HALF_LIFE: Seconds = 1.0
# Number of customers whose work is stored. Beyond it the customer served longest ago is removed,
# whose work has almost decayed to zero.
MAX_CUSTOMERS = 256


class RecentWork(msgspec.Struct):
    """Hold the decayed work done for one customer, as of `updated_at`."""

    work_ms: Milliseconds
    updated_at: Seconds


class CustomerWork(msgspec.Struct):
    """Hold the work done for each customer; the one served longest ago comes first."""

    by_customer: collections.OrderedDict[str, RecentWork] = msgspec.field(
        default_factory=collections.OrderedDict
    )


def record_work(
    customer_work: CustomerWork, customer: str, work_ms: Milliseconds, now: Seconds
) -> None:
    """Add work to a customer; requests without a known customer share one unnamed customer."""
    total_ms = find_recent_work_ms(customer_work, customer, now) + work_ms
    customer_work.by_customer[customer] = RecentWork(total_ms, now)
    customer_work.by_customer.move_to_end(customer)
    if len(customer_work.by_customer) > MAX_CUSTOMERS:
        customer_work.by_customer.popitem(last=False)


def find_recent_work_ms(customer_work: CustomerWork, customer: str, now: Seconds) -> Milliseconds:
    """Return the work done recently for a customer, decayed to `now`."""
    recent_work = customer_work.by_customer.get(customer)
    if recent_work is None:
        return 0.0
    return recent_work.work_ms * 0.5 ** ((now - recent_work.updated_at) / WORK_HALF_LIFE)
