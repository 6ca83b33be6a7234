"""Send the attempts of a call."""

from collections.abc import Callable

from bendwind_core.attempts.attempt_ids import next_attempt_id
from bendwind_core.attempts.call import (
    Attempt,
    AttemptState,
    CallPhase,
    EntryCall,
    has_expired,
    has_pending,
    has_reached_limit,
    may_have_run,
)
from bendwind_core.attempts.endings import finish_not_run, give_up, refuse_for_want_of_room
from bendwind_core.attempts.events import EntryEffect, SendHandOver, StartTimer, TimerKind
from bendwind_core.attempts.messages import NotRunReason
from bendwind_core.attempts.retry_after import NoRoom
from bendwind_core.attempts.tries import (
    find_shortest_wait,
    list_waiting,
    may_be_refused_again,
    may_try_free,
)
from bendwind_core.core import MILLISECONDS_PER_SECOND, Milliseconds, Seconds
from bendwind_core.limits import (
    earn_by_call,
    earn_by_no_wait_attempt,
    earn_retry,
    may_retry,
    spend_retry,
)
from bendwind_core.world import Policy, Upstream

Choose = Callable[[frozenset[str]], Upstream | NoRoom | None]

MAX_ATTEMPTS = 5
# So many attempts are sent back by a stalled upstream rather than taken.
POLITE_ATTEMPTS = 3
# The owner's time ends a little before the caller's, so that its proof still arrives in time.
REPLY_MARGIN_MAX: Seconds = 0.020
REPLY_MARGIN_SHARE = 0.1
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
    if has_expired(call, now):
        # Its claim was granted too late.
        finish_not_run(call, NotRunReason.DEADLINE, None, effects)
        return
    call.phase = CallPhase.TRYING
    upstream = choose(_NONE_EXCLUDED)
    match upstream:
        case None:
            finish_not_run(call, NotRunReason.NO_UPSTREAM, None, effects)
            return
        case NoRoom(wait_ms=wait_ms):
            refuse_for_want_of_room(call, upstream.reason, wait_ms, effects)
            return
    earn_retry(call.budget, now)
    earn_by_call(call.budget.no_wait)
    _send(
        call,
        upstream,
        now,
        effects,
        may_wait=not (may_try_free(call, upstream, now) and _has_other(upstream, choose)),
    )
    hedge_after_ms = call.service.hedge_after_ms
    if hedge_after_ms is not None and call.is_idempotent:
        hedge_at = now + hedge_after_ms / MILLISECONDS_PER_SECOND
        if hedge_at < call.deadline_at:
            effects.append(StartTimer(TimerKind.HEDGE, hedge_at))


def _has_other(upstream: Upstream, choose: Choose) -> bool:
    """Tell whether another upstream serves; where there is none, a request has to wait anyway."""
    return isinstance(choose(frozenset((upstream.name,))), Upstream)


def send_hedge(call: EntryCall, now: Seconds, choose: Choose, effects: list[EntryEffect]) -> None:
    """Send a second attempt beside the first."""
    handed_over = [one for one in call.attempts if one.state is not AttemptState.NOT_RUN]
    is_open = len(handed_over) == 1 and handed_over[0].state is AttemptState.OUTSTANDING
    if call.phase is not CallPhase.TRYING or not is_open or not may_retry(call.budget):
        return
    if has_reached_limit(call):
        return
    upstream = choose(frozenset(attempt.upstream.name for attempt in call.attempts))
    if not isinstance(upstream, Upstream):
        return
    spend_retry(call.budget)
    _send(call, upstream, now, effects)


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
        earn_by_no_wait_attempt(call.budget.no_wait)
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


def _find_target_ms(call: EntryCall, now: Seconds) -> Milliseconds | None:
    if call.target_at is None:
        return None
    return max(0.0, (call.target_at - now) * MILLISECONDS_PER_SECOND)


def _must_insist(call: EntryCall, upstream: Upstream) -> bool:
    # The other policies stay the plain baselines that they are.
    if call.service.policy is not Policy.SCORE:
        return True
    # The last attempt in the list is the one being sent.
    earlier = list_waiting(call.attempts[:-1])
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
    if call.is_caller_gone or len(list_waiting(call.attempts)) >= MAX_ATTEMPTS:
        return False
    # An attempt sent now would have no fence: it could end as unknown despite a proof of not-run.
    if has_expired(call, now) or now + reply_margin(call, now) >= call.deadline_at:
        return False
    if not call.is_idempotent and may_have_run(call):
        return False
    if has_reached_limit(call):
        return False
    return (is_free and may_be_refused_again(call)) or (not is_free and may_retry(call.budget))


def _is_lasting(attempt: Attempt) -> bool:
    """Tell whether an upstream that sent an attempt back would send the next one back too."""
    if attempt.not_run is NotRunReason.LIMITED:
        # It would have let it wait for its turn, if there were one in time.
        return attempt.may_wait
    return attempt.not_run not in _PASSING_BOUNCES


def _choose_next(
    call: EntryCall, now: Seconds, choose: Choose
) -> tuple[Upstream | NoRoom | None, bool]:
    """Return the upstream of the next attempt, and whether the attempt may wait there."""
    upstream = choose(frozenset(attempt.upstream.name for attempt in call.attempts))
    if isinstance(upstream, Upstream) and may_try_free(call, upstream, now):
        return upstream, False
    soonest = find_shortest_wait(call, now)
    if soonest is not None:
        return soonest, True
    if isinstance(upstream, Upstream):
        return upstream, True
    lasting = [attempt for attempt in call.attempts if _is_lasting(attempt)]
    return choose(frozenset(attempt.upstream.name for attempt in lasting)), True
