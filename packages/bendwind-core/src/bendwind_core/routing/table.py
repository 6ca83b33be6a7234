"""Track the upstreams of one service at an entry node.

The node's own outstanding attempts are exact and current. Reported loads are already stale on
arrival and only supplement them.
"""

from collections.abc import Iterable

import msgspec

from bendwind_core.attempts.messages import AttemptId, NotRunReason
from bendwind_core.core import MILLISECONDS_PER_SECOND, Milliseconds, Seconds
from bendwind_core.routing.notices import Notices, has_announced_leaving, record_notice
from bendwind_core.world import LoadSample, Upstream, UpstreamState

# Weight of the newest value in the moving average of the latency and of the error rate.
LATENCY_WEIGHT = 0.3
ERROR_WEIGHT = 0.1
# Time without a result after which the error rate is halved. An upstream that failed is tried again
# after several of these periods without an attempt.
ERROR_HALF_LIFE: Seconds = 2.0
# Error rates below this count as zero.
NEGLIGIBLE_ERROR_RATE = 0.001
# An owner's word that its upstream accepts nothing holds for this time, unless the upstream has
# been announced as draining: that arrives well within it. The owner may also have refused because
# it heard later than this node that an evacuation ended, and then no announcement follows.
REFUSAL_PERIOD: Seconds = 1.0
_FAILED_STATUS = 500


class TrackedUpstream(msgspec.Struct):
    """Hold the state of one upstream as this entry node knows it.

    `outstanding` maps each attempt to the time it was sent, oldest first. `reported_other_load` is
    the reported load without this node's own share of it. By the last report, `capacity_at` is when
    an upstream that is cold or has announced a rate limit can accept a further request, and
    `free_at` is when a further request would start at the usual pace. Since `free_since`, all
    reports have said that it would start at once; None if the last one did not. `is_draining` says
    that the upstream was announced as draining or is leaving, `refused_at` is when its owner said
    so last, infinitely long ago if its last word was another.
    """

    upstream: Upstream
    first_seen_at: Seconds
    outstanding: dict[AttemptId, Seconds] = msgspec.field(default_factory=dict)
    latency_ms: Milliseconds = 0.0
    error_rate: float = 0.0
    reported_other_load: float = 0.0
    reported_at: Seconds = 0.0
    answered_at: Seconds = 0.0
    probed_at: Seconds = 0.0
    last_result_at: Seconds = 0.0
    queue_full_at: Seconds = float("-inf")
    capacity_at: Seconds = float("-inf")
    free_at: Seconds = float("-inf")
    free_since: Seconds | None = None
    is_draining: bool = False
    refused_at: Seconds = float("-inf")

    @property
    def is_open(self) -> bool:
        """Return whether neither an announcement nor the owner's last word closes the upstream."""
        return not self.is_draining and self.refused_at == float("-inf")

    def is_usable(self, now: Seconds) -> bool:
        """Return whether a new attempt may be sent."""
        return not self.is_draining and now - self.refused_at >= REFUSAL_PERIOD


class WaitCount(msgspec.Struct):
    """Count the requests that waited at an upstream while another one was reported to be free."""

    requests: int = 0
    total: Seconds = 0.0


class UpstreamTable(msgspec.Struct):
    """Hold the upstreams of one service in a fixed order.

    `notices` are those of current and former upstreams.
    """

    service: str
    upstreams: dict[str, TrackedUpstream] = msgspec.field(default_factory=dict)
    notices: Notices = msgspec.field(default_factory=dict)
    round_robin_index: int = 0
    median_latency_ms: Milliseconds = 0.0
    median_at: Seconds = float("-inf")
    avoidable_waits: WaitCount = msgspec.field(default_factory=WaitCount)


def create_upstream_table(service: str) -> UpstreamTable:
    """Create the empty table of a service."""
    return UpstreamTable(service)


def set_upstreams(table: UpstreamTable, upstreams: Iterable[Upstream], now: Seconds) -> None:
    """Replace the set of announced upstreams; keep the state of those that remain."""
    tracked_upstreams = {}
    is_first = not table.upstreams
    for upstream in upstreams:
        if upstream.state is UpstreamState.GONE:
            continue
        tracked_upstreams[upstream.name] = _update_tracked(table, upstream, now, is_first=is_first)
    table.upstreams = tracked_upstreams


def _update_tracked(
    table: UpstreamTable, upstream: Upstream, now: Seconds, *, is_first: bool
) -> TrackedUpstream:
    tracked = table.upstreams.get(upstream.name)
    is_same_run = tracked is not None and _is_same_run(tracked.upstream, upstream)
    if tracked is None or not is_same_run:
        # Upstreams that were listed before this node started to track the service count as warm.
        first_seen_at = float("-inf") if is_first else now
        tracked = TrackedUpstream(upstream, first_seen_at)
    tracked.upstream = upstream
    tracked.is_draining = _is_draining(table, upstream)
    tracked.refused_at = float("-inf")
    return tracked


def _is_draining(table: UpstreamTable, upstream: Upstream) -> bool:
    is_ready = upstream.state is UpstreamState.READY
    return not is_ready or has_announced_leaving(table.notices, upstream)


def _is_same_run(before: Upstream, after: Upstream) -> bool:
    is_same_owner = before.owner.incarnation == after.owner.incarnation
    return is_same_owner and before.born_ms == after.born_ms


