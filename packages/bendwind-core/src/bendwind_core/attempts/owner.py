"""Decide, at the one node that sends to an upstream, what happens to each attempt.

The desk alone knows which attempts were started, so it alone says "not run", and only of an
attempt that it marks, in the same step, as one that never starts.
"""

from dataclasses import dataclass, field

from bendwind_core.attempts.attempt_log import (
    AttemptLog,
    EntryPeer,
    Fate,
    meet_peer,
    record_ended,
    record_live,
)
from bendwind_core.attempts.messages import (
    AttemptId,
    CutReason,
    Fence,
    FenceVerdict,
    HandOver,
    NotRunReason,
)
from bendwind_core.attempts.owner_events import (
    CancelArrived,
    CancelDispatch,
    Dispatch,
    DispatchDone,
    DispatchHead,
    DispatchNotRun,
    DispatchUnknown,
    Drain,
    Drained,
    FenceArrived,
    HandOverArrived,
    LinkLost,
    LinkOpened,
    OwnerEffect,
    OwnerEvent,
    ReplyFenced,
    ReplyNotRun,
    ReplyUnknown,
    Tick,
    UpstreamAnnounced,
    UpstreamLost,
)
from bendwind_core.attempts.service_time import ServiceTime, note_result, note_time
from bendwind_core.core import MILLISECONDS_PER_SECOND, Seconds
from bendwind_core.limits import FairQueue, fair_queue
from bendwind_core.world import LoadSample, Repeat, UpstreamState

REMEMBERED_ATTEMPTS = 4096
# One for each node of the largest deployment planned for; about 150 bytes each.
REMEMBERED_PEERS = 16384
# A leaving upstream gets nothing new after this, not even what was queued before.
DRAIN_QUEUE_WAIT: Seconds = 1.0
# An upstream that runs so many attempts, and should have ended so many more, has stalled.
STALL_RUNNING = 2
STALL_EXPECTED = 3.0

_FAILED_STATUS = 500


@dataclass(slots=True)
class QueuedAttempt:
    """Hold an attempt that waits for a slot."""

    hand_over: HandOver
    epoch: int
    expires_at: Seconds


@dataclass(slots=True)
class RunningAttempt:
    """Hold a started attempt."""

    epoch: int
    started_at: Seconds
    repeat: Repeat
    is_cancelled: bool = False


@dataclass(slots=True)
class OwnerDesk:
    """Hold everything that was handed to one upstream's owner node."""

    upstream: str
    incarnation: int
    queue: FairQueue[QueuedAttempt]
    log: AttemptLog
    slots: int = 0
    connections: int = 0
    state: UpstreamState = UpstreamState.GONE
    is_stopping: bool = False
    is_drained: bool = True
    bounce_queue_at: Seconds | None = None
    progress_at: Seconds = 0.0
    running: dict[AttemptId, RunningAttempt] = field(default_factory=dict)
    waiting: dict[AttemptId, QueuedAttempt] = field(default_factory=dict)
    times: ServiceTime = field(default_factory=ServiceTime)


def create_desk(
    upstream: str,
    incarnation: int,
    queue: int,
    *,
    remembered_attempts: int = REMEMBERED_ATTEMPTS,
    remembered_peers: int = REMEMBERED_PEERS,
) -> OwnerDesk:
    """Create the desk of an upstream that has yet to announce itself.

    `incarnation` is this process's own run; `queue` bounds the attempts that wait.
    """
    log = AttemptLog(remembered_attempts, remembered_peers)
    return OwnerDesk(upstream, incarnation, FairQueue(queue), log)


def load_sample(desk: OwnerDesk, now: Seconds) -> LoadSample:
    """Count the load as of now."""
    return LoadSample(
        in_flight=len(desk.running),
        queued=desk.queue.size,
        slots=desk.slots,
        latency_ms=desk.times.average_ms,
        error_rate=desk.times.error_rate,
        draining=not _is_open(desk),
    )


def _is_open(desk: OwnerDesk) -> bool:
    return desk.state is UpstreamState.READY and not desk.is_stopping


def next_due(desk: OwnerDesk) -> Seconds | None:
    """Return when the next Tick is due, or None."""
    if not desk.waiting:
        return None
    due = min(queued.expires_at for queued in desk.waiting.values())
    if desk.bounce_queue_at is not None:
        due = min(due, desk.bounce_queue_at)
    return due


