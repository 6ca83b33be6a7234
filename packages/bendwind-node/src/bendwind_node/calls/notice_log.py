"""Record the notices of upstreams with a bounded number of log lines."""

import msgspec

from bendwind_core.core import Seconds
from bendwind_core.timeline import EventKind, Recorder

# An upstream may send a different notice in each of ten thousand answers per second.
MIN_LINE_INTERVAL: Seconds = 1.0
MAX_TRACKED_LINES = 64


class _Line(msgspec.Struct):
    written_at: Seconds
    dropped: int = 0


class NoticeLog(msgspec.Struct, eq=False):
    """Limit the rate of log lines of each kind for each upstream."""

    recorder: Recorder
    lines: dict[tuple[EventKind, str], _Line] = msgspec.field(default_factory=dict)

    def write(self, kind: EventKind, upstream: str, detail: str, now: Seconds) -> None:
        """Record an event, or only count it if one of its kind was recorded within the interval."""
        line = self.lines.get((kind, upstream))
        if line is not None and now < line.written_at + MIN_LINE_INTERVAL:
            line.dropped += 1
            return
        if line is not None and line.dropped:
            detail = f"{detail} ({line.dropped} left out)"
        self.lines.pop((kind, upstream), None)
        self.lines[kind, upstream] = _Line(now)
        if len(self.lines) > MAX_TRACKED_LINES:
            del self.lines[next(iter(self.lines))]
        self.recorder.record(kind, upstream=upstream, detail=detail)
