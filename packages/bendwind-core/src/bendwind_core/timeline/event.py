"""Describe one recorded event."""

from bendwind_core.core import Record
from bendwind_core.timeline.catalogue import EventKind
from bendwind_core.timeline.clock import HybridTime
from bendwind_core.timeline.facts import Facts


class Event(Record, frozen=True, array_like=True):
    """Hold one event with its hybrid logical time.

    `request` is the caller's own id of its request, `facts` what decided about it.
    Units: `physical_ms` is wall-clock time in milliseconds since 1970; `monotonic_us` is the
    process's steady clock in microseconds, comparable within one run of one process only.
    """

    kind: EventKind
    instance: str
    physical_ms: int
    logical: int
    call: str = ""
    upstream: str = ""
    plan: str = ""
    detail: str = ""
    monotonic_us: int = 0
    request: str = ""
    facts: Facts | None = None

    @property
    def time(self) -> HybridTime:
        """Return the hybrid logical time of the event."""
        return HybridTime(self.physical_ms, self.logical)
