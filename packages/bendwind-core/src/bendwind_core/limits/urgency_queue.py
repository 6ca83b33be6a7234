"""Queue items by the time at which each should start, the most urgent first."""

import bisect
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Generic, TypeVar

from bendwind_core.core import Seconds

Item = TypeVar("Item")


@dataclass(slots=True)
class UrgencyQueue(Generic[Item]):
    """Hold at most `capacity` items; those due at the same time keep their order of arrival."""

    capacity: int
    next_number: int = 0
    entries: list[tuple[Seconds, int, Item]] = field(default_factory=list)

    def __len__(self) -> int:
        return len(self.entries)


def push(queue: UrgencyQueue[Item], due: Seconds, item: Item) -> Item | None:
    """Add an item; return the least urgent one if there were too many, which may be the item."""
    bisect.insort(queue.entries, (due, queue.next_number, item))
    queue.next_number += 1
    if len(queue.entries) <= queue.capacity:
        return None
    return queue.entries.pop()[2]


def pop(queue: UrgencyQueue[Item], now: Seconds) -> Item | None:
    """Take the most urgent item that can still start in time, else the one that is least late."""
    if not queue.entries:
        return None
    first_in_time = bisect.bisect_left(queue.entries, now, key=lambda entry: entry[0])
    if first_in_time < len(queue.entries):
        return queue.entries.pop(first_in_time)[2]
    return queue.entries.pop()[2]


def remove(queue: UrgencyQueue[Item], item: Item) -> bool:
    """Take an item out; return False if it was not there."""
    for index, entry in enumerate(queue.entries):
        if entry[2] is item:
            del queue.entries[index]
            return True
    return False


def list_before(queue: UrgencyQueue[Item], due: Seconds) -> Iterator[Item]:
    """List the items that are more urgent than one due at a time."""
    for entry_due, _, item in queue.entries:
        if entry_due > due:
            return
        yield item
