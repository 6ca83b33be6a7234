"""Replicate claims from the primary to every member, and copy them to a joining one."""

import msgspec

from bendwind_core.claims.events import HolderEffect, Send, SendControl
from bendwind_core.claims.members import node_of
from bendwind_core.claims.messages import (
    Claim,
    ClaimAppend,
    ClaimAppended,
    ClaimCopied,
    ClaimOutcome,
    ClaimRelease,
    ClaimRequest,
)
from bendwind_core.claims.state import ClaimHolder, Write
from bendwind_core.claims.table import size_of
from bendwind_core.core import MILLISECONDS_PER_SECOND, Seconds

RESEND_AFTER: Seconds = 0.2


def next_version(holder: ClaimHolder) -> tuple[int, int]:
    """Return the epoch and sequence of the next state that this primary writes."""
    holder.sequence += 1
    return holder.group.epoch, holder.sequence


def write_claim(
    holder: ClaimHolder,
    claim: Claim,
    now: Seconds,
    request: ClaimRequest | None = None,
    settle: ClaimOutcome | ClaimRelease | None = None,
) -> list[HolderEffect]:
    """Store a claim and send it to every member; whoever waits for it is told when all hold it."""
    holder.table.merge(claim, now)
    is_joining = holder.group.joining is not None
    write = Write((claim,), _others(holder), now, joining_lacks=is_joining)
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
    holder.writing[claim.key] = claim.sequence
    return _start_write(holder, claim.sequence, write, now)


def restate_claim(holder: ClaimHolder, claim: Claim) -> Claim:
    """Return a claim of an earlier epoch as this primary's own newest state."""
    epoch, sequence = next_version(holder)
    return msgspec.structs.replace(claim, epoch=epoch, sequence=sequence)


def resend_writes(holder: ClaimHolder, now: Seconds) -> list[HolderEffect]:
    """Send again what members have not confirmed for some time."""
    effects: list[HolderEffect] = []
    for sequence, write in holder.writes.items():
        if now - write.sent >= RESEND_AFTER:
            effects += _send_write(holder, sequence, write, now)
    return effects


def confirm_write(holder: ClaimHolder, message: ClaimAppended) -> None:
    """Take note that a member holds the claims of a write."""
    if not holder.is_primary() or message.epoch != holder.group.epoch:
        return
    write = holder.writes.get(message.sequence)
    if write is None:
        return
    write.waiting.discard(message.member)
    if message.member == holder.group.joining:
        write.joining_lacks = False
    if not write.waiting:
        _finish_write(holder, message.sequence)


def append_claims(holder: ClaimHolder, message: ClaimAppend, now: Seconds) -> list[HolderEffect]:
    """Store what the primary of the present epoch sent, at a member or joining member."""
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


def _others(holder: ClaimHolder) -> set[str]:
    others = set(holder.group.members) - {holder.member}
    if holder.group.joining is not None and holder.is_copied:
        others.add(holder.group.joining)
    return others


def _start_write(
    holder: ClaimHolder, sequence: int, write: Write, now: Seconds
) -> list[HolderEffect]:
    holder.writes[sequence] = write
    if not write.waiting:
        _finish_write(holder, sequence)
    return _send_write(holder, sequence, write, now)


def _finish_write(holder: ClaimHolder, sequence: int) -> None:
    write = holder.writes.pop(sequence)
    holder.finished.append(write)
    if write.is_copy:
        return
    key = write.claims[0].key
    del holder.writing[key]
    if holder.copy_keys is not None and write.joining_lacks:
        holder.copy_keys.append(key)


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


def start_copy(holder: ClaimHolder, now: Seconds) -> list[HolderEffect]:
    """Begin to copy every claim to the joining member."""
    holder.copy_keys = list(holder.table.claims)
    return copy_next(holder, now)


def _take_chunk(holder: ClaimHolder) -> list[Claim]:
    found: list[Claim] = []
    size = 0
    limits = holder.table.limits
    while holder.copy_keys and len(found) < limits.copy_claims and size < limits.copy_bytes:
        claim = holder.table.find(holder.copy_keys.pop())
        if claim is not None:
            found.append(claim)
            size += size_of(claim)
    return found


def copy_next(holder: ClaimHolder, now: Seconds) -> list[HolderEffect]:
    """Send the next chunk of the copy, or end it when nothing is lacking."""
    if holder.copy_keys is None:
        return []
    found = _take_chunk(holder)
    if not found:
        return _finish_copy(holder, now)
    _, sequence = next_version(holder)
    write = Write(tuple(found), {holder.group.joining}, now, is_copy=True)
    return _start_write(holder, sequence, write, now)


def _finish_copy(holder: ClaimHolder, now: Seconds) -> list[HolderEffect]:
    """Tell control, after which every unfinished and later write needs the joining member."""
    holder.copy_keys = None
    holder.is_copied = True
    for write in holder.writes.values():
        if write.joining_lacks:
            write.waiting.add(holder.group.joining)
    return report_copied(holder)


def report_copied(holder: ClaimHolder) -> list[HolderEffect]:
    """Tell control that the joining member holds every claim."""
    group = holder.group
    return [SendControl(ClaimCopied(group.service, group.epoch, group.joining))]
