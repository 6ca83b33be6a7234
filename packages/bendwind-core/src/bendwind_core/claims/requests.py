"""Answer requests, outcomes and releases of entry nodes, at the primary."""

from bendwind_core.claims.events import HolderEffect, Send
from bendwind_core.claims.members import node_of
from bendwind_core.claims.messages import (
    Claim,
    ClaimConflict,
    ClaimGranted,
    ClaimHeld,
    ClaimMessage,
    ClaimOutcome,
    ClaimRelease,
    ClaimReply,
    ClaimRequest,
    ClaimSettled,
    ClaimState,
    ClaimUnavailable,
    RefusalReason,
)
from bendwind_core.claims.replication import next_version, restate_claim, write_claim
from bendwind_core.claims.state import ClaimHolder, Waiter, Write
from bendwind_core.core import MILLISECONDS_PER_SECOND, Seconds

PATIENCE_MARGIN_MS = 500.0
MAX_WRITES = 1024
MAX_WAITERS = 1024


def answer_request(holder: ClaimHolder, request: ClaimRequest, now: Seconds) -> list[HolderEffect]:
    """Grant a key to a call, or tell what became of the call that holds it."""
    reason = _find_refusal(holder, now)
    if reason:
        return [_refuse(request, reason)]
    held = holder.table.find(request.key)
    if held is None or (held.state is ClaimState.RELEASED and held.call != request.call):
        return _make_claim(holder, request, now)
    if held.state is ClaimState.RELEASED:
        return [_refuse(request, RefusalReason.RELEASED)]
    if held.fingerprint != request.fingerprint:
        return [_reply(request, ClaimConflict(request.service, request.key, request.call))]
    is_waiting_allowed = held.state is ClaimState.PENDING and held.call != request.call
    if is_waiting_allowed and not holder.table.is_overdue(request.key, now):
        return _wait(holder, request, now)
    return _answer_when_held_by_all(holder, request, held, now)


def _find_refusal(holder: ClaimHolder, now: Seconds) -> RefusalReason | None:
    if holder.group is not None and holder.group.lost:
        return RefusalReason.LOST
    if not holder.is_primary():
        return RefusalReason.NOT_PRIMARY
    if now >= holder.fresh_until:
        return RefusalReason.STALE
    if len(holder.writes) >= MAX_WRITES:
        return RefusalReason.REPLICATING
    return None


def _make_claim(holder: ClaimHolder, request: ClaimRequest, now: Seconds) -> list[HolderEffect]:
    if holder.table.find(request.key) is None and holder.table.is_full():
        return [_refuse(request, RefusalReason.FULL)]
    claim = Claim(
        request.key,
        request.fingerprint,
        request.call,
        ClaimState.PENDING,
        *next_version(holder),
        patience_ms=request.remaining_ms + PATIENCE_MARGIN_MS,
    )
    return write_claim(holder, claim, now, request=request)


def _wait(holder: ClaimHolder, request: ClaimRequest, now: Seconds) -> list[HolderEffect]:
    waiters = holder.waiters.setdefault(request.key, [])
    if any(waiter.request.call == request.call for waiter in waiters):
        return []
    if holder.waiter_count >= MAX_WAITERS:
        if not waiters:
            del holder.waiters[request.key]
        return [_reply(request, _held(request, ClaimState.PENDING))]
    waiters.append(Waiter(request, now + request.remaining_ms / MILLISECONDS_PER_SECOND))
    holder.waiter_count += 1
    return []


def _answer_when_held_by_all(
    holder: ClaimHolder, request: ClaimRequest, held: Claim, now: Seconds
) -> list[HolderEffect]:
    """Answer from a claim once no member can know an older state of it."""
    sequence = holder.writing.get(request.key)
    if sequence is not None:
        requests = holder.writes[sequence].requests
        if all(known.call != request.call for known in requests):
            requests.append(request)
        return []
    if held.epoch != holder.group.epoch:
        return write_claim(holder, restate_claim(holder, held), now, request=request)
    return [_reply(request, _reply_from(holder, request, held, now))]


def _reply_from(
    holder: ClaimHolder, request: ClaimRequest, held: Claim, now: Seconds
) -> ClaimReply:
    if held.state is ClaimState.PENDING and held.call == request.call:
        return ClaimGranted(request.service, request.key, request.call, holder.group.epoch)
    if held.state is ClaimState.PENDING:
        is_overdue = holder.table.is_overdue(request.key, now)
        return _held(request, ClaimState.UNKNOWN if is_overdue else ClaimState.PENDING)
    return _held(request, held.state, held.answer)


def _held(request: ClaimRequest, state: ClaimState, answer=None) -> ClaimHeld:
    return ClaimHeld(request.service, request.key, request.call, state, answer)


