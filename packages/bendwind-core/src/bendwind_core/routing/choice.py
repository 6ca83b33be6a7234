"""Choose the upstream for the next attempt."""

import random

from bendwind_core.core import Milliseconds, Seconds
from bendwind_core.routing.score import score
from bendwind_core.routing.table import TrackedUpstream, UpstreamTable, find_decayed_error_rate
from bendwind_core.world import Policy, Upstream

# Power of d choices: the scores of this many randomly sampled upstreams are compared.
SAMPLE_SIZE = 4
# The median of the upstreams' average latencies is recomputed when it is older than this.
MEDIAN_REFRESH: Seconds = 0.010
# A retry avoids an upstream whose queue was full less than this time ago: in overload such a retry
# only adds work.
QUEUE_FULL_BACKOFF: Seconds = 0.020
# An upstream at which a request would wait longer than this counts as busy. A round trip to another
# data centre costs about as much as a wait of this length.
BUSY_THRESHOLD: Seconds = 0.010
# An upstream that fails at least this share of its requests is not preferred for being in the same
# data centre.
FAILING_ERROR_RATE = 0.3

_NONE: frozenset[str] = frozenset()


def choose_upstream(
    policy: Policy,
    table: UpstreamTable,
    excluded: frozenset[str],
    now: Seconds,
    rng: random.Random,
    near: str | None = None,
    *,
    stays_near: bool = False,
    target_at: Seconds | None = None,
) -> Upstream | None:
    """Return an upstream that accepts new requests and is not excluded, or None.

    A call with excluded upstreams is a retry: it also skips upstreams whose queue was full moments
    ago. With `near`, upstreams of that data centre are preferred, except those that failed recently
    and those known to be busy while others are not. With `stays_near`, the request leaves that data
    centre only if no upstream there serves requests. A cold upstream without capacity for a further
    request until `target_at` is skipped.
    """
    candidates = _find_candidates(table, excluded, now)
    if target_at is not None:
        candidates = [
            tracked for tracked in candidates if tracked.capacity_at <= max(now, target_at)
        ]
    if excluded:
        candidates = [
            tracked for tracked in candidates if now - tracked.queue_full_at >= QUEUE_FULL_BACKOFF
        ]
    nearby = candidates
    if near is not None:
        has_serving_nearby = stays_near and bool(
            _list_near(_find_candidates(table, _NONE, now), near, now)
        )
        nearby = _list_near(candidates, near, now) or ([] if has_serving_nearby else candidates)
        candidates = nearby if has_serving_nearby else candidates
    candidates = _prefer_free(nearby, candidates, now) if policy is Policy.SCORE else nearby
    if not candidates:
        return None
    if len(candidates) == 1:
        return candidates[0].upstream
    match policy:
        case Policy.SCORE:
            return _choose_by_score(table, candidates, now, rng).upstream
        case Policy.RANDOM:
            return rng.choice(candidates).upstream
        case Policy.ROUND_ROBIN:
            return _choose_round_robin(table, candidates).upstream
        case Policy.LEAST_IN_FLIGHT:
            return _choose_least_in_flight(candidates, rng).upstream


def _find_candidates(
    table: UpstreamTable, excluded: frozenset[str], now: Seconds
) -> list[TrackedUpstream]:
    return [
        tracked
        for name, tracked in table.upstreams.items()
        if tracked.is_usable(now) and name not in excluded
    ]


def _list_near(candidates: list[TrackedUpstream], near: str, now: Seconds) -> list[TrackedUpstream]:
    return [
        tracked
        for tracked in candidates
        if tracked.upstream.owner.data_centre == near
        and find_decayed_error_rate(tracked, now) < FAILING_ERROR_RATE
    ]


def _prefer_free(
    nearby: list[TrackedUpstream], candidates: list[TrackedUpstream], now: Seconds
) -> list[TrackedUpstream]:
    """Return the nearby upstreams that are free, else the free ones elsewhere.

    If all upstreams are known to be busy, return all nearby ones. Preferring nearby upstreams only
    saves a round trip, which is small compared with a wait.
    """
    free = [tracked for tracked in nearby if tracked.free_at <= now + BUSY_THRESHOLD]
    free = free or [tracked for tracked in candidates if tracked.free_at <= now + BUSY_THRESHOLD]
    return free or nearby


def _choose_by_score(
    table: UpstreamTable, candidates: list[TrackedUpstream], now: Seconds, rng: random.Random
) -> TrackedUpstream:
    median_latency_ms = _find_median_latency_ms(table, now)
    if len(candidates) > SAMPLE_SIZE:
        candidates = rng.sample(candidates, SAMPLE_SIZE)
    start = int(rng.random() * len(candidates))
    best, best_score = candidates[start], score(candidates[start], median_latency_ms, now)
    for tracked in candidates[start + 1 :] + candidates[:start]:
        candidate_score = score(tracked, median_latency_ms, now)
        if candidate_score < best_score:
            best, best_score = tracked, candidate_score
    return best


def _find_median_latency_ms(table: UpstreamTable, now: Seconds) -> Milliseconds:
    if now - table.median_at >= MEDIAN_REFRESH:
        table.median_at = now
        known = sorted(
            tracked.latency_ms for tracked in table.upstreams.values() if tracked.latency_ms > 0.0
        )
        table.median_latency_ms = known[(len(known) - 1) // 2] if known else 0.0
    return table.median_latency_ms


def _choose_round_robin(table: UpstreamTable, candidates: list[TrackedUpstream]) -> TrackedUpstream:
    tracked = candidates[table.round_robin_index % len(candidates)]
    table.round_robin_index += 1
    return tracked


def _choose_least_in_flight(
    candidates: list[TrackedUpstream], rng: random.Random
) -> TrackedUpstream:
    rng.shuffle(candidates)
    return min(candidates, key=lambda tracked: len(tracked.outstanding))
