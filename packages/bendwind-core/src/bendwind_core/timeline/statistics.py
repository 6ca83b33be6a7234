"""Count calls, dispatches and refusals and their durations, by route and by rank."""

import bisect
import collections

import msgspec

from bendwind_core.attempts.messages import NotRunReason
from bendwind_core.core import MILLISECONDS_PER_SECOND, Milliseconds
from bendwind_core.timeline.facts import CallFacts, DispatchFacts, Facts, RefusalFacts

# Upper bounds of the histogram buckets, each at most 2.5 times the previous one. The latency
# objectives of callers mostly lie between 80 ms and 500 ms.
BOUNDS_MS: tuple[Milliseconds, ...] = (5, 10, 25, 50, 100, 150, 250, 400, 600, 1000, 2500, 5000)
# Number of routes with separate counters; all further routes are counted together.
MAX_ROUTES = 200
OTHER_ROUTES = "other"
# Number of ranks with separate counters, starting from the most urgent one. The number of ranks is
# not limited, so all further ranks are counted together.
MAX_RANKS = 4
MORE_RANKS = "more"
_NOT_RUN = "not-run: "
_REASONS = frozenset(NotRunReason)


class Histogram(msgspec.Struct):
    """Count durations per bucket: up to each bound, and beyond the last one."""

    counts: list[int] = msgspec.field(default_factory=lambda: [0] * (len(BOUNDS_MS) + 1))
    total_ms: Milliseconds = 0.0

    def record(self, ms: Milliseconds) -> None:
        """Add a duration."""
        self.counts[bisect.bisect_left(BOUNDS_MS, ms)] += 1
        self.total_ms += ms

    def list_cumulative(self) -> list[tuple[str, int]]:
        """Return the number of durations up to each bound, which is in seconds for Prometheus."""
        bounds = [f"{bound / MILLISECONDS_PER_SECOND:g}" for bound in BOUNDS_MS]
        totals = []
        total = 0
        for bound, count in zip([*bounds, "+Inf"], self.counts, strict=True):
            total += count
            totals.append((bound, total))
        return totals


class CallStatistics(msgspec.Struct):
    """Hold the call counters of one process; the size of every table is bounded by `MAX_ROUTES`.

    `calls` counts finished calls by route and outcome, `refusals` the attempts that an owner node
    refused, by route and reason. The histograms hold the total duration of calls, the time that
    attempts waited at an owner node, and the time that they ran at the upstream.

    By rank, `calls_refused` counts calls that did not run by reason, `sent_back` the hand-overs
    that an owner refused to this entry node without running them, and `rank_waits` the time that
    attempts spent at an owner node until they were dispatched, or refused while in its queue.
    """

    calls: collections.Counter[tuple[str, str]] = msgspec.field(default_factory=collections.Counter)
    refusals: collections.Counter[tuple[str, str]] = msgspec.field(
        default_factory=collections.Counter
    )
    call_times: dict[str, Histogram] = msgspec.field(default_factory=dict)
    waits: dict[str, Histogram] = msgspec.field(default_factory=dict)
    runs: dict[str, Histogram] = msgspec.field(default_factory=dict)
    calls_refused: collections.Counter[tuple[str, str]] = msgspec.field(
        default_factory=collections.Counter
    )
    sent_back: collections.Counter[tuple[str, str]] = msgspec.field(
        default_factory=collections.Counter
    )
    rank_waits: dict[str, Histogram] = msgspec.field(default_factory=dict)


def record_facts(statistics: CallStatistics, detail: str, facts: Facts) -> None:
    """Count the facts of a call, a dispatch or a refusal."""
    match facts:
        case CallFacts(route=route, ms=ms):
            route = _record_duration(statistics.call_times, route, ms)
            statistics.calls[route, _find_outcome(detail, facts)] += 1
            _record_refusals(statistics, detail, facts)
        case DispatchFacts(route=route, waited_ms=waited_ms, ms=ms, rank=rank):
            _record_duration(statistics.waits, route, waited_ms)
            _record_duration(statistics.runs, route, ms)
            _record_duration(statistics.rank_waits, format_rank(rank), waited_ms)
        case RefusalFacts(route=route, waited_ms=waited_ms, rank=rank):
            is_known = route in statistics.runs or len(statistics.runs) < MAX_ROUTES
            statistics.refusals[route if is_known else OTHER_ROUTES, detail] += 1
            if waited_ms is not None:
                _record_duration(statistics.rank_waits, format_rank(rank), waited_ms)


def format_rank(rank: int) -> str:
    """Return the metric label of a rank.

    >>> format_rank(0), format_rank(7)
    ('0', 'more')
    """
    return str(rank) if rank < MAX_RANKS else MORE_RANKS


def _record_refusals(statistics: CallStatistics, detail: str, facts: CallFacts) -> None:
    rank = format_rank(facts.rank)
    # If a request is refused before any attempt, its detail is the reason without the prefix.
    reason = detail.removeprefix(_NOT_RUN)
    if reason in _REASONS:
        statistics.calls_refused[rank, reason] += 1
    for attempt in facts.attempts:
        if attempt.end.startswith(_NOT_RUN):
            statistics.sent_back[rank, attempt.end.removeprefix(_NOT_RUN)] += 1


def _find_outcome(detail: str, facts: CallFacts) -> str:
    if detail != "answered":
        return detail
    is_late = facts.target_ms is not None and facts.ms > facts.target_ms
    return f"answered {facts.status // 100}xx{' late' if is_late else ''}"


def _record_duration(histograms: dict[str, Histogram], route: str, ms: Milliseconds) -> str:
    histogram = histograms.get(route)
    if histogram is None:
        if len(histograms) >= MAX_ROUTES:
            route = OTHER_ROUTES
        histogram = histograms.setdefault(route, Histogram())
    histogram.record(ms)
    return route
