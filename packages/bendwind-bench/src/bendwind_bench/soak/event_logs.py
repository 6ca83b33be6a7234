"""Read from the logs of nodes which versions of the configuration they put in force."""

from collections.abc import Iterator
from pathlib import Path

import msgspec

PROCESS_STARTED = 801
CONFIGURATION_APPLIED = 602
CONFIGURATION_DIFFERS = 611
START_FAILED = 812
MARKS = tuple(
    f'"number":{number}'.encode()
    for number in (PROCESS_STARTED, CONFIGURATION_APPLIED, CONFIGURATION_DIFFERS, START_FAILED)
)


class LoggedEvent(msgspec.Struct, frozen=True):
    """Hold the fields of a logged event that a soak reads."""

    number: int
    detail: str = ""


def read_applied(log: Path) -> list[list[int]]:
    """Return for each run of a node the versions that it put in force, in their order."""
    runs: list[list[int]] = [[]]
    for event in _read_events(log):
        if event.number == PROCESS_STARTED:
            runs.append([])
        elif event.number == CONFIGURATION_APPLIED:
            runs[-1].append(int(event.detail.split()[0]))
    return runs


def has_differed(log: Path) -> bool:
    """Return whether a node noticed that it held something else than its version contains."""
    return any(event.number == CONFIGURATION_DIFFERS for event in _read_events(log))


def has_failed_start(log: Path) -> bool:
    """Return whether the last run of a node ended since it could not start."""
    numbers = [event.number for event in _read_events(log)]
    return numbers[-1:] == [START_FAILED]


def _read_events(log: Path) -> Iterator[LoggedEvent]:
    decoder = msgspec.json.Decoder(LoggedEvent)
    for line in log.read_bytes().splitlines():
        # A process that is killed may leave its last line unfinished.
        if line.endswith(b"}") and any(mark in line for mark in MARKS):
            yield decoder.decode(line)
