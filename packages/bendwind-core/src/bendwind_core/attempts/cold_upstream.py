"""Query an upstream that may be cold, and report how near the requests to it came to its limit."""

from bendwind_core.admission import find_warm_up_query_at, record_query
from bendwind_core.attempts.owner_events import ColdPeakRose, OwnerEffect, QueryWarmUp
from bendwind_core.attempts.owner_state import OwnerState
from bendwind_core.core import Seconds
from bendwind_core.world import UpstreamState

# Peaks of requests to a cold upstream are reported from this many requests below the limit on.
COLD_PEAK_MARGIN = 2


def _find_query_at(owner_state: OwnerState, now: Seconds) -> Seconds | None:
    if owner_state.is_unreachable or owner_state.state is UpstreamState.GONE:
        return None
    return find_warm_up_query_at(owner_state.warm_up, now)


def _report_cold_peak(owner_state: OwnerState, effects: list[OwnerEffect]) -> None:
    """Report a new peak of requests in a second to a cold upstream if it is near the limit."""
    warm_up = owner_state.warm_up
    if warm_up.cold_peak <= warm_up.reported_peak:
        return
    warm_up.reported_peak = warm_up.cold_peak
    if warm_up.cold_peak >= warm_up.limit - COLD_PEAK_MARGIN:
        effects.append(ColdPeakRose(warm_up.cold_peak, warm_up.limit))


def watch_cold_upstream(owner_state: OwnerState, now: Seconds, effects: list[OwnerEffect]) -> None:
    """Query the upstream if it has to prove that it is warm, and report a peak of requests."""
    query_at = _find_query_at(owner_state, now)
    if query_at is not None and query_at <= now:
        record_query(owner_state.warm_up.proof, now)
        effects.append(QueryWarmUp())
    _report_cold_peak(owner_state, effects)


def next_warm_up_query(owner_state: OwnerState, now: Seconds) -> Seconds | None:
    """Return when to query the upstream for the attempts that wait, or None."""
    return _find_query_at(owner_state, now) if owner_state.waiting else None
