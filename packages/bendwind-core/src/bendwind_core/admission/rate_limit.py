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
LEAST_PER_S = 0.25
# While a former owner may still send at the full rate, the new one sends at half of it: together
# they stay within one and a half times the limit, and their bursts within four requests more.
SHARE_BESIDE_FORMER = 0.5
# An answer that was read this shortly after a newer one may have been overtaken by it.
OVERTAKING: Seconds = 0.25
# Waits are computed and compared in floating point; without it a timer may fire for nothing.
_ROUNDING = 1e-6


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
    is_heard: bool = False
    named_at: Seconds = -math.inf
    newest_at: Seconds = -math.inf
    read_at: Seconds = -math.inf
    alone_from: Seconds = -math.inf
    tokens: float = 0.0
    counted_at: Seconds = -math.inf
    told_until: Seconds = -math.inf


def note_named(
    limit: RateLimit, per_second: float, sent_at: Seconds, now: Seconds
) -> LimitChange | None:
    """Hear the limit that an answer named, to a request that was sent at a time."""
    is_overtaken = sent_at < limit.newest_at and now - limit.read_at < OVERTAKING
    limit.is_heard = True
    if is_overtaken:
        return None
    limit.named_at = max(limit.named_at, sent_at)
    _note_read(limit, sent_at, now)
    return _set(limit, per_second, now, LimitChange.NAMED)


def note_not_named(limit: RateLimit, sent_at: Seconds, now: Seconds) -> LimitChange | None:
    """Hear that an answer named no limit; it ends one if its request was sent after the last."""
    limit.is_heard = True
    is_later = sent_at > limit.named_at
    if sent_at >= limit.newest_at:
        _note_read(limit, sent_at, now)
    if limit.per_second is None or not is_later:
        return None
    limit.per_second = None
    return LimitChange.LIFTED


def note_carried(limit: RateLimit, per_second: float, now: Seconds) -> LimitChange | None:
    """Hear from an entry node which limit it had heard of; the upstream's own word goes first."""
    if limit.is_heard:
        return None
    limit.named_at = now
    return _set(limit, per_second, now, LimitChange.CARRIED)


def forget(limit: RateLimit) -> LimitChange | None:
    """Turn to another run of the upstream, which begins without a limit."""
    had_one = limit.per_second is not None
    limit.per_second = None
    limit.is_heard = False
    limit.named_at = limit.newest_at = limit.read_at = -math.inf
    return LimitChange.FORGOTTEN if had_one else None


def _note_read(limit: RateLimit, sent_at: Seconds, now: Seconds) -> None:
    limit.newest_at = max(limit.newest_at, sent_at)
    limit.read_at = now


def _set(
    limit: RateLimit, per_second: float, now: Seconds, first: LimitChange
) -> LimitChange | None:
    before = limit.per_second
    if before == per_second:
        return None
    if before is None:
        limit.tokens = 0.0
        limit.told_until = now
    else:
        limit.tokens = _count_tokens(limit, now)
    limit.counted_at = now
    limit.per_second = per_second
    return first if before is None else LimitChange.CHANGED


def is_limited(limit: RateLimit) -> bool:
    """Tell whether the upstream has named a limit that holds."""
    return limit.per_second is not None


def find_told_limit(limit: RateLimit) -> float | None:
    """Return what entry nodes are told: None where this run has named no limit since its start.

    Units: requests a second; infinite once a limit has ended.
    """
    if limit.per_second is None and limit.is_heard and limit.named_at > -math.inf:
        return math.inf
    return limit.per_second


def note_taken(limit: RateLimit, now: Seconds) -> None:
    """Note that a request goes out, whether it had waited for its turn or not."""
    if is_limited(limit):
        limit.tokens = max(-BURST, _count_tokens(limit, now) - 1.0)
        limit.counted_at = now


def find_rate(limit: RateLimit, now: Seconds) -> float:
    """Return how many requests a second may go out now; only where there is a limit."""
    rate = max(LEAST_PER_S, limit.per_second)
    return rate * SHARE_BESIDE_FORMER if now < limit.alone_from else rate


def find_turn_at(limit: RateLimit, ahead: int, now: Seconds) -> Seconds:
    """Return when a request may go out that has so many others ahead of it."""
    if not is_limited(limit):
        return now
    missing = 1.0 + ahead - _count_tokens(limit, now)
    if missing <= _ROUNDING:
        return now
    turn_at = now + missing / find_rate(limit, now)
    if turn_at <= limit.alone_from or now >= limit.alone_from:
        return turn_at
    # From then on the whole limit is this owner's.
    missing -= (limit.alone_from - now) * find_rate(limit, now)
    return limit.alone_from + missing / find_rate(limit, limit.alone_from)


def tell_return_at(limit: RateLimit, now: Seconds, longest: Seconds) -> Seconds:
    """Return when a refused caller should come back: each a turn later than the one before.

    Told the same moment, all would come back at once, and all but one be refused again.
    """
    turn_at = max(find_turn_at(limit, 0, now), limit.told_until + 1.0 / find_rate(limit, now))
    limit.told_until = min(turn_at, now + longest)
    return limit.told_until


def _count_tokens(limit: RateLimit, now: Seconds) -> float:
    spans = (
        (limit.counted_at, min(now, limit.alone_from)),
        (max(limit.counted_at, limit.alone_from), now),
    )
    earned = sum((end - begin) * find_rate(limit, begin) for begin, end in spans if end > begin)
    return min(BURST, limit.tokens + earned)