def step(desk: OwnerDesk, event: OwnerEvent, now: Seconds) -> list[OwnerEffect]:
    """Apply an event to the desk."""
    effects: list[OwnerEffect] = []
    match event:
        case HandOverArrived():
            _on_hand_over(desk, event, now, effects)
        case DispatchHead():
            note_time(desk.times, event.upstream_ms)
            note_result(desk.times, is_error=event.status >= _FAILED_STATUS)
        case DispatchDone():
            desk.progress_at = now
            _end_running(desk, event.attempt, Fate.ENDED)
        case DispatchNotRun():
            _on_dispatch_not_run(desk, event, now, effects)
        case DispatchUnknown():
            _on_dispatch_unknown(desk, event, now, effects)
        case CancelArrived():
            _on_cancel(desk, event, now, effects)
        case FenceArrived():
            _on_fence(desk, event.fence, event.epoch, effects)
        case LinkOpened():
            _on_link_opened(desk, event, effects)
        case LinkLost():
            _on_link_lost(desk, event, effects)
        case Drain():
            _on_drain(desk, now)
        case UpstreamAnnounced():
            _on_announced(desk, event, now, effects)
        case UpstreamLost():
            desk.state = UpstreamState.GONE
            _bounce_queue(desk, NotRunReason.NO_UPSTREAM, now, effects)
        case Tick():
            pass
    _expire_queue(desk, now, effects)
    _dispatch_waiting(desk, now, effects)
    _report_drained(desk, effects)
    return effects


def _on_hand_over(
    desk: OwnerDesk, event: HandOverArrived, now: Seconds, effects: list[OwnerEffect]
) -> None:
    hand_over = event.hand_over
    attempt = hand_over.attempt
    if hand_over.owner_incarnation != desk.incarnation:
        _refuse(desk, attempt, event.epoch, NotRunReason.WRONG_OWNER, now, effects)
        return
    peer = meet_peer(desk.log, attempt.entry, attempt.incarnation, attempt.sequence - 1)
    if peer is None or event.epoch < peer.epoch:
        return
    peer.epoch = event.epoch
    if _is_seen(desk, peer, attempt, event.epoch, now, effects):
        return
    refusal = _find_refusal(desk, hand_over, now)
    if refusal is not None:
        record_ended(desk.log, attempt, Fate.NEVER_STARTED)
        _refuse(desk, attempt, event.epoch, refusal, now, effects)
        return
    expires_at = now + hand_over.remaining_ms / MILLISECONDS_PER_SECOND
    _enqueue(desk, QueuedAttempt(hand_over, event.epoch, expires_at), now, effects)


def _is_seen(
    desk: OwnerDesk,
    peer: EntryPeer,
    attempt: AttemptId,
    epoch: int,
    now: Seconds,
    effects: list[OwnerEffect],
) -> bool:
    fate = desk.log.fates.get(attempt)
    if fate is Fate.NEVER_STARTED:
        _refuse(desk, attempt, epoch, NotRunReason.FENCED, now, effects)
        return True
    if fate is not None:
        return True
    if attempt.sequence <= peer.floor:
        # It may be a repeat of an attempt that was started and dropped from the log.
        sample = load_sample(desk, now)
        effects.append(ReplyUnknown(attempt, epoch, CutReason.LINK_LOST, sample))
        return True
    return False


def _find_refusal(desk: OwnerDesk, hand_over: HandOver, now: Seconds) -> NotRunReason | None:
    if desk.state is UpstreamState.GONE:
        return NotRunReason.NO_UPSTREAM
    if not _is_open(desk):
        return NotRunReason.DRAINING
    if hand_over.remaining_ms <= 0:
        return NotRunReason.DEADLINE
    if not hand_over.insist and _is_stalled(desk, now):
        return NotRunReason.STALLED
    return None


def _is_stalled(desk: OwnerDesk, now: Seconds) -> bool:
    # At the usual pace, this many of the running attempts would have ended since the last one did.
    if len(desk.running) < STALL_RUNNING:
        return False
    expected = len(desk.running) * (now - desk.progress_at) * MILLISECONDS_PER_SECOND
    return expected > STALL_EXPECTED * desk.times.average_ms > 0.0


def _refuse(
    desk: OwnerDesk,
    attempt: AttemptId,
    epoch: int,
    reason: NotRunReason,
    now: Seconds,
    effects: list[OwnerEffect],
) -> None:
    effects.append(ReplyNotRun(attempt, epoch, reason, load_sample(desk, now)))


