"""Define the format of one line of a process's log, for writing and reading."""

import msgspec

from bendwind_core.timeline.clock import HybridTime
from bendwind_core.timeline.facts import Facts


class LogLine(msgspec.Struct, frozen=True, omit_defaults=True):
    """Hold the fields of one line; log records of libraries have no number.

    Units: `physical_ms` is wall-clock time in milliseconds since 1970.
    """

    level: str
    instance: str
    physical_ms: int
    name: str
    number: int = 0
    logical: int = 0
    call: str = ""
    upstream: str = ""
    plan: str = ""
    detail: str = ""
    request: str = ""
    facts: Facts | None = None

    @property
    def time(self) -> HybridTime:
        """Return the hybrid logical time of the line."""
        return HybridTime(self.physical_ms, self.logical)


_DECODER = msgspec.json.Decoder(LogLine)


def read_log_line(text: str) -> LogLine | None:
    """Parse a line after any prefix added by a log collector; return None if it is not a LogLine.

    >>> read_log_line('node-1 {"level":"info","instance":"a","physical_ms":1,"name":"X"}').instance
    'a'
    """
    start = text.find("{")
    if start < 0:
        return None
    try:
        return _DECODER.decode(text[start:].strip().encode())
    except (msgspec.DecodeError, UnicodeEncodeError):
        return None
