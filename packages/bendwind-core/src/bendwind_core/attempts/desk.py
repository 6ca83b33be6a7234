"""Hold the attempts at the one node that sends to an upstream."""

import msgspec

from bendwind_core.admission import (
    Arrivals,
    Dependency,
    Origins,
    RankCounts,
    WarmUp,
    find_room_at,
    is_cold,
    note_sent,
    note_started,
)
from bendwind_core.attempts.attempt_log import AttemptLog, Fate, record_ended, record_live
from bendwind_core.attempts.messages import AttemptId, HandOver, NotRunReason
from bendwind_core.attempts.owner_events import Dispatch, OwnerEffect, ReplyNotRun
from bendwind_core.attempts.pace import Pace, find_factor, find_rest_ms, is_known, is_slow
from bendwind_core.attempts.service_time import ServiceTime
from bendwind_core.attempts.upstream_end import EndWatch
from bendwind_core.core import MILLISECONDS_PER_SECOND, Milliseconds, Seconds
from bendwind_core.limits import FairQueue, Turns, UrgencyQueue, fair_queue, urgency_queue
from bendwind_core.limits.turns import note_work
from bendwind_core.suspicion import Served, SuspectTable
from bendwind_core.world import LoadSample, UpstreamState

REMEMBERED_ATTEMPTS = 4096

# Attempts with an objective are admitted by how long they would wait, which bounds their number
# where they take some time; a limit below that drops long ones for short ones that came later.
TIMED_QUEUE = 128

# One for each node of the largest deployment planned for; about 150 bytes each.
REMEMBERED_PEERS = 16384

# An upstream that runs so many attempts, and should have ended so many more, has stalled.
STALL_RUNNING = 2

STALL_EXPECTED = 3.0

# A running attempt that took longer than expected is expected to need this share once more.
OVERDUE_SHARE = 0.25

# About twenty answers settle the usual time of a route, which is less than a second's worth.
ROUTE_TIME_WEIGHT = 0.1

# Objectives are usually stated at three times what the work takes; a route without answers yet is
# expected to take this share of its objective, until the first answer tells.
FIRST_GUESS_SHARE = 0.3

# An answer counts for at most this many times the expected time; a slow phase that began unseen
# makes it four times as long, one in twenty times.
PACED_STEP = 2.0
UNPACED_STEP = 1.2

# Routes that lead to one service; of more, those noted first are forgotten.
MAX_ROUTE_TIMES = 512


class QueuedAttempt(msgspec.Struct):
    """Hold an attempt that waits.

    One with a latency objective should start by `due_at`, and is given back at `leaves_at` if no
    slot is free: held to its deadline, it could not be tried elsewhere any more. `signature`
    is empty where nothing was known against any request. `rank` is where it waits, the lowest
    first, and `is_inner` says that the calling run fails without it.
    """

    hand_over: HandOver
    epoch: int
    expires_at: Seconds
    queued_at: Seconds = 0.0
    due_at: Seconds = 0.0
    leaves_at: Seconds = 0.0
    signature: bytes = b""
    is_suspect: bool = False
    rank: float = 0.0
    is_inner: bool = False


class RunningAttempt(msgspec.Struct):
    """Hold a started attempt.

    `slow_factor` is how much longer than usual it should take; `is_paced` says that the upstream
    had told so shortly before, `is_sent` that the request went out whole, and `is_under_end` that
    the upstream is known to have ended while it ran. `signature` and `is_suspect` are as when it
    was queued, and `status` is that of the answer's head, 0 without one.
    """

    epoch: int
    started_at: Seconds
    hand_over: HandOver
    slow_factor: float = 1.0
    is_paced: bool = False
    is_cancelled: bool = False
    is_sent: bool = False
    is_under_end: bool = False
    signature: bytes = b""
    is_suspect: bool = False
    status: int = 0

    @property
    def route(self) -> str:
        """Return the route that the call came by, empty without one."""
        return self.hand_over.route