def _enqueue(
    desk: OwnerDesk, queued: QueuedAttempt, now: Seconds, effects: list[OwnerEffect]
) -> None:
    attempt = queued.hand_over.attempt
    if not desk.waiting and _has_slot(desk):
        _start(desk, queued, now, effects)
        return
    record_live(desk.log, attempt, Fate.QUEUED)
    desk.waiting[attempt] = queued
    displaced = fair_queue.push(desk.queue, attempt.entry, queued)
    if displaced is not None:
        _drop_waiting(desk, displaced, NotRunReason.QUEUE_FULL, now, effects)


def _has_slot(desk: OwnerDesk) -> bool:
    return len(desk.running) < min(desk.slots, desk.connections)


def _start(
    desk: OwnerDesk, queued: QueuedAttempt, now: Seconds, effects: list[OwnerEffect]
) -> None:
    hand_over = queued.hand_over
    record_live(desk.log, hand_over.attempt, Fate.RUNNING)
    if not desk.running:
        desk.progress_at = now
    desk.running[hand_over.attempt] = RunningAttempt(queued.epoch, now, hand_over.repeat)
    effects.append(Dispatch(hand_over, queued.expires_at))


def _drop_waiting(
    desk: OwnerDesk,
    queued: QueuedAttempt,
    reason: NotRunReason,
    now: Seconds,
    effects: list[OwnerEffect],
) -> None:
    _forget_waiting(desk, queued)
    _refuse(desk, queued.hand_over.attempt, queued.epoch, reason, now, effects)


def _forget_waiting(desk: OwnerDesk, queued: QueuedAttempt) -> None:
    attempt = queued.hand_over.attempt
    del desk.waiting[attempt]
    record_ended(desk.log, attempt, Fate.NEVER_STARTED)


def _end_running(desk: OwnerDesk, attempt: AttemptId, fate: Fate) -> RunningAttempt | None:
    running = desk.running.pop(attempt, None)
    if running is not None:
        record_ended(desk.log, attempt, fate)
    return running


def _on_dispatch_not_run(
    desk: OwnerDesk, event: DispatchNotRun, now: Seconds, effects: list[OwnerEffect]
) -> None:
    running = _end_running(desk, event.attempt, Fate.NEVER_STARTED)
    if running is not None:
        note_result(desk.times, is_error=True)
        _refuse(desk, event.attempt, running.epoch, event.reason, now, effects)


def _on_dispatch_unknown(
    desk: OwnerDesk, event: DispatchUnknown, now: Seconds, effects: list[OwnerEffect]
) -> None:
    running = _end_running(desk, event.attempt, Fate.ENDED)
    if running is None:
        return
    if event.reason is not CutReason.CANCELLED:
        note_result(desk.times, is_error=True)
    sample = load_sample(desk, now)
    effects.append(ReplyUnknown(event.attempt, running.epoch, event.reason, sample))


def _on_cancel(
    desk: OwnerDesk, event: CancelArrived, now: Seconds, effects: list[OwnerEffect]
) -> None:
    attempt = event.attempt
    queued = desk.waiting.get(attempt)
    if queued is not None:
        fair_queue.remove(desk.queue, attempt.entry, queued)
        _drop_waiting(desk, queued, NotRunReason.CANCELLED, now, effects)
        return
    _cancel_running(desk, attempt, effects)


def _cancel_running(desk: OwnerDesk, attempt: AttemptId, effects: list[OwnerEffect]) -> None:
    running = desk.running.get(attempt)
    if running is not None and not running.is_cancelled:
        running.is_cancelled = True
        effects.append(CancelDispatch(attempt))


def _on_fence(desk: OwnerDesk, fence: Fence, epoch: int, effects: list[OwnerEffect]) -> None:
    verdict = _judge_fence(desk, fence)
    effects.append(ReplyFenced(fence.attempt, epoch, verdict))


def _judge_fence(desk: OwnerDesk, fence: Fence) -> FenceVerdict:
    attempt = fence.attempt
    if fence.owner_incarnation != desk.incarnation:
        return FenceVerdict.FORGOTTEN
    peer = meet_peer(desk.log, attempt.entry, attempt.incarnation, attempt.sequence)
    if peer is None:
        return FenceVerdict.FORGOTTEN
    match desk.log.fates.get(attempt):
        case Fate.RUNNING | Fate.ENDED:
            return FenceVerdict.STARTED
        case Fate.NEVER_STARTED:
            return FenceVerdict.NEVER_STARTED
        case Fate.QUEUED:
            _fence_waiting(desk, desk.waiting[attempt])
            return FenceVerdict.NEVER_STARTED
        case _:
            if attempt.sequence <= peer.floor:
                return FenceVerdict.FORGOTTEN
            record_ended(desk.log, attempt, Fate.NEVER_STARTED)
            return FenceVerdict.NEVER_STARTED


