"""Explain one request from the logs of processes."""

import sys
from collections.abc import Iterator
from pathlib import Path

from expression import Error, Ok, Result

from bendwind_cli.commands import ExplainRequest
from bendwind_cli.outcome import ExitCode, Failure
from bendwind_core.timeline import (
    CallFacts,
    DispatchFacts,
    LogLine,
    RefusalFacts,
)
from bendwind_core.timeline.diagnosis import diagnose
from bendwind_core.timeline.request_trace import RequestTrace, find_trace

_STANDARD_INPUT = "-"


def explain(command: ExplainRequest) -> Result[str, Failure]:
    """Return the outcome of a request and its cause.

    Errors: a log that cannot be read, or no log line about the request.
    """
    missing = [name for name in command.logs if not _is_readable(name)]
    if missing:
        return Error(Failure(ExitCode.USAGE, f"{missing[0]}: expected a readable file"))
    trace = find_trace(command.request, _read_lines(command.logs or (_STANDARD_INPUT,)))
    return Ok("\n".join(_render(trace)))


def _is_readable(name: str) -> bool:
    return name == _STANDARD_INPUT or Path(name).is_file()


def _read_lines(names: tuple[str, ...]) -> Iterator[str]:
    for name in names:
        if name == _STANDARD_INPUT:
            yield from sys.stdin
            continue
        with open(name, errors="replace") as file:
            yield from file


def _render(trace: RequestTrace) -> Iterator[str]:
    if trace.end is not None:
        yield from _render_end(trace.end)
        for number, step in enumerate(trace.steps, 1):
            attempt = step.attempt
            took = "no end seen" if attempt.ms is None else f"{attempt.end} after {attempt.ms} ms"
            yield f"  {number}. at +{attempt.sent_ms} ms to {attempt.upstream}: {took}"
            yield f"     {_render_owner(step.owner)}"
    yield from _render_upstream_ends(trace)
    if trace.context:
        yield "  what its processes had logged shortly before:"
        for line in trace.context:
            before_ms = trace.end.physical_ms - line.physical_ms
            words = (f"     -{before_ms} ms", line.instance, line.name, line.upstream, line.detail)
            yield " ".join(word for word in words if word)
    yield f"cause: {diagnose(trace)}"
    if trace.unread:
        yield f"{trace.unread} lines could not be read and were passed over"


def _render_upstream_ends(trace: RequestTrace) -> Iterator[str]:
    if not trace.upstream_ends:
        return
    yield "  upstreams that ended while it, or the same asked again, ran there:"
    for line in trace.upstream_ends:
        yield f"     {line.upstream} beside {line.instance} at {line.physical_ms} ms: {line.detail}"


def _render_end(end: LogLine) -> Iterator[str]:
    facts: CallFacts = end.facts
    yield f"request {end.request}: {end.detail}, status {facts.status}, after {facts.ms} ms"
    target = "no objective" if facts.target_ms is None else f"objective {facts.target_ms} ms"
    asked = f"route {facts.route or '?'}, service {facts.service or '?'}, {target}"
    yield f"  {asked}, timeout {facts.timeout_ms} ms; call {end.call} at {end.instance}"
    age = "never proven" if facts.age_ms is None else f"proven the newest {facts.age_ms} ms before"
    yield f"  configuration {facts.version}, {age}"
    if facts.quota:
        yield f"  quota of {facts.quota}"


def _render_owner(line: LogLine | None) -> str:
    match line.facts if line is not None else None:
        case DispatchFacts() as facts:
            return (
                f"{line.instance} ran it for {facts.ms} ms ({line.detail}) after {facts.waited_ms} "
                f"ms in its queue; {facts.running} of {facts.limit or facts.slots} slots taken, "
                f"{_render_pace(facts.slow_factor, facts.report_age_ms)}"
            )
        case RefusalFacts() as facts:
            waited = "" if facts.waited_ms is None else f" after {facts.waited_ms} ms in its queue"
            slots = facts.limit or facts.slots
            return (
                f"{line.instance} refused it ({line.detail}){waited}: {facts.running} of {slots} "
                f"slots taken, {facts.waiting} waiting, usual time {facts.usual_ms} ms, "
                f"{_render_pace(facts.slow_factor, facts.report_age_ms)}"
                f"{_render_limit(facts.limit_per_s)}"
            )
    return "no line of its owner node was found"


def _render_limit(per_second: float | None) -> str:
    return "" if per_second is None else f", limit {per_second:g} a second"


def _render_pace(slow_factor: float, age_ms: float | None) -> str:
    if age_ms is None:
        return "pace never reported"
    return f"pace x{slow_factor:g} reported {age_ms} ms before"
