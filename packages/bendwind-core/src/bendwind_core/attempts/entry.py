"""Decide what an entry node does with one call.

An attempt that may not be repeated is followed by another only after a proof that it did not run.
An idempotent one may also be followed by another after an unknown result or an error, which is
charged to the service's retry budget. An owner's refusal that cost its upstream nothing is retried
elsewhere without using the retry budget, a few times. Only one attempt's answer is ever delivered.
"""

from bendwind_core.attempts.call import (
    Attempt,
    AttemptState,
    CallPhase,
    EntryCall,
    find_attempt,
    may_have_run,
)
from bendwind_core.attempts.endings import (
    cancel_pending,
    cut,
    deliver,
    find_held,
    finish,
    finish_delivered,
    finish_if_none_pending,
    finish_not_run,
    finish_unknown,
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
    ClaimRefusal,
    ClaimRefused,
    DeliverPart,
    DeliverRecorded,
    EntryEffect,
    EntryEvent,
    FenceAnswered,
    FenceFailed,
    FinishGone,
    FinishRefused,
    FinishUnknown,
    OwnerLinkLost,
    ReleaseClaim,
    RequestClaim,
    SendCancel,
    SendFence,
    StartsEnded,
    StartTimer,
    TimerFired,
    TimerKind,
)
from bendwind_core.attempts.messages import CutReason, FenceVerdict, NotRunReason
from bendwind_core.attempts.no_wait import CAPACITY_REFUSALS
from bendwind_core.attempts.sending import (
    ChooseUpstream,
    reply_margin,
    retry_or_finish,
    send_first,
    send_hedge,
)
from bendwind_core.core import Seconds
from bendwind_core.limits import may_retry, spend_on_refusal

FENCE_TIMEOUT: Seconds = 0.5
CLAIM_PENDING_RETRY_MS = 1000.0
_FAILED_STATUSES = frozenset({500, 502, 503, 504})

# No other upstream would accept the attempt: its time is up, the service that all of them call has
# no capacity, or too many upstreams ended while they ran the request.
_FINAL_REFUSALS = frozenset(
    {
        NotRunReason.DEADLINE,
        NotRunReason.CANCELLED,
        NotRunReason.DEPENDENCY_FULL,
        NotRunReason.QUARANTINED,
    }
)

# These refusals cost the upstream nothing, so that the next attempt does not use the retry budget.
BUDGET_EXEMPT_REFUSALS = frozenset(
    {
        NotRunReason.QUEUE_FULL,
        NotRunReason.DRAINING,
        NotRunReason.NO_UPSTREAM,
        NotRunReason.FENCED,
        NotRunReason.WRONG_OWNER,
        NotRunReason.CONNECT_FAILED,
        NotRunReason.OVERLOADED,
        NotRunReason.STALLED,
        NotRunReason.KEPT_APART,
        NotRunReason.BUSY,
        NotRunReason.LIMITED,
    }
)


def step(
    call: EntryCall, event: EntryEvent, now: Seconds, choose: ChooseUpstream
) -> list[EntryEffect]:
    """Apply an event to a call and return the effects.

    `choose` returns an upstream whose name is not excluded, or NoCapacity or None if there is none.
    """
    effects: list[EntryEffect] = []
    if call.phase is CallPhase.FINISHED:
        _handle_after_end(event, effects)
        return effects
    match event:
        case AttemptHead():
            _handle_head(call, event, now, choose, effects)
        case Begin():
            _handle_begin(call, now, choose, effects)
        case AttemptBodyPart():
            _handle_body_part(call, event, effects)
        case AttemptNotRun():
            _handle_not_run(call, event, now, choose, effects)
        case AttemptUnknown():
            _handle_unknown(call, event, now, choose, effects)
        case OwnerLinkLost():
            _handle_owner_link_lost(call, event, now, choose, effects)
        case FenceAnswered():
            _handle_fence_answered(call, event, now, choose, effects)
        case FenceFailed():
            _mark_lost_unknown(call, event.attempt, CutReason.LINK_LOST, now, choose, effects)
        case TimerFired():
            _handle_timer(call, event.kind, now, choose, effects)
        case ClaimGranted() | ClaimRefused() | ClaimHeldByOther():
            _handle_claim(call, event, now, choose, effects)
        case StartsEnded():
            call.has_ended_starts = True
            _fence_outstanding(call, effects, may_end=True)
        case CallerGone():
            _handle_caller_gone(call, effects)
    return effects


