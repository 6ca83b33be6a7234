"""Handle the claim requests, outcomes and releases of entry nodes at the primary."""

from bendwind_core.claims.events import HolderEffect, Send
from bendwind_core.claims.members import parse_node_name
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
from bendwind_core.claims.replication import allocate_version, renew_claim_version, write_claim
from bendwind_core.claims.state import ClaimHolder, Waiter, Write
from bendwind_core.core import MILLISECONDS_PER_SECOND, Seconds

PENDING_TIMEOUT_MARGIN_MS = 500.0
MAX_WRITES = 1024
MAX_WAITERS = 1024


def handle_request(holder: ClaimHolder, request: ClaimRequest, now: Seconds) -> list[HolderEffect]:
    """Grant a key to a call, or reply with the state of the call that holds it.

    The reply to a request that waits for another call, or for replication, follows later.
    """
    reason = _find_refusal(holder, now)
    if reason:
        return [_refuse(request, reason)]
    current = holder.table.find(request.key)
    if current is None or (current.state is ClaimState.RELEASED and current.call != request.call):
        return _create_claim(holder, request, now)
    if current.state is ClaimState.RELEASED:
        return [_refuse(request, RefusalReason.RELEASED)]
    if current.fingerprint != request.fingerprint:
        return [_reply(request, ClaimConflict(request.service, request.key, request.call))]
    is_waiting_allowed = current.state is ClaimState.PENDING and current.call != request.call
    if is_waiting_allowed and not holder.table.is_overdue(request.key, now):
        return _add_waiter(holder, request, now)
    return _reply_when_replicated(holder, request, current, now)


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


def _create_claim(holder: ClaimHolder, request: ClaimRequest, now: Seconds) -> list[HolderEffect]:
    if holder.table.find(request.key) is None and holder.table.is_full():
        return [_refuse(request, RefusalReason.FULL)]
    claim = Claim(
        request.key,
        request.fingerprint,
        request.call,
        ClaimState.PENDING,
        *allocate_version(holder),
        pending_timeout_ms=request.remaining_ms + PENDING_TIMEOUT_MARGIN_MS,
    )
    return write_claim(holder, claim, now, request=request)


def _add_waiter(holder: ClaimHolder, request: ClaimRequest, now: Seconds) -> list[HolderEffect]:
    waiters = holder.waiters.setdefault(request.key, [])
    if any(waiter.request.call == request.call for waiter in waiters):
        return []
    if holder.waiter_count >= MAX_WAITERS:
        if not waiters:
            del holder.waiters[request.key]
        return [_reply(request, _create_held_reply(request, ClaimState.PENDING))]
    waiters.append(Waiter(request, now + request.remaining_ms / MILLISECONDS_PER_SECOND))
    holder.waiter_count += 1
    return []


def _reply_when_replicated(
    holder: ClaimHolder, request: ClaimRequest, current: Claim, now: Seconds
) -> list[HolderEffect]:
    """Reply from a claim after no member can hold an older state of it."""
    sequence = holder.write_sequences.get(request.key)
    if sequence is not None:
        requests = holder.writes[sequence].requests
        if all(queued.call != request.call for queued in requests):
            requests.append(request)
        return []
    if current.epoch != holder.group.epoch:
        return write_claim(holder, renew_claim_version(holder, current), now, request=request)
    return [_reply(request, _create_reply(holder, request, current, now))]


def _create_reply(
    holder: ClaimHolder, request: ClaimRequest, current: Claim, now: Seconds
) -> ClaimReply:
    if current.state is ClaimState.PENDING and current.call == request.call:
        return ClaimGranted(request.service, request.key, request.call, holder.group.epoch)
    if current.state is ClaimState.PENDING:
        is_overdue = holder.table.is_overdue(request.key, now)
        return _create_held_reply(request, ClaimState.UNKNOWN if is_overdue else ClaimState.PENDING)
    return _create_held_reply(request, current.state, current.answer)


def _create_held_reply(request: ClaimRequest, state: ClaimState, answer=None) -> ClaimHeld:
    return ClaimHeld(request.service, request.key, request.call, state, answer)


def _refuse(request: ClaimRequest, reason: RefusalReason) -> Send:
    refusal = ClaimUnavailable(request.service, request.key, request.call, reason)
    return _reply(request, refusal)


def _reply(request: ClaimRequest | ClaimOutcome | ClaimRelease, message: ClaimMessage) -> Send:
    return Send(parse_node_name(request.entry), message)


