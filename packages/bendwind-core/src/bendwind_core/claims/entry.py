"""Decide how an entry node requests claims and settles them until a primary confirms.

Requests, outcomes and releases may be lost with a link or a primary. Each is sent again with the
same call until it is answered or its time is up.
"""

import msgspec

from bendwind_core.claims.decisions import (
    AnswerNotKept,
    ClaimDecision,
    ClaimRefused,
    Granted,
    KeyConflict,
    OutcomeUnknown,
    Recorded,
    StillPending,
)
from bendwind_core.claims.events import Send
from bendwind_core.claims.group import ClaimGroup
from bendwind_core.claims.members import parse_node_name
from bendwind_core.claims.messages import (
    ClaimAnswer,
    ClaimConflict,
    ClaimGranted,
    ClaimHeld,
    ClaimOutcome,
    ClaimRelease,
    ClaimReply,
    ClaimRequest,
    ClaimSettled,
    ClaimState,
    ClaimUnavailable,
    RefusalReason,
)
from bendwind_core.core import MILLISECONDS_PER_SECOND, Seconds

REQUEST_RESEND_INTERVAL: Seconds = 0.2
REFUSAL_RETRY_DELAY: Seconds = 0.05
SETTLEMENT_TIMEOUT: Seconds = 30.0
MAX_PENDING_SETTLEMENTS = 1024

_FINAL_REFUSALS = frozenset({RefusalReason.FULL, RefusalReason.LOST, RefusalReason.RELEASED})


class StartClaim(msgspec.Struct, frozen=True):
    """Start a claim request; `deadline` is the caller's deadline."""

    request: ClaimRequest
    deadline: Seconds


class AbandonClaim(msgspec.Struct, frozen=True):
    """Abandon a claim request because its caller disconnected or its deadline has passed."""

    call: str


class SettleClaim(msgspec.Struct, frozen=True):
    """Start to report an outcome or a release."""

    message: ClaimOutcome | ClaimRelease


class GroupReceived(msgspec.Struct, frozen=True):
    """Report a service's group that this node received."""

    group: ClaimGroup


class ReplyReceived(msgspec.Struct, frozen=True):
    """Report a reply from a primary."""

    message: ClaimReply | ClaimSettled


class EntryTick(msgspec.Struct, frozen=True):
    """Report that time has passed."""


EntryEvent = StartClaim | AbandonClaim | SettleClaim | GroupReceived | ReplyReceived | EntryTick


class Decide(msgspec.Struct, frozen=True):
    """Deliver the decision on a call's claim request."""

    call: str
    decision: ClaimDecision


EntryEffect = Send | Decide


class PendingRequest(msgspec.Struct):
    """Hold a claim request that is not decided yet."""

    request: ClaimRequest
    deadline: Seconds
    next_send_at: Seconds
    last_refusal: RefusalReason = RefusalReason.DEADLINE
    is_sent: bool = False


class PendingSettlement(msgspec.Struct):
    """Hold an outcome or release that is not confirmed yet."""

    message: ClaimOutcome | ClaimRelease
    next_send_at: Seconds
    until: Seconds


class EntryClaims(msgspec.Struct):
    """Hold an entry node's groups by service, and its requests and settlements by call."""

    groups: dict[str, ClaimGroup] = msgspec.field(default_factory=dict)
    pending_requests: dict[str, PendingRequest] = msgspec.field(default_factory=dict)
    pending_settlements: dict[str, PendingSettlement] = msgspec.field(default_factory=dict)


def step_entry(claims: EntryClaims, event: EntryEvent, now: Seconds) -> list[EntryEffect]:
    """Apply one event and return the messages to send and the decisions."""
    match event:
        case StartClaim(request, deadline):
            return _start_request(claims, request, deadline, now)
        case AbandonClaim(call):
            return _refuse(claims, call, None, now)
        case SettleClaim(message):
            return _start_settlement(claims, message, now)
        case GroupReceived(group):
            return _update_group(claims, group, now)
        case ReplyReceived(ClaimSettled(call=call)):
            claims.pending_settlements.pop(call, None)
            return []
        case ReplyReceived(message):
            return _receive_reply(claims, message, now)
        case EntryTick():
            return _handle_tick(claims, now)


def _start_request(
    claims: EntryClaims, request: ClaimRequest, deadline: Seconds, now: Seconds
) -> list[EntryEffect]:
    group = claims.groups.get(request.service)
    if group is None or group.lost:
        reason = RefusalReason.LOST if group else RefusalReason.NO_GROUP
        return [Decide(request.call, ClaimRefused(reason))]
    claims.pending_requests[request.call] = PendingRequest(request, deadline, now)
    return _send_due(claims, now)


def _find_primary(claims: EntryClaims, service: str) -> str | None:
    group = claims.groups.get(service)
    return None if group is None or group.lost else parse_node_name(group.members[0])


