"""Decide what an entry node does with one call.

An attempt that may not be repeated is followed by another only after a proof that it did not run.
An idempotent one may also be followed after an unknown result or an error, paid for from the
service's retry budget. A bounce by an owner that cost its upstream nothing is retried elsewhere
without pay, a few times. Only one attempt is ever delivered.
"""

from collections.abc import Callable

from bendwind_core.attempts.attempt_ids import next_attempt_id
from bendwind_core.attempts.call import (
    Attempt,
    AttemptState,
    CallPhase,
    EntryCall,
    find_attempt,
    has_pending,
    may_have_run,
)
from bendwind_core.attempts.events import (
    AttemptBodyPart,
    AttemptHead,
    AttemptNotRun,
    AttemptUnknown,
    Begin,
    CallerGone,
    ClaimGranted,
    ClaimHeldByOther,
    ClaimOutcome,
    ClaimRefusal,
    ClaimRefused,
    Cut,
    DeliverHead,
    DeliverPart,
    DeliverRecorded,
    EntryEffect,
    EntryEvent,
    FenceAnswered,
    FenceFailed,
    FinishDelivered,
    FinishGone,
    FinishNotRun,
    FinishRefused,
    FinishUnknown,
    OwnerLost,
    RecordClaim,
    ReleaseClaim,
    RequestClaim,
    SendCancel,
    SendFence,
    SendHandOver,
    StartTimer,
    TimerFired,
    TimerKind,
)
from bendwind_core.attempts.messages import CutReason, FenceVerdict, NotRunReason
from bendwind_core.attempts.retry_after import estimate_retry_after_ms
from bendwind_core.core import MILLISECONDS_PER_SECOND, Seconds
from bendwind_core.limits import earn_retry, may_retry, spend_retry
from bendwind_core.world import Policy, Upstream

Choose = Callable[[frozenset[str]], Upstream | None]

MAX_ATTEMPTS = 5
# So many attempts are sent back by a stalled upstream rather than taken.
POLITE_ATTEMPTS = 2
# The owner's time ends a little before the caller's, so that its proof still arrives in time.
REPLY_MARGIN_MAX: Seconds = 0.020
REPLY_MARGIN_SHARE = 0.1
FENCE_WAIT: Seconds = 0.5
CLAIM_PENDING_RETRY_MS = 1000.0

_FAILED_STATUSES = frozenset({500, 502, 503, 504})
# These bounces cost the upstream nothing.
_FREE_BOUNCES = frozenset(
    {
        NotRunReason.QUEUE_FULL,
        NotRunReason.DRAINING,
        NotRunReason.NO_UPSTREAM,
        NotRunReason.FENCED,
        NotRunReason.WRONG_OWNER,
        NotRunReason.CONNECT_FAILED,
        NotRunReason.OVERLOADED,
        NotRunReason.STALLED,
    }
)
# After these the same upstream may well take the next attempt.
_PASSING_BOUNCES = frozenset(
    {
        NotRunReason.STALLED,
        NotRunReason.FENCED,
        NotRunReason.WRONG_OWNER,
        NotRunReason.CONNECT_FAILED,
    }
)
_NONE_EXCLUDED: frozenset[str] = frozenset()


def step(call: EntryCall, event: EntryEvent, now: Seconds, choose: Choose) -> list[EntryEffect]:
    """Apply an event to a call.

    `choose` picks an upstream whose name is not excluded, or returns None.
    """
    effects: list[EntryEffect] = []
    if call.phase is CallPhase.FINISHED:
        _step_finished(event, effects)
        return effects
    match event:
        case AttemptHead():
            _on_head(call, event, now, choose, effects)
        case Begin():
            _on_begin(call, now, choose, effects)
        case AttemptBodyPart():
            _on_body_part(call, event, effects)
        case AttemptNotRun():
            _on_not_run(call, event, now, choose, effects)
        case AttemptUnknown():
            _on_unknown(call, event, now, choose, effects)
        case OwnerLost():
            _on_owner_lost(call, event, now, choose, effects)
        case FenceAnswered():
            _on_fence_answered(call, event, now, choose, effects)
        case FenceFailed():
            _settle_lost(call, event.attempt, CutReason.LINK_LOST, now, choose, effects)
        case TimerFired():
            _on_timer(call, event.kind, now, choose, effects)
        case ClaimGranted() | ClaimRefused() | ClaimHeldByOther():
            _on_claim(call, event, now, choose, effects)
        case CallerGone():
            _on_caller_gone(call, effects)
    return effects


