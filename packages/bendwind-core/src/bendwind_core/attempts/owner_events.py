"""Define the events and effects of the owner node for one upstream.

The task that owns the upstream passes events to `bendwind_core.attempts.owner.step` and carries
out the effects in order. A reply holds the epoch of the link on which its attempt arrived. If that
link no longer exists, the task drops the reply, since the entry node then fences the attempt.
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
    """Report a hand-over that arrived on the entry node's link with this epoch."""

    hand_over: HandOver
    epoch: int


class UpstreamCallRefused(msgspec.Struct):
    """Report that a call made by the upstream was refused."""


class DispatchSent(msgspec.Struct):
    """Report that the whole request was sent to the upstream.

    It is reported once more for each time that the request is sent again, over another connection.
    """

    attempt: AttemptId


class DispatchHead(msgspec.Struct):
    """Report the head of the upstream's answer.

    Units: `upstream_ms` is the time from dispatch to the first byte, in milliseconds.
    """

    attempt: AttemptId
    status: int
    upstream_ms: Milliseconds


class LoadReported(msgspec.Struct):
    """Report how many times longer than usual requests take, by the upstream's own measure.

    1.0 is the usual pace.
    """

    slow_factor: float


class LoadNotReported(msgspec.Struct):
    """Report that the upstream was not queried for its load, or did not report it.

    `has_load_endpoint` is false if the upstream has no page that reports its load.
    """

    has_load_endpoint: bool = True


class RateLimitReported(msgspec.Struct):
    """Report the rate limit that an answer to a request sent at `sent_at` contained.

    Units: `per_second` in requests a second.
    """

    per_second: float
    sent_at: Seconds


class RateLimitNotReported(msgspec.Struct):
    """Report that an answer to a request sent at `sent_at` contained no rate limit."""

    sent_at: Seconds


class LeavingReported(msgspec.Struct):
    """Report that an answer said that the upstream leaves; this is final for its present run."""


class UpstreamQueried(msgspec.Struct):
    """Report that the upstream was sent a query, which counts as a request for its rate limit."""


class DispatchDone(msgspec.Struct):
    """Report that the upstream's answer is complete: its slot is free."""

    attempt: AttemptId


class DispatchNotRun(msgspec.Struct):
    """Report that the dispatched attempt is proven not to have run.

    The proof is that no byte was sent or that the upstream replied that it shed the request.
    `is_timed_out` says that the upstream neither accepted nor refused the connection.
    """

    attempt: AttemptId
    reason: NotRunReason
    is_timed_out: bool = False


class DispatchUnknown(msgspec.Struct):
    """Report that the dispatch ended without a complete answer."""

    attempt: AttemptId
    reason: CutReason


class CancelArrived(msgspec.Struct):
    """Report that an entry node cancelled an attempt."""

    attempt: AttemptId
    epoch: int


class FenceArrived(msgspec.Struct):
    """Report that an entry node fenced an attempt."""

    fence: Fence
    epoch: int


class LinkOpened(msgspec.Struct):
    """Report that an entry node opened a link; the epochs of one incarnation only increase."""

    entry: str
    incarnation: int
    epoch: int


class LinkLost(msgspec.Struct):
    """Report that the entry node's link with this epoch broke."""

    entry: str
    incarnation: int
    epoch: int


class Drain(msgspec.Struct):
    """Refuse new attempts permanently: this process or its upstream is about to stop."""


class StopRequested(msgspec.Struct):
    """Report that this process stops, and when it gives up the attempts that still run."""

    ends_at: Seconds


class UpstreamAnnounced(msgspec.Struct):
    """Report the upstream's announced capacity and state."""

    slots: int
    connections: int
    state: UpstreamState


class WarmUpConfigured(msgspec.Struct):
    """Report the configured warm-up rule of the upstream's service, None without one.

    `is_known` is false if this process has no configuration of that service: there may be a rule.
    `is_queryable` says that the upstream can be queried for its remaining warm-up time.
    """

    rule: WarmUpRule | None
    is_known: bool = True
    is_queryable: bool = False


class UpstreamAssumedCold(msgspec.Struct):
    """Report that the upstream may have become cold without reporting it."""


class WarmUpReported(msgspec.Struct):
    """Report how much longer the upstream stays cold, by its own statement.

    `queried_at` is when the upstream was queried, None for an unsolicited announcement, which may
    have been delayed.
    """

    remaining_ms: Milliseconds
    queried_at: Seconds | None = None


