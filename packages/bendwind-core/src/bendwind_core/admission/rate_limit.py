"""Keep the rate limit that an upstream names in its answers.

Load pattern: an upstream in need names how many requests a second it takes from all nodes together,
for as long as it says so, while callers go on offering many times as much.

The node beside the upstream is the only one that sends to it, so the limit is kept where the sum is
known, with no message a request. A bucket fills at the named rate. It is empty when the limit
becomes known: an earlier life of this process, or another owner, may have spent it.
"""

import enum
import math

import msgspec

from bendwind_core.core import Seconds

# Requests that may go out at once after a pause; it bears timers that fire late.
BURST = 2.0
# An upstream that takes nothing is still sent a request every four seconds: only an answer can say
# that its limit has ended, and these few are within what any limit allows.
MIN_RATE_PER_S = 0.25
# While a former owner may still send at the full rate, the new one sends at half of it: together
# they stay within one and a half times the limit, and their bursts within four requests more.
TAKEOVER_SHARE = 0.5
# An answer that was read this shortly after a newer one may have been overtaken by it.
REORDER_WINDOW: Seconds = 0.25
# Waits are computed and compared in floating point; without it a timer may fire for nothing.
_TOKEN_TOLERANCE = 1e-6


class LimitChange(enum.StrEnum):
    """Say what became of an upstream's rate limit."""

    NAMED = "named"
    CHANGED = "changed"
    CARRIED = "carried over"
    LIFTED = "lifted"
    FORGOTTEN = "forgotten"


class RateLimit(msgspec.Struct):
    """Hold an upstream's rate limit and what of it is left.

    `is_heard` says that an answer of this run was read; until then `per_second` may be what an
    entry node had heard before. `named_at` is when the newest request was sent whose answer named
    a limit, `newest_at` that of the newest whose answer was read, `read_at` when that was.
    `alone_from` is when no former owner can send any more. `told_until` is the time up to which
    refused attempts were told to come back.
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
    """Hear the limit that an answer named, to a request that was sent at a time."""
    is_reordered = sent_at < limit.newest_sent_at and now - limit.newest_read_at < REORDER_WINDOW
    limit.has_read_answer = True
    if is_reordered:
        return None
    limit.named_sent_at = max(limit.named_sent_at, sent_at)
    _record_read(limit, sent_at, now)
    return _set_rate(limit, per_second, now, LimitChange.NAMED)


def record_no_limit(limit: RateLimit, sent_at: Seconds, now: Seconds) -> LimitChange | None:
    """Hear that an answer named no limit; it ends one if its request was sent after the last."""
    limit.has_read_answer = True
    is_later = sent_at > limit.named_sent_at
    if sent_at >= limit.newest_sent_at:
        _record_read(limit, sent_at, now)
    if limit.per_second is None or not is_later:
        return None
    limit.per_second = None
    return LimitChange.LIFTED


def record_carried_limit(limit: RateLimit, per_second: float, now: Seconds) -> LimitChange | None:
    """Hear from an entry node which limit it had heard of; the upstream's own word goes first."""
    if limit.has_read_answer:
        return None
    limit.named_sent_at = now
    return _set_rate(limit, per_second, now, LimitChange.CARRIED)


def reset_rate_limit(limit: RateLimit) -> LimitChange | None:
    """Turn to another run of the upstream, which begins without a limit."""
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
    """Tell whether the upstream has named a limit that holds."""
    return limit.per_second is not None


def find_reported_limit(limit: RateLimit) -> float | None:
    """Return what entry nodes are told: None where this run has named no limit since its start.

    Units: requests a second; infinite once a limit has ended.
    """
    if limit.per_second is None and limit.has_read_answer and limit.named_sent_at > -math.inf:
        return math.inf
    return limit.per_second


def consume_token(limit: RateLimit, now: Seconds) -> None:
    """Note that a request goes out, whether it had waited for its turn or not."""
    if is_limited(limit):
        limit.tokens = max(-BURST, _count_tokens(limit, now) - 1.0)
        limit.refilled_at = now


def find_send_rate(limit: RateLimit, now: Seconds) -> float:
    """Return how many requests a second may go out now; only where there is a limit."""
    rate = max(MIN_RATE_PER_S, limit.per_second)
    return rate * TAKEOVER_SHARE if now < limit.alone_from else rate


def find_limited_send_at(limit: RateLimit, ahead: int, now: Seconds) -> Seconds:
    """Return when a request may go out that has so many others ahead of it."""
    if not is_limited(limit):
        return now
    missing = 1.0 + ahead - _count_tokens(limit, now)
    if missing <= _TOKEN_TOLERANCE:
        return now
    send_at = now + missing / find_send_rate(limit, now)
    if send_at <= limit.alone_from or now >= limit.alone_from:
        return send_at
    # From then on the whole limit is this owner's.
    missing -= (limit.alone_from - now) * find_send_rate(limit, now)
    return limit.alone_from + missing / find_send_rate(limit, limit.alone_from)


def assign_retry_at(limit: RateLimit, now: Seconds, max_delay: Seconds) -> Seconds:
    """Return when a refused caller should come back: each a turn later than the one before.

    Told the same moment, all would come back at once, and all but one be refused again.
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