class OwnerDesk(msgspec.Struct):
    """Hold everything that was handed to one upstream's owner node.

    Attempts with a latency objective wait in `timed`, all others in `queue`. `slot_share` is the
    part of the slots that is used, `route_times` the usual time of each route's answers,
    `guessed_times` stands in for routes without any, `origins` tells where each route's requests
    begin, `dependency` what is known of the upstream's own calls, `warm_up` whether it is cold,
    `ends` what it may have ended under, `suspects` what the process knows against requests,
    `served` which were served here lately, `turns` what was done for each customer, `rank_counts`
    how often each rank is served, `arrivals` what came of each rank lately, and `asked_at` is when
    it was last asked for its load.
    `is_unreachable` says that it refused the last connection.
    Units: `route_times` and `guessed_times` in milliseconds.
    """

    upstream: str
    incarnation: int
    queue: FairQueue[QueuedAttempt]
    log: AttemptLog
    timed: UrgencyQueue[QueuedAttempt]
    slot_share: float = 1.0
    slots: int = 0
    connections: int = 0
    state: UpstreamState = UpstreamState.GONE
    is_stopping: bool = False
    is_drained: bool = True
    bounce_queue_at: Seconds | None = None
    progress_at: Seconds = 0.0
    running: dict[AttemptId, RunningAttempt] = msgspec.field(default_factory=dict)
    waiting: dict[AttemptId, QueuedAttempt] = msgspec.field(default_factory=dict)
    times: ServiceTime = msgspec.field(default_factory=ServiceTime)
    route_times: dict[str, Milliseconds] = msgspec.field(default_factory=dict)
    guessed_times: dict[str, Milliseconds] = msgspec.field(default_factory=dict)
    origins: Origins = msgspec.field(default_factory=Origins)
    dependency: Dependency = msgspec.field(default_factory=Dependency)
    pace: Pace = msgspec.field(default_factory=Pace)
    warm_up: WarmUp = msgspec.field(default_factory=WarmUp)
    ends: EndWatch = msgspec.field(default_factory=EndWatch)
    suspects: SuspectTable = msgspec.field(default_factory=SuspectTable)
    served: Served = msgspec.field(default_factory=Served)
    turns: Turns = msgspec.field(default_factory=Turns)
    rank_counts: RankCounts = msgspec.field(default_factory=RankCounts)
    arrivals: Arrivals = msgspec.field(default_factory=Arrivals)
    is_unreachable: bool = False
    asked_at: Seconds | None = None
    may_ask: bool = True

    @property
    def run_limit(self) -> int:
        """Return how many attempts may run at a time."""
        used = max(1, int(self.slots * self.slot_share)) if self.slots else 0
        return min(used, self.connections)


def create_desk(
    upstream: str,
    incarnation: int,
    queue: int,
    *,
    timed_queue: int = TIMED_QUEUE,
    remembered_attempts: int = REMEMBERED_ATTEMPTS,
    remembered_peers: int = REMEMBERED_PEERS,
    slot_share: float = 1.0,
    warm_up: WarmUp | None = None,
    suspects: SuspectTable | None = None,
) -> OwnerDesk:
    """Create the desk of an upstream that has yet to announce itself.

    `incarnation` is this process's own run; `queue` bounds the attempts that wait, `timed_queue`
    those of them with a latency objective.
    """
    log = AttemptLog(remembered_attempts, remembered_peers)
    timed = UrgencyQueue(timed_queue)
    desk = OwnerDesk(upstream, incarnation, FairQueue(queue), log, timed, slot_share)
    if warm_up is not None:
        desk.warm_up = warm_up
    if suspects is not None:
        desk.suspects = suspects
    return desk


def load_sample(desk: OwnerDesk, now: Seconds) -> LoadSample:
    """Count the load as of now."""
    return LoadSample(
        in_flight=len(desk.running),
        queued=len(desk.waiting),
        slots=desk.slots,
        latency_ms=desk.times.average_ms,
        error_rate=desk.times.error_rate,
        draining=not is_open(desk),
        cold_wait_ms=find_cold_wait_ms(desk, len(desk.waiting), now),
        wait_ms=find_free_wait_ms(desk, now),
    )


def find_free_wait_ms(desk: OwnerDesk, now: Seconds) -> Milliseconds:
    """Estimate how long an attempt that came now would wait until it starts at the usual pace."""
    phase_ms = find_rest_ms(desk.pace, now) if is_slow(desk.pace, now) else 0.0
    slots = max(1, desk.run_limit)
    if len(desk.running) + len(desk.waiting) < slots:
        return max(phase_ms, find_cold_wait_ms(desk, len(desk.waiting), now))
    rests = [find_run_rest_ms(desk, running, now) for running in desk.running.values()]
    ahead_ms = len(desk.waiting) * desk.times.average_ms / slots
    slot_wait_ms = min(rests, default=0.0) + ahead_ms
    return max(phase_ms, slot_wait_ms, find_cold_wait_ms(desk, len(desk.waiting), now))


