"""Reconstruct from owners' lines when upstreams were free.

A dispatch's line comes at its end and says how long the run and the wait before it took, so that
both are known as exactly as the clocks of the instances agree. An upstream whose last report of a
slow phase is older than a phase lasts is taken to be at its usual pace, also if nobody asked it.
"""

import collections
from collections.abc import Iterable

import msgspec

from bendwind_bench.losses.read import Logs
from bendwind_bench.losses.spans import Span, find_full, invert, measure, unite
from bendwind_core.attempts.pace import SLOW_FACTOR
from bendwind_core.core import Milliseconds
from bendwind_core.timeline import DispatchFacts, LogLine

# Slow phases on the users' platform last 150 ms to 300 ms.
PHASE_MS: Milliseconds = 300.0
# An upstream that shed a request or broke off is no help to others until it has answered again, or
# for this long: what routing needs to try it again.
FAILING_MS: Milliseconds = 1000.0
_OPENED = "UPSTREAM_READY"
_ANSWERED = "answered"


class FreeTimes(msgspec.Struct):
    """Hold when at least one upstream of each service was free, anywhere and by data centre."""

    anywhere: dict[str, list[Span]]
    near: dict[tuple[str, str], list[Span]]

    def measure(self, service: str, begin: float, end: float) -> Milliseconds:
        """Return how much of a time any upstream of a service was free."""
        return measure(self.anywhere.get(service, []), begin, end)

    def measure_near(self, service: str, place: str, begin: float, end: float) -> Milliseconds:
        """Return how much of a time one in a data centre was free."""
        return measure(self.near.get((service, place), []), begin, end)


class _Seen(msgspec.Struct):
    """Hold what was logged of one upstream; `limit` is the most that ran at a time."""

    service: str = ""
    place: str = ""
    limit: int = 0
    runs: list[Span] = msgspec.field(default_factory=list)
    waits: list[Span] = msgspec.field(default_factory=list)
    paces: list[tuple[float, bool]] = msgspec.field(default_factory=list)
    ends: list[tuple[float, bool]] = msgspec.field(default_factory=list)
    states: list[tuple[float, bool]] = msgspec.field(default_factory=list)


def find_run(line: LogLine) -> Span:
    """Return when a dispatch ran."""
    return line.physical_ms - line.facts.ms, line.physical_ms


def find_wait(line: LogLine) -> Span:
    """Return when an attempt waited at its owner before it ran or was refused."""
    is_dispatch = isinstance(line.facts, DispatchFacts)
    until = find_run(line)[0] if is_dispatch else line.physical_ms
    return until - (line.facts.waited_ms or 0.0), until


def find_free_times(logs: Logs) -> FreeTimes:
    """Reconstruct when any upstream of each service was free, from the first call to the last."""
    seen = _list_seen(logs)
    _level_limits(seen.values())
    ends = [call.physical_ms for call in logs.calls]
    begins = [call.physical_ms - call.facts.ms for call in logs.calls]
    whole = min(begins, default=0.0), max(ends, default=0.0)
    anywhere: dict[str, list[Span]] = collections.defaultdict(list)
    near: dict[tuple[str, str], list[Span]] = collections.defaultdict(list)
    for upstream in seen.values():
        free = invert(_list_busy(upstream, whole), *whole)
        anywhere[upstream.service] += free
        near[upstream.service, upstream.place] += free
    return FreeTimes(
        {service: unite(spans) for service, spans in anywhere.items()},
        {key: unite(spans) for key, spans in near.items()},
    )


def _list_seen(logs: Logs) -> dict[str, _Seen]:
    seen: dict[str, _Seen] = collections.defaultdict(_Seen)
    for lines in logs.owners.values():
        for line in lines:
            _note_line(seen[line.upstream], line, logs)
    for call in logs.calls:
        for attempt in call.facts.attempts:
            seen[attempt.upstream].service = call.facts.service
    for line in logs.states:
        if line.name == _OPENED:
            seen[line.upstream].service = line.detail
        seen[line.upstream].states.append((line.physical_ms, line.name == _OPENED))
        seen[line.upstream].place = logs.places.get(line.instance, "")
    return seen


def _note_line(upstream: _Seen, line: LogLine, logs: Logs) -> None:
    facts = line.facts
    upstream.place = logs.places.get(line.instance, "")
    if facts.waited_ms:
        upstream.waits.append(find_wait(line))
    known_at = line.physical_ms
    if isinstance(facts, DispatchFacts):
        upstream.runs.append(find_run(line))
        upstream.limit = max(upstream.limit, facts.limit or facts.running)
        upstream.ends.append((line.physical_ms, line.detail != _ANSWERED))
        known_at = find_run(line)[0]
    if facts.report_age_ms is not None:
        upstream.paces.append((known_at - facts.report_age_ms, facts.slow_factor >= SLOW_FACTOR))


def _level_limits(upstreams: Iterable[_Seen]) -> None:
    """Take for each upstream of a service the most that ran at any: few may have run at one."""
    upstreams = list(upstreams)
    most: collections.Counter[str] = collections.Counter()
    for upstream in upstreams:
        most[upstream.service] = max(most[upstream.service], upstream.limit)
    for upstream in upstreams:
        upstream.limit = most[upstream.service]


def _list_busy(upstream: _Seen, whole: Span) -> list[Span]:
    """Return when an upstream could not have started a request at once at its usual pace."""
    busy = [*find_full(upstream.runs, max(1, upstream.limit)), *upstream.waits]
    busy += _list_lasting(upstream.paces, PHASE_MS)
    busy += _list_lasting(upstream.ends, FAILING_MS)
    return unite([*busy, *_list_closed(upstream, whole)])


def _list_lasting(signs: list[tuple[float, bool]], longest: Milliseconds) -> list[Span]:
    """Return from when on an upstream was known to be bad, until a good sign or for a time."""
    ordered = sorted(signs)
    spans = []
    for position, (at, is_bad) in enumerate(ordered):
        if is_bad:
            following = ordered[position + 1 : position + 2]
            spans.append((at, min([at + longest, *(next_at for next_at, _ in following)])))
    return spans


def _list_closed(upstream: _Seen, whole: Span) -> list[Span]:
    states = sorted(upstream.states)
    if not states:
        # It was there before the logs begin; without any line it is not there at all.
        return [] if upstream.runs else [whole]
    begin = whole[0]
    closed = []
    is_open = not states[0][1]
    for at, opens in states:
        if not is_open:
            closed.append((begin, at))
        begin, is_open = at, opens
    return closed if is_open else [*closed, (begin, whole[1])]


__all__ = ["FAILING_MS", "PHASE_MS", "FreeTimes", "find_free_times", "find_run", "find_wait"]
