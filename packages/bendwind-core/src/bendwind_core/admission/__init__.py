"""Decide which requests are worth taking; one module a policy."""

from bendwind_core.admission.dependency import (
    Dependency,
    note_call_refused,
    note_run_ended,
    turns_away,
)
from bendwind_core.admission.origins import Origins, is_inner_call, note_origin
from bendwind_core.admission.rate_limit import (
    LimitChange,
    RateLimit,
    find_rate,
    find_return_at,
    find_turn_at,
    forget,
    is_limited,
    note_carried,
    note_named,
    note_not_named,
    note_taken,
)
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
    "LimitChange",
    "Origins",
    "RankCounts",
    "RateLimit",
    "Request",
    "Returns",
    "WarmUp",
    "WarmUpLimits",
    "assume_cold",
    "find_kept_until",
    "find_rate",
    "find_return_at",
    "find_room_at",
    "find_starved_rank",
    "find_turn_at",
    "forget",
    "is_assumed_cold",
    "is_cold",
    "is_inner_call",
    "is_limited",
    "note_arrival",
    "note_asked",
    "note_call_refused",
    "note_carried",
    "note_named",
    "note_not_named",
    "note_offered",
    "note_origin",
    "note_refused",
    "note_run_ended",
    "note_sent",
    "note_started",
    "note_taken",
    "note_told",
    "take_began_at",
    "turns_away",
]
