"""Queue items of several sources so that none takes another's share.

Sources take turns; within one, the order of arrival holds. When the queue is full, an arrival
displaces the newest item of the longest line if its own line is shorter by two or more.
"""

import collections
from typing import Generic, TypeVar

import msgspec

Item = TypeVar("Item")


class FairQueue(msgspec.Struct, Generic[Item]):
    """Hold at most `capacity` items in one line per source."""

    capacity: int
    size: int = 0
    items_by_source: collections.OrderedDict[str, collections.deque[Item]] = msgspec.field(
        default_factory=collections.OrderedDict
    )


def push(queue: FairQueue[Item], source: str, item: Item) -> Item | None:
    """Add an item; return the one that had to give way, which may be the item itself."""
    evicted = None
    if queue.size >= queue.capacity:
        evicted = _evict_newest(queue, source)
        if evicted is None:
            return item
    queue.items_by_source.setdefault(source, collections.deque()).append(item)
    queue.size += 1
    return evicted


def _evict_newest(queue: FairQueue[Item], source: str) -> Item | None:
    if not queue.items_by_source:
        return None
    longest_source = max(queue.items_by_source, key=lambda name: len(queue.items_by_source[name]))
    own_length = len(queue.items_by_source.get(source, ()))
    if len(queue.items_by_source[longest_source]) < own_length + 2:
        return None
    item = queue.items_by_source[longest_source].pop()
    queue.size -= 1
    return item


def pop(queue: FairQueue[Item]) -> Item | None:
    """Take the oldest item of the source whose turn it is."""
    if not queue.items_by_source:
        return None
    source, items = queue.items_by_source.popitem(last=False)
    item = items.popleft()
    queue.size -= 1
    if items:
        queue.items_by_source[source] = items
    return item


def remove(queue: FairQueue[Item], source: str, item: Item) -> bool:
    """Take an item out of its line; return False if it was not there."""
    items = queue.items_by_source.get(source)
    if items is None or item not in items:
        return False
    items.remove(item)
    queue.size -= 1
    if not items:
        del queue.items_by_source[source]
    return True
