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
    lines: collections.OrderedDict[str, collections.deque[Item]] = msgspec.field(
        default_factory=collections.OrderedDict
    )


def push(queue: FairQueue[Item], source: str, item: Item) -> Item | None:
    """Add an item; return the one that had to give way, which may be the item itself."""
    displaced = None
    if queue.size >= queue.capacity:
        displaced = _displace(queue, source)
        if displaced is None:
            return item
    queue.lines.setdefault(source, collections.deque()).append(item)
    queue.size += 1
    return displaced


def _displace(queue: FairQueue[Item], source: str) -> Item | None:
    if not queue.lines:
        return None
    longest = max(queue.lines, key=lambda name: len(queue.lines[name]))
    own = len(queue.lines.get(source, ()))
    if len(queue.lines[longest]) < own + 2:
        return None
    item = queue.lines[longest].pop()
    queue.size -= 1
    return item


def pop(queue: FairQueue[Item]) -> Item | None:
    """Take the oldest item of the source whose turn it is."""
    if not queue.lines:
        return None
    source, line = queue.lines.popitem(last=False)
    item = line.popleft()
    queue.size -= 1
    if line:
        queue.lines[source] = line
    return item


def remove(queue: FairQueue[Item], source: str, item: Item) -> bool:
    """Take an item out of its line; return False if it was not there."""
    line = queue.lines.get(source)
    if line is None or item not in line:
        return False
    line.remove(item)
    queue.size -= 1
    if not line:
        del queue.lines[source]
    return True
