"""Run actions in virtual time."""

import heapq
import itertools
from collections.abc import Callable

from bendwind_core.core import Seconds

Action = Callable[[], None]


class Scheduler:
    """Hold scheduled actions in time order; actions of the same time run in scheduling order."""

    __slots__ = ("_entries", "_order", "now")

    def __init__(self):
        self.now: Seconds = 0.0
        self._entries: list[tuple[Seconds, int, Action]] = []
        self._order = itertools.count()

    def call_at(self, when: Seconds, action: Action) -> None:
        """Run an action at a time, or at the current time if that has passed."""
        heapq.heappush(self._entries, (max(when, self.now), next(self._order), action))

    def call_later(self, delay: Seconds, action: Action) -> None:
        """Run an action after a delay."""
        self.call_at(self.now + delay, action)

    def run(self, until: Seconds) -> None:
        """Run all actions up to and including a time, then set the clock to it."""
        while self._entries and self._entries[0][0] <= until:
            self.now, _, action = heapq.heappop(self._entries)
            action()
        self.now = until


class PausableScheduler:
    """Schedule the actions of one process and defer them while the process is suspended.

    Its clock continues meanwhile, like a clock that counts suspended time.
    """

    __slots__ = ("_scheduler", "_paused_until")

    def __init__(self, scheduler: Scheduler):
        self._scheduler = scheduler
        self._paused_until: Seconds = 0.0

    @property
    def now(self) -> Seconds:
        """Return the current time."""
        return self._scheduler.now

    @property
    def is_paused(self) -> bool:
        """Return whether the process is suspended."""
        return self.now < self._paused_until

    def pause(self, length: Seconds) -> None:
        """Suspend the process for a time."""
        self._paused_until = max(self._paused_until, self.now + length)

    def call_at(self, when: Seconds, action: Action) -> None:
        """Run an action at a time, or when the process resumes."""
        self._scheduler.call_at(when, lambda: self._run_or_defer(action))

    def call_later(self, delay: Seconds, action: Action) -> None:
        """Run an action after a delay, or when the process resumes."""
        self.call_at(self.now + delay, action)

    def _run_or_defer(self, action: Action) -> None:
        if self.is_paused:
            self.call_at(self._paused_until, action)
        else:
            action()
