"""Describe one recorded event."""

from bendwind_core.core import Record
from bendwind_core.timeline.catalogue import EventKind


class Event(Record, frozen=True, array_like=True):
    """Hold one event with its hybrid logical time.

    Units: `physical_ms` is wall-clock time in milliseconds since 1970.
    Source: Kulkarni et al., "Logical Physical Clocks", 2014.
    """

    kind: EventKind
    instance: str
    physical_ms: int
    logical: int
    call: str = ""
    upstream: str = ""
    plan: str = ""
    detail: str = ""