def record_attempt_sent(table: UpstreamTable, name: str, attempt: AttemptId, now: Seconds) -> None:
    """Record that an attempt was handed over."""
    tracked = table.upstreams.get(name)
    if tracked is not None:
        tracked.outstanding[attempt] = now


def record_attempt_answered(
    table: UpstreamTable,
    name: str,
    attempt: AttemptId,
    now: Seconds,
    status: int,
    load: LoadSample | None,
) -> None:
    """Record the head of an attempt's answer."""
    tracked = table.upstreams.get(name)
    if tracked is None:
        return
    is_error = status >= _FAILED_STATUS
    tracked.answered_at = now
    sent_at = tracked.outstanding.pop(attempt, None)
    if sent_at is not None and not is_error:
        _record_latency(tracked, (now - sent_at) * MILLISECONDS_PER_SECOND)
    _record_result(tracked, now, is_error=is_error)
    _apply_load(table, tracked, load, now)


def record_attempt_not_run(
    table: UpstreamTable,
    name: str,
    attempt: AttemptId,
    now: Seconds,
    reason: NotRunReason,
    load: LoadSample | None = None,
) -> None:
    """Record that an attempt was reported as not run."""
    tracked = table.upstreams.get(name)
    if tracked is None:
        return
    tracked.outstanding.pop(attempt, None)
    if reason in (NotRunReason.SHED, NotRunReason.CONNECT_FAILED, NotRunReason.FENCED):
        _record_result(tracked, now, is_error=True)
    if reason is NotRunReason.QUEUE_FULL:
        tracked.queue_full_at = now
    if reason in (NotRunReason.DRAINING, NotRunReason.NO_UPSTREAM):
        tracked.refused_at = now
    _apply_load(table, tracked, load, now)


def record_attempt_unknown(
    table: UpstreamTable, name: str, attempt: AttemptId, now: Seconds
) -> None:
    """Record that an attempt's answer was lost."""
    tracked = table.upstreams.get(name)
    if tracked is None:
        return
    tracked.outstanding.pop(attempt, None)
    _record_result(tracked, now, is_error=True)


def record_attempt_cancelled(
    table: UpstreamTable, name: str, attempt: AttemptId, now: Seconds
) -> None:
    """Record that an attempt was abandoned; its age so far is a lower bound of its latency."""
    tracked = table.upstreams.get(name)
    if tracked is None:
        return
    sent_at = tracked.outstanding.pop(attempt, None)
    if sent_at is None:
        return
    age_ms = (now - sent_at) * MILLISECONDS_PER_SECOND
    if age_ms > tracked.latency_ms:
        _record_latency(tracked, age_ms)


def record_load(table: UpstreamTable, name: str, load: LoadSample, now: Seconds) -> None:
    """Record a load sample that did not come with an answer."""
    tracked = table.upstreams.get(name)
    if tracked is not None:
        _apply_load(table, tracked, load, now)


def _record_latency(tracked: TrackedUpstream, latency_ms: Milliseconds) -> None:
    if tracked.latency_ms == 0.0:
        tracked.latency_ms = latency_ms
    else:
        tracked.latency_ms += LATENCY_WEIGHT * (latency_ms - tracked.latency_ms)


def _record_result(tracked: TrackedUpstream, now: Seconds, *, is_error: bool) -> None:
    error_rate = find_decayed_error_rate(tracked, now)
    tracked.error_rate = error_rate + ERROR_WEIGHT * ((1.0 if is_error else 0.0) - error_rate)
    tracked.last_result_at = now


def find_earliest_capacity_at(table: UpstreamTable) -> Seconds | None:
    """Return the earliest time at which an upstream has capacity for a request.

    Draining upstreams are ignored; None if no other upstream is left.
    """
    return min(
        (tracked.capacity_at for tracked in table.upstreams.values() if tracked.is_open),
        default=None,
    )


def find_decayed_error_rate(tracked: TrackedUpstream, now: Seconds) -> float:
    """Return the error rate, decayed by the time since the last result."""
    if tracked.error_rate < NEGLIGIBLE_ERROR_RATE:
        return 0.0
    return tracked.error_rate * 0.5 ** ((now - tracked.last_result_at) / ERROR_HALF_LIFE)


def _apply_load(
    table: UpstreamTable, tracked: TrackedUpstream, load: LoadSample | None, now: Seconds
) -> None:
    if load is None:
        return
    busy = load.in_flight + load.queued
    tracked.reported_other_load = max(0.0, float(busy - len(tracked.outstanding)))
    tracked.reported_at = now
    record_notice(table.notices, tracked.upstream, load)
    tracked.is_draining = _is_draining(table, tracked.upstream)
    tracked.refused_at = now if load.draining else float("-inf")
    tracked.capacity_at = now + load.room_wait_ms / MILLISECONDS_PER_SECOND
    tracked.free_at = now + load.wait_ms / MILLISECONDS_PER_SECOND
    _update_free_since(tracked, load, now)


def _update_free_since(tracked: TrackedUpstream, load: LoadSample, now: Seconds) -> None:
    if load.wait_ms > 0.0 or load.room_wait_ms > 0.0 or not tracked.is_usable(now):
        tracked.free_since = None
    elif tracked.free_since is None:
        tracked.free_since = now
