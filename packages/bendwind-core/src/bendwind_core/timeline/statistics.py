"""Count calls, dispatches and refusals, and how long they took, by route and by rank."""

import bisect
import collections

import msgspec

from bendwind_core.attempts.messages import NotRunReason
from bendwind_core.core import MILLISECONDS_PER_SECOND, Milliseconds
from bendwind_core.timeline.facts import CallFacts, DispatchFacts, Facts, RefusalFacts

# Bounds of the histograms, each at most 2.5 times the one before: callers' objectives mostly lie
# between 80 ms and 500 ms.
BOUNDS_MS: tuple[Milliseconds, ...] = (5, 10, 25, 50, 100, 150, 250, 400, 600, 1000, 2500, 5000)
# Routes that have figures of their own; further ones are counted together.
MAX_ROUTES = 200
OTHER_ROUTES = "other"
# Ranks that have figures of their own, from the most urgent on; there may be any number of them.
MAX_RANKS = 4
MORE_RANKS = "more"
_NOT_RUN = "not-run: "
_REASONS = frozenset(NotRunReason)


class Histogram(msgspec.Struct):
    """Count durations up to each bound and beyond the last one."""

    counts: list[int] = msgspec.field(default_factory=lambda: [0] * (len(BOUNDS_MS) + 1))
    total_ms: Milliseconds = 0.0

    def note(self, ms: Milliseconds) -> None:
        """Add a duration."""
        self.counts[bisect.bisect_left(BOUNDS_MS, ms)] += 1
        self.total_ms += ms

    def list_cumulative(self) -> list[tuple[str, int]]:
        """Return how many lie at or under each bound, in seconds as Prometheus writes them."""
        bounds = [f"{bound / MILLISECONDS_PER_SECOND:g}" for bound in BOUNDS_MS]
        totals = []
        total = 0
        for bound, count in zip([*bounds, "+Inf"], self.counts, strict=True):
            total += count
            totals.append((bound, total))
        return totals


class CallStatistics(msgspec.Struct):
    """Hold what one process counted of its calls; every table is bounded by `MAX_ROUTES`.

    `calls` counts ends of calls by route and outcome, `refusals` attempts that an owner node
    refused by route and reason. The histograms hold the whole time of calls, the time attempts
    waited at an owner node, and the time they ran at the upstream.

    By rank, `calls_refused` counts calls that did not run by their reason, `sent_back` hand-overs
    that came back to this entry node unrun, and `rank_waits` the time that attempts spent at
    an owner node until they were dispatched, or refused from its queue.
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


def note_facts(statistics: CallStatistics, detail: str, facts: Facts) -> None:
    """Count what a line of a call, a dispatch or a refusal says."""
    match facts:
        case CallFacts(route=route, ms=ms):
            route = _note_time(statistics.call_times, route, ms)
            statistics.calls[route, _find_outcome(detail, facts)] += 1
            _note_sent_back(statistics, detail, facts)
        case DispatchFacts(route=route, waited_ms=waited_ms, ms=ms, rank=rank):
            _note_time(statistics.waits, route, waited_ms)
            _note_time(statistics.runs, route, ms)
            _note_time(statistics.rank_waits, name_rank(rank), waited_ms)
        case RefusalFacts(route=route, waited_ms=waited_ms, rank=rank):
            is_known = route in statistics.runs or len(statistics.runs) < MAX_ROUTES
            statistics.refusals[route if is_known else OTHER_ROUTES, detail] += 1
            if waited_ms is not None:
                _note_time(statistics.rank_waits, name_rank(rank), waited_ms)


def name_rank(rank: int) -> str:
    """Return the label of a rank.

    >>> name_rank(0), name_rank(7)
    ('0', 'more')
    """
    return str(rank) if rank < MAX_RANKS else MORE_RANKS


def _note_sent_back(statistics: CallStatistics, detail: str, facts: CallFacts) -> None:
    rank = name_rank(facts.rank)
    # A request that is refused before any attempt has the reason alone.
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


def _note_time(histograms: dict[str, Histogram], route: str, ms: Milliseconds) -> str:
    histogram = histograms.get(route)
    if histogram is None:
        if len(histograms) >= MAX_ROUTES:
            route = OTHER_ROUTES
        histogram = histograms.setdefault(route, Histogram())
    histogram.note(ms)
    return route
