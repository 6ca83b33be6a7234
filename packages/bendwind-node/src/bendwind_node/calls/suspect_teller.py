"""Tell a voter what an owner node knows against requests."""

from collections.abc import Callable

import msgspec

from bendwind_core.core import Seconds
from bendwind_core.membership.suspicions import REPEAT_INTERVAL
from bendwind_core.suspicion import (
    SuspectReport,
    SuspectTable,
    list_restricted,
    list_unreported,
    remove_expired,
)

# Returns False if there is no way to the voter now.
TellSuspects = Callable[[tuple[SuspectReport, ...]], bool]


class SuspectTeller(msgspec.Struct):
    """Hold what is to be told, and when the rest was told last."""

    table: SuspectTable
    tell: TellSuspects = lambda told: False
    repeated_at: Seconds = 0.0

    def tell_news(self, now: Seconds) -> None:
        """Tell what is new; it stays to be told while no voter is reached."""
        if self.tell(list_unreported(self.table, now)):
            self.table.unreported.clear()

    def repeat(self, services: frozenset[str], now: Seconds) -> None:
        """Tell again what has a consequence for these services, once in a while.

        The voter may have missed it, or be another one.
        """
        if now - self.repeated_at < REPEAT_INTERVAL:
            return
        self.repeated_at = now
        remove_expired(self.table, now)
        serious = [told for told in list_restricted(self.table, now) if told.service in services]
        if serious:
            self.tell(tuple(serious))
        if self.table.unreported:
            self.tell_news(now)