def handle_settlement(
    holder: ClaimHolder, message: ClaimOutcome | ClaimRelease, now: Seconds
) -> list[HolderEffect]:
    """Write the outcome or the release of the call that holds a key."""
    # An entry node without a reply sends its message again, possibly to a newer primary.
    if _find_refusal(holder, now):
        return []
    current = holder.table.find(message.key)
    target = ClaimState.RELEASED if isinstance(message, ClaimRelease) else message.state
    if current is not None and current.call != message.call:
        # Another call holds the key, so the claim of this call was released earlier.
        return [_reply(message, _create_settled_reply(message))]
    if current is None and (target is not ClaimState.RELEASED or holder.table.is_full()):
        return [_reply(message, _create_settled_reply(message))]
    if current is not None and current.state is not ClaimState.PENDING:
        return _confirm_settlement(holder, message, current, now)
    answer = message.answer if isinstance(message, ClaimOutcome) else None
    claim = Claim(
        message.key,
        current.fingerprint if current else b"",
        message.call,
        target,
        *allocate_version(holder),
        answer=answer,
    )
    return write_claim(holder, claim, now, settlement=message)


def _confirm_settlement(
    holder: ClaimHolder, message: ClaimOutcome | ClaimRelease, current: Claim, now: Seconds
) -> list[HolderEffect]:
    sequence = holder.write_sequences.get(message.key)
    if sequence is not None:
        settlements = holder.writes[sequence].settlements
        if message not in settlements:
            settlements.append(message)
        return []
    if current.epoch != holder.group.epoch:
        return write_claim(holder, renew_claim_version(holder, current), now, settlement=message)
    return [_reply(message, _create_settled_reply(message))]


def _create_settled_reply(message: ClaimOutcome | ClaimRelease) -> ClaimSettled:
    return ClaimSettled(message.service, message.key, message.call)


def reply_after_write(holder: ClaimHolder, write: Write, now: Seconds) -> list[HolderEffect]:
    """Reply to all requests and settlements that waited until every member confirmed a write."""
    claim = write.claims[0]
    effects: list[HolderEffect] = [
        _reply(settlement, _create_settled_reply(settlement)) for settlement in write.settlements
    ]
    effects += _reply_to_requests(holder, write.requests, claim, now)
    if claim.state is not ClaimState.PENDING:
        effects += _wake_waiters(holder, claim.key, now)
    return effects


def _reply_to_requests(
    holder: ClaimHolder, requests: list[ClaimRequest], claim: Claim, now: Seconds
) -> list[HolderEffect]:
    effects: list[HolderEffect] = []
    for request in requests:
        if now >= holder.fresh_until:
            effects.append(_refuse(request, RefusalReason.STALE))
        elif claim.state is ClaimState.RELEASED:
            effects += handle_request(holder, request, now)
        else:
            effects.append(_reply(request, _create_reply(holder, request, claim, now)))
    return effects


def _wake_waiters(holder: ClaimHolder, key: str, now: Seconds) -> list[HolderEffect]:
    effects: list[HolderEffect] = []
    waiters = holder.waiters.pop(key, [])
    holder.waiter_count -= len(waiters)
    for waiter in waiters:
        effects += handle_request(holder, waiter.request, now)
    return effects


def refuse_pending_requests(holder: ClaimHolder) -> list[HolderEffect]:
    """Refuse all waiting requests; their entry nodes send them again in the new epoch."""
    requests = [request for write in holder.writes.values() for request in write.requests]
    for waiters in holder.waiters.values():
        requests += [waiter.request for waiter in waiters]
    holder.writes.clear()
    holder.write_sequences.clear()
    holder.waiters.clear()
    holder.waiter_count = 0
    return [_refuse(request, RefusalReason.NOT_PRIMARY) for request in requests]


def expire_waiters(holder: ClaimHolder, now: Seconds) -> list[HolderEffect]:
    """Reply to waiters whose own deadline, or whose key's pending claim, has timed out."""
    effects: list[HolderEffect] = []
    for key in list(holder.waiters):
        if holder.table.find(key) is None or holder.table.is_overdue(key, now):
            effects += _wake_waiters(holder, key, now)
            continue
        waiters = holder.waiters[key]
        ended = [waiter for waiter in waiters if now >= waiter.until]
        if not ended:
            continue
        effects += [
            _reply(w.request, _create_held_reply(w.request, ClaimState.PENDING)) for w in ended
        ]
        holder.waiter_count -= len(ended)
        holder.waiters[key] = [waiter for waiter in waiters if now < waiter.until]
        if not holder.waiters[key]:
            del holder.waiters[key]
    return effects