def find_run_rest_ms(desk: OwnerDesk, running: RunningAttempt, now: Seconds) -> Milliseconds:
    """Estimate how much longer a running attempt takes."""
    expected_ms = find_usual_ms(desk, running.route) * running.slow_factor
    elapsed_ms = (now - running.started_at) * MILLISECONDS_PER_SECOND
    return max(expected_ms - elapsed_ms, OVERDUE_SHARE * expected_ms)


def is_open(desk: OwnerDesk) -> bool:
    """Tell whether new attempts are taken."""
    is_ready = desk.state is UpstreamState.READY and not desk.is_stopping
    return is_ready and not desk.is_unreachable


def has_room(desk: OwnerDesk, now: Seconds, slots: int | None = None) -> bool:
    """Tell whether the upstream may be sent one more attempt now; `slots` is how many it may run.

    Without `slots` the share holds that is used for requests.
    """
    if len(desk.running) >= (desk.run_limit if slots is None else slots):
        return False
    return not is_cold(desk.warm_up, now) or _find_cold_room_at(desk, 0, now) <= now


def find_cold_wait_ms(desk: OwnerDesk, ahead: int, now: Seconds) -> Milliseconds:
    """Return how long an attempt with so many ahead of it waits until a cold upstream bears it."""
    if not is_cold(desk.warm_up, now):
        return 0.0
    return (_find_cold_room_at(desk, ahead, now) - now) * MILLISECONDS_PER_SECOND


def _find_cold_room_at(desk: OwnerDesk, ahead: int, now: Seconds) -> Seconds:
    has_unsent = any(not running.is_sent for running in desk.running.values())
    return find_room_at(desk.warm_up, ahead, now, has_unsent=has_unsent)


def next_cold_room(desk: OwnerDesk, now: Seconds) -> Seconds | None:
    """Return when a cold upstream may be sent the next waiting attempt, or None."""
    has_slot = len(desk.running) < min(desk.slots, desk.connections)
    if not desk.waiting or not has_slot or not is_cold(desk.warm_up, now):
        return None
    room_at = _find_cold_room_at(desk, 0, now)
    return room_at if room_at > now else None


def is_stalled(desk: OwnerDesk, now: Seconds) -> bool:
    """Tell whether the running attempts take much longer than usual."""
    # At the usual pace, this many of the running attempts would have ended since the last one did.
    if len(desk.running) < STALL_RUNNING:
        return False
    expected = len(desk.running) * (now - desk.progress_at) * MILLISECONDS_PER_SECOND
    return expected > STALL_EXPECTED * desk.times.average_ms > 0.0


def find_end(queued: QueuedAttempt) -> Seconds:
    """Return when a waiting attempt that has not started is refused."""
    if queued.hand_over.target_ms is None:
        return queued.expires_at
    return min(queued.expires_at, queued.leaves_at)


def next_expiry(desk: OwnerDesk) -> Seconds | None:
    """Return when the next waiting attempt expires or is refused, or None."""
    if not desk.waiting:
        return None
    due = min(find_end(queued) for queued in desk.waiting.values())
    if desk.bounce_queue_at is not None:
        due = min(due, desk.bounce_queue_at)
    return due


def refuse(
    desk: OwnerDesk,
    attempt: AttemptId,
    epoch: int,
    reason: NotRunReason,
    now: Seconds,
    effects: list[OwnerEffect],
    hand_over: HandOver | None = None,
    wait_ms: Milliseconds | None = None,
    waited: Seconds | None = None,
) -> None:
    """Reply that an attempt did not run; it must be known never to start."""
    sample = load_sample(desk, now)
    effects.append(ReplyNotRun(attempt, epoch, reason, sample, hand_over, wait_ms, waited))


def drop_waiting(
    desk: OwnerDesk,
    queued: QueuedAttempt,
    reason: NotRunReason,
    now: Seconds,
    effects: list[OwnerEffect],
) -> None:
    """Take an attempt, already out of the queue, off the desk and refuse it."""
    _forget_waiting(desk, queued)
    hand_over = queued.hand_over
    waited = now - queued.queued_at
    refuse(desk, hand_over.attempt, queued.epoch, reason, now, effects, hand_over, waited=waited)


def fence_waiting(desk: OwnerDesk, queued: QueuedAttempt) -> None:
    """Take a queued attempt off the desk without a reply."""
    take_off_queue(desk, queued)
    _forget_waiting(desk, queued)


def take_off_queue(desk: OwnerDesk, queued: QueuedAttempt) -> None:
    """Take an attempt out of the queue that it waits in."""
    if queued.hand_over.target_ms is None:
        fair_queue.remove(desk.queue, queued.hand_over.attempt.entry, queued)
    else:
        urgency_queue.remove(desk.timed, queued)


