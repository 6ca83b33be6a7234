"""Measure how long requests wait at an upstream while another one is reported to be free."""

from bendwind_core.core import Seconds
from bendwind_core.routing.table import TrackedUpstream, UpstreamTable

# A shorter wait costs the caller no more than the round trips to a few other upstreams.
MAX_SHORT_WAIT: Seconds = 0.020


def record_wait(table: UpstreamTable, name: str, began_at: Seconds, ended_at: Seconds) -> None:
    """Count a request's wait at an upstream from the time at which another one was free.

    Another one counts from its first report of being free if all its reports until the end of the
    wait say so and one of them arrived during the wait. Between reports nothing is known of it, so
    that the count is a lower bound.
    """
    if ended_at - began_at <= MAX_SHORT_WAIT:
        return
    free_since = [
        max(began_at, tracked.free_since)
        for tracked in table.upstreams.values()
        if tracked.upstream.name != name and _was_free_during(tracked, began_at)
    ]
    waited = ended_at - min(free_since, default=ended_at)
    if waited > MAX_SHORT_WAIT:
        table.avoidable_waits.requests += 1
        table.avoidable_waits.total += waited


def _was_free_during(tracked: TrackedUpstream, began_at: Seconds) -> bool:
    is_free = tracked.is_open and tracked.free_since is not None
    return is_free and tracked.reported_at >= began_at
