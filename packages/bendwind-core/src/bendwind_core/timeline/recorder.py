"""Record a process's events into bounded buffers."""

import collections
import heapq
import logging
from collections.abc import Callable

from bendwind_core.timeline.catalogue import EventKind
from bendwind_core.timeline.clock import HybridClock, HybridTime
from bendwind_core.timeline.event import Event
from bendwind_core.timeline.facts import Facts
from bendwind_core.timeline.levels import find_level
from bendwind_core.timeline.statistics import CallStatistics, note_facts

_LOG = logging.getLogger("bendwind")
_MICROSECONDS_PER_MILLISECOND = 1000
# Whoever reaches a port can cause these, as often as they like.
_BY_STRANGERS = frozenset(
    {EventKind.OPERATOR_REFUSED, EventKind.PEER_REFUSED, EventKind.HANDSHAKE_REFUSED}
)


class Recorder:
    """Own a process's bounded buffers of events and its hybrid logical clock.

    Half of the capacity is kept for events that are neither of single calls nor of strangers'
    attempts, so that those of a busy minute do not push out what explains it. `counts` holds how
    often each event was recorded, those no longer held included; `statistics` what calls came to.
    """

    __slots__ = (
        "clock",
        "counts",
        "instance",
        "monotonic_us",
        "of_calls",
        "of_process",
        "statistics",
    )

    def __init__(
        self,
        instance: str,
        wall_ms: Callable[[], int],
        capacity: int,
        monotonic_us: Callable[[], int] | None = None,
    ):
        self.instance = instance
        self.clock = HybridClock(wall_ms)
        self.of_process: collections.deque[Event] = collections.deque(maxlen=capacity // 2)
        self.of_calls: collections.deque[Event] = collections.deque(maxlen=capacity - capacity // 2)
        self.monotonic_us = monotonic_us or (lambda: wall_ms() * _MICROSECONDS_PER_MILLISECOND)
        self.counts: collections.Counter[EventKind] = collections.Counter()
        self.statistics = CallStatistics()

    @property
    def dropped(self) -> int:
        """Count the events that newer ones pushed out of the buffers."""
        return self.counts.total() - len(self.of_process) - len(self.of_calls)

    @property
    def events(self) -> list[Event]:
        """Return the events still held, oldest first."""
        return list(heapq.merge(self.of_process, self.of_calls, key=lambda event: event.time))

    def record(
        self,
        kind: EventKind,
        *,
        call: str = "",
        upstream: str = "",
        plan: str = "",
        detail: str = "",
        request: str = "",
        facts: Facts | None = None,
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
            request,
            facts,
        )
        is_many = bool(call) or kind in _BY_STRANGERS
        buffer = self.of_calls if is_many else self.of_process
        buffer.append(event)
        self.counts[kind] += 1
        if facts is not None:
            note_facts(self.statistics, detail, facts)
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
