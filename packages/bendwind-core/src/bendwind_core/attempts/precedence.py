"""Decide the order in which attempts start at an upstream, and how many slots each may use.

An inner call, which an upstream makes while it runs a request, starts before new requests of the
rank of that run and of the next more urgent rank: the run fails without the call, and its work is
wasted. An inner call may also use a slot above the share of slots that requests use, unless
something more urgent runs or waits.
"""

import math

from bendwind_core.admission import find_reserved_until, find_starved_rank, is_inner_call
from bendwind_core.attempts.owner_state import OwnerState, QueuedAttempt
from bendwind_core.attempts.usual_times import find_usual_ms
from bendwind_core.core import Seconds
from bendwind_core.limits import urgency_queue

# An inner call also starts before new requests of the next more urgent rank: its run holds a slot
# and is lost without it, while those requests hold nothing yet. With a step of half a rank, the
# share of requests in time was 0.018 lower in the scenario full-with-inner-calls.
INNER_CALL_RANK_STEP = 1.5
# Queue rank of a request of a starved rank: before every rank and every inner call, of which the
# most urgent has the queue rank -1.5.
_STARVED_RANK = -2.0


def set_precedence(owner_state: OwnerState, queued: QueuedAttempt, now: Seconds) -> None:
    """Set how urgent an attempt is, and its rank in the queue."""
    hand_over = queued.hand_over
    queued.is_inner = is_inner_call(owner_state.origins, hand_over.route)
    queued.effective_rank = hand_over.rank
    if queued.is_inner and hand_over.run_rank is not None:
        queued.effective_rank = hand_over.run_rank
    queued.queue_rank = _find_queue_rank(owner_state, queued, now)


def _find_queue_rank(owner_state: OwnerState, queued: QueuedAttempt, now: Seconds) -> float:
    if queued.is_inner:
        return queued.effective_rank - INNER_CALL_RANK_STEP
    if (
        queued.effective_rank == 0
        or find_starved_rank(owner_state.rank_counts, now) != queued.effective_rank
    ):
        return queued.effective_rank
    # Only one such request waits at a time, so that the starved rank does not starve the more
    # urgent ones.
    is_one_waiting = any(entry.rank == _STARVED_RANK for entry in owner_state.timed_queue.entries)
    return queued.effective_rank if is_one_waiting else _STARVED_RANK


def find_slot_limit(owner_state: OwnerState, queued: QueuedAttempt, now: Seconds) -> int:
    """Return the total number of attempts that may run if one more of this kind starts."""
    if not queued.is_inner:
        is_reserved = now < find_slot_reserved_until(owner_state, queued)
        return owner_state.run_limit - 1 if is_reserved else owner_state.run_limit
    others = (*owner_state.running.values(), *owner_state.waiting.values())
    # Above its knee, the load from which response times rise, an upstream is slow for all attempts.
    # Only more urgent attempts are protected from that.
    if any(other.effective_rank < queued.effective_rank for other in others):
        return owner_state.run_limit
    return min(owner_state.slots, owner_state.connections)


def find_slot_reserved_until(owner_state: OwnerState, queued: QueuedAttempt) -> Seconds:
    """Return until when the last slot is reserved for attempts more urgent than this one."""
    if queued.is_inner or queued.queue_rank <= 0 or owner_state.run_limit < 2:
        return -math.inf
    run_ms = find_usual_ms(owner_state, queued.hand_over.route)
    return find_reserved_until(owner_state.arrival_counts, queued.hand_over.rank, run_ms)


def list_ahead(owner_state: OwnerState, queued: QueuedAttempt, now: Seconds) -> list[QueuedAttempt]:
    """List the waiting attempts that start before an attempt that does not wait yet."""
    hand_over = queued.hand_over
    work_ms = find_usual_ms(owner_state, hand_over.route)
    new_entry = urgency_queue.QueueEntry(
        queued,
        queued.due_at,
        owner_state.timed_queue.next_number,
        queued.queue_rank,
        hand_over.customer,
        work_ms,
    )
    return urgency_queue.list_ahead(
        owner_state.timed_queue, new_entry, now, owner_state.customer_work
    )


def push_timed(owner_state: OwnerState, queued: QueuedAttempt) -> QueuedAttempt | None:
    """Enqueue an attempt with a latency objective; return the attempt that it displaces, if any."""
    hand_over = queued.hand_over
    work_ms = find_usual_ms(owner_state, hand_over.route)
    return urgency_queue.push(
        owner_state.timed_queue,
        queued.due_at,
        queued,
        queued.queue_rank,
        hand_over.customer,
        work_ms,
    )


def list_in_start_order(owner_state: OwnerState, now: Seconds) -> list[QueuedAttempt]:
    """List the waiting attempts with a latency objective in the order of their start."""
    return urgency_queue.list_in_start_order(
        owner_state.timed_queue, now, owner_state.customer_work
    )
