"""Define the record of one event."""

from bendwind_core.core import Record
from bendwind_core.timeline.catalogue import EventKind
from bendwind_core.timeline.clock import HybridTime
from bendwind_core.timeline.facts import Facts


class Event(Record, frozen=True, array_like=True):
    """Hold one event with its hybrid logical time.

    `request` is the id that the caller gave its request. `facts` holds the values that decided its
    outcome.
    Units: `physical_ms` is wall-clock time in milliseconds since 1970; `monotonic_us` is the
    process's monotonic clock in microseconds, which is comparable only within one run of a process.
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
