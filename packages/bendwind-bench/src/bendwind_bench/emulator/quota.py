"""Enforce customers' quotas with one token bucket each, shared by all nodes at no cost."""

import msgspec

from bendwind_bench.emulator.tables import CustomerTable
from bendwind_core.core import MILLISECONDS_PER_SECOND, Milliseconds, Seconds


class _Bucket(msgspec.Struct):
    """Hold the token bucket of one customer."""

    rate_per_s: float
    burst: float
    level: float
    filled_at: Seconds = 0.0


class Quotas:
    """Hold a token bucket for each customer that has a quota."""

    __slots__ = ("_buckets",)

    def __init__(self, groups: tuple[CustomerTable, ...]):
        self._buckets = {
            group.find_name(number): _Bucket(group.rate_per_s, group.burst, group.burst)
            for group in groups
            if group.rate_per_s is not None
            for number in range(group.count)
        }

    def consume_token(self, customer: str, now: Seconds) -> Milliseconds | None:
        """Consume a token; if there is none, return the time until the next one, else None."""
        bucket = self._buckets.get(customer)
        if bucket is None:
            return None
        refill = bucket.rate_per_s * (now - bucket.filled_at)
        bucket.level = min(bucket.burst, bucket.level + refill)
        bucket.filled_at = now
        if bucket.level >= 1.0:
            bucket.level -= 1.0
            return None
        return (1.0 - bucket.level) / bucket.rate_per_s * MILLISECONDS_PER_SECOND


__all__ = ["Quotas"]
