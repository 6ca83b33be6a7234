"""Decide whether an attempt with a latency objective may wait at its upstream, and when it starts.

An upstream that answers late earns its caller little and takes a slot from one that could be
answered in time. What cannot start in time is therefore refused on arrival, while there is time to
try elsewhere, rather than when its time is up.

What starts while the upstream is slowed stays slow to its end, so that a long request had better
wait for the end of the phase. Reports come with answers, and are asked for where the last one is
too old to go by.
"""

from bendwind_core.attempts import pace as paces
from bendwind_core.attempts.messages import HandOver, NotRunReason
from bendwind_core.attempts.owner_events import AskLoad, OwnerEffect
from bendwind_core.attempts.owner_state import OwnerState, QueuedAttempt
from bendwind_core.attempts.precedence import (
    find_slot_kept_until,
    find_slots,
    list_ahead,
    list_in_turn,
)
from bendwind_core.attempts.slots import find_room_wait_ms, has_room
from bendwind_core.attempts.usual_times import find_run_rest_ms, find_usual_ms
from bendwind_core.core import MILLISECONDS_PER_SECOND, Milliseconds, Seconds
from bendwind_core.limits import urgency_queue

# An upstream is asked again this often while attempts wait for a phase that outlasts the usual.
ASK_EVERY: Seconds = 0.025
# A report is a round trip within the instance; without one by then, it is done without.
ASK_TIMEOUT: Seconds = 0.010
# A request that would lose no more than this by a slow start is not worth a question.
BLIND_RISK_MS: Milliseconds = 60.0
# An attempt that can still go elsewhere is taken only if it should be answered within this share of
# its time: estimates are means, and work scatters around them by some 30%.
POLITE_SHARE = 0.85
# With less time left than this share of what an attempt usually takes, no other upstream is so much
# faster that it could still answer in time.
HOPELESS_SHARE = 0.5


def has_place_at_once(owner_state: OwnerState, queued: QueuedAttempt, now: Seconds) -> bool:
    """Tell whether an attempt that came now would start at once, at the usual pace."""
    return is_next(owner_state, queued, now) and not paces.is_slow(owner_state.pace, now)


def is_next(owner_state: OwnerState, queued: QueuedAttempt, now: Seconds) -> bool:
    """Tell whether there is room for an attempt that came now, and nothing as urgent waits."""
    if not has_room(owner_state, now, find_slots(owner_state, queued, now)):
        return False
    return not owner_state.queue.size and not urgency_queue.has_as_urgent(
        owner_state.timed, queued.rank
    )


def ask_for_next(owner_state: OwnerState, now: Seconds, effects: list[OwnerEffect]) -> None:
    """Ask the upstream for its load after a refusal as slow, so that the next one goes by it."""
    # Until the length of its slow phases is learnt, the upstream may be fast again long before the
    # assumed end.
    is_old = now - (owner_state.pace.reported_at or 0.0) >= ASK_EVERY
    if _may_ask(owner_state) and is_old and paces.is_slow(owner_state.pace, now):
        _ask(owner_state, now, effects)


def _may_ask(owner_state: OwnerState) -> bool:
    """Tell whether the upstream may be asked for its load: a question counts for its limit too."""
    return owner_state.may_ask and owner_state.rate_limit.per_second is None


def _ask(owner_state: OwnerState, now: Seconds, effects: list[OwnerEffect]) -> None:
    """Ask the upstream for its load, unless it was asked a moment ago."""
    if owner_state.asked_at is not None and now < owner_state.asked_at + ASK_EVERY:
        return
    owner_state.asked_at = now
    effects.append(AskLoad())


def find_start_wait_ms(
    owner_state: OwnerState, queued: QueuedAttempt, now: Seconds
) -> Milliseconds:
    """Estimate how long an attempt that came now would wait until it starts at the usual pace."""
    phase_ms = (
        paces.find_rest_ms(owner_state.pace, now) if paces.is_slow(owner_state.pace, now) else 0.0
    )
    return max(phase_ms, find_wait_ms(owner_state, queued, now))


def find_refusal(
    owner_state: OwnerState, queued: QueuedAttempt, now: Seconds
) -> NotRunReason | None:
    """Return why an attempt with a latency objective had better not be taken, or None.

    An attempt that does not insist is also refused where it could start at once but would be late.
    """
    hand_over = queued.hand_over
    is_free = has_room(owner_state, now, find_slots(owner_state, queued, now))
    is_free = is_free and not urgency_queue.has_as_urgent(owner_state.timed, queued.rank)
    if is_free and (hand_over.accept_if_slow or _is_late_anyway(owner_state, hand_over, now)):
        return None
    expected_ms = find_expected_ms(owner_state, hand_over.route, now)
    wait_ms = 0.0 if is_free else find_wait_ms(owner_state, queued, now)
    share = 1.0 if hand_over.accept_if_slow else POLITE_SHARE
    is_slow = paces.is_slow(owner_state.pace, now)
    limit_ms = _find_limit_ms(queued)
    if is_slow and not hand_over.accept_if_slow:
        # Others may be at their usual pace.
        limit_ms = hand_over.target_ms
    if wait_ms + expected_ms <= share * limit_ms:
        return None
    return NotRunReason.STALLED if is_free else NotRunReason.QUEUE_FULL


