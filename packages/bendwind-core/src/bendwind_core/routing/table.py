"""Hold what an entry node knows of the upstreams of one service.

Its own outstanding attempts are exact and fresh; reported loads are stale on arrival and only
colour them.
"""

from collections.abc import Iterable

import msgspec

from bendwind_core.attempts.messages import AttemptId, NotRunReason
from bendwind_core.core import MILLISECONDS_PER_SECOND, Milliseconds, Seconds
from bendwind_core.routing.notices import Notices, has_said_to_leave, note_notice
from bendwind_core.world import LoadSample, Upstream, UpstreamState

LATENCY_WEIGHT = 0.3
ERROR_WEIGHT = 0.1
# An upstream that failed is tried again after some such times without an attempt.
ERROR_HALF_TIME: Seconds = 2.0
NO_ERRORS = 0.001
_FAILED_STATUS = 500


class UpstreamView(msgspec.Struct):
    """Hold what is known of one upstream.

    `outstanding` holds when each attempt was sent, oldest first. `reported_others` is the
    reported load without this node's own share of it. `room_at` is when an upstream that is cold or
    has named a limit bears a further request, and `free_at` when one would start at the usual pace,
    by its last report.
    """

    upstream: Upstream
    seen_at: Seconds
    outstanding: dict[AttemptId, Seconds] = msgspec.field(default_factory=dict)
    latency_ms: Milliseconds = 0.0
    error_rate: float = 0.0
    reported_others: float = 0.0
    reported_at: Seconds = 0.0
    answered_at: Seconds = 0.0
    probed_at: Seconds = 0.0
    result_at: Seconds = 0.0
    full_at: Seconds = float("-inf")
    room_at: Seconds = float("-inf")
    free_at: Seconds = float("-inf")
    is_draining: bool = False


class UpstreamTable(msgspec.Struct):
    """Hold the upstreams of one service in a fixed order, and what these and former ones said."""

    service: str
    views: dict[str, UpstreamView] = msgspec.field(default_factory=dict)
    notices: Notices = msgspec.field(default_factory=dict)
    next_turn: int = 0
    usual_ms: Milliseconds = 0.0
    usual_at: Seconds = float("-inf")


def create_table(service: str) -> UpstreamTable:
    """Create the empty table of a service."""
    return UpstreamTable(service)


def set_upstreams(table: UpstreamTable, upstreams: Iterable[Upstream], now: Seconds) -> None:
    """Take over the full set of announced upstreams; keep what is known of those that stay."""
    views = {}
    is_first = not table.views
    for upstream in upstreams:
        if upstream.state is UpstreamState.GONE:
            continue
        views[upstream.name] = _renew_view(table, upstream, now, is_first=is_first)
    table.views = views


def _renew_view(
    table: UpstreamTable, upstream: Upstream, now: Seconds, *, is_first: bool
) -> UpstreamView:
    view = table.views.get(upstream.name)
    is_same_run = view is not None and _is_same_run(view.upstream, upstream)
    if view is None or not is_same_run:
        # What was there before this node looked is taken as warm.
        seen_at = float("-inf") if is_first else now
        view = UpstreamView(upstream, seen_at)
    view.upstream = upstream
    view.is_draining = _is_draining(table, upstream)
    return view


def _is_draining(table: UpstreamTable, upstream: Upstream) -> bool:
    is_announced = upstream.state is UpstreamState.READY
    return not is_announced or has_said_to_leave(table.notices, upstream)


def _is_same_run(before: Upstream, after: Upstream) -> bool:
    is_same_owner = before.owner.incarnation == after.owner.incarnation
    return is_same_owner and before.born_ms == after.born_ms


def note_sent(table: UpstreamTable, name: str, attempt: AttemptId, now: Seconds) -> None:
    """Note that an attempt was handed over."""
    view = table.views.get(name)
    if view is not None:
        view.outstanding[attempt] = now


