"""Merge the events of several processes into one causal order and select from them."""

import heapq
from collections.abc import Iterable, Iterator

from bendwind_core.core import Record, read_whole_number
from bendwind_core.timeline.catalogue import EventKind
from bendwind_core.timeline.event import Event


class EventFilter(Record, frozen=True, array_like=True):
    """Select events by their fields; an empty field matches all events."""

    call: str = ""
    plan: str = ""
    upstream: str = ""
    kind: EventKind | None = None
    since_ms: int = 0

    def matches(self, event: Event) -> bool:
        """Return whether an event is selected."""
        return (
            self.call in ("", event.call)
            and self.plan in ("", event.plan)
            and self.upstream in ("", event.upstream)
            and self.kind in (None, event.kind)
            and event.physical_ms >= self.since_ms
        )


def merge_events(sources: Iterable[Iterable[Event]]) -> list[Event]:
    """Merge the events of all processes, oldest first, so that causes precede their effects.

    An event that several sources report appears once. Hybrid logical time respects causality.
    The instance's name breaks ties between concurrent events.
    """
    merged = heapq.merge(*(sorted(source, key=_sort_key) for source in sources), key=_sort_key)
    return list(_drop_duplicates(merged))


def select_events(events: Iterable[Event], wanted: EventFilter) -> list[Event]:
    """Return the events that match a filter."""
    return [event for event in events if wanted.matches(event)]


def find_kind(text: str) -> EventKind | None:
    """Return the kind of event with this number or name, or None.

    >>> find_kind("801") is find_kind("process_started")
    True
    """
    number = read_whole_number(text)
    if number is not None:
        return next((kind for kind in EventKind if kind == number), None)
    return EventKind.__members__.get(text.upper().replace("-", "_"))


def _sort_key(event: Event) -> tuple[int, int, str]:
    return event.physical_ms, event.logical, event.instance


def _drop_duplicates(events: Iterable[Event]) -> Iterator[Event]:
    last: Event | None = None
    for event in events:
        if event != last:
            yield event
        last = event
