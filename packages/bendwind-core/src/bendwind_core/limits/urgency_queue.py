"""Queue items by the time at which each should start, the most urgent first."""

import bisect
from collections.abc import Iterator
from typing import Generic, TypeVar

import msgspec

from bendwind_core.core import Seconds

Item = TypeVar("Item")


class UrgencyQueue(msgspec.Struct, Generic[Item]):
    """Hold at most `capacity` items; those due at the same time keep their order of arrival."""

    capacity: int
    next_number: int = 0
    entries: list[tuple[Seconds, int, Item]] = msgspec.field(default_factory=list)

    def __len__(self) -> int:
        return len(self.entries)


def push(queue: UrgencyQueue[Item], due: Seconds, item: Item) -> Item | None:
    """Add an item; return the least urgent one if there were too many, which may be the item."""
    bisect.insort(queue.entries, (due, queue.next_number, item))
    queue.next_number += 1
    if len(queue.entries) <= queue.capacity:
        return None
    return queue.entries.pop()[2]


def list_in_turn(queue: UrgencyQueue[Item], now: Seconds) -> list[Item]:
    """List the items that can still start in time, the most urgent first, then the late ones."""
    first_in_time = bisect.bisect_left(queue.entries, now, key=lambda entry: entry[0])
    in_time = queue.entries[first_in_time:]
    late = reversed(queue.entries[:first_in_time])
    return [entry[2] for entry in (*in_time, *late)]


def pop(queue: UrgencyQueue[Item], now: Seconds) -> Item | None:
    """Take the most urgent item that can still start in time, else the one that is least late."""
    item = next(iter(list_in_turn(queue, now)), None)
    if item is not None:
        remove(queue, item)
    return item


def find_first_due(queue: UrgencyQueue[Item]) -> Seconds | None:
    """Return the earliest time at which an item should start, or None."""
    return queue.entries[0][0] if queue.entries else None


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