def note_answered(
    table: UpstreamTable,
    name: str,
    attempt: AttemptId,
    now: Seconds,
    status: int,
    load: LoadSample | None,
) -> None:
    """Note the head of an attempt's answer."""
    view = table.views.get(name)
    if view is None:
        return
    is_error = status >= _FAILED_STATUS
    view.answered_at = now
    sent_at = view.outstanding.pop(attempt, None)
    if sent_at is not None and not is_error:
        _note_latency(view, (now - sent_at) * MILLISECONDS_PER_SECOND)
    _note_result(view, now, is_error=is_error)
    _note_view_load(table, view, load, now)


def note_not_run(
    table: UpstreamTable,
    name: str,
    attempt: AttemptId,
    now: Seconds,
    reason: NotRunReason,
    load: LoadSample | None = None,
) -> None:
    """Note that an attempt bounced."""
    view = table.views.get(name)
    if view is None:
        return
    view.outstanding.pop(attempt, None)
    if reason in (NotRunReason.SHED, NotRunReason.CONNECT_FAILED, NotRunReason.FENCED):
        _note_result(view, now, is_error=True)
    if reason is NotRunReason.QUEUE_FULL:
        view.full_at = now
    if reason in (NotRunReason.DRAINING, NotRunReason.NO_UPSTREAM):
        view.is_draining = True
    _note_view_load(table, view, load, now)


def note_unknown(table: UpstreamTable, name: str, attempt: AttemptId, now: Seconds) -> None:
    """Note that an attempt's answer was lost."""
    view = table.views.get(name)
    if view is None:
        return
    view.outstanding.pop(attempt, None)
    _note_result(view, now, is_error=True)


def note_cancelled(table: UpstreamTable, name: str, attempt: AttemptId, now: Seconds) -> None:
    """Note that an attempt was given up; it would have taken longer than it did so far."""
    view = table.views.get(name)
    if view is None:
        return
    sent_at = view.outstanding.pop(attempt, None)
    if sent_at is None:
        return
    age_ms = (now - sent_at) * MILLISECONDS_PER_SECOND
    if age_ms > view.latency_ms:
        _note_latency(view, age_ms)


def note_load(table: UpstreamTable, name: str, load: LoadSample, now: Seconds) -> None:
    """Note a load sample that came by itself."""
    view = table.views.get(name)
    if view is not None:
        _note_view_load(table, view, load, now)


def _note_latency(view: UpstreamView, latency_ms: Milliseconds) -> None:
    if view.latency_ms == 0.0:
        view.latency_ms = latency_ms
    else:
        view.latency_ms += LATENCY_WEIGHT * (latency_ms - view.latency_ms)


def _note_result(view: UpstreamView, now: Seconds, *, is_error: bool) -> None:
    error_rate = fade_error_rate(view, now)
    view.error_rate = error_rate + ERROR_WEIGHT * ((1.0 if is_error else 0.0) - error_rate)
    view.result_at = now


def find_room_at(table: UpstreamTable) -> Seconds | None:
    """Return when the first upstream that takes requests bears one, None where none takes any."""
    return min(
        (view.room_at for view in table.views.values() if not view.is_draining), default=None
    )


def fade_error_rate(view: UpstreamView, now: Seconds) -> float:
    """Return the error rate, faded by the time since the last result."""
    if view.error_rate < NO_ERRORS:
        return 0.0
    return view.error_rate * 0.5 ** ((now - view.result_at) / ERROR_HALF_TIME)


def _note_view_load(
    table: UpstreamTable, view: UpstreamView, load: LoadSample | None, now: Seconds
) -> None:
    if load is None:
        return
    busy = load.in_flight + load.queued
    view.reported_others = max(0.0, float(busy - len(view.outstanding)))
    view.reported_at = now
    note_notice(table.notices, view.upstream, load)
    view.is_draining = load.draining or _is_draining(table, view.upstream)
    view.room_at = now + load.room_wait_ms / MILLISECONDS_PER_SECOND
    view.free_at = now + load.wait_ms / MILLISECONDS_PER_SECOND
