"""Define the events and effects of the owner node for one upstream.

The task that owns the upstream feeds events to `bendwind_core.attempts.owner.step` and carries
out the effects in order. A reply names the link epoch its attempt came in on; where that link is
gone the task drops the reply, since the entry node then fences the attempt.
"""

import msgspec

from bendwind_core.admission.rate_limit import LimitChange
from bendwind_core.attempts.messages import (
    AttemptId,
    CutReason,
    Fence,
    FenceVerdict,
    HandOver,
    NotRunReason,
)
from bendwind_core.attempts.upstream_end import UnansweredAttempt
from bendwind_core.core import Milliseconds, Seconds
from bendwind_core.world import LoadSample, UpstreamState, WarmUpRule


class HandOverArrived(msgspec.Struct):
    """Report a hand-over that came in on an entry node's link of this epoch."""

    hand_over: HandOver
    epoch: int


class UpstreamCallRefused(msgspec.Struct):
    """Report that a call which the upstream made was refused."""


class DispatchSent(msgspec.Struct):
    """Report that the whole request went out to the upstream."""

    attempt: AttemptId


class DispatchHead(msgspec.Struct):
    """Report the head of the upstream's answer.

    Units: `upstream_ms` is the time from dispatch to the first byte, in milliseconds.
    """

    attempt: AttemptId
    status: int
    upstream_ms: Milliseconds


class LoadReported(msgspec.Struct):
    """Report what the upstream said of its own pace; 1.0 is as usual."""

    slow_factor: float


class LoadNotReported(msgspec.Struct):
    """Report that the upstream was not asked for its load, or did not tell it.

    `may_ask` is false where it has no page for that.
    """

    has_load_endpoint: bool = True


class RateLimitReported(msgspec.Struct):
    """Report the rate limit that the upstream named in an answer, to a request sent at `sent_at`.

    Units: `per_second` in requests a second.
    """

    per_second: float
    sent_at: Seconds


class RateLimitNotReported(msgspec.Struct):
    """Report that an answer of the upstream, to a request sent at `sent_at`, named no limit."""

    sent_at: Seconds


class LeavingReported(msgspec.Struct):
    """Report that the upstream said in an answer that it leaves; that is final for its run."""


class UpstreamQueried(msgspec.Struct):
    """Report that the upstream was sent a question, which counts for its limit as a request."""


class DispatchDone(msgspec.Struct):
    """Report that the upstream's answer ended whole: its slot is free."""

    attempt: AttemptId


class DispatchNotRun(msgspec.Struct):
    """Report proof that the dispatched attempt did not run: no byte was sent, or a shed reply.

    `is_timed_out` says that the upstream neither took nor refused the connection.
    """

    attempt: AttemptId
    reason: NotRunReason
    is_timed_out: bool = False


class DispatchUnknown(msgspec.Struct):
    """Report that the dispatch ended without a whole answer."""

    attempt: AttemptId
    reason: CutReason


class CancelArrived(msgspec.Struct):
    """Report an entry node's cancel."""

    attempt: AttemptId
    epoch: int


class FenceArrived(msgspec.Struct):
    """Report an entry node's fence."""

    fence: Fence
    epoch: int


class LinkOpened(msgspec.Struct):
    """Report that an entry node opened a link; epochs of one incarnation only grow."""

    entry: str
    incarnation: int
    epoch: int


class LinkLost(msgspec.Struct):
    """Report that an entry node's link of this epoch broke."""

    entry: str
    incarnation: int
    epoch: int


class Drain(msgspec.Struct):
    """Refuse new attempts for good: this process or its upstream is to stop."""


class UpstreamAnnounced(msgspec.Struct):
    """Report the upstream's announced capacity and state."""

    slots: int
    connections: int
    state: UpstreamState


class WarmUpConfigured(msgspec.Struct):
    """Report what the configuration says of the warm-up of the upstream's service."""

    rule: WarmUpRule | None


class UpstreamAssumedCold(msgspec.Struct):
    """Report that the upstream may have turned cold without saying so."""