def _send_due(claims: EntryClaims, now: Seconds) -> list[EntryEffect]:
    effects: list[EntryEffect] = []
    for pending in claims.pending_requests.values():
        primary = _find_primary(claims, pending.request.service)
        if now >= pending.next_send_at and primary is not None:
            pending.next_send_at = now + REQUEST_RESEND_INTERVAL
            pending.is_sent = True
            effects.append(Send(primary, _create_request(pending, now)))
    for settlement in claims.pending_settlements.values():
        primary = _find_primary(claims, settlement.message.service)
        if now >= settlement.next_send_at and primary is not None:
            settlement.next_send_at = now + REQUEST_RESEND_INTERVAL
            effects.append(Send(primary, settlement.message))
    return effects


def _create_request(pending: PendingRequest, now: Seconds) -> ClaimRequest:
    request = pending.request
    remaining_ms = max(0.0, (pending.deadline - now) * MILLISECONDS_PER_SECOND)
    return ClaimRequest(
        request.service,
        request.key,
        request.fingerprint,
        request.call,
        request.entry,
        remaining_ms,
    )


def _update_group(claims: EntryClaims, group: ClaimGroup, now: Seconds) -> list[EntryEffect]:
    current = claims.groups.get(group.service)
    if current is not None and current.epoch >= group.epoch:
        return []
    claims.groups[group.service] = group
    effects = _refuse_requests_of_lost_group(claims, group, now) if group.lost else []
    for unconfirmed in (*claims.pending_requests.values(), *claims.pending_settlements.values()):
        message = (
            unconfirmed.request if isinstance(unconfirmed, PendingRequest) else unconfirmed.message
        )
        if message.service == group.service:
            unconfirmed.next_send_at = now
    return effects + _send_due(claims, now)


def _refuse_requests_of_lost_group(
    claims: EntryClaims, group: ClaimGroup, now: Seconds
) -> list[EntryEffect]:
    calls = [
        c
        for c, pending in claims.pending_requests.items()
        if pending.request.service == group.service
    ]
    effects: list[EntryEffect] = []
    for call in calls:
        effects += _refuse(claims, call, RefusalReason.LOST, now)
    return effects


def _receive_reply(claims: EntryClaims, reply: ClaimReply, now: Seconds) -> list[EntryEffect]:
    pending = claims.pending_requests.get(reply.call)
    if pending is None:
        # An abandoned call never runs its request, and its release is already being sent.
        return []
    match reply:
        case ClaimGranted(epoch=epoch):
            return _accept_grant(claims, pending, epoch, now)
        case ClaimHeld(state=state, answer=answer):
            return _decide(claims, reply.call, _create_decision(state, answer))
        case ClaimConflict():
            return _decide(claims, reply.call, KeyConflict())
        case ClaimUnavailable(reason=reason):
            if reason in _FINAL_REFUSALS:
                return _refuse(claims, reply.call, reason, now)
            pending.last_refusal = reason
            pending.next_send_at = now + REFUSAL_RETRY_DELAY
            return []


def _accept_grant(
    claims: EntryClaims, pending: PendingRequest, epoch: int, now: Seconds
) -> list[EntryEffect]:
    group = claims.groups.get(pending.request.service)
    if group is not None and epoch < group.epoch:
        # An operator may have accepted the loss of that epoch's claims, so the current primary
        # has to decide.
        pending.next_send_at = now
        return _send_due(claims, now)
    return _decide(claims, pending.request.call, Granted())


def _create_decision(state: ClaimState, answer: ClaimAnswer | None) -> ClaimDecision:
    match state:
        case ClaimState.ANSWERED if answer is not None:
            return Recorded(answer)
        case ClaimState.ANSWERED | ClaimState.NOT_KEPT:
            return AnswerNotKept()
        case ClaimState.PENDING:
            return StillPending()
    return OutcomeUnknown()


def _decide(claims: EntryClaims, call: str, decision: ClaimDecision) -> list[EntryEffect]:
    del claims.pending_requests[call]
    return [Decide(call, decision)]


def _refuse(
    claims: EntryClaims, call: str, reason: RefusalReason | None, now: Seconds
) -> list[EntryEffect]:
    """Refuse a request and release the grant that the primary may already have sent."""
    pending = claims.pending_requests.get(call)
    if pending is None:
        return []
    effects = _decide(claims, call, ClaimRefused(reason or pending.last_refusal))
    if pending.is_sent:
        request = pending.request
        release = ClaimRelease(request.service, request.key, call, request.entry)
        effects += _start_settlement(claims, release, now)
    return effects


def _start_settlement(
    claims: EntryClaims, message: ClaimOutcome | ClaimRelease, now: Seconds
) -> list[EntryEffect]:
    while len(claims.pending_settlements) >= MAX_PENDING_SETTLEMENTS:
        # The claim whose settlement is dropped stays pending and is later reported as unknown,
        # which is safe.
        del claims.pending_settlements[next(iter(claims.pending_settlements))]
    claims.pending_settlements[message.call] = PendingSettlement(
        message, now, now + SETTLEMENT_TIMEOUT
    )
    return _send_due(claims, now)


def _handle_tick(claims: EntryClaims, now: Seconds) -> list[EntryEffect]:
    effects: list[EntryEffect] = []
    for call, pending in list(claims.pending_requests.items()):
        if now >= pending.deadline:
            effects += _refuse(claims, call, None, now)
    for call, settlement in list(claims.pending_settlements.items()):
        if now >= settlement.until:
            del claims.pending_settlements[call]
    return effects + _send_due(claims, now)
