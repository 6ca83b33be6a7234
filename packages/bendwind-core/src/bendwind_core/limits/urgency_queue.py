"""Order waiting items by rank, then by whether they can still start in time.

Of the items of one rank that can start in time, those of the customer with the least recent work
come first, and then those that are due earlier. The items of one customer stay in the order in
which they are due, so that the due time alone decides if requests have no customer.
"""

import bisect
from typing import Generic, TypeVar

import msgspec

from bendwind_core.core import Milliseconds, Seconds
from bendwind_core.limits.customer_work import CustomerWork, find_recent_work_ms

Item = TypeVar("Item")


class QueueEntry(msgspec.Struct, Generic[Item], eq=False):
    """Hold a waiting item; the lowest rank is the most urgent.

    Units: `work_ms` is the work that the item adds to its customer, in milliseconds.
    """

    item: Item
    due_at: Seconds
    number: int
    rank: float = 0.0
    customer: str = ""
    work_ms: Milliseconds = 0.0


class UrgencyQueue(msgspec.Struct, Generic[Item]):
    """Hold at most `capacity` items; items due at the same time keep their order of arrival."""

    capacity: int
    next_number: int = 0
    entries: list[QueueEntry[Item]] = msgspec.field(default_factory=list)

    def __len__(self) -> int:
        return len(self.entries)


def push(
    queue: UrgencyQueue[Item],
    due_at: Seconds,
    item: Item,
    rank: float = 0.0,
    customer: str = "",
    work_ms: Milliseconds = 0.0,
) -> Item | None:
    """Add an item; return the item evicted from a full queue, maybe the new one, or None."""
    entry = QueueEntry(item, due_at, queue.next_number, rank, customer, work_ms)
    bisect.insort(queue.entries, entry, key=_sort_key)
    queue.next_number += 1
    if len(queue.entries) <= queue.capacity:
        return None
    evicted = _find_entry_to_evict(queue)
    queue.entries.remove(evicted)
    return evicted.item


def _sort_key(entry: QueueEntry) -> tuple[float, Seconds, int]:
    return entry.rank, entry.due_at, entry.number


def _find_entry_to_evict(queue: UrgencyQueue[Item]) -> QueueEntry[Item]:
    """Return the entry to evict.

    It is the last one, in the least urgent rank, of the customer whose entries of that rank have
    the most work in total.
    """
    least_urgent = [entry for entry in queue.entries if entry.rank == queue.entries[-1].rank]
    waiting_ms: dict[str, Milliseconds] = {}
    for entry in least_urgent:
        waiting_ms[entry.customer] = waiting_ms.get(entry.customer, 0.0) + entry.work_ms
    max_ms = max(waiting_ms.values())
    return [entry for entry in least_urgent if waiting_ms[entry.customer] == max_ms][-1]


def list_in_start_order(
    queue: UrgencyQueue[Item],
    now: Seconds,
    customer_work: CustomerWork | None = None,
) -> list[Item]:
    """Return the items in the order in which they should start."""
    return [entry.item for entry in _sort_by_start_order(queue.entries, now, customer_work)]


def _sort_by_start_order(
    entries: list[QueueEntry[Item]], now: Seconds, customer_work: CustomerWork | None
) -> list[QueueEntry[Item]]:
    by_rank: dict[float, list[QueueEntry[Item]]] = {}
    for entry in entries:
        by_rank.setdefault(entry.rank, []).append(entry)
    in_order = []
    for rank in sorted(by_rank):
        same_rank = by_rank[rank]
        first_in_time = bisect.bisect_left(same_rank, now, key=lambda entry: entry.due_at)
        in_order += _sort_by_customer_work(same_rank[first_in_time:], now, customer_work)
        in_order += reversed(same_rank[:first_in_time])
    return in_order


def _sort_by_customer_work(
    entries: list[QueueEntry[Item]], now: Seconds, customer_work: CustomerWork | None
) -> list[QueueEntry[Item]]:
    """Sort the entries of one rank, given by due time, by the work done for their customers."""
    if customer_work is None or len({entry.customer for entry in entries}) < 2:
        return entries
    work_by_customer_ms: dict[str, Milliseconds] = {}
    work_before_ms: dict[int, Milliseconds] = {}
    for entry in entries:
        done_ms = work_by_customer_ms.get(entry.customer)
        if done_ms is None:
            done_ms = find_recent_work_ms(customer_work, entry.customer, now)
        work_before_ms[entry.number] = done_ms
        work_by_customer_ms[entry.customer] = done_ms + entry.work_ms
    return sorted(entries, key=lambda entry: work_before_ms[entry.number])


def list_ahead(
    queue: UrgencyQueue[Item],
    new_entry: QueueEntry[Item],
    now: Seconds,
    customer_work: CustomerWork | None = None,
) -> list[Item]:
    """Return the items that would start before a new entry that is not in the queue.

    Items of its own rank that are already late are included if they are not due after it.
    """
    ahead = [entry for entry in queue.entries if entry.rank < new_entry.rank]
    same_rank = [entry for entry in queue.entries if entry.rank == new_entry.rank]
    ahead += [
        entry for entry in same_rank if entry.due_at < now and entry.due_at <= new_entry.due_at
    ]
    in_time = [entry for entry in same_rank if entry.due_at >= now]
    bisect.insort(in_time, new_entry, key=_sort_key)
    in_order = _sort_by_customer_work(in_time, now, customer_work)
    ahead += in_order[: in_order.index(new_entry)]
    return [entry.item for entry in ahead]


def has_at_least_as_urgent(queue: UrgencyQueue[Item], rank: float) -> bool:
    """Return whether an item waits that is at least as urgent as a rank."""
    return bool(queue.entries) and queue.entries[0].rank <= rank


def has_less_urgent(queue: UrgencyQueue[Item], rank: float) -> bool:
    """Return whether an item waits that is less urgent than a rank."""
    return bool(queue.entries) and queue.entries[-1].rank > rank


def pop(queue: UrgencyQueue[Item], now: Seconds) -> Item | None:
    """Remove and return the first item of the most urgent rank, or None if the queue is empty.

    It is the first one that can still start in time, otherwise the one that is least late.
    """
    item = next(iter(list_in_start_order(queue, now)), None)
    if item is not None:
        remove(queue, item)
    return item


def remove(queue: UrgencyQueue[Item], item: Item) -> bool:
    """Remove an item; return False if it was not there."""
    for index, entry in enumerate(queue.entries):
        if entry.item is item:
            del queue.entries[index]
            return True
    return False
