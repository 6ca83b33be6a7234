"""Decide which attempts go before which at an upstream, and how many slots each may take.

A call that an upstream makes goes before new requests of the rank of the run that makes it, and of
the next more urgent one: that run fails without it, and its work was for nothing. It may also
take a slot above the share that is used, unless something more urgent runs or waits.
"""

import math

from bendwind_core.admission import find_reserved_until, find_starved_rank, is_inner_call
from bendwind_core.attempts.owner_state import OwnerState, QueuedAttempt
from bendwind_core.attempts.usual_times import find_usual_ms
from bendwind_core.core import Seconds
from bendwind_core.limits import urgency_queue

# An inner call goes before new requests of the next more urgent rank too: its run holds a slot and
# is lost without it, they hold nothing yet. With half a rank 0.018 fewer requests were in time in
# full-with-inner-calls.
INNER_STEP = 1.5
# Where the request of a starved rank waits: before every rank and every inner call, of which the
# most urgent stands at minus one and a half.
_STARVED_RANK = -2.0


def set_precedence(owner_state: OwnerState, queued: QueuedAttempt, now: Seconds) -> None:
    """Note how urgent an attempt is, and where it waits."""
    hand_over = queued.hand_over
    queued.is_inner = is_inner_call(owner_state.origins, hand_over.route)
    queued.own_rank = hand_over.rank
    if queued.is_inner and hand_over.run_rank is not None:
        queued.own_rank = hand_over.run_rank
    queued.rank = _find_place(owner_state, queued, now)


def _find_place(owner_state: OwnerState, queued: QueuedAttempt, now: Seconds) -> float:
    if queued.is_inner:
        return queued.own_rank - INNER_STEP
    if queued.own_rank == 0 or find_starved_rank(owner_state.rank_counts, now) != queued.own_rank:
        return queued.own_rank
    # One at a time, so that the starved rank does not keep out the more urgent ones in its turn.
    waits = any(entry.rank == _STARVED_RANK for entry in owner_state.timed.entries)
    return queued.own_rank if waits else _STARVED_RANK


def find_slots(owner_state: OwnerState, queued: QueuedAttempt, now: Seconds) -> int:
    """Return how many attempts may run in all if one more of this kind is started."""
    if not queued.is_inner:
        is_kept = now < find_slot_kept_until(owner_state, queued)
        return owner_state.run_limit - 1 if is_kept else owner_state.run_limit
    held = (*owner_state.running.values(), *owner_state.waiting.values())
    # Above its knee an upstream is slow for all: only what is more urgent is spared that.
    if any(other.own_rank < queued.own_rank for other in held):
        return owner_state.run_limit
    return min(owner_state.slots, owner_state.connections)


def find_slot_kept_until(owner_state: OwnerState, queued: QueuedAttempt) -> Seconds:
    """Return until when the last slot is kept from an attempt for more urgent ones."""
    if queued.is_inner or queued.rank <= 0 or owner_state.run_limit < 2:
        return -math.inf
    run_ms = find_usual_ms(owner_state, queued.hand_over.route)
    return find_reserved_until(owner_state.arrivals, queued.hand_over.rank, run_ms)


def list_ahead(owner_state: OwnerState, queued: QueuedAttempt, now: Seconds) -> list[QueuedAttempt]:
    """List what waits and goes before an attempt that does not wait yet."""
    hand_over = queued.hand_over
    work_ms = find_usual_ms(owner_state, hand_over.route)
    newcomer = urgency_queue.QueueEntry(
        queued,
        queued.due_at,
        owner_state.timed.next_number,
        queued.rank,
        hand_over.customer,
        work_ms,
    )
    return urgency_queue.list_ahead(owner_state.timed, newcomer, now, owner_state.turns)


def push(owner_state: OwnerState, queued: QueuedAttempt) -> QueuedAttempt | None:
    """Have an attempt with an objective wait; return the one that gives way to it, if any."""
    hand_over = queued.hand_over
    work_ms = find_usual_ms(owner_state, hand_over.route)
    return urgency_queue.push(
        owner_state.timed, queued.due_at, queued, queued.rank, hand_over.customer, work_ms
    )


def list_in_turn(owner_state: OwnerState, now: Seconds) -> list[QueuedAttempt]:
    """List what waits with an objective in the order in which it should start."""
    return urgency_queue.list_in_start_order(owner_state.timed, now, owner_state.turns)
