"""Decide for an entry node how it asks for claims and settles them until someone confirms.

Requests, outcomes and releases may be lost with a link or a primary; each is sent again under
the same call until it is answered or its time is up.
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
from bendwind_core.claims.members import node_of
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

ASK_AGAIN_AFTER: Seconds = 0.2
RETRY_AFTER_REFUSAL: Seconds = 0.05
SETTLE_FOR: Seconds = 30.0
MAX_SETTLING = 1024

_FINAL_REFUSALS = frozenset({RefusalReason.FULL, RefusalReason.LOST, RefusalReason.RELEASED})


class Ask(msgspec.Struct, frozen=True):
    """Start to ask for a claim; `deadline` is the caller's."""

    request: ClaimRequest
    deadline: Seconds


class Abandon(msgspec.Struct, frozen=True):
    """Give up asking, because the caller went away or its deadline has come."""

    call: str


class Settle(msgspec.Struct, frozen=True):
    """Start to report an outcome or a release."""

    message: ClaimOutcome | ClaimRelease


class GroupKnown(msgspec.Struct, frozen=True):
    """Report the newest group of a service that this node knows."""

    group: ClaimGroup


class ReplyReceived(msgspec.Struct, frozen=True):
    """Report a reply of a primary."""

    message: ClaimReply | ClaimSettled


class EntryTick(msgspec.Struct, frozen=True):
    """Report that time has passed."""


EntryEvent = Ask | Abandon | Settle | GroupKnown | ReplyReceived | EntryTick


class Decide(msgspec.Struct, frozen=True):
    """Deliver the decision on a call."""

    call: str
    decision: ClaimDecision


EntryEffect = Send | Decide


class Asking(msgspec.Struct):
    """Hold a request that is not decided yet."""

    request: ClaimRequest
    deadline: Seconds
    next_send: Seconds
    last_refusal: RefusalReason = RefusalReason.DEADLINE
    is_sent: bool = False


class Settling(msgspec.Struct):
    """Hold an outcome or release that is not confirmed yet."""

    message: ClaimOutcome | ClaimRelease
    next_send: Seconds
    until: Seconds


class EntryClaims(msgspec.Struct):
    """Hold what an entry node asks of claim groups, by call."""

    groups: dict[str, ClaimGroup] = msgspec.field(default_factory=dict)
    asking: dict[str, Asking] = msgspec.field(default_factory=dict)
    settling: dict[str, Settling] = msgspec.field(default_factory=dict)


def step_entry(claims: EntryClaims, event: EntryEvent, now: Seconds) -> list[EntryEffect]:
    """Apply one event and return what to send and what was decided."""
    match event:
        case Ask(request, deadline):
            return _start_asking(claims, request, deadline, now)
        case Abandon(call):
            return _refuse(claims, call, None, now)
        case Settle(message):
            return _start_settling(claims, message, now)
        case GroupKnown(group):
            return _learn_group(claims, group, now)
        case ReplyReceived(ClaimSettled(call=call)):
            claims.settling.pop(call, None)
            return []
        case ReplyReceived(message):
            return _receive_reply(claims, message, now)
        case EntryTick():
            return _pass_time(claims, now)


def _start_asking(
    claims: EntryClaims, request: ClaimRequest, deadline: Seconds, now: Seconds
) -> list[EntryEffect]:
    group = claims.groups.get(request.service)
    if group is None or group.lost:
        reason = RefusalReason.LOST if group else RefusalReason.NO_GROUP
        return [Decide(request.call, ClaimRefused(reason))]
    claims.asking[request.call] = Asking(request, deadline, now)
    return _send_due(claims, now)


def _primary_of(claims: EntryClaims, service: str) -> str | None:
    group = claims.groups.get(service)
    return None if group is None or group.lost else node_of(group.members[0])


def _send_due(claims: EntryClaims, now: Seconds) -> list[EntryEffect]:
    effects: list[EntryEffect] = []
    for asking in claims.asking.values():
        primary = _primary_of(claims, asking.request.service)
        if now >= asking.next_send and primary is not None:
            asking.next_send = now + ASK_AGAIN_AFTER
            asking.is_sent = True
            effects.append(Send(primary, _with_remaining(asking, now)))
    for settling in claims.settling.values():
        primary = _primary_of(claims, settling.message.service)
        if now >= settling.next_send and primary is not None:
            settling.next_send = now + ASK_AGAIN_AFTER
            effects.append(Send(primary, settling.message))
    return effects


