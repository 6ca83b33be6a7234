"""Collect the log lines that concern one request from the logs of several processes."""

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

# Log lines from this long before the end of a call show the state of the processes involved. The
# period covers a lease (2 s on the users' platform) and the replacement of a voter (a few seconds
# more).
CONTEXT_MS: Milliseconds = 5000.0
# Maximum number of context lines. In a busy minute the newest lines are the most informative.
MAX_CONTEXT = 20
# Links open at the first call between any two processes, so these events do not explain an outcome.
_ROUTINE_EVENTS = frozenset({"LINK_OPENED", "MEMBER_APPEARED"})


class Step(msgspec.Struct, frozen=True):
    """Hold one attempt and its owner node's log line, None if no line was found."""

    attempt: AttemptFacts
    owner: LogLine | None = None


class RequestTrace(msgspec.Struct, frozen=True):
    """Hold the log lines that were found for a request.

    `upstream_ends` are the lines about upstreams that ended while they ran this request or an
    equivalent request of the same caller. `end` is the entry node's line at the end of the call.
    `context` holds lines of the processes involved that belong to no single call and were logged
    shortly before that end. `unread` counts the lines that could not be parsed.
    """

    request: str
    end: LogLine | None
    steps: tuple[Step, ...] = ()
    context: tuple[LogLine, ...] = ()
    unread: int = 0
    upstream_ends: tuple[LogLine, ...] = ()


def find_trace(request: str, lines: Iterable[str]) -> RequestTrace:
    """Read the logs of any processes in any order and select the lines that concern a request.

    `request` is the id that the caller gave its request.
    """
    request_lines: list[LogLine] = []
    process_lines: list[LogLine] = []
    end_lines: list[LogLine] = []
    unread = 0
    for text in lines:
        line = read_log_line(text)
        if line is None:
            unread += bool(text.strip())
        elif isinstance(line.facts, EndFacts):
            end_lines.append(line)
        elif line.request == request:
            request_lines.append(line)
        elif not line.request and not line.call and line.name not in _ROUTINE_EVENTS:
            process_lines.append(line)
    refusals = [line for line in request_lines if isinstance(line.facts, RefusalFacts)]
    upstream_ends = _find_upstream_ends(request, end_lines, refusals)
    end = _find_end(request_lines)
    if end is None:
        return RequestTrace(request, None, unread=unread, upstream_ends=upstream_ends)
    steps = _match_steps(end, request_lines)
    instances = {end.instance} | {step.owner.instance for step in steps if step.owner}
    context = _find_context(end, process_lines, instances)
    return RequestTrace(request, end, steps, context, unread, upstream_ends)


def _find_upstream_ends(
    request: str, lines: list[LogLine], refusals: list[LogLine]
) -> tuple[LogLine, ...]:
    all_unanswered = [unanswered for line in lines for unanswered in line.facts.requests]
    signatures = {
        unanswered.signature for unanswered in all_unanswered if unanswered.request == request
    }
    signatures |= {line.facts.signature for line in refusals if line.facts.signature}
    found = [
        line
        for line in lines
        if any(unanswered.signature in signatures for unanswered in line.facts.requests)
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
