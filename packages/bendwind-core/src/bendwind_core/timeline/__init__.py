"""Offer the time line: numbered events with hybrid logical clocks."""

from bendwind_core.timeline.catalogue import EventKind
from bendwind_core.timeline.event import Event
from bendwind_core.timeline.recorder import Recorder

__all__ = ["Event", "EventKind", "Recorder"]