def _with_remaining(asking: Asking, now: Seconds) -> ClaimRequest:
    request = asking.request
    remaining_ms = max(0.0, (asking.deadline - now) * MILLISECONDS_PER_SECOND)
    return ClaimRequest(
        request.service,
        request.key,
        request.fingerprint,
        request.call,
        request.entry,
        remaining_ms,
    )


def _learn_group(claims: EntryClaims, group: ClaimGroup, now: Seconds) -> list[EntryEffect]:
    known = claims.groups.get(group.service)
    if known is not None and known.epoch >= group.epoch:
        return []
    claims.groups[group.service] = group
    effects = _refuse_lost(claims, group, now) if group.lost else []
    for waiting in (*claims.asking.values(), *claims.settling.values()):
        message = waiting.request if isinstance(waiting, Asking) else waiting.message
        if message.service == group.service:
            waiting.next_send = now
    return effects + _send_due(claims, now)


def _refuse_lost(claims: EntryClaims, group: ClaimGroup, now: Seconds) -> list[EntryEffect]:
    calls = [c for c, asking in claims.asking.items() if asking.request.service == group.service]
    effects: list[EntryEffect] = []
    for call in calls:
        effects += _refuse(claims, call, RefusalReason.LOST, now)
    return effects


def _receive_reply(claims: EntryClaims, reply: ClaimReply, now: Seconds) -> list[EntryEffect]:
    asking = claims.asking.get(reply.call)
    if asking is None:
        # Nobody runs an abandoned call: its release is on its way.
        return []
    match reply:
        case ClaimGranted(epoch=epoch):
            return _accept_grant(claims, asking, epoch, now)
        case ClaimHeld(state=state, answer=answer):
            return _decide(claims, reply.call, _decision_of(state, answer))
        case ClaimConflict():
            return _decide(claims, reply.call, KeyConflict())
        case ClaimUnavailable(reason=reason):
            if reason in _FINAL_REFUSALS:
                return _refuse(claims, reply.call, reason, now)
            asking.last_refusal = reason
            asking.next_send = now + RETRY_AFTER_REFUSAL
            return []


def _accept_grant(
    claims: EntryClaims, asking: Asking, epoch: int, now: Seconds
) -> list[EntryEffect]:
    group = claims.groups.get(asking.request.service)
    if group is not None and epoch < group.epoch:
        # An operator may have given up the claims of that epoch; the present primary decides.
        asking.next_send = now
        return _send_due(claims, now)
    return _decide(claims, asking.request.call, Granted())


def _decision_of(state: ClaimState, answer: ClaimAnswer | None) -> ClaimDecision:
    match state:
        case ClaimState.ANSWERED if answer is not None:
            return Recorded(answer)
        case ClaimState.ANSWERED | ClaimState.NOT_KEPT:
            return AnswerNotKept()
        case ClaimState.PENDING:
            return StillPending()
    return OutcomeUnknown()


def _decide(claims: EntryClaims, call: str, decision: ClaimDecision) -> list[EntryEffect]:
    del claims.asking[call]
    return [Decide(call, decision)]


def _refuse(
    claims: EntryClaims, call: str, reason: RefusalReason | None, now: Seconds
) -> list[EntryEffect]:
    """End a request as refused and release the grant that may be on its way."""
    asking = claims.asking.get(call)
    if asking is None:
        return []
    effects = _decide(claims, call, ClaimRefused(reason or asking.last_refusal))
    if asking.is_sent:
        request = asking.request
        release = ClaimRelease(request.service, request.key, call, request.entry)
        effects += _start_settling(claims, release, now)
    return effects


def _start_settling(
    claims: EntryClaims, message: ClaimOutcome | ClaimRelease, now: Seconds
) -> list[EntryEffect]:
    while len(claims.settling) >= MAX_SETTLING:
        # The claim stays pending and is told as unknown, which is safe.
        del claims.settling[next(iter(claims.settling))]
    claims.settling[message.call] = Settling(message, now, now + SETTLE_FOR)
    return _send_due(claims, now)


def _pass_time(claims: EntryClaims, now: Seconds) -> list[EntryEffect]:
    effects: list[EntryEffect] = []
    for call, asking in list(claims.asking.items()):
        if now >= asking.deadline:
            effects += _refuse(claims, call, None, now)
    for call, settling in list(claims.settling.items()):
        if now >= settling.until:
            del claims.settling[call]
    return effects + _send_due(claims, now)
