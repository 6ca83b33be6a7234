"""Replicate claims from the primary to every member, and copy them to a joining member."""

import msgspec

from bendwind_core.claims.events import HolderEffect, Send, SendToControl
from bendwind_core.claims.members import parse_node_name
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
from bendwind_core.claims.table import estimate_claim_bytes
from bendwind_core.core import MILLISECONDS_PER_SECOND, Seconds

WRITE_RESEND_INTERVAL: Seconds = 0.2


def allocate_version(holder: ClaimHolder) -> tuple[int, int]:
    """Allocate the epoch and sequence of the next state that this primary writes."""
    holder.sequence += 1
    return holder.group.epoch, holder.sequence


def write_claim(
    holder: ClaimHolder,
    claim: Claim,
    now: Seconds,
    request: ClaimRequest | None = None,
    settlement: ClaimOutcome | ClaimRelease | None = None,
) -> list[HolderEffect]:
    """Store a claim and send it to every member.

    `request` and `settlement` wait for this write; they get a reply when all members confirmed it.
    """
    holder.table.merge(claim, now)
    is_joining = holder.group.joining is not None
    write = Write((claim,), _list_other_members(holder), now, is_joining_unconfirmed=is_joining)
    earlier = holder.write_sequences.get(claim.key)
    if earlier is not None:
        # The newer state replaces the older one, and waiting requests are answered from it.
        old = holder.writes.pop(earlier)
        write.requests += old.requests
        write.settlements += old.settlements
    if request is not None:
        write.requests.append(request)
    if settlement is not None:
        write.settlements.append(settlement)
    holder.write_sequences[claim.key] = claim.sequence
    return _start_write(holder, claim.sequence, write, now)


def renew_claim_version(holder: ClaimHolder, claim: Claim) -> Claim:
    """Return a claim of an earlier epoch with a new version of this primary."""
    epoch, sequence = allocate_version(holder)
    return msgspec.structs.replace(claim, epoch=epoch, sequence=sequence)


def resend_writes(holder: ClaimHolder, now: Seconds) -> list[HolderEffect]:
    """Resend the writes that members have not confirmed within the resend interval."""
    effects: list[HolderEffect] = []
    for sequence, write in holder.writes.items():
        if now - write.sent_at >= WRITE_RESEND_INTERVAL:
            effects += _send_write(holder, sequence, write, now)
    return effects


def confirm_write(holder: ClaimHolder, message: ClaimAppended) -> None:
    """Record that a member stores the claims of a write."""
    if not holder.is_primary() or message.epoch != holder.group.epoch:
        return
    write = holder.writes.get(message.sequence)
    if write is None:
        return
    write.unconfirmed_members.discard(message.member)
    if message.member == holder.group.joining:
        write.is_joining_unconfirmed = False
    if not write.unconfirmed_members:
        _finish_write(holder, message.sequence)


def append_claims(holder: ClaimHolder, message: ClaimAppend, now: Seconds) -> list[HolderEffect]:
    """Store the claims of the current epoch's primary at a member or joining member."""
    group = holder.group
    is_current = group is not None and message.epoch == group.epoch and not group.lost
    if not is_current or message.receiver != holder.member or not holder.is_member_or_joining():
        return []
    if message.sender != group.members[0]:
        return []
    for claim, age_ms in zip(message.claims, message.ages_ms, strict=True):
        holder.table.merge(claim, now - age_ms / MILLISECONDS_PER_SECOND)
    reply = ClaimAppended(message.service, message.epoch, message.sequence, holder.member)
    return [Send(parse_node_name(message.sender), reply)]


def _list_other_members(holder: ClaimHolder) -> set[str]:
    other_members = set(holder.group.members) - {holder.member}
    if holder.group.joining is not None and holder.is_copy_complete:
        other_members.add(holder.group.joining)
    return other_members


def _start_write(
    holder: ClaimHolder, sequence: int, write: Write, now: Seconds
) -> list[HolderEffect]:
    holder.writes[sequence] = write
    if not write.unconfirmed_members:
        _finish_write(holder, sequence)
    return _send_write(holder, sequence, write, now)


def _finish_write(holder: ClaimHolder, sequence: int) -> None:
    write = holder.writes.pop(sequence)
    holder.finished_writes.append(write)
    if write.is_copy:
        return
    key = write.claims[0].key
    del holder.write_sequences[key]
    if holder.keys_to_copy is not None and write.is_joining_unconfirmed:
        holder.keys_to_copy.append(key)


def _send_write(
    holder: ClaimHolder, sequence: int, write: Write, now: Seconds
) -> list[HolderEffect]:
    write.sent_at = now
    ages = tuple(_age_ms(holder, claim, now) for claim in write.claims)
    receivers = set(write.unconfirmed_members)
    if holder.group.joining is not None:
        receivers.add(holder.group.joining)
    return [
        Send(
            parse_node_name(receiver),
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
    """Start to copy every claim to the joining member."""
    holder.keys_to_copy = list(holder.table.claims)
    return copy_next_chunk(holder, now)


def _pop_chunk(holder: ClaimHolder) -> list[Claim]:
    chunk: list[Claim] = []
    size = 0
    limits = holder.table.limits
    while holder.keys_to_copy and len(chunk) < limits.copy_claims and size < limits.copy_bytes:
        claim = holder.table.find(holder.keys_to_copy.pop())
        if claim is not None:
            chunk.append(claim)
            size += estimate_claim_bytes(claim)
    return chunk


def copy_next_chunk(holder: ClaimHolder, now: Seconds) -> list[HolderEffect]:
    """Send the next chunk of the copy, or end the copy when no key is left to copy."""
    if holder.keys_to_copy is None:
        return []
    chunk = _pop_chunk(holder)
    if not chunk:
        return _finish_copy(holder, now)
    _, sequence = allocate_version(holder)
    write = Write(tuple(chunk), {holder.group.joining}, now, is_copy=True)
    return _start_write(holder, sequence, write, now)


def _finish_copy(holder: ClaimHolder, now: Seconds) -> list[HolderEffect]:
    """End the copy and report it to control.

    From now on every unfinished and later write needs the joining member's confirmation too.
    """
    holder.keys_to_copy = None
    holder.is_copy_complete = True
    for write in holder.writes.values():
        if write.is_joining_unconfirmed:
            write.unconfirmed_members.add(holder.group.joining)
    return report_copied(holder)


def report_copied(holder: ClaimHolder) -> list[HolderEffect]:
    """Report to control that the joining member stores every claim."""
    group = holder.group
    return [SendToControl(ClaimCopied(group.service, group.epoch, group.joining))]
