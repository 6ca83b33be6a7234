"""Record a process's events into a bounded buffer."""

import collections
import logging

from bendwind_core.timeline.catalogue import EventKind
from bendwind_core.timeline.event import Event

_LOG = logging.getLogger("bendwind")


class Recorder:
    """Own a process's bounded buffer of events and its hybrid logical clock."""

    __slots__ = ("events", "instance", "logical", "physical_ms", "wall_ms")

    def __init__(self, instance: str, wall_ms, capacity: int):
        self.instance = instance
        self.wall_ms = wall_ms
        self.events: collections.deque[Event] = collections.deque(maxlen=capacity)
        self.physical_ms = 0
        self.logical = 0

    def record(
        self, kind: EventKind, *, call: str = "", upstream: str = "", plan: str = "", detail=""
    ) -> Event:
        """Append an event stamped after every event recorded or observed before it."""
        self._advance(self.wall_ms())
        event = Event(
            kind, self.instance, self.physical_ms, self.logical, call, upstream, plan, detail
        )
        self.events.append(event)
        _LOG.debug("%d %s %s", kind, kind.name, event)
        return event

    def _advance(self, wall_ms: int) -> None:
        if wall_ms > self.physical_ms:
            self.physical_ms = wall_ms
            self.logical = 0
        else:
            self.logical += 1