def _handle_after_end(event: EntryEvent, effects: list[EntryEffect]) -> None:
    # The call ended while its claim was being requested: it never ran under this claim.
    if isinstance(event, ClaimGranted):
        effects.append(ReleaseClaim())


def _handle_begin(
    call: EntryCall, now: Seconds, choose: ChooseUpstream, effects: list[EntryEffect]
) -> None:
    if now >= call.deadline_at:
        finish_not_run(call, NotRunReason.DEADLINE, None, effects)
        return
    if call.is_idempotent:
        effects.append(StartTimer(TimerKind.DEADLINE, call.deadline_at))
    else:
        call.expires_at = call.deadline_at - reply_margin(call, now)
        effects.append(StartTimer(TimerKind.EXPIRY, call.expires_at))
    if call.has_key:
        call.phase = CallPhase.CLAIMING
        effects.append(RequestClaim())
        return
    send_first(call, now, choose, effects)


def _handle_claim(
    call: EntryCall,
    event: ClaimGranted | ClaimRefused | ClaimHeldByOther,
    now: Seconds,
    choose: ChooseUpstream,
    effects: list[EntryEffect],
) -> None:
    if call.phase is not CallPhase.CLAIMING:
        return
    match event:
        case ClaimGranted():
            call.is_claim_held = True
            send_first(call, now, choose, effects)
        case ClaimRefused(reason=ClaimRefusal.UNAVAILABLE):
            finish_not_run(call, NotRunReason.CLAIM_UNAVAILABLE, None, effects)
        case ClaimRefused():
            finish(call, FinishRefused(event.reason), effects)
        case ClaimHeldByOther(is_recorded=True):
            finish(call, DeliverRecorded(), effects)
        case ClaimHeldByOther():
            pending = FinishUnknown(CutReason.CLAIM_PENDING, CLAIM_PENDING_RETRY_MS)
            finish(call, pending, effects)


def _handle_head(
    call: EntryCall,
    event: AttemptHead,
    now: Seconds,
    choose: ChooseUpstream,
    effects: list[EntryEffect],
) -> None:
    attempt = find_attempt(call, event.attempt)
    if attempt is None or attempt.state is not AttemptState.OUTSTANDING:
        return
    attempt.ended_at = now
    is_failed = event.status in _FAILED_STATUSES
    if is_failed and event.is_complete and call.is_idempotent and call.winner is None:
        attempt.state = AttemptState.HELD
        retry_or_finish(call, now, choose, effects, is_budget_exempt=False)
        return
    deliver(call, attempt, is_complete=event.is_complete, effects=effects)


def _handle_body_part(call: EntryCall, event: AttemptBodyPart, effects: list[EntryEffect]) -> None:
    winner = call.winner
    if winner is None or winner.id != event.attempt or event.index < call.next_part:
        return
    if event.index > call.next_part:
        cut(call, CutReason.BODY_CUT, effects)
        return
    call.next_part += 1
    effects.append(DeliverPart(winner.id))
    if not event.more:
        finish_delivered(call, winner, effects)


def _handle_not_run(
    call: EntryCall,
    event: AttemptNotRun,
    now: Seconds,
    choose: ChooseUpstream,
    effects: list[EntryEffect],
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
    choose: ChooseUpstream,
    effects: list[EntryEffect],
) -> None:
    attempt.state = AttemptState.NOT_RUN
    attempt.not_run = proof.reason
    attempt.ended_at = now
    attempt.load = proof.load
    attempt.wait_ms = proof.wait_ms
    if proof.reason in CAPACITY_REFUSALS:
        spend_on_refusal(call.budget.no_wait, is_no_wait=not attempt.may_wait)
    if proof.reason in _FINAL_REFUSALS:
        finish_if_none_pending(call, effects)
        return
    retry_or_finish(
        call, now, choose, effects, is_budget_exempt=proof.reason in BUDGET_EXEMPT_REFUSALS
    )


def _handle_unknown(
    call: EntryCall,
    event: AttemptUnknown,
    now: Seconds,
    choose: ChooseUpstream,
    effects: list[EntryEffect],
) -> None:
    attempt = find_attempt(call, event.attempt)
    if attempt is None:
        return
    if attempt is call.winner:
        cut(call, event.reason, effects)
        return
    if attempt.state not in (AttemptState.OUTSTANDING, AttemptState.LOST):
        return
    _mark_unknown(call, attempt, event.reason, now, choose, effects)


