"""Decide for one node what it does as a holder of one service's claims.

The primary grants a key only after every member confirmed that it holds the claim, so the
next primary, which always was a member, knows every key that was ever granted.
"""

from dataclasses import dataclass, field

from bendwind_core.claims.group import ClaimGroup
from bendwind_core.claims.members import node_of
from bendwind_core.claims.messages import (
    Claim,
    ClaimAppend,
    ClaimAppended,
    ClaimConflict,
    ClaimCopied,
    ClaimGranted,
    ClaimHeld,
    ClaimMessage,
    ClaimOutcome,
    ClaimRelease,
    ClaimRequest,
    ClaimSettled,
    ClaimState,
    ClaimUnavailable,
    RefusalReason,
)
from bendwind_core.claims.table import ClaimLimits, ClaimTable, size_of
from bendwind_core.core import MILLISECONDS_PER_SECOND, Seconds

RESEND_AFTER: Seconds = 0.2
PATIENCE_MARGIN_MS = 500.0
COPY_CHUNK_CLAIMS = 64
COPY_CHUNK_BYTES = 128 * 1024
MAX_WRITES = 1024
MAX_WAITERS = 1024

_FINAL_STATES = frozenset({ClaimState.ANSWERED, ClaimState.NOT_KEPT, ClaimState.UNKNOWN})


@dataclass(slots=True, frozen=True)
class GroupChanged:
    """Report the service's group as control decided it."""

    group: ClaimGroup


@dataclass(slots=True, frozen=True)
class LeaseRenewed:
    """Report until when this node's view of the configuration is proven fresh."""

    until: Seconds


@dataclass(slots=True, frozen=True)
class Received:
    """Report a message from a peer."""

    message: ClaimMessage


@dataclass(slots=True, frozen=True)
class Tick:
    """Report that time has passed."""


HolderEvent = GroupChanged | LeaseRenewed | Received | Tick


@dataclass(slots=True, frozen=True)
class Send:
    """Send a message to a node."""

    to: str
    message: ClaimMessage


@dataclass(slots=True, frozen=True)
class SendControl:
    """Send a message to every control voter; only the leader acts on it."""

    message: ClaimMessage


HolderEffect = Send | SendControl


@dataclass(slots=True)
class Write:
    """Hold a claim, or a chunk of a copy, that some members have not confirmed yet.

    `joining_lacks` is set until the joining member confirms an ordinary write; if that write
    finishes first, its key goes back to the keys to copy.
    """

    claims: tuple[Claim, ...]
    waiting: set[str]
    sent: Seconds
    requests: list[ClaimRequest] = field(default_factory=list)
    settles: list[ClaimOutcome | ClaimRelease] = field(default_factory=list)
    is_copy: bool = False
    joining_lacks: bool = False


@dataclass(slots=True, frozen=True)
class Waiter:
    """Hold a request that waits for the outcome of the call that holds its key."""

    request: ClaimRequest
    until: Seconds


@dataclass(slots=True)
class ClaimHolder:
    """Hold the state of one run of a node as a member of one service's claim group.

    `writes` is keyed by sequence; `writing` finds the unconfirmed write of a key.
    `copy_keys` are the keys that the joining member still lacks; None when no copy runs.
    `is_copied` stays set until the next epoch: from then on a grant needs the joining member too.
    """

    member: str
    service: str
    table: ClaimTable
    group: ClaimGroup | None = None
    fresh_until: Seconds = 0.0
    sequence: int = 0
    writes: dict[int, Write] = field(default_factory=dict)
    writing: dict[str, int] = field(default_factory=dict)
    waiters: dict[str, list[Waiter]] = field(default_factory=dict)
    waiter_count: int = 0
    copy_keys: list[str] | None = None
    is_copied: bool = False

    def is_member(self) -> bool:
        """Tell whether this run of the node is a member of the group."""
        return self.group is not None and self.member in self.group.members

    def is_primary(self) -> bool:
        """Tell whether this run of the node is the primary of a group that is not lost."""
        group = self.group
        return group is not None and group.members[0] == self.member and not group.lost

    def is_involved(self) -> bool:
        """Tell whether this run of the node is a member or is joining."""
        return self.is_member() or (self.group is not None and self.group.joining == self.member)


def create_holder(member: str, service: str, limits: ClaimLimits) -> ClaimHolder:
    """Create a holder that knows no group and holds no claim."""
    return ClaimHolder(member, service, ClaimTable(limits))


def step(holder: ClaimHolder, event: HolderEvent, now: Seconds) -> list[HolderEffect]:
    """Apply one event and return what to send."""
    match event:
        case GroupChanged(group):
            return _change_group(holder, group, now)
        case LeaseRenewed(until):
            holder.fresh_until = max(holder.fresh_until, until)
            return []
        case Tick():
            return _pass_time(holder, now)
        case Received(message):
            return _receive(holder, message, now)


