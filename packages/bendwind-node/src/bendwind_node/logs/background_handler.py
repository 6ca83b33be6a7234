"""Write log lines from a background thread, so that a slow reader never blocks the process."""

import collections
import logging
import threading
from collections.abc import Callable
from typing import TextIO

from bendwind_core.core import Seconds

# Lines that may wait for a reader: about 1 MB at some 300 bytes per line.
MAX_PENDING_LINES = 4096
# Errors may use this much more room, so that the line of a process's end is not dropped.
RESERVED_ERROR_LINES = 64
# Lines are collected for this long and written together, which saves most of the system calls.
BATCH_DELAY: Seconds = 0.02
# A process that stops waits at most this long for its reader to read the last lines.
CLOSE_TIMEOUT: Seconds = 0.5


class BackgroundHandler(logging.Handler):
    """Queue formatted lines for a thread that writes them; drop and count lines if it is full.

    `unreported_dropped` counts the dropped lines that no log line reports yet, `total_dropped` all
    dropped lines.
    """

    def __init__(
        self,
        stream: TextIO,
        describe_dropped: Callable[[int], str],
        max_pending: int = MAX_PENDING_LINES,
    ):
        super().__init__()
        self.stream = stream
        self.describe_dropped = describe_dropped
        self.max_pending = max_pending
        self.pending_lines: collections.deque[str] = collections.deque()
        self.unreported_dropped = 0
        self.total_dropped = 0
        self.is_closing = False
        self.has_pending_lines = threading.Event()
        self.thread = threading.Thread(target=self._run, name="log", daemon=True)
        self.thread.start()

    def emit(self, record: logging.LogRecord) -> None:
        """Queue the formatted line of a record, or count it as dropped if the queue is full."""
        reserve = RESERVED_ERROR_LINES if record.levelno >= logging.ERROR else 0
        if len(self.pending_lines) >= self.max_pending + reserve:
            self.unreported_dropped += 1
            self.total_dropped += 1
            return
        try:
            self.pending_lines.append(self.format(record))
        except Exception:
            self.handleError(record)
            return
        if not self.has_pending_lines.is_set():
            self.has_pending_lines.set()

    def close(self) -> None:
        """Write the queued lines that the reader accepts within `CLOSE_TIMEOUT`."""
        self.is_closing = True
        self.has_pending_lines.set()
        self.thread.join(CLOSE_TIMEOUT)
        if not self.thread.is_alive():
            # A thread that ended early, for instance without memory, has left lines.
            self._write_pending()
        super().close()

    def _run(self) -> None:
        batch_delay = threading.Event()
        while not self.is_closing:
            self.has_pending_lines.wait()
            if not self.is_closing:
                batch_delay.wait(BATCH_DELAY)
            self.has_pending_lines.clear()
            self._write_pending()
        self._write_pending()

    def _write_pending(self) -> None:
        lines = []
        while self.pending_lines:
            lines.append(self.pending_lines.popleft())
        if self.unreported_dropped:
            lines.append(self.describe_dropped(self.unreported_dropped))
            self.unreported_dropped = 0
        if not lines:
            return
        try:
            self.stream.write("\n".join(lines) + "\n")
            self.stream.flush()
        except (OSError, ValueError):
            # Nothing reads the stream any more, so no log line can report this; the count does.
            self.total_dropped += len(lines)