def take_any(desk: OwnerDesk, now: Seconds) -> QueuedAttempt | None:
    """Take the next attempt out of its queue, whether it may start or not, or None."""
    timed = urgency_queue.pop(desk.timed, now)
    return fair_queue.pop(desk.queue) if timed is None else timed


def guess_route_time(desk: OwnerDesk, hand_over: HandOver) -> None:
    """Expect a time of a route that has had no answer yet, by its objective.

    An upstream that has just started would otherwise take whatever comes and answer it all late.
    """
    if hand_over.target_ms is None or hand_over.route in desk.route_times:
        return
    if len(desk.guessed_times) < MAX_ROUTE_TIMES:
        desk.guessed_times.setdefault(hand_over.route, FIRST_GUESS_SHARE * hand_over.target_ms)


def find_usual_ms(desk: OwnerDesk, route: str) -> Milliseconds:
    """Return how long an attempt of a route runs at the usual pace."""
    usual_ms = desk.route_times.get(route)
    if usual_ms is None:
        usual_ms = desk.guessed_times.get(route)
    return desk.times.average_ms if usual_ms is None else usual_ms


def note_route_time(desk: OwnerDesk, running: RunningAttempt, upstream_ms: Milliseconds) -> None:
    """Add the time that an answer to one of a route's requests took.

    It is taken at the usual pace. Where the pace at the start was not known, a slow phase would
    be learnt as the route's usual time, so that a long one counts only a little then.
    """
    # With the base in `pace`: the credit of the worst seconds, those after all processes were
    # started anew, rose from 40% to 58% and from 15% to 28% (two deployment days, one run each).
    route = running.route
    known_ms = desk.route_times.get(route)
    expected_ms = desk.guessed_times.get(route) if known_ms is None else known_ms
    taken_ms = upstream_ms / max(1.0, running.slow_factor)
    if expected_ms is not None:
        is_paced = running.is_paced or desk.pace.reported_at is None
        taken_ms = min(taken_ms, expected_ms * (PACED_STEP if is_paced else UNPACED_STEP))
    if known_ms is None:
        if len(desk.route_times) >= MAX_ROUTE_TIMES:
            desk.route_times.pop(next(iter(desk.route_times)))
        desk.route_times[route] = taken_ms
    else:
        desk.route_times[route] = known_ms + ROUTE_TIME_WEIGHT * (taken_ms - known_ms)


def _forget_waiting(desk: OwnerDesk, queued: QueuedAttempt) -> None:
    attempt = queued.hand_over.attempt
    del desk.waiting[attempt]
    record_ended(desk.log, attempt, Fate.NEVER_STARTED)


def bounce_queue(
    desk: OwnerDesk, reason: NotRunReason, now: Seconds, effects: list[OwnerEffect]
) -> None:
    """Refuse everything that waits."""
    while (queued := take_any(desk, now)) is not None:
        drop_waiting(desk, queued, reason, now, effects)


def mark_sent(desk: OwnerDesk, attempt: AttemptId, now: Seconds) -> None:
    """Note that a running attempt's request went out, at the first sign of it."""
    running = desk.running.get(attempt)
    if running is not None and not running.is_sent:
        running.is_sent = True
        note_sent(desk.warm_up, now)


def end_running(desk: OwnerDesk, attempt: AttemptId, fate: Fate) -> RunningAttempt | None:
    """Take a running attempt off the desk; return None if it was not there."""
    running = desk.running.pop(attempt, None)
    if running is not None:
        record_ended(desk.log, attempt, fate)
    return running


def start(desk: OwnerDesk, queued: QueuedAttempt, now: Seconds, effects: list[OwnerEffect]) -> None:
    """Give an attempt a slot and dispatch it."""
    hand_over = queued.hand_over
    record_live(desk.log, hand_over.attempt, Fate.RUNNING)
    if not desk.running:
        desk.progress_at = now
    running = RunningAttempt(
        queued.epoch,
        now,
        hand_over,
        find_factor(desk.pace, now),
        desk.pace.reported_at is not None and is_known(desk.pace, now),
        signature=queued.signature,
        is_suspect=queued.is_suspect,
    )
    desk.running[hand_over.attempt] = running
    if not queued.is_inner:
        note_started(desk.rank_counts, hand_over.rank, now)
    note_work(desk.turns, hand_over.customer, find_usual_ms(desk, hand_over.route), now)
    effects.append(Dispatch(hand_over, queued.expires_at))
