"""Prevent the starvation of less urgent ranks where the capacity is too small for all requests.

Load pattern: lasting overload. More urgent requests are served first. But a rank whose requests
are served much less often than those of all ranks together gets the next slot, so that strict
priority starves no rank.

The bound promised to callers is that each kind of request is served at least a quarter as often as
all requests. The counts here are of requests that were offered to this upstream to wait or run, and
of those that were started.
"""

import msgspec

from bendwind_core.core import Seconds

# A rank is served first if the share of its requests that start is less than this part of the share
# of all requests that start. The bound promised to callers is a quarter. A twentieth is added,
# since a request that is counted as offered to one upstream may be served by another one.
MIN_SERVED_RATIO = 0.3
# Half-life of the counts: longer than requests run and wait, shorter than a time that a caller
# would regard as starvation.
COUNT_HALF_LIFE: Seconds = 10.0
# Number of offered requests from which the share of a rank is evaluated. Of fewer requests, none
# may have been due to start yet.
MIN_OFFERED = 3.0
# Number of ranks that are counted separately. Configurations have only a few.
MAX_RANKS = 64


class RankCount(msgspec.Struct):
    """Hold the decayed numbers of one rank's offered and started requests, as of `updated_at`."""

    offered: float = 0.0
    started: float = 0.0
    updated_at: Seconds = 0.0


class RankCounts(msgspec.Struct):
    """Hold how many requests of each rank were offered and started recently."""

    ranks: dict[float, RankCount] = msgspec.field(default_factory=dict)


def record_offered(counts: RankCounts, rank: float, now: Seconds) -> None:
    """Count a request that was offered to the upstream, to wait or to run."""
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
    """Return the rank that is served first because it was served too seldom, or None."""
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
