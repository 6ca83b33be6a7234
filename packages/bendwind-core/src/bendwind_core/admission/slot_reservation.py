"""Keep the last free slot for what is more urgent, where that is likely to come.

A run is not cut. A less urgent one that takes the last slot is in the way of whatever more urgent
comes until it ends, so that it is held back where enough of those came lately. What is idle is lent
as soon as they stay away.
"""

import math

import msgspec

from bendwind_core.core import MILLISECONDS_PER_SECOND, Milliseconds, Seconds

# What came fades by half in so long: a burst is over a second after its last request.
ARRIVAL_HALF_LIFE: Seconds = 1.0
# The slot is kept if more than so many more urgent requests are expected while the less urgent one
# would run: with fewer, slots stay idle; with more, a less urgent caller may go before.
MAX_EXPECTED_ARRIVALS = 3.0
# Ranks that are counted apart; configurations state a few.
MAX_ARRIVAL_RANKS = 64


class ArrivalCounts(msgspec.Struct):
    """Count the requests of each rank that came lately, faded to `at`."""

    counts: dict[float, float] = msgspec.field(default_factory=dict)
    updated_at: Seconds = 0.0


def record_arrival(arrivals: ArrivalCounts, rank: float, now: Seconds) -> None:
    """Count a request that came, whatever becomes of it."""
    decay = 0.5 ** ((now - arrivals.updated_at) / ARRIVAL_HALF_LIFE)
    for known in arrivals.counts:
        arrivals.counts[known] *= decay
    arrivals.updated_at = now
    if rank in arrivals.counts or len(arrivals.counts) < MAX_ARRIVAL_RANKS:
        arrivals.counts[rank] = arrivals.counts.get(rank, 0.0) + 1.0


def find_reserved_until(arrivals: ArrivalCounts, rank: float, run_ms: Milliseconds) -> Seconds:
    """Return until when a slot is kept from a request of `rank` whose run takes `run_ms`.

    Units: seconds of the owner's clock; minus infinity where none is kept.
    """
    count = sum(count for other, count in arrivals.counts.items() if other < rank)
    rate = count * math.log(2.0) / ARRIVAL_HALF_LIFE
    expected = rate * run_ms / MILLISECONDS_PER_SECOND
    if expected <= MAX_EXPECTED_ARRIVALS:
        return -math.inf
    return arrivals.updated_at + ARRIVAL_HALF_LIFE * math.log2(expected / MAX_EXPECTED_ARRIVALS)
