"""Define how a voter tells a node of customers."""

from bendwind_core.core import Record
from bendwind_core.world import Customer


class CustomersChange(Record, frozen=True, array_like=True):
    """Carry the customers that changed since the version `base`, and the names of those removed.

    `base` 0 means that all customers are listed. Requests need a key only if `is_key_needed`.
    `digest` sums up all customers as they are in force afterwards, so that a node notices a loss.
    """

    base: int = 0
    put: tuple[Customer, ...] = ()
    removed: tuple[str, ...] = ()
    is_key_needed: bool = False
    digest: int = 0
