"""Find in the logs of many processes all that bears on one request."""

from collections.abc import Iterable

import msgspec

from bendwind_core.core import Milliseconds
from bendwind_core.timeline.facts import (
    AttemptFacts,
    CallFacts,
    DispatchFacts,
    EndFacts,
    RefusalFacts,
)
from bendwind_core.timeline.log_line import LogLine, read_log_line

# Lines of this long before a call's end show what its processes believed: a lease on the users'
# platform is 2 s, the time for a voter to be replaced a few more.
CONTEXT_MS: Milliseconds = 5000.0
# Of a busy minute the newest lines tell most.
MAX_CONTEXT = 20
# Links open at every first call between two processes, which explains nothing.
_ROUTINE = frozenset({"LINK_OPENED", "MEMBER_APPEARED"})


class Step(msgspec.Struct, frozen=True):
    """Hold one attempt with what its owner node logged of it, None where no line was found."""

    attempt: AttemptFacts
    owner: LogLine | None = None


class Story(msgspec.Struct, frozen=True):
    """Hold what was found of a request.

    `upstream_ends` are the lines of upstreams that ended under this request, or under one by the
    same caller for the same thing. `end` is the entry node's line of the call, `context` the lines
    of its processes that are of no single call and came shortly before its end. `unread` counts the
    lines that could not be read.
    """

    request: str
    end: LogLine | None
    steps: tuple[Step, ...] = ()
    context: tuple[LogLine, ...] = ()
    unread: int = 0
    upstream_ends: tuple[LogLine, ...] = ()


def find_story(request: str, lines: Iterable[str]) -> Story:
    """Read logs of any processes in any order, and keep what bears on a request.

    `request` is the caller's id of its request.
    """
    of_request: list[LogLine] = []
    of_processes: list[LogLine] = []
    of_ends: list[LogLine] = []
    unread = 0
    for text in lines:
        line = read_log_line(text)
        if line is None:
            unread += bool(text.strip())
        elif isinstance(line.facts, EndFacts):
            of_ends.append(line)
        elif line.request == request:
            of_request.append(line)
        elif not line.request and not line.call and line.name not in _ROUTINE:
            of_processes.append(line)
    refusals = [line for line in of_request if isinstance(line.facts, RefusalFacts)]
    upstream_ends = _find_upstream_ends(request, of_ends, refusals)
    end = _find_end(of_request)
    if end is None:
        return Story(request, None, unread=unread, upstream_ends=upstream_ends)
    steps = _match_steps(end, of_request)
    instances = {end.instance} | {step.owner.instance for step in steps if step.owner}
    context = _find_context(end, of_processes, instances)
    return Story(request, end, steps, context, unread, upstream_ends)


def _find_upstream_ends(
    request: str, lines: list[LogLine], refusals: list[LogLine]
) -> tuple[LogLine, ...]:
    listed = [asked for line in lines for asked in line.facts.requests]
    wanted = {asked.signature for asked in listed if asked.request == request}
    wanted |= {line.facts.signature for line in refusals if line.facts.signature}
    found = [
        line for line in lines if any(asked.signature in wanted for asked in line.facts.requests)
    ]
    return tuple(sorted(found, key=lambda line: line.time))


def _find_end(lines: list[LogLine]) -> LogLine | None:
    ends = [line for line in lines if isinstance(line.facts, CallFacts)]
    return max(ends, key=lambda line: line.time, default=None)


def _match_steps(end: LogLine, lines: list[LogLine]) -> tuple[Step, ...]:
    owners = sorted(
        (line for line in lines if isinstance(line.facts, DispatchFacts | RefusalFacts)),
        key=lambda line: line.time,
    )
    steps = []
    for attempt in end.facts.attempts:
        found = next((line for line in owners if line.upstream == attempt.upstream), None)
        if found is not None:
            owners.remove(found)
        steps.append(Step(attempt, found))
    return tuple(steps)


def _find_context(end: LogLine, lines: list[LogLine], instances: set[str]) -> tuple[LogLine, ...]:
    since = end.physical_ms - CONTEXT_MS
    near = [
        line
        for line in lines
        if line.instance in instances and since <= line.physical_ms <= end.physical_ms
    ]
    return tuple(sorted(near, key=lambda line: line.time)[-MAX_CONTEXT:])