def _step_finished(event: EntryEvent, effects: list[EntryEffect]) -> None:
    # The call ended while its claim was being asked for: it never ran under this claim.
    if isinstance(event, ClaimGranted):
        effects.append(ReleaseClaim())


def _on_begin(call: EntryCall, now: Seconds, choose: Choose, effects: list[EntryEffect]) -> None:
    if now >= call.deadline_at:
        _finish_not_run(call, NotRunReason.DEADLINE, None, effects)
        return
    if call.is_idempotent:
        effects.append(StartTimer(TimerKind.DEADLINE, call.deadline_at))
    else:
        effects.append(StartTimer(TimerKind.EXPIRY, call.deadline_at - _reply_margin(call, now)))
    if call.has_key:
        call.phase = CallPhase.CLAIMING
        effects.append(RequestClaim())
        return
    _send_first(call, now, choose, effects)


def _reply_margin(call: EntryCall, now: Seconds) -> Seconds:
    return min(REPLY_MARGIN_MAX, REPLY_MARGIN_SHARE * (call.deadline_at - now))


def _send_first(call: EntryCall, now: Seconds, choose: Choose, effects: list[EntryEffect]) -> None:
    call.phase = CallPhase.TRYING
    upstream = choose(_NONE_EXCLUDED)
    if upstream is None:
        _finish_not_run(call, NotRunReason.NO_UPSTREAM, None, effects)
        return
    earn_retry(call.budget)
    _send(call, upstream, now, effects)
    hedge_after_ms = call.service.hedge_after_ms
    if hedge_after_ms is not None and call.is_idempotent:
        hedge_at = now + hedge_after_ms / MILLISECONDS_PER_SECOND
        if hedge_at < call.deadline_at:
            effects.append(StartTimer(TimerKind.HEDGE, hedge_at))


def _send(call: EntryCall, upstream: Upstream, now: Seconds, effects: list[EntryEffect]) -> None:
    attempt = Attempt(next_attempt_id(call.attempt_ids), upstream)
    call.attempts.append(attempt)
    remaining = call.deadline_at - now - _reply_margin(call, now)
    insist = _must_insist(call, upstream)
    effects.append(SendHandOver(attempt.id, upstream, remaining * MILLISECONDS_PER_SECOND, insist))


def _must_insist(call: EntryCall, upstream: Upstream) -> bool:
    # The other policies stay the plain baselines that they are.
    if call.service.policy is not Policy.SCORE:
        return True
    # The last attempt in the list is the one being sent.
    earlier = call.attempts[:-1]
    if len(earlier) >= POLITE_ATTEMPTS:
        return True
    return any(attempt.upstream.name == upstream.name for attempt in earlier)


def _on_claim(
    call: EntryCall,
    event: ClaimGranted | ClaimRefused | ClaimHeldByOther,
    now: Seconds,
    choose: Choose,
    effects: list[EntryEffect],
) -> None:
    if call.phase is not CallPhase.CLAIMING:
        return
    match event:
        case ClaimGranted():
            call.is_claim_held = True
            _send_first(call, now, choose, effects)
        case ClaimRefused(reason=ClaimRefusal.UNAVAILABLE):
            _finish_not_run(call, NotRunReason.CLAIM_UNAVAILABLE, None, effects)
        case ClaimRefused():
            _finish(call, FinishRefused(event.reason), effects)
        case ClaimHeldByOther(is_recorded=True):
            _finish(call, DeliverRecorded(), effects)
        case ClaimHeldByOther():
            pending = FinishUnknown(CutReason.CLAIM_PENDING, CLAIM_PENDING_RETRY_MS)
            _finish(call, pending, effects)


