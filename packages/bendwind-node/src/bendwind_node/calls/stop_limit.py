"""Decide which requests a stopping process may still begin."""

import math

import msgspec
import trio

from bendwind_core.core import MILLISECONDS_PER_SECOND, Milliseconds, Seconds


class StopLimit(msgspec.Struct, eq=False):
    """Hold until when a process begins requests that may outlast it.

    After `last_start_at`, only a request whose own time ends before `ends_at` is begun: it gets an
    answer in any case. `reading` holds the cancel scopes of the bodies that are being read.
    """

    last_start_at: Seconds = math.inf
    ends_at: Seconds = math.inf
    reading: set[trio.CancelScope] = msgspec.field(default_factory=set)

    def set_times(self, last_start_at: Seconds, ends_at: Seconds) -> None:
        """Set the times of a stop, also for the bodies that are being read."""
        self.last_start_at = last_start_at
        self.ends_at = ends_at
        for scope in self.reading:
            scope.deadline = self.find_read_end(scope.deadline)

    def may_outlast(self, deadline_at: Seconds) -> bool:
        """Return whether a request with this deadline may still run when the process ends."""
        return deadline_at > self.ends_at

    def may_start(self, deadline_at: Seconds, now: Seconds) -> bool:
        """Return whether a request with this deadline may be sent to an upstream now."""
        return now < self.last_start_at or not self.may_outlast(deadline_at)

    def find_left_ms(self, now: Seconds) -> Milliseconds | None:
        """Return the time left until the process gives up its calls, None unless it stops."""
        if math.isinf(self.ends_at):
            return None
        return max(0.0, self.ends_at - now) * MILLISECONDS_PER_SECOND

    def find_read_end(self, deadline_at: Seconds) -> Seconds:
        """Return until when the body of a request with this deadline is read."""
        return (
            min(deadline_at, self.last_start_at) if self.may_outlast(deadline_at) else deadline_at
        )