def _is_late_anyway(owner_state: OwnerState, hand_over: HandOver, now: Seconds) -> bool:
    """Tell whether an attempt is late wherever it runs, as those of callers that came back are.

    It takes what nobody else has a use for; it waits for nothing.
    """
    is_late = hand_over.target_ms < HOPELESS_SHARE * _find_lasting_ms(owner_state, hand_over.route)
    return is_late and not paces.is_slow(owner_state.pace, now)


def _find_limit_ms(queued: QueuedAttempt) -> Milliseconds:
    """Return the time within which an attempt has to be answered to be worth taking."""
    hand_over = queued.hand_over
    if not queued.is_inner:
        return hand_over.target_ms
    # The run that waits for it would have been for nothing: failed requests under overload fell
    # from 9.5% to 3.7% (one run each).
    return max(hand_over.remaining_ms, hand_over.target_ms)


def is_stalled_again(owner_state: OwnerState, queued: QueuedAttempt, now: Seconds) -> bool:
    """Tell whether an attempt that waited for a slow phase to end had better go elsewhere.

    Phases follow each other by chance: what waits through a second one is late for sure, while
    another upstream may be at its usual pace.
    """
    if queued.hand_over.accept_if_slow or queued.hand_over.target_ms is None:
        return False
    if not paces.is_slow(owner_state.pace, now) or owner_state.pace.began_at <= queued.queued_at:
        return False
    usual_ms = _find_lasting_ms(owner_state, queued.hand_over.route)
    left_ms = (queued.due_at - now) * MILLISECONDS_PER_SECOND + usual_ms
    return find_expected_ms(owner_state, queued.hand_over.route, now) > left_ms


def find_leaving(owner_state: OwnerState, queued: QueuedAttempt, now: Seconds) -> Seconds:
    """Return the time at which an attempt that still waits for a slot is given back."""
    slack_ms = _find_limit_ms(queued) - _find_lasting_ms(owner_state, queued.hand_over.route)
    return now + max(0.0, slack_ms) / MILLISECONDS_PER_SECOND


def find_due(owner_state: OwnerState, hand_over: HandOver, now: Seconds) -> Seconds:
    """Return the time by which an attempt has to start for its answer to be in time."""
    target_ms = hand_over.target_ms or 0.0
    slack_ms = target_ms - _find_lasting_ms(owner_state, hand_over.route)
    return now + slack_ms / MILLISECONDS_PER_SECOND


def find_expected_ms(owner_state: OwnerState, route: str, now: Seconds) -> Milliseconds:
    """Return how long an attempt of a route takes from now on, started now or after the phase."""
    if not paces.is_slow(owner_state.pace, now):
        return _find_lasting_ms(owner_state, route)
    return min(_find_slow_ms(owner_state, route), _find_held_ms(owner_state, route, now))


def _find_slow_ms(owner_state: OwnerState, route: str) -> Milliseconds:
    """Return how long an attempt takes that starts at the pace reported last."""
    return owner_state.pace.factor * find_usual_ms(owner_state, route)


def _find_held_ms(owner_state: OwnerState, route: str, now: Seconds) -> Milliseconds:
    """Return how long an attempt takes that is held to the end of the present slow phase."""
    return paces.find_rest_ms(owner_state.pace, now) + _find_lasting_ms(owner_state, route)


def _find_lasting_ms(owner_state: OwnerState, route: str) -> Milliseconds:
    """Return how long an attempt takes outside of slow phases."""
    return owner_state.pace.base * find_usual_ms(owner_state, route)


def may_start(owner_state: OwnerState, queued: QueuedAttempt, now: Seconds) -> bool:
    """Tell whether an attempt is better started now than after a slow phase or a fresh report."""
    pace = owner_state.pace
    route = queued.hand_over.route
    usual_ms = _find_lasting_ms(owner_state, route)
    if now >= queued.due_at:
        # It is late whatever comes: waiting on could hold it back to its deadline.
        return True
    if paces.is_slow(pace, now):
        slow_ms = _find_slow_ms(owner_state, route)
        is_in_time = now + (slow_ms - usual_ms) / MILLISECONDS_PER_SECOND <= queued.due_at
        return is_in_time or slow_ms <= _find_held_ms(owner_state, route, now)
    risk_ms = (paces.TYPICAL_SLOW_FACTOR - 1.0) * usual_ms
    if paces.is_known(pace, now) or risk_ms <= BLIND_RISK_MS:
        return True
    return _is_unanswered(owner_state, now) or not _may_ask(owner_state)


