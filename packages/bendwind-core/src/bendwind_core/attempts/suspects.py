"""Have an owner node note what speaks for and against requests, and go by it."""

import msgspec

from bendwind_core.attempts.messages import NotRunReason
from bendwind_core.attempts.owner_events import OwnerEffect, UpstreamEnded
from bendwind_core.attempts.owner_state import OwnerState, QueuedAttempt, RunningAttempt
from bendwind_core.attempts.upstream_end import number_hand_over, sign_hand_over, take_unanswered
from bendwind_core.core import Milliseconds, Seconds
from bendwind_core.suspicion import (
    Isolated,
    Quarantined,
    UpstreamEndId,
    clear_suspect,
    find_restriction,
    is_quarantined,
    is_withheld,
    merge_and_queue_report,
    pop_served,
    record_end,
    record_served,
    record_trial,
)
from bendwind_core.suspicion.table import MAX_CONCURRENT_SUSPECTS
from bendwind_core.world import UpstreamState


class Withheld(msgspec.Struct, frozen=True):
    """Say why a request that upstreams ended under is not let in.

    Units: `wait_ms` is when it would be, in milliseconds, None where that is not known.
    """

    reason: NotRunReason
    wait_ms: Milliseconds | None = None


def note_upstream_end(owner_state: OwnerState, now: Seconds, effects: list[OwnerEffect]) -> None:
    """Note that the upstream has ended, and hold that against what it had not answered."""
    under = take_unanswered(owner_state.ends, now)
    # One that leaves as it said may break off what it runs.
    if not under or owner_state.state is not UpstreamState.READY:
        return
    name = UpstreamEndId(
        owner_state.suspects.node,
        owner_state.incarnation,
        owner_state.upstream,
        owner_state.ends.ends,
    )
    for ended in under:
        is_served = pop_served(owner_state.served, ended.number, now)
        record_end(
            owner_state.suspects, ended.signature, ended.service, name, now, is_served=is_served
        )
    effects.append(UpstreamEnded(under))


def note_success(owner_state: OwnerState, running: RunningAttempt, now: Seconds) -> None:
    """Note that a request was answered with success, which clears it of suspicion."""
    hand_over = running.hand_over
    record_served(owner_state.served, number_hand_over(hand_over), now)
    if owner_state.suspects.suspects:
        clear_suspect(owner_state.suspects, running.signature or sign_hand_over(hand_over), now)


def find_suspicion(owner_state: OwnerState, queued: QueuedAttempt, now: Seconds) -> Withheld | None:
    """Return why a request is not let in, by what this process and its entry node know, or None."""
    hand_over = queued.hand_over
    queued.signature = sign_hand_over(hand_over)
    if hand_over.suspicion is not None:
        merge_and_queue_report(owner_state.suspects, hand_over.suspicion, now)
    match find_restriction(owner_state.suspects, queued.signature, now):
        case Quarantined(wait_ms=wait_ms):
            return Withheld(NotRunReason.QUARANTINED, wait_ms)
        case Isolated(max_other_suspects=others):
            if _count_other_suspects(owner_state, queued.signature) > others:
                return Withheld(NotRunReason.KEPT_APART)
            queued.is_suspect = True
            record_trial(owner_state.suspects, queued.signature, now)
    return None


def _count_other_suspects(owner_state: OwnerState, signature: bytes) -> int:
    """Count the other suspects that run or wait at the upstream; beside a trial, none may."""
    held = (*owner_state.running.values(), *owner_state.waiting.values())
    others = {attempt.signature for attempt in held if attempt.is_suspect} - {signature}
    suspects = (owner_state.suspects.suspects.get(other) for other in others)
    has_trial = any(found and is_quarantined(owner_state.suspects, found) for found in suspects)
    return MAX_CONCURRENT_SUSPECTS if has_trial else len(others)


def is_withheld_here(owner_state: OwnerState, queued: QueuedAttempt, now: Seconds) -> bool:
    """Tell whether a request that waits is not to run any more."""
    if not owner_state.suspects.suspects:
        return False
    signature = queued.signature or sign_hand_over(queued.hand_over)
    return is_withheld(owner_state.suspects, signature, now)
