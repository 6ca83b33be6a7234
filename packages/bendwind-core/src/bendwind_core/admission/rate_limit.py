"""Enforce the rate limit that an upstream states in its answers, with a token bucket.

Load pattern: an overloaded upstream states how many requests a second it accepts from all nodes
together. The limit holds as long as its answers state it, while callers continue to send many times
as much.

The node beside the upstream is the only one that sends to it, so that this node knows the total
without a message for each request. The bucket fills at the stated rate. It starts empty when the
limit becomes known: a previous run of this process, or another owner, may have used it up.
"""

import enum
import math

import msgspec

from bendwind_core.core import Seconds

# Number of requests that may be sent at once after a pause. It compensates for late timers.
BURST = 2.0
# An upstream whose limit is lower, or zero, still receives one request every four seconds: only an
# answer can show that its limit has ended. So few requests are within what any limit allows.
MIN_RATE_PER_S = 0.25
# While a former owner may still send at the full rate, the new owner sends at this share of it.
# Together they stay within one and a half times the limit, plus four requests for their bursts.
TAKEOVER_SHARE = 0.5
# An answer to an older request that is read within this time after the answer to a newer one may
# be out of order, and its limit outdated.
REORDER_WINDOW: Seconds = 0.25
# Waits are computed and compared in floating point. Without a tolerance, a timer may fire slightly
# before the token is complete, and its wake-up would be wasted.
_TOKEN_TOLERANCE = 1e-6


class LimitChange(enum.StrEnum):
    """Name a change of an upstream's rate limit."""

    NAMED = "named"
    CHANGED = "changed"
    CARRIED = "carried over"
    LIFTED = "lifted"
    FORGOTTEN = "forgotten"


class RateLimit(msgspec.Struct):
    """Hold an upstream's rate limit and its token bucket.

    `has_read_answer` is true once an answer of the upstream's present run was read. Until then
    `per_second` may be a limit that an entry node knew of before. `named_sent_at` is the send time
    of the newest request whose answer stated a limit, `newest_sent_at` the send time of the newest
    request whose answer was read, and `newest_read_at` when that answer was read. From
    `alone_from` on, no former owner can send to the upstream any more. `refilled_at` is when
    `tokens` was last computed. `last_retry_at` is the latest time at which a refused caller was
    asked to retry.
    Units: `per_second` in requests a second, None without a limit; `tokens` in requests.
    """

    per_second: float | None = None
    has_read_answer: bool = False
    named_sent_at: Seconds = -math.inf
    newest_sent_at: Seconds = -math.inf
    newest_read_at: Seconds = -math.inf
    alone_from: Seconds = -math.inf
    tokens: float = 0.0
    refilled_at: Seconds = -math.inf
    last_retry_at: Seconds = -math.inf


def record_named_limit(
    limit: RateLimit, per_second: float, sent_at: Seconds, now: Seconds
) -> LimitChange | None:
    """Record the limit that the answer to a request sent at `sent_at` states."""
    is_reordered = sent_at < limit.newest_sent_at and now - limit.newest_read_at < REORDER_WINDOW
    limit.has_read_answer = True
    if is_reordered:
        return None
    limit.named_sent_at = max(limit.named_sent_at, sent_at)
    _record_read(limit, sent_at, now)
    return _set_rate(limit, per_second, now, LimitChange.NAMED)


def record_no_limit(limit: RateLimit, sent_at: Seconds, now: Seconds) -> LimitChange | None:
    """Record that an answer stated no limit.

    This ends the limit if the request was sent after the newest one whose answer stated a limit.
    """
    limit.has_read_answer = True
    is_later = sent_at > limit.named_sent_at
    if sent_at >= limit.newest_sent_at:
        _record_read(limit, sent_at, now)
    if limit.per_second is None or not is_later:
        return None
    limit.per_second = None
    return LimitChange.LIFTED


