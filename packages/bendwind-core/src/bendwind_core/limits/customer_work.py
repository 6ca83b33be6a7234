"""Have customers take turns by the work that was lately done for each.

A customer's use fades, so that what it asked for some seconds ago is not held against it. Of those
that wait, the one for which least was done goes first; each further request of the same customer
counts the ones before it.
"""

import collections

import msgspec

from bendwind_core.core import Milliseconds, Seconds

# The use of a customer fades by half in so long: about the length of a few requests, so that who
# was served just now lets others go first, and a burst is forgotten soon after its end.
WORK_HALF_LIFE: Seconds = 1.0
# Customers whose use is known; of more, those served longest ago are forgotten, for whom next to
# nothing was done lately.
MAX_CUSTOMERS = 256


class RecentWork(msgspec.Struct):
    """Hold the work done for one customer as of a time."""

    work_ms: Milliseconds
    updated_at: Seconds


class CustomerWork(msgspec.Struct):
    """Hold the work done for each customer, the one served longest ago first."""

    by_customer: collections.OrderedDict[str, RecentWork] = msgspec.field(
        default_factory=collections.OrderedDict
    )


def record_work(
    customer_work: CustomerWork, customer: str, work_ms: Milliseconds, now: Seconds
) -> None:
    """Count work for a customer; requests of nobody known are those of one more, unnamed."""
    total_ms = find_recent_work_ms(customer_work, customer, now) + work_ms
    customer_work.by_customer[customer] = RecentWork(total_ms, now)
    customer_work.by_customer.move_to_end(customer)
    if len(customer_work.by_customer) > MAX_CUSTOMERS:
        customer_work.by_customer.popitem(last=False)


def find_recent_work_ms(customer_work: CustomerWork, customer: str, now: Seconds) -> Milliseconds:
    """Return how much was lately done for a customer."""
    recent_work = customer_work.by_customer.get(customer)
    if recent_work is None:
        return 0.0
    return recent_work.work_ms * 0.5 ** ((now - recent_work.updated_at) / WORK_HALF_LIFE)
