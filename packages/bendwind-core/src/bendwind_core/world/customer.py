"""Describe customers: whose requests are taken, how urgent they are and how many are due."""

import hashlib

from bendwind_core.core import Record

# Of a billion keys, two agree by chance once in 10^20 times.
KEY_DIGEST_BYTES = 16


class Customer(Record, frozen=True, array_like=True):
    """Name a customer and the digests of the keys that its callers send.

    `rank` goes before that of a route, 0 being the most urgent; None leaves the route's.
    Units: `rate_per_s` is in requests a second, 0 without a limit; `burst` is how many requests may
    come on top of that at once.
    """

    name: str
    keys: tuple[bytes, ...] = ()
    rank: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0

    @property
    def is_limited(self) -> bool:
        """Tell whether the customer has a quota."""
        return self.rate_per_s > 0.0


# Ranks of customers and routes have at most two digits.
RANK_STEP = 0.01


def combine_ranks(rank: int, route_rank: int) -> float:
    """Return how urgent a request is: by its rank, and among those alike by its route's.

    Where all customers have one rank, their routes would else be told apart no more.

    >>> combine_ranks(1, 0) < combine_ranks(1, 2) < combine_ranks(2, 0)
    True
    """
    return rank + RANK_STEP * min(max(route_rank, 0), 1 / RANK_STEP - 1)


def digest_key(text: bytes) -> bytes:
    """Return what stands for a key wherever its text is not needed."""
    return hashlib.blake2b(text, digest_size=KEY_DIGEST_BYTES).digest()