def _receive(holder: ClaimHolder, message: ClaimMessage, now: Seconds) -> list[HolderEffect]:
    match message:
        case ClaimRequest():
            return _answer_request(holder, message, now)
        case ClaimOutcome() | ClaimRelease():
            return _settle(holder, message, now)
        case ClaimAppend():
            return _append(holder, message, now)
        case ClaimAppended():
            return _confirm(holder, message, now)
    return []


# Requests, at the primary.


def _answer_request(holder: ClaimHolder, request: ClaimRequest, now: Seconds) -> list[HolderEffect]:
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
        *_next_version(holder),
        patience_ms=request.remaining_ms + PATIENCE_MARGIN_MS,
    )
    return _write(holder, claim, now, request=request)


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
        return _write(holder, _restate(holder, held), now, request=request)
    return [_reply(request, _reply_from(holder, request, held, now))]


def _reply_from(holder: ClaimHolder, request: ClaimRequest, held: Claim, now: Seconds):
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


# Outcomes and releases, at the primary.


def _settle(
    holder: ClaimHolder, message: ClaimOutcome | ClaimRelease, now: Seconds
) -> list[HolderEffect]:
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
        *_next_version(holder),
        answer=answer,
    )
    return _write(holder, claim, now, settle=message)


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
        return _write(holder, _restate(holder, held), now, settle=message)
    return [_reply(message, _settled(message))]


def _settled(message: ClaimOutcome | ClaimRelease) -> ClaimSettled:
    return ClaimSettled(message.service, message.key, message.call)


# Replication, at the primary.


def _next_version(holder: ClaimHolder) -> tuple[int, int]:
    holder.sequence += 1
    return holder.group.epoch, holder.sequence


def _restate(holder: ClaimHolder, claim: Claim) -> Claim:
    epoch, sequence = _next_version(holder)
    return Claim(
        claim.key,
        claim.fingerprint,
        claim.call,
        claim.state,
        epoch,
        sequence,
        claim.patience_ms,
        claim.answer,
    )


def _write(
    holder: ClaimHolder,
    claim: Claim,
    now: Seconds,
    request: ClaimRequest | None = None,
    settle: ClaimOutcome | ClaimRelease | None = None,
) -> list[HolderEffect]:
    holder.table.merge(claim, now)
    write = Write((claim,), _others(holder), now, joining_lacks=holder.group.joining is not None)
    earlier = holder.writing.get(claim.key)
    if earlier is not None:
        # The newer state stands for the older one; whoever waits is answered from it.
        old = holder.writes.pop(earlier)
        write.requests += old.requests
        write.settles += old.settles
    if request is not None:
        write.requests.append(request)
    if settle is not None:
        write.settles.append(settle)
    return _start_write(holder, claim.sequence, write, now)


def _start_write(
    holder: ClaimHolder, sequence: int, write: Write, now: Seconds
) -> list[HolderEffect]:
    holder.writes[sequence] = write
    for claim in write.claims if not write.is_copy else ():
        holder.writing[claim.key] = sequence
    if not write.waiting:
        return _finish_write(holder, sequence, now)
    return _send_write(holder, sequence, write, now)


def _others(holder: ClaimHolder) -> set[str]:
    others = set(holder.group.members) - {holder.member}
    if holder.group.joining is not None and holder.is_copied:
        others.add(holder.group.joining)
    return others


def _send_write(
    holder: ClaimHolder, sequence: int, write: Write, now: Seconds
) -> list[HolderEffect]:
    write.sent = now
    ages = tuple(_age_ms(holder, claim, now) for claim in write.claims)
    receivers = set(write.waiting)
    if holder.group.joining is not None:
        receivers.add(holder.group.joining)
    return [
        Send(
            node_of(receiver),
            ClaimAppend(
                holder.service,
                holder.group.epoch,
                sequence,
                holder.member,
                receiver,
                write.claims,
                ages,
            ),
        )
        for receiver in sorted(receivers)
    ]


def _age_ms(holder: ClaimHolder, claim: Claim, now: Seconds) -> float:
    return holder.table.age_ms(claim.key, now) if holder.table.find(claim.key) else 0.0


def _confirm(holder: ClaimHolder, message: ClaimAppended, now: Seconds) -> list[HolderEffect]:
    if not holder.is_primary() or message.epoch != holder.group.epoch:
        return []
    write = holder.writes.get(message.sequence)
    if write is None:
        return []
    write.waiting.discard(message.member)
    if message.member == holder.group.joining:
        write.joining_lacks = False
    return [] if write.waiting else _finish_write(holder, message.sequence, now)


