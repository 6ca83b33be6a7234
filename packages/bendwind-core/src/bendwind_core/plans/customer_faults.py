"""Find faults that make customers invalid."""

import enum
import math
from collections.abc import Iterator

import msgspec

from bendwind_core.world import Customer, digest_key

# A name is sent in a header of every request, and labels figures about the customer.
MAX_CUSTOMER_NAME_CHARACTERS = 64
# A node that has just started receives all customers in one message, which is limited to 4 MiB.
# With names and rates of maximum length, all customers take 2.9 MiB of it.
MAX_CUSTOMERS = 20_000
MAX_KEYS = 60_000
# The least urgent valid rank. The range includes every rank in use, and a rank fits into one byte.
MAX_RANK = 99

_FIRST_VISIBLE = "!"
_LAST_VISIBLE = "~"
_EMPTY_KEY = digest_key(b"")


class CustomerFaultKind(enum.StrEnum):
    """Enumerate the faults of a customer; no fault shows a key."""

    BAD_NAME = "bad-customer-name"
    DUPLICATE_NAME = "duplicate-customer"
    EMPTY_KEY = "empty-key"
    DUPLICATE_KEY = "duplicate-key"
    SHARED_KEY = "shared-key"
    BAD_RANK = "bad-rank"
    BAD_RATE = "bad-rate"
    BAD_BURST = "bad-burst"
    TOO_MANY_CUSTOMERS = "too-many-customers"
    TOO_MANY_KEYS = "too-many-keys"


class CustomerFault(msgspec.Struct, frozen=True):
    """Hold a fault and the customer that has it."""

    kind: CustomerFaultKind
    name: str = ""

    def __str__(self) -> str:
        return f"{self.kind}: {self.name}" if self.name else str(self.kind)


def find_customer_fault(customers: tuple[Customer, ...] | None) -> CustomerFault | None:
    """Return the first fault of the customers of a configuration, or None if they are valid."""
    return next(_find_faults(customers or ()), None)


def sort_customers(customers: tuple[Customer, ...] | None) -> tuple[Customer, ...] | None:
    """Return customers in the order of a configuration, which is by name."""
    if customers is None:
        return None
    return tuple(sorted(customers, key=lambda customer: customer.name))


def is_valid_customer_name(name: str) -> bool:
    """Return whether a name can be sent in a header: visible ASCII, not too long.

    >>> is_valid_customer_name("norte-07"), is_valid_customer_name("norte 07")
    (True, False)
    """
    if not 0 < len(name) <= MAX_CUSTOMER_NAME_CHARACTERS:
        return False
    return all(_FIRST_VISIBLE <= character <= _LAST_VISIBLE for character in name)


def _find_faults(customers: tuple[Customer, ...]) -> Iterator[CustomerFault]:
    if len(customers) > MAX_CUSTOMERS:
        yield CustomerFault(CustomerFaultKind.TOO_MANY_CUSTOMERS, str(len(customers)))
    if sum(len(customer.keys) for customer in customers) > MAX_KEYS:
        yield CustomerFault(CustomerFaultKind.TOO_MANY_KEYS)
    names: set[str] = set()
    holders: dict[bytes, str] = {}
    for customer in customers:
        if not is_valid_customer_name(customer.name):
            yield CustomerFault(
                CustomerFaultKind.BAD_NAME, ascii(customer.name[:MAX_CUSTOMER_NAME_CHARACTERS])
            )
        if customer.name in names:
            yield CustomerFault(CustomerFaultKind.DUPLICATE_NAME, customer.name)
        names.add(customer.name)
        yield from _find_key_faults(customer, holders)
        yield from _find_limit_faults(customer)


def _find_key_faults(customer: Customer, holders: dict[bytes, str]) -> Iterator[CustomerFault]:
    for key in customer.keys:
        holder = holders.setdefault(key, customer.name)
        if key == _EMPTY_KEY:
            yield CustomerFault(CustomerFaultKind.EMPTY_KEY, customer.name)
        if holder != customer.name:
            yield CustomerFault(CustomerFaultKind.SHARED_KEY, f"{holder} and {customer.name}")
    if len(set(customer.keys)) < len(customer.keys):
        yield CustomerFault(CustomerFaultKind.DUPLICATE_KEY, customer.name)


def _find_limit_faults(customer: Customer) -> Iterator[CustomerFault]:
    if customer.rank is not None and not 0 <= customer.rank <= MAX_RANK:
        yield CustomerFault(CustomerFaultKind.BAD_RANK, customer.name)
    if not _is_valid_amount(customer.rate_per_s):
        yield CustomerFault(CustomerFaultKind.BAD_RATE, customer.name)
    if not _is_valid_amount(customer.burst):
        yield CustomerFault(CustomerFaultKind.BAD_BURST, customer.name)


def _is_valid_amount(value: float) -> bool:
    return math.isfinite(value) and value >= 0.0
