"""End a call with its single final outcome."""

from bendwind_core.attempts.call import (
    Attempt,
    AttemptState,
    CallPhase,
    EntryCall,
    has_pending,
    may_have_run,
)
from bendwind_core.attempts.events import (
    ClaimOutcome,
    Cut,
    DeliverHead,
    EntryEffect,
    FinishDelivered,
    FinishNotRun,
    FinishUnknown,
    RecordClaim,
    ReleaseClaim,
    SendCancel,
)
from bendwind_core.attempts.messages import CutReason, NotRunReason
from bendwind_core.attempts.retry_after import bound_retry_after_ms, estimate_retry_after_ms
from bendwind_core.core import Milliseconds


def deliver(
    call: EntryCall, attempt: Attempt, *, is_complete: bool, effects: list[EntryEffect]
) -> None:
    """Deliver an attempt's answer; no other attempt's answer is ever delivered."""
    attempt.state = AttemptState.WON
    call.winner = attempt
    call.phase = CallPhase.DELIVERING
    cancel_pending(call, effects)
    effects.append(DeliverHead(attempt.id))
    if is_complete:
        finish_delivered(call, attempt, effects)


def cancel_pending(call: EntryCall, effects: list[EntryEffect]) -> None:
    """Cancel the attempts whose answers are no longer needed."""
    for attempt in call.attempts:
        if attempt.state is AttemptState.OUTSTANDING:
            effects.append(SendCancel(attempt.id, attempt.upstream))
            attempt.state = AttemptState.CANCELLED
        elif attempt.state is AttemptState.LOST:
            attempt.state = AttemptState.UNKNOWN
            attempt.cut = CutReason.LINK_LOST


def finish_if_none_pending(call: EntryCall, effects: list[EntryEffect]) -> None:
    """End the call unless an attempt may still bring an answer or a proof that it did not run."""
    if has_pending(call):
        return
    held = find_held(call)
    if held is not None:
        deliver(call, held, is_complete=True, effects=effects)
        return
    if may_have_run(call):
        reason = next((a.cut for a in call.attempts if a.cut is not None), CutReason.CANCELLED)
        finish_unknown(call, reason, effects)
        return
    last = call.attempts[-1]
    finish_not_run(call, last.not_run, last, effects)


def find_held(call: EntryCall) -> Attempt | None:
    """Return the newest attempt whose answer is an error that is held back, or None."""
    for attempt in reversed(call.attempts):
        if attempt.state is AttemptState.HELD:
            return attempt
    return None


def cut(call: EntryCall, reason: CutReason, effects: list[EntryEffect]) -> None:
    """End the call by cutting off the answer that is being delivered."""
    if call.winner is not None:
        effects.append(SendCancel(call.winner.id, call.winner.upstream))
    if call.is_claim_held:
        effects.append(RecordClaim(ClaimOutcome.UNKNOWN))
    finish(call, Cut(reason), effects)


def finish_delivered(call: EntryCall, attempt: Attempt, effects: list[EntryEffect]) -> None:
    """End the call after its whole answer was delivered."""
    if call.is_claim_held:
        effects.append(RecordClaim(ClaimOutcome.ANSWERED))
    finish(call, FinishDelivered(attempt.id), effects)


def finish_unknown(call: EntryCall, reason: CutReason, effects: list[EntryEffect]) -> None:
    """End the call, which may have run."""
    if call.is_claim_held:
        effects.append(RecordClaim(ClaimOutcome.UNKNOWN))
    finish(call, FinishUnknown(reason), effects)


def finish_not_run(
    call: EntryCall, reason: NotRunReason, last: Attempt | None, effects: list[EntryEffect]
) -> None:
    """End the call, which is proven not to have run."""
    if call.is_claim_held or call.phase is CallPhase.CLAIMING:
        effects.append(ReleaseClaim())
    load = last.load if last is not None else None
    retry_after_ms = last.wait_ms if last is not None else None
    if retry_after_ms is None or reason is NotRunReason.BUSY:
        retry_after_ms = estimate_retry_after_ms(reason, load)
    elif reason is NotRunReason.LIMITED:
        retry_after_ms = bound_retry_after_ms(retry_after_ms)
    finish(call, FinishNotRun(reason, retry_after_ms), effects)


def refuse_for_lack_of_capacity(
    call: EntryCall, reason: NotRunReason, wait_ms: Milliseconds, effects: list[EntryEffect]
) -> None:
    """End a call, before any attempt, that no cold or rate-limited upstream can serve in time."""
    if call.is_claim_held or call.phase is CallPhase.CLAIMING:
        effects.append(ReleaseClaim())
    finish(call, FinishNotRun(reason, bound_retry_after_ms(wait_ms)), effects)


def finish(call: EntryCall, final: EntryEffect, effects: list[EntryEffect]) -> None:
    """End the call with its final outcome."""
    call.phase = CallPhase.FINISHED
    effects.append(final)
