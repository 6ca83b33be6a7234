"""Send the attempts of a call."""

from collections.abc import Callable

from bendwind_core.attempts.attempt_ids import next_attempt_id
from bendwind_core.attempts.call import (
    Attempt,
    AttemptState,
    CallPhase,
    EntryCall,
    has_pending,
    has_reached_limit,
    may_have_run,
)
from bendwind_core.attempts.endings import finish_not_run, give_up, refuse_for_want_of_room
from bendwind_core.attempts.events import EntryEffect, SendHandOver, StartTimer, TimerKind
from bendwind_core.attempts.messages import NotRunReason
from bendwind_core.attempts.retry_after import NoRoom
from bendwind_core.core import MILLISECONDS_PER_SECOND, Milliseconds, Seconds
from bendwind_core.limits import (
    earn_by_call,
    earn_by_try,
    earn_retry,
    may_retry,
    may_try,
    spend_retry,
)
from bendwind_core.world import Policy, Upstream

Choose = Callable[[frozenset[str]], Upstream | NoRoom | None]

MAX_ATTEMPTS = 5
# So many attempts are sent back by a stalled upstream rather than taken.
POLITE_ATTEMPTS = 3
# So many owners may say that they are busy before one is asked to let the request wait.
POLITE_TRIES = 8
# So many owners may refuse to let a request wait before it is given up where most have no room: few
# refusals may be chance, and the run that waits for an inner call is lost with it.
SURE_OWNERS = 3
# The owner's time ends a little before the caller's, so that its proof still arrives in time.
REPLY_MARGIN_MAX: Seconds = 0.020
REPLY_MARGIN_SHARE = 0.1
# So an owner says that it has no room for a request that it might have taken at another time.
NO_ROOM = frozenset({NotRunReason.BUSY, NotRunReason.STALLED, NotRunReason.QUEUE_FULL})
# After these the same upstream may well take the next attempt.
_PASSING_BOUNCES = frozenset(
    {
        NotRunReason.STALLED,
        NotRunReason.FENCED,
        NotRunReason.WRONG_OWNER,
        NotRunReason.CONNECT_FAILED,
        NotRunReason.KEPT_APART,
        NotRunReason.BUSY,
    }
)

_NONE_EXCLUDED: frozenset[str] = frozenset()


def send_first(call: EntryCall, now: Seconds, choose: Choose, effects: list[EntryEffect]) -> None:
    """Send the first attempt."""
    call.phase = CallPhase.TRYING
    upstream = choose(_NONE_EXCLUDED)
    match upstream:
        case None:
            finish_not_run(call, NotRunReason.NO_UPSTREAM, None, effects)
            return
        case NoRoom(wait_ms=wait_ms):
            refuse_for_want_of_room(call, wait_ms, effects)
            return
    earn_retry(call.budget, now)
    earn_by_call(call.budget.tries)
    _send(call, upstream, now, effects, may_wait=not _may_ask(call, upstream, choose))
    hedge_after_ms = call.service.hedge_after_ms
    if hedge_after_ms is not None and call.is_idempotent:
        hedge_at = now + hedge_after_ms / MILLISECONDS_PER_SECOND
        if hedge_at < call.deadline_at:
            effects.append(StartTimer(TimerKind.HEDGE, hedge_at))


def send_hedge(call: EntryCall, now: Seconds, choose: Choose, effects: list[EntryEffect]) -> None:
    """Send a second attempt beside the first."""
    is_alone = len(call.attempts) == 1
    is_open = is_alone and call.attempts[0].state is AttemptState.OUTSTANDING
    if call.phase is not CallPhase.TRYING or not is_open or not may_retry(call.budget):
        return
    if has_reached_limit(call):
        return
    upstream = choose(frozenset((call.attempts[0].upstream.name,)))
    if not isinstance(upstream, Upstream):
        return
    spend_retry(call.budget)
    _send(call, upstream, now, effects)


def _may_ask(call: EntryCall, upstream: Upstream, choose: Choose) -> bool:
    """Tell whether an attempt is only to be taken by an upstream that is free.

    Where there is only one, the request has to wait there anyway.
    """
    if call.service.policy is not Policy.SCORE or not may_try(call.budget.tries):
        return False
    if call.attempts:
        return len(_list_busy(call)) < POLITE_TRIES
    return isinstance(choose(frozenset((upstream.name,))), Upstream)


def _is_busy(attempt: Attempt) -> bool:
    """Tell whether an attempt that might not wait found its upstream busy."""
    return not attempt.may_wait and attempt.not_run is NotRunReason.BUSY


def _list_busy(call: EntryCall) -> list[Attempt]:
    return [attempt for attempt in call.attempts if _is_busy(attempt)]