def _refuse(request: ClaimRequest, reason: RefusalReason) -> Send:
    refusal = ClaimUnavailable(request.service, request.key, request.call, reason)
    return _reply(request, refusal)


def _reply(request: ClaimRequest | ClaimOutcome | ClaimRelease, message: ClaimMessage) -> Send:
    return Send(node_of(request.entry), message)


def settle_claim(
    holder: ClaimHolder, message: ClaimOutcome | ClaimRelease, now: Seconds
) -> list[HolderEffect]:
    """Write the outcome or the release of the call that holds a key."""
    # Without a reply the entry node asks again, by then perhaps another primary.
    if _find_refusal(holder, now):
        return []
    held = holder.table.find(message.key)
    target = ClaimState.RELEASED if isinstance(message, ClaimRelease) else message.state
    if held is not None and held.call != message.call:
        # Another call holds the key, so this call's claim had been released before.
        return [_reply(message, _settled(message))]
    if held is None and (target is not ClaimState.RELEASED or holder.table.is_full()):
        return [_reply(message, _settled(message))]
    if held is not None and held.state is not ClaimState.PENDING:
        return _confirm_settled(holder, message, held, now)
    answer = message.answer if isinstance(message, ClaimOutcome) else None
    claim = Claim(
        message.key,
        held.fingerprint if held else b"",
        message.call,
        target,
        *next_version(holder),
        answer=answer,
    )
    return write_claim(holder, claim, now, settle=message)


def _confirm_settled(
    holder: ClaimHolder, message: ClaimOutcome | ClaimRelease, held: Claim, now: Seconds
) -> list[HolderEffect]:
    sequence = holder.writing.get(message.key)
    if sequence is not None:
        settles = holder.writes[sequence].settles
        if message not in settles:
            settles.append(message)
        return []
    if held.epoch != holder.group.epoch:
        return write_claim(holder, restate_claim(holder, held), now, settle=message)
    return [_reply(message, _settled(message))]


def _settled(message: ClaimOutcome | ClaimRelease) -> ClaimSettled:
    return ClaimSettled(message.service, message.key, message.call)


def answer_written(holder: ClaimHolder, write: Write, now: Seconds) -> list[HolderEffect]:
    """Tell everyone who waited for a write, now that every member holds it."""
    claim = write.claims[0]
    effects: list[HolderEffect] = [_reply(settle, _settled(settle)) for settle in write.settles]
    effects += _answer_finished(holder, write.requests, claim, now)
    if claim.state is not ClaimState.PENDING:
        effects += _wake_waiters(holder, claim.key, now)
    return effects


def _answer_finished(
    holder: ClaimHolder, requests: list[ClaimRequest], claim: Claim, now: Seconds
) -> list[HolderEffect]:
    effects: list[HolderEffect] = []
    for request in requests:
        if now >= holder.fresh_until:
            effects.append(_refuse(request, RefusalReason.STALE))
        elif claim.state is ClaimState.RELEASED:
            effects += answer_request(holder, request, now)
        else:
            effects.append(_reply(request, _reply_from(holder, request, claim, now)))
    return effects


def _wake_waiters(holder: ClaimHolder, key: str, now: Seconds) -> list[HolderEffect]:
    effects: list[HolderEffect] = []
    waiters = holder.waiters.pop(key, [])
    holder.waiter_count -= len(waiters)
    for waiter in waiters:
        effects += answer_request(holder, waiter.request, now)
    return effects


def abandon_requests(holder: ClaimHolder) -> list[HolderEffect]:
    """Send back everyone who waits; each asks again in the new epoch."""
    requests = [request for write in holder.writes.values() for request in write.requests]
    for waiters in holder.waiters.values():
        requests += [waiter.request for waiter in waiters]
    holder.writes.clear()
    holder.writing.clear()
    holder.waiters.clear()
    holder.waiter_count = 0
    return [_refuse(request, RefusalReason.NOT_PRIMARY) for request in requests]


def expire_waiters(holder: ClaimHolder, now: Seconds) -> list[HolderEffect]:
    """Answer those whose wait, or whose holder's time, has ended."""
    effects: list[HolderEffect] = []
    for key in list(holder.waiters):
        if holder.table.find(key) is None or holder.table.is_overdue(key, now):
            effects += _wake_waiters(holder, key, now)
            continue
        waiters = holder.waiters[key]
        ended = [waiter for waiter in waiters if now >= waiter.until]
        if not ended:
            continue
        effects += [_reply(w.request, _held(w.request, ClaimState.PENDING)) for w in ended]
        holder.waiter_count -= len(ended)
        holder.waiters[key] = [waiter for waiter in waiters if now < waiter.until]
        if not holder.waiters[key]:
            del holder.waiters[key]
    return effects
