"""Refuse requests whose runs would fail because a service that they call has no capacity.

An upstream that calls another service ends its run with an error once its call is refused: the run
was wasted, and its caller receives the error late. The owner of the upstream sees both the refused
call and the error, and refuses a share of the route's requests before they run. The share rises
with each such run and falls with each run that succeeds, so that it settles where few runs fail.
The published method instead has an admission level for each kind of request, which the replies of
the called service adjust.

Source: Zhou et al., "Overload Control for Scaling WeChat Microservices", 2018.
"""

import math

import msgspec

from bendwind_core.core import Seconds

# Added to the share for each run that fails. The result of a run is known only at its end, when
# other runs have already started: with steps five times as large the share oscillates, and a fifth
# of the capacity stays unused (model with runs of 0.7 s and 30 requests a second).
SHARE_INCREASE = 0.02
# Subtracted from the share for each run that succeeds. With this ratio to the increase the share
# settles where one in six runs fails.
SHARE_DECREASE = 0.004
# Largest share of requests that is refused. The others still run, so that their results show when
# the called service has capacity again.
MAX_REFUSED_SHARE = 0.9
# A share that no run has updated for this time is removed. Slow phases and most bursts are shorter.
SHARE_EXPIRY: Seconds = 3.0
# Number of routes of one service for which a share is kept. Beyond it the oldest are removed.
MAX_ROUTES = 256


class RouteRefusals(msgspec.Struct):
    """Hold the share of a route's requests that is refused.

    `accumulated` sums the share over the requests; each time that it reaches 1, one is refused.
    Units: `updated_at` is when a run last updated the share, in seconds of the owner's clock.
    """

    share: float = 0.0
    accumulated: float = 0.0
    updated_at: Seconds = 0.0


class DependencyOverload(msgspec.Struct):
    """Hold what an owner knows about refused calls of its upstream, and the refusals by route.

    Units: `last_refused_at` is when a call of the upstream was last refused, in seconds of the
    owner's clock.
    """

    last_refused_at: Seconds = -math.inf
    routes: dict[str, RouteRefusals] = msgspec.field(default_factory=dict)


def record_refused_call(overload: DependencyOverload, now: Seconds) -> None:
    """Record that a call of the upstream was refused."""
    overload.last_refused_at = now


def record_run_end(
    overload: DependencyOverload, route: str, started_at: Seconds, now: Seconds, *, is_error: bool
) -> None:
    """Update the share by the result of a run; an error counts if a call was refused during it."""
    if is_error:
        if overload.last_refused_at >= started_at:
            _raise_share(overload, route, now)
        return
    refusals = _find_refusals(overload, route, now)
    if refusals is None:
        return
    refusals.updated_at = now
    refusals.share -= SHARE_DECREASE
    if refusals.share <= 0.0:
        del overload.routes[route]


def _raise_share(overload: DependencyOverload, route: str, now: Seconds) -> None:
    refusals = _find_refusals(overload, route, now)
    if refusals is None:
        if len(overload.routes) >= MAX_ROUTES:
            overload.routes.pop(next(iter(overload.routes)))
        refusals = overload.routes[route] = RouteRefusals()
    refusals.updated_at = now
    refusals.share = min(MAX_REFUSED_SHARE, refusals.share + SHARE_INCREASE)


def _find_refusals(overload: DependencyOverload, route: str, now: Seconds) -> RouteRefusals | None:
    refusals = overload.routes.get(route)
    if refusals is not None and now - refusals.updated_at > SHARE_EXPIRY:
        del overload.routes[route]
        return None
    return refusals


def should_refuse_for_dependency(overload: DependencyOverload, route: str, now: Seconds) -> bool:
    """Return whether the next request of a route is to be refused, and count the request."""
    refusals = _find_refusals(overload, route, now)
    if refusals is None:
        return False
    refusals.accumulated += refusals.share
    if refusals.accumulated < 1.0:
        return False
    refusals.accumulated -= 1.0
    return True
