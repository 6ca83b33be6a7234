"""Record what upstreams say of themselves in answers, in a bounded number of lines."""

import msgspec

from bendwind_core.core import Seconds
from bendwind_core.timeline import EventKind, Recorder

# An upstream may say something else in each of ten thousand answers a second.
MIN_LINE_INTERVAL: Seconds = 1.0
MAX_TRACKED_LINES = 64


class _Line(msgspec.Struct):
    written_at: Seconds
    left_out: int = 0


class NoticeLog(msgspec.Struct, eq=False):
    """Hold when each kind of line was last written for each upstream."""

    recorder: Recorder
    lines: dict[tuple[EventKind, str], _Line] = msgspec.field(default_factory=dict)

    def write(self, kind: EventKind, upstream: str, detail: str, now: Seconds) -> None:
        """Record an event, or count it if the last of its kind was recorded a moment ago."""
        line = self.lines.get((kind, upstream))
        if line is not None and now < line.written_at + MIN_LINE_INTERVAL:
            line.left_out += 1
            return
        if line is not None and line.left_out:
            detail = f"{detail} ({line.left_out} left out)"
        self.lines.pop((kind, upstream), None)
        self.lines[kind, upstream] = _Line(now)
        if len(self.lines) > MAX_TRACKED_LINES:
            del self.lines[next(iter(self.lines))]
        self.recorder.record(kind, upstream=upstream, detail=detail)
