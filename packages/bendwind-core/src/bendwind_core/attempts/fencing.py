"""Handle fences and links: fence attempts that have not started, cancel those nobody awaits."""

from bendwind_core.attempts.attempt_log import (
    EntryPeer,
    ExecutionState,
    find_or_create_peer,
    record_ended,
)
from bendwind_core.attempts.messages import AttemptId, Fence, FenceVerdict
from bendwind_core.attempts.outlasting import set_entry_end, should_end_in_time
from bendwind_core.attempts.owner_events import (
    CancelDispatch,
    LinkLost,
    LinkOpened,
    OwnerEffect,
    ReplyFenced,
)
from bendwind_core.attempts.owner_state import OwnerState
from bendwind_core.attempts.refusals import fence_waiting
from bendwind_core.core import Seconds
from bendwind_core.world import Repeat


def cancel_running(owner_state: OwnerState, attempt: AttemptId, effects: list[OwnerEffect]) -> None:
    """Cancel a running attempt, unless it was cancelled before."""
    running = owner_state.running.get(attempt)
    if running is not None and not running.is_cancelled:
        running.is_cancelled = True
        effects.append(CancelDispatch(attempt))


def handle_fence(
    owner_state: OwnerState, fence: Fence, epoch: int, now: Seconds, effects: list[OwnerEffect]
) -> None:
    """Ensure that an attempt which has not started never starts, and reply with its state.

    Do nothing if it waits and may end before its entry node gives it up.
    """
    is_meant = fence.owner_incarnation == owner_state.incarnation
    queued = owner_state.waiting.get(fence.attempt) if is_meant else None
    if queued is not None and fence.left_ms is not None:
        set_entry_end(owner_state, queued, fence.left_ms, now)
        if should_end_in_time(owner_state, queued, now):
            return
    verdict = _find_fence_verdict(owner_state, fence)
    effects.append(ReplyFenced(fence.attempt, epoch, verdict))


def _find_fence_verdict(owner_state: OwnerState, fence: Fence) -> FenceVerdict:
    attempt = fence.attempt
    if fence.owner_incarnation != owner_state.incarnation:
        return FenceVerdict.FORGOTTEN
    peer = find_or_create_peer(
        owner_state.log, attempt.entry, attempt.incarnation, attempt.sequence
    )
    if peer is None:
        return FenceVerdict.FORGOTTEN
    match owner_state.log.states.get(attempt):
        case ExecutionState.RUNNING | ExecutionState.ENDED:
            return FenceVerdict.STARTED
        case ExecutionState.NEVER_STARTED:
            return FenceVerdict.NEVER_STARTED
        case ExecutionState.QUEUED:
            fence_waiting(owner_state, owner_state.waiting[attempt])
            return FenceVerdict.NEVER_STARTED
        case _:
            if attempt.sequence <= max(peer.floor, peer.fence_floor):
                return FenceVerdict.FORGOTTEN
            record_ended(owner_state.log, attempt, ExecutionState.NEVER_STARTED)
            return FenceVerdict.NEVER_STARTED


def handle_link_opened(
    owner_state: OwnerState, event: LinkOpened, effects: list[OwnerEffect]
) -> None:
    """Drop the attempts from an entry node's earlier links and earlier incarnations."""
    peer = find_or_create_peer(owner_state.log, event.entry, event.incarnation, floor=0)
    if peer is not None:
        advance_link_epoch(owner_state, peer, event.entry, event.incarnation, event.epoch, effects)


def advance_link_epoch(
    owner_state: OwnerState,
    peer: EntryPeer,
    entry: str,
    incarnation: int,
    epoch: int,
    effects: list[OwnerEffect],
) -> None:
    """Drop the attempts from earlier links at the first message of a later link."""
    if epoch > peer.epoch:
        peer.epoch = epoch
        _drop_attempts_before(owner_state, entry, incarnation, epoch, effects)


def handle_link_lost(owner_state: OwnerState, event: LinkLost, effects: list[OwnerEffect]) -> None:
    """Drop the attempts that arrived on a broken link or on earlier links of the entry node."""
    _drop_attempts_before(owner_state, event.entry, event.incarnation, event.epoch + 1, effects)


def _drop_attempts_before(
    owner_state: OwnerState, entry: str, incarnation: int, epoch: int, effects: list[OwnerEffect]
) -> None:
    # Nobody awaits attempts from the entry node's earlier links or earlier incarnations.
    for attempt, queued in list(owner_state.waiting.items()):
        if _is_before_epoch(attempt, queued.epoch, entry, incarnation, epoch):
            fence_waiting(owner_state, queued)
    for attempt, running in owner_state.running.items():
        is_before = _is_before_epoch(attempt, running.epoch, entry, incarnation, epoch)
        if is_before and running.hand_over.repeat is Repeat.IDEMPOTENT:
            cancel_running(owner_state, attempt, effects)


def _is_before_epoch(
    attempt: AttemptId, attempt_epoch: int, entry: str, incarnation: int, epoch: int
) -> bool:
    if attempt.entry != entry:
        return False
    if attempt.incarnation != incarnation:
        return attempt.incarnation < incarnation
    return attempt_epoch < epoch