def _find_shortest_wait(call: EntryCall, now: Seconds) -> Upstream | None:
    """Return the busy upstream that should be free first, of those not handed over to since."""
    waited = {attempt.upstream.name for attempt in call.attempts if attempt.may_wait}
    busy = [one for one in _list_busy(call) if one.upstream.name not in waited]
    if not busy:
        return None
    return min(busy, key=_find_free_at).upstream


def _find_free_at(attempt: Attempt) -> Seconds:
    # The owner's word counts what goes before a request of this rank, its load all that waits.
    load_ms = attempt.load.wait_ms if attempt.load is not None else 0.0
    wait_ms = load_ms if attempt.wait_ms is None else attempt.wait_ms
    return (attempt.ended_at or 0.0) + wait_ms / MILLISECONDS_PER_SECOND


def _send(
    call: EntryCall,
    upstream: Upstream,
    now: Seconds,
    effects: list[EntryEffect],
    *,
    may_wait: bool = True,
) -> None:
    id = next_attempt_id(call.attempt_ids)
    attempt = Attempt(id, upstream, sent_at=now, may_wait=may_wait)
    if not may_wait:
        earn_by_try(call.budget.tries)
    call.attempts.append(attempt)
    remaining = call.deadline_at - now - reply_margin(call, now)
    insist = _must_insist(call, upstream)
    remaining_ms = remaining * MILLISECONDS_PER_SECOND
    effects.append(
        SendHandOver(
            attempt.id,
            upstream,
            remaining_ms,
            insist,
            _find_target_ms(call, now),
            may_wait,
        )
    )


def _list_bounced(attempts: list[Attempt]) -> list[Attempt]:
    return [attempt for attempt in attempts if not _is_busy(attempt)]


def _find_target_ms(call: EntryCall, now: Seconds) -> Milliseconds | None:
    if call.target_at is None:
        return None
    return max(0.0, (call.target_at - now) * MILLISECONDS_PER_SECOND)


def _must_insist(call: EntryCall, upstream: Upstream) -> bool:
    # The other policies stay the plain baselines that they are.
    if call.service.policy is not Policy.SCORE:
        return True
    # The last attempt in the list is the one being sent.
    earlier = _list_bounced(call.attempts[:-1])
    if len(earlier) >= POLITE_ATTEMPTS:
        return True
    return any(attempt.upstream.name == upstream.name for attempt in earlier)


def reply_margin(call: EntryCall, now: Seconds) -> Seconds:
    """Return how much of the time left is kept for the owner's proof to arrive in."""
    return min(REPLY_MARGIN_MAX, REPLY_MARGIN_SHARE * (call.deadline_at - now))


def try_again(
    call: EntryCall, now: Seconds, choose: Choose, effects: list[EntryEffect], *, is_free: bool
) -> None:
    """Send another attempt if rule, budget and time permit, else give up."""
    if has_pending(call):
        return
    upstream = None
    may_wait = True
    if _may_try_again(call, now, is_free=is_free):
        upstream, may_wait = _choose_next(call, now, choose)
    if not isinstance(upstream, Upstream):
        give_up(call, effects)
        return
    if not is_free:
        spend_retry(call.budget)
    _send(call, upstream, now, effects, may_wait=may_wait)


def _may_try_again(call: EntryCall, now: Seconds, *, is_free: bool) -> bool:
    if call.is_caller_gone or len(_list_bounced(call.attempts)) >= MAX_ATTEMPTS:
        return False
    if now + reply_margin(call, now) >= call.deadline_at:
        return False
    if not call.is_idempotent and may_have_run(call):
        return False
    if has_reached_limit(call):
        return False
    return (is_free and _may_be_sent_back(call)) or (not is_free and may_retry(call.budget))


def _may_be_sent_back(call: EntryCall) -> bool:
    """Tell whether another owner may be asked after one that has no room.

    Where most have none, each further one is a message for nothing, and the caller had better hear
    at once when to come back.
    """
    refused = sum(one.may_wait and one.not_run in NO_ROOM for one in call.attempts)
    return refused < SURE_OWNERS or may_try(call.budget.tries)


def _choose_next(
    call: EntryCall, now: Seconds, choose: Choose
) -> tuple[Upstream | NoRoom | None, bool]:
    """Return the upstream of the next attempt, and whether the attempt may wait there."""
    upstream = choose(frozenset(attempt.upstream.name for attempt in call.attempts))
    if isinstance(upstream, Upstream) and _may_ask(call, upstream, choose):
        return upstream, False
    soonest = _find_shortest_wait(call, now)
    if soonest is not None:
        return soonest, True
    if isinstance(upstream, Upstream):
        return upstream, True
    lasting = [attempt for attempt in call.attempts if attempt.not_run not in _PASSING_BOUNCES]
    return choose(frozenset(attempt.upstream.name for attempt in lasting)), True
