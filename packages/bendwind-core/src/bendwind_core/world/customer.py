"""Describe customers: their keys, the rank of their requests and their rate limit."""

import hashlib

from bendwind_core.core import Finite, Record, Storable

# The probability that any two of a billion keys have the same digest is 10^-20.
KEY_DIGEST_BYTES = 16


class Customer(Record, frozen=True, array_like=True):
    """Describe a customer; `keys` are the digests of the keys that its callers send.

    `rank` takes precedence over the rank of a route, and 0 is the most urgent; with None, the
    route's rank applies.
    Units: `rate_per_s` is in requests per second, 0 without a limit; `burst` is the number of
    requests that may arrive at once on top of that.
    """

    name: str
    keys: tuple[bytes, ...] = ()
    rank: Storable | None = None
    rate_per_s: Finite = 0.0
    burst: Finite = 0.0

    @property
    def is_limited(self) -> bool:
        """Return whether the customer has a quota."""
        return self.rate_per_s > 0.0


# Weight of a route's rank beside a customer's rank; both ranks have at most two digits.
RANK_STEP = 0.01


def combine_ranks(rank: int, route_rank: int) -> float:
    """Return the rank of a request by its customer's rank, and among equal ones by its route's.

    Without the route's rank, routes would have no order where all customers have the same rank.

    >>> combine_ranks(1, 0) < combine_ranks(1, 2) < combine_ranks(2, 0)
    True
    """
    return rank + RANK_STEP * min(max(route_rank, 0), 1 / RANK_STEP - 1)


def digest_key(text: bytes) -> bytes:
    """Return the digest that represents a key wherever its text is not needed."""
    return hashlib.blake2b(text, digest_size=KEY_DIGEST_BYTES).digest()