class WarmUpNotReported(msgspec.Struct):
    """Report that a query for the remaining warm-up time got no answer of the upstream."""


class UpstreamRestarted(msgspec.Struct):
    """Report that the upstream restarted under its name.

    The results of the attempts that were running there are unknown.
    """


class QueueWithdrawn(msgspec.Struct):
    """Refuse all waiting attempts: operators want nothing more sent to the upstream."""


class UpstreamChecked(msgspec.Struct):
    """Report whether the upstream refused the connection that a CheckUpstream effect opened."""

    is_refused: bool


class UpstreamReachable(msgspec.Struct):
    """Report that an upstream which refused connections accepts them again."""


class UpstreamLost(msgspec.Struct):
    """Report that the upstream left or that its lease expired.

    `is_replaced` says that another upstream is at its address, and that it had not announced its
    departure.
    """

    is_replaced: bool = False


class Tick(msgspec.Struct):
    """Expire queued attempts; due at `next_due(owner_state)`."""


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
    | StopRequested
    | UpstreamAnnounced
    | UpstreamLost
    | UpstreamChecked
    | UpstreamReachable
    | UpstreamRestarted
    | QueueWithdrawn
    | WarmUpConfigured
    | UpstreamAssumedCold
    | WarmUpReported
    | WarmUpNotReported
    | Tick
)


class Dispatch(msgspec.Struct):
    """Send the request to the upstream, and abandon it at `expires_at`."""

    hand_over: HandOver
    expires_at: Seconds


class QueryLoad(msgspec.Struct):
    """Query the upstream for its load; the result is LoadReported or LoadNotReported."""


class QueryWarmUp(msgspec.Struct):
    """Query the upstream's remaining warm-up time.

    The result is WarmUpReported, with the time of the query, or WarmUpNotReported.
    """


class CancelDispatch(msgspec.Struct):
    """Cancel a request at the upstream; the task still reports how the dispatch ended."""

    attempt: AttemptId


class CheckUpstream(msgspec.Struct):
    """Check whether the upstream accepts connections; the result is UpstreamChecked."""


class ReplyNotRun(msgspec.Struct):
    """Send NotRun to the attempt's entry node; `hand_over` is the refused hand-over, if available.

    `is_sent_again` says that the request was sent again over another connection.
    Units: `wait_ms` as in NotRun; `queue_time` is how long the attempt was queued, in seconds.
    """

    attempt: AttemptId
    epoch: int
    reason: NotRunReason
    load: LoadSample
    hand_over: HandOver | None = None
    wait_ms: Milliseconds | None = None
    queue_time: Seconds | None = None
    is_sent_again: bool = False


class ReplyUnknown(msgspec.Struct):
    """Send Unknown to the attempt's entry node; `is_sent_again` as in ReplyNotRun."""

    attempt: AttemptId
    epoch: int
    reason: CutReason
    load: LoadSample
    is_sent_again: bool = False


class ReplyFenced(msgspec.Struct):
    """Send Fenced to the attempt's entry node."""

    attempt: AttemptId
    epoch: int
    verdict: FenceVerdict


class UpstreamUnreachable(msgspec.Struct):
    """Report that the upstream refuses connections; UpstreamReachable reports the end of this."""


class UpstreamEnded(msgspec.Struct):
    """Report that the upstream ended by itself, and which attempts it had not answered."""

    unanswered: tuple[UnansweredAttempt, ...]


class RateLimitChanged(msgspec.Struct):
    """Report a change of the upstream's rate limit; `per_second` is None if it has no limit now.

    Units: `per_second` in requests a second.
    """

    change: LimitChange
    per_second: float | None


class ColdPeakRose(msgspec.Struct):
    """Report that more requests than ever before were sent in a second to the cold upstream.

    It is reported only near the limit. `limit` is how many may be sent.
    """

    count: int
    limit: int


class Drained(msgspec.Struct):
    """Report, once, that the owner of a draining upstream holds no more attempts."""


OwnerEffect = (
    QueryLoad
    | QueryWarmUp
    | CheckUpstream
    | Dispatch
    | CancelDispatch
    | ReplyNotRun
    | ReplyUnknown
    | ReplyFenced
    | UpstreamUnreachable
    | UpstreamEnded
    | RateLimitChanged
    | ColdPeakRose
    | Drained
)
