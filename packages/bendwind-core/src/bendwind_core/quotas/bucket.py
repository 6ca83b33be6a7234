"""Keep one voter's tokens of one customer.

A refund restores only the tokens that the bucket would still hold without the withdrawal. Otherwise
repeated withdrawals and refunds would accumulate more tokens than the cap permits.
"""

import collections

import msgspec

from bendwind_core.core import Seconds
from bendwind_core.quotas.bounds import Share

# Buckets hold fractions of tokens. A shortfall of at most this many tokens is a rounding error.
ROUNDING_TOLERANCE = 1e-9
# Peaks kept for one customer. Only peaks that no later one exceeds matter; even at 1,000 quota
# requests a second these are few. If the oldest peak is discarded, tokens withdrawn before it
# cannot be refunded.
MAX_PEAKS = 64


class Peak(msgspec.Struct):
    """Hold the level of the bucket immediately before the withdrawal with this number."""

    number: int
    level: float


class Bucket(msgspec.Struct):
    """Hold the tokens of a customer at a voter.

    The voter numbers withdrawals. `peaks` lists the highest levels since each withdrawal, in
    falling order; withdrawals before number `refundable_from` can no longer be refunded.
    """

    share: Share
    level: float
    refilled_at: Seconds
    refundable_from: int
    peaks: collections.deque[Peak] = msgspec.field(default_factory=collections.deque)


def refill(bucket: Bucket, now: Seconds) -> None:
    """Add the tokens that have accrued since the last refill."""
    passed = max(0.0, now - bucket.refilled_at)
    bucket.refilled_at = max(bucket.refilled_at, now)
    bucket.level = min(bucket.share.cap, bucket.level + bucket.share.rate * passed)


def set_share(bucket: Bucket, share: Share, next_number: int, now: Seconds) -> None:
    """Apply a changed quota; tokens above its cap are lost."""
    refill(bucket, now)
    bucket.share = share
    bucket.level = min(bucket.level, share.cap)
    # The peaks do not show how many tokens an earlier cap would have discarded.
    bucket.refundable_from = next_number
    bucket.peaks.clear()


def withdraw(bucket: Bucket, amount: float, number: int, now: Seconds) -> None:
    """Withdraw tokens, at most as many as the bucket holds."""
    refill(bucket, now)
    _record_peak(bucket, number)
    bucket.level = max(0.0, bucket.level - amount)


def _record_peak(bucket: Bucket, number: int) -> None:
    peaks = bucket.peaks
    while peaks and peaks[-1].level <= bucket.level:
        peaks.pop()
    peaks.append(Peak(number, bucket.level))
    if len(peaks) > MAX_PEAKS:
        # The newer peaks do not show the levels before them.
        bucket.refundable_from = peaks.popleft().number


def refund(bucket: Bucket, amount: float, number: int, now: Seconds) -> float:
    """Undo a withdrawal or a part of it; return how many tokens were restored."""
    refill(bucket, now)
    if number < bucket.refundable_from:
        return 0.0
    # Only peaks after the withdrawal count. Tokens that would have overflowed the cap since then
    # stay lost.
    later = [peak for peak in bucket.peaks if peak.number > number]
    highest = max((peak.level for peak in later), default=0.0)
    restored = min(amount, bucket.share.cap - max(highest, bucket.level))
    if restored <= 0:
        return 0.0
    for peak in later:
        peak.level += restored
    bucket.level += restored
    _remove_exceeded_peaks(bucket)
    return restored


def _remove_exceeded_peaks(bucket: Bucket) -> None:
    falling: collections.deque[Peak] = collections.deque()
    for peak in bucket.peaks:
        while falling and falling[-1].level <= peak.level:
            falling.pop()
        falling.append(peak)
    bucket.peaks = falling


def find_wait(bucket: Bucket, amount: float, now: Seconds) -> Seconds:
    """Return the time until the bucket holds `amount` tokens, if none are withdrawn."""
    refill(bucket, now)
    return max(0.0, amount - bucket.level) / bucket.share.rate
