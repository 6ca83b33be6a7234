"""Decide how a node acts as a holder of one service's claims.

The primary grants a key only after every member confirmed that it stores the claim. The next
primary always was a member before, so it knows every key that was ever granted.
"""

from bendwind_core.claims.events import (
    GroupChanged,
    HolderEffect,
    HolderEvent,
    LeaseRenewed,
    Received,
    Tick,
)
from bendwind_core.claims.group import ClaimGroup
from bendwind_core.claims.messages import (
    ClaimAppend,
    ClaimAppended,
    ClaimMessage,
    ClaimOutcome,
    ClaimRelease,
    ClaimRequest,
)
from bendwind_core.claims.replication import (
    append_claims,
    confirm_write,
    copy_next_chunk,
    report_copied,
    resend_writes,
    start_copy,
)
from bendwind_core.claims.requests import (
    expire_waiters,
    handle_request,
    handle_settlement,
    refuse_pending_requests,
    reply_after_write,
)
from bendwind_core.claims.state import ClaimHolder
from bendwind_core.core import Seconds


def step_holder(holder: ClaimHolder, event: HolderEvent, now: Seconds) -> list[HolderEffect]:
    """Apply one event and return the messages to send."""
    effects = _apply(holder, event, now)
    while holder.finished_writes:
        write = holder.finished_writes.popleft()
        if write.is_copy:
            effects += copy_next_chunk(holder, now)
        else:
            effects += reply_after_write(holder, write, now)
    return effects


def _apply(holder: ClaimHolder, event: HolderEvent, now: Seconds) -> list[HolderEffect]:
    match event:
        case GroupChanged(group):
            return _handle_group_changed(holder, group, now)
        case LeaseRenewed(until):
            holder.fresh_until = max(holder.fresh_until, until)
            return []
        case Tick():
            return _handle_tick(holder, now)
        case Received(message):
            return _handle_message(holder, message, now)


def _handle_message(holder: ClaimHolder, message: ClaimMessage, now: Seconds) -> list[HolderEffect]:
    match message:
        case ClaimRequest():
            return handle_request(holder, message, now)
        case ClaimOutcome() | ClaimRelease():
            return handle_settlement(holder, message, now)
        case ClaimAppend():
            return append_claims(holder, message, now)
        case ClaimAppended():
            confirm_write(holder, message)
    return []


def _handle_group_changed(
    holder: ClaimHolder, group: ClaimGroup, now: Seconds
) -> list[HolderEffect]:
    if holder.group is not None and group.epoch <= holder.group.epoch:
        return []
    was_member = holder.is_member()
    was_joining = holder.is_member_or_joining() and not was_member
    effects = refuse_pending_requests(holder) if holder.is_primary() else []
    holder.group = group
    holder.keys_to_copy = None
    holder.is_copy_complete = False
    # A member may keep its claims only if its membership has no gap.
    if not (holder.is_member() and (was_member or was_joining)):
        holder.table.clear()
    if holder.is_primary() and group.joining is not None:
        effects += start_copy(holder, now)
    return effects


def _handle_tick(holder: ClaimHolder, now: Seconds) -> list[HolderEffect]:
    holder.table.expire(now)
    if not holder.is_primary():
        return []
    effects = resend_writes(holder, now) + expire_waiters(holder, now)
    if holder.is_copy_complete and holder.group.joining is not None:
        effects += report_copied(holder)
    return effects
