"""Decide by rank who is served where there is too little room, and that nobody starves.

Load pattern: lasting overload. The more urgent goes first; but a rank that was served much less
often than all together gets the next slot, so that strict order starves nobody.

The callers' bound is that each kind is served at least a quarter as often as all. What is counted
here are requests that were offered to wait or run at this upstream, and those that were started.
"""

import msgspec

from bendwind_core.core import Seconds

# A rank whose requests start less often than this, as a share of how often all do, goes first. The
# bound that callers are promised is a quarter; a twentieth more, since what is offered is counted
# at one upstream and may go to another one.
MIN_SERVED_RATIO = 0.3
# Counts fade by half in so long: longer than requests run and wait, shorter than what a caller
# would call starving.
COUNT_HALF_LIFE: Seconds = 10.0
# So many requests of a rank tell how often it is served; of fewer, none may have had its turn yet.
MIN_OFFERED = 3.0
# Ranks that are counted apart; configurations state a few.
MAX_RANKS = 64


class RankCount(msgspec.Struct):
    """Count one rank's requests that were offered and started, faded to a time."""

    offered: float = 0.0
    started: float = 0.0
    updated_at: Seconds = 0.0


class RankCounts(msgspec.Struct):
    """Hold how often the requests of each rank were offered and started lately."""

    ranks: dict[float, RankCount] = msgspec.field(default_factory=dict)


def record_offered(counts: RankCounts, rank: float, now: Seconds) -> None:
    """Count a request that would wait or run."""
    count = _find_count(counts, rank, now)
    if count is not None:
        count.offered += 1.0


def record_started(counts: RankCounts, rank: float, now: Seconds) -> None:
    """Count a request that was started."""
    count = _find_count(counts, rank, now)
    if count is not None:
        count.started += 1.0


def _find_count(counts: RankCounts, rank: float, now: Seconds) -> RankCount | None:
    count = counts.ranks.get(rank)
    if count is None:
        if len(counts.ranks) >= MAX_RANKS:
            return None
        count = counts.ranks[rank] = RankCount(updated_at=now)
    _decay_count(count, now)
    return count


def _decay_count(count: RankCount, now: Seconds) -> None:
    decay = 0.5 ** ((now - count.updated_at) / COUNT_HALF_LIFE)
    count.offered *= decay
    count.started *= decay
    count.updated_at = now


def find_starved_rank(counts: RankCounts, now: Seconds) -> float | None:
    """Return the rank that has to go first since it was served too seldom, or None."""
    for count in counts.ranks.values():
        _decay_count(count, now)
    offered = sum(count.offered for count in counts.ranks.values())
    if not offered:
        return None
    overall_ratio = sum(count.started for count in counts.ranks.values()) / offered
    served_ratios = {
        rank: count.started / count.offered
        for rank, count in counts.ranks.items()
        if count.offered >= MIN_OFFERED
    }
    worst = min(served_ratios, key=lambda rank: (served_ratios[rank], rank), default=None)
    if worst is None or served_ratios[worst] >= MIN_SERVED_RATIO * overall_ratio:
        return None
    return worst
