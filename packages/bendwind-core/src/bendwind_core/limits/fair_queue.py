"""Queue items of several sources so that no source uses the share of another.

Sources are served round robin; the items of one source are served in order of arrival. When the
queue is full, a new item evicts the newest item of the source with the most items, provided that
the new item's source has at least two items fewer.
"""

import collections
import itertools
from typing import Generic, TypeVar

import msgspec

Item = TypeVar("Item")
_NO_ITEM = object()


class FairQueue(msgspec.Struct, Generic[Item]):
    """Hold at most `capacity` items, in one queue for each source."""

    capacity: int
    size: int = 0
    items_by_source: collections.OrderedDict[str, collections.deque[Item]] = msgspec.field(
        default_factory=collections.OrderedDict
    )


def push(queue: FairQueue[Item], source: str, item: Item) -> Item | None:
    """Add an item; return the evicted item, which may be the new one, or None."""
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
    """Remove and return the oldest item of the next source, or None if the queue is empty."""
    if not queue.items_by_source:
        return None
    source, items = queue.items_by_source.popitem(last=False)
    item = items.popleft()
    queue.size -= 1
    if items:
        queue.items_by_source[source] = items
    return item


def list_in_order(queue: FairQueue[Item]) -> list[Item]:
    """List the items in the order in which `pop` returns them, if none are added meanwhile."""
    rounds = itertools.zip_longest(*queue.items_by_source.values(), fillvalue=_NO_ITEM)
    return [item for turns in rounds for item in turns if item is not _NO_ITEM]


def remove(queue: FairQueue[Item], source: str, item: Item) -> bool:
    """Remove an item from the queue of its source; return False if it was not there."""
    items = queue.items_by_source.get(source)
    if items is None or item not in items:
        return False
    items.remove(item)
    queue.size -= 1
    if not items:
        del queue.items_by_source[source]
    return True
