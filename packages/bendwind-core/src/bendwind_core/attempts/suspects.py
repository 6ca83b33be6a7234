"""Record evidence for and against requests at an owner node; refuse suspects accordingly."""

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


class SuspectRefusal(msgspec.Struct, frozen=True):
    """Hold why a suspect, a request that upstreams were running when they ended, is refused.

    Units: `wait_ms` is the time until it would be accepted, in milliseconds, None if unknown.
    """

    reason: NotRunReason
    wait_ms: Milliseconds | None = None


def record_upstream_end(owner_state: OwnerState, now: Seconds, effects: list[OwnerEffect]) -> None:
    """Record an end of the upstream against the requests that it had not answered."""
    unanswered = pop_unanswered(owner_state.end_detector, now)
    # An upstream that leaves as announced may cut off its running attempts.
    if not unanswered or owner_state.state is not UpstreamState.READY:
        return
    end_id = UpstreamEndId(
        owner_state.suspects.node,
        owner_state.incarnation,
        owner_state.upstream,
        owner_state.end_detector.end_count,
    )
    for ended in unanswered:
        is_served = pop_served(owner_state.served_requests, ended.request_hash, now)
        record_end(
            owner_state.suspects, ended.signature, ended.service, end_id, now, is_served=is_served
        )
    effects.append(UpstreamEnded(unanswered))


def record_success(owner_state: OwnerState, running: RunningAttempt, now: Seconds) -> None:
    """Record that a request was answered successfully, which clears it of suspicion."""
    hand_over = running.hand_over
    record_served(owner_state.served_requests, hash_hand_over(hand_over), now)
    if owner_state.suspects.suspects:
        clear_suspect(
            owner_state.suspects, running.signature or compute_hand_over_signature(hand_over), now
        )


def find_suspect_refusal(
    owner_state: OwnerState, queued: QueuedAttempt, now: Seconds
) -> SuspectRefusal | None:
    """Return why a request is refused as a suspect, or None.

    This process and the entry node of the request both contribute what they know of it.
    """
    hand_over = queued.hand_over
    queued.signature = compute_hand_over_signature(hand_over)
    if hand_over.suspicion is not None:
        merge_and_queue_report(owner_state.suspects, hand_over.suspicion, now)
    match find_restriction(owner_state.suspects, queued.signature, now):
        case Quarantined(wait_ms=wait_ms):
            return SuspectRefusal(NotRunReason.QUARANTINED, wait_ms)
        case Isolated(max_other_suspects=others):
            if _count_other_suspects(owner_state, queued.signature) > others:
                return SuspectRefusal(NotRunReason.KEPT_APART)
            queued.is_suspect = True
            record_trial(owner_state.suspects, queued.signature, now)
    return None


def _count_other_suspects(owner_state: OwnerState, signature: bytes) -> int:
    """Count the other suspects that run or wait at the upstream.

    No other suspect may run beside a trial: while one runs or waits, the count is the limit itself.
    """
    held = (*owner_state.running.values(), *owner_state.waiting.values())
    others = {attempt.signature for attempt in held if attempt.is_suspect} - {signature}
    suspects = (owner_state.suspects.suspects.get(other) for other in others)
    has_trial = any(found and is_quarantined(owner_state.suspects, found) for found in suspects)
    return MAX_CONCURRENT_SUSPECTS if has_trial else len(others)


def is_now_quarantined(owner_state: OwnerState, queued: QueuedAttempt, now: Seconds) -> bool:
    """Return whether a request that waits must not run any more."""
    if not owner_state.suspects.suspects:
        return False
    signature = queued.signature or compute_hand_over_signature(queued.hand_over)
    return is_withheld(owner_state.suspects, signature, now)
