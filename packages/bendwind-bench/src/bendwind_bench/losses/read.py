"""Read the log lines of a deployment's processes about calls and attempts."""

import re
from collections.abc import Iterable, Iterator

import msgspec

from bendwind_core.timeline import CallFacts, DispatchFacts, LogLine, RefusalFacts
from bendwind_core.timeline.log_line import read_log_line

# Events that make an upstream available or unavailable.
_STATE_EVENTS = frozenset(
    {"UPSTREAM_READY", "UPSTREAM_DRAINING", "UPSTREAM_GONE", "UPSTREAM_ENDED"}
)
_DATA_CENTRE_DETAIL = re.compile(r"\bdata_centre=(\S+)")


class Logs(msgspec.Struct):
    """Hold the lines of finished calls, and owners' lines by request and by attempt.

    `states` are the lines at which upstreams became available or unavailable, `places` the data
    centre of each instance, `unread` the number of other lines.
    """

    calls: list[LogLine] = msgspec.field(default_factory=list)
    owners: dict[str, list[LogLine]] = msgspec.field(default_factory=dict)
    attempts: dict[str, list[LogLine]] = msgspec.field(default_factory=dict)
    states: list[LogLine] = msgspec.field(default_factory=list)
    places: dict[str, str] = msgspec.field(default_factory=dict)
    unread: int = 0


def read_lines(names: Iterable[str]) -> Iterator[str]:
    """Yield the lines of files one after the other; each file is closed at its end."""
    for name in names:
        with open(name, errors="replace") as file:
            yield from file


def read_logs(lines: Iterable[str], place: re.Pattern[str] | None = None) -> Logs:
    """Read lines of any processes in any order; lines that are not log lines are counted.

    `place` matches the prefix that a log collector puts before a line, and its first group is the
    data centre. Without it, the data centre comes from the line that an instance logs at its start.
    """
    logs = Logs()
    for text in lines:
        line = read_log_line(text)
        if line is None:
            logs.unread += bool(text.strip())
            continue
        _record_data_centre(logs, line, text, place)
        if isinstance(line.facts, CallFacts):
            logs.calls.append(line)
        elif isinstance(line.facts, DispatchFacts | RefusalFacts):
            logs.owners.setdefault(line.request, []).append(line)
            logs.attempts.setdefault(line.call, []).append(line)
        elif line.name in _STATE_EVENTS:
            logs.states.append(line)
    return logs


def _record_data_centre(
    logs: Logs, line: LogLine, text: str, place: re.Pattern[str] | None
) -> None:
    if line.instance in logs.places:
        return
    if place is not None:
        found = place.search(text[: text.index("{")])
    else:
        found = _DATA_CENTRE_DETAIL.search(line.detail) if line.name == "PROCESS_STARTED" else None
    if found is not None:
        logs.places[line.instance] = found[1]


def list_owner_lines(call: LogLine, logs: Logs) -> list[LogLine]:
    """Return what owners logged of a call's attempts.

    Lines of older processes do not number attempts; these are matched by the caller's request id.
    """
    entry = call.call.rpartition("/")[0]
    numbers = [attempt.number for attempt in call.facts.attempts if attempt.number]
    if not numbers:
        lines = logs.owners.get(call.request, ())
        return [line for line in lines if line.call.startswith(f"{entry}/")]
    found = [logs.attempts.get(f"{entry}/{number}", ()) for number in numbers]
    return [line for lines in found for line in lines]
