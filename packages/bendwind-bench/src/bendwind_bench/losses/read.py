"""Read what the processes of a deployment logged of calls and attempts."""

from collections.abc import Iterable, Iterator

import msgspec

from bendwind_core.timeline import CallFacts, DispatchFacts, LogLine, RefusalFacts
from bendwind_core.timeline.log_line import read_log_line


class Logs(msgspec.Struct):
    """Hold the ends of calls, and each owner's lines by the request that they are of."""

    calls: list[LogLine] = msgspec.field(default_factory=list)
    owners: dict[str, list[LogLine]] = msgspec.field(default_factory=dict)
    unread: int = 0


def read_lines(names: Iterable[str]) -> Iterator[str]:
    """Read the lines of files one after the other; each is closed at its end."""
    for name in names:
        with open(name, errors="replace") as file:
            yield from file


def read_logs(lines: Iterable[str]) -> Logs:
    """Read lines of any processes in any order; those that are no log lines are counted."""
    logs = Logs()
    for text in lines:
        line = read_log_line(text)
        if line is None:
            logs.unread += bool(text.strip())
        elif isinstance(line.facts, CallFacts):
            logs.calls.append(line)
        elif isinstance(line.facts, DispatchFacts | RefusalFacts):
            logs.owners.setdefault(line.request, []).append(line)
    return logs
