"""Define how a voter sends changes of customers to a node."""

from bendwind_core.core import Int64, Record, Unsigned64
from bendwind_core.world import Customer


class CustomersChange(Record, frozen=True, array_like=True):
    """Hold the customers that changed since the version `base`, and the names of those removed.

    If `base` is 0, all customers are listed. Requests need a key only if `is_key_needed`. `digest`
    covers all customers that are active after the change, so that a node detects a lost change.
    """

    base: Int64 = 0
    put: tuple[Customer, ...] = ()
    removed: tuple[str, ...] = ()
    is_key_needed: bool = False
    digest: Unsigned64 = 0