def _on_head(
    call: EntryCall, event: AttemptHead, now: Seconds, choose: Choose, effects: list[EntryEffect]
) -> None:
    attempt = find_attempt(call, event.attempt)
    if attempt is None or attempt.state is not AttemptState.OUTSTANDING:
        return
    is_failed = event.status in _FAILED_STATUSES
    if is_failed and event.is_complete and call.is_idempotent and call.winner is None:
        attempt.state = AttemptState.HELD
        _try_again(call, now, choose, effects, is_free=False)
        return
    _deliver(call, attempt, is_complete=event.is_complete, effects=effects)


def _deliver(
    call: EntryCall, attempt: Attempt, *, is_complete: bool, effects: list[EntryEffect]
) -> None:
    attempt.state = AttemptState.WON
    call.winner = attempt
    call.phase = CallPhase.DELIVERING
    _cancel_pending(call, effects)
    effects.append(DeliverHead(attempt.id))
    if is_complete:
        _finish_delivered(call, attempt, effects)


def _cancel_pending(call: EntryCall, effects: list[EntryEffect]) -> None:
    for attempt in call.attempts:
        if attempt.state is AttemptState.OUTSTANDING:
            effects.append(SendCancel(attempt.id, attempt.upstream))
            attempt.state = AttemptState.CANCELLED
        elif attempt.state is AttemptState.LOST:
            attempt.state = AttemptState.UNKNOWN
            attempt.cut = CutReason.LINK_LOST


def _on_body_part(call: EntryCall, event: AttemptBodyPart, effects: list[EntryEffect]) -> None:
    winner = call.winner
    if winner is None or winner.id != event.attempt or event.index < call.next_part:
        return
    if event.index > call.next_part:
        _cut(call, CutReason.BODY_CUT, effects)
        return
    call.next_part += 1
    effects.append(DeliverPart(winner.id))
    if not event.more:
        _finish_delivered(call, winner, effects)


def _on_not_run(
    call: EntryCall, event: AttemptNotRun, now: Seconds, choose: Choose, effects: list[EntryEffect]
) -> None:
    attempt = find_attempt(call, event.attempt)
    if attempt is None or attempt.state not in (AttemptState.OUTSTANDING, AttemptState.LOST):
        return
    _mark_not_run(call, attempt, event, now, choose, effects)


def _mark_not_run(
    call: EntryCall,
    attempt: Attempt,
    proof: AttemptNotRun,
    now: Seconds,
    choose: Choose,
    effects: list[EntryEffect],
) -> None:
    attempt.state = AttemptState.NOT_RUN
    attempt.not_run = proof.reason
    attempt.load = proof.load
    is_final = proof.reason in (NotRunReason.DEADLINE, NotRunReason.CANCELLED)
    if is_final:
        _give_up(call, effects)
        return
    _try_again(call, now, choose, effects, is_free=proof.reason in _FREE_BOUNCES)


def _on_unknown(
    call: EntryCall, event: AttemptUnknown, now: Seconds, choose: Choose, effects: list[EntryEffect]
) -> None:
    attempt = find_attempt(call, event.attempt)
    if attempt is None:
        return
    if attempt is call.winner:
        _cut(call, event.reason, effects)
        return
    if attempt.state not in (AttemptState.OUTSTANDING, AttemptState.LOST):
        return
    _mark_unknown(call, attempt, event.reason, now, choose, effects)


def _mark_unknown(
    call: EntryCall,
    attempt: Attempt,
    reason: CutReason,
    now: Seconds,
    choose: Choose,
    effects: list[EntryEffect],
) -> None:
    attempt.state = AttemptState.UNKNOWN
    attempt.cut = reason
    if call.is_idempotent:
        _try_again(call, now, choose, effects, is_free=False)
    else:
        _give_up(call, effects)


