"""Bound what a cold upstream is sent, and tell when it has room for one more request.

Load pattern: the upstreams of a service come back together, cold, while callers press. Loaded as
if warm they fall over, start again cold and fall over again, so that the service never comes back.

The node beside an upstream is the only one that sends to it, so the bound is kept where it is
exact. An upstream that is not known to be warm counts as cold: it may have started a moment ago.
"""

import collections
import math

import msgspec

from bendwind_core.core import MILLISECONDS_PER_SECOND, Milliseconds, Record, Seconds
from bendwind_core.world import WarmUpRule

# The bound is stated for any span of one second; one request may take a little longer on its way
# to the upstream, which is on the same instance, than the one after it.
SPAN: Seconds = 1.05


class WarmUpLimits(Record, frozen=True, array_like=True):
    """State by how much a service's warm-up rate may be exceeded in any second.

    Units: `overage` is a factor of the rate, `slack` a number of requests.
    """

    overage: float = 1.0
    slack: float = 1.0


class WarmUp(msgspec.Struct):
    """Hold what is known of how warm an upstream is, and what it was sent in the last second.

    `assumed_at` is when it was last taken for cold without being told so, None once it has told.
    `started_at` is when this process started: an earlier run of it may have sent all that the
    bound permits until then.
    """

    limits: WarmUpLimits = WarmUpLimits()
    rule: WarmUpRule | None = None
    cold_until: Seconds = -math.inf
    assumed_at: Seconds | None = None
    started_at: Seconds = -math.inf
    sent: collections.deque[Seconds] = msgspec.field(default_factory=collections.deque)


def assume_cold(warm_up: WarmUp, now: Seconds) -> None:
    """Take an upstream for cold until it says otherwise or has had the time to warm up."""
    warm_up.assumed_at = now


def note_told(warm_up: WarmUp, left_ms: Milliseconds, now: Seconds) -> None:
    """Note how much longer the upstream stays cold by a message that may be old.

    A late one makes the time longer than it is, never shorter, so that the longest told holds.
    """
    warm_up.cold_until = max(warm_up.cold_until, now + left_ms / MILLISECONDS_PER_SECOND)


def note_asked(warm_up: WarmUp, left_ms: Milliseconds, asked_at: Seconds, now: Seconds) -> None:
    """Note how much longer the upstream stays cold by its answer to a question."""
    note_told(warm_up, left_ms, now)
    if warm_up.assumed_at is not None and asked_at >= warm_up.assumed_at:
        warm_up.assumed_at = None


def is_assumed_cold(warm_up: WarmUp, now: Seconds) -> bool:
    """Tell whether the upstream counts as cold only because nothing is known of it."""
    if warm_up.rule is None or warm_up.assumed_at is None:
        return False
    return now < warm_up.assumed_at + warm_up.rule.seconds


def is_cold(warm_up: WarmUp, now: Seconds) -> bool:
    """Tell whether the upstream has to be spared."""
    if warm_up.rule is None:
        return False
    return now < warm_up.cold_until or is_assumed_cold(warm_up, now)


def note_sent(warm_up: WarmUp, now: Seconds) -> None:
    """Note that a request went out, also to a warm upstream: it may turn cold at any moment."""
    if warm_up.rule is None:
        return
    warm_up.sent.append(now)
    while len(warm_up.sent) > _find_limit(warm_up):
        warm_up.sent.popleft()


def find_room_at(warm_up: WarmUp, unsent: int, ahead: int, now: Seconds) -> Seconds:
    """Return when a request may go out that has so many others ahead of it.

    `unsent` is how many requests are still waiting for a connection: they will count in the second
    in which they go out.
    """
    if not is_cold(warm_up, now):
        return now
    limit = _find_limit(warm_up)
    turns, place = divmod(ahead, limit)
    recent = [at for at in warm_up.sent if at > now - SPAN] + [now] * unsent
    # Each request takes the place, a second later, of the one sent `limit` requests before it.
    replaced = len(recent) + place - limit
    free_at = recent[replaced] + SPAN if replaced >= 0 else now
    room_at = max(now, free_at, warm_up.started_at + SPAN) + turns * SPAN
    return min(room_at, max(now, _find_warm_at(warm_up)))


def _find_limit(warm_up: WarmUp) -> int:
    """Return how many requests a cold upstream may be sent in any second."""
    limits = warm_up.limits
    return max(1, math.floor(warm_up.rule.per_second * limits.overage + limits.slack))


def _find_warm_at(warm_up: WarmUp) -> Seconds:
    assumed_until = -math.inf
    if warm_up.assumed_at is not None:
        assumed_until = warm_up.assumed_at + warm_up.rule.seconds
    return max(warm_up.cold_until, assumed_until)
