"""Offer the time line: numbered events with hybrid logical clocks."""

from bendwind_core.timeline.catalogue import EventKind
from bendwind_core.timeline.clock import HybridClock, HybridTime
from bendwind_core.timeline.event import Event
from bendwind_core.timeline.levels import find_level
from bendwind_core.timeline.merge import EventFilter, find_kind, merge_events, select_events
from bendwind_core.timeline.recorder import Recorder

__all__ = [
    "Event",
    "EventFilter",
    "EventKind",
    "HybridClock",
    "HybridTime",
    "Recorder",
    "find_kind",
    "find_level",
    "merge_events",
    "select_events",
]
