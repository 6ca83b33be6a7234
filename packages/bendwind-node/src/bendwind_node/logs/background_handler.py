"""Write log lines from a thread of their own, so that no reader ever holds up the process."""

import collections
import logging
import threading
from collections.abc import Callable
from typing import TextIO

from bendwind_core.core import Seconds

# Lines that wait for a reader; at some 300 bytes each about a megabyte.
MAX_WAITING = 4096
# Lines are gathered for this long and written at once, which spares most of the system calls.
GATHER: Seconds = 0.02
# What a process that ends gives its reader to take the last lines.
CLOSE_TIMEOUT: Seconds = 0.5


class BackgroundHandler(logging.Handler):
    """Queue formatted lines for a thread that writes them; what finds no room is counted.

    `left_out` counts the lines that were dropped and are not yet told of, `total_dropped` all.
    """

    def __init__(
        self,
        stream: TextIO,
        describe_left_out: Callable[[int], str],
        max_waiting: int = MAX_WAITING,
    ):
        super().__init__()
        self.stream = stream
        self.describe_left_out = describe_left_out
        self.max_waiting = max_waiting
        self.waiting: collections.deque[str] = collections.deque()
        self.left_out = 0
        self.total_dropped = 0
        self.is_closing = False
        self.has_lines = threading.Event()
        self.thread = threading.Thread(target=self._run, name="log", daemon=True)
        self.thread.start()

    def emit(self, record: logging.LogRecord) -> None:
        """Queue a record's line."""
        if len(self.waiting) >= self.max_waiting:
            self.left_out += 1
            self.total_dropped += 1
            return
        try:
            self.waiting.append(self.format(record))
        except Exception:
            self.handleError(record)
            return
        if not self.has_lines.is_set():
            self.has_lines.set()

    def close(self) -> None:
        """Write what waits, as far as the reader takes it in time."""
        self.is_closing = True
        self.has_lines.set()
        self.thread.join(CLOSE_TIMEOUT)
        super().close()

    def _run(self) -> None:
        gather = threading.Event()
        while not self.is_closing:
            self.has_lines.wait()
            if not self.is_closing:
                gather.wait(GATHER)
            self.has_lines.clear()
            self._write_waiting()
        self._write_waiting()

    def _write_waiting(self) -> None:
        lines = []
        while self.waiting:
            lines.append(self.waiting.popleft())
        if self.left_out:
            lines.append(self.describe_left_out(self.left_out))
            self.left_out = 0
        if not lines:
            return
        try:
            self.stream.write("\n".join(lines) + "\n")
            self.stream.flush()
        except (OSError, ValueError):
            # Nobody reads any more. There is nowhere left to tell it; the counter does.
            self.total_dropped += len(lines)
