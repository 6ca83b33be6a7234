"""Follow the rate limit of an owner's upstream, and judge what waits by it."""

from bendwind_core.admission import (
    LimitChange,
    find_turn_at,
    is_limited,
    note_carried,
    tell_return_at,
)
from bendwind_core.attempts.messages import HandOver, NotRunReason
from bendwind_core.attempts.owner_events import LimitChanged, OwnerEffect
from bendwind_core.attempts.owner_state import OwnerState
from bendwind_core.attempts.precedence import list_in_turn
from bendwind_core.attempts.refusals import drop_waiting, find_end, take_off_queue
from bendwind_core.attempts.retry_after import MAX_RETRY_AFTER_MS
from bendwind_core.attempts.slots import is_kept_back_by_limit
from bendwind_core.core import MILLISECONDS_PER_SECOND, Milliseconds, Seconds

# The reasons that say "no room now", where it may be the limit that leaves none.
_WANT_OF_ROOM = frozenset({NotRunReason.BUSY, NotRunReason.QUEUE_FULL})


def take_change(
    owner_state: OwnerState, change: LimitChange | None, now: Seconds, effects: list[OwnerEffect]
) -> None:
    """Report a change of the limit, if there was one, and give back what waits too long by it."""
    if change is None:
        return
    effects.append(LimitChanged(change, owner_state.rate_limit.per_second))
    if is_limited(owner_state.rate_limit):
        _give_back_late(owner_state, now, effects)


def take_carried(
    owner_state: OwnerState, hand_over: HandOver, now: Seconds, effects: list[OwnerEffect]
) -> None:
    """Take over the limit that an entry node had heard of before this owner did."""
    if hand_over.limit_per_s is not None and not owner_state.rate_limit.is_heard:
        change = note_carried(owner_state.rate_limit, hand_over.limit_per_s, now)
        take_change(owner_state, change, now, effects)


def _give_back_late(owner_state: OwnerState, now: Seconds, effects: list[OwnerEffect]) -> None:
    """Give back what gets no turn in time any more, while it can go elsewhere."""
    timed = list_in_turn(owner_state, now)
    is_timed = {id(queued) for queued in timed}
    others = [one for one in owner_state.waiting.values() if id(one) not in is_timed]
    ahead = 0
    for queued in (*timed, *others):
        if find_turn_at(owner_state.rate_limit, ahead, now) <= find_end(queued):
            ahead += 1
            continue
        take_off_queue(owner_state, queued)
        wait_ms = tell_return_ms(owner_state, now)
        drop_waiting(owner_state, queued, NotRunReason.LIMITED, now, effects, wait_ms)


def name_reason(owner_state: OwnerState, reason: NotRunReason, now: Seconds) -> NotRunReason:
    """Return why an attempt is refused: its upstream's limit, where that leaves no room."""
    is_limit = reason in _WANT_OF_ROOM and is_kept_back_by_limit(owner_state, now)
    return NotRunReason.LIMITED if is_limit else reason


def tell_return_ms(owner_state: OwnerState, now: Seconds) -> Milliseconds:
    """Return in how long the caller of an attempt that the limit leaves no room should be back."""
    longest = MAX_RETRY_AFTER_MS / MILLISECONDS_PER_SECOND
    return (tell_return_at(owner_state.rate_limit, now, longest) - now) * MILLISECONDS_PER_SECOND