def _is_unanswered(owner_state: OwnerState, now: Seconds) -> bool:
    if owner_state.asked_at is None or owner_state.asked_at <= owner_state.pace.reported_at:
        return False
    return now >= owner_state.asked_at + ASK_TIMEOUT


def take_startable(owner_state: OwnerState, now: Seconds) -> QueuedAttempt | None:
    """Take the most urgent attempt that may start now out of its queue, or None."""
    for queued in list_in_turn(owner_state, now):
        has_place = has_room(owner_state, now, find_slots(owner_state, queued, now))
        if has_place and may_start(owner_state, queued, now):
            urgency_queue.remove(owner_state.timed, queued)
            return queued
    return None


def ask_if_held(owner_state: OwnerState, now: Seconds, effects: list[OwnerEffect]) -> None:
    """Ask the upstream for its load while an attempt waits for nothing else."""
    if not _may_ask(owner_state) or not _list_with_room(owner_state, now):
        return
    if not paces.is_known(owner_state.pace, now):
        _ask(owner_state, now, effects)


def _list_with_room(owner_state: OwnerState, now: Seconds) -> list[QueuedAttempt]:
    """List what waits though it has a slot."""
    return [
        entry.item
        for entry in owner_state.timed.entries
        if has_room(owner_state, now, find_slots(owner_state, entry.item, now))
    ]


def next_look(owner_state: OwnerState, now: Seconds) -> Seconds | None:
    """Return when the attempts that are held back have to be looked at again, or None."""
    looks = _find_next_pace(owner_state, now), _find_next_lending(owner_state, now)
    return min((look for look in looks if look is not None), default=None)


def _find_next_pace(owner_state: OwnerState, now: Seconds) -> Seconds | None:
    """Return when what waits for the upstream's pace alone has to be looked at again, or None."""
    held = _list_with_room(owner_state, now)
    if not held:
        return None
    if paces.is_slow(owner_state.pace, now):
        return min(paces.find_phase_end(owner_state.pace), *(queued.due_at for queued in held))
    if owner_state.asked_at is None:
        return now
    is_waiting = now < owner_state.asked_at + ASK_TIMEOUT
    return owner_state.asked_at + (ASK_TIMEOUT if is_waiting else ASK_EVERY)


def _find_next_lending(owner_state: OwnerState, now: Seconds) -> Seconds | None:
    """Return when the last slot is lent to a less urgent attempt that waits, or None."""
    if not has_room(owner_state, now):
        return None
    kept_until = [
        find_slot_kept_until(owner_state, entry.item) for entry in owner_state.timed.entries
    ]
    return min((until for until in kept_until if until > now), default=None)


def find_wait_ms(owner_state: OwnerState, queued: QueuedAttempt, now: Seconds) -> Milliseconds:
    """Estimate how long an attempt that came now waits for a slot, and for a cold upstream.

    Only what goes before it counts.
    """
    ahead = list_ahead(owner_state, queued, now)
    return _find_wait_behind_ms(
        owner_state, ahead, max(1, find_slots(owner_state, queued, now)), now
    )


def list_hopeless(
    owner_state: OwnerState, newcomer: QueuedAttempt, now: Seconds
) -> list[QueuedAttempt]:
    """List what waits behind a newcomer and will not start any more before it is given back.

    It is better given back at once, while there is time to try elsewhere.
    """
    if not urgency_queue.has_less_urgent(owner_state.timed, newcomer.rank):
        return []
    hopeless: list[QueuedAttempt] = []
    ahead: list[QueuedAttempt] = []
    for queued in list_in_turn(owner_state, now):
        if queued.rank > newcomer.rank and _is_hopeless(owner_state, queued, ahead, now):
            hopeless.append(queued)
        else:
            ahead.append(queued)
    return hopeless


def _is_hopeless(
    owner_state: OwnerState, queued: QueuedAttempt, ahead: list[QueuedAttempt], now: Seconds
) -> bool:
    wait_ms = _find_wait_behind_ms(
        owner_state, ahead, max(1, find_slots(owner_state, queued, now)), now
    )
    return now + wait_ms / MILLISECONDS_PER_SECOND > queued.leaves_at


def _find_wait_behind_ms(
    owner_state: OwnerState, ahead: list[QueuedAttempt], slots: int, now: Seconds
) -> Milliseconds:
    ahead_ms = sum(_find_lasting_ms(owner_state, queued.hand_over.route) for queued in ahead)
    ahead_ms += owner_state.queue.size * owner_state.times.average_ms
    rests = [
        find_run_rest_ms(owner_state, running, now) for running in owner_state.running.values()
    ]
    first_free_ms = min(rests, default=0.0) if len(rests) >= slots else 0.0
    slot_wait_ms = first_free_ms + ahead_ms / slots
    return max(
        slot_wait_ms, find_room_wait_ms(owner_state, len(ahead) + owner_state.queue.size, now)
    )