class WarmUpReported(msgspec.Struct):
    """Report how much longer the upstream said that it is cold.

    `asked_at` is when it was asked, None for an announcement of its own, which may be late.
    """

    remaining_ms: Milliseconds
    queried_at: Seconds | None = None


class UpstreamRestarted(msgspec.Struct):
    """Report that the upstream started again under its name: what ran there has an unknown end."""


class QueueWithdrawn(msgspec.Struct):
    """Give back what waits: operators want nothing more sent to the upstream."""


class UpstreamChecked(msgspec.Struct):
    """Report whether the upstream refused a connection that was made to find that out."""

    is_refused: bool


class UpstreamReachable(msgspec.Struct):
    """Report that an upstream which refused connections takes them again."""


class UpstreamLost(msgspec.Struct):
    """Report that the upstream left or let its lease run out.

    `is_replaced` says that another one stands at its address, and that it had not said goodbye.
    """

    is_replaced: bool = False


class Tick(msgspec.Struct):
    """Let queued attempts expire; due at `next_due(owner_state)`."""


OwnerEvent = (
    HandOverArrived
    | UpstreamCallRefused
    | DispatchSent
    | DispatchHead
    | DispatchDone
    | LoadReported
    | LoadNotReported
    | RateLimitReported
    | RateLimitNotReported
    | LeavingReported
    | UpstreamQueried
    | DispatchNotRun
    | DispatchUnknown
    | CancelArrived
    | FenceArrived
    | LinkOpened
    | LinkLost
    | Drain
    | UpstreamAnnounced
    | UpstreamLost
    | UpstreamChecked
    | UpstreamReachable
    | UpstreamRestarted
    | QueueWithdrawn
    | WarmUpConfigured
    | UpstreamAssumedCold
    | WarmUpReported
    | Tick
)


class Dispatch(msgspec.Struct):
    """Send the request to the upstream, to be given up at `expires_at`."""

    hand_over: HandOver
    expires_at: Seconds


class QueryLoad(msgspec.Struct):
    """Ask the upstream for its load; LoadReported or LoadNotReported follows."""


class CancelDispatch(msgspec.Struct):
    """Cancel a request at the upstream; its end is still to be reported."""

    attempt: AttemptId


class CheckUpstream(msgspec.Struct):
    """Find out whether the upstream takes connections, and answer by UpstreamChecked."""


class ReplyNotRun(msgspec.Struct):
    """Send NotRun to the attempt's entry node; `hand_over` is what was refused, if at hand.

    Units: `wait_ms` as in NotRun; `waited` is how long it was in the queue, in seconds.
    """

    attempt: AttemptId
    epoch: int
    reason: NotRunReason
    load: LoadSample
    hand_over: HandOver | None = None
    wait_ms: Milliseconds | None = None
    queue_time: Seconds | None = None


class ReplyUnknown(msgspec.Struct):
    """Send Unknown to the attempt's entry node."""

    attempt: AttemptId
    epoch: int
    reason: CutReason
    load: LoadSample


class ReplyFenced(msgspec.Struct):
    """Send Fenced to the attempt's entry node."""

    attempt: AttemptId
    epoch: int
    verdict: FenceVerdict


class UpstreamUnreachable(msgspec.Struct):
    """Report that the upstream refuses connections; UpstreamReached says when it no longer does."""


class UpstreamEnded(msgspec.Struct):
    """Report that the upstream ended by itself, and what it had not answered by then."""

    unanswered: tuple[UnansweredAttempt, ...]


class RateLimitChanged(msgspec.Struct):
    """Report what became of the upstream's rate limit; None is none.

    Units: `per_second` in requests a second.
    """

    change: LimitChange
    per_second: float | None


class Drained(msgspec.Struct):
    """Report once that no attempt at a draining upstream is held any more."""


OwnerEffect = (
    QueryLoad
    | CheckUpstream
    | Dispatch
    | CancelDispatch
    | ReplyNotRun
    | ReplyUnknown
    | ReplyFenced
    | UpstreamUnreachable
    | UpstreamEnded
    | RateLimitChanged
    | Drained
)
