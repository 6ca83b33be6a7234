"""Hold the state of an upstream's owner node, the only node that sends requests to it."""

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
from bendwind_core.attempts.upstream_end import EndDetector
from bendwind_core.core import Milliseconds, Seconds
from bendwind_core.limits import CustomerWork, FairQueue, UrgencyQueue
from bendwind_core.suspicion import ServedRequests, SuspectTable
from bendwind_core.world import UpstreamState

MAX_REMEMBERED_ATTEMPTS = 4096

# Bounds the queue of attempts with a latency objective. Admission by the estimated wait already
# bounds it where attempts take some time; a limit below that bound would drop long attempts in
# favour of short ones that arrived later.
MAX_TIMED_QUEUE = 128

# One entry node per node of the largest planned deployment; about 150 bytes each.
MAX_REMEMBERED_PEERS = 16384


class QueuedAttempt(msgspec.Struct):
    """Hold an attempt that waits for a slot.

    An attempt with a latency objective should start by `due_at`, and is refused at `refuse_at` if
    no slot is free: if it waited until its deadline, no other upstream could be tried any more.
    At `entry_ends_at` its entry node gives up its calls, never unless that node stops.
    `signature` is empty if nothing was known against any request. `queue_rank` is the rank by
    which the queue is ordered, the lowest first. `effective_rank` is how urgent the attempt is; for
    a call that an upstream makes, it is the rank of the run that makes the call. `is_inner` says
    that the attempt is such a call, and that this run fails without it.
    """

    hand_over: HandOver
    epoch: int
    expires_at: Seconds
    queued_at: Seconds = 0.0
    due_at: Seconds = 0.0
    refuse_at: Seconds = 0.0
    entry_ends_at: Seconds = math.inf
    signature: bytes = b""
    is_suspect: bool = False
    queue_rank: float = 0.0
    effective_rank: int = 0
    is_inner: bool = False


class RunningAttempt(msgspec.Struct):
    """Hold a started attempt.

    `slow_factor` is how many times longer than usual it should take; `is_pace_known` says that the
    upstream had reported this shortly before. `is_sent` says that the whole request was sent and
    does not wait to be sent again, `is_sent_again` that it was sent again over another connection
    or will be, and `is_upstream_ended` that the upstream is known to have ended
    while the attempt ran. `signature`, `is_suspect` and `effective_rank` are those of the queued
    attempt. `status` is the status in the head of the answer, 0 before the head.
    """

    epoch: int
    started_at: Seconds
    hand_over: HandOver
    slow_factor: float = 1.0
    is_pace_known: bool = False
    is_cancelled: bool = False
    is_sent: bool = False
    is_sent_again: bool = False
    is_upstream_ended: bool = False
    signature: bytes = b""
    is_suspect: bool = False
    status: int = 0
    effective_rank: int = 0

    @property
    def route(self) -> str:
        """Return the route of the call, empty if it has none."""
        return self.hand_over.route


