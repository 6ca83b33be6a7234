"""Score an upstream by the time the next request is expected to take there."""

from bendwind_core.core import MILLISECONDS_PER_SECOND, Milliseconds, Seconds
from bendwind_core.routing.table import UpstreamView, fade_error_rate

# After this time half of a report's weight is gone.
REPORT_HALF_TIME: Seconds = 0.3
# What others send is counted by half: reports are stale and every entry node sees the same ones.
REPORT_WEIGHT = 0.5
# After this time without an answer half of an average's distance from the usual is gone, so that
# an upstream which was slow is tried again.
LATENCY_HALF_TIME: Seconds = 0.2
ERROR_PENALTY = 30.0
RAMP_UP: Seconds = 10.0
RAMP_START = 0.1


def score(view: UpstreamView, usual_ms: Milliseconds, now: Seconds) -> float:
    """Return the expected time in the upstream, relative to others; lower is better.

    `usual_ms` is the latency that the service's upstreams usually have.
    """
    value = (1.0 + _expected_load(view, now)) / (view.upstream.slots or 1)
    if usual_ms > 0.0:
        value *= _slowness(view, usual_ms, now)
    if now - view.seen_at < RAMP_UP:
        value /= _warmth(view, now)
    return value * (1.0 + ERROR_PENALTY * fade_error_rate(view, now))


def _slowness(view: UpstreamView, usual_ms: Milliseconds, now: Seconds) -> float:
    latency_ms = usual_ms
    excess_ms = view.latency_ms - usual_ms
    if excess_ms > 0.0:
        silence = now - view.answered_at
        latency_ms += excess_ms * 0.5 ** (silence / LATENCY_HALF_TIME)
    if view.outstanding:
        # No report is as fresh as the age of an attempt that has not come back.
        oldest_at = next(iter(view.outstanding.values()))
        latency_ms = max(latency_ms, (now - oldest_at) * MILLISECONDS_PER_SECOND)
    return latency_ms / usual_ms


def _expected_load(view: UpstreamView, now: Seconds) -> float:
    own = len(view.outstanding)
    if view.reported_others == 0.0:
        return own
    age = now - view.reported_at
    return own + REPORT_WEIGHT * view.reported_others * 0.5 ** (age / REPORT_HALF_TIME)


def _warmth(view: UpstreamView, now: Seconds) -> float:
    return max(RAMP_START, (now - view.seen_at) / RAMP_UP)
