"""Keep one voter's tokens of one customer.

Tokens that come back are put in only as far as they would be there had they never been taken:
otherwise tokens taken and given back over and over would let more than the cap gather.
"""

import collections

import msgspec

from bendwind_core.core import Seconds
from bendwind_core.quotas.bounds import Share

# Buckets hold parts of tokens, in tokens: what misses a whole one by this is rounding.
ROUNDING = 1e-9
# Peaks kept for one customer. Only those that no later one exceeds matter, which even at 1,000 asks
# a second are a few; without the oldest, tokens taken before it cannot be put back.
MAX_PEAKS = 64


class Peak(msgspec.Struct):
    """Hold how full the bucket was just before the taking of a number."""

    number: int
    level: float


class Bucket(msgspec.Struct):
    """Hold the tokens of a customer at a voter.

    Takings are numbered by the voter. `peaks` lists the highest levels since each of them, falling;
    what was taken before `known_from` can no longer be undone.
    """

    share: Share
    level: float
    filled_at: Seconds
    known_from: int
    peaks: collections.deque[Peak] = msgspec.field(default_factory=collections.deque)


def refill(bucket: Bucket, now: Seconds) -> None:
    """Add what came by time."""
    passed = max(0.0, now - bucket.filled_at)
    bucket.filled_at = max(bucket.filled_at, now)
    bucket.level = min(bucket.share.cap, bucket.level + bucket.share.rate * passed)


def set_share(bucket: Bucket, share: Share, next_number: int, now: Seconds) -> None:
    """Go on by a new quota; what is more than it permits is lost."""
    refill(bucket, now)
    bucket.share = share
    bucket.level = min(bucket.level, share.cap)
    # What an earlier cap would have cut cannot be told from the peaks.
    bucket.known_from = next_number
    bucket.peaks.clear()


def take(bucket: Bucket, amount: float, number: int, now: Seconds) -> None:
    """Take tokens, at most those that are there."""
    refill(bucket, now)
    _note_peak(bucket, number)
    bucket.level = max(0.0, bucket.level - amount)


def _note_peak(bucket: Bucket, number: int) -> None:
    peaks = bucket.peaks
    while peaks and peaks[-1].level <= bucket.level:
        peaks.pop()
    peaks.append(Peak(number, bucket.level))
    if len(peaks) > MAX_PEAKS:
        # The newer peaks say nothing of what was before them.
        bucket.known_from = peaks.popleft().number


def put_back(bucket: Bucket, amount: float, number: int, now: Seconds) -> float:
    """Undo a taking or a part of it; return how many tokens came back."""
    refill(bucket, now)
    if number < bucket.known_from:
        return 0.0
    # Only peaks after the taking count: what would have flowed over since then stays lost.
    later = [peak for peak in bucket.peaks if peak.number > number]
    highest = max((peak.level for peak in later), default=0.0)
    back = min(amount, bucket.share.cap - max(highest, bucket.level))
    if back <= 0:
        return 0.0
    for peak in later:
        peak.level += back
    bucket.level += back
    _order_peaks(bucket)
    return back


def _order_peaks(bucket: Bucket) -> None:
    falling: collections.deque[Peak] = collections.deque()
    for peak in bucket.peaks:
        while falling and falling[-1].level <= peak.level:
            falling.pop()
        falling.append(peak)
    bucket.peaks = falling


def find_wait(bucket: Bucket, amount: float, now: Seconds) -> Seconds:
    """Return how long it takes until so many tokens are there, if nobody takes any."""
    refill(bucket, now)
    return max(0.0, amount - bucket.level) / bucket.share.rate
