"""Have an owner node note what speaks for and against requests, and go by it."""

import msgspec

from bendwind_core.attempts.messages import NotRunReason
from bendwind_core.attempts.owner_events import OwnerEffect, UpstreamEnded
from bendwind_core.attempts.owner_state import OwnerState, QueuedAttempt, RunningAttempt
from bendwind_core.attempts.upstream_end import (
    compute_hand_over_signature,
    hash_hand_over,
    pop_unanswered,
)
from bendwind_core.core import Milliseconds, Seconds
from bendwind_core.suspicion import (
    EndName,
    Quarantined,
    RunApart,
    clear,
    hear_and_pass_on,
    is_quarantined,
    is_withheld,
    judge,
    note_end,
    note_let_in,
    note_served,
    take_served,
)
from bendwind_core.suspicion.table import MOST_TOGETHER
from bendwind_core.world import UpstreamState


class SuspectRefusal(msgspec.Struct, frozen=True):
    """Say why a request that upstreams ended under is not let in.

    Units: `wait_ms` is when it would be, in milliseconds, None where that is not known.
    """

    reason: NotRunReason
    wait_ms: Milliseconds | None = None


def record_upstream_end(owner_state: OwnerState, now: Seconds, effects: list[OwnerEffect]) -> None:
    """Note that the upstream has ended, and hold that against what it had not answered."""
    under = pop_unanswered(owner_state.end_detector, now)
    # One that leaves as it said may break off what it runs.
    if not under or owner_state.state is not UpstreamState.READY:
        return
    name = EndName(
        owner_state.suspects.own,
        owner_state.incarnation,
        owner_state.upstream,
        owner_state.end_detector.end_count,
    )
    for ended in under:
        is_served = take_served(owner_state.served_requests, ended.request_hash, now)
        note_end(
            owner_state.suspects, ended.signature, ended.service, name, now, is_served=is_served
        )
    effects.append(UpstreamEnded(under))


def record_success(owner_state: OwnerState, running: RunningAttempt, now: Seconds) -> None:
    """Note that a request was answered with success, which clears it of suspicion."""
    hand_over = running.hand_over
    note_served(owner_state.served_requests, hash_hand_over(hand_over), now)
    if owner_state.suspects.suspects:
        clear(
            owner_state.suspects, running.signature or compute_hand_over_signature(hand_over), now
        )


def find_suspect_refusal(
    owner_state: OwnerState, queued: QueuedAttempt, now: Seconds
) -> SuspectRefusal | None:
    """Return why a request is not let in, by what this process and its entry node know, or None."""
    hand_over = queued.hand_over
    queued.signature = compute_hand_over_signature(hand_over)
    if hand_over.suspicion is not None:
        hear_and_pass_on(owner_state.suspects, hand_over.suspicion, now)
    match judge(owner_state.suspects, queued.signature, now):
        case Quarantined(wait_ms=wait_ms):
            return SuspectRefusal(NotRunReason.QUARANTINED, wait_ms)
        case RunApart(others=others):
            if _count_other_suspects(owner_state, queued.signature) > others:
                return SuspectRefusal(NotRunReason.KEPT_APART)
            queued.is_suspect = True
            note_let_in(owner_state.suspects, queued.signature, now)
    return None


def _count_other_suspects(owner_state: OwnerState, signature: bytes) -> int:
    """Count the other suspects that run or wait at the upstream; beside a trial, none may."""
    held = (*owner_state.running.values(), *owner_state.waiting.values())
    others = {attempt.signature for attempt in held if attempt.is_suspect} - {signature}
    suspects = (owner_state.suspects.suspects.get(other) for other in others)
    has_trial = any(found and is_quarantined(owner_state.suspects, found) for found in suspects)
    return MOST_TOGETHER if has_trial else len(others)


def is_now_quarantined(owner_state: OwnerState, queued: QueuedAttempt, now: Seconds) -> bool:
    """Tell whether a request that waits is not to run any more."""
    if not owner_state.suspects.suspects:
        return False
    signature = queued.signature or compute_hand_over_signature(queued.hand_over)
    return is_withheld(owner_state.suspects, signature, now)