def _finish_write(holder: ClaimHolder, sequence: int, now: Seconds) -> list[HolderEffect]:
    write = holder.writes.pop(sequence)
    if write.is_copy:
        return _copy_next(holder, now)
    claim = write.claims[0]
    del holder.writing[claim.key]
    if holder.copy_keys is not None and write.joining_lacks:
        holder.copy_keys.append(claim.key)
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
            effects += _answer_request(holder, request, now)
        else:
            effects.append(_reply(request, _reply_from(holder, request, claim, now)))
    return effects


def _wake_waiters(holder: ClaimHolder, key: str, now: Seconds) -> list[HolderEffect]:
    effects: list[HolderEffect] = []
    waiters = holder.waiters.pop(key, [])
    holder.waiter_count -= len(waiters)
    for waiter in waiters:
        effects += _answer_request(holder, waiter.request, now)
    return effects


# The copy to a joining member, at the primary.


def _start_copy(holder: ClaimHolder, now: Seconds) -> list[HolderEffect]:
    holder.copy_keys = list(holder.table.claims)
    return _copy_next(holder, now)


def _take_chunk(holder: ClaimHolder) -> list[Claim]:
    found: list[Claim] = []
    size = 0
    while holder.copy_keys and len(found) < COPY_CHUNK_CLAIMS and size < COPY_CHUNK_BYTES:
        claim = holder.table.find(holder.copy_keys.pop())
        if claim is not None:
            found.append(claim)
            size += size_of(claim)
    return found


def _copy_next(holder: ClaimHolder, now: Seconds) -> list[HolderEffect]:
    if holder.copy_keys is None:
        return []
    found = _take_chunk(holder)
    if not found:
        return _finish_copy(holder, now)
    _, sequence = _next_version(holder)
    write = Write(tuple(found), {holder.group.joining}, now, is_copy=True)
    return _start_write(holder, sequence, write, now)


def _finish_copy(holder: ClaimHolder, now: Seconds) -> list[HolderEffect]:
    """Tell control, after which every unfinished and later write needs the joining member."""
    holder.copy_keys = None
    holder.is_copied = True
    for write in holder.writes.values():
        if write.joining_lacks:
            write.waiting.add(holder.group.joining)
    return _report_copied(holder)


def _report_copied(holder: ClaimHolder) -> list[HolderEffect]:
    group = holder.group
    return [SendControl(ClaimCopied(group.service, group.epoch, group.joining))]


# Appends, at a member or joining member.


def _append(holder: ClaimHolder, message: ClaimAppend, now: Seconds) -> list[HolderEffect]:
    group = holder.group
    is_current = group is not None and message.epoch == group.epoch and not group.lost
    if not is_current or message.receiver != holder.member or not holder.is_involved():
        return []
    if message.sender != group.members[0]:
        return []
    for claim, age_ms in zip(message.claims, message.ages_ms, strict=True):
        holder.table.merge(claim, now - age_ms / MILLISECONDS_PER_SECOND)
    reply = ClaimAppended(message.service, message.epoch, message.sequence, holder.member)
    return [Send(node_of(message.sender), reply)]


# Changes of the group and the passing of time.


def _change_group(holder: ClaimHolder, group: ClaimGroup, now: Seconds) -> list[HolderEffect]:
    if holder.group is not None and group.epoch <= holder.group.epoch:
        return []
    was_member = holder.is_member()
    was_joining = holder.is_involved() and not was_member
    effects = _abandon_waiting(holder) if holder.is_primary() else []
    holder.group = group
    holder.copy_keys = None
    holder.is_copied = False
    # A member may only keep what it held without a gap in its membership.
    if not (holder.is_member() and (was_member or was_joining)):
        holder.table.clear()
    if holder.is_primary() and group.joining is not None:
        effects += _start_copy(holder, now)
    return effects


def _abandon_waiting(holder: ClaimHolder) -> list[HolderEffect]:
    """Send back everyone who waits; each asks again in the new epoch."""
    requests = [request for write in holder.writes.values() for request in write.requests]
    for waiters in holder.waiters.values():
        requests += [waiter.request for waiter in waiters]
    holder.writes.clear()
    holder.writing.clear()
    holder.waiters.clear()
    holder.waiter_count = 0
    return [_refuse(request, RefusalReason.NOT_PRIMARY) for request in requests]


def _pass_time(holder: ClaimHolder, now: Seconds) -> list[HolderEffect]:
    holder.table.expire(now)
    if not holder.is_primary():
        return []
    effects: list[HolderEffect] = []
    for sequence, write in holder.writes.items():
        if now - write.sent >= RESEND_AFTER:
            effects += _send_write(holder, sequence, write, now)
    effects += _expire_waiters(holder, now)
    if holder.is_copied and holder.group.joining is not None:
        effects += _report_copied(holder)
    return effects


def _expire_waiters(holder: ClaimHolder, now: Seconds) -> list[HolderEffect]:
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
