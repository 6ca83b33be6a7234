"""Hold the attempts at the one node that sends to an upstream."""

import math

import msgspec

from bendwind_core.admission import (
    ArrivalCounts,
    DependencyOverload,
    RankCounts,
    RateLimit,
    RouteOrigins,
    WarmUpState,
)
from bendwind_core.attempts.attempt_log import AttemptLog
from bendwind_core.attempts.messages import AttemptId, HandOver
from bendwind_core.attempts.pace import Pace
from bendwind_core.attempts.service_time import ServiceTime
from bendwind_core.attempts.upstream_end import EndWatch
from bendwind_core.core import Milliseconds, Seconds
from bendwind_core.limits import CustomerWork, FairQueue, UrgencyQueue
from bendwind_core.suspicion import Served, SuspectTable
from bendwind_core.world import UpstreamState

REMEMBERED_ATTEMPTS = 4096

# Attempts with an objective are admitted by how long they would wait, which bounds their number
# where they take some time; a limit below that drops long ones for short ones that came later.
TIMED_QUEUE = 128

# One for each node of the largest deployment planned for; about 150 bytes each.
REMEMBERED_PEERS = 16384


class QueuedAttempt(msgspec.Struct):
    """Hold an attempt that waits.

    One with a latency objective should start by `due_at`, and is given back at `leaves_at` if no
    slot is free: held to its deadline, it could not be tried elsewhere any more. `signature`
    is empty where nothing was known against any request. `rank` is where it waits, the lowest
    first, `own_rank` how urgent it is, that of the calling run for a call that an upstream makes,
    and `is_inner` says that this run fails without it.
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
    own_rank: int = 0
    is_inner: bool = False


class RunningAttempt(msgspec.Struct):
    """Hold a started attempt.

    `slow_factor` is how much longer than usual it should take; `is_paced` says that the upstream
    had told so shortly before, `is_sent` that the request went out whole, and `is_under_end` that
    the upstream is known to have ended while it ran. `signature` and `is_suspect` are as when it
    was queued, as is `own_rank`, and `status` is that of the answer's head, 0 without one.
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
    own_rank: int = 0

    @property
    def route(self) -> str:
        """Return the route that the call came by, empty without one."""
        return self.hand_over.route


class OwnerState(msgspec.Struct):
    """Hold everything that was handed to one upstream's owner node.

    Attempts with a latency objective wait in `timed`, all others in `queue`. `slot_share` is the
    part of the slots that is used, `route_times` the usual time of each route's answers,
    `guessed_times` stands in for routes without any, `origins` tells where each route's requests
    begin, `dependency` what is known of the upstream's own calls, `warm_up` whether it is cold,
    `rate_limit` what it takes by its own word, `ends` what it may have ended under, `suspects` what
    the process knows against requests, `served` which were served here lately, `turns` what was
    done for each customer, `rank_counts` how often each rank is served, `arrivals` what came of
    each rank lately, and `asked_at` is when it was last asked for its load.
    `is_unreachable` says that it refused the last connection, `is_leaving` that its present run is
    to get nothing more, by its own word.
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
    origins: RouteOrigins = msgspec.field(default_factory=RouteOrigins)
    dependency: DependencyOverload = msgspec.field(default_factory=DependencyOverload)
    pace: Pace = msgspec.field(default_factory=Pace)
    warm_up: WarmUpState = msgspec.field(default_factory=WarmUpState)
    rate_limit: RateLimit = msgspec.field(default_factory=RateLimit)
    ends: EndWatch = msgspec.field(default_factory=EndWatch)
    suspects: SuspectTable = msgspec.field(default_factory=SuspectTable)
    served: Served = msgspec.field(default_factory=Served)
    turns: CustomerWork = msgspec.field(default_factory=CustomerWork)
    rank_counts: RankCounts = msgspec.field(default_factory=RankCounts)
    arrivals: ArrivalCounts = msgspec.field(default_factory=ArrivalCounts)
    is_unreachable: bool = False
    is_leaving: bool = False
    asked_at: Seconds | None = None
    may_ask: bool = True

    @property
    def run_limit(self) -> int:
        """Return how many attempts may run at a time."""
        used = max(1, int(self.slots * self.slot_share)) if self.slots else 0
        return min(used, self.connections)


def create_owner_state(
    upstream: str,
    incarnation: int,
    queue: int,
    *,
    timed_queue: int = TIMED_QUEUE,
    remembered_attempts: int = REMEMBERED_ATTEMPTS,
    remembered_peers: int = REMEMBERED_PEERS,
    slot_share: float = 1.0,
    warm_up: WarmUpState | None = None,
    suspects: SuspectTable | None = None,
    alone_from: Seconds = -math.inf,
) -> OwnerState:
    """Create an owner's state for an upstream that has yet to announce itself.

    `incarnation` is this process's own run; `queue` bounds the attempts that wait, `timed_queue`
    those of them with a latency objective. `alone_from` is when no other process sends to the
    upstream any more.
    """
    log = AttemptLog(remembered_attempts, remembered_peers)
    timed = UrgencyQueue(timed_queue)
    owner_state = OwnerState(upstream, incarnation, FairQueue(queue), log, timed, slot_share)
    if warm_up is not None:
        owner_state.warm_up = warm_up
    owner_state.rate_limit.alone_from = alone_from
    if suspects is not None:
        owner_state.suspects = suspects
    return owner_state


def is_open(owner_state: OwnerState) -> bool:
    """Tell whether new attempts are taken."""
    is_ready = owner_state.state is UpstreamState.READY and not owner_state.is_stopping
    return is_ready and not owner_state.is_unreachable and not owner_state.is_leaving
