"""Provide the timeline: numbered events that are stamped by hybrid logical clocks."""

from bendwind_core.timeline.catalogue import EventKind
from bendwind_core.timeline.clock import HybridClock, HybridTime
from bendwind_core.timeline.event import Event
from bendwind_core.timeline.explain import AttemptTime, CallTime, explain_call, find_attempts
from bendwind_core.timeline.facts import (
    AttemptFacts,
    CallFacts,
    DispatchFacts,
    EndFacts,
    Facts,
    RefusalFacts,
    UnansweredFacts,
)
from bendwind_core.timeline.levels import find_level
from bendwind_core.timeline.log_line import LogLine, read_log_line
from bendwind_core.timeline.merge import EventFilter, find_kind, merge_events, select_events
from bendwind_core.timeline.recorder import Recorder
from bendwind_core.timeline.render import render_event, render_explanation

__all__ = [
    "AttemptFacts",
    "AttemptTime",
    "CallFacts",
    "CallTime",
    "DispatchFacts",
    "EndFacts",
    "Event",
    "EventFilter",
    "EventKind",
    "Facts",
    "HybridClock",
    "HybridTime",
    "LogLine",
    "Recorder",
    "RefusalFacts",
    "UnansweredFacts",
    "explain_call",
    "find_attempts",
    "find_kind",
    "find_level",
    "merge_events",
    "read_log_line",
    "render_event",
    "render_explanation",
    "select_events",
]
