"""Score an upstream by the time the next request is expected to take there."""

from bendwind_core.core import MILLISECONDS_PER_SECOND, Milliseconds, Seconds
from bendwind_core.routing.table import UpstreamView

# After this time half of a report's weight is gone.
REPORT_HALF_LIFE: Seconds = 0.1
# An attempt older than this many usual latencies speaks for a slow-down.
SUSPECT_FACTOR = 3.0
ERROR_PENALTY = 30.0
RAMP_UP: Seconds = 10.0
RAMP_START = 0.1
UNKNOWN_LATENCY_MS: Milliseconds = 1.0


def score(view: UpstreamView, usual_ms: Milliseconds, now: Seconds) -> float:
    """Return the expected time in the upstream, relative to others; lower is better.

    `usual_ms` is the latency that the service's upstreams usually have.
    """
    latency_ms = _expected_latency_ms(view, usual_ms, now)
    load = _expected_load(view, now) / max(1, view.upstream.slots)
    penalty = 1.0 + ERROR_PENALTY * view.error_rate
    return latency_ms * (1.0 + load) * penalty / _warmth(view, now)


def _expected_latency_ms(view: UpstreamView, usual_ms: Milliseconds, now: Seconds) -> Milliseconds:
    latency_ms = view.latency_ms or usual_ms or UNKNOWN_LATENCY_MS
    if not view.outstanding:
        return latency_ms
    oldest_ms = (now - next(iter(view.outstanding.values()))) * MILLISECONDS_PER_SECOND
    if oldest_ms > SUSPECT_FACTOR * usual_ms:
        return max(latency_ms, oldest_ms)
    return latency_ms


def _expected_load(view: UpstreamView, now: Seconds) -> float:
    age = now - view.reported_at
    others = view.reported_others / (1.0 + age / REPORT_HALF_LIFE)
    return len(view.outstanding) + others


def _warmth(view: UpstreamView, now: Seconds) -> float:
    age = now - view.seen_at
    if age >= RAMP_UP:
        return 1.0
    return max(RAMP_START, age / RAMP_UP)