def _on_owner_lost(
    call: EntryCall, event: OwnerLost, now: Seconds, choose: Choose, effects: list[EntryEffect]
) -> None:
    attempt = find_attempt(call, event.attempt)
    if attempt is None:
        return
    if attempt is call.winner:
        _cut(call, CutReason.LINK_LOST, effects)
        return
    if attempt.state is not AttemptState.OUTSTANDING:
        return
    if call.is_idempotent and may_retry(call.budget):
        _mark_unknown(call, attempt, CutReason.LINK_LOST, now, choose, effects)
        return
    attempt.state = AttemptState.LOST
    effects.append(SendFence(attempt.id, attempt.upstream))
    effects.append(StartTimer(TimerKind.FENCE, min(call.deadline_at, now + FENCE_WAIT)))


def _on_fence_answered(
    call: EntryCall, event: FenceAnswered, now: Seconds, choose: Choose, effects: list[EntryEffect]
) -> None:
    attempt = find_attempt(call, event.attempt)
    if attempt is None:
        return
    match event.verdict:
        case FenceVerdict.NEVER_STARTED:
            if attempt.state in (AttemptState.OUTSTANDING, AttemptState.LOST):
                proof = AttemptNotRun(attempt.id, NotRunReason.FENCED)
                _mark_not_run(call, attempt, proof, now, choose, effects)
        case FenceVerdict.STARTED:
            _settle_lost(call, attempt.id, CutReason.LINK_LOST, now, choose, effects)
        case FenceVerdict.FORGOTTEN:
            _settle_lost(call, attempt.id, CutReason.OWNER_RESTARTED, now, choose, effects)


def _settle_lost(
    call: EntryCall,
    attempt_id,
    reason: CutReason,
    now: Seconds,
    choose: Choose,
    effects: list[EntryEffect],
) -> None:
    # An attempt whose link still stands may yet be answered, whatever its fence said.
    attempt = find_attempt(call, attempt_id)
    if attempt is not None and attempt.state is AttemptState.LOST:
        _mark_unknown(call, attempt, reason, now, choose, effects)


def _try_again(
    call: EntryCall, now: Seconds, choose: Choose, effects: list[EntryEffect], *, is_free: bool
) -> None:
    if has_pending(call):
        return
    upstream = None
    if _may_try_again(call, now, is_free=is_free):
        upstream = _choose_next(call, choose)
    if upstream is None:
        _give_up(call, effects)
        return
    if not is_free:
        spend_retry(call.budget)
    _send(call, upstream, now, effects)


def _may_try_again(call: EntryCall, now: Seconds, *, is_free: bool) -> bool:
    if call.is_caller_gone or len(call.attempts) >= MAX_ATTEMPTS:
        return False
    if now + _reply_margin(call, now) >= call.deadline_at:
        return False
    if not call.is_idempotent and may_have_run(call):
        return False
    return is_free or may_retry(call.budget)


def _choose_next(call: EntryCall, choose: Choose) -> Upstream | None:
    tried = frozenset(attempt.upstream.name for attempt in call.attempts)
    upstream = choose(tried)
    if upstream is None and call.attempts[-1].not_run in _PASSING_BOUNCES:
        upstream = choose(_NONE_EXCLUDED)
    return upstream


def _give_up(call: EntryCall, effects: list[EntryEffect]) -> None:
    if has_pending(call):
        return
    held = _find_held(call)
    if held is not None:
        _deliver(call, held, is_complete=True, effects=effects)
        return
    if may_have_run(call):
        reason = next((a.cut for a in call.attempts if a.cut is not None), CutReason.CANCELLED)
        _finish_unknown(call, reason, effects)
        return
    last = call.attempts[-1]
    _finish_not_run(call, last.not_run, last, effects)


def _find_held(call: EntryCall) -> Attempt | None:
    for attempt in reversed(call.attempts):
        if attempt.state is AttemptState.HELD:
            return attempt
    return None


