"""Keep virtual time: what is to be done, and when."""

import heapq
import itertools
from collections.abc import Callable

from bendwind_core.core import Seconds

Action = Callable[[], None]


class Agenda:
    """Hold the actions to come, in the order of their times, first put first done."""

    __slots__ = ("_entries", "_order", "now")

    def __init__(self):
        self.now: Seconds = 0.0
        self._entries: list[tuple[Seconds, int, Action]] = []
        self._order = itertools.count()

    def at(self, when: Seconds, action: Action) -> None:
        """Do an action at a time, at once if that is over."""
        heapq.heappush(self._entries, (max(when, self.now), next(self._order), action))

    def after(self, delay: Seconds, action: Action) -> None:
        """Do an action after a time."""
        self.at(self.now + delay, action)

    def run(self, until: Seconds) -> None:
        """Do everything up to a time."""
        while self._entries and self._entries[0][0] <= until:
            self.now, _, action = heapq.heappop(self._entries)
            action()
        self.now = until


class PausableAgenda:
    """Put the actions of one process on an agenda; while it stands still, they wait.

    Its clock goes on meanwhile, as one does that counts suspended time.
    """

    __slots__ = ("_agenda", "_paused_until")

    def __init__(self, agenda: Agenda):
        self._agenda = agenda
        self._paused_until: Seconds = 0.0

    @property
    def now(self) -> Seconds:
        """Return the time."""
        return self._agenda.now

    @property
    def is_paused(self) -> bool:
        """Tell whether the process stands still."""
        return self.now < self._paused_until

    def pause(self, length: Seconds) -> None:
        """Have the process stand still."""
        self._paused_until = max(self._paused_until, self.now + length)

    def at(self, when: Seconds, action: Action) -> None:
        """Do an action at a time, or when the process goes on."""
        self._agenda.at(when, lambda: self._do(action))

    def after(self, delay: Seconds, action: Action) -> None:
        """Do an action after a time, or when the process goes on."""
        self.at(self.now + delay, action)

    def _do(self, action: Action) -> None:
        if self.is_paused:
            self.at(self._paused_until, action)
        else:
            action()
