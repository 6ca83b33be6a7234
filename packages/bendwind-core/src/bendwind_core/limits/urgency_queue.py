"""Queue items by rank, then by what can still start in time, by turns of customers, by due time.

Within a rank the items of one customer keep the order in which they are due, so that due time alone
decides where requests have no customer.
"""

import bisect
from typing import Generic, TypeVar

import msgspec

from bendwind_core.core import Milliseconds, Seconds
from bendwind_core.limits.turns import Turns, find_use_ms

Item = TypeVar("Item")


class Waiting(msgspec.Struct, Generic[Item], eq=False):
    """Hold an item that waits; the lowest rank is the most urgent.

    Units: `work_ms` is what the item takes of its customer's turns, in milliseconds.
    """

    item: Item
    due: Seconds
    number: int
    rank: float = 0.0
    customer: str = ""
    work_ms: Milliseconds = 0.0


class UrgencyQueue(msgspec.Struct, Generic[Item]):
    """Hold at most `capacity` items; those due at the same time keep their order of arrival."""

    capacity: int
    next_number: int = 0
    entries: list[Waiting[Item]] = msgspec.field(default_factory=list)

    def __len__(self) -> int:
        return len(self.entries)


def push(
    queue: UrgencyQueue[Item],
    due: Seconds,
    item: Item,
    rank: float = 0.0,
    customer: str = "",
    work_ms: Milliseconds = 0.0,
) -> Item | None:
    """Add an item; return the one that gives way if there were too many, maybe the item itself."""
    entry = Waiting(item, due, queue.next_number, rank, customer, work_ms)
    bisect.insort(queue.entries, entry, key=_sort_key)
    queue.next_number += 1
    if len(queue.entries) <= queue.capacity:
        return None
    gone = _find_least(queue)
    queue.entries.remove(gone)
    return gone.item


def _sort_key(entry: Waiting) -> tuple[float, Seconds, int]:
    return entry.rank, entry.due, entry.number


def _find_least(queue: UrgencyQueue[Item]) -> Waiting[Item]:
    """Return the last item of the least urgent rank's customer that waits with most."""
    least_urgent = [entry for entry in queue.entries if entry.rank == queue.entries[-1].rank]
    waiting_ms: dict[str, Milliseconds] = {}
    for entry in least_urgent:
        waiting_ms[entry.customer] = waiting_ms.get(entry.customer, 0.0) + entry.work_ms
    most_ms = max(waiting_ms.values())
    return [entry for entry in least_urgent if waiting_ms[entry.customer] == most_ms][-1]


def list_in_turn(
    queue: UrgencyQueue[Item],
    now: Seconds,
    turns: Turns | None = None,
) -> list[Item]:
    """List the items in the order in which they should start."""
    return [entry.item for entry in _put_in_turn(queue.entries, now, turns)]


def _put_in_turn(
    entries: list[Waiting[Item]], now: Seconds, turns: Turns | None
) -> list[Waiting[Item]]:
    by_rank: dict[float, list[Waiting[Item]]] = {}
    for entry in entries:
        by_rank.setdefault(entry.rank, []).append(entry)
    in_turn = []
    for rank in sorted(by_rank):
        of_rank = by_rank[rank]
        first_in_time = bisect.bisect_left(of_rank, now, key=lambda entry: entry.due)
        in_turn += _take_turns(of_rank[first_in_time:], now, turns)
        in_turn += reversed(of_rank[:first_in_time])
    return in_turn


def _take_turns(
    entries: list[Waiting[Item]], now: Seconds, turns: Turns | None
) -> list[Waiting[Item]]:
    """Order the items of one rank, which come by due time, by what was done for their customers."""
    if turns is None or len({entry.customer for entry in entries}) < 2:
        return entries
    done_ms: dict[str, Milliseconds] = {}
    before: dict[int, Milliseconds] = {}
    for entry in entries:
        used_ms = done_ms.get(entry.customer)
        if used_ms is None:
            used_ms = find_use_ms(turns, entry.customer, now)
        before[entry.number] = used_ms
        done_ms[entry.customer] = used_ms + entry.work_ms
    return sorted(entries, key=lambda entry: before[entry.number])


def list_ahead(
    queue: UrgencyQueue[Item], newcomer: Waiting[Item], now: Seconds, turns: Turns | None = None
) -> list[Item]:
    """List the items that would go before a newcomer which is not in the queue.

    Those of its own rank that are late count where they are due before it.
    """
    ahead = [entry for entry in queue.entries if entry.rank < newcomer.rank]
    alike = [entry for entry in queue.entries if entry.rank == newcomer.rank]
    ahead += [entry for entry in alike if entry.due < now and entry.due <= newcomer.due]
    in_time = [entry for entry in alike if entry.due >= now]
    bisect.insort(in_time, newcomer, key=_sort_key)
    in_turn = _take_turns(in_time, now, turns)
    ahead += in_turn[: in_turn.index(newcomer)]
    return [entry.item for entry in ahead]


def has_as_urgent(queue: UrgencyQueue[Item], rank: float) -> bool:
    """Tell whether an item waits that is at least as urgent as a rank."""
    return bool(queue.entries) and queue.entries[0].rank <= rank


def has_less_urgent(queue: UrgencyQueue[Item], rank: float) -> bool:
    """Tell whether an item waits that is less urgent than a rank."""
    return bool(queue.entries) and queue.entries[-1].rank > rank


def pop(queue: UrgencyQueue[Item], now: Seconds) -> Item | None:
    """Take the most urgent item that can still start in time, else the one that is least late."""
    item = next(iter(list_in_turn(queue, now)), None)
    if item is not None:
        remove(queue, item)
    return item


def remove(queue: UrgencyQueue[Item], item: Item) -> bool:
    """Take an item out; return False if it was not there."""
    for index, entry in enumerate(queue.entries):
        if entry.item is item:
            del queue.entries[index]
            return True
    return False
