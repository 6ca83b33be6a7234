"""Record a process's events into a bounded buffer."""

import collections
import logging
from collections.abc import Callable

from bendwind_core.timeline.catalogue import EventKind
from bendwind_core.timeline.clock import HybridClock, HybridTime
from bendwind_core.timeline.event import Event
from bendwind_core.timeline.levels import find_level

_LOG = logging.getLogger("bendwind")
_MICROSECONDS_PER_MILLISECOND = 1000


class Recorder:
    """Own a process's bounded buffer of events and its hybrid logical clock.

    `counts` holds how often each event was recorded, those no longer in the buffer included.
    """

    __slots__ = ("clock", "counts", "events", "instance", "monotonic_us")

    def __init__(
        self,
        instance: str,
        wall_ms: Callable[[], int],
        capacity: int,
        monotonic_us: Callable[[], int] | None = None,
    ):
        self.instance = instance
        self.clock = HybridClock(wall_ms)
        self.events: collections.deque[Event] = collections.deque(maxlen=capacity)
        self.monotonic_us = monotonic_us or (lambda: wall_ms() * _MICROSECONDS_PER_MILLISECOND)
        self.counts: collections.Counter[EventKind] = collections.Counter()

    @property
    def dropped(self) -> int:
        """Count the events that newer ones pushed out of the buffer."""
        return self.counts.total() - len(self.events)

    def record(
        self, kind: EventKind, *, call: str = "", upstream: str = "", plan: str = "", detail=""
    ) -> Event:
        """Append an event stamped after every event recorded or observed before it."""
        time = self.clock.tick()
        event = Event(
            kind,
            self.instance,
            time.physical_ms,
            time.logical,
            call,
            upstream,
            plan,
            detail,
            self.monotonic_us(),
        )
        self.events.append(event)
        self.counts[kind] += 1
        level = find_level(kind)
        if _LOG.isEnabledFor(level):
            _LOG.log(level, kind.name, extra={"event": event})
        return event

    def timestamp(self) -> HybridTime:
        """Return the time to send along with a message."""
        return self.clock.tick()

    def observe(self, received: HybridTime) -> None:
        """Make every later event follow the sending of a received message."""
        self.clock.observe(received)
