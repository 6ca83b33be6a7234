"""Merge the events of several processes into one causal order and select from them."""

import heapq
from collections.abc import Iterable, Iterator

from bendwind_core.core import Record
from bendwind_core.timeline.catalogue import EventKind
from bendwind_core.timeline.event import Event


class EventFilter(Record, frozen=True, array_like=True):
    """Select events; a field left empty selects all."""

    call: str = ""
    plan: str = ""
    upstream: str = ""
    kind: EventKind | None = None
    since_ms: int = 0

    def admits(self, event: Event) -> bool:
        """Tell whether an event is selected."""
        return (
            self.call in ("", event.call)
            and self.plan in ("", event.plan)
            and self.upstream in ("", event.upstream)
            and self.kind in (None, event.kind)
            and event.physical_ms >= self.since_ms
        )


def merge_events(sources: Iterable[Iterable[Event]]) -> list[Event]:
    """Merge each process's events, oldest first, into one order where causes precede effects.

    An event that several sources report appears once. Hybrid logical time respects causality,
    and the instance's name breaks ties between events that did not influence each other.
    """
    merged = heapq.merge(*(sorted(source, key=_order) for source in sources), key=_order)
    return list(_drop_repeats(merged))


def select_events(events: Iterable[Event], wanted: EventFilter) -> list[Event]:
    """Keep the events that a filter admits."""
    return [event for event in events if wanted.admits(event)]


def find_kind(text: str) -> EventKind | None:
    """Return the event of this number or name, or None.

    >>> find_kind("801") is find_kind("process_started")
    True
    """
    if text.isdigit():
        return next((kind for kind in EventKind if kind == int(text)), None)
    return EventKind.__members__.get(text.upper().replace("-", "_"))


def _order(event: Event) -> tuple[int, int, str]:
    return event.physical_ms, event.logical, event.instance


def _drop_repeats(events: Iterable[Event]) -> Iterator[Event]:
    last: Event | None = None
    for event in events:
        if event != last:
            yield event
        last = event
