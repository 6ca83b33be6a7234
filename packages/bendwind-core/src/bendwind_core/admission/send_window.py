"""Count the requests that an upstream was sent in the last second.

The limit of a cold upstream holds in any second, and an upstream may turn cold at any moment. So
each request that is sent is recorded, whatever was believed of the upstream at that time.

A process that starts does not know what an earlier run of it has sent, nor can the upstream tell.
So each run keeps to fewer requests in one or two steps of the period than in the whole, and begins
as if an earlier run had sent all that it might: this leaves it a share of the limit for each step
since its start. Requests that are spaced evenly fill the limit all the same.
"""

import collections
import math

import msgspec

from bendwind_core.core import Seconds

# Period in which as many requests are sent as the limit allows in one second. It is a little longer
# than a second, since one request may take a little longer than the next one to reach the upstream,
# which is on the same instance.
SPACING_WINDOW: Seconds = 1.05
# So many times the limit is remembered. A believed upstream may be sent as much within the period,
# the limit for each time that requests take to arrive.
KEPT_LIMITS = 24
_ONE_SECOND: Seconds = 1.0
# About as long as a process takes from its start until it can send a request.
STEP: Seconds = 0.35
# So many steps make up the `SPACING_WINDOW`.
STEPS = 3
# One of so many requests is left to a following run in each step.
LIMIT_PER_LEFT_REQUEST = 8


class SendWindow(msgspec.Struct):
    """Hold when requests were sent in the last `SPACING_WINDOW`, the oldest first.

    Those that were proven to have reached a warm upstream are left out. An earlier run of this
    process may have sent requests until `earlier_until`.
    """

    sent_at: collections.deque[Seconds] = msgspec.field(default_factory=collections.deque)
    earlier_until: Seconds = -math.inf


def find_step_limit(limit: int, step: int = 1) -> int:
    """Return how many requests may be sent in a time of so many steps."""
    return limit - (STEPS - step) * (limit // LIMIT_PER_LEFT_REQUEST)


def has_earlier_sends(window: SendWindow, now: Seconds) -> bool:
    """Return whether what an earlier run of this process sent still counts."""
    return now < window.earlier_until + SPACING_WINDOW


def count_earlier_sends(window: SendWindow, limit: int, now: Seconds) -> int:
    """Return how many requests an earlier run of this process may have sent in the last period."""
    if not has_earlier_sends(window, now):
        return 0
    steps = math.floor(max(0.0, now - window.earlier_until) / STEP)
    return limit - steps * (limit // LIMIT_PER_LEFT_REQUEST)


def find_earlier_room_at(window: SendWindow, limit: int) -> Seconds:
    """Return when an earlier run of this process leaves room for the first request."""
    return window.earlier_until + (STEP if limit >= LIMIT_PER_LEFT_REQUEST else SPACING_WINDOW)


def record_send(window: SendWindow, limit: int, now: Seconds) -> None:
    """Record a request that is sent now, be it for the first time or again."""
    drop_old_sends(window, now)
    window.sent_at.append(now)
    if len(window.sent_at) > KEPT_LIMITS * limit:
        window.sent_at.popleft()


def drop_old_sends(window: SendWindow, now: Seconds) -> None:
    """Drop the requests that were sent so long ago that they share no second with one sent now."""
    sent_at = window.sent_at
    while sent_at and sent_at[0] + SPACING_WINDOW <= now:
        sent_at.popleft()


def drop_sends_between(window: SendWindow, since: Seconds, until: Seconds) -> None:
    """Drop the requests that were sent in a period, since they reached a warm upstream."""
    if window.sent_at and window.sent_at[0] <= until:
        kept = (at for at in window.sent_at if not since <= at <= until)
        window.sent_at = collections.deque(kept)


def count_sends_in_last_second(window: SendWindow, since: Seconds, now: Seconds) -> int:
    """Return how many requests were sent in the last second, but not before `since`."""
    count = 0
    for at in reversed(window.sent_at):
        if at < since or at < now - _ONE_SECOND:
            break
        count += 1
    return count


def find_send(window: SendWindow, since: Seconds, number: int) -> Seconds | None:
    """Return when the `number`-th request from `since` on was sent, None if there are fewer."""
    for at in window.sent_at:
        number -= at >= since
        if not number:
            return at
    return None


def find_room_at(window: SendWindow, unsent: int, ahead: int, limit: int, now: Seconds) -> Seconds:
    """Return when a request may be sent so that no window holds more than the limit.

    `unsent` requests may be sent at any moment, and `ahead` others are sent first. The time is
    exact without others ahead, and may be too early with them.
    """
    drop_old_sends(window, now)
    return max(
        _find_step_room_at(window, unsent, ahead, limit, step, now) for step in range(1, STEPS + 1)
    )


def _find_step_room_at(
    window: SendWindow, unsent: int, ahead: int, limit: int, step: int, now: Seconds
) -> Seconds:
    """Return when a request may be sent so that no time of so many steps holds too many.

    Each request has to wait until the one that was sent so many requests before it is old enough.
    """
    step_limit = find_step_limit(limit, step)
    periods = ahead // step_limit + 1
    number = periods * step_limit - ahead
    sent_at = now if number <= unsent else _find_sent_at(window, number - unsent, limit)
    return max(now + (periods - 1) * step * STEP, sent_at + periods * step * STEP)


def _find_sent_at(window: SendWindow, number: int, limit: int) -> Seconds:
    """Return when the `number`-th request from the last one on was sent, or may have been."""
    sent = len(window.sent_at)
    if number <= sent:
        return window.sent_at[-number]
    for step in range(STEPS):
        if number - sent <= find_step_limit(limit, step + 1):
            return window.earlier_until - step * STEP
    return -math.inf