def _on_timer(
    call: EntryCall, kind: TimerKind, now: Seconds, choose: Choose, effects: list[EntryEffect]
) -> None:
    match kind:
        case TimerKind.EXPIRY:
            _on_expiry(call, effects)
        case TimerKind.DEADLINE:
            _on_deadline(call, effects)
        case TimerKind.HEDGE:
            _on_hedge(call, now, choose, effects)
        case TimerKind.FENCE:
            for attempt in list(call.attempts):
                _settle_lost(call, attempt.id, CutReason.LINK_LOST, now, choose, effects)


def _on_expiry(call: EntryCall, effects: list[EntryEffect]) -> None:
    effects.append(StartTimer(TimerKind.DEADLINE, call.deadline_at))
    if call.phase is not CallPhase.TRYING:
        return
    for attempt in call.attempts:
        if attempt.state is AttemptState.OUTSTANDING:
            effects.append(SendFence(attempt.id, attempt.upstream))


def _on_deadline(call: EntryCall, effects: list[EntryEffect]) -> None:
    match call.phase:
        case CallPhase.CLAIMING:
            _finish_not_run(call, NotRunReason.CLAIM_UNAVAILABLE, None, effects)
        case CallPhase.DELIVERING:
            _cut(call, CutReason.DEADLINE, effects)
        case _:
            _cancel_pending(call, effects)
            held = _find_held(call)
            if held is not None:
                _deliver(call, held, is_complete=True, effects=effects)
            elif may_have_run(call):
                _finish_unknown(call, CutReason.DEADLINE, effects)
            else:
                _finish_not_run(call, NotRunReason.DEADLINE, None, effects)


def _on_hedge(call: EntryCall, now: Seconds, choose: Choose, effects: list[EntryEffect]) -> None:
    is_alone = len(call.attempts) == 1
    is_open = is_alone and call.attempts[0].state is AttemptState.OUTSTANDING
    if call.phase is not CallPhase.TRYING or not is_open or not may_retry(call.budget):
        return
    upstream = choose(frozenset((call.attempts[0].upstream.name,)))
    if upstream is None:
        return
    spend_retry(call.budget)
    _send(call, upstream, now, effects)


def _on_caller_gone(call: EntryCall, effects: list[EntryEffect]) -> None:
    # A claimed call goes on, so that a resend finds its outcome.
    call.is_caller_gone = True
    if call.is_claim_held:
        return
    _cancel_pending(call, effects)
    if call.phase is CallPhase.DELIVERING and call.winner is not None:
        effects.append(SendCancel(call.winner.id, call.winner.upstream))
    _finish(call, FinishGone(), effects)


def _cut(call: EntryCall, reason: CutReason, effects: list[EntryEffect]) -> None:
    if call.winner is not None:
        effects.append(SendCancel(call.winner.id, call.winner.upstream))
    if call.is_claim_held:
        effects.append(RecordClaim(ClaimOutcome.UNKNOWN))
    _finish(call, Cut(reason), effects)


def _finish_delivered(call: EntryCall, attempt: Attempt, effects: list[EntryEffect]) -> None:
    if call.is_claim_held:
        effects.append(RecordClaim(ClaimOutcome.ANSWERED))
    _finish(call, FinishDelivered(attempt.id), effects)


def _finish_unknown(call: EntryCall, reason: CutReason, effects: list[EntryEffect]) -> None:
    if call.is_claim_held:
        effects.append(RecordClaim(ClaimOutcome.UNKNOWN))
    _finish(call, FinishUnknown(reason), effects)


def _finish_not_run(
    call: EntryCall, reason: NotRunReason, last: Attempt | None, effects: list[EntryEffect]
) -> None:
    if call.is_claim_held or call.phase is CallPhase.CLAIMING:
        effects.append(ReleaseClaim())
    load = last.load if last is not None else None
    _finish(call, FinishNotRun(reason, estimate_retry_after_ms(reason, load)), effects)


def _finish(call: EntryCall, final: EntryEffect, effects: list[EntryEffect]) -> None:
    call.phase = CallPhase.FINISHED
    effects.append(final)
