"""Record the events of a process in bounded buffers."""

import collections
import heapq
import logging
from collections.abc import Callable

from bendwind_core.timeline.catalogue import EventKind
from bendwind_core.timeline.clock import HybridClock, HybridTime
from bendwind_core.timeline.event import Event
from bendwind_core.timeline.facts import Facts
from bendwind_core.timeline.levels import find_level
from bendwind_core.timeline.statistics import CallStatistics, record_facts

_LOG = logging.getLogger("bendwind")
_MICROSECONDS_PER_MILLISECOND = 1000
# Any client that can connect to a port can cause these events, without authentication and at any
# rate.
_UNAUTHENTICATED_KINDS = frozenset(
    {EventKind.OPERATOR_REFUSED, EventKind.PEER_REFUSED, EventKind.HANDSHAKE_REFUSED}
)


class Recorder:
    """Own a process's bounded buffers of events and its hybrid logical clock.

    Half of the capacity is reserved for events that belong neither to a single call nor to an
    unauthenticated client, so that the frequent events of a busy minute do not evict those that
    explain it. `counts` holds how often each event was recorded, including evicted events;
    `statistics` holds the outcomes of calls.
    """

    __slots__ = (
        "clock",
        "counts",
        "instance",
        "monotonic_us",
        "frequent_events",
        "process_events",
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
        self.process_events: collections.deque[Event] = collections.deque(maxlen=capacity // 2)
        self.frequent_events: collections.deque[Event] = collections.deque(
            maxlen=capacity - capacity // 2
        )
        self.monotonic_us = monotonic_us or (lambda: wall_ms() * _MICROSECONDS_PER_MILLISECOND)
        self.counts: collections.Counter[EventKind] = collections.Counter()
        self.statistics = CallStatistics()

    @property
    def dropped(self) -> int:
        """Return the number of events that newer ones evicted from the buffers."""
        return self.counts.total() - len(self.process_events) - len(self.frequent_events)

    @property
    def events(self) -> list[Event]:
        """Return the events still held, oldest first."""
        return list(
            heapq.merge(self.process_events, self.frequent_events, key=lambda event: event.time)
        )

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
        """Append an event, timestamped after every event recorded or observed before."""
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
        is_frequent = bool(call) or kind in _UNAUTHENTICATED_KINDS
        buffer = self.frequent_events if is_frequent else self.process_events
        buffer.append(event)
        self.counts[kind] += 1
        if facts is not None:
            record_facts(self.statistics, detail, facts)
        level = find_level(kind)
        if _LOG.isEnabledFor(level):
            _LOG.log(level, kind.name, extra={"event": event})
        return event

    def timestamp(self) -> HybridTime:
        """Return the timestamp to send with a message."""
        return self.clock.tick()

    def observe(self, received: HybridTime) -> None:
        """Ensure that later events are timestamped after the sending of a received message."""
        self.clock.observe(received)