def _fence_waiting(desk: OwnerDesk, queued: QueuedAttempt) -> None:
    fair_queue.remove(desk.queue, queued.hand_over.attempt.entry, queued)
    _forget_waiting(desk, queued)


def _on_link_opened(desk: OwnerDesk, event: LinkOpened, effects: list[OwnerEffect]) -> None:
    peer = meet_peer(desk.log, event.entry, event.incarnation, floor=0)
    if peer is None or event.epoch <= peer.epoch:
        return
    peer.epoch = event.epoch
    _abandon(desk, event.entry, event.incarnation, event.epoch, effects)


def _on_link_lost(desk: OwnerDesk, event: LinkLost, effects: list[OwnerEffect]) -> None:
    _abandon(desk, event.entry, event.incarnation, event.epoch + 1, effects)


def _abandon(
    desk: OwnerDesk, entry: str, incarnation: int, epoch: int, effects: list[OwnerEffect]
) -> None:
    # Nobody awaits what came in on the entry node's earlier links or from its earlier runs.
    for attempt, queued in list(desk.waiting.items()):
        if _is_before(attempt, queued.epoch, entry, incarnation, epoch):
            _fence_waiting(desk, queued)
    for attempt, running in desk.running.items():
        is_before = _is_before(attempt, running.epoch, entry, incarnation, epoch)
        if is_before and running.repeat is Repeat.IDEMPOTENT:
            _cancel_running(desk, attempt, effects)


def _is_before(
    attempt: AttemptId, attempt_epoch: int, entry: str, incarnation: int, epoch: int
) -> bool:
    if attempt.entry != entry:
        return False
    if attempt.incarnation != incarnation:
        return attempt.incarnation < incarnation
    return attempt_epoch < epoch


def _on_drain(desk: OwnerDesk, now: Seconds) -> None:
    if not desk.is_stopping:
        desk.is_stopping = True
        desk.is_drained = False
        _start_draining(desk, now)


def _start_draining(desk: OwnerDesk, now: Seconds) -> None:
    if desk.bounce_queue_at is None:
        desk.bounce_queue_at = now + DRAIN_QUEUE_WAIT


def _on_announced(
    desk: OwnerDesk, event: UpstreamAnnounced, now: Seconds, effects: list[OwnerEffect]
) -> None:
    desk.slots = event.slots
    desk.connections = event.connections
    desk.state = event.state
    match event.state:
        case UpstreamState.GONE:
            _bounce_queue(desk, NotRunReason.NO_UPSTREAM, now, effects)
        case UpstreamState.DRAINING:
            _start_draining(desk, now)
        case UpstreamState.READY if not desk.is_stopping:
            desk.bounce_queue_at = None
            desk.is_drained = False


def _bounce_queue(
    desk: OwnerDesk, reason: NotRunReason, now: Seconds, effects: list[OwnerEffect]
) -> None:
    while (queued := fair_queue.pop(desk.queue)) is not None:
        _drop_waiting(desk, queued, reason, now, effects)


def _expire_queue(desk: OwnerDesk, now: Seconds, effects: list[OwnerEffect]) -> None:
    if not desk.waiting:
        return
    if desk.bounce_queue_at is not None and now >= desk.bounce_queue_at:
        _bounce_queue(desk, NotRunReason.DRAINING, now, effects)
        return
    for queued in list(desk.waiting.values()):
        if now >= queued.expires_at:
            fair_queue.remove(desk.queue, queued.hand_over.attempt.entry, queued)
            _drop_waiting(desk, queued, NotRunReason.DEADLINE, now, effects)


def _dispatch_waiting(desk: OwnerDesk, now: Seconds, effects: list[OwnerEffect]) -> None:
    while _has_slot(desk):
        queued = fair_queue.pop(desk.queue)
        if queued is None:
            return
        del desk.waiting[queued.hand_over.attempt]
        _start(desk, queued, now, effects)


def _report_drained(desk: OwnerDesk, effects: list[OwnerEffect]) -> None:
    is_empty = not desk.running and not desk.waiting
    if not _is_open(desk) and is_empty and not desk.is_drained:
        desk.is_drained = True
        effects.append(Drained())
