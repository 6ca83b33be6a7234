"""Tell how long a caller has been trying, from the time that it still has.

A caller that comes back after a refusal states what is left of its time, so that its request looks
like a new one though its answer would be late already. The timeouts that many requests of a route
state are those that callers begin with; one between them is what is left of the next longer one.
"""

import math

import msgspec

from bendwind_core.core import Milliseconds

# Timeouts that differ by less than this share are taken as the same; a caller's milliseconds on the
# way to the node are below it.
BUCKET_WIDTH = 0.02
# A timeout that so many of a route's requests state is one that callers begin with. What is left
# after a refusal differs from caller to caller, and even where each comes back twice a third of
# all requests are first ones.
BEGIN_SHARE = 0.2
# Once so many were seen the older ones count by half.
MOST_SEEN = 128

_LOG_WIDTH = math.log1p(BUCKET_WIDTH)


class Patience(msgspec.Struct):
    """Count the timeouts that the requests of one route stated lately, in buckets of like ones.

    Units: `longest` holds the longest timeout of each bucket, in milliseconds.
    """

    counts: dict[int, float] = msgspec.field(default_factory=dict)
    longest: dict[int, Milliseconds] = msgspec.field(default_factory=dict)
    seen: float = 0.0


def note_timeout(patience: Patience, timeout_ms: Milliseconds) -> None:
    """Count the timeout of one request."""
    bucket = _find_bucket(timeout_ms)
    patience.counts[bucket] = patience.counts.get(bucket, 0.0) + 1.0
    patience.longest[bucket] = max(timeout_ms, patience.longest.get(bucket, 0.0))
    patience.seen += 1.0
    if patience.seen >= MOST_SEEN:
        _age(patience)


def _find_bucket(timeout_ms: Milliseconds) -> int:
    return round(math.log(timeout_ms) / _LOG_WIDTH)


def _age(patience: Patience) -> None:
    patience.counts = {bucket: n / 2 for bucket, n in patience.counts.items() if n >= 1.0}
    patience.longest = {bucket: patience.longest[bucket] for bucket in patience.counts}
    patience.seen = sum(patience.counts.values())


def find_elapsed_ms(patience: Patience, timeout_ms: Milliseconds) -> Milliseconds:
    """Return how long the caller has been trying that states this timeout, 0 where unknown."""
    own = _find_bucket(timeout_ms)
    # A timeout at the edge of a bucket falls now into one and now into the next.
    begun = [
        bucket for bucket in patience.counts if bucket >= own - 1 and _begins(patience, bucket)
    ]
    if not begun:
        return 0.0
    nearest = min(begun)
    return 0.0 if nearest <= own + 1 else max(0.0, patience.longest[nearest] - timeout_ms)


def _begins(patience: Patience, bucket: int) -> bool:
    alike = [patience.counts.get(near, 0.0) for near in (bucket - 1, bucket, bucket + 1)]
    is_middle = patience.counts[bucket] == max(alike)
    return is_middle and sum(alike) >= BEGIN_SHARE * patience.seen
