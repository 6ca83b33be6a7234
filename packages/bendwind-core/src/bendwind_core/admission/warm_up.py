"""Bound what a cold upstream is sent, and tell when it has room for one more request.

Load pattern: the upstreams of a service come back together, cold, while callers press. Loaded as
if warm they fall over, start again cold and fall over again, so that the service never comes back.

The node beside an upstream is the only one that sends to it, so the bound is kept where it is
exact. An upstream that is not known to be warm counts as cold: it may have started a moment ago.
Requests are spaced evenly, so that the bound holds in any second, also in one during which this
process was killed and started again: neither life sends sooner than one space after the other.
"""

import math

import msgspec

from bendwind_core.core import MILLISECONDS_PER_SECOND, Milliseconds, Record, Seconds
from bendwind_core.world import WarmUpRule

# The bound is stated for any span of one second; one request may take a little longer on its way
# to the upstream, which is on the same instance, than the one after it.
SPACING_WINDOW: Seconds = 1.05


class WarmUpLimits(Record, frozen=True, array_like=True):
    """State by how much a service's warm-up rate may be exceeded in any second.

    Units: `overage` is a factor of the rate, `slack` a number of requests.
    """

    overage: float = 1.0
    slack: float = 1.0


class WarmUpState(msgspec.Struct):
    """Hold what is known of how warm an upstream is, and when it was sent the last request.

    `assumed_at` is when it was last taken for cold without being told so, None once it has told.
    `sent_at` begins with the start of this process: its earlier life may have sent one just before.
    """

    limits: WarmUpLimits = WarmUpLimits()
    rule: WarmUpRule | None = None
    cold_until: Seconds = -math.inf
    assumed_cold_at: Seconds | None = None
    last_sent_at: Seconds = -math.inf


def assume_cold(warm_up: WarmUpState, now: Seconds) -> None:
    """Take an upstream for cold until it says otherwise or has had the time to warm up."""
    warm_up.assumed_cold_at = now


def record_cold_announcement(warm_up: WarmUpState, left_ms: Milliseconds, now: Seconds) -> None:
    """Note how much longer the upstream stays cold by a message that may be old.

    A late one makes the time longer than it is, never shorter, so that the longest told holds.
    """
    warm_up.cold_until = max(warm_up.cold_until, now + left_ms / MILLISECONDS_PER_SECOND)


def record_cold_reply(
    warm_up: WarmUpState, left_ms: Milliseconds, asked_at: Seconds, now: Seconds
) -> None:
    """Note how much longer the upstream stays cold by its answer to a question."""
    record_cold_announcement(warm_up, left_ms, now)
    if warm_up.assumed_cold_at is not None and asked_at >= warm_up.assumed_cold_at:
        warm_up.assumed_cold_at = None


def is_assumed_cold(warm_up: WarmUpState, now: Seconds) -> bool:
    """Tell whether the upstream counts as cold only because nothing is known of it."""
    if warm_up.rule is None or warm_up.assumed_cold_at is None:
        return False
    return now < warm_up.assumed_cold_at + warm_up.rule.seconds


def is_cold(warm_up: WarmUpState, now: Seconds) -> bool:
    """Tell whether the upstream has to be spared."""
    if warm_up.rule is None:
        return False
    return now < warm_up.cold_until or is_assumed_cold(warm_up, now)


def record_request_sent(warm_up: WarmUpState, now: Seconds) -> None:
    """Note that a request went out, also to a warm upstream: it may turn cold at any moment."""
    warm_up.last_sent_at = now


def find_cold_send_at(
    warm_up: WarmUpState, ahead: int, now: Seconds, *, has_unsent: bool = False
) -> Seconds:
    """Return when a request may go out that has so many others ahead of it.

    `has_unsent` says that one is still waiting for a connection, and may go out at any moment.
    """
    if not is_cold(warm_up, now):
        return now
    spacing = find_spacing(warm_up.rule, warm_up.limits)
    last = now if has_unsent else warm_up.last_sent_at
    send_at = max(now, last + spacing) + ahead * spacing
    return min(send_at, max(now, _find_warm_at(warm_up)))


def find_spacing(rule: WarmUpRule, limits: WarmUpLimits) -> Seconds:
    """Return the time between two requests by which any second holds no more than it may."""
    most = max(1, math.floor(rule.per_second * limits.overage + limits.slack))
    return SPACING_WINDOW / most


def _find_warm_at(warm_up: WarmUpState) -> Seconds:
    assumed_until = -math.inf
    if warm_up.assumed_cold_at is not None:
        assumed_until = warm_up.assumed_cold_at + warm_up.rule.seconds
    return max(warm_up.cold_until, assumed_until)
