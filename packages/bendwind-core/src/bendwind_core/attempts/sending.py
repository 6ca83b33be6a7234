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
    has_reached_attempt_limit,
    may_have_run,
)
from bendwind_core.attempts.endings import (
    finish_if_none_pending,
    finish_not_run,
    refuse_for_lack_of_capacity,
)
from bendwind_core.attempts.events import EntryEffect, SendHandOver, StartTimer, TimerKind
from bendwind_core.attempts.messages import NotRunReason
from bendwind_core.attempts.no_wait import (
    exclude_busy_refusals,
    find_upstream_with_shortest_wait,
    may_try_another_owner,
    should_send_no_wait,
)
from bendwind_core.attempts.retry_after import NoCapacity
from bendwind_core.core import MILLISECONDS_PER_SECOND, Milliseconds, Seconds
from bendwind_core.limits import (
    earn_by_call,
    earn_by_no_wait_attempt,
    earn_retry,
    may_resend,
    may_retry,
    spend_retry,
)
from bendwind_core.world import Policy, Upstream

ChooseUpstream = Callable[[frozenset[str]], Upstream | NoCapacity | None]

MAX_ATTEMPTS = 5
# A stalled upstream refuses this many attempts of a call; it has to accept a later one.
STALL_REFUSABLE_ATTEMPTS = 3
# The owner's time limit ends slightly before the caller's, so that the owner's proof that an
# attempt did not run still arrives in time.
REPLY_MARGIN_MAX: Seconds = 0.020
REPLY_MARGIN_SHARE = 0.1
# After these refusals the same upstream may well accept the next attempt.
_TRANSIENT_REFUSALS = frozenset(
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


def send_first(
    call: EntryCall, now: Seconds, choose: ChooseUpstream, effects: list[EntryEffect]
) -> None:
    """Send the first attempt of a call."""
    if has_expired(call, now):
        # The claim was granted too late.
        finish_not_run(call, NotRunReason.DEADLINE, None, effects)
        return
    call.phase = CallPhase.TRYING
    upstream = choose(_NONE_EXCLUDED)
    match upstream:
        case None:
            finish_not_run(call, NotRunReason.NO_UPSTREAM, None, effects)
            return
        case NoCapacity(wait_ms=wait_ms):
            refuse_for_lack_of_capacity(call, upstream.reason, wait_ms, effects)
            return
    earn_retry(call.budget, now)
    earn_by_call(call.budget.no_wait)
    _send(
        call,
        upstream,
        now,
        effects,
        may_wait=not (
            should_send_no_wait(call, upstream, now) and _has_alternative(upstream, choose)
        ),
    )
    hedge_after_ms = call.service.hedge_after_ms
    if hedge_after_ms is not None and call.is_idempotent:
        hedge_at = now + hedge_after_ms / MILLISECONDS_PER_SECOND
        if hedge_at < call.deadline_at:
            effects.append(StartTimer(TimerKind.HEDGE, hedge_at))


def _has_alternative(upstream: Upstream, choose: ChooseUpstream) -> bool:
    """Return whether there is another upstream; without one, a request has to wait anyway."""
    return isinstance(choose(frozenset((upstream.name,))), Upstream)


def send_hedge(
    call: EntryCall, now: Seconds, choose: ChooseUpstream, effects: list[EntryEffect]
) -> None:
    """Send a hedge, which is a second attempt in parallel to the first."""
    not_refused = [one for one in call.attempts if one.state is not AttemptState.NOT_RUN]
    is_open = len(not_refused) == 1 and not_refused[0].state is AttemptState.OUTSTANDING
    if call.phase is not CallPhase.TRYING or not is_open or not may_retry(call.budget):
        return
    if has_reached_attempt_limit(call):
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
    accept_if_slow = _should_accept_if_slow(call, upstream)
    remaining_ms = remaining * MILLISECONDS_PER_SECOND
    effects.append(
        SendHandOver(
            attempt.id,
            upstream,
            remaining_ms,
            accept_if_slow,
            _find_target_ms(call, now),
            may_wait,
            may_resend(call.budget),
        )
    )


def _find_target_ms(call: EntryCall, now: Seconds) -> Milliseconds | None:
    if call.target_at is None:
        return None
    return max(0.0, (call.target_at - now) * MILLISECONDS_PER_SECOND)


def _should_accept_if_slow(call: EntryCall, upstream: Upstream) -> bool:
    # The other policies are plain baselines: their attempts do not avoid stalled upstreams.
    if call.service.policy is not Policy.SCORE:
        return True
    # The last attempt in the list is the one being sent.
    earlier_attempts = exclude_busy_refusals(call.attempts[:-1])
    if len(earlier_attempts) >= STALL_REFUSABLE_ATTEMPTS:
        return True
    return any(attempt.upstream.name == upstream.name for attempt in earlier_attempts)


def reply_margin(call: EntryCall, now: Seconds) -> Seconds:
    """Return how much of the time left is reserved for the owner's proof to arrive."""
    return min(REPLY_MARGIN_MAX, REPLY_MARGIN_SHARE * (call.deadline_at - now))


def retry_or_finish(
    call: EntryCall,
    now: Seconds,
    choose: ChooseUpstream,
    effects: list[EntryEffect],
    *,
    is_budget_exempt: bool,
) -> None:
    """Send another attempt if rule, budget and time permit, else end the call."""
    if has_pending(call):
        return
    upstream = None
    may_wait = True
    if _is_retry_permitted(call, now, is_budget_exempt=is_budget_exempt):
        upstream, may_wait = _choose_next(call, now, choose)
    if not isinstance(upstream, Upstream):
        finish_if_none_pending(call, effects)
        return
    if not is_budget_exempt:
        spend_retry(call.budget)
    _send(call, upstream, now, effects, may_wait=may_wait)


def _is_retry_permitted(call: EntryCall, now: Seconds, *, is_budget_exempt: bool) -> bool:
    if call.is_caller_gone or call.has_ended_starts:
        return False
    if len(exclude_busy_refusals(call.attempts)) >= MAX_ATTEMPTS:
        return False
    # An attempt sent now would not be fenced: the call could end as unknown despite a proof of
    # not-run.
    if has_expired(call, now) or now + reply_margin(call, now) >= call.deadline_at:
        return False
    if not call.is_idempotent and may_have_run(call):
        return False
    if has_reached_attempt_limit(call):
        return False
    return (is_budget_exempt and may_try_another_owner(call)) or (
        not is_budget_exempt and may_retry(call.budget)
    )


def _would_refuse_again(attempt: Attempt) -> bool:
    """Return whether the upstream that refused this attempt would refuse the next one too."""
    if attempt.not_run is NotRunReason.LIMITED:
        # The owner would have let it wait if the rate limit allowed it to start in time.
        return attempt.may_wait
    return attempt.not_run not in _TRANSIENT_REFUSALS


def _choose_next(
    call: EntryCall, now: Seconds, choose: ChooseUpstream
) -> tuple[Upstream | NoCapacity | None, bool]:
    """Return the upstream of the next attempt and whether the attempt may wait there."""
    upstream = choose(frozenset(attempt.upstream.name for attempt in call.attempts))
    if isinstance(upstream, Upstream) and should_send_no_wait(call, upstream, now):
        return upstream, False
    first_free = find_upstream_with_shortest_wait(call, now)
    if first_free is not None:
        return first_free, True
    if isinstance(upstream, Upstream):
        return upstream, True
    refusing = [attempt for attempt in call.attempts if _would_refuse_again(attempt)]
    return choose(frozenset(attempt.upstream.name for attempt in refusing)), True
