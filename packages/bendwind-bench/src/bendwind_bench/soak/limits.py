"""Check the limits that hold for all nodes together: slots of upstreams, and retries."""

import math
from collections import defaultdict
from collections.abc import Iterable

from bendwind_bench.soak.record import SoakRecord
from bendwind_bench.upstream import Arrival
from bendwind_core.core import Seconds

# A slot that was just released may be filled before its upstream reads that it is free.
SLOT_WAIT_S = 0.25
# New requests stop within this time once an upstream drains, with a margin for the machine.
DRAIN_S = 2.5
# Work that an owner cannot end while it does not reach its upstream, or knows nothing of, since it
# has just been started, still takes slots for this time.
UNSEEN_WORK_S = 1.5
RETRY_RATIO = 0.1
RETRY_WINDOW_S = 10.0
# What a node saves of its retries loses half of its value in this time, but for one retry.
SAVED_HALF_LIFE_S = 5.0


def check_drains(record: SoakRecord) -> list[str]:
    """Return a line for each drain that was acknowledged and not kept to."""
    lines = []
    drained_at: dict[str, Seconds] = {}
    events = [*record.drain_notices, *record.arrivals]
    for event in sorted(events, key=lambda event: event.at_s):
        if isinstance(event, Arrival):
            since_s = drained_at.get(event.upstream, math.inf)
            if event.at_s > since_s + DRAIN_S and not _may_be_late(record, event, since_s):
                drained_at.pop(event.upstream)
                lines.append(
                    f"{event.upstream} was sent {event.request}/{event.send} at {event.at_s:.3f} s "
                    f"and is draining since {since_s:.3f} s"
                )
        elif event.is_draining:
            drained_at[event.upstream] = event.at_s
        else:
            drained_at.pop(event.upstream, None)
    return lines


def _may_be_late(record: SoakRecord, arrival: Arrival, since_s: Seconds) -> bool:
    """Return whether an upstream may have read late what was sent before it drained."""
    return record.is_disturbed(arrival.upstream, since_s, arrival.at_s) or record.is_link_disturbed(
        arrival.upstream, since_s - UNSEEN_WORK_S, arrival.at_s
    )


def check_slots(record: SoakRecord) -> list[str]:
    """Return a line for each request that was sent to an upstream without a free slot."""
    return [
        f"{wait.upstream} was sent more than its slots: a request waited {wait.seconds:.3f} s "
        f"until {wait.at_s:.3f} s"
        for wait in record.slot_waits
        if wait.seconds > SLOT_WAIT_S
        and not _had_unseen_work(
            record, wait.upstream, wait.at_s - wait.seconds - UNSEEN_WORK_S, wait.at_s
        )
    ]


def _had_unseen_work(record: SoakRecord, upstream: str, begin_s: Seconds, end_s: Seconds) -> bool:
    return any(
        record.is_disturbed(target, begin_s, end_s)
        for target in (upstream, record.owners[upstream])
    ) or record.is_link_disturbed(upstream, begin_s, end_s)


def check_retries(record: SoakRecord) -> list[str]:
    """Return a line for each service that was sent more repeats than the budget permits."""
    sends = defaultdict(list)
    for item in record.ended:
        sends[item.sample.service].append(item.sample.at_s)
    repeats = _find_repeats(record.arrivals)
    lines = []
    for service, times in sorted(repeats.items()):
        excess, at_s, count = max(
            (count - _allow_repeats(sends[service], at_s, len(record.nodes)), at_s, count)
            for at_s, count in _count_by_window(times)
        )
        if excess > 0:
            lines.append(
                f"{service} was sent {count} repeats in the {RETRY_WINDOW_S:.0f} s before "
                f"{at_s:.3f} s, {excess:.1f} more than permitted"
            )
    return lines


def _find_repeats(arrivals: Iterable[Arrival]) -> dict[str, list[Seconds]]:
    """Return by service when a send that had reached an upstream before reached one again."""
    known = set()
    repeats = defaultdict(list)
    for arrival in arrivals:
        send = arrival.request, arrival.send
        if send in known:
            repeats[arrival.service].append(arrival.at_s)
        known.add(send)
    return repeats


def _count_by_window(times: list[Seconds]) -> list[tuple[Seconds, int]]:
    first = 0
    counts = []
    for index, at_s in enumerate(times):
        while times[first] <= at_s - RETRY_WINDOW_S:
            first += 1
        counts.append((at_s, index - first + 1))
    return counts


def _allow_repeats(sends: list[Seconds], end_s: Seconds, nodes: int) -> float:
    """Return how many repeats the sends up to a time permit in the window that ends then."""
    begin_s = end_s - RETRY_WINDOW_S
    weights = (
        0.5 ** max(0.0, (begin_s - at_s) / SAVED_HALF_LIFE_S) for at_s in sends if at_s <= end_s
    )
    return RETRY_RATIO * sum(weights) + nodes
