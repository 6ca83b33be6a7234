"""Choose the upstream for the next attempt."""

import random

from bendwind_core.core import Milliseconds, Seconds
from bendwind_core.routing.score import score
from bendwind_core.routing.table import UpstreamTable, UpstreamView, fade_error_rate
from bendwind_core.world import Policy, Upstream

# Power of d choices: the score is compared over this many random upstreams.
CHOICES = 4
# The median of the upstreams' averages is worked out anew after this time.
USUAL_REFRESH: Seconds = 0.010
# In overload a retry at an upstream whose queue was full this short a time ago is only work.
FULL_PAUSE: Seconds = 0.020
# A round trip to another data centre and back is worth a wait of this length.
BUSY_FROM: Seconds = 0.010
# An upstream that fails this share of its requests is no better for being near.
FAILING = 0.3

_NONE: frozenset[str] = frozenset()


def choose_upstream(
    policy: Policy,
    table: UpstreamTable,
    excluded: frozenset[str],
    now: Seconds,
    rng: random.Random,
    near: str | None = None,
    *,
    stays: bool = False,
    target_at: Seconds | None = None,
) -> Upstream | None:
    """Return an upstream that takes new requests and is not excluded, or None.

    A call that excludes some is a retry: it leaves out those whose queue has just been full too.
    With `near`, upstreams of that data centre go first unless they lately failed or are known to be
    busy while others are not. A request that `stays` goes further only where that data centre has
    no upstream that serves. A cold upstream that bears no further request until `target_at` is left
    out.
    """
    views = _find_candidates(table, excluded)
    if target_at is not None:
        views = [view for view in views if view.room_at <= max(now, target_at)]
    if excluded:
        views = [view for view in views if now - view.full_at >= FULL_PAUSE]
    nearby = views
    if near is not None:
        has_home = stays and bool(_list_near(_find_candidates(table, _NONE), near, now))
        nearby = _list_near(views, near, now) or ([] if has_home else views)
        views = nearby if has_home else views
    views = _prefer_free(nearby, views, now) if policy is Policy.SCORE else nearby
    if not views:
        return None
    if len(views) == 1:
        return views[0].upstream
    match policy:
        case Policy.SCORE:
            return _choose_by_score(table, views, now, rng).upstream
        case Policy.RANDOM:
            return rng.choice(views).upstream
        case Policy.ROUND_ROBIN:
            return _choose_in_turn(table, views).upstream
        case Policy.LEAST_IN_FLIGHT:
            return _choose_least_in_flight(views, rng).upstream


def _find_candidates(table: UpstreamTable, excluded: frozenset[str]) -> list[UpstreamView]:
    return [
        view for name, view in table.views.items() if not view.is_draining and name not in excluded
    ]


def _list_near(views: list[UpstreamView], near: str, now: Seconds) -> list[UpstreamView]:
    return [
        view
        for view in views
        if view.upstream.owner.data_centre == near and fade_error_rate(view, now) < FAILING
    ]


def _prefer_free(
    nearby: list[UpstreamView], views: list[UpstreamView], now: Seconds
) -> list[UpstreamView]:
    """Return the near ones unless all of them are known to be busy and others are not.

    Near first is a price: a way there and back is little beside a wait.
    """
    free = [view for view in nearby if view.free_at <= now + BUSY_FROM]
    free = free or [view for view in views if view.free_at <= now + BUSY_FROM]
    return free or nearby


def _choose_by_score(
    table: UpstreamTable, views: list[UpstreamView], now: Seconds, rng: random.Random
) -> UpstreamView:
    usual_ms = _find_usual_latency_ms(table, now)
    if len(views) > CHOICES:
        views = rng.sample(views, CHOICES)
    start = int(rng.random() * len(views))
    best, best_score = views[start], score(views[start], usual_ms, now)
    for view in views[start + 1 :] + views[:start]:
        view_score = score(view, usual_ms, now)
        if view_score < best_score:
            best, best_score = view, view_score
    return best


def _find_usual_latency_ms(table: UpstreamTable, now: Seconds) -> Milliseconds:
    if now - table.usual_at >= USUAL_REFRESH:
        table.usual_at = now
        known = sorted(view.latency_ms for view in table.views.values() if view.latency_ms > 0.0)
        table.usual_ms = known[(len(known) - 1) // 2] if known else 0.0
    return table.usual_ms


def _choose_in_turn(table: UpstreamTable, views: list[UpstreamView]) -> UpstreamView:
    view = views[table.next_turn % len(views)]
    table.next_turn += 1
    return view


def _choose_least_in_flight(views: list[UpstreamView], rng: random.Random) -> UpstreamView:
    rng.shuffle(views)
    return min(views, key=lambda view: len(view.outstanding))