def _mark_unknown(
    call: EntryCall,
    attempt: Attempt,
    reason: CutReason,
    now: Seconds,
    choose: ChooseUpstream,
    effects: list[EntryEffect],
) -> None:
    attempt.state = AttemptState.UNKNOWN
    attempt.cut = reason
    attempt.ended_at = now
    if call.is_idempotent:
        retry_or_finish(call, now, choose, effects, is_budget_exempt=False)
    else:
        finish_if_none_pending(call, effects)


def _handle_owner_link_lost(
    call: EntryCall,
    event: OwnerLinkLost,
    now: Seconds,
    choose: ChooseUpstream,
    effects: list[EntryEffect],
) -> None:
    attempt = find_attempt(call, event.attempt)
    if attempt is None:
        return
    if attempt is call.winner:
        cut(call, CutReason.LINK_LOST, effects)
        return
    if attempt.state is not AttemptState.OUTSTANDING:
        return
    if call.is_idempotent and may_retry(call.budget):
        _mark_unknown(call, attempt, CutReason.LINK_LOST, now, choose, effects)
        return
    attempt.state = AttemptState.LOST
    effects.append(SendFence(attempt.id, attempt.upstream))
    effects.append(StartTimer(TimerKind.FENCE, min(call.deadline_at, now + FENCE_TIMEOUT)))


def _handle_fence_answered(
    call: EntryCall,
    event: FenceAnswered,
    now: Seconds,
    choose: ChooseUpstream,
    effects: list[EntryEffect],
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
            _mark_lost_unknown(call, attempt.id, CutReason.LINK_LOST, now, choose, effects)
        case FenceVerdict.FORGOTTEN:
            _mark_lost_unknown(call, attempt.id, CutReason.OWNER_RESTARTED, now, choose, effects)


def _mark_lost_unknown(
    call: EntryCall,
    attempt_id,
    reason: CutReason,
    now: Seconds,
    choose: ChooseUpstream,
    effects: list[EntryEffect],
) -> None:
    # An attempt whose link is still open may yet be answered, whatever the verdict on its fence is.
    attempt = find_attempt(call, attempt_id)
    if attempt is not None and attempt.state is AttemptState.LOST:
        _mark_unknown(call, attempt, reason, now, choose, effects)


def _handle_timer(
    call: EntryCall,
    kind: TimerKind,
    now: Seconds,
    choose: ChooseUpstream,
    effects: list[EntryEffect],
) -> None:
    match kind:
        case TimerKind.EXPIRY:
            _handle_expiry(call, effects)
        case TimerKind.DEADLINE:
            _handle_deadline(call, effects)
        case TimerKind.HEDGE:
            send_hedge(call, now, choose, effects)
        case TimerKind.FENCE:
            for attempt in list(call.attempts):
                _mark_lost_unknown(call, attempt.id, CutReason.LINK_LOST, now, choose, effects)


def _handle_expiry(call: EntryCall, effects: list[EntryEffect]) -> None:
    effects.append(StartTimer(TimerKind.DEADLINE, call.deadline_at))
    _fence_outstanding(call, effects)


def _fence_outstanding(
    call: EntryCall, effects: list[EntryEffect], *, may_end: bool = False
) -> None:
    """Ask the owners that no attempt starts from now on; those that have started go on.

    With `may_end`, one that should end before this process does may still start.
    """
    if call.phase is not CallPhase.TRYING:
        return
    for attempt in call.attempts:
        if attempt.state is AttemptState.OUTSTANDING:
            effects.append(SendFence(attempt.id, attempt.upstream, may_end))


def _handle_deadline(call: EntryCall, effects: list[EntryEffect]) -> None:
    match call.phase:
        case CallPhase.CLAIMING:
            finish_not_run(call, NotRunReason.CLAIM_UNAVAILABLE, None, effects)
        case CallPhase.DELIVERING:
            cut(call, CutReason.DEADLINE, effects)
        case _:
            cancel_pending(call, effects)
            held = find_held(call)
            if held is not None:
                deliver(call, held, is_complete=True, effects=effects)
            elif may_have_run(call):
                finish_unknown(call, CutReason.DEADLINE, effects)
            else:
                finish_not_run(call, NotRunReason.DEADLINE, None, effects)


def _handle_caller_gone(call: EntryCall, effects: list[EntryEffect]) -> None:
    # A call that holds a claim continues, so that a resent request finds its outcome.
    call.is_caller_gone = True
    if call.is_claim_held:
        return
    cancel_pending(call, effects)
    if call.phase is CallPhase.DELIVERING and call.winner is not None:
        effects.append(SendCancel(call.winner.id, call.winner.upstream))
    finish(call, FinishGone(), effects)
