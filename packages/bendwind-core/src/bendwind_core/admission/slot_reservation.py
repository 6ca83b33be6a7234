"""Reserve the last free slot for more urgent requests where they are likely to arrive.

A run is not interrupted. A less urgent run in the last slot therefore blocks each more urgent
request that arrives before it ends, so that it has to wait if enough of those arrived recently. As
soon as they cease, the idle slot is open to less urgent requests again.
"""

import math

import msgspec

from bendwind_core.core import MILLISECONDS_PER_SECOND, Milliseconds, Seconds

# Half-life of the counted arrivals: a burst counts as over one second after its last request.
ARRIVAL_HALF_LIFE: Seconds = 1.0
# The slot is reserved if more than this number of more urgent requests is expected during the run
# of the less urgent one. With a lower number slots stay idle; with a higher one less urgent
# callers may be served first.
MAX_EXPECTED_ARRIVALS = 3.0
# The slot is released this long after the last more urgent request, however many there were. What
# arrived in one instant says little about how many will arrive seconds later.
MAX_RESERVATION: Seconds = 6 * ARRIVAL_HALF_LIFE
# Number of ranks that are counted separately. Configurations have only a few.
MAX_ARRIVAL_RANKS = 64


class ArrivalCounts(msgspec.Struct):
    """Hold the decayed number of recent requests of each rank, as of `updated_at`.

    `last_at` holds the time of the last request of each rank.
    """

    counts: dict[float, float] = msgspec.field(default_factory=dict)
    last_at: dict[float, Seconds] = msgspec.field(default_factory=dict)
    updated_at: Seconds = 0.0


def record_arrival(arrivals: ArrivalCounts, rank: float, now: Seconds) -> None:
    """Count a request that arrived, whether or not it is accepted."""
    decay = 0.5 ** ((now - arrivals.updated_at) / ARRIVAL_HALF_LIFE)
    for counted_rank in arrivals.counts:
        arrivals.counts[counted_rank] *= decay
    arrivals.updated_at = now
    if rank in arrivals.counts or len(arrivals.counts) < MAX_ARRIVAL_RANKS:
        arrivals.counts[rank] = arrivals.counts.get(rank, 0.0) + 1.0
        arrivals.last_at[rank] = now


def find_reserved_until(arrivals: ArrivalCounts, rank: float, run_ms: Milliseconds) -> Seconds:
    """Return until when a request of `rank` whose run takes `run_ms` may not use the last slot.

    Units: seconds of the owner's clock; minus infinity if no slot is reserved.
    """
    count = sum(count for other_rank, count in arrivals.counts.items() if other_rank < rank)
    rate = count * math.log(2.0) / ARRIVAL_HALF_LIFE
    expected = rate * run_ms / MILLISECONDS_PER_SECOND
    if expected <= MAX_EXPECTED_ARRIVALS:
        return -math.inf
    last_at = max(at for other_rank, at in arrivals.last_at.items() if other_rank < rank)
    faded_at = arrivals.updated_at + ARRIVAL_HALF_LIFE * math.log2(expected / MAX_EXPECTED_ARRIVALS)
    return min(faded_at, last_at + MAX_RESERVATION)
