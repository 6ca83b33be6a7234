"""Decide which requests are worth taking; one module a policy."""

from bendwind_core.admission.dependency import (
    Dependency,
    note_call_refused,
    note_run_ended,
    turns_away,
)
from bendwind_core.admission.origins import Origins, is_inner_call, note_origin
from bendwind_core.admission.reserve import Arrivals, find_kept_until, note_arrival
from bendwind_core.admission.returns import (
    CallerTime,
    Request,
    Returns,
    note_refused,
    take_began_at,
)
from bendwind_core.admission.room import (
    RankCounts,
    find_starved_rank,
    note_offered,
    note_started,
)
from bendwind_core.admission.warm_up import (
    WarmUp,
    WarmUpLimits,
    assume_cold,
    find_room_at,
    is_assumed_cold,
    is_cold,
    note_asked,
    note_sent,
    note_told,
)

__all__ = [
    "Arrivals",
    "CallerTime",
    "Dependency",
    "Origins",
    "RankCounts",
    "Request",
    "Returns",
    "WarmUp",
    "WarmUpLimits",
    "assume_cold",
    "find_kept_until",
    "find_room_at",
    "find_starved_rank",
    "is_assumed_cold",
    "is_cold",
    "is_inner_call",
    "note_arrival",
    "note_asked",
    "note_call_refused",
    "note_offered",
    "note_origin",
    "note_refused",
    "note_run_ended",
    "note_sent",
    "note_started",
    "note_told",
    "take_began_at",
    "turns_away",
]
