"""Reconstruct from owners' log lines when upstreams were free.

A dispatch is logged at its end, with the durations of the run and of the wait before it, so that
both spans are as exact as the clocks of the instances agree. An upstream whose last report of a
slow phase is older than such a phase lasts counts as running at its usual pace, even if no newer
report was requested.
"""

import collections
from collections.abc import Iterable

import msgspec

from bendwind_bench.losses.read import Logs
from bendwind_bench.losses.spans import Span, find_full, invert, measure, unite
from bendwind_core.attempts.pace import SLOW_FACTOR
from bendwind_core.core import Milliseconds
from bendwind_core.timeline import DispatchFacts, LogLine

# Slow phases of upstreams on the target platform last 150 ms to 300 ms.
MAX_SLOW_PHASE_MS: Milliseconds = 300.0
# An upstream that shed a request or broke it off does not count as free until it answers again or
# this time has passed, after which routing tries it again.
MAX_FAILING_MS: Milliseconds = 1000.0
_READY = "UPSTREAM_READY"
_ANSWERED = "answered"


class FreeTimes(msgspec.Struct):
    """Hold when at least one upstream of each service was free, anywhere and by data centre."""

    anywhere: dict[str, list[Span]]
    near: dict[tuple[str, str], list[Span]]

    def measure(self, service: str, begin: float, end: float) -> Milliseconds:
        """Return for how much of a span any upstream of a service was free."""
        return measure(self.anywhere.get(service, []), begin, end)

    def measure_near(self, service: str, place: str, begin: float, end: float) -> Milliseconds:
        """Return for how much of a span an upstream of a service in a data centre was free."""
        return measure(self.near.get((service, place), []), begin, end)


class _Seen(msgspec.Struct):
    """Hold what was logged of one upstream.

    `limit` is the highest number of requests known to run on it at a time. The lists `paces`,
    `ends` and `states` hold times and a flag: whether the pace was slow, the run failed, or the
    upstream became ready.
    """

    service: str = ""
    place: str = ""
    limit: int = 0
    runs: list[Span] = msgspec.field(default_factory=list)
    waits: list[Span] = msgspec.field(default_factory=list)
    paces: list[tuple[float, bool]] = msgspec.field(default_factory=list)
    ends: list[tuple[float, bool]] = msgspec.field(default_factory=list)
    states: list[tuple[float, bool]] = msgspec.field(default_factory=list)


def find_run_span(line: LogLine) -> Span:
    """Return the span in which a dispatch ran."""
    return line.physical_ms - line.facts.ms, line.physical_ms


def find_wait_span(line: LogLine) -> Span:
    """Return the span in which an attempt waited at its owner before it ran or was refused."""
    is_dispatch = isinstance(line.facts, DispatchFacts)
    until = find_run_span(line)[0] if is_dispatch else line.physical_ms
    return until - (line.facts.waited_ms or 0.0), until


def find_free_times(logs: Logs) -> FreeTimes:
    """Reconstruct when any upstream of each service was free, from the first call to the last."""
    seen = _collect_upstreams(logs)
    _share_highest_limit(seen.values())
    ends = [call.physical_ms for call in logs.calls]
    begins = [call.physical_ms - call.facts.ms for call in logs.calls]
    period = min(begins, default=0.0), max(ends, default=0.0)
    anywhere: dict[str, list[Span]] = collections.defaultdict(list)
    near: dict[tuple[str, str], list[Span]] = collections.defaultdict(list)
    for upstream in seen.values():
        free = invert(_list_busy(upstream, period), *period)
        anywhere[upstream.service] += free
        near[upstream.service, upstream.place] += free
    return FreeTimes(
        {service: unite(spans) for service, spans in anywhere.items()},
        {key: unite(spans) for key, spans in near.items()},
    )


def _collect_upstreams(logs: Logs) -> dict[str, _Seen]:
    seen: dict[str, _Seen] = collections.defaultdict(_Seen)
    for lines in logs.owners.values():
        for line in lines:
            _record_line(seen[line.upstream], line, logs)
    for call in logs.calls:
        for attempt in call.facts.attempts:
            seen[attempt.upstream].service = call.facts.service
    for line in logs.states:
        if line.name == _READY:
            seen[line.upstream].service = line.detail
        seen[line.upstream].states.append((line.physical_ms, line.name == _READY))
        seen[line.upstream].place = logs.places.get(line.instance, "")
    return seen


def _record_line(upstream: _Seen, line: LogLine, logs: Logs) -> None:
    facts = line.facts
    upstream.place = logs.places.get(line.instance, "")
    if facts.waited_ms:
        upstream.waits.append(find_wait_span(line))
    known_at = line.physical_ms
    if isinstance(facts, DispatchFacts):
        upstream.runs.append(find_run_span(line))
        upstream.limit = max(upstream.limit, facts.limit or facts.running)
        upstream.ends.append((line.physical_ms, line.detail != _ANSWERED))
        known_at = find_run_span(line)[0]
    if facts.report_age_ms is not None:
        upstream.paces.append((known_at - facts.report_age_ms, facts.slow_factor >= SLOW_FACTOR))


def _share_highest_limit(upstreams: Iterable[_Seen]) -> None:
    """Set the limit of each upstream to the highest limit among the upstreams of its service.

    Too few requests may have run on one upstream to show its own limit.
    """
    upstreams = list(upstreams)
    most: collections.Counter[str] = collections.Counter()
    for upstream in upstreams:
        most[upstream.service] = max(most[upstream.service], upstream.limit)
    for upstream in upstreams:
        upstream.limit = most[upstream.service]


def _list_busy(upstream: _Seen, period: Span) -> list[Span]:
    """Return when an upstream could not start a request immediately at its usual pace."""
    busy = [*find_full(upstream.runs, max(1, upstream.limit)), *upstream.waits]
    busy += _list_bad_spans(upstream.paces, MAX_SLOW_PHASE_MS)
    busy += _list_bad_spans(upstream.ends, MAX_FAILING_MS)
    return unite([*busy, *_list_unavailable(upstream, period)])


def _list_bad_spans(observations: list[tuple[float, bool]], longest: Milliseconds) -> list[Span]:
    """Return the spans from each bad observation to the next one, each `longest` at most."""
    ordered = sorted(observations)
    spans = []
    for position, (at, is_bad) in enumerate(ordered):
        if is_bad:
            following = ordered[position + 1 : position + 2]
            spans.append((at, min([at + longest, *(next_at for next_at, _ in following)])))
    return spans


def _list_unavailable(upstream: _Seen, period: Span) -> list[Span]:
    states = sorted(upstream.states)
    if not states:
        # An upstream with runs was ready before the logs begin; one without is never available.
        return [] if upstream.runs else [period]
    begin = period[0]
    closed = []
    is_open = not states[0][1]
    for at, opens in states:
        if not is_open:
            closed.append((begin, at))
        begin, is_open = at, opens
    return closed if is_open else [*closed, (begin, period[1])]


__all__ = [
    "MAX_FAILING_MS",
    "MAX_SLOW_PHASE_MS",
    "FreeTimes",
    "find_free_times",
    "find_run_span",
    "find_wait_span",
]
