"""Settle attempts whose link broke: fence those not started, give up those nobody awaits."""

from bendwind_core.attempts.attempt_log import (
    EntryPeer,
    ExecutionState,
    find_or_create_peer,
    record_ended,
)
from bendwind_core.attempts.messages import AttemptId, Fence, FenceVerdict
from bendwind_core.attempts.owner_events import (
    CancelDispatch,
    LinkLost,
    LinkOpened,
    OwnerEffect,
    ReplyFenced,
)
from bendwind_core.attempts.owner_state import OwnerState
from bendwind_core.attempts.refusals import fence_waiting
from bendwind_core.world import Repeat


def cancel_running(owner_state: OwnerState, attempt: AttemptId, effects: list[OwnerEffect]) -> None:
    """Cancel an attempt that runs, once."""
    running = owner_state.running.get(attempt)
    if running is not None and not running.is_cancelled:
        running.is_cancelled = True
        effects.append(CancelDispatch(attempt))


def handle_fence(
    owner_state: OwnerState, fence: Fence, epoch: int, effects: list[OwnerEffect]
) -> None:
    """Make sure that an attempt which has not started never does, and say what became of it."""
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
    """Give up what came in on earlier links of an entry node or from its earlier runs."""
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
    """Give up what came in on earlier links, at the first sign of a later one."""
    if epoch > peer.epoch:
        peer.epoch = epoch
        _drop_attempts_before(owner_state, entry, incarnation, epoch, effects)


def handle_link_lost(owner_state: OwnerState, event: LinkLost, effects: list[OwnerEffect]) -> None:
    """Give up what came in on a link that broke."""
    _drop_attempts_before(owner_state, event.entry, event.incarnation, event.epoch + 1, effects)


def _drop_attempts_before(
    owner_state: OwnerState, entry: str, incarnation: int, epoch: int, effects: list[OwnerEffect]
) -> None:
    # Nobody awaits what came in on the entry node's earlier links or from its earlier runs.
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
