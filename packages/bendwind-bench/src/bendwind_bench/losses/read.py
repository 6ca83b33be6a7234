"""Read what the processes of a deployment logged of calls and attempts."""

import re
from collections.abc import Iterable, Iterator

import msgspec

from bendwind_core.timeline import CallFacts, DispatchFacts, LogLine, RefusalFacts
from bendwind_core.timeline.log_line import read_log_line

# What says that an upstream may be used, and that it may not.
_STATES = frozenset({"UPSTREAM_READY", "UPSTREAM_DRAINING", "UPSTREAM_GONE", "UPSTREAM_ENDED"})
_TOLD_PLACE = re.compile(r"\bdata_centre=(\S+)")


class Logs(msgspec.Struct):
    """Hold the ends of calls, and owners' lines by the request and by the attempt that they are of.

    `states` are the lines on which upstreams came and went, `places` the data centre of instances.
    """

    calls: list[LogLine] = msgspec.field(default_factory=list)
    owners: dict[str, list[LogLine]] = msgspec.field(default_factory=dict)
    attempts: dict[str, list[LogLine]] = msgspec.field(default_factory=dict)
    states: list[LogLine] = msgspec.field(default_factory=list)
    places: dict[str, str] = msgspec.field(default_factory=dict)
    unread: int = 0


def read_lines(names: Iterable[str]) -> Iterator[str]:
    """Read the lines of files one after the other; each is closed at its end."""
    for name in names:
        with open(name, errors="replace") as file:
            yield from file


def read_logs(lines: Iterable[str], place: re.Pattern[str] | None = None) -> Logs:
    """Read lines of any processes in any order; those that are no log lines are counted.

    `place` finds the data centre, its first group, in what a collector of logs has put before a
    line; without it, instances tell theirs when they start.
    """
    logs = Logs()
    for text in lines:
        line = read_log_line(text)
        if line is None:
            logs.unread += bool(text.strip())
            continue
        _note_place(logs, line, text, place)
        if isinstance(line.facts, CallFacts):
            logs.calls.append(line)
        elif isinstance(line.facts, DispatchFacts | RefusalFacts):
            logs.owners.setdefault(line.request, []).append(line)
            logs.attempts.setdefault(line.call, []).append(line)
        elif line.name in _STATES:
            logs.states.append(line)
    return logs


def _note_place(logs: Logs, line: LogLine, text: str, place: re.Pattern[str] | None) -> None:
    if line.instance in logs.places:
        return
    if place is not None:
        found = place.search(text[: text.index("{")])
    else:
        found = _TOLD_PLACE.search(line.detail) if line.name == "PROCESS_STARTED" else None
    if found is not None:
        logs.places[line.instance] = found[1]


def list_owner_lines(call: LogLine, logs: Logs) -> list[LogLine]:
    """Return what owners logged of a call's attempts.

    Lines of older processes do not number attempts; those are known by the caller's request id.
    """
    entry = call.call.rpartition("/")[0]
    numbers = [attempt.number for attempt in call.facts.attempts if attempt.number]
    if not numbers:
        lines = logs.owners.get(call.request, ())
        return [line for line in lines if line.call.startswith(f"{entry}/")]
    found = [logs.attempts.get(f"{entry}/{number}", ()) for number in numbers]
    return [line for lines in found for line in lines]
