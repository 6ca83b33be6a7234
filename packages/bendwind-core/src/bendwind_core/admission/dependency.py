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
STEP_UP = 0.02
# Falling by so much for each run that succeeds, the share settles where one in six runs fails.
STEP_DOWN = 0.004
# What is let through even then tells when there is room again.
MOST_TURNED_AWAY = 0.9
# A share that no run has told of for so long is forgotten: slow phases and most bursts last less.
FORGET_AFTER: Seconds = 3.0
# Routes that lead to one service; of more, those noted first are forgotten.
MAX_ROUTES = 256


class TurnedAway(msgspec.Struct):
    """Hold the share of a route's requests that is turned away, and the part of one that is due.

    Units: `told_at` is when a run last told, in seconds of the owner's clock.
    """

    share: float = 0.0
    due: float = 0.0
    told_at: Seconds = 0.0


class Dependency(msgspec.Struct):
    """Hold what an owner knows of the calls that its upstream makes.

    Units: `refused_at` is when such a call was last refused, in seconds of the owner's clock.
    """

    refused_at: Seconds = -math.inf
    routes: dict[str, TurnedAway] = msgspec.field(default_factory=dict)


def note_call_refused(dependency: Dependency, now: Seconds) -> None:
    """Take notice that a call of the upstream was refused."""
    dependency.refused_at = now


def note_run_ended(
    dependency: Dependency, route: str, started_at: Seconds, now: Seconds, *, is_error: bool
) -> None:
    """Learn from a run: an error counts only if a call was refused while it ran."""
    if is_error:
        if dependency.refused_at >= started_at:
            _raise_share(dependency, route, now)
        return
    turned = _find_turned(dependency, route, now)
    if turned is None:
        return
    turned.told_at = now
    turned.share -= STEP_DOWN
    if turned.share <= 0.0:
        del dependency.routes[route]


def _raise_share(dependency: Dependency, route: str, now: Seconds) -> None:
    turned = _find_turned(dependency, route, now)
    if turned is None:
        if len(dependency.routes) >= MAX_ROUTES:
            dependency.routes.pop(next(iter(dependency.routes)))
        turned = dependency.routes[route] = TurnedAway()
    turned.told_at = now
    turned.share = min(MOST_TURNED_AWAY, turned.share + STEP_UP)


def _find_turned(dependency: Dependency, route: str, now: Seconds) -> TurnedAway | None:
    turned = dependency.routes.get(route)
    if turned is not None and now - turned.told_at > FORGET_AFTER:
        del dependency.routes[route]
        return None
    return turned


def turns_away(dependency: Dependency, route: str, now: Seconds) -> bool:
    """Tell whether the next request of a route is one of those turned away, and count it."""
    turned = _find_turned(dependency, route, now)
    if turned is None:
        return False
    turned.due += turned.share
    if turned.due < 1.0:
        return False
    turned.due -= 1.0
    return True