def record_carried_limit(limit: RateLimit, per_second: float, now: Seconds) -> LimitChange | None:
    """Record a limit that an entry node knows of; an answer of the upstream takes precedence."""
    if limit.has_read_answer:
        return None
    limit.named_sent_at = now
    return _set_rate(limit, per_second, now, LimitChange.CARRIED)


def reset_rate_limit(limit: RateLimit) -> LimitChange | None:
    """Remove the limit, since a new run of the upstream starts without one."""
    had_one = limit.per_second is not None
    limit.per_second = None
    limit.has_read_answer = False
    limit.named_sent_at = limit.newest_sent_at = limit.newest_read_at = -math.inf
    return LimitChange.FORGOTTEN if had_one else None


def _record_read(limit: RateLimit, sent_at: Seconds, now: Seconds) -> None:
    limit.newest_sent_at = max(limit.newest_sent_at, sent_at)
    limit.newest_read_at = now


def _set_rate(
    limit: RateLimit, per_second: float, now: Seconds, initial_change: LimitChange
) -> LimitChange | None:
    previous = limit.per_second
    if previous == per_second:
        return None
    if previous is None:
        limit.tokens = 0.0
        limit.last_retry_at = now
    else:
        limit.tokens = _count_tokens(limit, now)
    limit.refilled_at = now
    limit.per_second = per_second
    return initial_change if previous is None else LimitChange.CHANGED


def is_limited(limit: RateLimit) -> bool:
    """Return whether a limit of the upstream is in force."""
    return limit.per_second is not None


def find_reported_limit(limit: RateLimit) -> float | None:
    """Return the limit reported to entry nodes, None if this run never stated one.

    Units: requests a second; infinite once a limit has ended.
    """
    if limit.per_second is None and limit.has_read_answer and limit.named_sent_at > -math.inf:
        return math.inf
    return limit.per_second


def consume_token(limit: RateLimit, now: Seconds) -> None:
    """Consume a token for a request that is sent, whether or not the bucket held one for it."""
    if is_limited(limit):
        limit.tokens = max(-BURST, _count_tokens(limit, now) - 1.0)
        limit.refilled_at = now


def find_send_rate(limit: RateLimit, now: Seconds) -> float:
    """Return how many requests a second may be sent now; requires a limit."""
    rate = max(MIN_RATE_PER_S, limit.per_second)
    return rate * TAKEOVER_SHARE if now < limit.alone_from else rate


def find_limited_send_at(limit: RateLimit, ahead: int, now: Seconds) -> Seconds:
    """Return when a request may be sent that has `ahead` others before it."""
    if not is_limited(limit):
        return now
    missing = 1.0 + ahead - _count_tokens(limit, now)
    if missing <= _TOKEN_TOLERANCE:
        return now
    send_at = now + missing / find_send_rate(limit, now)
    if send_at <= limit.alone_from or now >= limit.alone_from:
        return send_at
    # From `alone_from` on this owner may use the whole limit.
    missing -= (limit.alone_from - now) * find_send_rate(limit, now)
    return limit.alone_from + missing / find_send_rate(limit, limit.alone_from)


def assign_retry_at(limit: RateLimit, now: Seconds, max_delay: Seconds) -> Seconds:
    """Return when a refused caller should retry, one request interval after the previous caller.

    If all had the same retry time, all would retry at once, and all but one would be refused again.
    """
    retry_at = max(
        find_limited_send_at(limit, 0, now), limit.last_retry_at + 1.0 / find_send_rate(limit, now)
    )
    limit.last_retry_at = min(retry_at, now + max_delay)
    return limit.last_retry_at


def _count_tokens(limit: RateLimit, now: Seconds) -> float:
    spans = (
        (limit.refilled_at, min(now, limit.alone_from)),
        (max(limit.refilled_at, limit.alone_from), now),
    )
    earned = sum(
        (end - begin) * find_send_rate(limit, begin) for begin, end in spans if end > begin
    )
    return min(BURST, limit.tokens + earned)
