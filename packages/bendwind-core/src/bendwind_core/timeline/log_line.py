"""Define the format of one line of a process's log, for writing and reading."""

import msgspec

from bendwind_core.core import decode_json
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


def read_log_line(text: str) -> LogLine | None:
    """Parse a line after any prefix added by a log collector; return None if it is not a LogLine.

    >>> read_log_line('node-1 {"level":"info","instance":"a","physical_ms":1,"name":"X"}').instance
    'a'
    """
    start = text.find("{")
    if start < 0:
        return None
    data = text[start:].strip().encode(errors="surrogatepass")
    return decode_json(data, LogLine).default_value(None)
