"""Score an upstream by the expected duration of the next request."""

from bendwind_core.core import MILLISECONDS_PER_SECOND, Milliseconds, Seconds
from bendwind_core.routing.table import TrackedUpstream, find_decayed_error_rate

# Time after which the weight of a report is halved.
REPORT_HALF_LIFE: Seconds = 0.3
# Load from other entry nodes counts by half: reports are stale, and every entry node receives the
# same ones.
REPORT_WEIGHT = 0.5
# Time without an answer after which half of the distance between an upstream's average latency and
# the median is removed, so that an upstream which was slow is tried again.
LATENCY_HALF_LIFE: Seconds = 0.2
# Weight of the error rate in the score.
ERROR_PENALTY = 30.0
# An upstream that is new to this node gets less than its share of requests for this time.
RAMP_UP_TIME: Seconds = 10.0
# The share that a new upstream starts with.
RAMP_UP_MIN_FACTOR = 0.1


def score(tracked: TrackedUpstream, median_latency_ms: Milliseconds, now: Seconds) -> float:
    """Return the expected time in the upstream, relative to others; lower is better.

    `median_latency_ms` is the median of the average latencies of the service's upstreams.
    """
    value = (1.0 + _estimate_load(tracked, now)) / (tracked.upstream.slots or 1)
    if median_latency_ms > 0.0:
        value *= _compute_slowdown(tracked, median_latency_ms, now)
    if now - tracked.first_seen_at < RAMP_UP_TIME:
        value /= _compute_ramp_up_factor(tracked, now)
    return value * (1.0 + ERROR_PENALTY * find_decayed_error_rate(tracked, now))


def _compute_slowdown(
    tracked: TrackedUpstream, median_latency_ms: Milliseconds, now: Seconds
) -> float:
    latency_ms = median_latency_ms
    excess_ms = tracked.latency_ms - median_latency_ms
    if excess_ms > 0.0:
        silence = now - tracked.answered_at
        latency_ms += excess_ms * 0.5 ** (silence / LATENCY_HALF_LIFE)
    if tracked.outstanding:
        # The age of the oldest outstanding attempt is newer information than any report.
        oldest_at = next(iter(tracked.outstanding.values()))
        latency_ms = max(latency_ms, (now - oldest_at) * MILLISECONDS_PER_SECOND)
    return latency_ms / median_latency_ms


def _estimate_load(tracked: TrackedUpstream, now: Seconds) -> float:
    own = len(tracked.outstanding)
    if tracked.reported_other_load == 0.0:
        return own
    age = now - tracked.reported_at
    return own + REPORT_WEIGHT * tracked.reported_other_load * 0.5 ** (age / REPORT_HALF_LIFE)


def _compute_ramp_up_factor(tracked: TrackedUpstream, now: Seconds) -> float:
    return max(RAMP_UP_MIN_FACTOR, (now - tracked.first_seen_at) / RAMP_UP_TIME)
