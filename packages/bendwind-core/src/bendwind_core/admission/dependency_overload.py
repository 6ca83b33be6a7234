"""Turn requests away whose runs would fail because a service that they call has no room.

An upstream that calls another service ends its run with an error once its call is refused: the run
was for nothing, and its caller hears of it late. The owner of the upstream sees both, and turns a
share of the route's requests away before they run. The share rises with each such run and falls
with each that succeeds, so that it settles where few runs fail. The published way is an admission
level per request kind that the called service's replies move.

Source: Zhou et al., "Overload Control for Scaling WeChat Microservices", 2018.
"""

import math

import msgspec

from bendwind_core.core import Seconds

# A run tells only at its end, when others have begun: with steps five times as long the share
# swings, and a fifth of the room is left unused (model of runs of 0.7 s, 30 requests a second).
SHARE_INCREASE = 0.02
# Falling by so much for each run that succeeds, the share settles where one in six runs fails.
SHARE_DECREASE = 0.004
# What is let through even then tells when there is room again.
MAX_REFUSED_SHARE = 0.9
# A share that no run has told of for so long is forgotten: slow phases and most bursts last less.
SHARE_EXPIRY: Seconds = 3.0
# Routes that lead to one service; of more, those noted first are forgotten.
MAX_ROUTES = 256


class RouteRefusals(msgspec.Struct):
    """Hold the share of a route's requests that is turned away, and the part of one that is due.

    Units: `told_at` is when a run last told, in seconds of the owner's clock.
    """

    share: float = 0.0
    accumulated: float = 0.0
    updated_at: Seconds = 0.0


class DependencyOverload(msgspec.Struct):
    """Hold what an owner knows of the calls that its upstream makes.

    Units: `refused_at` is when such a call was last refused, in seconds of the owner's clock.
    """

    last_refused_at: Seconds = -math.inf
    routes: dict[str, RouteRefusals] = msgspec.field(default_factory=dict)


def record_refused_call(overload: DependencyOverload, now: Seconds) -> None:
    """Take notice that a call of the upstream was refused."""
    overload.last_refused_at = now


def record_run_end(
    overload: DependencyOverload, route: str, started_at: Seconds, now: Seconds, *, is_error: bool
) -> None:
    """Learn from a run: an error counts only if a call was refused while it ran."""
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
    """Tell whether the next request of a route is one of those turned away, and count it."""
    refusals = _find_refusals(overload, route, now)
    if refusals is None:
        return False
    refusals.accumulated += refusals.share
    if refusals.accumulated < 1.0:
        return False
    refusals.accumulated -= 1.0
    return True