class OwnerState(msgspec.Struct):
    """Hold all attempts that were handed to one upstream's owner node.

    Attempts with a latency objective wait in `timed_queue`, all others in `queue`; `waiting` holds
    both kinds. `slot_share` is the share of the slots that is used. `route_times` is the usual
    time of each route's answers, and `guessed_times` the estimate for routes without answers.
    `origins` holds where the requests of each route come from. `dependency_overload` holds what is
    known of the calls that the upstream itself makes. `warm_up` holds whether the upstream is cold,
    and `rate_limit` the limit that the upstream reported. `end_detector` holds the requests that
    may have been running when the upstream ended, `suspects` what the process knows against
    requests, and `served_requests` the requests that were served here recently. `customer_work` is
    the recent work for each customer, `rank_counts` how often requests of each rank are served, and
    `arrival_counts` how many requests of each rank arrived recently. `load_queried_at` is when the
    upstream was last queried for its load, and `has_load_endpoint` whether it has a page for that.
    `is_unreachable` says that the upstream refused the last connection. `is_leaving` says that the
    upstream reported that it leaves: its present run gets no further requests. `ends_at` is when
    this process gives up the attempts that still run, infinite unless it stops.
    `has_ending_entries` says that the entry node of an attempt that waits, or did, stops.
    Units: `route_times` and `guessed_times` in milliseconds.
    """

    upstream: str
    incarnation: int
    queue: FairQueue[QueuedAttempt]
    log: AttemptLog
    timed_queue: UrgencyQueue[QueuedAttempt]
    slot_share: float = 1.0
    slots: int = 0
    connections: int = 0
    state: UpstreamState = UpstreamState.GONE
    is_stopping: bool = False
    ends_at: Seconds = math.inf
    has_ending_entries: bool = False
    is_drained: bool = True
    refuse_queue_at: Seconds | None = None
    last_progress_at: Seconds = 0.0
    running: dict[AttemptId, RunningAttempt] = msgspec.field(default_factory=dict)
    waiting: dict[AttemptId, QueuedAttempt] = msgspec.field(default_factory=dict)
    service_times: ServiceTime = msgspec.field(default_factory=ServiceTime)
    route_times: dict[str, Milliseconds] = msgspec.field(default_factory=dict)
    guessed_times: dict[str, Milliseconds] = msgspec.field(default_factory=dict)
    origins: RouteOrigins = msgspec.field(default_factory=RouteOrigins)
    dependency_overload: DependencyOverload = msgspec.field(default_factory=DependencyOverload)
    pace: Pace = msgspec.field(default_factory=Pace)
    warm_up: WarmUpState = msgspec.field(default_factory=WarmUpState)
    rate_limit: RateLimit = msgspec.field(default_factory=RateLimit)
    end_detector: EndDetector = msgspec.field(default_factory=EndDetector)
    suspects: SuspectTable = msgspec.field(default_factory=SuspectTable)
    served_requests: ServedRequests = msgspec.field(default_factory=ServedRequests)
    customer_work: CustomerWork = msgspec.field(default_factory=CustomerWork)
    rank_counts: RankCounts = msgspec.field(default_factory=RankCounts)
    arrival_counts: ArrivalCounts = msgspec.field(default_factory=ArrivalCounts)
    is_unreachable: bool = False
    is_leaving: bool = False
    load_queried_at: Seconds | None = None
    has_load_endpoint: bool = True

    @property
    def run_limit(self) -> int:
        """Return how many attempts may run at the same time."""
        used = max(1, int(self.slots * self.slot_share)) if self.slots else 0
        return min(used, self.connections)


def create_owner_state(
    upstream: str,
    incarnation: int,
    queue_capacity: int,
    *,
    timed_queue_capacity: int = MAX_TIMED_QUEUE,
    max_remembered_attempts: int = MAX_REMEMBERED_ATTEMPTS,
    max_remembered_peers: int = MAX_REMEMBERED_PEERS,
    slot_share: float = 1.0,
    warm_up: WarmUpState | None = None,
    suspects: SuspectTable | None = None,
    alone_from: Seconds = -math.inf,
) -> OwnerState:
    """Create the owner's state for an upstream that has not announced itself yet.

    `incarnation` identifies the run of this process. `timed_queue_capacity` bounds the waiting
    attempts with a latency objective, and `queue_capacity` all others. `alone_from` is the time
    from which no other process sends to the upstream.
    """
    log = AttemptLog(max_remembered_attempts, max_remembered_peers)
    timed_queue = UrgencyQueue(timed_queue_capacity)
    owner_state = OwnerState(
        upstream, incarnation, FairQueue(queue_capacity), log, timed_queue, slot_share
    )
    if warm_up is not None:
        owner_state.warm_up = warm_up
    owner_state.rate_limit.alone_from = alone_from
    if suspects is not None:
        owner_state.suspects = suspects
    return owner_state


def is_accepting(owner_state: OwnerState) -> bool:
    """Return whether the owner accepts new attempts."""
    is_ready = owner_state.state is UpstreamState.READY and not owner_state.is_stopping
    return is_ready and not owner_state.is_unreachable and not owner_state.is_leaving
