"""Convert the customers that a TOML file states."""

from typing import Annotated

import msgspec
from msgspec import Meta

from bendwind_core.plans.customer_faults import (
    MAX_CUSTOMER_NAME_CHARACTERS,
    MAX_CUSTOMERS,
    MAX_RANK,
)
from bendwind_core.world import Customer, digest_key
from bendwind_core.world.customer import KEY_DIGEST_BYTES

CustomerName = Annotated[str, Meta(pattern=f"^[!-~]{{1,{MAX_CUSTOMER_NAME_CHARACTERS}}}$")]
# A text that a header's value can carry unchanged; no key in use is as long as this limit.
_Key = Annotated[str, Meta(pattern="^[!-~]{1,256}$")]
_Digest = Annotated[str, Meta(pattern=f"^[0-9a-f]{{{2 * KEY_DIGEST_BYTES}}}$")]
_Amount = Annotated[float, Meta(ge=0, le=1_000_000_000)]


class StatedCustomer(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Hold a customer as stated in `[[customers]]`; unknown TOML keys are errors.

    `key_digests` can be given as well as `keys`, so that a file need not contain a key that
    callers know.
    """

    name: CustomerName
    keys: tuple[_Key, ...] = ()
    key_digests: tuple[_Digest, ...] = ()
    rank: Annotated[int, Meta(ge=0, le=MAX_RANK)] | None = None
    rate_per_s: _Amount = 0.0
    burst: _Amount = 0.0


StatedCustomers = Annotated[tuple[StatedCustomer, ...], Meta(max_length=MAX_CUSTOMERS)]


def convert_stated_customers(
    stated: tuple[StatedCustomer, ...] | None,
) -> tuple[Customer, ...] | None:
    """Return the stated customers with their keys as digests, or None if none are stated."""
    return None if stated is None else tuple(map(_convert_stated_customer, stated))


def _convert_stated_customer(stated: StatedCustomer) -> Customer:
    digests = (
        *(digest_key(key.encode()) for key in stated.keys),
        *map(bytes.fromhex, stated.key_digests),
    )
    return Customer(stated.name, digests, stated.rank, stated.rate_per_s, stated.burst)
