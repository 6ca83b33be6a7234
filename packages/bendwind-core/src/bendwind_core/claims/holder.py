"""Decide for one node what it does as a holder of one service's claims.

The primary grants a key only after every member confirmed that it holds the claim, so the
next primary, which always was a member, knows every key that was ever granted.
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
    copy_next,
    report_copied,
    resend_writes,
    start_copy,
)
from bendwind_core.claims.requests import (
    abandon_requests,
    answer_request,
    answer_written,
    expire_waiters,
    settle_claim,
)
from bendwind_core.claims.state import ClaimHolder
from bendwind_core.core import Seconds


def step(holder: ClaimHolder, event: HolderEvent, now: Seconds) -> list[HolderEffect]:
    """Apply one event and return what to send."""
    effects = _apply(holder, event, now)
    while holder.finished:
        write = holder.finished.popleft()
        if write.is_copy:
            effects += copy_next(holder, now)
        else:
            effects += answer_written(holder, write, now)
    return effects


def _apply(holder: ClaimHolder, event: HolderEvent, now: Seconds) -> list[HolderEffect]:
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
            return answer_request(holder, message, now)
        case ClaimOutcome() | ClaimRelease():
            return settle_claim(holder, message, now)
        case ClaimAppend():
            return append_claims(holder, message, now)
        case ClaimAppended():
            confirm_write(holder, message)
    return []


def _change_group(holder: ClaimHolder, group: ClaimGroup, now: Seconds) -> list[HolderEffect]:
    if holder.group is not None and group.epoch <= holder.group.epoch:
        return []
    was_member = holder.is_member()
    was_joining = holder.is_involved() and not was_member
    effects = abandon_requests(holder) if holder.is_primary() else []
    holder.group = group
    holder.copy_keys = None
    holder.is_copied = False
    # A member may only keep what it held without a gap in its membership.
    if not (holder.is_member() and (was_member or was_joining)):
        holder.table.clear()
    if holder.is_primary() and group.joining is not None:
        effects += start_copy(holder, now)
    return effects


def _pass_time(holder: ClaimHolder, now: Seconds) -> list[HolderEffect]:
    holder.table.expire(now)
    if not holder.is_primary():
        return []
    effects = resend_writes(holder, now) + expire_waiters(holder, now)
    if holder.is_copied and holder.group.joining is not None:
        effects += report_copied(holder)
    return effects
